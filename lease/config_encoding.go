package lease

import (
	"bytes"
	"encoding/gob"
	"encoding/json"

	"github.com/tidwall/gjson"

	"swifttiller/register"
	"swifttiller/wire"
)

// Pack encodes the configuration for its register.
func (config Config) Pack() ([]byte, error) {
	// Gob, as decoding JSON would scan the document several times only to find its end.
	var text bytes.Buffer
	if err := gob.NewEncoder(&text).Encode(config); err != nil {
		return nil, err
	}
	return wire.Compress(text.Bytes(), nil), nil
}

// Unpack decodes a packed configuration.
func Unpack(packed []byte) (config Config, err error) {
	text, err := wire.Decompress(packed, nil)
	if err != nil {
		return config, err
	}
	return config, gob.NewDecoder(bytes.NewReader(text)).Decode(&config)
}

// WithOrigin returns the document with its origin inserted again, as it was submitted.
func (config Config) WithOrigin() json.RawMessage {
	if len(config.Origin) == 0 || len(config.Document) == 0 {
		return config.Document
	}
	var out bytes.Buffer
	out.Grow(len(config.Document) + len(config.Origin) + 16)
	out.Write(bytes.TrimRight(config.Document, " \t\r\n"))
	out.Truncate(out.Len() - 1) // drops the closing brace
	if bytes.ContainsRune(config.Document, ':') {
		out.WriteByte(',')
	}
	out.WriteString(`"origin":`)
	out.Write(config.Origin)
	out.WriteByte('}')
	return out.Bytes()
}

// SplitOrigin splits the origin, from which a document was generated, off the document, and
// removes white space from both. Invalid JSON is returned unchanged; the parser reports it.
func SplitOrigin(document []byte) (rest, origin json.RawMessage) {
	var out bytes.Buffer
	found := gjson.GetBytes(document, "origin")
	if !gjson.ValidBytes(document) {
		return document, nil
	}
	if !found.Exists() {
		return compact(document), nil
	}
	out.Grow(len(document) - len(found.Raw))
	out.WriteByte('{')
	gjson.ParseBytes(document).ForEach(func(key, value gjson.Result) bool {
		if key.Str == "origin" {
			return true
		}
		if out.Len() > 1 {
			out.WriteByte(',')
		}
		out.WriteString(key.Raw)
		out.WriteByte(':')
		out.WriteString(value.Raw)
		return true
	})
	out.WriteByte('}')
	return compact(out.Bytes()), compact([]byte(found.Raw))
}

// compact removes white space from JSON. Invalid JSON is returned unchanged.
func compact(text []byte) json.RawMessage {
	var out bytes.Buffer
	if json.Compact(&out, text) != nil {
		return text
	}
	return out.Bytes()
}

// openConfig decodes the configuration that a register holds. It returns an empty one if
// the register was never written.
func openConfig(value register.Value) (config Config, err error) {
	if value.Serial == 0 {
		return config, nil
	}
	return Unpack(value.Data)
}
