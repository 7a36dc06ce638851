// Package settings owns the process's own file and flags, and the operators'
// tree (whole > region > zone) with its checks and defaults.
package settings

import (
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/tidwall/gjson"
)

// Problem is one thing wrong with a setting, at its path.
type Problem struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// Problems is a whole check's outcome.
type Problems []Problem

// Error is one line per problem.
func (problems Problems) Error() string {
	lines := make([]string, len(problems))
	for index, problem := range problems {
		lines[index] = problem.Path + ": " + problem.Reason
	}
	return strings.Join(lines, "\n")
}

func (problems *Problems) add(path, reason string, values ...any) {
	*problems = append(*problems, Problem{path, fmt.Sprintf(reason, values...)})
}

// Process is a daemon's place: what its file or flags say.
//
// Invariant: Name is unique in the system and stays with the machine's role;
// a restarted process keeps the name and gets a new incarnation.
type Process struct {
	Name   string
	Region string
	Zone   string
	Wire   string
	HTTP   string
	Door   string // where callers of routes come in, if that is elsewhere than HTTP
	Seeds  []string
	Data   string
	Log    string
	Grace  int // seconds that a planned stop may take
	Traces string
	// Memory is how much the process may use, in MiB; zero when nobody says. It is told
	// to the runtime at a process's start.
	Memory int
	// First is true only when the whole system starts for the first time, on empty
	// disks: then the seeds are made the first core. It counts at a process's start.
	First bool
	// Count makes calls to other daemons be counted by method, shown with the counters.
	// It counts at a process's start.
	Count bool
	// Choices makes a data daemon log the choice behind every dispatch of a routed request:
	// a line each, for analysis. It counts at a process's start.
	Choices bool
}

var (
	nameShape = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	levels    = map[string]bool{"debug": true, "info": true, "warn": true, "error": true}
)

// ProcessFlags registers the flags on a set. Give the result to LoadProcess
// once the set has been parsed.
func ProcessFlags(set *flag.FlagSet) *string {
	path := set.String("settings", "", "settings file (JSON); flags go before it")
	set.String("name", "", "this daemon's name, unique in the system")
	set.String("region", "", "the region this daemon is in")
	set.String("zone", "", "the zone this daemon is in")
	set.String("wire", "", "IP:port for the system's own calls")
	set.String("http", "", "IP:port for callers and operators")
	set.String("door", "", "IP:port for callers of routes, if elsewhere than http")
	set.String("seeds", "", "wire addresses of a few control daemons, by comma")
	set.String("data", "", "data folder (control daemons with a disk only)")
	set.String("log", "", "debug, info, warn or error (default info)")
	set.Int("grace", 0, "seconds that a planned stop may take (default 10)")
	set.Int("memory", 0, "MiB of memory that the process may use (0: no limit)")
	set.Bool("first", false, "the whole system starts for the first time, on empty disks: make the seeds the first core")
	set.Bool("count", false, "count calls to other daemons and their bytes, shown at /v1/counters")
	set.Bool("choices", false, "log the choice behind every dispatch of a routed request, for fleet explain")
	set.String("traces", "", "file that OpenTelemetry JSON traces go to (off when empty)")
	return path
}

// LoadProcess reads the file, if any, lays the given flags over it and checks
// the outcome.
func LoadProcess(path string, set *flag.FlagSet) (*Process, error) {
	process := &Process{Log: "info", Grace: 10}
	var problems Problems
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, Problems{{"settings", err.Error()}}
		}
		process.read(string(data), &problems)
	}
	set.Visit(process.lay)
	process.check(&problems)
	if len(problems) > 0 {
		return nil, problems
	}
	return process, nil
}

// lay lays one flag over the settings.
func (process *Process) lay(given *flag.Flag) {
	value := given.Value.String()
	switch given.Name {
	case "seeds":
		process.Seeds = strings.Split(value, ",")
	case "memory":
		_, _ = fmt.Sscan(value, &process.Memory)
	case "grace":
		_, _ = fmt.Sscan(value, &process.Grace)
	case "first":
		process.First = value == "true"
	case "count":
		process.Count = value == "true"
	case "choices":
		process.Choices = value == "true"
	default:
		if place := process.place(given.Name); place != nil {
			*place = value
		}
	}
}

// Watching lays those of the given flags over the settings that only say what is logged;
// they hold also where everything else comes from the machine.
func (process *Process) Watching(set *flag.FlagSet) {
	set.Visit(func(given *flag.Flag) {
		if given.Name == "choices" {
			process.lay(given)
		}
	})
}

func (process *Process) place(name string) *string {
	return map[string]*string{
		"name": &process.Name, "region": &process.Region, "zone": &process.Zone, "wire": &process.Wire,
		"http": &process.HTTP, "door": &process.Door, "data": &process.Data, "log": &process.Log, "traces": &process.Traces,
	}[name]
}

func (process *Process) read(text string, problems *Problems) {
	if !gjson.Valid(text) {
		problems.add("$", "is not JSON")
		return
	}
	root := gjson.Parse(text)
	if !root.IsObject() {
		problems.add("$", "must be an object")
		return
	}
	seen := map[string]bool{}
	root.ForEach(func(key, value gjson.Result) bool {
		path := "$." + key.Str
		if seen[key.Str] {
			problems.add(path, "stands twice")
		}
		seen[key.Str] = true
		place := process.place(key.Str)
		switch {
		case place != nil && value.Type == gjson.String:
			*place = value.Str
		case place != nil:
			problems.add(path, "must be a string")
		case key.Str == "memory" && value.Type == gjson.Number:
			process.Memory = int(value.Int())
		case key.Str == "memory":
			problems.add(path, "must be a number")
		case key.Str == "grace" && value.Type == gjson.Number:
			process.Grace = int(value.Int())
		case key.Str == "grace":
			problems.add(path, "must be a number")
		case key.Str == "first" && value.IsBool():
			process.First = value.Bool()
		case key.Str == "count" && value.IsBool():
			process.Count = value.Bool()
		case key.Str == "choices" && value.IsBool():
			process.Choices = value.Bool()
		case key.Str == "first", key.Str == "count", key.Str == "choices":
			problems.add(path, "must be true or false")
		case key.Str == "seeds" && value.IsArray():
			for _, seed := range value.Array() {
				process.Seeds = append(process.Seeds, seed.String())
			}
		case key.Str == "seeds":
			problems.add(path, "must be a list of addresses")
		default:
			problems.add(path, "is no setting of a daemon")
		}
		return true
	})
}

// Check gives every problem of the settings, at its path in a settings file of ours.
func (process *Process) Check() (problems Problems) {
	process.check(&problems)
	return problems
}

func (process *Process) check(problems *Problems) {
	for _, name := range []string{"name", "region", "zone"} {
		if value := *process.place(name); !nameShape.MatchString(value) {
			problems.add("$."+name, "%q is no name: letters, digits, dots, underscores and dashes", value)
		}
	}
	address := func(path, value string) {
		host, _, err := net.SplitHostPort(value)
		if err != nil {
			problems.add(path, "%q is no IP:port", value)
		} else if net.ParseIP(host) == nil {
			problems.add(path, "%q: the host must be an IP number", value)
		}
	}
	address("$.wire", process.Wire)
	address("$.http", process.HTTP)
	if process.Door != "" {
		address("$.door", process.Door)
	}
	if len(process.Seeds) == 0 {
		problems.add("$.seeds", "at least one is needed")
	}
	for index, seed := range process.Seeds {
		address(fmt.Sprintf("$.seeds.%d", index), seed)
	}
	if !levels[process.Log] {
		problems.add("$.log", "%q is none of debug, info, warn, error", process.Log)
	}
	if process.Memory != 0 && (process.Memory < 32 || process.Memory > 1<<20) {
		problems.add("$.memory", "%d is not 0 or within 32 to 1048576 MiB", process.Memory)
	}
	if process.Grace < 1 || process.Grace > 3600 {
		problems.add("$.grace", "%d is not within 1 to 3600 seconds", process.Grace)
	}
	if process.Data != "" {
		process.Data = filepath.Clean(process.Data)
	}
}
