package fleet_test

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"swifttiller/fleet"
	"swifttiller/settings"
)

// routedWarmupTime is the time after which a routed fleet has settled: its daemons have leases, and its
// engines have cached the shared prefixes.
const routedWarmupTime = 5 * time.Second

// tryRouted injects a fault into a warm routed fleet and checks every rule.
func tryRouted(t *testing.T, shape string, seed uint64, fault fleet.Fault) {
	t.Helper()
	park := fleet.NewCluster(seed, fleet.RoutedShapes[shape].Tenanted().Plan())
	defer park.Close()
	park.Run(routedWarmupTime)
	facts := park.BeginRouted()
	facts.Planned = fault.Planned
	fault.Run(park, &facts)
	park.Run(4 * time.Second)
	from := park.Now()
	park.Run(3 * time.Second)
	park.Quiet = true
	until := park.Now()
	park.Run(6500 * time.Millisecond)
	answered, asked := fleet.RoutedRate(park, from, until)
	during, all := fleet.RoutedRate(park, facts.From, from)
	broken, judged := fleet.CheckRouted(park, facts)
	reportViolations(t, seed, broken)
	for _, missed := range facts.FailedPreconditions {
		t.Errorf("vacuous: %v", missed)
	}
	for _, rule := range fault.Judges {
		if judged[rule] == 0 {
			t.Errorf("vacuous: the checker for %q judged nothing", rule)
		}
	}
	if asked == 0 || answered*10 < asked*9 {
		t.Errorf("%d of %d requests were answered after the fault ended", answered, asked)
	}
	t.Logf("%d of %d requests succeeded during the fault, %d of %d after it; judged %v", during, all, answered, asked, judged)
	if t.Failed() {
		t.Logf("replay: go test ./fleet -run '%s' -seed %d", t.Name(), seed)
	}
}

// TestRoutedCalm checks that no rule is broken, and every request is answered, without faults.
func TestRoutedCalm(t *testing.T) {
	t.Parallel()
	for name := range fleet.RoutedShapes {
		if testing.Short() && name != "small" {
			continue // a simulation has one task at a time, so the race detector gains little from it
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tryRouted(t, name, 1, fleet.Fault{Name: "nothing", Planned: true, Run: func(park *fleet.Cluster, facts *fleet.Facts) {
				park.Run(10 * time.Second)
				answered, asked := fleet.RoutedRate(park, routedWarmupTime, park.Now()-3*time.Second)
				facts.Must(fmt.Sprintf("%d of %d are served", answered, asked), answered == asked && asked > 200)
				facts.Must("engines get no orders", park.EngineOrders == 0)
				read, kept := 0, 0
				for _, engine := range park.Engines {
					read += engine.ReadTokens
					kept += engine.CachedTokens
				}
				facts.Must(fmt.Sprintf("of prompts, %d tokens are read and %d kept", read, kept), kept > read)
			}, Judges: []string{"whole", "held", "routes", "routed home", "routed lost", "keys", "tenant"}})
		})
	}
}

// TestRoutedFaults injects each fault into a fleet of each shape.
func TestRoutedFaults(t *testing.T) {
	t.Parallel()
	for offset := uint64(0); offset < uint64(*seedCount); offset++ {
		for name := range fleet.RoutedShapes {
			for index, fault := range fleet.RoutedFaults {
				if testing.Short() && (index%9 != 2 || name != "small") {
					continue
				}
				seed := *firstSeed + offset
				t.Run(fmt.Sprintf("%s/%s/%d", name, fault.Name, seed), func(t *testing.T) {
					t.Parallel()
					tryRouted(t, name, seed, fault)
				})
			}
		}
	}
}

// TestEveryRoutedCheckerCanFire gives each checker a history with one forged violation, which it must
// report. None of them may report anything on the history without it.
func TestEveryRoutedCheckerCanFire(t *testing.T) {
	t.Parallel()
	park := fleet.NewCluster(3, fleet.RoutedShapes["small"].Tenanted().Plan())
	defer park.Close()
	park.Run(routedWarmupTime)
	facts := park.BeginRouted()
	facts.Planned = true
	park.Run(6 * time.Second)
	park.Quiet = true
	park.Run(6500 * time.Millisecond)
	broken, _ := fleet.CheckRouted(park, facts)
	reportViolations(t, 3, broken)
	// runOf returns a successful run of one of the crowd's requests, and the request.
	runOf := func(crowd string) (*fleet.Run, *fleet.RoutedRequest) {
		for _, request := range park.RoutedRequests {
			for _, run := range park.Runs {
				if request.Crowd.Name == crowd && request.Verdict == "ok" && request.At > facts.From && run.ID == request.Tries[0].ID && run.Ran > 0 {
					return run, request
				}
			}
		}
		t.Fatalf("no successful run of the crowd %s", crowd)
		return nil, nil
	}
	shown := map[string]bool{}
	for name, forge := range map[string]func(facts *fleet.Facts) (undo func()){
		"rerun": func(*fleet.Facts) func() {
			run, _ := runOf("notice-north")
			before := park.Runs
			again := *run
			park.Runs = append(append([]*fleet.Run{}, before...), &again)
			return func() { park.Runs = before }
		},
		"promise": func(*fleet.Facts) func() {
			_, request := runOf("notice-north")
			before := *request.Tries[0]
			request.Tries[0].Status = 503
			return func() { *request.Tries[0] = before }
		},
		"whole": func(*fleet.Facts) func() {
			_, request := runOf("check-south")
			request.TokensReceived--
			return func() { request.TokensReceived++ }
		},
		"held": func(*fleet.Facts) func() {
			_, request := runOf("check-south")
			before := request.End
			request.End = 0
			return func() { request.End = before }
		},
		"routes": func(*fleet.Facts) func() {
			run, _ := runOf("moved-sea")
			before := run.Model
			run.Model = "scribe"
			return func() { run.Model = before }
		},
		"routes/404": func(*fleet.Facts) func() {
			_, request := runOf("moved-sea")
			before := *request.Tries[0]
			request.Tries[0].Status = 404
			return func() { *request.Tries[0] = before }
		},
		"routes/acknowledged": func(facts *fleet.Facts) func() {
			// Requests run under an older configuration, though a newer one without routes to
			// the model was acknowledged.
			routes := park.Shape.Routes()
			delete(routes, "moved")
			tree, problems := settings.Parse([]byte(park.Shape.Document(routes)))
			if len(problems) > 0 {
				t.Fatal(problems)
			}
			facts.RoutedConfigs = append(append([]fleet.RoutedConfig{}, facts.RoutedConfigs...), fleet.RoutedConfig{Asked: facts.From, Acked: facts.From, Tree: tree})
			return func() {}
		},
		"routed leaving": func(*fleet.Facts) func() {
			run, _ := runOf("check-south")
			park.TerminationLearned[run.Engine+"/"+run.Life] = time.Millisecond
			return func() { delete(park.TerminationLearned, run.Engine+"/"+run.Life) }
		},
		"cold": func(*fleet.Facts) func() {
			// Marks all runs as cold, and sets a rate limit that two cold runs a second exceed.
			for _, run := range park.Runs {
				run.Cold = true
			}
			before := map[*fleet.Engine]float64{}
			for _, engine := range park.Engines {
				before[engine] = engine.ColdRate
				engine.ColdRate = -8.0 / 3
			}
			return func() {
				for engine, rate := range before {
					engine.ColdRate = rate
				}
				for _, run := range park.Runs {
					run.Cold = false
				}
			}
		},
		"routed home": func(*fleet.Facts) func() {
			run, _ := runOf("notice-north")
			before := run.Engine
			run.Engine = "e-south-1"
			return func() { run.Engine = before }
		},
		"routed home/tenant": func(*fleet.Facts) func() {
			// The tenant harbour has no home in that region, though its route does.
			for _, run := range park.Runs {
				if run.Tenant == "harbour" && run.Ran > 0 && strings.HasPrefix(run.ID, "check-north") {
					before := run.Engine
					run.Engine = "e-sea-1"
					return func() { run.Engine = before }
				}
			}
			t.Fatal("no request of the tenant harbour ran")
			return nil
		},
		"keys": func(*fleet.Facts) func() {
			_, request := runOf("check-south")
			before := request.Tries[0].Key
			request.Tries[0].Key = "nobody's"
			return func() { request.Tries[0].Key = before }
		},
		"quota": func(*fleet.Facts) func() {
			// Counts all runs as the tenant fair's.
			before := map[*fleet.Run]string{}
			for _, run := range park.Runs {
				before[run], run.Tenant = run.Tenant, "fair"
			}
			return func() {
				for run, tenant := range before {
					run.Tenant = tenant
				}
			}
		},
		"keys/401": func(*fleet.Facts) func() {
			_, request := runOf("check-south")
			before := *request.Tries[0]
			request.Tries[0].Status = 401
			return func() { *request.Tries[0] = before }
		},
		"keys/acknowledged": func(facts *fleet.Facts) func() {
			// A key still works, though a configuration without it was acknowledged.
			tenants := maps.Clone(park.Shape.Tenants)
			tenants["market"] = `"keys":["market-2"]`
			shape := park.Shape
			shape.Tenants = tenants
			tree, problems := settings.Parse([]byte(shape.Document(shape.Routes())))
			if len(problems) > 0 {
				t.Fatal(problems)
			}
			facts.RoutedConfigs = append(append([]fleet.RoutedConfig{}, facts.RoutedConfigs...), fleet.RoutedConfig{Asked: facts.From, Acked: facts.From, Tree: tree})
			return func() {}
		},
		"tenant": func(*fleet.Facts) func() {
			run, _ := runOf("check-south")
			before := run.Tenant
			run.Tenant = "harbour"
			if before == "harbour" {
				run.Tenant = "market"
			}
			return func() { run.Tenant = before }
		},
		"tenant/nobody's": func(*fleet.Facts) func() {
			run, _ := runOf("check-south")
			before := run.Tenant
			run.Tenant = ""
			return func() { run.Tenant = before }
		},
		"tenant/keyless": func(*fleet.Facts) func() {
			run, _ := runOf("moved-sea")
			run.Tenant = "market"
			return func() { run.Tenant = "" }
		},
		"routed evacuated": func(facts *fleet.Facts) func() {
			facts.Evacuated = []fleet.Evacuation{{Zone: "south-1", From: 0}}
			return func() {}
		},
		"routed retries": func(*fleet.Facts) func() {
			run, _ := runOf("check-south")
			before := park.Runs
			all := append([]*fleet.Run{}, before...)
			for range 200 {
				all = append(all, run)
			}
			park.Runs = all
			return func() { park.Runs = before }
		},
		"routed lost": func(*fleet.Facts) func() {
			_, request := runOf("check-south")
			request.Tries[0].IsWhole = false
			return func() { request.Tries[0].IsWhole = true }
		},
		"fallback": func(*fleet.Facts) func() {
			before, lives := park.Adopted, park.Starts
			last := before[len(before)-1]
			park.Starts = append(append([]fleet.Start{}, lives...), fleet.Start{At: park.Now(), Daemon: last.Daemon, MinVersion: last.Serial})
			last.At, last.Serial = park.Now(), 0
			park.Adopted = append(append([]fleet.Adopted{}, before...), last)
			return func() { park.Adopted, park.Starts = before, lives }
		},
	} {
		shown[strings.Split(name, "/")[0]] = true
		t.Run(name, func(t *testing.T) {
			rule, _, _ := strings.Cut(name, "/")
			own := facts
			undo := forge(&own)
			defer undo()
			broken, judged := fleet.CheckRouted(park, own)
			if judged[rule] == 0 {
				t.Errorf("the checker for %q judged nothing", rule)
			}
			for _, violation := range broken {
				if violation.Rule == rule {
					return
				}
			}
			t.Errorf("the checker for %q did not fire", rule)
		})
	}
	for _, rule := range fleet.RoutedRules {
		if !shown[rule.Name] {
			t.Errorf("no forged history shows that the checker for %q can fire", rule.Name)
		}
	}
}

// TestLyingEngine checks that an event missing in the middle of a stream is detected.
func TestLyingEngine(t *testing.T) {
	t.Parallel()
	plan := fleet.RoutedShapes["small"].Plan()
	for at := range plan.Engines {
		plan.Engines[at].Skips = 0.05
	}
	park := fleet.NewCluster(4, plan)
	defer park.Close()
	park.Run(4 * time.Second)
	broken, _ := fleet.CheckRouted(park, park.BeginRouted())
	for _, violation := range broken {
		if violation.Rule == "whole" {
			return
		}
	}
	t.Error("the checker for \"whole\" did not fire")
}
