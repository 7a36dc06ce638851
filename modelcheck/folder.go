package modelcheck

import (
	"io/fs"

	"swifttiller/disk"
)

// folder is a disk in memory. A power loss discards what was written to each file since its last
// sync.
type folder struct{ files map[string]*file }

type file struct{ content, synced []byte }

func newFolder() *folder { return &folder{files: map[string]*file{}} }

// Read returns the content of a file.
func (folder *folder) Read(name string) ([]byte, error) {
	if file := folder.files[name]; file != nil {
		return append([]byte{}, file.content...), nil
	}
	return nil, &fs.PathError{Op: "read", Path: name, Err: fs.ErrNotExist}
}

// Open opens a file for appending, creating it if needed; with truncate it empties the file first.
func (folder *folder) Open(name string, truncate bool) (disk.File, error) {
	if folder.files[name] == nil {
		folder.files[name] = &file{}
	}
	if truncate {
		folder.files[name].content = nil
	}
	return folder.files[name], nil
}

// Sync does nothing, as the names of files are always durable here.
func (folder *folder) Sync() error { return nil }

// losePower discards what was not synced.
func (folder *folder) losePower() {
	for _, file := range folder.files {
		file.content = append([]byte{}, file.synced...)
	}
}

// Write appends the data to the file.
func (file *file) Write(data []byte) (int, error) {
	file.content = append(file.content, data...)
	return len(data), nil
}

// Sync makes the written content durable.
func (file *file) Sync() error {
	file.synced = append([]byte{}, file.content...)
	return nil
}

// Truncate shortens the file to the size.
func (file *file) Truncate(size int64) error {
	file.content = file.content[:size]
	return nil
}

// Close does nothing.
func (file *file) Close() error { return nil }
