//go:build review

package stand

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// parts sends bodies of several parts to an unsafe route, and checks the rule UNASKED: that replicas get
// each body as the client sent it. Without the trouble the same bytes are called a plain body.
func parts(fleet *fleet, isTroubled bool) (int, error) {
	lanes := []lane{{Name: "r-status", Host: host, Prefix: "/lohu930/", Kind: "unsafe", Timeout: 5000, Target: 1000, Urgency: 1, Depot: service, Tries: 1, Homes: []string{}}}
	_, err := fleet.begin(2, lanes, func(replica *replica, conn net.Conn, request *http.Request, body string, number int) (bool, bool) {
		_, err := fmt.Fprintf(conn, "%sContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok", replica.head(request.Header.Get("Attempt-Id"), number))
		return err == nil, true
	})
	if err != nil {
		return skipped, err
	}
	kind := "application/octet-stream"
	if isTroubled {
		kind = "multipart/form-data; boundary=b7c2"
	}
	shape := func(_ *rand.Rand, id string) (string, string, time.Duration) {
		body := ""
		for part := range 4 {
			body += fmt.Sprintf("--b7c2\r\nContent-Disposition: form-data; name=\"roster-%d\"\r\nContent-Type: text/csv\r\n\r\n%s,%d\r\n", part, id, part)
		}
		return fmt.Sprintf("POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nContent-Type: %s\r\n", host, kind), body + "--b7c2--\r\n", unframedLimit
	}
	tries := &journal{}
	var group sync.WaitGroup
	until := fleet.now() + 5*time.Second
	for _, one := range clients(fleet, 2, shape) {
		group.Go(func() { one.run(until, 300*time.Millisecond, tries, &group) })
	}
	group.Wait()
	same, changed := 0, 0
	for _, one := range tries.tries {
		line, met := fleet.describe(one)
		isChanged := false
		for _, arrival := range met {
			if arrival.body != one.text || arrival.method != "POST" || arrival.uri != "/lohu930/2f" {
				isChanged = true
				line = fmt.Sprintf("UNASKED: %s: sent %q, run %q", line, one.text, arrival.body)
			}
		}
		if isChanged {
			changed++
		} else {
			same++
		}
		fleet.note("%s", line)
	}
	fleet.note("%d requests as sent, %d UNASKED", same, changed)
	if changed > 0 {
		return broken, nil
	}
	return held, nil
}
