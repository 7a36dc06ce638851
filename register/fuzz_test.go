package register

import (
	"bytes"
	"testing"
)

// FuzzRecord: a record of the log is read as it was written, or an error says that it can't
// be read; nothing panics.
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
		var again record
		if err := again.unpack(decoded.pack()); err != nil {
			t.Fatal("what was packed can't be read:", err)
		}
		if again.Key != decoded.Key || again.Cell.Accepted != decoded.Cell.Accepted || !bytes.Equal(again.Cell.Value.Data, decoded.Cell.Value.Data) {
			t.Errorf("%+v became %+v", decoded, again)
		}
	})
}

// FuzzKeys: names of registers as they travel are read, or an error says that they can't be.
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
		var again Keys
		if err := again.GobDecode(packed); err != nil || len(again) != len(keys) {
			t.Fatal(len(again), len(keys), err)
		}
		for at := range keys {
			if keys[at] != again[at] {
				t.Errorf("%q became %q", keys[at], again[at])
			}
		}
	})
}
