package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"swifttiller/settings"
)

// RoutedConfig is a configuration with routes that may be in force: when it was submitted, when it was
// acknowledged (zero until then), and its contents.
type RoutedConfig struct {
	Asked, Acked time.Duration
	Tree         *settings.Tree
}

// Bounds of the rules for routed requests.
const (
	// A cold engine may get coldExcess times its cold rate, and coldSlack requests more, in one
	// second.
	coldExcess = 1.5
	coldSlack  = 5
)

// RoutedRules are the invariants for requests that reach models by routes, judged from what
// callers and engines observed.
var RoutedRules = []Rule{
	{"rerun", rerun}, {"promise", promise}, {"whole", whole}, {"held", held}, {"routes", routes}, {"routed leaving", routedLeaving}, {"cold", cold},
	{"routed home", routedHome}, {"routed evacuated", routedEvacuated}, {"routed retries", routedRetries}, {"routed lost", routedLost}, {"fallback", fallback},
	{"keys", keys}, {"tenant", tenants}, {"quota", quotas},
}

// CheckRouted applies RoutedRules; see Check.
func CheckRouted(park *Cluster, facts Facts) (all []Violation, judged map[string]int) {
	return apply(RoutedRules, park, facts)
}

// runsByAttempt returns the runs of each attempt ID, in the order of their arrival.
func (park *Cluster) runsByAttempt() map[string][]*Run {
	out := map[string][]*Run{}
	for _, run := range park.Runs {
		out[run.ID] = append(out[run.ID], run)
	}
	return out
}

// rerun checks that a request that is not repeatable runs at most once, whatever status its
// attempts got. Judged are the requests that were sent more than once or did not succeed.
func rerun(park *Cluster, _ Facts) (all []Violation, judged int) {
	runs := park.runsByAttempt()
	for _, request := range park.RoutedRequests {
		if request.Crowd.Repeatable {
			continue
		}
		ran, sent := 0, 0
		var last *Run
		for _, attempt := range request.Tries {
			for _, run := range runs[attempt.ID] {
				sent++
				if run.Ran > 0 {
					ran++
					last = run
				}
			}
		}
		if sent > 1 || len(request.Tries) > 1 || request.Verdict != "ok" {
			judged++
		}
		if ran > 1 {
			all = append(all, Violation{"rerun", last.Ran, fmt.Sprintf("%s ran %d times, last on %s, sent by %s", request.ID, ran, last.Engine, last.Daemon)})
		}
	}
	return all, judged
}

// promise checks that an attempt answered with status 408, 421, 429 or 503 has not run and never
// does, as these statuses promise. Judged are the attempts that got one of them.
func promise(park *Cluster, _ Facts) (all []Violation, judged int) {
	runs := park.runsByAttempt()
	for _, request := range park.RoutedRequests {
		for _, attempt := range request.Tries {
			if !attempt.promised() {
				continue
			}
			judged++
			for _, run := range runs[attempt.ID] {
				if run.Ran > 0 {
					all = append(all, Violation{"promise", attempt.End, fmt.Sprintf("%s got %d %s from %s but ran on %s at %v", attempt.ID, attempt.Status, attempt.Code, attempt.Daemon, run.Engine, run.Ran)})
				}
			}
		}
	}
	return all, judged
}

// whole checks that a caller gets the events of its own request, each once and in order, also
// after a resumption. A stream that ended cleanly must be complete, and a run that resumes another
// one must have been asked to continue after the last event. Judged are the requests that got any
// event or succeeded.
func whole(park *Cluster, _ Facts) (all []Violation, judged int) {
	for _, request := range park.RoutedRequests {
		if request.TokensReceived > 0 || request.Verdict == "ok" {
			judged++
		}
		if request.Mismatch != "" {
			all = append(all, Violation{"whole", request.End, request.ID + " " + request.Mismatch})
		}
		if request.Verdict == "ok" && request.TokensReceived != request.Crowd.AnswerTokens {
			all = append(all, Violation{"whole", request.End, fmt.Sprintf("%s ended as complete with %d of %d tokens", request.ID, request.TokensReceived, request.Crowd.AnswerTokens)})
		}
	}
	return all, judged
}

// held checks that every request ends, within its caller's timeout plus two seconds. Judged are
// the requests that began early enough to have ended.
func held(park *Cluster, _ Facts) (all []Violation, judged int) {
	for _, request := range park.RoutedRequests {
		bound := request.At + request.Crowd.Timeout + 2*time.Second
		switch {
		case park.Now() < bound:
		case request.End == 0 || request.End > bound:
			judged++
			all = append(all, Violation{"held", request.At, fmt.Sprintf("%s was pending from %v to %v (0: to the end), %d attempts", request.ID, request.At, request.End, len(request.Tries))})
		default:
			judged++
		}
	}
	return all, judged
}

// configsInForce returns the configurations under which a request sent at one time and handled
// at another may have been handled. These are the ones submitted by the time of handling, except
// those that a newer one had replaced more than OldConfigBound before the request was sent.
func (facts Facts) configsInForce(sent, handled time.Duration) (configs []RoutedConfig) {
	for index, config := range facts.RoutedConfigs {
		if config.Asked > handled {
			continue
		}
		isOld := false
		for _, newer := range facts.RoutedConfigs[index+1:] {
			isOld = isOld || newer.Acked > 0 && sent > newer.Acked+OldConfigBound
		}
		if !isOld {
			configs = append(configs, config)
		}
	}
	return configs
}

// routes checks that no request runs on a model, and none gets 404 (no route), unless a
// configuration in force says so; a configuration replaced for longer than OldConfigBound is not
// in force. Judged are the runs and the 404 replies.
func routes(park *Cluster, facts Facts) (all []Violation, judged int) {
	for _, run := range park.Runs {
		if run.Elsewhere || run.NotRun || len(facts.RoutedConfigs) == 0 {
			continue
		}
		judged++
		attempt := park.attempts[run.ID]
		crowd := attempt.request.Crowd
		isAllowed := false
		for _, config := range facts.configsInForce(attempt.Sent, run.At) {
			if route := config.Tree.Route(crowd.Host, crowd.Path); route != nil {
				for _, share := range route.Shares {
					isAllowed = isAllowed || share.Model == run.Model && share.Weight > 0
				}
			}
		}
		if !isAllowed {
			all = append(all, Violation{"routes", run.At, fmt.Sprintf("%s for %s ran on %s (%s), sent by %s, which no configuration in force allows", run.ID, crowd.Path, run.Engine, run.Model, run.Daemon)})
		}
	}
	for _, request := range park.RoutedRequests {
		for _, attempt := range request.Tries {
			if attempt.Status != 404 {
				continue
			}
			judged++
			isAllowed := false
			for _, config := range facts.configsInForce(attempt.Sent, attempt.End) {
				isAllowed = isAllowed || config.Tree.Route(request.Crowd.Host, request.Crowd.Path) == nil
			}
			if !isAllowed {
				all = append(all, Violation{"routes", attempt.End, fmt.Sprintf("%s got from %s that %s has no route, which every configuration in force has", attempt.ID, attempt.Daemon, request.Crowd.Path)})
			}
		}
	}
	return all, judged
}

// routedLeaving checks that an engine process gets no request sent more than LeavingBound after
// the platform's list showed that it is being terminated. Judged are the processes that ran on
// past the bound.
func routedLeaving(park *Cluster, _ Facts) (all []Violation, judged int) {
	for _, run := range park.Runs {
		since, isKnown := park.TerminationLearned[run.Engine+"/"+run.Life]
		if isKnown && !run.Elsewhere && run.Sent > since+LeavingBound {
			all = append(all, Violation{"routed leaving", run.At, fmt.Sprintf("%s (%s) got %s from %s, though its termination was known since %v", run.Engine, run.Life, run.ID, run.Daemon, since)})
		}
	}
	for _, engine := range park.engines() {
		ended := engine.Gone
		if ended == 0 {
			ended = park.Now()
		}
		if since, isKnown := park.TerminationLearned[engine.Name+"/"+engine.Life]; isKnown && ended > since+LeavingBound {
			judged++
		}
	}
	return all, judged
}

// engines returns all engine processes of the run, those that have ended first.
func (park *Cluster) engines() []*Engine {
	out := append([]*Engine{}, park.pastEngines...)
	var names []string
	for name := range park.Engines {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		out = append(out, park.Engines[name])
	}
	return out
}

// cold checks that a cold engine gets no more requests in any second, from all data daemons
// together, than its cold rate allows, and that no engine falls over. Requests count if they were
// both sent and received within the second. Judged are the requests that reached a cold engine.
func cold(park *Cluster, _ Facts) (all []Violation, judged int) {
	lives := map[string][]*Run{}
	for _, run := range park.Runs {
		if run.Cold && !run.Elsewhere {
			judged++
			lives[run.Life] = append(lives[run.Life], run)
		}
	}
	for _, engine := range park.engines() {
		runs := lives[engine.Life]
		for index, last := range runs {
			count := 0
			for _, run := range runs[:index+1] {
				if run.Sent > last.At-time.Second {
					count++
				}
			}
			if float64(count) > engine.ColdRate*coldExcess+coldSlack {
				all = append(all, Violation{"cold", last.At, fmt.Sprintf("%s (%s) got %d requests in a second while cold", engine.Name, engine.Life, count)})
				break
			}
		}
	}
	if park.ColdCrashes > 0 {
		all = append(all, Violation{"cold", 0, fmt.Sprintf("%d cold engines fell over", park.ColdCrashes)})
	}
	return all, judged
}

// tenantOf returns the tenant under whose key the attempt may run in this configuration: nil if
// the route needs no key. mayRun is false if the attempt may not run at all.
func (config RoutedConfig) tenantOf(attempt *RoutedAttempt) (tenant *settings.Tenant, mayRun bool) {
	crowd := attempt.request.Crowd
	switch route := config.Tree.Route(crowd.Host, crowd.Path); {
	case route == nil:
		return nil, false
	case route.Keyless || !config.Tree.HasTenants():
		return nil, true
	}
	tenant = config.Tree.TenantByKey(attempt.Key)
	return tenant, tenant != nil
}

// keys checks that nothing runs with a key that no configuration in force has, and that no
// attempt gets 401 (unknown key) for a key that all of them have. Judged are the runs where a key
// is needed and the 401 replies.
func keys(park *Cluster, facts Facts) (all []Violation, judged int) {
	for _, run := range park.Runs {
		if run.Elsewhere || run.NotRun {
			continue
		}
		attempt := park.attempts[run.ID]
		isNeeded, mayRun := false, false
		for _, config := range facts.configsInForce(attempt.Sent, run.At) {
			tenant, may := config.tenantOf(attempt)
			isNeeded, mayRun = isNeeded || tenant != nil || !may, mayRun || may
		}
		if !isNeeded {
			continue
		}
		judged++
		if !mayRun {
			all = append(all, Violation{"keys", run.At, fmt.Sprintf("%s ran on %s, sent by %s, with the key %q, which no configuration in force has", run.ID, run.Engine, run.Daemon, attempt.Key)})
		}
	}
	for _, request := range park.RoutedRequests {
		for _, attempt := range request.Tries {
			if attempt.Status != 401 {
				continue
			}
			judged++
			mayNot := false
			for _, config := range facts.configsInForce(attempt.Sent, attempt.End) {
				_, may := config.tenantOf(attempt)
				mayNot = mayNot || !may
			}
			if !mayNot {
				all = append(all, Violation{"keys", attempt.End, fmt.Sprintf("%s got from %s that its key %q is unknown, which every configuration in force has", attempt.ID, attempt.Daemon, attempt.Key)})
			}
		}
	}
	return all, judged
}

// tenants checks that the tenant named to an engine is the one that has the request's key in a
// configuration in force, and that none is named where no key is needed. Judged are the runs
// under configurations with tenants.
func tenants(park *Cluster, facts Facts) (all []Violation, judged int) {
	for _, run := range park.Runs {
		attempt := park.attempts[run.ID]
		isTenanted, isRightTenant := false, false
		for _, config := range facts.configsInForce(attempt.Sent, run.At) {
			isTenanted = isTenanted || config.Tree.HasTenants()
			if tenant, may := config.tenantOf(attempt); may {
				isRightTenant = isRightTenant || tenant == nil && run.Tenant == "" || tenant != nil && tenant.Name == run.Tenant
			}
		}
		if !isTenanted && run.Tenant == "" {
			continue
		}
		judged++
		if !isRightTenant {
			all = append(all, Violation{"tenant", run.At, fmt.Sprintf("%s with the key %q was sent for tenant %q by %s", run.ID, attempt.Key, run.Tenant, run.Daemon)})
		}
	}
	return all, judged
}

// Bounds of the rule for tenants' limits: the window, and by which share and by how many requests
// a tenant may exceed its limit in it.
const (
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
)

// quotas checks that in no window more requests of a tenant run, over all daemons, than its limit
// and the error bounds allow. Judged are the windows that end with a run of a tenant with a limit.
func quotas(park *Cluster, facts Facts) (all []Violation, judged int) {
	byTenant := map[string][]*Run{}
	for _, run := range park.Runs {
		if run.Ran > 0 && run.Tenant != "" {
			byTenant[run.Tenant] = append(byTenant[run.Tenant], run)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byTenant)) {
		runs := byTenant[name]
		slices.SortStableFunc(runs, func(a, b *Run) int { return cmp.Compare(a.At, b.At) })
		begin, isBroken := 0, false
		for index, run := range runs {
			for runs[begin].Sent <= run.At-quotaWindow {
				begin++
			}
			// A lower limit applies only to windows that begin after it is in force everywhere,
			// so configurations from up to two windows ago count.
			limit := 0.0
			for _, config := range facts.configsInForce(max(0, run.At-2*quotaWindow), run.At) {
				tenant := config.Tree.TenantByName(name)
				if tenant == nil || tenant.PerSecond <= 0 {
					limit = math.Inf(1)
					break
				}
				limit = max(limit, (tenant.PerSecond*quotaWindow.Seconds()+tenant.Burst)*(1+quotaExcess)+quotaSlack)
			}
			if math.IsInf(limit, 1) {
				continue
			}
			judged++
			if count := index - begin + 1; float64(count) > limit && !isBroken {
				isBroken = true
				all = append(all, Violation{"quota", run.At, fmt.Sprintf("%d requests of %s ran within %v, at most %.0f may", count, name, quotaWindow, limit)})
			}
		}
	}
	return all, judged
}

// routedHome checks that a request whose route or tenant has home regions reaches engines there
// only; if both have some, only regions in both are allowed. Judged are the runs of such requests.
func routedHome(park *Cluster, facts Facts) (all []Violation, judged int) {
	for _, run := range park.Runs {
		attempt := park.attempts[run.ID]
		crowd := attempt.request.Crowd
		isBound, isHome := false, false
		for _, config := range facts.configsInForce(attempt.Sent, run.At) {
			if route := config.Tree.Route(crowd.Host, crowd.Path); route != nil {
				tenant, _ := config.tenantOf(attempt)
				region := Region(park.zones[run.Engine])
				isBound = isBound || len(route.Homes) > 0 || tenant != nil && len(tenant.Homes) > 0
				isHome = isHome || route.AllowedIn(region) && tenant.AllowedIn(region)
			}
		}
		if !isBound {
			continue
		}
		judged++
		if !isHome {
			all = append(all, Violation{"routed home", run.At, fmt.Sprintf("%s for %s reached %s, sent by %s", run.ID, crowd.Path, run.Engine, run.Daemon)})
		}
	}
	return all, judged
}

// routedEvacuated checks that nothing sent more than EvacuatedBound after a zone's evacuation
// reaches an engine of that zone. Judged are the runs anywhere while a zone was evacuated.
func routedEvacuated(park *Cluster, facts Facts) (all []Violation, judged int) {
	for _, run := range park.Runs {
		for _, span := range facts.Evacuated {
			if run.Elsewhere || run.Sent <= span.From+EvacuatedBound || span.Until > 0 && run.At >= span.Until {
				continue
			}
			judged++
			if park.zones[run.Engine] == span.Zone {
				all = append(all, Violation{"routed evacuated", run.At, fmt.Sprintf("%s reached %s in %s, sent by %s", run.ID, run.Engine, span.Zone, run.Daemon)})
			}
		}
	}
	return all, judged
}

// routedRetries checks the retry budget per model: in any window, the arrivals at its engines
// beyond the first of each attempt are at most a share (RetryBound) of the attempts that callers
// sent to its routes, whether or not they arrived, plus one per data daemon. The attempts are
// counted in the same window, in the window before and in the one half a window before, and the
// largest count is used. Judged are the arrivals beyond the first.
func routedRetries(park *Cluster, facts Facts) (all []Violation, judged int) {
	repeatTimes, sent := map[string][]time.Duration{}, map[string][]time.Duration{}
	isSeen := map[string]bool{}
	for _, run := range park.Runs {
		if isSeen[run.ID] {
			repeatTimes[run.Model] = append(repeatTimes[run.Model], run.At)
			judged++
		}
		isSeen[run.ID] = true
	}
	for _, request := range park.RoutedRequests {
		for _, attempt := range request.Tries {
			models := map[string]bool{}
			for _, config := range facts.configsInForce(attempt.Sent, attempt.Sent) {
				if route := config.Tree.Route(request.Crowd.Host, request.Crowd.Path); route != nil {
					models[route.Shares[0].Model] = true
				}
			}
			for model := range models {
				sent[model] = append(sent[model], attempt.Sent)
			}
		}
	}
	for model, times := range repeatTimes {
		demand := sent[model]
		sort.Slice(demand, func(a, b int) bool { return demand[a] < demand[b] })
		count := func(from, until time.Duration) int {
			return sort.Search(len(demand), func(n int) bool { return demand[n] > until }) - sort.Search(len(demand), func(n int) bool { return demand[n] > from })
		}
		begin := 0
		for index, end := range times {
			for times[begin] <= end-retryWindow {
				begin++
			}
			fresh := 0
			for _, shift := range []time.Duration{0, retryWindow / 2, retryWindow} {
				fresh = max(fresh, count(end-shift-retryWindow, end-shift))
			}
			if repeated := index - begin + 1; float64(repeated) > RetryBound*float64(fresh)+float64(len(park.Plan.Datas)) {
				all = append(all, Violation{"routed retries", end, fmt.Sprintf("%s got %d repeats against %d requests", model, repeated, fresh)})
				break
			}
		}
	}
	return all, judged
}

// routedLost checks that during planned maintenance no request that a daemon has read ends
// without a complete answer or an error code. Judged are the attempts of requests since Facts.From.
func routedLost(park *Cluster, facts Facts) (all []Violation, judged int) {
	if !facts.Planned {
		return nil, 0
	}
	for _, request := range park.RoutedRequests {
		if request.At < facts.From || request.End == 0 {
			continue
		}
		for _, attempt := range request.Tries {
			judged++
			if attempt.IsRead && !attempt.IsWhole && attempt.Code == "" {
				all = append(all, Violation{"routed lost", request.End, fmt.Sprintf("%s ended %s at %s, status %d, %d tokens", attempt.ID, request.Verdict, attempt.Daemon, attempt.Status, attempt.Tokens)})
			}
		}
	}
	return all, judged
}

// RoutedRate counts the requests that were started in a period, and those of them that succeeded.
func RoutedRate(park *Cluster, from, until time.Duration) (answered, asked int) {
	for _, request := range park.RoutedRequests {
		if request.At < from || request.At >= until {
			continue
		}
		asked++
		if request.Verdict == "ok" {
			answered++
		}
	}
	return answered, asked
}
