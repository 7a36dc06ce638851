package register

import (
	"encoding/binary"
	"errors"
)

// Keys are names of registers. Each key is encoded as the length of the prefix that it shares with
// the key before it, and the remaining suffix, since most keys differ only at their ends.
type Keys []string

// GobEncode encodes the keys with shared prefixes.
func (keys Keys) GobEncode() ([]byte, error) {
	var out []byte
	previous := ""
	for _, key := range keys {
		shared := 0
		for shared < min(len(key), len(previous)) && key[shared] == previous[shared] {
			shared++
		}
		out = binary.AppendUvarint(out, uint64(shared))
		out = binary.AppendUvarint(out, uint64(len(key)-shared))
		out = append(out, key[shared:]...)
		previous = key
	}
	return out, nil
}

var errMalformedKeys = errors.New("register: malformed encoding of keys")

// GobDecode decodes what GobEncode encoded.
func (keys *Keys) GobDecode(data []byte) error {
	*keys = nil
	previous := ""
	for len(data) > 0 {
		shared, read := binary.Uvarint(data)
		if read <= 0 || shared > uint64(len(previous)) {
			return errMalformedKeys
		}
		data = data[read:]
		rest, read := binary.Uvarint(data)
		if read <= 0 || rest > uint64(len(data)-read) {
			return errMalformedKeys
		}
		previous = previous[:shared] + string(data[read:read+int(rest)])
		*keys, data = append(*keys, previous), data[read+int(rest):]
	}
	return nil
}
