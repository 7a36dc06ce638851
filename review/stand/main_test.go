//go:build review

package stand

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	skipped = 2
)

// TestMain runs one case: this is built as a program of its own by review/build.sh, and holds no tests.
func TestMain(*testing.M) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(skipped)
	}
	run, isKnown := map[string]func(*fleet, bool) (int, error){"late": late, "unframed": unframed, "parts": parts, "boot": boot, "dropped": dropped}[os.Args[1]]
	if !isKnown {
		os.Exit(skipped)
	}
	fleet, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(skipped)
	}
	go func() {
		stopped := make(chan os.Signal, 1)
		signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
		<-stopped
		fleet.note("told to stop")
		fleet.finish()
		os.Exit(skipped)
	}()
	code, err := run(fleet, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		fleet.note("the case could not run: %v", err)
		code = skipped
	}
	fleet.note("exit code %d", code)
	fleet.finish()
	os.Exit(code)
}
