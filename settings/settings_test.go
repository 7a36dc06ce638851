package settings_test

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/settings"
)

const good = `{
 "whole": {"placements": {"roster": {"version": "v1", "capacity": 8, "home": "inland"}},
           "homes": {"inland": ["north", "south"]},
           "limits": {"queue_ms": 900}},
 "regions": {
  "north": {"platform": "http://127.0.0.1:1/list", "zones": {"n1": {"limits": {"queue_ms": 300}}, "n2": {}}},
  "south": {"limits": {"queue_ms": 500}, "placements": {"roster": {"capacity": 4}}, "zones": {"s1": {}}}}}`

func TestTree(t *testing.T) {
	Convey("a level overrides only the values that it sets, and each value has its source level", t, func() {
		tree, problems := settings.Parse([]byte(good))
		So(problems, ShouldBeEmpty)
		So(tree.Limit("queue_ms", "n1"), ShouldEqual, 300)
		So(tree.Limit("queue_ms", "n2"), ShouldEqual, 900)
		So(tree.Limit("queue_ms", "s1"), ShouldEqual, 500)
		leaves, _ := tree.Effective("s1")
		So(leaves["placements.roster.capacity"].From, ShouldEqual, "region south")
		So(leaves["placements.roster.version"].From, ShouldEqual, "whole")
		So(leaves["limits.permit_ms"].From, ShouldEqual, "default")
		So(tree.Allowed("inland", "north"), ShouldBeTrue)
		So(tree.Allowed("nowhere", "north"), ShouldBeFalse)
	})
	Convey("a model may be placed in only some zones of a region, if all have the same version", t, func() {
		text := `{"whole":{},"regions":{"r":{"zones":{"a":{"placements":{"m":{"version":"v1","capacity":3}}},"b":{},"c":{"placements":{"m":{"version":"VC"}}}}}}}`
		tree, problems := settings.Parse([]byte(strings.Replace(text, "VC", "v1", 1)))
		So(problems, ShouldBeEmpty)
		So(tree.Models("r"), ShouldResemble, []string{"m"})
		So(tree.Models("b"), ShouldBeEmpty)
		placement, placed := tree.Placement("m", "a")
		So(placed, ShouldBeTrue)
		So(placement.Capacity, ShouldEqual, 3)
		_, problems = settings.Parse([]byte(strings.Replace(text, "VC", "v2", 1)))
		So(len(problems), ShouldEqual, 1)
		So(problems[0].Path, ShouldEqual, "$.regions.r.zones.c.placements.m.version")
		_, problems = settings.Parse([]byte(`{"whole":{"placements":{"m":{"version":"v1"}}},"regions":{"r":{"zones":{"a":{"placements":{"m":{"version":"v2"}}}}}}}`))
		So(len(problems), ShouldEqual, 1)
		So(problems[0].Reason, ShouldContainSubstring, "from whole")
	})
	Convey("limits that are out of range or conflict are reported at the level that sets them", t, func() {
		for text, path := range map[string]string{
			`{"whole":{"limits":{"probe_ms":700}},"regions":{"r":{"zones":{"a":{}}}}}`:                           "$.whole.limits.probe_ms",
			`{"whole":{"limits":{"dark_ms":400}},"regions":{"r":{"zones":{"a":{}}}}}`:                            "$.whole.limits.probe_ms",
			`{"whole":{},"regions":{"r":{"limits":{"dark_ms":500},"zones":{"a":{}}},"s":{"zones":{"b":{}}}}}`:    "$.regions.r.limits.probe_ms",
			`{"whole":{"limits":{"retry_share":0.21}},"regions":{"r":{"zones":{"a":{}}}}}`:                       "$.whole.limits.retry_share",
			`{"whole":{"limits":{"small_share":0.11}},"regions":{"r":{"zones":{"a":{}}}}}`:                       "$.whole.limits.small_share",
			`{"whole":{"limits":{"session_ms":3001}},"regions":{"r":{"zones":{"a":{}}}}}`:                        "$.whole.limits.session_ms",
			`{"whole":{"limits":{"probe_ms":700,"dark_ms":1400}},"regions":{"r":{"zones":{"a":{}}}}}`:            "",
			`{"whole":{"limits":{"probe_ms":700}},"regions":{"r":{"limits":{"dark_ms":1400},"zones":{"a":{}}}}}`: "$.whole.limits.probe_ms",
		} {
			_, problems := settings.Parse([]byte(text))
			if path == "" {
				So(problems, ShouldBeEmpty)
				continue
			}
			So(len(problems), ShouldEqual, 1)
			So(problems[0].Path, ShouldEqual, path)
		}
	})
	Convey("all errors are reported at once, each with its path", t, func() {
		_, problems := settings.Parse([]byte(`{
 "whole": {"placements": {"roster": {"version": "v1", "size": 2, "home": "moon"}},
           "homes": {"inland": ["atlantis"]},
           "limits": {"permit_ms": 90000, "permit_ms": 5, "tempo": 1, "queue_ms": "long"}},
 "regions": {"north": {"handovers": {"other": {"automatic": true}}, "zones": {"n1": {"speed": 1}}}},
 "extra": 1}`))
		reasons := map[string]string{}
		for _, problem := range problems {
			reasons[problem.Path] = problem.Reason
		}
		for path, reason := range map[string]string{
			"$.extra":                                   "unknown",
			"$.whole.placements.roster.size":            "unknown",
			"$.whole.placements.roster.home":            "names home",
			"$.whole.homes.inland":                      "atlantis",
			"$.whole.limits.permit_ms":                  "twice",
			"$.whole.limits.tempo":                      "no limit",
			"$.whole.limits.queue_ms":                   "number",
			"$.regions.north.handovers.other.automatic": "not placed",
			"$.regions.north.zones.n1.speed":            "unknown here",
		} {
			So(reasons[path], ShouldContainSubstring, reason)
		}
		So(len(problems), ShouldBeGreaterThanOrEqualTo, 10) // permit_ms has two: out of range and given twice
	})
}
