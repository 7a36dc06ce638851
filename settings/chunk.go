package settings

import (
	"crypto/sha256"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
)

// Digest identifies a chunk: the first 8 bytes of the SHA-256 of its text.
type Digest [8]byte

// Chunk is a part of a document: a run of consecutive routes, a run of consecutive
// tenants, or the rest of the document without both lists.
//
// Invariant: a chunk in a tree is immutable, so that several trees can share it together
// with the routes or tenants parsed from it.
type Chunk struct {
	Digest   Digest
	Text     string
	routes   []*Route
	tenants  []*Tenant
	isParsed bool // routes or tenants hold the parsed text, which is valid on its own
}

// NewChunk returns an unparsed chunk with the given text.
func NewChunk(text string) *Chunk {
	return &Chunk{Digest: digestOf([]byte(text)), Text: text}
}

func digestOf(text []byte) (out Digest) {
	sum := sha256.Sum256(text)
	copy(out[:], sum[:])
	return out
}

// A list is split by content: a run ends after an element whose name has a hash that is
// divisible by meanRunLength, so after one element in meanRunLength on average, and after
// maxRunLength elements at the latest. As the boundaries depend on names and not on
// positions, adding or removing one element changes one run, or two.
const (
	meanRunLength = 32
	maxRunLength  = 4 * meanRunLength
)

func endsRun(element gjson.Result) bool {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(element.Get("name").Str))
	return sum.Sum32()%meanRunLength == 0
}

// chunkedLists are the lists that are split into runs, in the order of their chunks, each
// with the text that encloses a run of it in its chunk.
var chunkedLists = []struct{ key, open, end string }{{"routes", "[", "]"}, {"tenants", `{"tenants":[`, "]}"}}

// list returns the key of the list that the chunk is a run of, and the run's text without
// the enclosing text. Both are empty for the chunk with the rest of the document.
func (chunk *Chunk) list() (key, run string) {
	for _, list := range chunkedLists {
		if run, found := strings.CutPrefix(chunk.Text, list.open); found {
			return list.key, strings.TrimSuffix(run, list.end)
		}
	}
	return "", ""
}

// findList returns the list with the key; found is false unless the document has the key
// exactly once, with a list as its value.
func findList(document gjson.Result, name string) (list gjson.Result, found bool) {
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

// replaceLists returns the document with each of the chunked lists replaced by the text
// that replacement returns for it.
func replaceLists(root gjson.Result, replacement func(key string, list gjson.Result) string) string {
	type edit struct {
		from, to int
		text     string
	}
	var edits []edit
	if root.IsObject() {
		for _, part := range chunkedLists {
			if list, found := findList(root, part.key); found {
				edits = append(edits, edit{list.Index - root.Index, list.Index - root.Index + len(list.Raw), replacement(part.key, list)})
			}
		}
	}
	slices.SortFunc(edits, func(a, b edit) int { return a.from - b.from })
	var out strings.Builder
	at := 0
	for _, part := range edits {
		out.WriteString(root.Raw[at:part.from])
		out.WriteString(part.text)
		at = part.to
	}
	out.WriteString(root.Raw[at:])
	return out.String()
}

// split splits a document, which must be valid JSON, into chunks: the first is the document
// with empty lists of routes and tenants. Chunks that the tree already has are reused; the
// tree may be nil.
func (tree *Tree) split(document []byte) []*Chunk {
	root := gjson.ParseBytes(document)
	known := map[Digest]*Chunk{}
	if tree != nil {
		for _, chunk := range tree.chunks {
			known[chunk.Digest] = chunk
		}
	}
	chunks := make([]*Chunk, 1)
	reuse := func(text []byte) *Chunk {
		chunk := known[digestOf(text)]
		if chunk == nil || chunk.Text != string(text) {
			chunk = NewChunk(string(text))
		}
		return chunk
	}
	rest := replaceLists(root, func(string, gjson.Result) string { return "[]" })
	chunks[0] = reuse([]byte(rest))
	if !root.IsObject() {
		return chunks
	}
	for _, kind := range chunkedLists {
		list, found := findList(root, kind.key)
		if !found {
			continue
		}
		run, count := []byte(kind.open), 0
		list.ForEach(func(_, value gjson.Result) bool {
			if count > 0 {
				run = append(run, ',')
			}
			run = append(run, value.Raw...)
			if count++; count == maxRunLength || endsRun(value) {
				chunks = append(chunks, reuse(append(run, kind.end...)))
				run, count = run[:len(kind.open)], 0
			}
			return true
		})
		if count > 0 {
			chunks = append(chunks, reuse(append(run, kind.end...)))
		}
	}
	return chunks
}

// parse parses a run, unless that was done before; first is the index of the run's first
// element in the document's list.
func (chunk *Chunk) parse(first int, problems *Problems) {
	if chunk.isParsed {
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
			chunk.tenants = append(chunk.tenants, readTenant(value, &location{nil, "tenants", first + len(chunk.tenants)}, &own))
		} else {
			chunk.routes = append(chunk.routes, readRoute(value, &location{nil, "routes", first + len(chunk.routes)}, &own))
		}
		return true
	})
	chunk.isParsed = len(own) == 0
	*problems = append(*problems, own...)
}

// chunksOf returns the chunks of the list with the key, in order.
func (tree *Tree) chunksOf(key string) (runs []*Chunk) {
	for _, chunk := range tree.chunks[1:] {
		if list, _ := chunk.list(); list == key {
			runs = append(runs, chunk)
		}
	}
	return runs
}

// Chunks returns the chunks of the document in order. Callers must not change them.
func (tree *Tree) Chunks() []*Chunk { return tree.chunks }

// Document returns the document that the tree was parsed from, without white space between
// routes and between tenants.
func (tree *Tree) Document() []byte {
	return []byte(replaceLists(gjson.Parse(tree.chunks[0].Text), func(key string, _ gjson.Result) string {
		var out strings.Builder
		out.WriteByte('[')
		for _, chunk := range tree.chunksOf(key) {
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

// Revise parses a new document and reuses the chunks that the tree has in common with it.
// The tree may be nil.
func (tree *Tree) Revise(document []byte) (*Tree, Problems) {
	if !gjson.ValidBytes(document) {
		return nil, Problems{{Path: "$", Reason: "is not JSON"}}
	}
	return parse(tree.split(document))
}

// Assemble parses a document that is given in chunks. Chunks taken from an existing tree
// are not parsed again.
func Assemble(chunks []*Chunk) (*Tree, Problems) {
	for _, chunk := range chunks {
		if !chunk.isParsed && !gjson.Valid(chunk.Text) {
			return nil, Problems{{Path: "$", Reason: "is not JSON"}}
		}
	}
	if len(chunks) == 0 {
		return nil, Problems{{Path: "$", Reason: "is not JSON"}}
	}
	return parse(chunks)
}

// Parse parses and checks a whole document. The tree is nil when there are problems.
func Parse(document []byte) (*Tree, Problems) { return (*Tree)(nil).Revise(document) }
