package register

import (
	"encoding/binary"
	"errors"
)

// Keys are names of registers. On the wire each is told by how much of the one before it
// begins with, and by the rest, as most differ in their ends alone.
type Keys []string

// GobEncode gives them as they travel.
func (keys Keys) GobEncode() ([]byte, error) {
	var out []byte
	before := ""
	for _, key := range keys {
		same := 0
		for same < min(len(key), len(before)) && key[same] == before[same] {
			same++
		}
		out = binary.AppendUvarint(out, uint64(same))
		out = binary.AppendUvarint(out, uint64(len(key)-same))
		out = append(out, key[same:]...)
		before = key
	}
	return out, nil
}

var errKeys = errors.New("register: keys that came can't be read")

// GobDecode reads them.
func (keys *Keys) GobDecode(data []byte) error {
	*keys = nil
	before := ""
	for len(data) > 0 {
		same, read := binary.Uvarint(data)
		if read <= 0 || same > uint64(len(before)) {
			return errKeys
		}
		data = data[read:]
		rest, read := binary.Uvarint(data)
		if read <= 0 || rest > uint64(len(data)-read) {
			return errKeys
		}
		before = before[:same] + string(data[read:read+int(rest)])
		*keys, data = append(*keys, before), data[read+int(rest):]
	}
	return nil
}
