package settings_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"swifttiller/settings"
)

// dataDaemonFile writes a data daemon's settings, with extra fields, to a file and returns
// its path.
func dataDaemonFile(t *testing.T, extraFields string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "daemon.json")
	text := `{"name":"d1","region":"a","zone":"a-1","wire":"127.0.0.1:1","http":"127.0.0.1:2","seeds":["127.0.0.1:3"]` + extraFields + `}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestChoices checks that choices can be set in the file and by a flag, which overrides the
// file, that other values than booleans are rejected, and that ApplyLoggingFlags applies no flag but
// this.
func TestChoices(t *testing.T) {
	parseFlags := func(args ...string) *flag.FlagSet {
		set := flag.NewFlagSet("d", flag.ContinueOnError)
		settings.ProcessFlags(set)
		if err := set.Parse(args); err != nil {
			t.Fatal(err)
		}
		return set
	}
	for _, test := range []struct {
		more string
		args []string
		want bool
	}{
		{"", nil, false},
		{`,"choices":true`, nil, true},
		{"", []string{"--choices"}, true},
		{`,"choices":true`, []string{"--choices=false"}, false},
	} {
		process, err := settings.LoadProcess(dataDaemonFile(t, test.more), parseFlags(test.args...))
		if err != nil || process.Choices != test.want {
			t.Errorf("%s %v: %v, %v", test.more, test.args, process, err)
		}
	}
	if _, err := settings.LoadProcess(dataDaemonFile(t, `,"choices":"yes"`), parseFlags()); err == nil || !strings.Contains(err.Error(), "$.choices") {
		t.Errorf("choices as a string: want an error at $.choices, got %v", err)
	}
	process := &settings.Process{Name: "d1"}
	process.ApplyLoggingFlags(parseFlags("--choices", "--name", "other"))
	if !process.Choices || process.Name != "d1" {
		t.Errorf("want the choices flag and no other to be applied, got %+v", process)
	}
}

// TestRemovedLimits guards against a document of an earlier release that is rejected after
// an upgrade because it sets a limit that was removed: it must be accepted with a warning.
// A limit that never existed is a problem.
func TestRemovedLimits(t *testing.T) {
	tree, problems := settings.Parse([]byte(strings.Replace(good, `"queue_ms": 900`, `"queue_ms": 900, "reader_share": 0.4`, 1)))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if warnings := tree.Warnings(); len(warnings) != 1 || warnings[0].Path != "$.whole.limits.reader_share" {
		t.Errorf("want one warning, for reader_share, got %v", warnings)
	}
	if _, problems := settings.Parse([]byte(strings.Replace(good, `"queue_ms": 900`, `"writer_share": 0.4`, 1))); len(problems) != 1 {
		t.Errorf("unknown limit: want one problem, got %v", problems)
	}
	if tree, _ := settings.Parse([]byte(good)); len(tree.Warnings()) > 0 {
		t.Errorf("want no warnings for a current document, got %v", tree.Warnings())
	}
}
