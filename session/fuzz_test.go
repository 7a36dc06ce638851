package session

import "testing"

// FuzzMarks checks that decoding arbitrary bytes either fails with an error or gives marks that
// can be encoded and decoded again.
func FuzzMarks(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0, 1, 'a', 3})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		var marks Marks
		if marks.GobDecode(data) != nil {
			return
		}
		encoded, err := marks.GobEncode()
		if err != nil {
			t.Fatal(err)
		}
		var decoded Marks
		if err := decoded.GobDecode(encoded); err != nil || len(decoded) != len(marks) {
			t.Fatal(len(decoded), len(marks), err)
		}
	})
}
