package loop_test

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"swifttiller/loop"
)

// TestTaskPanicEndsProcess guards against a daemon that keeps running, and stays leader,
// after one of its loops has panicked: the task group holds a panic back until its Wait
// is called. The test runs its own binary as the process.
func TestTaskPanicEndsProcess(t *testing.T) {
	if os.Getenv("LOOP_PANICS") != "" {
		machine := loop.NewMachine()
		machine.Go(func() { panic("a table is not as it should be") })
		machine.Mailbox().Take(3 * time.Second)
		fmt.Println("goes on all the same")
		os.Exit(0)
	}
	command := exec.Command(os.Args[0], "-test.run", "TestTaskPanicEndsProcess")
	command.Env = append(os.Environ(), "LOOP_PANICS=1")
	out, err := command.CombinedOutput()
	if err == nil || strings.Contains(string(out), "all the same") {
		t.Errorf("the process kept running after a panic in a task: %v %s", err, out)
	}
	if !strings.Contains(string(out), "a table is not as it should be") || !strings.Contains(string(out), "loop_test.go") {
		t.Errorf("the output does not have the panic message and its stack: %s", out)
	}
}
