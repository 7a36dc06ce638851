package lease

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// Config is the content of the configuration's register. Its version is that of the
// register.
//
// Invariant: Document contains no origin. The source that it was generated from is in
// Origin, which is never sent to data daemons.
type Config struct {
	Document  json.RawMessage `json:"document"`
	Origin    json.RawMessage `json:"origin,omitempty"`
	Evacuated []string        `json:"evacuated,omitempty"`
	// Taken has the marks of the last documents that were accepted with a label, newest
	// last. Archived is how many history pages hold the marks before them.
	Taken    []OrderMark `json:"taken,omitempty"`
	Archived uint64      `json:"archived,omitempty"`
}

// OrderMark identifies an accepted document: the operator's label, a slash and a digest of what
// was sent. It distinguishes a repeated order from a new one. It is short, as every lease
// grant reads the configuration.
type OrderMark string

// Label returns the label of the marked document.
func (mark OrderMark) Label() uint64 {
	label, _, _ := strings.Cut(string(mark), "/")
	number, _ := strconv.ParseUint(label, 10, 64) // marks are always made with a number
	return number
}

// Label returns the document's label, a number set by the operator, or zero if it has none.
func (config Config) Label() uint64 { return gjson.GetBytes(config.Document, "label").Uint() }
