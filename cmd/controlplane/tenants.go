package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/tidwall/gjson"
)

func tenantsCommand() *command {
	return &command{name: "tenants", synopsis: "show where tenants' sessions come from and are placed, pin a tenant to regions, or release it", usage: "tenants [show] | tenants pin HOST/PREFIX/ REGION[,REGION ...] | tenants release HOST/PREFIX/",
		run: func(command *command, words []string) subcommands.ExitStatus {
			switch {
			case len(words) == 0, len(words) == 1 && words[0] == "show":
				status, body, err := command.ask("GET", "/v1/tenants", nil)
				return command.finish(status, body, err, showTenants)
			case len(words) == 3 && words[0] == "pin":
				status, body, err := command.ask("POST", "/v1/tenants/pin", map[string]any{"tenant": words[1], "regions": strings.Split(words[2], ",")})
				return command.finish(status, body, err, showPlacement)
			case len(words) == 2 && words[0] == "release":
				status, body, err := command.ask("POST", "/v1/tenants/release", map[string]any{"tenant": words[1]})
				return command.finish(status, body, err, showPlacement)
			}
			return command.misused()
		}}
}

func showTenants(root gjson.Result) {
	fmt.Printf("placements under serial %d, written under duty serial %d, watched by %s\n", root.Get("serial").Int(), root.Get("duty").Int(), orNone(root.Get("holder").Str))
	if trouble := root.Get("trouble").Str; trouble != "" {
		fmt.Printf("NOT SEEN: %s\n", trouble)
	}
	for _, one := range root.Get("placed").Array() {
		showPlacement(one)
	}
	for _, one := range root.Get("seen").Array() {
		profile := one.Get("Short")
		rate, regions := 0.0, []string{}
		profile.Get("rates").ForEach(func(region, value gjson.Result) bool {
			rate += value.Num
			regions = append(regions, fmt.Sprintf("%s %.1f/s", region.Str, value.Num))
			return true
		})
		fmt.Printf("tenant %s: %s; prompts of %.0f tokens, answers of %.0f", one.Get("Tenant").Str, strings.Join(regions, ", "), profile.Get("prompt").Num/max(rate, 1e-9), profile.Get("answer").Num/max(rate, 1e-9))
		if ended := profile.Get("ended").Num; ended > 0 {
			fmt.Printf(", %v each", time.Duration(profile.Get("held").Num/ended*1e6).Round(time.Millisecond))
		}
		if one.Get("IsKnown").Bool() {
			fmt.Printf("; %.2f from what it was judged by", one.Get("Distance").Num)
			if by := one.Get("By").Str; by != "" {
				fmt.Printf(" (%s)", by)
			}
		} else {
			fmt.Print("; not known for long enough")
		}
		fmt.Println()
	}
}

func showPlacement(one gjson.Result) {
	list := func(key string) string {
		var words []string
		for _, region := range one.Get(key).Array() {
			words = append(words, region.Str)
		}
		if len(words) == 0 {
			return "one owner over all regions"
		}
		return strings.Join(words, ", ")
	}
	fmt.Printf("placed %s: %s", one.Get("tenant").Str, list("now"))
	if one.Get("moving").Bool() {
		fmt.Printf("; moving to %s, %d of 256 parts", list("next"), one.Get("part").Int())
		if one.Get("back").Bool() {
			fmt.Print(", on the way back")
		}
	}
	if hot := one.Get("hot").Array(); len(hot) > 0 {
		fmt.Printf("; %d hot beginnings have several owners", len(hot))
	}
	if one.Get("pinned").Bool() {
		fmt.Print("; pinned")
	}
	if reason := one.Get("reason").Str; reason != "" {
		fmt.Printf(" (%s)", reason)
	}
	fmt.Println()
}
