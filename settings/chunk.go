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

// Chunk is a part of a document: a run of its routes, or all but them.
//
// Invariant: a chunk in a tree is never changed, so that trees share it, with its routes.
type Chunk struct {
	Digest Digest
	Text   string
	routes []*Route
	isRead bool // routes are those of the text, which has no problems of its own
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

// A run of routes ends behind one whose name says so, which one in usualRun does, or
// after longestRun. As names say it, a route more or less changes one run, or two.
const (
	usualRun   = 32
	longestRun = 4 * usualRun
)

func endsRun(route gjson.Result) bool {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(route.Get("name").Str))
	return sum.Sum32()%usualRun == 0
}

// routesOf gives the one list of routes that a document has.
func routesOf(document gjson.Result) (list gjson.Result, isOne bool) {
	count := 0
	document.ForEach(func(key, value gjson.Result) bool {
		if key.Str == "routes" {
			list = value
			count++
		}
		return true
	})
	return list, count == 1 && list.IsArray() && list.Index > 0
}

// cut gives the chunks of a document which is JSON: the first is the document with no
// routes. Chunks that the tree has (it may be nil) are taken from it.
func (tree *Tree) cut(document []byte) []*Chunk {
	root := gjson.ParseBytes(document)
	list, isOne := routesOf(root)
	if !root.IsObject() || !isOne {
		return []*Chunk{NewChunk(root.Raw)}
	}
	known := map[Digest]*Chunk{}
	if tree != nil {
		for _, chunk := range tree.chunks {
			known[chunk.Digest] = chunk
		}
	}
	var chunks []*Chunk
	take := func(text []byte) {
		chunk := known[digestOf(text)]
		if chunk == nil || chunk.Text != string(text) {
			chunk = NewChunk(string(text))
		}
		chunks = append(chunks, chunk)
	}
	take(slices.Concat([]byte(root.Raw[:list.Index-root.Index]), []byte("[]"), []byte(root.Raw[list.Index-root.Index+len(list.Raw):])))
	run, count := []byte{'['}, 0
	list.ForEach(func(_, route gjson.Result) bool {
		if count > 0 {
			run = append(run, ',')
		}
		run = append(run, route.Raw...)
		if count++; count == longestRun || endsRun(route) {
			take(append(run, ']'))
			run, count = run[:1], 0
		}
		return true
	})
	if count > 0 {
		take(append(run, ']'))
	}
	return chunks
}

// read reads a run's routes; first is the place of the first one in the document.
func (chunk *Chunk) read(first int, problems *Problems) {
	if chunk.isRead {
		return
	}
	var own Problems
	chunk.routes = nil
	gjson.Parse(chunk.Text).ForEach(func(_, value gjson.Result) bool {
		chunk.routes = append(chunk.routes, readRoute(value, &spot{nil, "routes", first + len(chunk.routes)}, &own))
		return true
	})
	chunk.isRead = len(own) == 0
	*problems = append(*problems, own...)
}

// Chunks are the document's, in order; they are not to be changed.
func (tree *Tree) Chunks() []*Chunk { return tree.chunks }

// Document is the document that the tree was made from, without white space between
// routes.
func (tree *Tree) Document() []byte {
	rest := gjson.Parse(tree.chunks[0].Text)
	list, isOne := routesOf(rest)
	if !isOne {
		return []byte(rest.Raw)
	}
	var out strings.Builder
	out.WriteString(rest.Raw[:list.Index-rest.Index+1])
	for index, chunk := range tree.chunks[1:] {
		if index > 0 {
			out.WriteByte(',')
		}
		out.WriteString(chunk.Text[1 : len(chunk.Text)-1])
	}
	out.WriteString(rest.Raw[list.Index-rest.Index+1:])
	return []byte(out.String())
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
