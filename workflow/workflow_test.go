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

// TestIDsNeverRunAgain guards against running an ID twice. A run store keeps only the
// newest MaxPastRuns runs in full; the IDs of older ones must still be recognized,
// however many runs have come since.
func TestIDsNeverRunAgain(t *testing.T) {
	cluster := fleet.NewCluster(3, fleet.Sahayogi())
	defer cluster.Close()
	const runs = 3 * workflow.MaxPastRuns
	for number := 0; number < runs; number++ {
		cluster.Must("c1", func(daemon *controlplane.Daemon) error {
			if _, _, err := daemon.Runs.Start("shelf", fmt.Sprint("id", number), "same"); err != nil {
				return err
			}
			log, err := daemon.Runs.Resume("shelf", uint64(number)+1)
			if err != nil {
				return err
			}
			return log.Finish(workflow.Done, "")
		})
	}
	joined, usedOnly := 0, 0
	for number := 0; number < runs; number++ {
		err := cluster.Do("c2", 5*time.Second, func(daemon *controlplane.Daemon) error {
			run, isJoined, err := daemon.Runs.Start("shelf", fmt.Sprint("id", number), "same")
			if err == nil && (!isJoined || run.State != workflow.Done) {
				return fmt.Errorf("id%d was run again", number)
			}
			return err
		})
		switch {
		case err == nil:
			joined++
		case errors.Is(err, workflow.ErrUsed):
			usedOnly++
		default:
			t.Fatal(err)
		}
	}
	if joined != workflow.MaxPastRuns+1 || usedOnly != runs-joined {
		t.Errorf("%d runs were joined and %d IDs rejected as used", joined, usedOnly)
	}
}
