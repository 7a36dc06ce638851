package settings

import (
	"crypto/sha256"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
)

// Digest tells chunks apart: the beginning of their text's SHA-256.
type Digest [8]byte

// Chunk is a part of a document: a run of its routes, a run of its tenants, or all but
// these.
//
// Invariant: a chunk in a tree is never changed, so that trees share it, with what was
// read from it.
type Chunk struct {
	Digest  Digest
	Text    string
	routes  []*Route
	tenants []*Tenant
	isRead  bool // routes or tenants are those of the text, which has no problems of its own
}

// NewChunk makes a chunk of a text.
func NewChunk(text string) *Chunk {
	return &Chunk{Digest: digestOf([]byte(text)), Text: text}
}

func digestOf(text []byte) (out Digest) {
	sum := sha256.Sum256(text)
	copy(out[:], sum[:])
	return out
}

// A run ends behind a route or tenant whose name says so, which one in usualRun does, or
// after longestRun. As names say it, one more or less changes one run, or two.
const (
	usualRun   = 32
	longestRun = 4 * usualRun
)

func endsRun(one gjson.Result) bool {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(one.Get("name").Str))
	return sum.Sum32()%usualRun == 0
}

// cutLists are the lists that are cut into runs, in the order of their chunks, each with
// what stands around a run of it.
var cutLists = []struct{ key, open, end string }{{"routes", "[", "]"}, {"tenants", `{"tenants":[`, "]}"}}

// list is which list the chunk is a run of, and the run's text without what stands around.
func (chunk *Chunk) list() (key, run string) {
	for _, one := range cutLists {
		if run, isOne := strings.CutPrefix(chunk.Text, one.open); isOne {
			return one.key, strings.TrimSuffix(run, one.end)
		}
	}
	return "", ""
}

// listOf gives the one list of that key that a document has.
func listOf(document gjson.Result, name string) (list gjson.Result, isOne bool) {
	count := 0
	document.ForEach(func(key, value gjson.Result) bool {
		if key.Str == name {
			list = value
			count++
		}
		return true
	})
	return list, count == 1 && list.IsArray() && list.Index > 0
}

// put gives the document with something else in the place of its lists that are cut.
func put(root gjson.Result, fresh func(key string, list gjson.Result) string) string {
	type place struct {
		from, to int
		text     string
	}
	var places []place
	if root.IsObject() {
		for _, one := range cutLists {
			if list, isOne := listOf(root, one.key); isOne {
				places = append(places, place{list.Index - root.Index, list.Index - root.Index + len(list.Raw), fresh(one.key, list)})
			}
		}
	}
	slices.SortFunc(places, func(a, b place) int { return a.from - b.from })
	var out strings.Builder
	at := 0
	for _, one := range places {
		out.WriteString(root.Raw[at:one.from])
		out.WriteString(one.text)
		at = one.to
	}
	out.WriteString(root.Raw[at:])
	return out.String()
}

// cut gives the chunks of a document which is JSON: the first is the document with no
// routes and tenants. Chunks that the tree has (it may be nil) are taken from it.
func (tree *Tree) cut(document []byte) []*Chunk {
	root := gjson.ParseBytes(document)
	known := map[Digest]*Chunk{}
	if tree != nil {
		for _, chunk := range tree.chunks {
			known[chunk.Digest] = chunk
		}
	}
	chunks := make([]*Chunk, 1)
	take := func(text []byte) *Chunk {
		chunk := known[digestOf(text)]
		if chunk == nil || chunk.Text != string(text) {
			chunk = NewChunk(string(text))
		}
		return chunk
	}
	rest := put(root, func(string, gjson.Result) string { return "[]" })
	chunks[0] = take([]byte(rest))
	if !root.IsObject() {
		return chunks
	}
	for _, one := range cutLists {
		list, isOne := listOf(root, one.key)
		if !isOne {
			continue
		}
		run, count := []byte(one.open), 0
		list.ForEach(func(_, value gjson.Result) bool {
			if count > 0 {
				run = append(run, ',')
			}
			run = append(run, value.Raw...)
			if count++; count == longestRun || endsRun(value) {
				chunks = append(chunks, take(append(run, one.end...)))
				run, count = run[:len(one.open)], 0
			}
			return true
		})
		if count > 0 {
			chunks = append(chunks, take(append(run, one.end...)))
		}
	}
	return chunks
}

// read reads a run; first is the place in the document's list of the first one in it.
func (chunk *Chunk) read(first int, problems *Problems) {
	if chunk.isRead {
		return
	}
	var own Problems
	chunk.routes, chunk.tenants = nil, nil
	list := gjson.Parse(chunk.Text)
	key, _ := chunk.list()
	isTenants := key == "tenants"
	if isTenants {
		list = list.Get(key)
	}
	list.ForEach(func(_, value gjson.Result) bool {
		if isTenants {
			chunk.tenants = append(chunk.tenants, readTenant(value, &spot{nil, "tenants", first + len(chunk.tenants)}, &own))
		} else {
			chunk.routes = append(chunk.routes, readRoute(value, &spot{nil, "routes", first + len(chunk.routes)}, &own))
		}
		return true
	})
	chunk.isRead = len(own) == 0
	*problems = append(*problems, own...)
}

// runsOf are the chunks of a list, in order.
func (tree *Tree) runsOf(key string) (runs []*Chunk) {
	for _, chunk := range tree.chunks[1:] {
		if of, _ := chunk.list(); of == key {
			runs = append(runs, chunk)
		}
	}
	return runs
}

// Chunks are the document's, in order; they are not to be changed.
func (tree *Tree) Chunks() []*Chunk { return tree.chunks }

// Document is the document that the tree was made from, without white space between
// routes and between tenants.
func (tree *Tree) Document() []byte {
	return []byte(put(gjson.Parse(tree.chunks[0].Text), func(key string, _ gjson.Result) string {
		var out strings.Builder
		out.WriteByte('[')
		for _, chunk := range tree.runsOf(key) {
			if out.Len() > 1 {
				out.WriteByte(',')
			}
			_, run := chunk.list()
			out.WriteString(run)
		}
		out.WriteByte(']')
		return out.String()
	}))
}

// Revise parses a document and shares with the tree, which may be nil, the chunks that
// are in both.
func (tree *Tree) Revise(document []byte) (*Tree, Problems) {
	if !gjson.ValidBytes(document) {
		return nil, Problems{{Path: "$", Reason: "is not JSON"}}
	}
	return parse(tree.cut(document))
}

// Assemble parses a document that is given in chunks. Those that a tree has are not read
// again.
func Assemble(chunks []*Chunk) (*Tree, Problems) {
	for _, chunk := range chunks {
		if !chunk.isRead && !gjson.Valid(chunk.Text) {
			return nil, Problems{{Path: "$", Reason: "is not JSON"}}
		}
	}
	if len(chunks) == 0 {
		return nil, Problems{{Path: "$", Reason: "is not JSON"}}
	}
	return parse(chunks)
}

// Parse checks a whole document. The tree is nil when there are problems.
func Parse(document []byte) (*Tree, Problems) { return (*Tree)(nil).Revise(document) }
