package session

import "testing"

// FuzzMarks: marks of sessions as they travel are read, or an error says that they can't be.
func FuzzMarks(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0, 1, 'a', 3})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		var marks Marks
		if marks.GobDecode(data) != nil {
			return
		}
		packed, err := marks.GobEncode()
		if err != nil {
			t.Fatal(err)
		}
		var again Marks
		if err := again.GobDecode(packed); err != nil || len(again) != len(marks) {
			t.Fatal(len(again), len(marks), err)
		}
	})
}
