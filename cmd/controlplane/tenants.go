package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/tidwall/gjson"
)

func tenantsCommand() *command {
	return &command{name: "tenants", synopsis: "show where the traffic of tenants comes from and where they are placed, pin a tenant to regions, or release it", usage: "tenants [show] | tenants pin HOST/PREFIX/ REGION[,REGION ...] | tenants release HOST/PREFIX/",
		run: func(command *command, args []string) subcommands.ExitStatus {
			switch {
			case len(args) == 0, len(args) == 1 && args[0] == "show":
				status, body, err := command.send("GET", "/v1/tenants", nil)
				return command.finish(status, body, err, showTenants)
			case len(args) == 3 && args[0] == "pin":
				status, body, err := command.send("POST", "/v1/tenants/pin", map[string]any{"tenant": args[1], "regions": strings.Split(args[2], ",")})
				return command.finish(status, body, err, showPlacement)
			case len(args) == 2 && args[0] == "release":
				status, body, err := command.send("POST", "/v1/tenants/release", map[string]any{"tenant": args[1]})
				return command.finish(status, body, err, showPlacement)
			}
			return command.usageError()
		}}
}

func showTenants(root gjson.Result) {
	fmt.Printf("placements under serial %d, written under duty serial %d, watched by %s\n", root.Get("serial").Int(), root.Get("duty").Int(), orNone(root.Get("holder").Str))
	if trouble := root.Get("trouble").Str; trouble != "" {
		fmt.Printf("NOT SEEN: %s\n", trouble)
	}
	for _, placement := range root.Get("placed").Array() {
		showPlacement(placement)
	}
	for _, tenant := range root.Get("seen").Array() {
		profile := tenant.Get("Short")
		rate, regions := 0.0, []string{}
		profile.Get("rates").ForEach(func(region, value gjson.Result) bool {
			rate += value.Num
			regions = append(regions, fmt.Sprintf("%s %.1f/s", region.Str, value.Num))
			return true
		})
		fmt.Printf("tenant %s: %s; prompts of %.0f tokens, answers of %.0f", tenant.Get("Tenant").Str, strings.Join(regions, ", "), profile.Get("prompt").Num/max(rate, 1e-9), profile.Get("answer").Num/max(rate, 1e-9))
		if ended := profile.Get("ended").Num; ended > 0 {
			fmt.Printf(", %v each", time.Duration(profile.Get("held").Num/ended*1e6).Round(time.Millisecond))
		}
		if tenant.Get("IsKnown").Bool() {
			fmt.Printf("; distance %.2f from the profile it was judged by", tenant.Get("Distance").Num)
			if by := tenant.Get("By").Str; by != "" {
				fmt.Printf(" (%s)", by)
			}
		} else {
			fmt.Print("; observed for too short a time")
		}
		fmt.Println()
	}
}

func showPlacement(placement gjson.Result) {
	list := func(key string) string {
		var regions []string
		for _, region := range placement.Get(key).Array() {
			regions = append(regions, region.Str)
		}
		if len(regions) == 0 {
			return "a single owner over all regions"
		}
		return strings.Join(regions, ", ")
	}
	fmt.Printf("placed %s: %s", placement.Get("tenant").Str, list("now"))
	if placement.Get("moving").Bool() {
		fmt.Printf("; moving to %s, %d of 256 parts", list("next"), placement.Get("part").Int())
		if placement.Get("back").Bool() {
			fmt.Print(", being reverted")
		}
	}
	if hot := placement.Get("hot").Array(); len(hot) > 0 {
		fmt.Printf("; %d hot prefixes have several owners", len(hot))
	}
	if placement.Get("pinned").Bool() {
		fmt.Print("; pinned")
	}
	if reason := placement.Get("reason").Str; reason != "" {
		fmt.Printf(" (%s)", reason)
	}
	fmt.Println()
}
