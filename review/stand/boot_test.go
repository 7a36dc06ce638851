//go:build review

package stand

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// regionDelay is the time one way between regions.
	regionDelay = 35 * time.Millisecond
	// killedAfter is when the processes of the core are killed, from their start on.
	killedAfter = 150 * time.Millisecond
	recovery    = 12 * time.Second
)

// link is the path from one machine to the inner port of another in a different region: a proxy that
// delays each byte.
func link(from, to *machine) error {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", linkAddress(from, to), innerFirst))
	if err != nil {
		return err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				far, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", to.ip, innerFirst), time.Second)
				if err != nil {
					near.Close()
					return
				}
				go pass(near, far)
				pass(far, near)
			}()
		}
	}()
	return nil
}

// pass copies what comes on one connection to another, each piece regionDelay later, and its end too.
func pass(from, to net.Conn) {
	type piece struct {
		data []byte
		at   time.Time
	}
	pieces := make(chan piece, 1024)
	go func() {
		for one := range pieces {
			<-time.After(time.Until(one.at))
			if _, err := to.Write(one.data); err != nil {
				break
			}
		}
		to.Close()
		from.Close()
		for range pieces {
			continue
		}
	}()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			pieces <- piece{append([]byte{}, buffer[:count]...), time.Now().Add(regionDelay)}
		}
		if err != nil {
			close(pieces)
			return
		}
	}
}

func linkAddress(from, to *machine) string {
	return fmt.Sprintf("%s.%d.%d", from.fleet.network, 10+from.number, to.number)
}

// reads asks all control daemons for the configuration, again and again, and reports whether it comes.
func (operator *operator) reads(within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); <-time.After(200 * time.Millisecond) {
		for _, one := range operator.fleet.of("controlplane") {
			answer, err := probeClient.Get(fmt.Sprintf("http://%s:%d/Config.Read", one.ip, controlPort))
			if err != nil {
				operator.fleet.note("operator: read at %s: %v", one.name, err)
				continue
			}
			text, _ := io.ReadAll(answer.Body)
			answer.Body.Close()
			operator.fleet.note("operator: read at %s: %d %.120s", one.name, answer.StatusCode, text)
			if answer.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// boot kills all processes of the core once, right after their first start, and checks that the operator can
// read the configuration back at the end (the rule CONFIG), and what clients were served.
func boot(fleet *fleet, isTroubled bool) (int, error) {
	lanes := []lane{{Name: "r-status", Host: host, Prefix: "/lohu930/", Kind: "unsafe", Timeout: 5000, Target: 1000, Urgency: 1, Depot: service, Tries: 1, Homes: []string{}}}
	core := fleet.of("controlplane")
	for _, from := range fleet.machines {
		for _, to := range core {
			if from.zone.region == to.zone.region {
				continue
			}
			if err := link(from, to); err != nil {
				return skipped, err
			}
		}
	}
	fleet.hasLinks = true
	if err := fleet.addReplicas(6, func(replica *replica, conn net.Conn, request *http.Request, body string, number int) (bool, bool) {
		_, err := fmt.Fprintf(conn, "%sContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok", replica.head(request.Header.Get("Attempt-Id"), number))
		return err == nil, true
	}); err != nil {
		return skipped, err
	}
	for _, one := range fleet.machines {
		if err := one.run(); err != nil {
			return skipped, err
		}
	}
	for _, one := range core {
		for one.pid() == 0 {
			<-time.After(time.Millisecond)
		}
	}
	started := fleet.now()
	operator := &operator{fleet: fleet}
	var group sync.WaitGroup
	group.Go(func() {
		if err := operator.replace(lanes, 40*time.Second); err != nil {
			fleet.note("operator: the first configuration was never acknowledged")
		}
	})
	if isTroubled {
		<-time.After(killedAfter - (fleet.now() - started))
		for _, one := range core {
			one.signal(syscall.SIGKILL)
		}
	}
	// Traffic starts 10 s after the machines do.
	<-time.After(10*time.Second - (fleet.now() - started))
	tries := &journal{}
	shape := func(_ *rand.Rand, id string) (string, string, time.Duration) {
		return fmt.Sprintf("POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\n", host), "{}", 5 * time.Second
	}
	until := fleet.now() + 30*time.Second
	for _, one := range clients(fleet, 6, shape) {
		group.Go(func() { one.run(until, 500*time.Millisecond, tries, &group) })
	}
	group.Wait()
	served, failed, without := 0, 0, int(unconnected.Load())
	for _, one := range tries.tries {
		line, _ := fleet.describe(one)
		if one.sent < recovery {
			continue
		}
		if one.err == nil && one.status == 200 {
			served++
		} else {
			failed++
		}
		fleet.note("%s", line)
	}
	fleet.note("after recovery_s: %d requests served, %d not; %d more found no daemon to go to", served, failed, without)
	if !operator.reads(contact) {
		return broken, nil
	}
	return held, nil
}
