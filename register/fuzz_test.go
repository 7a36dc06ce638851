package register

import (
	"bytes"
	"testing"
)

// FuzzRecord checks that a log record decodes to what was encoded, or fails with an error, and
// that decoding never panics.
func FuzzRecord(f *testing.F) {
	ballot := Ballot{Epoch: 2, Round: 7, Proposer: "c1.4"}
	f.Add(record{Key: "config", Cell: Cell{Promised: ballot, Accepted: ballot, Value: Value{Serial: 3, Data: []byte("{}\n\x00"), Trail: []string{"c1.4/9"}}}}.pack())
	f.Add(record{Whole: &state{ID: "a", Core: Core{Epoch: 1, Members: []Member{{ID: "a"}}}, Cells: map[string]Cell{"k": {}}}}.pack())
	f.Add([]byte("{"))
	f.Add([]byte("\x03\xff\x81"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var decoded record
		if decoded.unpack(data) != nil {
			return
		}
		var roundTrip record
		if err := roundTrip.unpack(decoded.pack()); err != nil {
			t.Fatal("an encoded record can't be decoded:", err)
		}
		if roundTrip.Key != decoded.Key || roundTrip.Cell.Accepted != decoded.Cell.Accepted || !bytes.Equal(roundTrip.Cell.Value.Data, decoded.Cell.Value.Data) {
			t.Errorf("record %+v became %+v after a round trip", decoded, roundTrip)
		}
	})
}

// FuzzKeys checks that an encoded list of keys decodes and survives another round trip, or fails
// with an error.
func FuzzKeys(f *testing.F) {
	whole, _ := Keys{"holder/a", "holder/ab", "", "config"}.GobEncode()
	f.Add(whole)
	f.Add(whole[:len(whole)-2])
	f.Add([]byte{5, 1, 'x'})
	f.Add([]byte{0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		var keys Keys
		if keys.GobDecode(data) != nil {
			return
		}
		packed, err := keys.GobEncode()
		if err != nil {
			t.Fatal(err)
		}
		var roundTrip Keys
		if err := roundTrip.GobDecode(packed); err != nil || len(roundTrip) != len(keys) {
			t.Fatal(len(roundTrip), len(keys), err)
		}
		for at := range keys {
			if keys[at] != roundTrip[at] {
				t.Errorf("key %q became %q after a round trip", keys[at], roundTrip[at])
			}
		}
	})
}
