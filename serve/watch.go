package serve

import (
	"os"
	"syscall"
	"time"

	"swifttiller/loop"
)

// Stamp identifies the state of a file, so that a change of the file can be detected. The
// zero Stamp means that there is no file.
type Stamp struct {
	modified time.Time
	size     int64
	inode    uint64
}

// StampOf returns the current stamp of a file, or the zero Stamp if it can't be read.
func StampOf(path string) (stamp Stamp) {
	info, err := os.Stat(path)
	if err != nil {
		return Stamp{}
	}
	stamp.modified, stamp.size = info.ModTime(), info.Size()
	if system, isKnown := info.Sys().(*syscall.Stat_t); isKnown {
		stamp.inode = system.Ino
	}
	return stamp
}

// Watch checks the file once a second until the world ends, and calls reload whenever the
// file differs from the last stamp. A file that is missing for a while is ignored.
func Watch(world loop.World, path string, last Stamp, reload func()) {
	loop.Every(world, func() time.Duration { return time.Second }, func() bool {
		if now := StampOf(path); now != last && now != (Stamp{}) {
			last = now
			reload()
		}
		return true
	})
}
