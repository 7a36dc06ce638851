package sim

import (
	"bytes"
	"errors"
	"io/fs"
	"time"

	"swifttiller/disk"
	"swifttiller/loop"
)

// Disk is the simulated data directory of a node. When the process is killed, data that was not
// synced is lost in whole or in part.
type Disk struct {
	node  *Node
	files map[string]*file
	// SyncDelay is added to the time of every file sync. Full makes writes fail, and FailSyncs makes syncs fail.
	SyncDelay       time.Duration
	Full, FailSyncs bool
	Syncs           int
}

// file is one file of a disk. durable is the content that survives a crash. nameDurable reports
// whether the directory was synced after the file was created; a crash removes the file otherwise.
type file struct {
	data, durable []byte
	nameDurable   bool
}

var (
	errNoSpace = errors.New("no space left on device")
	errIO      = errors.New("input/output error")
)

// Wipe empties the disk, as if it was replaced by a new one.
func (disk *Disk) Wipe() { disk.files = map[string]*file{} }

// Bytes returns the total size of all files.
func (disk *Disk) Bytes() (bytes int) {
	for _, file := range disk.files {
		bytes += len(file.data)
	}
	return bytes
}

// MoveFrom moves the content of another machine's disk to this one. Both machines must be down.
func (disk *Disk) MoveFrom(other *Disk) { disk.files, other.files = other.files, map[string]*file{} }

// Corrupt corrupts one byte of a file's durable content. It returns false if there is no such byte.
func (disk *Disk) Corrupt(name string, offset int) bool {
	file := disk.files[name]
	if file == nil || offset >= len(file.durable) {
		return false
	}
	file.durable[offset] ^= 0xff
	file.data = bytes.Clone(file.durable)
	return true
}

func (disk *Disk) crash() {
	sim := disk.node.sim
	for name, file := range disk.files {
		if !file.nameDurable {
			delete(disk.files, name)
			continue
		}
		// A crash can leave any prefix of the bytes that were appended since the last sync.
		if len(file.data) > len(file.durable) && bytes.HasPrefix(file.data, file.durable) {
			unsynced := len(file.data) - len(file.durable)
			file.durable = bytes.Clone(file.data[:len(file.durable)+int(uint64(sim.Seed+uint64(sim.sequence))%uint64(unsynced+1))])
		}
		file.data = bytes.Clone(file.durable)
	}
}

// Read returns the content of a file.
func (disk *Disk) Read(name string) ([]byte, error) {
	file := disk.files[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return bytes.Clone(file.data), nil
}

// Open opens a file for appending, creating it if it does not exist.
func (disk *Disk) Open(name string, truncate bool) (disk.File, error) {
	opened := disk.files[name]
	if opened == nil {
		if disk.Full {
			return nil, errNoSpace
		}
		opened = &file{}
		disk.files[name] = opened
	}
	if truncate {
		opened.data = nil
	}
	return &handle{disk: disk, file: opened}, nil
}

// Sync makes the directory entries of all files durable.
func (disk *Disk) Sync() error {
	disk.node.sim.Point(disk.node, "disk.folder")
	if disk.FailSyncs {
		return errIO
	}
	for _, file := range disk.files {
		file.nameDurable = true
	}
	return nil
}

type handle struct {
	disk *Disk
	file *file
}

func (handle *handle) Write(data []byte) (int, error) {
	handle.disk.node.sim.Point(handle.disk.node, "disk.write")
	if handle.disk.Full {
		return 0, errNoSpace
	}
	handle.file.data = append(handle.file.data, data...)
	return len(data), nil
}

func (handle *handle) Sync() error {
	node := handle.disk.node
	node.sim.Point(node, "disk.sync")
	incarnation := node.incarnation
	loop.Sleep(node, node.sim.SyncTime+handle.disk.SyncDelay)
	if node.incarnation != incarnation {
		return errIO
	}
	if handle.disk.FailSyncs {
		return errIO
	}
	handle.disk.Syncs++
	// Files are only appended to or emptied, so the durable content is a prefix that is never
	// overwritten and can share memory with the data.
	handle.file.durable = handle.file.data[:len(handle.file.data):len(handle.file.data)]
	node.sim.Point(node, "disk.synced")
	return nil
}

func (handle *handle) Truncate(size int64) error {
	handle.file.data = handle.file.data[:size:size]
	return nil
}

func (handle *handle) Close() error { return nil }
