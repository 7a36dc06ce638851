package permit

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// Config is what the configuration's register holds. Its serial is the
// register's.
//
// Invariant: Document has no origin of its own; what it was made from is Origin, which
// never goes to data daemons.
type Config struct {
	Document  json.RawMessage `json:"document"`
	Origin    json.RawMessage `json:"origin,omitempty"`
	Evacuated []string        `json:"evacuated,omitempty"`
	// Taken are the last documents that were taken under a label, newest last. Archived is
	// how many pages of those before them are in the history.
	Taken    []Mark `json:"taken,omitempty"`
	Archived uint64 `json:"archived,omitempty"`
}

// Mark is a document that was taken: the operator's label, a slash and a digest of what
// was sent. It tells a repeated order from a new one, and is short, as every permit's
// granting reads the configuration.
type Mark string

// Label is the label of the marked document.
func (mark Mark) Label() uint64 {
	label, _, _ := strings.Cut(string(mark), "/")
	number, _ := strconv.ParseUint(label, 10, 64) // made by whoever marks, of a number
	return number
}

// Label is the operator's number of the document, zero when there is none.
func (config Config) Label() uint64 { return gjson.GetBytes(config.Document, "label").Uint() }
