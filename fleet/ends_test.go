package fleet_test

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"swifttiller/fleet"
	"swifttiller/settings"
)

// descriptiveLimits are limits that describe the replicas or what users tolerate. A value that
// does not match reality breaks the guarantee by itself, so no rule can be checked with it.
// archive_ms is excluded because Vary changes it.
var descriptiveLimits = map[string]bool{"cold_share": true, "warm_ms": true, "warm_answers": true, "prompt_unit_bytes": true, "answer_unit_tokens": true, "stall_ms": true, "request_ms": true, "archive_ms": true}

// companionLimits are the limits that validation requires to be set along with the least or most of
// another limit.
var companionLimits = map[string]string{"probe_ms most": `"dark_ms":10000,`, "dark_ms least": `"probe_ms":50,`}

// TestSettingsAtTheirEnds verifies that the invariants hold with any one limit at the minimum or the
// maximum that validation accepts.
func TestSettingsAtTheirEnds(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("a long simulation that runs one goroutine at a time, which gives the race detector nothing to check")
	}
	names := []string{"sahayogi", "sklepik"}
	for limit, bound := range settings.Limits {
		if descriptiveLimits[limit] {
			continue
		}
		for end, value := range map[string]float64{"least": bound.Min, "most": bound.Max} {
			if limit == "probe_ms" {
				value = min(value, settings.Limits["dark_ms"].Max/2)
			}
			for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
				name := names[(seed+uint64(len(limit)))%2]
				t.Run(fmt.Sprintf("%s %s/%s/%d", limit, end, name, seed), func(t *testing.T) {
					t.Parallel()
					plan := fleet.Plans[name]()
					// Replaces the plan's own value, if it has one.
					setting := fmt.Sprintf(`"%s":%g`, limit, value)
					if existing := regexp.MustCompile(`"` + limit + `":[0-9.]+`); existing.MatchString(plan.Document) {
						plan.Document = existing.ReplaceAllString(plan.Document, setting)
					} else {
						plan.Document = strings.Replace(plan.Document, `"limits":{`, `"limits":{`+companionLimits[limit+" "+end]+setting+",", 1)
					}
					tree, problems := settings.Parse([]byte(plan.Document))
					if len(problems) > 0 || tree.Limit(limit, "") != value {
						t.Fatalf("vacuous: %v %v", problems, plan.Document)
					}
					cluster := fleet.NewCluster(seed, plan)
					defer cluster.Close()
					cluster.Run(warmupTime)
					facts := cluster.Begin()
					facts.SmallShare = 0.1
					passed := cluster.Day(&facts, seed+7, 14, 40*time.Second)
					cluster.Quiet = true
					cluster.Run(15 * time.Second)
					violations, checked := fleet.Check(cluster, facts)
					reportViolations(t, seed, violations)
					if checked["foreign"] == 0 || len(passed) < 5 {
						t.Errorf("vacuous: judged %v on %v", checked, passed)
					}
					if t.Failed() {
						t.Log(strings.Join(passed, "; "))
					}
				})
			}
		}
	}
}
