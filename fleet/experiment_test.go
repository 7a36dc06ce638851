package fleet_test

import (
	"testing"
	"time"

	"swifttiller/fleet"
)

func TestExperiment(t *testing.T) {
	t.Parallel()
	options := fleet.ExperimentOptions{Shape: "small", Load: 1, Seed: 1, Warm: 4 * time.Second, Span: 4 * time.Second}
	one, err := fleet.Experiment(options)
	if err != nil {
		t.Fatal(err)
	}
	if one.Asked < 50 || one.Answered != one.Asked || one.First["check"].P50 <= 61 || one.Pause["notice"].P50 <= 0 || one.KeptShare <= 0 || one.KeptShare >= 1 || one.Dispatches < 0.8 {
		t.Errorf("measured %+v", one)
	}
	again, err := fleet.Experiment(options)
	if err != nil || again.First["check"] != one.First["check"] || again.Asked != one.Asked {
		t.Errorf("the same options gave %+v and %+v, %v", one, again, err)
	}
	for what, change := range map[string]func(*fleet.ExperimentOptions){
		"shape": func(options *fleet.ExperimentOptions) { options.Shape = "round" },
		"load":  func(options *fleet.ExperimentOptions) { options.Load = 0 },
		"span":  func(options *fleet.ExperimentOptions) { options.Span = 0 },
		"warm":  func(options *fleet.ExperimentOptions) { options.Warm = time.Hour },
		"name":  func(options *fleet.ExperimentOptions) { options.Limits = map[string]float64{"nonsense": 1} },
		"bound": func(options *fleet.ExperimentOptions) { options.Limits = map[string]float64{"permit_ms": 1e9} },
	} {
		wrong := options
		change(&wrong)
		if _, err := fleet.Experiment(wrong); err == nil {
			t.Errorf("a wrong %s is taken", what)
		}
	}
}
