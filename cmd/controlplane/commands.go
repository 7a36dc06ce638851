package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/url"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"swifttiller/settings"
)

// Exit statuses of the operators' commands.
const (
	exitDone    = subcommands.ExitSuccess
	exitFailed  = subcommands.ExitFailure // rejected, or no daemon could be reached
	exitUsage   = subcommands.ExitUsageError
	exitUnknown = subcommands.ExitStatus(3) // the request may or may not have taken effect
	defaultAt   = "127.0.0.1:7201"
	callTimeout = 30 * time.Second
)

// remote holds the flags that all operator commands share: the control daemons to
// contact and the output format.
type remote struct {
	at   string
	json bool
}

func (remote *remote) SetFlags(set *flag.FlagSet) {
	at := os.Getenv("SWIFTTILLER_AT")
	if at == "" {
		at = defaultAt
	}
	set.StringVar(&remote.at, "at", at, "comma-separated HTTP addresses of control daemons; the first that answers is used (default from SWIFTTILLER_AT)")
	set.BoolVar(&remote.json, "json", false, "print the raw JSON response")
}

// send sends the request to the first control daemon that can be reached. A request that
// changes state moves on to the next address only if the connection was refused: after any
// other failure it may have been executed already.
func (remote *remote) send(method, path string, body any) (int, []byte, error) {
	var last error
	for _, at := range strings.Split(remote.at, ",") {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.Header.SetMethod(method)
		request.SetRequestURI("http://" + at + path)
		switch body := body.(type) {
		case nil:
		case []byte:
			request.SetBody(body)
		default:
			text, err := json.Marshal(body)
			if err != nil {
				return 0, nil, err
			}
			request.SetBody(text)
		}
		client := fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxResponseBodySize: 64 << 20}
		err := client.DoTimeout(request, response, callTimeout)
		if err == nil {
			return response.StatusCode(), append([]byte{}, response.Body()...), nil
		}
		last = fmt.Errorf("%s: %w", at, err)
		if method != "GET" && !strings.Contains(err.Error(), "refused") {
			return 0, nil, fmt.Errorf("the outcome is unknown: %w; check it with `controlplane show` and `controlplane handover status`", last)
		}
	}
	return 0, nil, last
}

// finish prints the response and returns the exit status.
func (remote *remote) finish(status int, body []byte, err error, show func(gjson.Result)) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		if strings.Contains(err.Error(), "outcome is unknown") {
			return exitUnknown
		}
		return exitFailed
	}
	root := gjson.ParseBytes(body)
	if remote.json {
		fmt.Println(string(body))
	}
	if status >= 300 {
		if !remote.json {
			fmt.Fprintln(os.Stderr, root.Get("message").String())
		}
		switch {
		case root.Get("verdict").Str == "may_have_run":
			return exitUnknown
		case status == 422 || status == 400:
			return exitUsage
		}
		return exitFailed
	}
	if !remote.json {
		show(root)
	}
	return exitDone
}

// command is a subcommand for operators.
type command struct {
	remote
	name, synopsis, usage string
	flags                 func(set *flag.FlagSet)
	run                   func(command *command, args []string) subcommands.ExitStatus
}

func (command *command) Name() string     { return command.name }
func (command *command) Synopsis() string { return command.synopsis }
func (command *command) Usage() string {
	return "controlplane " + command.usage + "\n  " + command.synopsis + ".\n  Exit status: 0 success, 1 rejected or no daemon reachable, 2 invalid usage or input, 3 the outcome is unknown.\n"
}

func (command *command) SetFlags(set *flag.FlagSet) {
	command.remote.SetFlags(set)
	if command.flags != nil {
		command.flags(set)
	}
}

func (command *command) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, positional := set.Args(), []string{}
	// Flags are also accepted after the positional arguments.
	for index, arg := range args {
		if strings.HasPrefix(arg, "-") {
			if err := set.Parse(args[index:]); err != nil {
				return exitUsage
			}
			args = append(args[:index:index], set.Args()...)
			break
		}
		positional = append(positional, arg)
	}
	return command.run(command, args)
}

func (command *command) usageError() subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "usage: controlplane %s\n", command.usage)
	return exitUsage
}

func showAcknowledgement(root gjson.Result) {
	fmt.Printf("acknowledged as serial %d after %v by %d data daemons\n", root.Get("serial").Int(), time.Duration(root.Get("took").Int()).Round(time.Millisecond), root.Get("holders").Int())
	if expired := root.Get("expired").Array(); len(expired) > 0 {
		fmt.Printf("not acknowledged by these data daemons, whose leases have expired: %s\n", root.Get("expired").Raw)
	}
}

func commands() []subcommands.Command {
	list := []*command{initCommand(), reload(), apply(), show(), status(), members(), core(), doctorCommand()}
	list = append(list, evacuations()...)
	list = append(list, handover(), tenantsCommand())
	out := make([]subcommands.Command, len(list))
	for index, entry := range list {
		out[index] = entry
	}
	return out
}

func initCommand() *command {
	var seeds string
	return &command{name: "init", synopsis: "create the first core from the daemons at the given wire addresses", usage: "init [--seeds A,B,C]",
		flags: func(set *flag.FlagSet) {
			set.StringVar(&seeds, "seeds", "", "comma-separated wire addresses (default: the seeds of the contacted daemon)")
		},
		run: func(command *command, args []string) subcommands.ExitStatus {
			if len(args) > 0 {
				return command.usageError()
			}
			request := map[string][]string{}
			if seeds != "" {
				request["seeds"] = strings.Split(seeds, ",")
			}
			status, body, err := command.send("POST", "/v1/init", request)
			return command.finish(status, body, err, showCore)
		}}
}

func showCore(root gjson.Result) {
	fmt.Printf("core epoch %d\n", root.Get("epoch").Int())
	for _, member := range root.Get("members").Array() {
		fmt.Printf("  acceptor %s at %s\n", member.Get("id").Str, member.Get("address").Str)
	}
}

func reload() *command {
	return &command{
		name: "reload", synopsis: "make daemons reload their settings files", usage: "reload NAME [NAME ...] [flags]",
		run: func(command *command, args []string) subcommands.ExitStatus {
			if len(args) == 0 {
				return command.usageError()
			}
			worst := exitDone
			for _, name := range args {
				status, body, err := command.send("POST", "/v1/daemons/"+url.PathEscape(name)+"/reload", nil)
				code := command.finish(status, body, err, func(root gjson.Result) {
					var reloaded settings.ReloadResult
					_ = json.Unmarshal([]byte(root.Raw), &reloaded)
					fmt.Printf("%s: %v\n", name, reloaded)
				})
				if code != exitDone {
					worst = code
				}
			}
			return worst
		},
	}
}

func apply() *command {
	var expect int64
	var dry bool
	return &command{name: "apply", synopsis: "validate a configuration and apply it; returns once it is acknowledged", usage: "apply FILE [--expect SERIAL] [--dry-run]",
		flags: func(set *flag.FlagSet) {
			set.Int64Var(&expect, "expect", -1, "reject the configuration unless this is the current serial (0: none yet)")
			set.BoolVar(&dry, "dry-run", false, "only validate")
		},
		run: func(command *command, args []string) subcommands.ExitStatus {
			if len(args) != 1 {
				return command.usageError()
			}
			document, err := os.ReadFile(args[0])
			if err != nil {
				fmt.Fprintln(os.Stderr, err)
				return exitUsage
			}
			query := url.Values{}
			if expect >= 0 {
				query.Set("expect", fmt.Sprint(expect))
			}
			if dry {
				query.Set("dry_run", "true")
			}
			status, body, err := command.send("POST", "/v1/config?"+query.Encode(), document)
			return command.finish(status, body, err, func(root gjson.Result) {
				if dry {
					fmt.Println("the configuration is valid; nothing was applied")
					return
				}
				showAcknowledgement(root)
			})
		}}
}

func show() *command {
	var scope string
	return &command{name: "show", synopsis: "show the configuration, or the effective settings of a zone and where each is defined", usage: "show [--effective ZONE]",
		flags: func(set *flag.FlagSet) {
			set.StringVar(&scope, "effective", "", "a zone or region")
		},
		run: func(command *command, args []string) subcommands.ExitStatus {
			if len(args) > 0 {
				return command.usageError()
			}
			path := "/v1/config"
			if scope != "" {
				path += "?effective=" + url.QueryEscape(scope)
			}
			status, body, err := command.send("GET", path, nil)
			return command.finish(status, body, err, func(root gjson.Result) {
				fmt.Printf("serial %d\n", root.Get("serial").Int())
				if evacuated := root.Get("evacuated").Array(); len(evacuated) > 0 {
					fmt.Printf("evacuated %s\n", root.Get("evacuated").Raw)
				}
				if scope == "" {
					fmt.Println(root.Get("document|@pretty").String())
					return
				}
				var keys []string
				leaves := root.Get("effective").Map()
				for key := range leaves {
					keys = append(keys, key)
				}
				sort.Strings(keys)
				for _, key := range keys {
					fmt.Printf("%-44s %-16s from %s\n", key, leaves[key].Get("value").Raw, leaves[key].Get("from").Str)
				}
			})
		}}
}

func members() *command {
	return &command{name: "members", synopsis: "list the daemons with a live session", usage: "members",
		run: func(command *command, args []string) subcommands.ExitStatus {
			if len(args) > 0 {
				return command.usageError()
			}
			status, body, err := command.send("GET", "/v1/members", nil)
			return command.finish(status, body, err, func(root gjson.Result) {
				for _, session := range root.Array() {
					member := session.Get("Member")
					fmt.Printf("%-8s %-12s %-10s %-10s wire %-21s http %-21s %s\n", member.Get("role").Str, member.Get("name").Str, member.Get("region").Str, member.Get("zone").Str, member.Get("wire").Str, member.Get("http").Str, member.Get("acceptor").Str)
				}
			})
		}}
}

func core() *command {
	return &command{name: "core", synopsis: "change the members of the core; can add and remove several acceptors at once", usage: "core add ID ... [remove ID ...] | core remove ID ... [add ID ...]",
		run: func(command *command, args []string) subcommands.ExitStatus {
			lists := map[string][]string{}
			action := ""
			for _, arg := range args {
				if arg == "add" || arg == "remove" {
					action = arg
				} else if action == "" {
					return command.usageError()
				} else {
					lists[action] = append(lists[action], arg)
				}
			}
			if len(lists) == 0 {
				return command.usageError()
			}
			status, body, err := command.send("POST", "/v1/core", lists)
			return command.finish(status, body, err, showCore)
		}}
}

func evacuations() (list []*command) {
	for _, action := range [][2]string{{"evacuate", "take a zone out of service; returns once no daemon sends anything there"}, {"hand-back", "return an evacuated zone to service"}} {
		list = append(list, &command{name: action[0], synopsis: action[1], usage: action[0] + " ZONE",
			run: func(command *command, args []string) subcommands.ExitStatus {
				if len(args) != 1 {
					return command.usageError()
				}
				status, body, err := command.send("POST", "/v1/zones/"+url.PathEscape(args[0])+"/"+command.name, nil)
				return command.finish(status, body, err, showAcknowledgement)
			}})
	}
	return list
}

func handover() *command {
	var id, regions string
	var stay bool
	return &command{name: "handover", synopsis: "move a model's traffic to another version, watch the progress, or roll it back", usage: "handover start MODEL VERSION --id ID [--regions A,B] | status [MODEL] | rollback MODEL [--regions A,B] | promote MODEL [--stay]",
		flags: func(set *flag.FlagSet) {
			set.StringVar(&id, "id", "", "the id of the run; reusing an id joins the existing run")
			set.StringVar(&regions, "regions", "", "comma-separated regions (default: all regions where the model is placed)")
			set.BoolVar(&stay, "stay", false, "promote: only allow automatic roll-outs again, without moving traffic")
		},
		run: func(command *command, args []string) subcommands.ExitStatus {
			if len(args) == 0 {
				return command.usageError()
			}
			var list []string
			if regions != "" {
				list = strings.Split(regions, ",")
			}
			switch action := args[0]; {
			case action == "start" && len(args) == 3 && id != "":
				status, body, err := command.send("POST", "/v1/handovers", map[string]any{"id": id, "model": args[1], "version": args[2], "regions": list})
				return command.finish(status, body, err, func(root gjson.Result) {
					root.ForEach(func(region, run gjson.Result) bool {
						fmt.Printf("%s: run %s is %s\n", region.Str, run.Get("id").Str, run.Get("state").Str)
						return true
					})
				})
			case action == "status" && len(args) <= 2:
				status, body, err := command.send("GET", "/v1/handovers", nil)
				return command.finish(status, body, err, func(root gjson.Result) {
					root.ForEach(func(name, model gjson.Result) bool {
						if len(args) < 2 || args[1] == name.Str {
							showModel(name.Str, model)
						}
						return true
					})
				})
			case action == "rollback" && len(args) == 2:
				status, body, err := command.send("POST", "/v1/handovers/"+url.PathEscape(args[1])+"/rollback?regions="+url.QueryEscape(regions), nil)
				return command.finish(status, body, err, func(root gjson.Result) { showModel(args[1], root) })
			case action == "promote" && len(args) == 2:
				status, body, err := command.send("POST", fmt.Sprintf("/v1/handovers/%s/promote?stay=%t", url.PathEscape(args[1]), stay), nil)
				return command.finish(status, body, err, func(root gjson.Result) { showModel(args[1], root) })
			}
			return command.usageError()
		}}
}

func showModel(name string, model gjson.Result) {
	fmt.Printf("model %s: live %s", name, orNone(model.Get("live").Str))
	if model.Get("isRolledBack").Bool() {
		fmt.Print(", rolled back: automatic roll-outs wait for a promote")
	}
	fmt.Println()
	model.Get("routes").ForEach(func(region, route gjson.Result) bool {
		fmt.Printf("  %-10s serves %s, before it %s (serial %d)", region.Str, orNone(route.Get("Version").Str), orNone(route.Get("Previous").Str), route.Get("Serial").Int())
		if trial := route.Get("Trial").Str; trial != "" {
			fmt.Printf(", tries %s on %s", trial, route.Get("TrialReplicas").Raw)
		}
		if banned := route.Get("Banned").Array(); len(banned) > 0 {
			fmt.Printf(", failed here: %s", route.Get("Banned").Raw)
		}
		fmt.Println()
		return true
	})
	model.Get("runs").ForEach(func(region, store gjson.Result) bool {
		run := store.Get("run")
		if !run.IsObject() {
			return true
		}
		var steps []string
		for _, step := range run.Get("steps").Array() {
			steps = append(steps, step.Get("name").Str)
		}
		fmt.Printf("  %-10s run %s is %s; done: %s", region.Str, run.Get("id").Str, run.Get("state").Str, strings.Join(steps, " "))
		if last := run.Get("last").Str; last != "" {
			fmt.Printf("; at %s: %s", run.Get("at").Str, last)
		}
		if reason := run.Get("reason").Str; reason != "" {
			fmt.Printf("; %s", reason)
		}
		fmt.Println()
		return true
	})
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func status() *command {
	var request string
	return &command{name: "status", synopsis: "show the state of the system, or where one request was sent", usage: "status [--request ID]",
		flags: func(set *flag.FlagSet) {
			set.StringVar(&request, "request", "", "a request id to look up on all data daemons")
		},
		run: func(command *command, args []string) subcommands.ExitStatus {
			if len(args) > 0 {
				return command.usageError()
			}
			if request != "" {
				return command.find(request)
			}
			status, body, err := command.send("GET", "/v1/status", nil)
			return command.finish(status, body, err, showStatus)
		}}
}

// find looks the request id up on every data daemon and prints the records found.
func (command *command) find(request string) subcommands.ExitStatus {
	_, body, err := command.send("GET", "/v1/members", nil)
	if err != nil {
		return command.finish(0, nil, err, nil)
	}
	found, unreachable := 0, 0
	for _, session := range gjson.ParseBytes(body).Array() {
		member := session.Get("Member")
		if member.Get("role").Str != "data" {
			continue
		}
		daemon := remote{at: member.Get("http").Str}
		status, body, err := daemon.send("GET", "/v1/requests/"+url.PathEscape(request), nil)
		if err != nil {
			unreachable++
			fmt.Fprintf(os.Stderr, "could not query %s: %v\n", member.Get("name").Str, err)
			continue
		}
		if status != 200 {
			continue
		}
		if command.json {
			fmt.Println(string(body))
			found++
			continue
		}
		for _, record := range gjson.ParseBytes(body).Array() {
			found++
			fmt.Printf("%s at %s: %s (%s), %d events, %v\n", record.Get("At").Str, member.Get("name").Str, record.Get("Verdict").Str, record.Get("Code").Str, record.Get("Events").Int(), time.Duration(record.Get("Took").Int()).Round(time.Millisecond))
			for _, attempt := range record.Get("Dispatches").Array() {
				fmt.Printf("  to %s in %s, version %s, under serial %d: %s (%s)\n", attempt.Get("Replica").Str, attempt.Get("Region").Str, attempt.Get("Version").Str, attempt.Get("Serial").Int(), attempt.Get("Verdict").Str, attempt.Get("Code").Str)
			}
		}
	}
	if found == 0 {
		fmt.Fprintln(os.Stderr, "no data daemon has a record of this request")
		return exitFailed
	}
	if unreachable > 0 {
		return exitFailed
	}
	return exitDone
}

// showRedundancy prints how many acceptors hold everything that was decided, and which are
// behind or silent. Without a majority the status has no redundancy, and nothing is printed.
func showRedundancy(redundancy gjson.Result) {
	if !redundancy.Exists() {
		return
	}
	fmt.Printf("redundancy: %d of %d acceptors whole, %d disks may be lost\n", redundancy.Get("whole").Int(), redundancy.Get("wanted").Int(), redundancy.Get("losable").Int())
	for _, kind := range []string{"behind", "silent"} {
		for _, id := range redundancy.Get(kind).Array() {
			age := time.Duration(redundancy.Get("lacking_for").Map()[id.Str].Int())
			fmt.Printf("acceptor %s: %s, for %v at least\n", kind, id.Str, age.Round(time.Second))
		}
	}
}

func showStatus(root gjson.Result) {
	fmt.Printf("configuration serial %d, core epoch %d of %d acceptors, asked %s\n", root.Get("serial").Int(), root.Get("core.epoch").Int(), len(root.Get("core.members").Array()), root.Get("asked").Str)
	if !root.Get("majority").Bool() {
		fmt.Printf("NO MAJORITY: %s\n", root.Get("trouble").Str)
	}
	showRedundancy(root.Get("redundancy"))
	root.Get("unreached").ForEach(func(address, reason gjson.Result) bool {
		fmt.Printf("not reached: %s (%s)\n", address.Str, reason.Str)
		return true
	})
	shown := map[string]bool{}
	root.Get("locals").ForEach(func(_, local gjson.Result) bool {
		for _, session := range local.Get("sessions").Array() {
			member := session.Get("Member")
			if member.Get("role").Str != "data" || shown[member.Get("name").Str] {
				continue
			}
			shown[member.Get("name").Str] = true
			report := session.Get("Report")
			fmt.Printf("data %-10s %-8s serial %d, permit %v, queue %d\n", member.Get("name").Str, member.Get("zone").Str, report.Get("Config").Int(), time.Duration(report.Get("Permit").Int()).Round(time.Millisecond), report.Get("Queue").Int())
		}
		return true
	})
	root.Get("locals").ForEach(func(name, local gjson.Result) bool {
		local.Get("regions").ForEach(func(region, state gjson.Result) bool {
			fmt.Printf("region %s, by %s (duty serial %d)\n", region.Str, name.Str, state.Get("duty").Int())
			endpoints := map[string]gjson.Result{}
			for _, endpoint := range state.Get("standing.Places").Array() {
				endpoints[endpoint.Get("ID").Str] = endpoint
			}
			for _, replica := range state.Get("replicas").Array() {
				id := replica.Get("ID").Str
				health := "dark"
				if replica.Get("Alive").Bool() {
					health = "alive"
				}
				if replica.Get("Leaving").Bool() {
					health = "leaving"
				}
				fmt.Printf("  replica %-10s %-8s %-8s holds %s", id, replica.Get("Zone").Str, health, replica.Get("Held").Raw)
				if endpoint, isRouted := endpoints[id]; isRouted {
					fmt.Printf(", bears %d of %d, credits %s", endpoint.Get("Capacity").Int(), endpoint.Get("Whole").Int(), endpoint.Get("Credits").Raw)
				}
				fmt.Println()
			}
			return true
		})
		return true
	})
	root.Get("models").ForEach(func(name, model gjson.Result) bool {
		showModel(name.Str, model)
		return true
	})
}
