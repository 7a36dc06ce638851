package fleet_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"swifttiller/fleet"
)

// partlySeeds are how many seeds a share is of: one seed's is a matter of two or three
// requests.
const partlySeeds = 4

// partly has some engines fail in part for a while, and gives what share of the requests
// made meanwhile ended well, over all seeds.
func partly(t *testing.T, change func(park *fleet.Park, engine *fleet.Engine, isIll bool)) float64 {
	t.Helper()
	answered, asked := 0, 0
	for seed := uint64(1); seed <= partlySeeds; seed++ {
		well, all := partlyOnce(t, seed, change)
		answered, asked = answered+well, asked+all
	}
	t.Logf("%s: %d of %d ended well", t.Name(), answered, asked)
	return float64(answered) / float64(max(1, asked))
}

func partlyOnce(t *testing.T, seed uint64, change func(park *fleet.Park, engine *fleet.Engine, isIll bool)) (answered, asked int) {
	t.Helper()
	park := fleet.NewPark(seed, fleet.RoutedShapes["large"].Plan())
	defer park.Close()
	park.Run(warmRouted)
	facts := park.BeginRouted()
	index, until := 0, park.Now()+20*time.Second
	for _, options := range park.Plan.Engines {
		index++
		change(park, park.Engines[options.Name], index%4 == 1)
	}
	park.Run(until - park.Now())
	answered, asked = fleet.RoutedRate(park, facts.From, until-3*time.Second)
	for _, options := range park.Plan.Engines {
		park.Engines[options.Name].Grey, park.Engines[options.Name].SaysIll = fleet.Grey{}, false
	}
	park.Run(4 * time.Second)
	park.Quiet = true
	park.Run(6500 * time.Millisecond)
	broken, _ := fleet.CheckRouted(park, facts)
	show(t, seed, broken)
	return answered, asked
}

// TestPartlyFailing: engines that fail a part of their requests while their probes are
// answered well are left alone by those whom they fail.
func TestPartlyFailing(t *testing.T) {
	t.Parallel()
	for _, one := range []struct {
		name string
		grey fleet.Grey
		slow float64
		// least is the share that must end well.
		least float64
	}{
		{"errors", fleet.Grey{How: "errors", Share: 0.4}, 0, 0.967},
		{"all errors", fleet.Grey{How: "errors", Share: 1}, 0, 0.96},
		{"shed", fleet.Grey{How: "shed", Share: 0.8}, 0, 0.993},
		{"reset", fleet.Grey{How: "reset", Share: 0.4}, 0, 0.967},
		{"hang", fleet.Grey{How: "hang", Share: 0.3}, 0, 0.97},
		{"mute", fleet.Grey{How: "mute", Share: 0.3}, 0, 0.97},
		{"for one zone", fleet.Grey{How: "errors", Share: 0.8, Zone: "east-1"}, 0, 0.985},
		{"slow", fleet.Grey{}, 8, 0.974},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			share := partly(t, func(_ *fleet.Park, engine *fleet.Engine, isIll bool) {
				if isIll {
					engine.Grey = one.grey
					if one.slow > 0 {
						engine.Slower = one.slow
					}
				}
			})
			if share < one.least {
				t.Errorf("%.3f ended well", share)
			}
		})
	}
}

// TestFalseProbes: engines that say that they are ill and serve well stay in use; so do
// the others when some say that they are well and fail all (TestPartlyFailing).
func TestFalseProbes(t *testing.T) {
	t.Parallel()
	share := partly(t, func(park *fleet.Park, engine *fleet.Engine, _ bool) {
		engine.SaysIll = fleet.Region(engine.Zone) == park.Shape.Regions[0]
	})
	if share < 1 {
		t.Errorf("%.3f ended well", share)
	}
}

// busiest are the engines that got the most requests since a time, the most first.
func busiest(park *fleet.Park, since time.Duration, count int) (names []string) {
	runs := map[string]int{}
	for _, run := range park.Runs {
		if run.At > since {
			runs[run.Engine]++
		}
	}
	for name := range runs {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(runs[b]-runs[a], strings.Compare(a, b)) })
	return names[:min(count, len(names))]
}

// startFades is how long after the start its crowd no longer speaks against an engine: one
// whose first pieces were mostly late then may be taken out for saying that it is ill.
const startFades = 12 * time.Second

// TestProbesWordIsNotEnough: engines that say that they are ill and serve well get requests.
func TestProbesWordIsNotEnough(t *testing.T) {
	t.Parallel()
	last := uint64(8)
	if testing.Short() {
		last = 1 // under the race detector, which has one task at a time to look at
	}
	for seed := uint64(1); seed <= last; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			park := fleet.NewPark(seed, fleet.RoutedShapes["large"].Plan())
			defer park.Close()
			park.Run(warmRouted + startFades)
			ill := busiest(park, 0, 5)
			for _, name := range ill {
				park.Engines[name].SaysIll = true
			}
			park.Run(8 * time.Second)
			from := park.Now()
			park.Run(6 * time.Second)
			used := busiest(park, from, 100)
			for _, name := range ill {
				if !slices.Contains(used, name) {
					t.Errorf("%s says that it is ill, and gets nothing", name)
				}
			}
		})
	}
}

func others(park *fleet.Park, name string) []string {
	return slices.DeleteFunc(slices.Clone(park.NodeNames()), func(other string) bool { return other == name })
}

// TestFlapping: engines that go down and up by turns cost few requests, and are used
// again once they stay.
func TestFlapping(t *testing.T) {
	t.Parallel()
	park := fleet.NewPark(1, fleet.RoutedShapes["large"].Plan())
	defer park.Close()
	park.Run(warmRouted)
	facts := park.BeginRouted()
	names := busiest(park, 0, 2)
	for range 5 {
		for _, name := range names {
			park.Split([]string{name}, others(park, name), true)
		}
		park.Run(1200 * time.Millisecond)
		for _, name := range names {
			park.Split([]string{name}, others(park, name), false)
		}
		park.Run(1200 * time.Millisecond)
	}
	until := park.Now()
	park.Run(20 * time.Second)
	answered, asked := fleet.RoutedRate(park, facts.From, until)
	t.Logf("%d of %d ended well", answered, asked)
	if answered*100 < asked*90 {
		t.Error("too few")
	}
	used := busiest(park, park.Now()-6*time.Second, 100)
	for _, name := range names {
		if !slices.Contains(used, name) {
			t.Errorf("%s is not used again", name)
		}
	}
}
