package workflow_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"swifttiller/controlplane"
	"swifttiller/fleet"
	"swifttiller/workflow"
)

// TestIDsNeverRunAgain: however many runs have come since.
func TestIDsNeverRunAgain(t *testing.T) {
	park := fleet.NewPark(3, fleet.Sahayogi())
	defer park.Close()
	const runs = 3 * workflow.KeptPast
	for number := 0; number < runs; number++ {
		park.Must("c1", func(daemon *controlplane.Daemon) error {
			if _, _, err := daemon.Book.Start("shelf", fmt.Sprint("id", number), "same"); err != nil {
				return err
			}
			log, err := daemon.Book.Resume("shelf", uint64(number)+1)
			if err != nil {
				return err
			}
			return log.Finish(workflow.Done, "")
		})
	}
	joined, used := 0, 0
	for number := 0; number < runs; number++ {
		err := park.Do("c2", 5*time.Second, func(daemon *controlplane.Daemon) error {
			run, isJoined, err := daemon.Book.Start("shelf", fmt.Sprint("id", number), "same")
			if err == nil && (!isJoined || run.State != workflow.Done) {
				return fmt.Errorf("id%d began again", number)
			}
			return err
		})
		switch {
		case err == nil:
			joined++
		case errors.Is(err, workflow.ErrUsed):
			used++
		default:
			t.Fatal(err)
		}
	}
	if joined != workflow.KeptPast+1 || used != runs-joined {
		t.Errorf("%d are reported, %d are known to be used", joined, used)
	}
}
