package disk

import (
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// Lock takes an exclusive lock on the folder without waiting. Other processes cannot take
// it as long as the returned file is open; the error of a second Lock is EWOULDBLOCK.
func Lock(folder string) (*os.File, error) {
	file, err := os.OpenFile(filepath.Join(folder, "in-use"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}
