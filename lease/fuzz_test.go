package lease

import (
	"bytes"
	"testing"
)

// FuzzUnpack checks that arbitrary bytes either decode to a configuration that survives
// another round trip, or give an error, without a panic.
func FuzzUnpack(f *testing.F) {
	for _, config := range []Config{{}, {Document: []byte(`{"label":3}`), Origin: []byte(`{}`), Evacuated: []string{"east-1"}, Taken: []OrderMark{"3/x"}, Archived: 7}} {
		packed, err := config.Pack()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(packed)
		f.Add(packed[:len(packed)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		config, err := Unpack(data)
		if err != nil {
			return
		}
		_ = config.Label()
		for _, mark := range config.Taken {
			_ = mark.Label()
		}
		packed, err := config.Pack()
		if err != nil {
			t.Fatal(err)
		}
		if again, err := Unpack(packed); err != nil || !bytes.Equal(again.Document, config.Document) || len(again.Taken) != len(config.Taken) {
			t.Errorf("round trip of %+v returned %+v, error: %v", config, again, err)
		}
	})
}
