package fleet

import (
	"fmt"
	"time"
)

// replicaOptions returns options for a zone's simulated replicas.
func replicaOptions(zone string, count int, held string, reports bool) (replicas []ReplicaOptions) {
	for index := 1; index <= count; index++ {
		replicas = append(replicas, ReplicaOptions{
			ID: fmt.Sprintf("%s-r%d", zone, index), Zone: zone, Capacity: 8, ColdShare: 0.125, ColdAnswers: 20,
			Loading: 2 * time.Second, Prefill: 20 * time.Millisecond, Decode: 4 * time.Millisecond, Cached: 6, Reports: reports, Held: []string{held},
		})
	}
	return replicas
}

// Sahayogi is the first reference deployment: about ten machines in three regions of one zone
// each, with 7, 6 and 5 replicas that report their load. The traffic is mostly coverage checks,
// with a small stream of notices.
func Sahayogi() Plan {
	plan := Plan{
		Model: "roster", Lag: 700 * time.Millisecond, MinListInterval: 300 * time.Millisecond, Grace: 5 * time.Second,
		Controls: []string{"c1:east-1", "c2:middle-1", "c3:west-1"}, Diskless: []string{"c4:east-1"},
		Datas: []string{"d1:east-1", "d2:east-1", "d3:middle-1", "d4:middle-1", "d5:west-1", "d6:west-1"},
		Document: `{"whole":{"placements":{"roster":{"version":"v1","capacity":8}},"homes":{"hills":["east","middle"]},
  "limits":{"trial_ms":6000,"trial_most_ms":20000,"watch_ms":8000,"warm_ms":6000,"standby_ms":60000}},
 "regions":{"east":{"platform":"http://east","zones":{"east-1":{}}},
  "middle":{"platform":"http://middle","zones":{"middle-1":{}}},
  "west":{"platform":"http://west","zones":{"west-1":{}}}}}`,
	}
	for _, region := range []struct {
		zone  string
		count int
	}{{"east-1", 7}, {"middle-1", 6}, {"west-1", 5}} {
		home := ""
		if region.zone == "east-1" {
			home = "hills"
		}
		plan.Replicas = append(plan.Replicas, replicaOptions(region.zone, region.count, "roster/v1", true)...)
		plan.Callers = append(plan.Callers,
			CallerGroup{Name: "check-" + region.zone, Zone: region.zone, Kind: "check", Every: 1000 * time.Millisecond / time.Duration(5*region.count), Bytes: 6000, Tokens: 16, PromptGroups: 6, Lanes: 6, Retries: 4},
			CallerGroup{Name: "notice-" + region.zone, Zone: region.zone, Kind: "notice", Home: home, Every: 700 * time.Millisecond, Bytes: 300, Tokens: 256, PromptGroups: 40, Lanes: 4, Retries: 4})
	}
	return plan
}

// Sklepik is the second reference deployment: about a dozen machines, with 4, 3 and 2 replicas
// that do not report their load. Some of the traffic is bound to two home regions.
func Sklepik() Plan {
	plan := Plan{
		Model: "shop", Lag: 1200 * time.Millisecond, MinListInterval: 500 * time.Millisecond, Grace: 4 * time.Second,
		Controls: []string{"c1:north-1", "c2:south-1", "c3:sea-1"}, Diskless: []string{"c4:north-1", "c5:south-1"},
		Datas: []string{"d1:north-1", "d2:north-1", "d3:north-1", "d4:south-1", "d5:south-1", "d6:sea-1", "d7:sea-1"},
		Document: `{"whole":{"placements":{"shop":{"version":"v1","capacity":8}},"homes":{"inland":["north","south"]},
  "limits":{"trial_ms":6000,"trial_most_ms":20000,"watch_ms":8000,"warm_ms":6000,"standby_ms":60000}},
 "regions":{"north":{"platform":"http://north","zones":{"north-1":{}}},
  "south":{"platform":"http://south","zones":{"south-1":{}}},
  "sea":{"platform":"http://sea","zones":{"sea-1":{}}}}}`,
	}
	for _, region := range []struct {
		zone  string
		count int
	}{{"north-1", 4}, {"south-1", 3}, {"sea-1", 2}} {
		plan.Replicas = append(plan.Replicas, replicaOptions(region.zone, region.count, "shop/v1", false)...)
		home := ""
		if region.zone != "sea-1" {
			home = "inland"
		}
		plan.Callers = append(plan.Callers,
			CallerGroup{Name: "offer-" + region.zone, Zone: region.zone, Kind: "offer", Home: home, Every: 1000 * time.Millisecond / time.Duration(4*region.count), Bytes: 5000, Tokens: 16, PromptGroups: 4, Lanes: 4, Retries: 4},
			CallerGroup{Name: "chat-" + region.zone, Zone: region.zone, Kind: "chat", Every: 900 * time.Millisecond, Bytes: 400, Tokens: 200, PromptGroups: 30, Lanes: 3, Retries: 4})
	}
	return plan
}

// Plans holds both deployments by name.
var Plans = map[string]func() Plan{"sahayogi": Sahayogi, "sklepik": Sklepik}
