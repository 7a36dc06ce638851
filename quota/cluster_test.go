package quota_test

import (
	"flag"
	"fmt"
	"math"
	"net/rpc"
	"slices"
	"strings"
	"testing"
	"time"

	"swifttiller/quota"
	"swifttiller/session"
	"swifttiller/sim"
)

var (
	seeds     = flag.Int("seeds", 1, "number of seeds to try")
	firstSeed = flag.Uint64("seed", 1, "the first seed")
	large     = flag.Bool("large", false, "measure the target size as well")
)

// terms are those of a deployment; enforced are the stricter ones with which the meters are
// configured, as the data daemon does it.
var (
	terms    = quota.Accuracy{Window: 5 * time.Second, Excess: 0.1, Slack: 20, Reserve: 60 * time.Second}
	enforced = quota.Accuracy{Window: terms.Window, Excess: 0.8 * terms.Excess, Slack: 0.8 * terms.Slack, Reserve: terms.Reserve}
)

// cluster is a simulated test cluster: the meters of data daemons in several regions, and callers of
// many tenants.
type cluster struct {
	*sim.Sim
	names  []string
	region map[string]string
	meters map[string]*quota.Limiter
	starts int
	// lists are the member lists that each daemon received, listedUntil until when they are valid.
	// While the control daemons are down, no daemon receives a list.
	lists         map[string][]session.Member
	listedUntil   map[string]time.Duration
	isControlDown bool
	// isolated are daemons that the control daemons cannot reach.
	isolated map[string]bool
	leaving  map[string]bool
	limits   *quota.Limits
	list     []quota.Limit
	// rates are the requests per second of each tenant.
	rates     map[string]float64
	hot       string
	hotFactor float64
	// attempts are all attempts in the order in which they ended.
	attempts []attempt
	// hotSince is when the hot tenant's rate increases.
	hotSince time.Duration
	changes  map[string][]limitChange
}

// limitChange is a limit that is in force on all daemons from a time on.
type limitChange struct {
	at    time.Duration
	limit quota.Limit
}

// binWidth is the span over which requests owed and requests served are compared.
const binWidth = 2500 * time.Millisecond

type attempt struct {
	at, end   time.Duration
	tenant    string
	daemon    string
	isRetry   bool
	isAllowed bool
}

const interRegionDelay = 35 * time.Millisecond

// newCluster starts the meters of some regions and defines 90 tenants, which together make perSecond
// requests a second. Their rates fall with the rank; newClusterOf can make them equal.
func newCluster(seed uint64, counts []int, perSecond float64) *cluster {
	return newClusterOf(seed, counts, perSecond, 90, false)
}

func newClusterOf(seed uint64, counts []int, perSecond float64, tenants int, isEven bool) *cluster {
	cluster := &cluster{Sim: sim.New(seed), region: map[string]string{}, meters: map[string]*quota.Limiter{}, lists: map[string][]session.Member{}, listedUntil: map[string]time.Duration{}, isolated: map[string]bool{}, leaving: map[string]bool{}, rates: map[string]float64{}, hotFactor: 1, changes: map[string][]limitChange{}}
	cluster.Latency, cluster.Jitter = 300*time.Microsecond, 600*time.Microsecond
	for at, count := range counts {
		for index := range count {
			name := fmt.Sprintf("%c%d", 'a'+at, index)
			cluster.names = append(cluster.names, name)
			cluster.region[name] = name[:1]
		}
	}
	for _, from := range cluster.names {
		for _, to := range cluster.names {
			if cluster.region[from] != cluster.region[to] {
				cluster.Delay(from, to, interRegionDelay)
			}
		}
	}
	sum := 0.0
	weight := func(rank int) float64 {
		if isEven {
			return 1
		}
		return 1 / float64(rank+1)
	}
	for rank := range tenants {
		sum += weight(rank)
	}
	for rank := range tenants {
		rate := perSecond * weight(rank) / sum
		name := fmt.Sprint("tenant", rank)
		cluster.rates[name] = rate
		limit := math.Ceil(1.6 * rate)
		cluster.list = append(cluster.list, quota.Limit{Tenant: name, PerSecond: limit, Burst: limit})
	}
	cluster.applyLimits()
	for _, name := range cluster.names {
		cluster.start(name)
	}
	cluster.publishMembers()
	return cluster
}

func (cluster *cluster) applyLimits() {
	cluster.limits = quota.NewLimits(enforced, cluster.list)
	for _, limit := range cluster.list {
		cluster.changes[limit.Tenant] = append(cluster.changes[limit.Tenant], limitChange{cluster.Now(), limit})
	}
}

func (cluster *cluster) start(name string) {
	cluster.starts++
	incarnation := fmt.Sprint(name, "-", cluster.starts)
	cluster.lists[name] = nil
	cluster.Start(name, func(node *sim.Node) {
		meter := quota.NewLimiter(quota.Options{
			World: node, Net: sim.Net{Node: node}, Limits: func() *quota.Limits { return cluster.limits },
			Self:    session.Member{Name: name, Incarnation: incarnation, Role: session.Data, Region: cluster.region[name], Wire: name},
			Members: func() ([]session.Member, time.Duration) { return cluster.lists[name], cluster.listedUntil[name] },
		})
		cluster.meters[name] = meter
		server := rpc.NewServer()
		if err := server.RegisterName("Quota", quota.Service{Meter: meter}); err != nil {
			panic(err)
		}
		node.Serve(server)
		meter.Run()
	})
}

// publishMembers sends member lists to the daemons, as control daemons do: a daemon that was not reachable
// for a while is not listed.
func (cluster *cluster) publishMembers() {
	const interval = 600 * time.Millisecond
	lastSeen := map[string]time.Duration{}
	var publish func()
	publish = func() {
		if !cluster.isControlDown {
			var list []session.Member
			for _, name := range cluster.names {
				if cluster.Node(name).Up() && !cluster.Node(name).Frozen() && !cluster.isolated[name] {
					lastSeen[name] = cluster.Now()
				}
				if _, known := lastSeen[name]; known && cluster.Now()-lastSeen[name] < 1200*time.Millisecond {
					list = append(list, session.Member{Name: name, Role: session.Data, Region: cluster.region[name], Wire: name, Leaving: cluster.leaving[name]})
				}
			}
			for _, name := range cluster.names {
				if cluster.Node(name).Up() && !cluster.isolated[name] {
					cluster.At(time.Duration(cluster.Draw(int64(interval))), func() {
						if !cluster.isControlDown && !cluster.isolated[name] {
							cluster.lists[name], cluster.listedUntil[name] = list, cluster.Now()+1800*time.Millisecond
						}
					})
				}
			}
		}
		cluster.At(interval/2, publish)
	}
	publish()
}

// startTraffic starts the callers.
func (cluster *cluster) startTraffic() {
	for _, limit := range cluster.list {
		tenant := limit.Tenant
		var next func()
		next = func() {
			rate := cluster.rates[tenant]
			if tenant == cluster.hot {
				rate *= cluster.hotFactor
			}
			// Interval between two arrivals of a Poisson process.
			drawn := (float64(cluster.Draw(1<<30)) + 1) / (1 << 30)
			cluster.At(time.Duration(-math.Log(drawn)/rate*float64(time.Second)), func() {
				cluster.call(tenant, false)
				next()
			})
		}
		next()
	}
}

// call makes one attempt at a daemon that is up. A rejected caller retries once.
func (cluster *cluster) call(tenant string, isRetry bool) {
	var up []string
	for _, name := range cluster.names {
		if cluster.Node(name).Up() && !cluster.Node(name).Frozen() && !cluster.leaving[name] && len(cluster.lists[name]) > 0 {
			up = append(up, name)
		}
	}
	if len(up) == 0 {
		return
	}
	name := up[cluster.Draw(int64(len(up)))]
	at := cluster.Now()
	cluster.Node(name).Go(func() {
		retryAfter, isAllowed := cluster.meters[name].Take(tenant)
		cluster.attempts = append(cluster.attempts, attempt{at, cluster.Now(), tenant, name, isRetry, isAllowed})
		if !isAllowed && !isRetry {
			cluster.At(retryAfter, func() { cluster.call(tenant, true) })
		}
	})
}

// startHotspot multiplies a tenant's request rate for the given span.
func (cluster *cluster) startHotspot(tenant string, factor float64, span time.Duration) {
	cluster.hot, cluster.hotFactor, cluster.hotSince = tenant, factor, cluster.Now()
	cluster.At(span, func() { cluster.hotFactor = 1 })
}

// scaleLimit sets a tenant's limit to a multiple of its initial one.
func (cluster *cluster) scaleLimit(tenant string, factor float64) {
	for i := range cluster.list {
		if limit := &cluster.list[i]; limit.Tenant == tenant {
			first := cluster.changes[tenant][0].limit
			limit.PerSecond, limit.Burst = math.Ceil(factor*first.PerSecond), math.Ceil(factor*first.Burst)
		}
	}
	cluster.applyLimits()
}

// limitWithin returns the limit by which a window is judged: the highest one that was in force during
// the window or the one before.
func (cluster *cluster) limitWithin(tenant string, from, until time.Duration) (limit quota.Limit) {
	changes := cluster.changes[tenant]
	for i, change := range changes {
		if change.at < until && (i == len(changes)-1 || changes[i+1].at > from-terms.Window-time.Second) && change.limit.PerSecond > limit.PerSecond {
			limit = change.limit
		}
	}
	return limit
}

// limitAt returns the limit in force at a time.
func (cluster *cluster) limitAt(tenant string, at time.Duration) (limit quota.Limit) {
	for _, change := range cluster.changes[tenant] {
		if change.at <= at {
			limit = change.limit
		}
	}
	return limit
}

// results are the measurements of one run.
type results struct {
	// worst is the largest fraction of the tolerance above a limit that any window used.
	worst      float64
	violations []string
	// owed is how many requests one exact token bucket for all daemons would have let through,
	// wronglyRejected how many fewer were let through, summed over spans of binWidth; served is how
	// many were let through.
	owed, wronglyRejected, served int
	hotOwed, hotServed            int
	slowest                       time.Duration
	windows                       int
}

// evaluate checks every window of every tenant, and compares rejections with those of an exact bucket.
func (cluster *cluster) evaluate(from time.Duration) (out results) {
	byTenant := map[string][]attempt{}
	for _, attempt := range cluster.attempts {
		byTenant[attempt.tenant] = append(byTenant[attempt.tenant], attempt)
		if attempt.at >= from {
			out.slowest = max(out.slowest, attempt.end-attempt.at)
		}
	}
	for tenant, attempts := range byTenant {
		slices.SortStableFunc(attempts, func(a, b attempt) int { return int(a.end - b.end) })
		var allowed []time.Duration
		for _, attempt := range attempts {
			if attempt.isAllowed {
				allowed = append(allowed, attempt.end)
			}
		}
		begin := 0
		for i, end := range allowed {
			for allowed[begin] <= end-terms.Window {
				begin++
			}
			limit := cluster.limitWithin(tenant, end-terms.Window, end)
			allowance := limit.PerSecond*terms.Window.Seconds() + limit.Burst
			tolerance := allowance*terms.Excess + terms.Slack
			out.windows++
			used := (float64(i-begin+1) - allowance) / tolerance
			if used > out.worst {
				out.worst = used
			}
			if used > 1 {
				out.violations = append(out.violations, fmt.Sprintf("%s at %v: %d, limit %v", tenant, end, i-begin+1, limit))
			}
		}
		// An exact token bucket, applied to all attempts, gives what is owed.
		exact := 0.0
		shortfalls := map[time.Duration]int{}
		last := time.Duration(0)
		for i, attempt := range attempts {
			limit := cluster.limitAt(tenant, attempt.end)
			fill := limit.PerSecond * (attempt.end - last).Seconds()
			if i == 0 {
				exact, fill = limit.Burst, 0
			}
			last = attempt.end
			exact = min(limit.Burst, exact+fill)
			isOwed := exact >= 1
			if isOwed {
				exact--
			}
			if attempt.end >= from {
				if isOwed {
					out.owed++
					shortfalls[attempt.end/binWidth]++
				}
				if attempt.isAllowed {
					out.served++
					shortfalls[attempt.end/binWidth]--
				}
				if tenant == cluster.hot {
					if isOwed {
						out.hotOwed++
					}
					if attempt.isAllowed {
						out.hotServed++
					}
				}
			}
		}
		for _, shortfall := range shortfalls {
			out.wronglyRejected += max(0, shortfall)
		}
	}
	return out
}

func (results results) String() string {
	return fmt.Sprintf("worst window uses %.2f of the tolerance; owed %d, served %d, wrongly rejected %d (%.2f %%); hot tenant: owed %d, served %d; slowest decision %v; %d windows",
		results.worst, results.owed, results.served, results.wronglyRejected, 100*float64(results.wronglyRejected)/float64(max(1, results.owed)), results.hotOwed, results.hotServed, results.slowest, results.windows)
}

// aggregatorOf returns the aggregator to which most daemons of the region report.
func (cluster *cluster) aggregatorOf(region string) string {
	votes, best := map[string]int{}, ""
	for _, name := range cluster.names {
		if cluster.region[name] == region && cluster.Node(name).Up() {
			address := cluster.meters[name].Status().Aggregator
			if votes[address]++; votes[address] > votes[best] {
				best = address
			}
		}
	}
	return best
}

func (cluster *cluster) partition(regions string) (in, out []string) {
	for _, name := range cluster.names {
		if strings.Contains(regions, cluster.region[name]) {
			in = append(in, name)
		} else {
			out = append(out, name)
		}
	}
	return in, out
}

// cutRegion disconnects a region from the others or reconnects it; a direction, "out" or "in",
// limits this to one way.
func (cluster *cluster) cutRegion(region, direction string, isCut bool) {
	in, out := cluster.partition(region)
	for _, a := range in {
		for _, b := range out {
			if direction != "in" {
				cluster.Cut(a, b, isCut)
			}
			if direction != "out" {
				cluster.Cut(b, a, isCut)
			}
		}
		cluster.isolated[a] = isCut
	}
}

type scenario struct {
	name string
	run  func(cluster *cluster)
	// maxWronglyRejected is the largest permitted ratio of wrongly rejected requests to those owed.
	maxWronglyRejected float64
}

var scenarios = []scenario{
	{"calm", func(*cluster) {}, 0.01},
	{"hub killed", func(cluster *cluster) {
		target := cluster.aggregatorOf("a")
		cluster.At(100*time.Millisecond, func() { cluster.Kill(target) })
		cluster.At(3600*time.Millisecond, func() { cluster.start(target) })
	}, 0.04},
	{"all hubs killed", func(cluster *cluster) {
		for _, region := range []string{"a", "b", "c"} {
			target := cluster.aggregatorOf(region)
			cluster.At(time.Duration(cluster.Draw(int64(time.Second))), func() { cluster.Kill(target) })
			cluster.At(3600*time.Millisecond, func() { cluster.start(target) })
		}
	}, 0.25},
	{"hub frozen", func(cluster *cluster) {
		target := cluster.aggregatorOf("b")
		cluster.At(100*time.Millisecond, func() { cluster.Freeze(target, 2500*time.Millisecond) })
	}, 0.06},
	{"region cut", func(cluster *cluster) {
		cluster.At(100*time.Millisecond, func() { cluster.cutRegion("a", "", true) })
		cluster.At(5*time.Second, func() { cluster.cutRegion("a", "", false) })
	}, 0.06},
	{"region cut before", func(cluster *cluster) {
		cluster.cutRegion("c", "", true)
		cluster.Run(2 * time.Second)
		cluster.At(4*time.Second, func() { cluster.cutRegion("c", "", false) })
	}, 0.06},
	{"region cut one way out", func(cluster *cluster) {
		cluster.At(100*time.Millisecond, func() { cluster.cutRegion("a", "out", true) })
		cluster.At(5*time.Second, func() { cluster.cutRegion("a", "out", false) })
	}, 0.06},
	{"region cut one way in", func(cluster *cluster) {
		cluster.At(100*time.Millisecond, func() { cluster.cutRegion("a", "in", true) })
		cluster.At(5*time.Second, func() { cluster.cutRegion("a", "in", false) })
	}, 0.06},
	{"two regions cut from one another", func(cluster *cluster) {
		// A burst would hide the error.
		for at := range cluster.list {
			cluster.list[at].Burst = 1
		}
		cluster.applyLimits()
		cluster.Run(8 * time.Second)
		cluster.startHotspot(cluster.hot, 7.5, 8*time.Second)
		in, _ := cluster.partition("a")
		out, _ := cluster.partition("b")
		cluster.Split(in, out, true)
		cluster.At(9*time.Second, func() { cluster.Split(in, out, false) })
	}, 0.06},
	{"zone cut", func(cluster *cluster) {
		in, rest := cluster.partition("a")
		in, more := in[:(len(in)+1)/2], in[(len(in)+1)/2:]
		rest = append(rest, more...)
		cluster.Split(in, rest, true)
		for _, name := range in {
			cluster.isolated[name] = true
		}
		cluster.At(5*time.Second, func() {
			cluster.Split(in, rest, false)
			for _, name := range in {
				cluster.isolated[name] = false
			}
		})
	}, 0.04},
	{"daemons alone", func(cluster *cluster) {
		in, _ := cluster.partition("a")
		in = in[:max(1, len(in)/4)]
		for _, name := range in {
			for _, other := range cluster.names {
				if other != name {
					cluster.Split([]string{name}, []string{other}, true)
				}
			}
			cluster.isolated[name] = true
		}
		cluster.At(5*time.Second, func() {
			for _, name := range in {
				for _, other := range cluster.names {
					if other != name {
						cluster.Split([]string{name}, []string{other}, false)
					}
				}
				cluster.isolated[name] = false
			}
		})
	}, 0.04},
	{"region lost", func(cluster *cluster) {
		in, _ := cluster.partition("b")
		cluster.At(100*time.Millisecond, func() {
			for _, name := range in {
				cluster.Kill(name)
			}
		})
		cluster.At(6*time.Second, func() {
			for _, name := range in {
				cluster.start(name)
			}
		})
	}, 0.15},
	{"control dead", func(cluster *cluster) {
		cluster.isControlDown = true
		cluster.Run(3 * time.Second)
		cluster.At(15*time.Second, func() { cluster.isControlDown = false })
	}, 0.01},
	{"power lost", func(cluster *cluster) {
		cluster.At(time.Second, func() {
			for _, name := range cluster.names {
				cluster.Kill(name)
			}
		})
		for _, name := range cluster.names {
			cluster.At(1600*time.Millisecond+time.Duration(cluster.Draw(int64(800*time.Millisecond))), func() { cluster.start(name) })
		}
	}, 0.25},
	{"limits lowered", func(cluster *cluster) {
		cluster.At(2*time.Second, func() { cluster.scaleLimit(cluster.hot, 0.5) })
		cluster.At(4*time.Second, func() { cluster.scaleLimit(cluster.hot, 0.25) })
	}, 0.01},
	{"limits raised", func(cluster *cluster) {
		cluster.At(2*time.Second, func() { cluster.scaleLimit(cluster.hot, 2) })
		cluster.At(4*time.Second, func() { cluster.scaleLimit(cluster.hot, 4) })
	}, 0.03},
	{"lines slow", func(cluster *cluster) {
		// One aggregator's machine has slow links.
		target := cluster.aggregatorOf("a")
		for _, name := range cluster.names {
			if name != target {
				cluster.Delay(name, target, 60*time.Millisecond)
				cluster.Delay(target, name, 60*time.Millisecond)
			}
		}
	}, 0.03},
	{"calls lost", func(cluster *cluster) { cluster.Faults = sim.NetworkFaults{Lost: 0.05} }, 0.2},
	{"calls repeated", func(cluster *cluster) { cluster.Faults = sim.NetworkFaults{Duplicated: 0.05, MaxDelay: time.Second} }, 0.03},
	{"calls late", func(cluster *cluster) { cluster.Faults = sim.NetworkFaults{Delayed: 0.05, MaxDelay: time.Second} }, 0.12},
	{"daemons die in their calls", func(cluster *cluster) {
		until := cluster.Now() + 6*time.Second
		cluster.OnKill = func(name string) {
			if cluster.Node(name).Up() {
				cluster.Kill(name)
				cluster.At(1500*time.Millisecond, func() { cluster.start(name) })
			}
		}
		cluster.OnCall = func(_, to, _ string) sim.Fate {
			if cluster.Now() > until || cluster.Draw(300) > 0 {
				return sim.Delivered
			}
			return []sim.Fate{sim.SenderKilled, sim.ReceiverKilled, sim.ResponseLost}[cluster.Draw(3)]
		}
	}, 0.25},
	{"leaving in order", func(cluster *cluster) {
		target := cluster.aggregatorOf("a")
		cluster.leaving[target] = true
		cluster.At(1500*time.Millisecond, func() { cluster.Kill(target) })
	}, 0.03},
}

// runScenario runs a scenario while one tenant's rate rises.
func runScenario(seed uint64, counts []int, tenant int, scenario scenario) (*cluster, results) {
	cluster := newCluster(seed, counts, 800)
	cluster.Run(3 * time.Second)
	cluster.startTraffic()
	cluster.Run(7 * time.Second)
	from := cluster.Now()
	name := fmt.Sprint("tenant", tenant)
	cluster.At(200*time.Millisecond, func() { cluster.startHotspot(name, 7.5, 6500*time.Millisecond) })
	scenario.run(cluster)
	cluster.Run(18 * time.Second)
	return cluster, cluster.evaluate(from)
}

// TestScenarios guards against limits exceeded beyond the terms, and against rejections below the limit,
// in each scenario of failures while one tenant makes a multiple of its usual requests.
func TestScenarios(t *testing.T) {
	for _, scenario := range scenarios {
		for name, counts := range map[string][]int{"many": {29, 31, 28}, "few": {2, 2, 2}, "wide": {2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2}} {
			if name == "wide" && !slices.Contains([]string{"calm", "hub killed", "region cut", "two regions cut from one another", "power lost"}, scenario.name) {
				continue
			}
			for _, tenant := range []int{0, 40} {
				if testing.Short() && (name == "many" || tenant == 0) {
					continue // the simulation runs one task at a time, so large runs give the race detector no more to find
				}
				for offset := range uint64(*seeds) {
					seed := *firstSeed + offset
					t.Run(fmt.Sprintf("%s/%s/%d/%d", scenario.name, name, tenant, seed), func(t *testing.T) {
						t.Parallel()
						cluster, results := runScenario(seed, counts, tenant, scenario)
						defer cluster.Close()
						t.Log(t.Name(), results)
						if len(results.violations) > 0 {
							t.Errorf("%s quota: limit exceeded in %d windows, such as %s", t.Name(), len(results.violations), results.violations[0])
						}
						if share := float64(results.wronglyRejected) / float64(max(1, results.owed)); share > scenario.maxWronglyRejected {
							t.Errorf("%.2f %% of the owed requests were rejected", 100*share)
						}
						if results.owed < 1000 || results.windows < 1000 || results.hotServed == 0 {
							t.Errorf("vacuous: %v", results)
						}
					})
				}
			}
		}
	}
}

// TestCost guards against traffic that grows with the number of daemons and tenants: the cost of counting
// should depend on the requests per daemon.
func TestCost(t *testing.T) {
	type size struct {
		counts    []int
		tenants   int
		perDaemon float64
		isHot     bool
	}
	sizes := []size{{[]int{2, 2, 2}, 30, 9, false}, {[]int{29, 31, 28}, 90, 9, false}, {[]int{29, 31, 28}, 90, 9, true}}
	if *large {
		var target []int
		for range 16 {
			target = append(target, 26)
		}
		sizes = append(sizes, size{target, 21000, 26, false})
	}
	for _, size := range sizes {
		count := 0
		for _, regionCount := range size.counts {
			count += regionCount
		}
		cluster := newClusterOf(1, size.counts, size.perDaemon*float64(count), size.tenants, size.tenants > 1000)
		cluster.Run(3 * time.Second)
		cluster.startTraffic()
		if size.isHot {
			cluster.startHotspot("tenant0", 7.5, time.Hour)
		}
		cluster.Run(4 * time.Second)
		sent := map[string]int{}
		interRegion, calls, total := 0, 0, 0
		cluster.OnBytes = func(from, to, _ string, bytes int) {
			bytes += 80 // headers
			calls++
			total += bytes
			sent[from] += bytes
			sent[to] += bytes
			if cluster.region[from] != cluster.region[to] {
				interRegion += bytes
			}
		}
		const span = 4
		cluster.Run(span * time.Second)
		most, sum := 0, 0
		for _, bytes := range sent {
			most, sum = max(most, bytes), sum+bytes
		}
		t.Logf("%d daemons in %d regions, %d tenants, %.0f requests a second per daemon, hot tenant %v: %d bytes a second to and from a daemon on average, %d for the busiest; %.1f calls and replies a second per daemon; %d bytes a second between regions",
			count, len(size.counts), size.tenants, size.perDaemon, size.isHot, sum/count/span, most/span, float64(calls)/span/float64(count), interRegion/span)
		if !size.isHot && !*large && count > 50 && sum/count/span > 3000 {
			t.Errorf("%d bytes a second to and from a daemon on average", sum/count/span)
		}
		cluster.Close()
	}
}

// TestNoLimits guards against messages between daemons where no tenant has a limit.
func TestNoLimits(t *testing.T) {
	cluster := newCluster(1, []int{2, 2, 2}, 800)
	defer cluster.Close()
	for i := range cluster.list {
		cluster.list[i].PerSecond = 0
	}
	cluster.applyLimits()
	cluster.Run(2 * time.Second)
	before := len(cluster.attempts)
	cluster.startTraffic()
	calls := 0
	cluster.OnBytes = func(string, string, string, int) { calls++ }
	cluster.Run(2 * time.Second)
	for _, attempt := range cluster.attempts {
		if !attempt.isAllowed {
			t.Fatalf("a request of %s, which has no limit, was rejected", attempt.tenant)
		}
	}
	if calls > 0 || len(cluster.attempts)-before < 1000 {
		t.Errorf("%d calls between daemons and %d requests; want no call and at least 1000 requests", calls, len(cluster.attempts)-before)
	}
}

// BenchmarkTake measures a request of a tenant that is not near its limit.
func BenchmarkTake(b *testing.B) {
	cluster := newCluster(1, []int{2, 2, 2}, 800)
	cluster.Run(5 * time.Second)
	done := false
	cluster.Node("a0").Go(func() {
		for range b.N {
			cluster.meters["a0"].Take("tenant0")
			cluster.meters["a0"].Refund("tenant0")
		}
		done = true
	})
	for !done {
		cluster.Run(time.Millisecond)
	}
	cluster.Close()
}
