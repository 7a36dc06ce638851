package serve

import (
	"os"
	"syscall"
	"time"

	"swifttiller/loop"
)

// Stamp tells a file from what it was before; the zero one is of no file.
type Stamp struct {
	modified time.Time
	size     int64
	inode    uint64
}

// StampOf is the file's stamp now.
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

// Watch runs reload whenever the file is another than the stamp says, until the world
// ends. It looks once a second; a file that is gone for a while changes nothing.
func Watch(world loop.World, path string, last Stamp, reload func()) {
	loop.Every(world, func() time.Duration { return time.Second }, func() bool {
		if now := StampOf(path); now != last && now != (Stamp{}) {
			last = now
			reload()
		}
		return true
	})
}
