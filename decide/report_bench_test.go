package decide_test

import (
	"fmt"
	"testing"
	"time"

	"swifttiller/decide"
	"swifttiller/lease"
	"swifttiller/loop"
	"swifttiller/routing"
	"swifttiller/session"
	"swifttiller/settings"
)

// BenchmarkReport makes reports without load at 16 regions, 22 models and 3,500 replicas. Every
// third one follows a lease renewal, which brings a new view with the same routing tables.
func BenchmarkReport(b *testing.B) {
	placements, engines, regions := "", "", ""
	for index := range 22 {
		placements += fmt.Sprintf(`"m%d":{"version":"any","capacity":64},`, index)
		engines += fmt.Sprintf(`"m%d":{"probe_path":"/","conn_cap":64,"berths":16},`, index)
	}
	for index := range 16 {
		regions += fmt.Sprintf(`"g%d":{"zones":{"g%d-1":{}}},`, index, index)
	}
	text := fmt.Sprintf(`{"whole":{"placements":{%s}},"engines":{%s},"regions":{%s}}`, placements[:len(placements)-1], engines[:len(engines)-1], regions[:len(regions)-1])
	tree, problems := settings.Parse([]byte(text))
	if len(problems) > 0 {
		b.Fatal(problems)
	}
	view := &lease.View{Serial: 1, Tree: tree, RoutingTables: map[string]routing.Table{}, Deadline: time.Hour}
	for index := range 16 {
		region := fmt.Sprintf("g%d", index)
		table := routing.Table{Region: region, Serial: 1}
		for at := range 219 {
			id := fmt.Sprintf("%s-r%d", region, at)
			table.Rows = append(table.Rows, routing.Row{Replica: id, Model: fmt.Sprintf("m%d", at%22), Version: "v1"})
			table.Places = append(table.Places, routing.Endpoint{ID: id, Zone: region + "-1", Region: region, Warm: 1, Credits: map[string]int{"d1": 3}})
		}
		view.RoutingTables[region] = table
	}
	world := loop.NewMachine()
	defer world.End()
	decider := decide.New(decide.Options{World: world, Self: session.Member{Name: "d1", Region: "g0"}, View: func() *lease.View { return view }})
	turn := 0
	for b.Loop() {
		if turn++; turn%3 == 0 {
			next := *view
			next.RoutingTables = map[string]routing.Table{}
			for region, table := range view.RoutingTables {
				next.RoutingTables[region] = table
			}
			view = &next
		}
		if len(decider.Report().Standing) != 16 {
			b.Fatal("the report lacks regions")
		}
	}
}
