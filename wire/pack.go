package wire

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"
	"sync"
)

// packers are writers without a base that are free; each has over half a megabyte.
var packers = sync.Pool{New: func() any {
	writer, _ := flate.NewWriter(nil, flate.BestSpeed) // the level is a known one
	return writer
}}

// mostUnpacked bounds what is unpacked, in bytes: the largest document that is read of
// an operator, twice, and some more.
const mostUnpacked = 80 << 20

// Pack makes text small. What the reader has already, base, may be nil; the more of the
// text stands in the last 32 KiB of it, the smaller the text gets.
func Pack(text, base []byte) []byte {
	var out bytes.Buffer
	var writer *flate.Writer
	if base == nil {
		writer = packers.Get().(*flate.Writer) // the fastest, which goes by no base
		writer.Reset(&out)
		defer packers.Put(writer)
	} else {
		writer, _ = flate.NewWriterDict(&out, flate.DefaultCompression, base) // the level is a known one
	}
	_, _ = writer.Write(text) // a buffer takes all
	_ = writer.Close()
	return out.Bytes()
}

// Unpack gives the text back, from the same base.
func Unpack(packed, base []byte) ([]byte, error) {
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

// PackValue makes a value small that gob can write.
func PackValue(value any) []byte {
	var text bytes.Buffer
	if err := gob.NewEncoder(&text).Encode(value); err != nil {
		panic(err) // only our own types come here
	}
	return Pack(text.Bytes(), nil)
}

// UnpackValue gives the value back.
func UnpackValue(packed []byte, value any) error {
	text, err := Unpack(packed, nil)
	if err != nil {
		return err
	}
	return gob.NewDecoder(bytes.NewReader(text)).Decode(value)
}
