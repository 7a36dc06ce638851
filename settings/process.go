// Package settings parses and checks a process's own settings (file and flags) and the
// operators' configuration tree (whole > region > zone), and supplies their defaults.
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

// Problem is one error in a setting, with the setting's path.
type Problem struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// Problems lists all errors that a check found.
type Problems []Problem

// Error returns one line per problem.
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

// Process is a daemon's own settings, from its file and flags.
//
// Invariant: Name is unique in the system and belongs to the machine's role: a restarted
// process keeps the name and gets a new incarnation.
type Process struct {
	Name   string
	Region string
	Zone   string
	Wire   string
	HTTP   string
	Door   string // listen address for callers of routes, if it is not HTTP
	Seeds  []string
	Data   string
	Log    string
	Grace  int // seconds that a graceful stop may take
	Traces string
	// Memory is the memory that the process may use, in MiB; zero means no limit. The Go
	// runtime's limit is set from it when the process starts.
	Memory int
	// First is true only when the whole system starts for the first time, on empty
	// disks: the seeds then become the first core. It is read only when the process starts.
	First bool
	// Count enables counting of calls to other daemons by method; the counts are shown
	// with the counters. It is read only when the process starts.
	Count bool
	// Choices makes a data daemon log, for analysis, one line for every attempt of a routed
	// request with the reasons for the choice of the replica. It is read only when the
	// process starts.
	Choices bool
}

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	logLevels   = map[string]bool{"debug": true, "info": true, "warn": true, "error": true}
)

// ProcessFlags registers the flags of a process on the set and returns the path of the
// settings file, for LoadProcess, which holds once the set has been parsed.
func ProcessFlags(set *flag.FlagSet) *string {
	path := set.String("settings", "", "settings file (JSON); flags take precedence over it")
	set.String("name", "", "this daemon's name, unique in the system")
	set.String("region", "", "the region this daemon is in")
	set.String("zone", "", "the zone this daemon is in")
	set.String("wire", "", "IP:port for calls between the system's daemons")
	set.String("http", "", "IP:port for callers and operators")
	set.String("door", "", "IP:port for callers of routes, if other than http")
	set.String("seeds", "", "wire addresses of a few control daemons, separated by commas")
	set.String("data", "", "data directory (only for control daemons with a disk)")
	set.String("log", "", "debug, info, warn or error (default info)")
	set.Int("grace", 0, "seconds that a graceful stop may take (default 10)")
	set.Int("memory", 0, "MiB of memory that the process may use (0: no limit)")
	set.Bool("first", false, "the whole system starts for the first time, on empty disks: make the seeds the first core")
	set.Bool("count", false, "count calls to other daemons and their bytes, shown at /v1/counters")
	set.Bool("choices", false, "log why each attempt of a routed request went to its replica, for fleet explain")
	set.String("traces", "", "file to write OpenTelemetry JSON traces to (no traces when empty)")
	return path
}

// LoadProcess reads the file, if any, overrides its settings with the flags that were
// given, and checks the result.
func LoadProcess(path string, set *flag.FlagSet) (*Process, error) {
	process := &Process{Log: "info", Grace: 10}
	var problems Problems
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, Problems{{"settings", err.Error()}}
		}
		process.readJSON(string(data), &problems)
	}
	set.Visit(process.applyFlag)
	process.check(&problems)
	if len(problems) > 0 {
		return nil, problems
	}
	return process, nil
}

// applyFlag overrides a setting with the value of a flag.
func (process *Process) applyFlag(option *flag.Flag) {
	value := option.Value.String()
	switch option.Name {
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
		if field := process.stringField(option.Name); field != nil {
			*field = value
		}
	}
}

// ApplyLoggingFlags applies only those of the given flags that control what is logged. They are in
// force even where all other settings come from the platform's deployment files.
func (process *Process) ApplyLoggingFlags(set *flag.FlagSet) {
	set.Visit(func(option *flag.Flag) {
		if option.Name == "choices" {
			process.applyFlag(option)
		}
	})
}

// stringField returns a pointer to the string setting of that name; nil if there is none.
func (process *Process) stringField(name string) *string {
	return map[string]*string{
		"name": &process.Name, "region": &process.Region, "zone": &process.Zone, "wire": &process.Wire,
		"http": &process.HTTP, "door": &process.Door, "data": &process.Data, "log": &process.Log, "traces": &process.Traces,
	}[name]
}

func (process *Process) readJSON(text string, problems *Problems) {
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
			problems.add(path, "is given twice")
		}
		seen[key.Str] = true
		field := process.stringField(key.Str)
		switch {
		case field != nil && value.Type == gjson.String:
			*field = value.Str
		case field != nil:
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
			problems.add(path, "is not a setting of a daemon")
		}
		return true
	})
}

// Check returns all problems of the settings, each with its path in a settings file of
// this package's format.
func (process *Process) Check() (problems Problems) {
	process.check(&problems)
	return problems
}

// check adds all problems of the settings and cleans the path of the data directory.
func (process *Process) check(problems *Problems) {
	for _, name := range []string{"name", "region", "zone"} {
		if value := *process.stringField(name); !namePattern.MatchString(value) {
			problems.add("$."+name, "%q is no name: letters, digits, dots, underscores and dashes", value)
		}
	}
	address := func(path, value string) {
		host, _, err := net.SplitHostPort(value)
		if err != nil {
			problems.add(path, "%q is not an IP:port", value)
		} else if net.ParseIP(host) == nil {
			problems.add(path, "%q: the host must be an IP address", value)
		}
	}
	address("$.wire", process.Wire)
	address("$.http", process.HTTP)
	if process.Door != "" {
		address("$.door", process.Door)
	}
	if len(process.Seeds) == 0 {
		problems.add("$.seeds", "at least one seed is needed")
	}
	for index, seed := range process.Seeds {
		address(fmt.Sprintf("$.seeds.%d", index), seed)
	}
	if !logLevels[process.Log] {
		problems.add("$.log", "%q is not one of debug, info, warn, error", process.Log)
	}
	if process.Memory != 0 && (process.Memory < 32 || process.Memory > 1<<20) {
		problems.add("$.memory", "%d is neither 0 nor within 32 to 1048576 MiB", process.Memory)
	}
	if process.Grace < 1 || process.Grace > 3600 {
		problems.add("$.grace", "%d is not within 1 to 3600 seconds", process.Grace)
	}
	if process.Data != "" {
		process.Data = filepath.Clean(process.Data)
	}
}
