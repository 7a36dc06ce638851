package settings_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"swifttiller/settings"
)

// load loads settings from a file with an additional field, and from flags.
func load(t *testing.T, field string, flags []string) (*settings.Process, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	text := `{"name":"c1","region":"r","zone":"z","wire":"127.0.0.1:1","http":"127.0.0.1:2","seeds":["127.0.0.1:1"]` + field + `}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	set := flag.NewFlagSet("c1", flag.ContinueOnError)
	settings.ProcessFlags(set)
	if err := set.Parse(flags); err != nil {
		t.Fatal(err)
	}
	return settings.LoadProcess(path, set)
}

// TestFirstFlag checks that a first start is set only by the boolean in the file or the flag,
// and that the flag overrides the file.
func TestFirstFlag(t *testing.T) {
	for _, test := range []struct {
		field   string
		flags   []string
		isFirst bool
		holds   bool
	}{
		{"", nil, false, true},
		{`,"first":true`, nil, true, true},
		{`,"first":false`, nil, false, true},
		{`,"first":true`, []string{"--first=false"}, false, true},
		{"", []string{"--first"}, true, true},
		{`,"first":"true"`, nil, false, false},
		{`,"first":1`, nil, false, false},
	} {
		process, err := load(t, test.field, test.flags)
		if (err == nil) != test.holds || err == nil && process.First != test.isFirst {
			t.Errorf("%s %v: %+v, %v", test.field, test.flags, process, err)
		}
	}
}

// TestCountFlag checks that calls are counted only if the file or the flag enables it.
func TestCountFlag(t *testing.T) {
	for _, test := range []struct {
		field         string
		flags         []string
		counts, holds bool
	}{
		{"", nil, false, true},
		{`,"count":true`, nil, true, true},
		{`,"count":true`, []string{"--count=false"}, false, true},
		{"", []string{"--count"}, true, true},
		{`,"count":1`, nil, false, false},
	} {
		process, err := load(t, test.field, test.flags)
		if (err == nil) != test.holds || err == nil && process.Count != test.counts {
			t.Errorf("%s %v: %+v, %v", test.field, test.flags, process, err)
		}
	}
}
