package fleet_test

import (
	"testing"
	"time"

	"swifttiller/fleet"
)

func TestExperiment(t *testing.T) {
	t.Parallel()
	options := fleet.ExperimentOptions{Shape: "small", Load: 1, Seed: 1, Warm: 4 * time.Second, Span: 4 * time.Second}
	result, err := fleet.Experiment(options)
	if err != nil {
		t.Fatal(err)
	}
	if result.Asked < 50 || result.Answered != result.Asked || result.First["check"].P50 <= 61 || result.Pause["notice"].P50 <= 0 || result.KeptShare <= 0 || result.KeptShare >= 1 || result.Dispatches < 0.8 {
		t.Errorf("measured %+v", result)
	}
	repeated, err := fleet.Experiment(options)
	if err != nil || repeated.First["check"] != result.First["check"] || repeated.Asked != result.Asked {
		t.Errorf("the same options gave %+v and %+v, %v", result, repeated, err)
	}
	for option, change := range map[string]func(*fleet.ExperimentOptions){
		"shape": func(options *fleet.ExperimentOptions) { options.Shape = "round" },
		"load":  func(options *fleet.ExperimentOptions) { options.Load = 0 },
		"span":  func(options *fleet.ExperimentOptions) { options.Span = 0 },
		"warm":  func(options *fleet.ExperimentOptions) { options.Warm = time.Hour },
		"name":  func(options *fleet.ExperimentOptions) { options.Limits = map[string]float64{"nonsense": 1} },
		"bound": func(options *fleet.ExperimentOptions) { options.Limits = map[string]float64{"permit_ms": 1e9} },
	} {
		invalid := options
		change(&invalid)
		if _, err := fleet.Experiment(invalid); err == nil {
			t.Errorf("an invalid %s is accepted", option)
		}
	}
}
