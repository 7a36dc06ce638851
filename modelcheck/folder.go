package modelcheck

import (
	"io/fs"

	"swifttiller/disk"
)

// folder is a disk in memory. A loss of power takes what was written since the last sync of
// each file.
type folder struct{ files map[string]*file }

type file struct{ content, synced []byte }

func newFolder() *folder { return &folder{files: map[string]*file{}} }

// Read gives a whole file.
func (folder *folder) Read(name string) ([]byte, error) {
	if one := folder.files[name]; one != nil {
		return append([]byte{}, one.content...), nil
	}
	return nil, &fs.PathError{Op: "read", Path: name, Err: fs.ErrNotExist}
}

// Open opens a file for appending, or empties it first.
func (folder *folder) Open(name string, emptied bool) (disk.File, error) {
	if folder.files[name] == nil {
		folder.files[name] = &file{}
	}
	if emptied {
		folder.files[name].content = nil
	}
	return folder.files[name], nil
}

// Sync makes names last; here they always do.
func (folder *folder) Sync() error { return nil }

// losePower forgets what was not synced.
func (folder *folder) losePower() {
	for _, one := range folder.files {
		one.content = append([]byte{}, one.synced...)
	}
}

// Write appends.
func (file *file) Write(data []byte) (int, error) {
	file.content = append(file.content, data...)
	return len(data), nil
}

// Sync makes what was written last.
func (file *file) Sync() error {
	file.synced = append([]byte{}, file.content...)
	return nil
}

// Truncate cuts the file to the size.
func (file *file) Truncate(size int64) error {
	file.content = file.content[:size]
	return nil
}

// Close ends the use of the file.
func (file *file) Close() error { return nil }
