package sim

import (
	"bytes"
	"errors"
	"io/fs"
	"time"

	"swifttiller/disk"
	"swifttiller/loop"
)

// Disk is a node's data folder. What was not synced is lost, or torn, when the
// process is killed.
type Disk struct {
	node  *Node
	files map[string]*file
	// Slow is added to every sync; Full makes writes fail; Sick makes syncs fail.
	Slow       time.Duration
	Full, Sick bool
	Syncs      int
}

// file: lasting is what a crash leaves; named tells whether the folder was
// synced since the file was made.
type file struct {
	data, lasting []byte
	named         bool
}

var (
	errFull = errors.New("no space left on device")
	errSick = errors.New("input/output error")
)

// Lose empties the disk, as a replaced one.
func (disk *Disk) Lose() { disk.files = map[string]*file{} }

// Bytes are those of all files.
func (disk *Disk) Bytes() (bytes int) {
	for _, one := range disk.files {
		bytes += len(one.data)
	}
	return bytes
}

// Take moves another machine's disk to this one; both must be down.
func (disk *Disk) Take(other *Disk) { disk.files, other.files = other.files, map[string]*file{} }

// Spoil changes a byte of what lasts in a file.
func (disk *Disk) Spoil(name string, at int) bool {
	one := disk.files[name]
	if one == nil || at >= len(one.lasting) {
		return false
	}
	one.lasting[at] ^= 0xff
	one.data = bytes.Clone(one.lasting)
	return true
}

func (disk *Disk) crash() {
	sim := disk.node.sim
	for name, one := range disk.files {
		if !one.named {
			delete(disk.files, name)
			continue
		}
		// Bytes appended since the last sync may have got there in part.
		if len(one.data) > len(one.lasting) && bytes.HasPrefix(one.data, one.lasting) {
			grown := len(one.data) - len(one.lasting)
			one.lasting = bytes.Clone(one.data[:len(one.lasting)+int(uint64(sim.Seed+uint64(sim.order))%uint64(grown+1))])
		}
		one.data = bytes.Clone(one.lasting)
	}
}

// Read gives a whole file.
func (disk *Disk) Read(name string) ([]byte, error) {
	one := disk.files[name]
	if one == nil {
		return nil, fs.ErrNotExist
	}
	return bytes.Clone(one.data), nil
}

// Open opens for appending.
func (disk *Disk) Open(name string, emptied bool) (disk.File, error) {
	one := disk.files[name]
	if one == nil {
		if disk.Full {
			return nil, errFull
		}
		one = &file{}
		disk.files[name] = one
	}
	if emptied {
		one.data = nil
	}
	return &handle{disk: disk, file: one}, nil
}

// Sync makes the names last.
func (disk *Disk) Sync() error {
	disk.node.sim.Point(disk.node, "disk.folder")
	if disk.Sick {
		return errSick
	}
	for _, one := range disk.files {
		one.named = true
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
		return 0, errFull
	}
	handle.file.data = append(handle.file.data, data...)
	return len(data), nil
}

func (handle *handle) Sync() error {
	node := handle.disk.node
	node.sim.Point(node, "disk.sync")
	life := node.life
	loop.Sleep(node, node.sim.SyncTime+handle.disk.Slow)
	if node.life != life {
		return errSick
	}
	if handle.disk.Sick {
		return errSick
	}
	handle.disk.Syncs++
	// Files only grow or are begun anew, so what lasts is a prefix that nobody
	// writes to again.
	handle.file.lasting = handle.file.data[:len(handle.file.data):len(handle.file.data)]
	node.sim.Point(node, "disk.synced")
	return nil
}

func (handle *handle) Truncate(size int64) error {
	handle.file.data = handle.file.data[:size:size]
	return nil
}

func (handle *handle) Close() error { return nil }
