package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// proof are the folders that are no product: stand-ins, simulation, tools.
var proof = []string{"fleet", "sim", "modelcheck", "scripts", "cmd/fleet", "smoke", "docs"}

var setter = regexp.MustCompile(`^Set[A-Z]`)

func within(path string, folders ...string) bool {
	for _, folder := range folders {
		if strings.HasPrefix(filepath.ToSlash(path), "../"+folder+"/") {
			return true
		}
	}
	return false
}

// unlike gives where a file departs from the house style, as far as it can be read
// off the syntax.
func unlike(t *testing.T, path string, source any) (found []string) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, source, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	isTest, isProof := strings.HasSuffix(path, "_test.go"), within(path, proof...)
	say := func(node ast.Node, what string) {
		found = append(found, path+":"+strconv.Itoa(files.Position(node.Pos()).Line)+": "+what)
	}
	for _, one := range file.Imports {
		name, _ := strconv.Unquote(one.Path.Value)
		switch {
		case isTest || isProof:
		case name == "os/exec" || name == "unsafe" || name == "plugin":
			say(one, "a product process starts no process and stays within the language: "+name)
		case name == "swifttiller/fleet" || name == "swifttiller/sim":
			say(one, "product code needs no proof: "+name)
		case name == "log" || name == "log/slog":
			say(one, "logs are zap's JSON lines: "+name)
		case name == "net/http":
			say(one, "HTTP is fiber's and fasthttp's: "+name)
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.FuncDecl:
			// A subcommand's SetFlags is the library's.
			if node.Recv != nil && setter.MatchString(node.Name.Name) && node.Name.Name != "SetFlags" && !isTest && !isProof {
				say(node, "options stand in structs; there are no setters: "+node.Name.Name)
			}
		case *ast.SelectStmt:
			waits := true
			for _, clause := range node.Body.List {
				waits = waits && clause.(*ast.CommClause).Comm != nil
			}
			if waits && !isTest && !isProof && !within(path, "loop") {
				say(node, "a select that waits stands in package loop alone")
			}
		case *ast.SelectorExpr:
			base, isName := node.X.(*ast.Ident)
			if isName && base.Name == "time" && isTest && node.Sel.Name == "Sleep" {
				say(node, "no test sleeps")
			}
		}
		return true
	})
	return found
}

// TestStyle: what the syntax shows of the house style.
func TestStyle(t *testing.T) {
	eachFile(t, unlike)
	// The reader itself: each kind of departure is found, and nothing else.
	for what, text := range map[string]string{
		"os/exec":    `import "os/exec"; var run = exec.Command`,
		"need":       `import "swifttiller/sim"; var one sim.Sim`,
		"JSON lines": `import "log"; var say = log.Println`,
		"fiber":      `import "net/http"; var get = http.Get`,
		"setters":    `type a struct{}; func (a) SetName(string) {}`,
		"loop alone": `func wait(box chan int) { select { case <-box: } }`,
	} {
		found := unlike(t, "../decide/x.go", "package x\n"+text)
		if len(found) != 1 || !strings.Contains(found[0], what) {
			t.Errorf("%s: found %v", what, found)
		}
	}
	if found := unlike(t, "../decide/x_test.go", "package x\nimport \"time\"\nfunc wait() { time.Sleep(1) }"); len(found) != 1 {
		t.Errorf("a test that sleeps: found %v", found)
	}
	if found := unlike(t, "../loop/x.go", "package x\nfunc wait(box chan int) { select { case <-box: }; select { case <-box: default: } }"); len(found) != 0 {
		t.Errorf("the one select loop: found %v", found)
	}
}
