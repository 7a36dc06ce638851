package serve

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net/rpc"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"

	"swifttiller/settings"
)

// childVariable is the environment variable that makes this test program run as a daemon whose stop finishes
// when its standard input is closed.
const childVariable = "SERVE_TEST_STOPPING_DAEMON"

// childTimeout is the time after which a daemon that has not ended is killed.
const childTimeout = 30 * time.Second

// TestMain runs the tests, or the daemon if childVariable is set.
func TestMain(main *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(main.Run())
	}
	os.Exit(stoppingDaemon())
}

// stoppingDaemon runs a daemon that prints the stage it has reached to standard output: loading, running,
// stopping.
func stoppingDaemon() int {
	var loading sync.Once
	command := &Command{
		Program: "test", Title: "daemon",
		Load: func(string, *flag.FlagSet) (*settings.Process, string, error) {
			loading.Do(func() {
				fmt.Println("loading")
				_, _ = os.Stdin.Read(make([]byte, 1))
			})
			return &settings.Process{Name: "test", Wire: "127.0.0.1:0", HTTP: "127.0.0.1:0", Log: "info"}, "", nil
		},
		Make: func(*Process) (Daemon, error) {
			return Daemon{
				Services: rpc.NewServer(), App: fiber.New(fiber.Config{DisableStartupMessage: true}),
				Run: func() { fmt.Println("running") },
				Stop: func(time.Duration) bool {
					fmt.Println("stopping")
					_, _ = io.ReadAll(os.Stdin)
					return true
				},
			}, nil
		},
	}
	set := flag.NewFlagSet("test", flag.ContinueOnError)
	command.SetFlags(set)
	return int(command.Execute(context.Background(), set))
}

// child is a daemon that runs as a child process.
type child struct {
	*exec.Cmd
	stdin  io.WriteCloser
	stdout *bufio.Scanner
}

// startChild starts a daemon that writes its log to the given file.
func startChild(t *testing.T, log *os.File) *child {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), childVariable+"=1")
	out := &child{Cmd: command}
	command.Stderr = log
	var err error
	if out.stdin, err = command.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	stdout, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	out.stdout = bufio.NewScanner(stdout)
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	overdue := time.AfterFunc(childTimeout, func() { _ = command.Process.Kill() })
	t.Cleanup(func() {
		overdue.Stop()
		_ = command.Process.Kill()
	})
	return out
}

// await reads the daemon's output until it has reached the stage.
func (child *child) await(t *testing.T, stage string) {
	t.Helper()
	for child.stdout.Scan() {
		if child.stdout.Text() == stage {
			return
		}
	}
	t.Fatalf("the process ended before the stage %s: %v", stage, child.Wait())
}

func (child *child) send(t *testing.T, signals ...syscall.Signal) {
	t.Helper()
	for _, toSend := range signals {
		if err := child.Process.Signal(toSend); err != nil {
			t.Fatalf("%v: %v", toSend, err)
		}
	}
}

// endInOrder waits until the daemon runs, sends it SIGTERM, and checks that it exits with status 0.
func (child *child) endInOrder(t *testing.T) {
	t.Helper()
	child.await(t, "running")
	child.send(t, syscall.SIGTERM)
	child.await(t, "stopping")
	_ = child.stdin.Close()
	if err := child.Wait(); err != nil {
		t.Errorf("want exit status 0 after SIGTERM, got %v", err)
	}
}

// TestSignalDoesNotInterruptGracefulStop guards against requests that are cut off because a SIGHUP or a second signal to
// stop terminates the daemon while its graceful stop waits for requests in progress.
func TestSignalDoesNotInterruptGracefulStop(t *testing.T) {
	for _, late := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		t.Run(late.String(), func(t *testing.T) {
			child := startChild(t, os.Stderr)
			_, _ = child.stdin.Write([]byte{'\n'})
			child.await(t, "running")
			child.send(t, syscall.SIGTERM)
			child.await(t, "stopping")
			child.send(t, late, late)
			_ = child.stdin.Close()
			if err := child.Wait(); err != nil {
				t.Errorf("a signal during the graceful stop ended the process: %v", err)
			}
		})
	}
}

// TestReloadSignalDuringStart guards against a daemon that is terminated by a SIGHUP that arrives while it reads its
// settings.
func TestReloadSignalDuringStart(t *testing.T) {
	child := startChild(t, os.Stderr)
	child.await(t, "loading")
	child.send(t, syscall.SIGHUP)
	_, _ = child.stdin.Write([]byte{'\n'})
	child.endInOrder(t)
}

// TestBrokenLogPipeDoesNotStopDaemon guards against a daemon that is terminated by SIGPIPE, with requests in progress,
// because it writes to its log after the reader of the log has closed the pipe.
func TestBrokenLogPipeDoesNotStopDaemon(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	child := startChild(t, writer)
	_ = writer.Close()
	_ = reader.Close()
	_, _ = child.stdin.Write([]byte{'\n'})
	child.endInOrder(t)
}
