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

// Calls are the calls of one method to one address, as the caller counts them.
type Calls struct {
	Address string `json:"address"`
	Method  string `json:"method"`
	// Calls are those sent, Answers those that were answered.
	Calls   uint64 `json:"calls"`
	Answers uint64 `json:"answers"`
	// Sent and Received are bytes on the connection, headers of net/rpc included; those
	// of TCP and IP are not.
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
}

// Counter counts calls and their bytes where they are made. Each call is counted once,
// at its caller. The zero value is ready; a nil one counts nothing.
//
// Invariant: no count ever falls.
type Counter struct {
	guard sync.Mutex
	rows  map[place]*Calls
}

type place struct{ address, method string }

// Snapshot gives all rows, in the order of addresses and methods.
func (counter *Counter) Snapshot() []Calls {
	if counter == nil {
		return nil
	}
	counter.guard.Lock()
	defer counter.guard.Unlock()
	out := make([]Calls, 0, len(counter.rows))
	for _, row := range counter.rows {
		out = append(out, *row)
	}
	slices.SortFunc(out, func(a, b Calls) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Method, b.Method))
	})
	return out
}

func (counter *Counter) add(address, method string, change func(row *Calls)) {
	counter.guard.Lock()
	defer counter.guard.Unlock()
	if counter.rows == nil {
		counter.rows = map[place]*Calls{}
	}
	at := place{address, method}
	if counter.rows[at] == nil {
		counter.rows[at] = &Calls{Address: address, Method: method}
	}
	change(counter.rows[at])
}

// counted is net/rpc's own codec, with counts of what goes through it.
//
// Invariant: sent is the writer's alone and received the reader's alone; the library
// writes one request at a time and reads in one task.
type counted struct {
	line     io.ReadWriteCloser
	counter  *Counter
	address  string
	out      *bufio.Writer
	encoder  *gob.Encoder
	decoder  *gob.Decoder
	sent     uint64
	received *tally
	begun    uint64 // received when the answer at hand began
	method   string // of the answer at hand
}

// tally counts what is taken out of a buffer. As it reads single bytes, gob takes no
// more than it needs.
type tally struct {
	*bufio.Reader
	count uint64
}

func (tally *tally) Read(out []byte) (int, error) {
	count, err := tally.Reader.Read(out)
	tally.count += uint64(count)
	return count, err
}

func (tally *tally) ReadByte() (byte, error) {
	one, err := tally.Reader.ReadByte()
	if err == nil {
		tally.count++
	}
	return one, err
}

func newCounted(line io.ReadWriteCloser, counter *Counter, address string) rpc.ClientCodec {
	codec := &counted{line: line, counter: counter, address: address, received: &tally{Reader: bufio.NewReader(line)}}
	codec.out = bufio.NewWriter(codec)
	codec.encoder, codec.decoder = gob.NewEncoder(codec.out), gob.NewDecoder(codec.received)
	return codec
}

// Write counts what goes out.
func (codec *counted) Write(text []byte) (int, error) {
	count, err := codec.line.Write(text)
	codec.sent += uint64(count)
	return count, err
}

// WriteRequest sends a call.
func (codec *counted) WriteRequest(request *rpc.Request, body any) error {
	before := codec.sent
	err := codec.encoder.Encode(request)
	if err == nil {
		err = codec.encoder.Encode(body)
	}
	if err == nil {
		err = codec.out.Flush()
	}
	sent := codec.sent - before
	codec.counter.add(codec.address, request.ServiceMethod, func(row *Calls) { row.Calls, row.Sent = row.Calls+1, row.Sent+sent })
	return err
}

// ReadResponseHeader reads the beginning of an answer.
func (codec *counted) ReadResponseHeader(response *rpc.Response) error {
	codec.begun = codec.received.count
	err := codec.decoder.Decode(response)
	codec.method = response.ServiceMethod
	return err
}

// ReadResponseBody reads the rest of it.
func (codec *counted) ReadResponseBody(body any) error {
	err := codec.decoder.Decode(body)
	received := codec.received.count - codec.begun
	codec.counter.add(codec.address, codec.method, func(row *Calls) { row.Answers, row.Received = row.Answers+1, row.Received+received })
	return err
}

// Close closes the connection.
func (codec *counted) Close() error { return codec.line.Close() }
