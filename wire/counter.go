package wire

import (
	"bufio"
	"cmp"
	"encoding/gob"
	"io"
	"net/rpc"
	"slices"
	"sync"
)

// CallStats has the caller's counts of the calls of one method to one address.
type CallStats struct {
	Address string `json:"address"`
	Method  string `json:"method"`
	// Requests counts the requests sent, Answers the responses received.
	Requests  uint64 `json:"calls"`
	Responses uint64 `json:"answers"`
	// SentBytes and Received count bytes on the connection, including the headers of net/rpc
	// but not those of TCP and IP.
	SentBytes     uint64 `json:"sent"`
	ReceivedBytes uint64 `json:"received"`
}

// Counter counts calls and their bytes on the caller's side, so each call is counted
// once. The zero value is ready to use; the snapshot of a nil Counter is empty.
//
// Invariant: counts never decrease.
type Counter struct {
	guard sync.Mutex
	rows  map[callKey]*CallStats
}

type callKey struct{ address, method string }

// Snapshot returns a copy of all rows, sorted by address and method.
func (counter *Counter) Snapshot() []CallStats {
	if counter == nil {
		return nil
	}
	counter.guard.Lock()
	defer counter.guard.Unlock()
	out := make([]CallStats, 0, len(counter.rows))
	for _, row := range counter.rows {
		out = append(out, *row)
	}
	slices.SortFunc(out, func(a, b CallStats) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Method, b.Method))
	})
	return out
}

func (counter *Counter) add(address, method string, update func(row *CallStats)) {
	counter.guard.Lock()
	defer counter.guard.Unlock()
	if counter.rows == nil {
		counter.rows = map[callKey]*CallStats{}
	}
	key := callKey{address, method}
	if counter.rows[key] == nil {
		counter.rows[key] = &CallStats{Address: address, Method: method}
	}
	update(counter.rows[key])
}

// countingCodec is a client codec in the format of net/rpc's default gob codec that also
// counts calls and bytes.
//
// Invariant: sent is accessed only by the writing goroutine and received only by the
// reading one; net/rpc writes one request at a time and reads in a single goroutine.
type countingCodec struct {
	conn          io.ReadWriteCloser
	counter       *Counter
	address       string
	out           *bufio.Writer
	encoder       *gob.Encoder
	decoder       *gob.Decoder
	sent          uint64
	received      *countingReader
	responseStart uint64 // value of received.count at the start of the current response
	method        string // method of the current response
}

// countingReader counts the bytes that are read from a buffer. As it is an io.ByteReader,
// gob reads no further than the end of the message that it decodes.
type countingReader struct {
	*bufio.Reader
	count uint64
}

func (reader *countingReader) Read(buffer []byte) (int, error) {
	count, err := reader.Reader.Read(buffer)
	reader.count += uint64(count)
	return count, err
}

func (reader *countingReader) ReadByte() (byte, error) {
	value, err := reader.Reader.ReadByte()
	if err == nil {
		reader.count++
	}
	return value, err
}

func newCountingCodec(conn io.ReadWriteCloser, counter *Counter, address string) rpc.ClientCodec {
	codec := &countingCodec{conn: conn, counter: counter, address: address, received: &countingReader{Reader: bufio.NewReader(conn)}}
	codec.out = bufio.NewWriter(codec)
	codec.encoder, codec.decoder = gob.NewEncoder(codec.out), gob.NewDecoder(codec.received)
	return codec
}

// Write writes to the connection and counts the bytes written.
func (codec *countingCodec) Write(data []byte) (int, error) {
	count, err := codec.conn.Write(data)
	codec.sent += uint64(count)
	return count, err
}

// WriteRequest sends a request and counts it.
func (codec *countingCodec) WriteRequest(request *rpc.Request, body any) error {
	before := codec.sent
	err := codec.encoder.Encode(request)
	if err == nil {
		err = codec.encoder.Encode(body)
	}
	if err == nil {
		err = codec.out.Flush()
	}
	sent := codec.sent - before
	codec.counter.add(codec.address, request.ServiceMethod, func(row *CallStats) { row.Requests, row.SentBytes = row.Requests+1, row.SentBytes+sent })
	return err
}

// ReadResponseHeader reads the header of a response.
func (codec *countingCodec) ReadResponseHeader(response *rpc.Response) error {
	codec.responseStart = codec.received.count
	err := codec.decoder.Decode(response)
	codec.method = response.ServiceMethod
	return err
}

// ReadResponseBody reads the body of the response and counts the response.
func (codec *countingCodec) ReadResponseBody(body any) error {
	err := codec.decoder.Decode(body)
	received := codec.received.count - codec.responseStart
	codec.counter.add(codec.address, codec.method, func(row *CallStats) { row.Responses, row.ReceivedBytes = row.Responses+1, row.ReceivedBytes+received })
	return err
}

// Close closes the connection.
func (codec *countingCodec) Close() error { return codec.conn.Close() }
