package permit

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"io"

	"github.com/tidwall/gjson"

	"swifttiller/register"
)

// mostUnpacked bounds what is unpacked, in bytes: the largest document that is read of
// an operator, twice, and some more.
const mostUnpacked = 80 << 20

// pack makes text small. What the reader has already, base, may be nil; the more of the
// text stands in the last 32 KiB of it, the smaller the text gets.
func pack(text, base []byte) []byte {
	var out bytes.Buffer
	level := flate.DefaultCompression
	if base == nil {
		level = flate.BestSpeed // which goes by no base
	}
	writer, err := flate.NewWriterDict(&out, level, base)
	if err != nil {
		panic(err) // the level is a known one
	}
	_, _ = writer.Write(text) // a buffer takes all
	_ = writer.Close()
	return out.Bytes()
}

// unpack gives the text back, from the same base.
func unpack(packed, base []byte) ([]byte, error) {
	reader := flate.NewReaderDict(bytes.NewReader(packed), base)
	text, err := io.ReadAll(io.LimitReader(reader, mostUnpacked+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("what came packed can't be read: %w", err)
	case len(text) > mostUnpacked:
		return nil, fmt.Errorf("what came packed has more than %d bytes", mostUnpacked)
	}
	return text, nil
}

// Pack gives the configuration as the register holds it.
func (config Config) Pack() ([]byte, error) {
	// JSON would be read through several times only to find its end.
	var text bytes.Buffer
	if err := gob.NewEncoder(&text).Encode(config); err != nil {
		return nil, err
	}
	return pack(text.Bytes(), nil), nil
}

// Unpack reads a packed configuration. The error tells what is wrong with it.
func Unpack(packed []byte) (config Config, err error) {
	text, err := unpack(packed, nil)
	if err != nil {
		return config, err
	}
	return config, gob.NewDecoder(bytes.NewReader(text)).Decode(&config)
}

// Whole is the document with what it was made from, as it was taken.
func (config Config) Whole() json.RawMessage {
	if len(config.Origin) == 0 || len(config.Document) == 0 {
		return config.Document
	}
	var out bytes.Buffer
	out.Grow(len(config.Document) + len(config.Origin) + 16)
	out.Write(bytes.TrimRight(config.Document, " \t\r\n"))
	out.Truncate(out.Len() - 1) // the closing brace
	if bytes.ContainsRune(config.Document, ':') {
		out.WriteByte(',')
	}
	out.WriteString(`"origin":`)
	out.Write(config.Origin)
	out.WriteByte('}')
	return out.Bytes()
}

// Apart takes what a document was made from out of it, and white space. What is no JSON
// stays as it is, for the parser to say so.
func Apart(document []byte) (rest, origin json.RawMessage) {
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

// compact is JSON without white space; what is none stays as it is.
func compact(text []byte) json.RawMessage {
	var out bytes.Buffer
	if json.Compact(&out, text) != nil {
		return text
	}
	return out.Bytes()
}

// opened reads the configuration that a register holds; none where nothing was written.
func opened(value register.Value) (config Config, err error) {
	if value.Serial == 0 {
		return config, nil
	}
	return Unpack(value.Data)
}
