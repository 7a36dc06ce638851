//go:build review

package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/tidwall/gjson"
)

// Spans of the case. The sheet gives catch_up_s 4 and recovery_s 12.
const (
	catchUp      = 4 * time.Second
	recovery     = 12 * time.Second
	successorAge = 10 * time.Second // the successor's age when the old machine goes
	goneFor      = 8 * time.Second  // for how long the old machine is gone when a disk is lost
	diskDown     = time.Second      // how long the machine is down that loses its disk
	readBack     = 20 * time.Second
)

// lostDisk adds a control machine, removes the one that it follows, lets the successor have its time, and then
// lets another control machine lose its disk right after an acknowledgement: one loss, as the sheet bears.
func lostDisk(deployment *deployment) (int, error) {
	operator := deployment.operator
	deployment.platform.answer = func(call *call) bool { return call.stream(5, pieceGap) }
	if _, err := deployment.startReplicas("roster-llm", "v1"); err != nil {
		return statusNotRun, err
	}
	if err := deployment.waitReady(configuration(1, rosterRoutes, "roster-llm")); err != nil {
		return statusNotRun, err
	}
	stop := make(chan bool)
	results := &results{statuses: map[string]int{}}
	group := deployment.traffic(stop, results.add)
	defer func() {
		close(stop)
		group.Wait()
		deployment.line("how the clients' tries ended: %v", results.statuses)
	}()
	pause(3 * time.Second)
	folder := filepath.Dir(os.Getenv("ORDERS"))
	if err := writeSettings(folder, deployment.platform.network, false); err != nil {
		return statusNotRun, err
	}
	if err := deployment.tell("start", spareName); err != nil {
		return statusNotRun, err
	}
	pause(successorAge)
	operator.hosts = []int{10, 11, 12, spareHost}
	if deployment.hasFault {
		if err := deployment.tell("kill", "sorting-biratnagar-hall-1"); err != nil {
			return statusNotRun, err
		}
		operator.hosts = []int{10, 11, spareHost}
	}
	pause(goneFor)
	if status, _ := operator.call("POST", "/Config.Replace", "1", configuration(2, rosterRoutes, "roster-llm"), 10*time.Second); status != 200 {
		return statusNotRun, fmt.Errorf("the second configuration was not taken: %d", status)
	}
	if deployment.hasFault {
		for _, verb := range []string{"kill", "wipe"} {
			if err := deployment.tell(verb, "sorting-pokhara-hall-1"); err != nil {
				return statusNotRun, err
			}
		}
		pause(diskDown)
		if err := deployment.tell("start", "sorting-pokhara-hall-1"); err != nil {
			return statusNotRun, err
		}
	}
	began := deployment.now()
	pause(recovery)
	status, answer := operator.call("GET", "/Config.Read", "", nil, readBack)
	edition := gjson.GetBytes(answer, "edition").Int()
	deployment.line("read back %.1f s after the disk was lost: status %d, edition %d", (deployment.now() - began).Seconds(), status, edition)
	taken, _ := operator.call("POST", "/Config.Replace", "2", configuration(3, rosterRoutes, "roster-llm"), 10*time.Second)
	deployment.line("a further change, %.1f s after the disk was lost: status %d", (deployment.now() - began).Seconds(), taken)
	if status != 200 || edition < 2 {
		deployment.line("CONFIG is broken: what was acknowledged does not come")
		return statusBroken, nil
	}
	return statusHeld, nil
}
