package settings_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"swifttiller/settings"
)

const routed = `{
 "label": 7, "origin": {"any": ["thing"]},
 "whole": {"placements": {"m1": {"version": "any", "capacity": 64}}},
 "regions": {"north": {"zones": {"n1": {}, "n2": {"placements": {"m2": {"version": "v1"}}}}}, "south": {"zones": {"s1": {}}}},
 "engines": {"m1": {"probe_path": "/ok", "conn_cap": 360, "cold_ms": 3000, "cold_per_s": 26.5, "berths": 64, "cache_tokens": 348621, "spacing": 4}, "m2": {"probe_path": "/"}},
 "intake": {"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000},
 "routes": [
  {"name": "a", "host": "One.example", "prefix": "/p/", "kind": "streamed", "timeout_ms": 10000, "target_ms": 1000, "gap_ms": 300, "urgency": 9, "tries": 2, "resume": true, "homes": ["north"], "shares": [{"model": "m1", "weight": 90}, {"model": "m1", "weight": 0}, {"model": "m2", "weight": 1.5}]},
  {"name": "b", "host": "one.example", "prefix": "/p/q/", "kind": "unsafe", "timeout_ms": 0.5, "shares": [{"model": "m2", "weight": 1}]},
  {"name": "c", "host": "two.example", "prefix": "/", "kind": "safe", "timeout_ms": 5000, "shares": [{"model": "m1", "weight": 1}]}]}`

func TestRoutes(t *testing.T) {
	Convey("a request gets the host's route with the longest matching prefix", t, func() {
		tree, problems := settings.Parse([]byte(routed))
		So(problems, ShouldBeEmpty)
		So(tree.Label(), ShouldEqual, 7)
		So(tree.Route("one.EXAMPLE:8080", "/p/q/x").Name, ShouldEqual, "b")
		So(tree.Route("one.example", "/p/q").Name, ShouldEqual, "a")
		So(tree.Route("one.example", "/p"), ShouldBeNil)
		So(tree.Route("three.example", "/p/"), ShouldBeNil)
		streamed := tree.Route("one.example", "/p/")
		So(*streamed, ShouldResemble, settings.Route{Name: "a", Host: "One.example", Prefix: "/p/", Kind: settings.Streamed, Timeout: 10 * time.Second, Target: time.Second, Gap: 300 * time.Millisecond, Urgency: 9, MaxAttempts: 2, Resume: true,
			Homes: []string{"north"}, Shares: []settings.Share{{Model: "m1", Weight: 90}, {Model: "m1"}, {Model: "m2", Weight: 1.5}}})
		So(tree.Route("two.example", "/x").MaxAttempts, ShouldEqual, 1)
		So(*tree.Engine("m1"), ShouldResemble, settings.Engine{ProbePath: "/ok", ConnCap: 360, ColdPeriod: 3 * time.Second, ColdRate: 26.5, Slots: 64, CacheTokens: 348621, TokensPerEvent: 4})
		So(tree.RequestLimits(), ShouldResemble, settings.RequestLimits{HeaderBytes: 16384, BodyBytes: 4194304, Header: 3 * time.Second, Idle: 15 * time.Second})
	})
	Convey("a placement may accept any version", t, func() {
		tree, _ := settings.Parse([]byte(routed))
		open, _ := tree.Placement("m1", "south")
		So(open.AcceptsAnyVersion(), ShouldBeTrue)
		fixed, _ := tree.Placement("m2", "n2")
		So(fixed.AcceptsAnyVersion(), ShouldBeFalse)
	})
	Convey("each problem is reported at its path, with no others", t, func() {
		lastRoute := `"name": "c", "host": "two.example", "prefix": "/", "kind": "safe", "timeout_ms": 5000, "shares": [{"model": "m1", "weight": 1}]`
		for _, test := range []struct{ from, to, path, reason string }{
			{`"label": 7`, `"label": -1`, "$.label", "whole number"},
			{`"label": 7`, `"label": 7.5`, "$.label", "whole number"},
			{`"label": 7`, `"label": "7"`, "$.label", "whole number"},
			{`"routes": [`, `"routes": {"x": [`, "$", "JSON"},
			{lastRoute, lastRoute + `, "color": 1`, "$.routes.2.color", "unknown"},
			{lastRoute, lastRoute + `, "host": "x"`, "$.routes.2.host", "twice"},
			{`"name": "c", `, ``, "$.routes.2.name", "needed"},
			{`"name": "c"`, `"name": ""`, "$.routes.2.name", "empty"},
			{`"name": "c"`, `"name": 3`, "$.routes.2.name", "string"},
			{`"host": "two.example", `, ``, "$.routes.2.host", "needed"},
			{`"host": "two.example"`, `"host": ""`, "$.routes.2.host", "empty"},
			{`"prefix": "/",`, ``, "$.routes.2.prefix", "needed"},
			{`"prefix": "/"`, `"prefix": ""`, "$.routes.2.prefix", "slash"},
			{`"prefix": "/p/q/"`, `"prefix": "/p/q"`, "$.routes.1.prefix", "slash"},
			{`"prefix": "/p/q/"`, `"prefix": "p/q/"`, "$.routes.1.prefix", "slash"},
			{`"prefix": "/p/q/"`, `"prefix": "/p/"`, "$.routes.1", "routes.0"},
			{`"kind": "safe"`, `"kind": "swift"`, "$.routes.2.kind", "none of"},
			{`"timeout_ms": 5000`, `"timeout_ms": 0`, "$.routes.2.timeout_ms", "within"},
			{`"timeout_ms": 5000`, `"timeout_ms": -5`, "$.routes.2.timeout_ms", "within"},
			{`"timeout_ms": 5000`, `"timeout_ms": "5"`, "$.routes.2.timeout_ms", "number"},
			{`"timeout_ms": 5000, `, ``, "$.routes.2.timeout_ms", "needed"},
			{`"target_ms": 1000`, `"target_ms": -1`, "$.routes.0.target_ms", "within"},
			{`"gap_ms": 300`, `"gap_ms": true`, "$.routes.0.gap_ms", "number"},
			{`"urgency": 9`, `"urgency": 10`, "$.routes.0.urgency", "within"},
			{`"urgency": 9`, `"urgency": -1`, "$.routes.0.urgency", "within"},
			{`"urgency": 9`, `"urgency": 1.5`, "$.routes.0.urgency", "whole"},
			{`"tries": 2`, `"tries": 0`, "$.routes.0.tries", "within"},
			{`"tries": 2`, `"tries": 1.5`, "$.routes.0.tries", "whole"},
			{`"resume": true`, `"resume": 1`, "$.routes.0.resume", "boolean"},
			{`"homes": ["north"]`, `"homes": "north"`, "$.routes.0.homes", "list"},
			{`"homes": ["north"]`, `"homes": ["north", "moon"]`, "$.routes.0.homes.1", "moon"},
			{`"homes": ["north"]`, `"homes": ["north", "n1"]`, "$.routes.0.homes.1", "n1"},
			{lastRoute, strings.Replace(lastRoute, `, "shares": [{"model": "m1", "weight": 1}]`, ``, 1), "$.routes.2.shares", "needed"},
			{lastRoute, strings.Replace(lastRoute, `[{"model": "m1", "weight": 1}]`, `[]`, 1), "$.routes.2.shares", "more than 0"},
			{lastRoute, strings.Replace(lastRoute, `"weight": 1`, `"weight": 0`, 1), "$.routes.2.shares", "more than 0"},
			{`"weight": 90`, `"weight": -1`, "$.routes.0.shares.0.weight", "within"},
			{`"weight": 90`, `"weight": 1, "fee": 1`, "$.routes.0.shares.0.fee", "unknown"},
			{`{"model": "m2", "weight": 1.5}`, `{"weight": 1.5}`, "$.routes.0.shares.2.model", "needed"},
			{`{"model": "m2", "weight": 1.5}`, `{"model": "m3", "weight": 1.5}`, "$.routes.0.shares.2.model", "placed nowhere"},
			{`"capacity": 64}`, `"capacity": 64}, "m0": {"version": "v1"}`, "", ""},
			{`{"model": "m1", "weight": 0}`, `{"model": "m4", "weight": 0}`, "$.routes.0.shares.1.model", "placed nowhere"},
			{`"probe_path": "/"`, `"probe_path": "x"`, "$.engines.m2.probe_path", "slash"},
			{`{"probe_path": "/"}`, `{}`, "$.engines.m2.probe_path", "needed"},
			{`{"probe_path": "/"}`, `3`, "$.engines.m2", "object"},
			{`"conn_cap": 360`, `"conn_cap": 3.5`, "$.engines.m1.conn_cap", "whole"},
			{`"cold_ms": 3000`, `"cold_ms": -1`, "$.engines.m1.cold_ms", "within"},
			{`"berths": 64`, `"berths": 0`, "$.engines.m1.berths", "within"},
			{`"spacing": 4`, `"spacing": 4, "tempo": 1`, "$.engines.m1.tempo", "unknown"},
			{`"m2": {"probe_path": "/"}`, `"m2": {"probe_path": "/"}, "m 3": {"probe_path": "/"}`, "$.engines.m 3", "no name"},
			{`"header_bytes": 16384`, `"header_bytes": 0`, "$.intake.header_bytes", "within"},
			{`"idle_ms": 15000`, `"idle_ms": null`, "$.intake.idle_ms", "number"},
			{`"idle_ms": 15000`, `"idle_ms": 15000, "tempo": 2`, "$.intake.tempo", "unknown"},
		} {
			text := strings.Replace(routed, test.from, test.to, 1)
			So(text, ShouldNotEqual, routed)
			_, problems := settings.Parse([]byte(text))
			if test.path == "" {
				So(problems, ShouldBeEmpty)
				continue
			}
			if len(problems) != 1 || problems[0].Path != test.path || !strings.Contains(problems[0].Reason, test.reason) {
				t.Errorf("%s for %s: want one problem at %s (%s), got %v", test.to, test.from, test.path, test.reason, problems)
			}
		}
		_, problems := settings.Parse([]byte(strings.Replace(routed, `, "m2": {"probe_path": "/"}`, ``, 1)))
		So(len(problems), ShouldEqual, 2)
		So(problems[0].Path, ShouldEqual, "$.routes.0.shares.2.model")
		So(problems[0].Reason, ShouldContainSubstring, "no engine")
		_, problems = settings.Parse([]byte(strings.Replace(routed, `"routes": [`, `"routes": 3, "x": [`, 1)))
		So(problems[0].Path, ShouldEqual, "$.routes")
		So(problems[0].Reason, ShouldContainSubstring, "list")
	})
	Convey("hosts that differ only in letter case and port are the same", t, func() {
		_, problems := settings.Parse([]byte(strings.Replace(routed, `"host": "one.example", "prefix": "/p/q/"`, `"host": "ONE.example:80", "prefix": "/p/"`, 1)))
		So(len(problems), ShouldEqual, 1)
		So(problems[0].Path, ShouldEqual, "$.routes.1")
	})
}
