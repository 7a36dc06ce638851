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

// route returns the JSON text of a route to model m.
func route(name, host string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":"/","kind":"safe","timeout_ms":1000,"shares":[{"model":"m","weight":1}]}`, name, host)
}

// routeList returns the JSON texts of routes, one for each name.
func routeList(names ...string) (list []string) {
	for _, name := range names {
		list = append(list, route(name, name+".example"))
	}
	return list
}

// document returns a document with the label and the routes.
func document(label int, list []string) []byte {
	return []byte(fmt.Sprintf(`{"label":%d,"whole":{"placements":{"m":{"version":"any"}}},"engines":{"m":{"probe_path":"/"}},"routes":[%s],"regions":{"a":{"zones":{"a-1":{}}}}}`, label, strings.Join(list, ",")))
}

// tenantNames returns tenant-0, tenant-1 and so on.
func tenantNames(count int) (names []string) {
	for index := range count {
		names = append(names, fmt.Sprintf("tenant-%d", index))
	}
	return names
}

// TestChunks checks that a document is restored from its chunks byte for byte, that a
// revised tree equals a freshly parsed one, and that it reuses the unchanged chunks of the
// previous tree: otherwise small changes would cost as much as the whole document.
func TestChunks(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	names := tenantNames(1500)
	tree, problems := settings.Parse(document(1, routeList(names...)))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	first := tree
	for round := range 60 {
		at, newName := random.IntN(len(names)), fmt.Sprintf("fresh-%d", round)
		switch round % 4 {
		case 0:
			names = slices.Insert(names, at, newName)
		case 1:
			names = slices.Delete(names, at, at+1)
		case 2:
			names[at] = newName
		case 3: // a route moves within the list
			moved := names[at]
			names = slices.Insert(slices.Delete(names, at, at+1), random.IntN(len(names)), moved)
		}
		text := document(round+2, routeList(names...))
		next, problems := tree.Revise(text)
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		if !bytes.Equal(next.Document(), text) {
			t.Fatal("the document restored from the chunks differs from the original")
		}
		parsed, _ := settings.Parse(text)
		if len(parsed.Chunks()) != len(next.Chunks()) {
			t.Fatalf("%d chunks of a revised tree, %d of a parsed one", len(next.Chunks()), len(parsed.Chunks()))
		}
		added := 0
		for index, chunk := range next.Chunks() {
			if chunk.Text != parsed.Chunks()[index].Text {
				t.Fatal("a chunk of the revised tree differs from that of the parsed tree")
			}
			if !slices.Contains(tree.Chunks(), chunk) {
				added++
			}
		}
		// The chunk with the rest of the document, which has the label, and, for a move, at
		// most two runs at each of two positions.
		if added > 5 {
			t.Errorf("round %d: %d chunks of %d are new", round, added, len(next.Chunks()))
		}
		for _, name := range []string{names[0], names[at%len(names)], names[len(names)-1]} {
			if got := next.Route(name+".example:80", "/x"); got == nil || got.Name != name {
				t.Errorf("round %d: the route %s is not found", round, name)
			}
		}
		if gone := fmt.Sprintf("fresh-%d.example", round); round%4 == 1 && next.Route(gone, "/") != nil {
			t.Error("a route was found that was never in the document")
		}
		tree = next
	}
	if restored, _ := tree.Revise(document(1, routeList(tenantNames(1500)...))); !bytes.Equal(restored.Document(), first.Document()) {
		t.Error("revising back to the first document does not restore it")
	}
	for _, chunk := range first.Chunks()[1:] {
		if count := strings.Count(chunk.Text, `"name"`); count > 128 || count == 0 {
			t.Errorf("a run of %d routes", count)
		}
	}
}

// tenantWithKeys returns the JSON text of a tenant with one key that stays and one that
// depends on the round.
func tenantWithKeys(name string, round int) string {
	return fmt.Sprintf(`{"name":%q,"keys":["key-of-%s","drawn-%s-%d"],"per_s":10}`, name, name, name, round)
}

// TestTenantChunks checks that the list of tenants is split like that of the routes, wherever
// it is in the document: the document is restored from its chunks byte for byte, and a tenant
// that is changed, added or removed makes little more than its own run new.
func TestTenantChunks(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	names, keyRounds := tenantNames(1500), map[string]int{}
	routes := string(document(1, routeList(tenantNames(300)...)))
	text := func(label int) []byte {
		var list []string
		for _, name := range names {
			list = append(list, tenantWithKeys(name, keyRounds[name]))
		}
		tenants := fmt.Sprintf(`"tenants":[%s],`, strings.Join(list, ","))
		nextKey := []string{`"routes"`, `"regions"`}[label/30%2] // the list changes its position once
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
			keyRounds[changed] = round
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
				t.Fatalf("%s: the document restored from the chunks differs from the original", name)
			}
			if got := tree.TenantByKey(fmt.Sprintf("drawn-%s-%d", changed, keyRounds[changed])); (got != nil) != (round%4 != 1) || got != nil && got.Name != changed {
				t.Fatalf("%s, round %d: the key of %s belongs to %+v", name, round, changed, got)
			}
			if round%4 > 1 && (tree.TenantByKey(fmt.Sprintf("drawn-%s-0", changed)) != nil || tree.TenantByKey("key-of-"+changed) == nil) {
				t.Fatalf("%s, round %d: an old key of %s is still valid, or its unchanged key is not", name, round, changed)
			}
		}
		added, size := 0, 0
		for _, chunk := range next.Chunks() {
			if !slices.Contains(tree.Chunks(), chunk) {
				added, size = added+1, size+len(chunk.Text)
			}
		}
		// The chunk with the rest of the document, which has the label, and at most two runs.
		if added > 3 || size > 3*128*len(tenantWithKeys(changed, 10)) {
			t.Errorf("round %d: %d chunks of %d are new, with %d bytes of %d", round, added, len(next.Chunks()), size, len(document))
		}
		tree = next
	}
	// The problems must not depend on the tree that the document is revised from.
	bad := bytes.Replace(text(60), []byte(`"drawn-`+names[700]), []byte(`"key-of-`+names[3]+`","x`), 1)
	_, want := settings.Parse(bad)
	if _, problems := tree.Revise(bad); len(problems) != 1 || problems[0].Path != "$.tenants.700.keys.1" || problems.Error() != want.Error() {
		t.Errorf("a key of two tenants: parsed: %v, revised: %v", want, problems)
	}
	if assembled, problems := tree.Revise(text(60)); len(problems) > 0 || !bytes.Equal(assembled.Document(), text(60)) {
		t.Error(problems)
	}
}

// BenchmarkReviseTenants measures the cost of one changed tenant for a daemon that parses
// only the chunks that it does not have yet; the document has 21,000 tenants with two keys
// each, and 100 routes.
func BenchmarkReviseTenants(b *testing.B) {
	var list []string
	for _, name := range tenantNames(21000) {
		list = append(list, tenantWithKeys(name, 0))
	}
	text := func(round int) []byte {
		list[round%len(list)] = tenantWithKeys(fmt.Sprintf("tenant-%d", round%len(list)), round)
		return bytes.Replace(document(round+1, routeList(tenantNames(100)...)), []byte(`"routes"`), []byte(`"tenants":[`+strings.Join(list, ",")+`],"routes"`), 1)
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

// TestRevisedProblems checks that the problems of a document don't depend on the tree that
// it is revised from, and that they leave nothing behind: reused chunks must neither hide a
// problem nor carry one over into the next document.
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
		_, parsedProblems := settings.Parse(text)
		for range 2 {
			if revised, problems := tree.Revise(text); revised != nil || len(problems) == 0 || problems.Error() != parsedProblems.Error() {
				t.Errorf("%s: parsed: %v, revised: %v", name, parsedProblems, problems)
			}
		}
		if restored, problems := tree.Revise(document(1, good)); len(problems) > 0 || !bytes.Equal(restored.Document(), tree.Document()) {
			t.Errorf("after %s: the valid document has problems or differs: %v", name, problems)
		}
	}
	for _, invalid := range []string{`{"routes":[],"routes":[]}`, `{"routes":7}`, `{"routes":[ ]}`, `[]`, `7`, ``, `{"whole":{},"routes":null}`} {
		if tree, problems := tree.Revise([]byte(invalid)); tree != nil || len(problems) == 0 {
			t.Errorf("want problems for %q, got none", invalid)
		}
	}
}

// TestAssemble checks that chunks that don't form a valid document are rejected.
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
	if assembled, problems := settings.Assemble(texts(func(list []string) []string { return list })); len(problems) > 0 || !json.Valid(assembled.Document()) || !bytes.Equal(assembled.Document(), tree.Document()) {
		t.Error(problems)
	}
	for name, edit := range map[string]func(list []string) []string{
		"none":        func([]string) []string { return nil },
		"no JSON":     func(list []string) []string { list[1] = list[1][:20]; return list },
		"a run twice": func(list []string) []string { return append(list, list[1]) },
	} {
		if tree, problems := settings.Assemble(texts(edit)); tree != nil || len(problems) == 0 {
			t.Errorf("%s: want problems and no tree", name)
		}
	}
}
