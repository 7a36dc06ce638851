//go:build review

package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	otherService = "vowu17a"
	rolloutOver  = 12 * time.Second
	drain        = 4 * time.Second
	coldFor      = 3 * time.Second
)

// order sends an order that is no configuration until a control daemon takes it.
func (operator *operator) order(path, body string) error {
	controls := operator.fleet.of("controlplane")
	for try := range 20 {
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		answer, err := client.Post(fmt.Sprintf("http://%s:%d%s", controls[try%len(controls)].ip, controlPort, path), "application/json", strings.NewReader(body))
		if err != nil {
			<-time.After(100 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(answer.Body)
		answer.Body.Close()
		operator.fleet.note("operator: %s %s: %d %s", path, body, answer.StatusCode, text)
		if answer.StatusCode == 200 {
			return nil
		}
		<-time.After(100 * time.Millisecond)
	}
	return errNotReady
}

// rolloutState reads how the service's roll-out stands, at any control daemon.
func (operator *operator) rolloutState() string {
	controls := operator.fleet.of("controlplane")
	answer, err := probeClient.Get(fmt.Sprintf("http://%s:%d/Rollouts.Read/%s", controls[rand.IntN(len(controls))].ip, controlPort, service))
	if err != nil {
		return ""
	}
	defer answer.Body.Close()
	var found struct {
		State string `json:"state"`
	}
	_ = json.NewDecoder(answer.Body).Decode(&found)
	return found.State
}

// dropped moves a service to a good version by a roll-out. Meanwhile a configuration sends the route to another
// service and names the first one no more, and the next one takes that back. The day ends with all processes
// killed; the rule is RECOVER. Without the trouble the two configurations are not sent.
func dropped(fleet *fleet, isTroubled bool) (int, error) {
	lanes := []lane{{Name: "r-status", Host: host, Prefix: "/lohu930/", Kind: "unsafe", Timeout: 5000, Target: 1000, Urgency: 1, Depot: service, Tries: 1, Homes: []string{}}}
	answer := func(replica *replica, conn net.Conn, request *http.Request, body string, number int) (bool, bool) {
		<-time.After(10 * time.Millisecond)
		_, err := fmt.Fprintf(conn, "%sContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok", replica.head(request.Header.Get("Attempt-Id"), number))
		return err == nil, true
	}
	// startAll starts six replicas in each zone.
	startAll := func(name, version string, block int, cold time.Duration) (out []*replica, err error) {
		for at, zone := range zones {
			for number := range 6 {
				one, err := fleet.platform.start(&replica{service: name, zone: zone, version: version, answer: answer, coldFor: cold, address: fmt.Sprintf("%s.%d.%d:%d", fleet.network, block+at, number+1, replicaPort)})
				if err != nil {
					return nil, err
				}
				out = append(out, one)
			}
		}
		return out, nil
	}
	if _, err := startAll(otherService, "v1", 120, 0); err != nil {
		return skipped, err
	}
	operator, err := fleet.begin(6, lanes, answer)
	if err != nil {
		return skipped, err
	}
	shape := func(_ *rand.Rand, id string) (string, string, time.Duration) {
		return fmt.Sprintf("POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\n", host), "{}", 5 * time.Second
	}
	tries := &journal{}
	var group sync.WaitGroup
	began := fleet.now()
	const closingAt = 40 * time.Second
	for _, one := range clients(fleet, 18, shape) {
		group.Go(func() { one.run(began+closingAt+recovery+10*time.Second, 250*time.Millisecond, tries, &group) })
	}
	at := func(moment time.Duration) { <-time.After(began + moment - fleet.now()) }
	at(8 * time.Second)
	fresh, err := startAll(service, "v2", 140, coldFor)
	if err != nil {
		return skipped, err
	}
	if err := operator.order("/Rollouts.Begin", fmt.Sprintf(`{"depot":%q,"to_version":"v2","over_s":%d}`, service, int(rolloutOver.Seconds()))); err != nil {
		return skipped, err
	}
	ordered := fleet.now() - began
	old := func() (out []*replica) {
		fleet.platform.mutex.Lock()
		defer fleet.platform.mutex.Unlock()
		for _, one := range fleet.platform.replicas {
			if one.service == service && one.version == "v1" {
				out = append(out, one)
			}
		}
		return out
	}
	// The platform obeys the first end that it reads.
	group.Go(func() {
		for last := ""; fleet.now()-began < closingAt; <-time.After(300 * time.Millisecond) {
			state := operator.rolloutState()
			if state != last && state != "" {
				fleet.note("platform: the roll-out is %s", state)
				last = state
			}
			switch state {
			case "delivered":
				fleet.platform.end(old())
				fleet.note("platform: the old replicas have stopped")
				return
			case "returned":
				<-time.After(2 * time.Second)
				fleet.platform.leave(fresh)
				fleet.note("platform: the new replicas are leaving")
				<-time.After(drain + time.Second)
				fleet.platform.end(fresh)
				fleet.note("platform: the new replicas have ended")
				return
			}
		}
	})
	if isTroubled {
		at(ordered + 4*time.Second)
		lanes[0].Depot = otherService
		if err := operator.replace(lanes, 10*time.Second); err != nil {
			return skipped, err
		}
		at(ordered + 8*time.Second)
		lanes[0].Depot = service
		if err := operator.replace(lanes, 10*time.Second); err != nil {
			return skipped, err
		}
	}
	// The closing fault, right after a configuration was acknowledged.
	at(closingAt)
	lanes[0].Timeout = 4900
	if err := operator.replace(lanes, 10*time.Second); err != nil {
		return skipped, err
	}
	closed := fleet.now()
	for _, one := range fleet.machines {
		one.signal(syscall.SIGKILL)
	}
	<-time.After(time.Second)
	for _, one := range fleet.machines {
		for one.pid() == 0 && fleet.now() < closed+3*time.Second {
			<-time.After(10 * time.Millisecond)
		}
	}
	back := fleet.now()
	fleet.note("all machines are back; the roll-out is %s", operator.rolloutState())
	group.Wait()
	var before, after, servedBefore, servedAfter int
	for _, one := range tries.tries {
		line, met := fleet.describe(one)
		for _, arrival := range met {
			line += ", version " + arrival.version
		}
		isServed := one.err == nil && one.status == 200
		switch {
		case one.sent < closed:
			before++
			if isServed {
				servedBefore++
			}
		case one.sent > back+recovery:
			after++
			if isServed {
				servedAfter++
			}
		}
		fleet.note("%s", line)
	}
	fleet.note("before the closing fault %d of %d requests were served; later than recovery_s after it %d of %d; %d found no daemon to go to", servedBefore, before, servedAfter, after, unconnected.Load())
	if after > 0 && 4*servedAfter < after && 4*servedBefore >= before {
		return broken, nil
	}
	return held, nil
}
