package wire

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"
	"sync"
)

// writers pools idle flate writers without a dictionary; each takes over half a megabyte.
var writers = sync.Pool{New: func() any {
	writer, _ := flate.NewWriter(nil, flate.BestSpeed) // fails only for an invalid level
	return writer
}}

// maxUnpackedBytes limits the size of decompressed data: twice the largest document that
// is accepted from an operator, and some margin.
const maxUnpackedBytes = 80 << 20

// Compress compresses data with flate. The base, which may be nil, is a dictionary that the
// reader already has; the more of the data occurs in its last 32 KiB, the smaller the result.
func Compress(data, base []byte) []byte {
	var out bytes.Buffer
	var writer *flate.Writer
	if base == nil {
		writer = writers.Get().(*flate.Writer) // BestSpeed, which supports no dictionary
		writer.Reset(&out)
		defer writers.Put(writer)
	} else {
		writer, _ = flate.NewWriterDict(&out, flate.DefaultCompression, base) // fails only for an invalid level
	}
	_, _ = writer.Write(data) // writing to a bytes.Buffer does not fail
	_ = writer.Close()
	return out.Bytes()
}

// Decompress decompresses what Compress returned; the base must be the same.
func Decompress(packed, base []byte) ([]byte, error) {
	reader := flate.NewReaderDict(bytes.NewReader(packed), base)
	data, err := io.ReadAll(io.LimitReader(reader, maxUnpackedBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("decompress: %w", err)
	case len(data) > maxUnpackedBytes:
		return nil, fmt.Errorf("decompressed data exceeds %d bytes", maxUnpackedBytes)
	}
	return data, nil
}

// EncodeCompressed encodes a value with gob and compresses it. It panics if gob cannot encode the value.
func EncodeCompressed(value any) []byte {
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(value); err != nil {
		panic(err) // only types of this module are encoded
	}
	return Compress(encoded.Bytes(), nil)
}

// DecodeCompressed decodes what EncodeCompressed returned into value, which must be a pointer.
func DecodeCompressed(packed []byte, value any) error {
	encoded, err := Decompress(packed, nil)
	if err != nil {
		return err
	}
	return gob.NewDecoder(bytes.NewReader(encoded)).Decode(value)
}
