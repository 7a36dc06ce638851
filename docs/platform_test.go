package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// mostAdapter is how many lines of Go, without tests, the adapter may have.
const mostAdapter = 1500

// translated are the packages whose words the adapter may translate to.
var translated = map[string]bool{
	"controlplane": true, "dataplane": true, "decide": true, "lease": true, "listing": true, "replica": true,
	"serve": true, "settings": true, "verdict": true, "workflow": true,
}

// platformNames are names of the platform that only the adapter knows: headers, calls,
// and keys of its documents. Words that are ours as well, or any program's, do not stand
// here.
var platformNames = []string{
	"Attempt-Id", "Time-Left-Ms", "Prompt-Prefix", "Token-Count", "Last-Event-Id", "Postmark", "Expect-Instance", "Expect-Version",
	"Server-Load", "Not-Run", "Served-By", "Cold-Ms", "Based-On",
	"Config.Replace", "Config.Read", "Rollouts.Begin", "Rollouts.Read", "Evacuations.Begin", "Evacuations.Finish",
	"SWIFTTILLER_SETTINGS", "inner_range", "provider_api", "seed_nodes", "state_dir", "first_boot", "counts_loss", "terms_used",
	"ready_probe", "directory_port", "control_port",
	"path_prefix", "gap_target_ms", "home_regions", "health_path", "cold_left_ms", "page_token", "next_token", "to_version",
	"winding_down", "in_service", "under_way",
}

// platformWords are names that are too short to be looked for within a text: they count
// where they are all of it.
var platformWords = map[string]bool{
	"depot": true, "depots": true, "lanes": true, "edition": true, "sorting": true, "counter": true, "registry": true, "accounts": true, "Key": true, "delivered": true, "returned": true, "cold_s": true,
}

// strayed gives where a file outside the adapter has a name of the platform, or one
// within it an import that it may not have. Comments do not count, nor do tests.
func strayed(t *testing.T, path string, source any) (found []string) {
	isAdapter := within(path, "platform")
	if strings.HasSuffix(path, "_test.go") {
		return nil
	}
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, source, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	say := func(node ast.Node, what string) {
		found = append(found, path+":"+strconv.Itoa(files.Position(node.Pos()).Line)+": "+what)
	}
	for _, one := range file.Imports {
		name, _ := strconv.Unquote(one.Path.Value)
		if ours, isOurs := strings.CutPrefix(name, "swifttiller/"); isAdapter && isOurs && !translated[ours] {
			say(one, "the adapter translates, and needs no package that decides or keeps: "+name)
		}
	}
	if isAdapter {
		return found
	}
	ast.Inspect(file, func(node ast.Node) bool {
		literal, isLiteral := node.(*ast.BasicLit)
		if !isLiteral || literal.Kind != token.STRING {
			return true
		}
		text, _ := strconv.Unquote(literal.Value)
		if platformWords[text] {
			say(literal, "only the adapter knows the platform's word "+text)
		}
		for _, name := range platformNames {
			if strings.Contains(text, name) {
				say(literal, "only the adapter knows the platform's name "+name)
			}
		}
		return true
	})
	return found
}

// TestPlatformStaysAnAdapter: the platform's names stand in the adapter alone, which is
// small, and built on nothing that decides or keeps state.
func TestPlatformStaysAnAdapter(t *testing.T) {
	eachFile(t, strayed)
	paths, err := filepath.Glob("../platform/*.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	adapter := ""
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		lines += strings.Count(string(text), "\n")
		adapter += string(text)
	}
	if lines < 100 || lines >= mostAdapter {
		t.Errorf("the adapter has %d lines of Go; below %d are allowed, and it is not empty", lines, mostAdapter)
	}
	// The list itself: a name that the adapter does not use is looked for in vain. Only
	// winding_down is another word for what the adapter takes any unknown state for.
	for _, name := range platformNames {
		if name != "winding_down" && !strings.Contains(adapter, name) {
			t.Errorf("no name of the platform's any more: %s", name)
		}
	}
	// The reader itself: each kind of departure is found, and nothing else.
	for what, one := range map[string][2]string{
		"Attempt-Id":             {"../decide/x.go", `const header = "Attempt-Id"`},
		"Config.Replace":         {"../controlplane/x.go", "var paths = []string{`/Config.Replace`}"},
		"word depot":             {"../settings/x.go", `var key = map[string]string{"depot": ""}`},
		"decides or keeps":       {"../platform/x.go", `import _ "swifttiller/register"`},
		"keeps: swifttiller/sim": {"../platform/x.go", `import _ "swifttiller/sim"`},
	} {
		found := strayed(t, one[0], "package x\n"+one[1])
		if len(found) != 1 || !strings.Contains(found[0], what) {
			t.Errorf("%s: found %v", what, found)
		}
	}
	for path, text := range map[string]string{
		"../decide/x.go":      "// Attempt-Id is a header of theirs.\nvar returning = \"a counter of calls\"",
		"../decide/x_test.go": `var header = "Attempt-Id"`,
		"../platform/x.go":    "import _ \"swifttiller/settings\"\nvar header = \"Attempt-Id\"",
	} {
		if found := strayed(t, path, "package x\n"+text); len(found) != 0 {
			t.Errorf("%s: found %v", path, found)
		}
	}
}
