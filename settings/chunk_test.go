package settings_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"swifttiller/settings"
)

// route is the text of one.
func route(name, host string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":"/","kind":"safe","timeout_ms":1000,"shares":[{"model":"m","weight":1}]}`, name, host)
}

func routeList(names ...string) (list []string) {
	for _, name := range names {
		list = append(list, route(name, name+".example"))
	}
	return list
}

func document(label int, list []string) []byte {
	return []byte(fmt.Sprintf(`{"label":%d,"whole":{"placements":{"m":{"version":"any"}}},"engines":{"m":{"probe_path":"/"}},"routes":[%s],"regions":{"a":{"zones":{"a-1":{}}}}}`, label, strings.Join(list, ",")))
}

func tenantNames(count int) (names []string) {
	for index := range count {
		names = append(names, fmt.Sprintf("tenant-%d", index))
	}
	return names
}

// TestChunks: a document comes back from its chunks as it was; a tree revised is the tree
// parsed, and shares all that is the same.
func TestChunks(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	names := tenantNames(1500)
	tree, problems := settings.Parse(document(1, routeList(names...)))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	first := tree
	for round := range 60 {
		at, fresh := random.IntN(len(names)), fmt.Sprintf("fresh-%d", round)
		switch round % 4 {
		case 0:
			names = slices.Insert(names, at, fresh)
		case 1:
			names = slices.Delete(names, at, at+1)
		case 2:
			names[at] = fresh
		case 3: // one moves
			one := names[at]
			names = slices.Insert(slices.Delete(names, at, at+1), random.IntN(len(names)), one)
		}
		text := document(round+2, routeList(names...))
		next, problems := tree.Revise(text)
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		if !bytes.Equal(next.Document(), text) {
			t.Fatal("the document does not come back as it was")
		}
		parsed, _ := settings.Parse(text)
		if len(parsed.Chunks()) != len(next.Chunks()) {
			t.Fatalf("%d chunks of a revised tree, %d of a parsed one", len(next.Chunks()), len(parsed.Chunks()))
		}
		added := 0
		for index, chunk := range next.Chunks() {
			if chunk.Text != parsed.Chunks()[index].Text {
				t.Fatal("a chunk of a revised tree is another than that of a parsed one")
			}
			if !slices.Contains(tree.Chunks(), chunk) {
				added++
			}
		}
		// The rest, which has the label, and for a move two places of two runs at the most.
		if added > 5 {
			t.Errorf("turn %d: %d chunks of %d are new", round, added, len(next.Chunks()))
		}
		for _, name := range []string{names[0], names[at%len(names)], names[len(names)-1]} {
			if got := next.Route(name+".example:80", "/x"); got == nil || got.Name != name {
				t.Errorf("turn %d: the route %s is not found", round, name)
			}
		}
		if gone := fmt.Sprintf("fresh-%d.example", round); round%4 == 1 && next.Route(gone, "/") != nil {
			t.Error("a route is found that there never was")
		}
		tree = next
	}
	if again, _ := tree.Revise(document(1, routeList(tenantNames(1500)...))); !bytes.Equal(again.Document(), first.Document()) {
		t.Error("the first does not come back")
	}
	for _, chunk := range first.Chunks()[1:] {
		if count := strings.Count(chunk.Text, `"name"`); count > 128 || count == 0 {
			t.Errorf("a run of %d routes", count)
		}
	}
}

// tenantWithKeys is the text of a tenant with a key of its own, and one that was drawn for it.
func tenantWithKeys(name string, turn int) string {
	return fmt.Sprintf(`{"name":%q,"keys":["key-of-%s","drawn-%s-%d"],"per_s":10}`, name, name, name, turn)
}

// TestTenantChunks: the list of tenants is cut as that of the routes is, wherever it stands:
// a document comes back as it was, and of one tenant that changes, comes or goes little
// more than itself is new.
func TestTenantChunks(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	names, turns := tenantNames(1500), map[string]int{}
	routes := string(document(1, routeList(tenantNames(300)...)))
	text := func(label int) []byte {
		var list []string
		for _, name := range names {
			list = append(list, tenantWithKeys(name, turns[name]))
		}
		tenants := fmt.Sprintf(`"tenants":[%s],`, strings.Join(list, ","))
		nextKey := []string{`"routes"`, `"regions"`}[label/30%2] // it moves once
		return []byte(strings.Replace(strings.Replace(routes, nextKey, tenants+nextKey, 1), `"label":1`, fmt.Sprintf(`"label":%d`, label), 1))
	}
	tree, problems := settings.Parse(text(1))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	for round := 2; round < 60; round++ {
		at := random.IntN(len(names))
		changed := names[at]
		switch round % 4 {
		case 0:
			names = slices.Insert(names, at, fmt.Sprintf("fresh-%d", round))
		case 1:
			names = slices.Delete(names, at, at+1)
		default:
			turns[changed] = round
		}
		document := text(round)
		next, problems := tree.Revise(document)
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		parsed, _ := settings.Parse(document)
		assembled, problems := settings.Assemble(next.Chunks())
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		for name, tree := range map[string]*settings.Tree{"revised": next, "parsed": parsed, "assembled": assembled} {
			if !bytes.Equal(tree.Document(), document) {
				t.Fatalf("%s: the document does not come back as it was", name)
			}
			if got := tree.KeyHolder(fmt.Sprintf("drawn-%s-%d", changed, turns[changed])); (got != nil) != (round%4 != 1) || got != nil && got.Name != changed {
				t.Fatalf("%s, turn %d: the key of %s is held by %+v", name, round, changed, got)
			}
			if round%4 > 1 && (tree.KeyHolder(fmt.Sprintf("drawn-%s-0", changed)) != nil || tree.KeyHolder("key-of-"+changed) == nil) {
				t.Fatalf("%s, turn %d: an old key of %s is held, or one that stays is not", name, round, changed)
			}
		}
		added, size := 0, 0
		for _, chunk := range next.Chunks() {
			if !slices.Contains(tree.Chunks(), chunk) {
				added, size = added+1, size+len(chunk.Text)
			}
		}
		// The rest, which has the label, and a run or two.
		if added > 3 || size > 3*128*len(tenantWithKeys(changed, 10)) {
			t.Errorf("turn %d: %d chunks of %d are new, with %d bytes of %d", round, added, len(next.Chunks()), size, len(document))
		}
		tree = next
	}
	// What is wrong is told in the same words whatever tree it is revised from.
	bad := bytes.Replace(text(60), []byte(`"drawn-`+names[700]), []byte(`"key-of-`+names[3]+`","x`), 1)
	_, want := settings.Parse(bad)
	if _, problems := tree.Revise(bad); len(problems) != 1 || problems[0].Path != "$.tenants.700.keys.1" || problems.Error() != want.Error() {
		t.Errorf("a key that two hold: %v, revised: %v", want, problems)
	}
	if assembled, problems := tree.Revise(text(60)); len(problems) > 0 || !bytes.Equal(assembled.Document(), text(60)) {
		t.Error(problems)
	}
}

// BenchmarkReviseTenants is what one changed tenant of 21,000 with two keys each costs a
// daemon that reads the chunks which it lacks, beside 100 routes.
func BenchmarkReviseTenants(b *testing.B) {
	var list []string
	for _, name := range tenantNames(21000) {
		list = append(list, tenantWithKeys(name, 0))
	}
	text := func(turn int) []byte {
		list[turn%len(list)] = tenantWithKeys(fmt.Sprintf("tenant-%d", turn%len(list)), turn)
		return bytes.Replace(document(turn+1, routeList(tenantNames(100)...)), []byte(`"routes"`), []byte(`"tenants":[`+strings.Join(list, ",")+`],"routes"`), 1)
	}
	tree, _ := settings.Parse(text(0))
	next, _ := tree.Revise(text(7))
	b.ReportAllocs()
	for b.Loop() {
		if _, problems := settings.Assemble(next.Chunks()); len(problems) > 0 {
			b.Fatal(problems)
		}
	}
}

// TestRevisedProblems: what is wrong with a document is told in the same words whatever
// tree it is revised from, and none of it is remembered.
func TestRevisedProblems(t *testing.T) {
	good := routeList(tenantNames(300)...)
	tree, problems := settings.Parse(document(1, good))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	for name, corrupt := range map[string]func(list []string) []string{
		"a host and prefix that stand twice": func(list []string) []string { return append(list, route("twice", "TENANT-7.example:1")) },
		"a model that is nowhere":            func(list []string) []string { list[200] = strings.Replace(list[200], `"m"`, `"n"`, 1); return list },
		"an unknown key":                     func(list []string) []string { list[250] = strings.Replace(list[250], "{", `{"x":1,`, 1); return list },
		"a route that is no object":          func(list []string) []string { list[3] = "7"; return list },
		"no JSON":                            func(list []string) []string { list[3] = "{"; return list },
	} {
		text := document(2, corrupt(slices.Clone(good)))
		_, whole := settings.Parse(text)
		for range 2 {
			if revised, problems := tree.Revise(text); revised != nil || len(problems) == 0 || problems.Error() != whole.Error() {
				t.Errorf("%s: %v, revised: %v", name, whole, problems)
			}
		}
		if again, problems := tree.Revise(document(1, good)); len(problems) > 0 || !bytes.Equal(again.Document(), tree.Document()) {
			t.Errorf("after %s: %v", name, problems)
		}
	}
	for _, odd := range []string{`{"routes":[],"routes":[]}`, `{"routes":7}`, `{"routes":[ ]}`, `[]`, `7`, ``, `{"whole":{},"routes":null}`} {
		if tree, problems := tree.Revise([]byte(odd)); tree != nil || len(problems) == 0 {
			t.Errorf("%q has no problems", odd)
		}
	}
}

// TestAssemble: a tree can't be assembled from chunks that are no document.
func TestAssemble(t *testing.T) {
	tree, _ := settings.Parse(document(1, routeList(tenantNames(100)...)))
	texts := func(edit func(texts []string) []string) (chunks []*settings.Chunk) {
		var list []string
		for _, chunk := range tree.Chunks() {
			list = append(list, chunk.Text)
		}
		for _, text := range edit(list) {
			chunks = append(chunks, settings.NewChunk(text))
		}
		return chunks
	}
	if again, problems := settings.Assemble(texts(func(list []string) []string { return list })); len(problems) > 0 || !json.Valid(again.Document()) || !bytes.Equal(again.Document(), tree.Document()) {
		t.Error(problems)
	}
	for name, edit := range map[string]func(list []string) []string{
		"none":        func([]string) []string { return nil },
		"no JSON":     func(list []string) []string { list[1] = list[1][:20]; return list },
		"a run twice": func(list []string) []string { return append(list, list[1]) },
	} {
		if tree, problems := settings.Assemble(texts(edit)); tree != nil || len(problems) == 0 {
			t.Errorf("%s: assembled", name)
		}
	}
}
