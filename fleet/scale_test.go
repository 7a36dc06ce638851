package fleet_test

import (
	"math"
	"testing"

	"swifttiller/fleet"
)

// TestSlope checks the fit of a line and its standard error, and that there is no fit for a dimension
// that doesn't vary or a figure that doesn't exist.
func TestSlope(t *testing.T) {
	t.Parallel()
	var points []fleet.ScalePoint
	for index, off := range []float64{1, -1, -1, 1} {
		size := fleet.ScaleSize{Datas: 10 * (index + 1)}
		points = append(points, fleet.ScalePoint{ScaleSize: size, Figures: map[string]float64{"line": 7 + 3*float64(size.Datas), "near": 7 + 3*float64(size.Datas) + off}})
	}
	points = append(points, fleet.ScalePoint{ScaleSize: fleet.ScaleSize{Datas: 1000}, Figures: map[string]float64{"line": 0, "near": 0}, Trouble: "it did not start"})
	line, fits := fleet.Slope(points, "datas", "line")
	if !fits || line.Points != 4 || math.Abs(line.Each-3) > 1e-9 || math.Abs(line.Base-7) > 1e-9 || line.Spread > 1e-9 {
		t.Errorf("%+v", line)
	}
	// With residuals 1, -1, -1, 1 the slope's standard error is sqrt((4/2)/500).
	near, _ := fleet.Slope(points, "datas", "near")
	if math.Abs(near.Each-3) > 1e-9 || math.Abs(near.Spread-math.Sqrt(2.0/500)) > 1e-9 {
		t.Errorf("%+v", near)
	}
	for _, pair := range [][2]string{{"regions", "line"}, {"datas", "none"}, {"none", "line"}} {
		if slope, fits := fleet.Slope(points, pair[0], pair[1]); fits {
			t.Errorf("%v: unexpected fit %+v", pair, slope)
		}
	}
}

// TestScaleSizes checks that sizes which can't be started are rejected by Check.
func TestScaleSizes(t *testing.T) {
	t.Parallel()
	good := fleet.ScaleSize{Datas: 25, Replicas: 36, Regions: 3, Zones: 6, Routes: 30, Models: 2, Controls: 3}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	if wide, known := good.With("regions", 16); !known || wide.Zones != 16 || wide.Check() != nil || good.Regions != 3 {
		t.Errorf("%+v", wide)
	}
	for dimension, value := range map[string]int{"datas": 2, "replicas": 8001, "regions": 65, "zones": 2, "routes": 25001, "models": 201, "controls": 10} {
		if bad, known := good.With(dimension, value); !known || bad.Check() == nil {
			t.Errorf("%s %d was accepted", dimension, value)
		}
		if bad, _ := good.With(dimension, 0); bad.Check() == nil {
			t.Errorf("0 %s were accepted", dimension)
		}
	}
	if _, known := good.With("tenants", 1); known {
		t.Error("an unknown dimension was accepted")
	}
}
