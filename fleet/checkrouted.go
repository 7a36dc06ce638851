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

// Book is a configuration with routes that may be in force: it was asked for, and
// acknowledged; zero while it was not.
type Book struct {
	Asked, Acked time.Duration
	Tree         *settings.Tree
}

// Bounds of the rules for routed requests.
const (
	// coldExcess is how many times its cold rate, and coldSlack how many requests more,
	// a cold engine may get in one second.
	coldExcess = 1.5
	coldSlack  = 5
)

// RoutedRules are the rules for routed requests, by what callers and engines saw.
var RoutedRules = []Rule{
	{"rerun", rerun}, {"promise", promise}, {"whole", whole}, {"held", held}, {"routes", routes}, {"routed leaving", routedLeaving}, {"cold", cold},
	{"routed home", routedHome}, {"routed evacuated", routedEvacuated}, {"routed retries", routedRetries}, {"routed lost", routedLost}, {"fallback", fallback},
	{"keys", keys}, {"tenant", tenants}, {"quota", quotas},
}

// CheckRouted applies them.
func CheckRouted(park *Park, facts Facts) (all []Broken, judged map[string]int) {
	return apply(RoutedRules, park, facts)
}

// runsOf are the runs of each try, in the order in which they arrived.
func (park *Park) runsOf() map[string][]*Run {
	out := map[string][]*Run{}
	for _, run := range park.Runs {
		out[run.ID] = append(out[run.ID], run)
	}
	return out
}

// rerun: a request that may not be repeated runs once at most, whatever its tries are
// told. Judged: those that were sent more than once, or whose try did not end well.
func rerun(park *Park, _ Facts) (all []Broken, judged int) {
	runs := park.runsOf()
	for _, one := range park.RoutedRequests {
		if one.Crowd.Repeatable {
			continue
		}
		ran, sent := 0, 0
		var last *Run
		for _, try := range one.Tries {
			for _, run := range runs[try.ID] {
				sent++
				if run.Ran > 0 {
					ran++
					last = run
				}
			}
		}
		if sent > 1 || len(one.Tries) > 1 || one.Verdict != "ok" {
			judged++
		}
		if ran > 1 {
			all = append(all, Broken{"rerun", last.Ran, fmt.Sprintf("%s ran %d times, at last on %s by %s", one.ID, ran, last.Engine, last.Daemon)})
		}
	}
	return all, judged
}

// promise: what was told 408, 421, 429 or 503 has not run and never does. Judged: tries
// that were told so.
func promise(park *Park, _ Facts) (all []Broken, judged int) {
	runs := park.runsOf()
	for _, one := range park.RoutedRequests {
		for _, try := range one.Tries {
			if !try.promised() {
				continue
			}
			judged++
			for _, run := range runs[try.ID] {
				if run.Ran > 0 {
					all = append(all, Broken{"promise", try.End, fmt.Sprintf("%s was told %d %s by %s but ran on %s at %v", try.ID, try.Status, try.Code, try.Daemon, run.Engine, run.Ran)})
				}
			}
		}
	}
	return all, judged
}

// whole: a caller gets its own events, each once and in order, also over a resumption;
// a stream that ended cleanly is complete, and a run that goes on with another one was
// asked to go on behind the last event. Judged: requests that got anything.
func whole(park *Park, _ Facts) (all []Broken, judged int) {
	for _, one := range park.RoutedRequests {
		if one.Got > 0 || one.Verdict == "ok" {
			judged++
		}
		if one.Wrong != "" {
			all = append(all, Broken{"whole", one.End, one.ID + " " + one.Wrong})
		}
		if one.Verdict == "ok" && one.Got != one.Crowd.Most {
			all = append(all, Broken{"whole", one.End, fmt.Sprintf("%s is called whole with %d of %d tokens", one.ID, one.Got, one.Crowd.Most)})
		}
	}
	return all, judged
}

// held: every request ends, and no try is held past its caller's patience. Judged:
// requests that began early enough to have ended.
func held(park *Park, _ Facts) (all []Broken, judged int) {
	for _, one := range park.RoutedRequests {
		bound := one.At + one.Crowd.Patience + 2*time.Second
		switch {
		case park.Now() < bound:
		case one.End == 0 || one.End > bound:
			judged++
			all = append(all, Broken{"held", one.At, fmt.Sprintf("%s was held from %v to %v (0: to the end), %d tries", one.ID, one.At, one.End, len(one.Tries))})
		default:
			judged++
		}
	}
	return all, judged
}

// books are those that a request sent at one time and handled at another may have been
// handled by: those asked for before, but for ones that a newer one had replaced for
// longer than the bound.
func (facts Facts) books(sent, handled time.Duration) (out []Book) {
	for at, one := range facts.Books {
		if one.Asked > handled {
			continue
		}
		isOld := false
		for _, newer := range facts.Books[at+1:] {
			isOld = isOld || newer.Acked > 0 && sent > newer.Acked+OldConfigBound
		}
		if !isOld {
			out = append(out, one)
		}
	}
	return out
}

// routes: nothing runs on a model, and nothing is told that there is no route, by a
// configuration that was replaced for longer than the bound, or by none. Judged: runs
// and such words.
func routes(park *Park, facts Facts) (all []Broken, judged int) {
	for _, run := range park.Runs {
		if run.Elsewhere || run.NotRun || len(facts.Books) == 0 {
			continue
		}
		judged++
		try := park.tried[run.ID]
		crowd := try.request.Crowd
		isAllowed := false
		for _, book := range facts.books(try.Sent, run.At) {
			if route := book.Tree.Route(crowd.Host, crowd.Path); route != nil {
				for _, share := range route.Shares {
					isAllowed = isAllowed || share.Model == run.Model && share.Weight > 0
				}
			}
		}
		if !isAllowed {
			all = append(all, Broken{"routes", run.At, fmt.Sprintf("%s of %s ran on %s (%s) by %s, which no configuration in force allows", run.ID, crowd.Path, run.Engine, run.Model, run.Daemon)})
		}
	}
	for _, one := range park.RoutedRequests {
		for _, try := range one.Tries {
			if try.Status != 404 {
				continue
			}
			judged++
			isAllowed := false
			for _, book := range facts.books(try.Sent, try.End) {
				isAllowed = isAllowed || book.Tree.Route(one.Crowd.Host, one.Crowd.Path) == nil
			}
			if !isAllowed {
				all = append(all, Broken{"routes", try.End, fmt.Sprintf("%s was told by %s that %s has no route, which every configuration in force has", try.ID, try.Daemon, one.Crowd.Path)})
			}
		}
	}
	return all, judged
}

// routedLeaving: a life gets nothing that was sent later than the bound after the list
// showed that it ends. Judged: lives that stood on past it.
func routedLeaving(park *Park, _ Facts) (all []Broken, judged int) {
	for _, run := range park.Runs {
		since, isKnown := park.Learned[run.Engine+"/"+run.Life]
		if isKnown && !run.Elsewhere && run.Sent > since+LeavingBound {
			all = append(all, Broken{"routed leaving", run.At, fmt.Sprintf("%s (%s) got %s by %s, known to be leaving since %v", run.Engine, run.Life, run.ID, run.Daemon, since)})
		}
	}
	for _, engine := range park.engines() {
		ended := engine.Gone
		if ended == 0 {
			ended = park.Now()
		}
		if since, isKnown := park.Learned[engine.Name+"/"+engine.Life]; isKnown && ended > since+LeavingBound {
			judged++
		}
	}
	return all, judged
}

// engines are all lives, those that are gone first.
func (park *Park) engines() []*Engine {
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

// cold: a cold engine gets, from all daemons together, no more in any second than its
// rate allows, and none falls over. Counted are those sent and arrived within the
// second. Judged: requests that came to a cold one.
func cold(park *Park, _ Facts) (all []Broken, judged int) {
	lives := map[string][]*Run{}
	for _, run := range park.Runs {
		if run.Cold && !run.Elsewhere {
			judged++
			lives[run.Life] = append(lives[run.Life], run)
		}
	}
	for _, engine := range park.engines() {
		runs := lives[engine.Life]
		for at, last := range runs {
			count := 0
			for _, one := range runs[:at+1] {
				if one.Sent > last.At-time.Second {
					count++
				}
			}
			if float64(count) > engine.ColdRate*coldExcess+coldSlack {
				all = append(all, Broken{"cold", last.At, fmt.Sprintf("%s (%s) got %d requests in a second while cold", engine.Name, engine.Life, count)})
				break
			}
		}
	}
	if park.Fallen > 0 {
		all = append(all, Broken{"cold", 0, fmt.Sprintf("%d cold engines fell over", park.Fallen)})
	}
	return all, judged
}

// holderOf is by which tenant's key a try may run under the book: nil for nobody's; false
// when it may not run at all.
func (book Book) holderOf(try *RoutedTry) (holder *settings.Tenant, mayRun bool) {
	crowd := try.request.Crowd
	switch route := book.Tree.Route(crowd.Host, crowd.Path); {
	case route == nil:
		return nil, false
	case route.Keyless || !book.Tree.HasTenants():
		return nil, true
	}
	holder = book.Tree.TenantByKey(try.Key)
	return holder, holder != nil
}

// keys: nothing runs with a key that no configuration in force has, nor is anything told
// that its key is not known which all of them have. Judged: runs where a key is needed,
// and such words.
func keys(park *Park, facts Facts) (all []Broken, judged int) {
	for _, run := range park.Runs {
		if run.Elsewhere || run.NotRun {
			continue
		}
		try := park.tried[run.ID]
		isNeeded, mayRun := false, false
		for _, book := range facts.books(try.Sent, run.At) {
			holder, may := book.holderOf(try)
			isNeeded, mayRun = isNeeded || holder != nil || !may, mayRun || may
		}
		if !isNeeded {
			continue
		}
		judged++
		if !mayRun {
			all = append(all, Broken{"keys", run.At, fmt.Sprintf("%s ran on %s by %s with the key %q, which no configuration in force has", run.ID, run.Engine, run.Daemon, try.Key)})
		}
	}
	for _, one := range park.RoutedRequests {
		for _, try := range one.Tries {
			if try.Status != 401 {
				continue
			}
			judged++
			mayNot := false
			for _, book := range facts.books(try.Sent, try.End) {
				_, may := book.holderOf(try)
				mayNot = mayNot || !may
			}
			if !mayNot {
				all = append(all, Broken{"keys", try.End, fmt.Sprintf("%s was told by %s that its key %q is not known, which every configuration in force has", try.ID, try.Daemon, try.Key)})
			}
		}
	}
	return all, judged
}

// tenants: an engine is told the tenant that holds its request's key by a configuration in
// force, and none where no key is needed. Judged: runs under books with tenants.
func tenants(park *Park, facts Facts) (all []Broken, judged int) {
	for _, run := range park.Runs {
		try := park.tried[run.ID]
		isTenanted, isHolder := false, false
		for _, book := range facts.books(try.Sent, run.At) {
			isTenanted = isTenanted || book.Tree.HasTenants()
			if holder, may := book.holderOf(try); may {
				isHolder = isHolder || holder == nil && run.Tenant == "" || holder != nil && holder.Name == run.Tenant
			}
		}
		if !isTenanted && run.Tenant == "" {
			continue
		}
		judged++
		if !isHolder {
			all = append(all, Broken{"tenant", run.At, fmt.Sprintf("%s with the key %q is %q's by the word of %s", run.ID, try.Key, run.Tenant, run.Daemon)})
		}
	}
	return all, judged
}

// Terms of the rule for tenants' limits.
const (
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
)

// quotas: in no window do more requests of a tenant run than its limit and the error allow,
// counted over all daemons. Judged: windows that end with a run of a tenant with a limit.
func quotas(park *Park, facts Facts) (all []Broken, judged int) {
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
		for at, run := range runs {
			for runs[begin].Sent <= run.At-quotaWindow {
				begin++
			}
			// A lower limit binds a window after it is in force everywhere.
			most := 0.0
			for _, book := range facts.books(max(0, run.At-2*quotaWindow), run.At) {
				holder := book.Tree.TenantByName(name)
				if holder == nil || holder.PerSecond <= 0 {
					most = math.Inf(1)
					break
				}
				most = max(most, (holder.PerSecond*quotaWindow.Seconds()+holder.Burst)*(1+quotaExcess)+quotaSlack)
			}
			if math.IsInf(most, 1) {
				continue
			}
			judged++
			if count := at - begin + 1; float64(count) > most && !isBroken {
				isBroken = true
				all = append(all, Broken{"quota", run.At, fmt.Sprintf("%d requests of %s ran within %v, at the most %.0f may", count, name, quotaWindow, most)})
			}
		}
	}
	return all, judged
}

// routedHome: a request whose route or tenant has homes reaches engines in those alone,
// which are those of both where both have some. Judged: runs of such requests.
func routedHome(park *Park, facts Facts) (all []Broken, judged int) {
	for _, run := range park.Runs {
		try := park.tried[run.ID]
		crowd := try.request.Crowd
		isBound, isHome := false, false
		for _, book := range facts.books(try.Sent, run.At) {
			if route := book.Tree.Route(crowd.Host, crowd.Path); route != nil {
				holder, _ := book.holderOf(try)
				region := Region(park.zones[run.Engine])
				isBound = isBound || len(route.Homes) > 0 || holder != nil && len(holder.Homes) > 0
				isHome = isHome || route.AllowedIn(region) && holder.AllowedIn(region)
			}
		}
		if !isBound {
			continue
		}
		judged++
		if !isHome {
			all = append(all, Broken{"routed home", run.At, fmt.Sprintf("%s of %s reached %s by %s", run.ID, crowd.Path, run.Engine, run.Daemon)})
		}
	}
	return all, judged
}

// routedEvacuated: from the bound on nothing that is sent then reaches an engine of a
// zone that is out. Judged: runs anywhere while one was.
func routedEvacuated(park *Park, facts Facts) (all []Broken, judged int) {
	for _, run := range park.Runs {
		for _, span := range facts.Evacuated {
			if run.Elsewhere || run.Sent <= span.From+EvacuatedBound || span.Until > 0 && run.At >= span.Until {
				continue
			}
			judged++
			if park.zones[run.Engine] == span.Zone {
				all = append(all, Broken{"routed evacuated", run.At, fmt.Sprintf("%s reached %s in %s by %s", run.ID, run.Engine, span.Zone, run.Daemon)})
			}
		}
	}
	return all, judged
}

// routedRetries: what a model's engines get beyond the first arrival of each try, in
// any window, is within a share of what callers sent to its routes in it, whether or not
// it arrived, or in the window before or the one half a window before, whichever had
// most, and one per daemon.
// Judged: such arrivals.
func routedRetries(park *Park, facts Facts) (all []Broken, judged int) {
	again, sent := map[string][]time.Duration{}, map[string][]time.Duration{}
	isSeen := map[string]bool{}
	for _, run := range park.Runs {
		if isSeen[run.ID] {
			again[run.Model] = append(again[run.Model], run.At)
			judged++
		}
		isSeen[run.ID] = true
	}
	for _, one := range park.RoutedRequests {
		for _, try := range one.Tries {
			models := map[string]bool{}
			for _, book := range facts.books(try.Sent, try.Sent) {
				if route := book.Tree.Route(one.Crowd.Host, one.Crowd.Path); route != nil {
					models[route.Shares[0].Model] = true
				}
			}
			for model := range models {
				sent[model] = append(sent[model], try.Sent)
			}
		}
	}
	for model, list := range again {
		asks := sent[model]
		sort.Slice(asks, func(a, b int) bool { return asks[a] < asks[b] })
		count := func(from, until time.Duration) int {
			return sort.Search(len(asks), func(n int) bool { return asks[n] > until }) - sort.Search(len(asks), func(n int) bool { return asks[n] > from })
		}
		begin := 0
		for at, now := range list {
			for list[begin] <= now-retryWindow {
				begin++
			}
			fresh := 0
			for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
				fresh = max(fresh, count(now-back-retryWindow, now-back))
			}
			if more := at - begin + 1; float64(more) > RetryBound*float64(fresh)+float64(len(park.Plan.Datas)) {
				all = append(all, Broken{"routed retries", now, fmt.Sprintf("%s got %d repeats against %d requests", model, more, fresh)})
				break
			}
		}
	}
	return all, judged
}

// routedLost: in planned work no request that a daemon has read ends without a whole
// answer or a clear word. Judged: requests since the facts' beginning.
func routedLost(park *Park, facts Facts) (all []Broken, judged int) {
	if !facts.Planned {
		return nil, 0
	}
	for _, one := range park.RoutedRequests {
		if one.At < facts.From || one.End == 0 {
			continue
		}
		for _, try := range one.Tries {
			judged++
			if try.IsRead && !try.IsWhole && try.Code == "" {
				all = append(all, Broken{"routed lost", one.End, fmt.Sprintf("%s ended %s at %s, status %d, %d tokens", try.ID, one.Verdict, try.Daemon, try.Status, try.Tokens)})
			}
		}
	}
	return all, judged
}

// RoutedRate counts requests that ended well, and all, of those begun within a span.
func RoutedRate(park *Park, from, until time.Duration) (answered, asked int) {
	for _, one := range park.RoutedRequests {
		if one.At < from || one.At >= until {
			continue
		}
		asked++
		if one.Verdict == "ok" {
			answered++
		}
	}
	return answered, asked
}
