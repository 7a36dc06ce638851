package permit

import (
	"bytes"
	"testing"
)

// FuzzUnpack: a configuration of a register is read as it was packed, or an error says what
// is wrong; nothing panics.
func FuzzUnpack(f *testing.F) {
	for _, config := range []Config{{}, {Document: []byte(`{"label":3}`), Origin: []byte(`{}`), Evacuated: []string{"east-1"}, Taken: []Mark{"3/x"}, Archived: 7}} {
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
			t.Errorf("%+v became %+v: %v", config, again, err)
		}
	})
}
