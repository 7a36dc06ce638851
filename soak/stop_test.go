package soak

import (
	"bufio"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"
)

// freshLease is what is left at the least of a lease that was renewed a moment ago: leases last six tenths
// of the bound for changes.
const freshLease = 1600 * time.Millisecond

// statusPort is where a data daemon tells of itself, controlStatusPort where a control daemon does.
const (
	statusPort        = innerFirst + 3
	controlStatusPort = innerFirst + 2
)

// leaseLeft asks a data daemon for how long its lease stands yet.
func leaseLeft(machine *machine) time.Duration {
	_, body, err := fasthttp.GetTimeout(nil, fmt.Sprintf("http://%s:%d/v1/status", machine.ip, statusPort), time.Second)
	if err != nil {
		return 0
	}
	return time.Duration(gjson.GetBytes(body, "permit_left_ms").Int()) * time.Millisecond
}

// patientCall sends a change on a connection that was opened before, and waits for as long as that stays open.
func patientCall(conn net.Conn, basedOn int, body []byte) (status int, err error) {
	request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
	request.Header.SetMethod("POST")
	request.SetRequestURI("/Config.Replace")
	request.Header.SetHost(conn.RemoteAddr().String())
	request.Header.Set("Based-On", fmt.Sprint(basedOn))
	request.SetBody(body)
	writer := bufio.NewWriter(conn)
	if err := request.Write(writer); err != nil {
		return 0, err
	}
	if err := writer.Flush(); err != nil {
		return 0, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if err := answer.Read(bufio.NewReader(conn)); err != nil {
		return 0, err
	}
	return answer.StatusCode(), nil
}

// TestNoChangeIsConfirmedByAStoppingControlDaemon guards against a change that is confirmed while a data
// daemon that does not know it still holds a lease, by a control daemon that is told to stop meanwhile.
func TestNoChangeIsConfirmedByAStoppingControlDaemon(t *testing.T) {
	deployment := sklepik(3, 3)
	cluster, operator := beginQuiet(t, deployment, 20)
	random := operator.random
	faults := &faults{cluster: cluster, random: random}
	unclear, clear := 0, 0
	for turn := range *turnsFlag {
		stopped := cluster.of(control)[turn%3]
		frozen := cluster.of(data)[turn%3]
		cluster.waitFor(t, "all daemons run, and one leads each", func() bool { return cluster.isCalm(operator) })
		conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", stopped.ip, controlPort), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		var began, lease time.Duration
		cluster.waitFor(t, "a lease that was just renewed", func() bool {
			began = cluster.history.now()
			lease = leaseLeft(frozen)
			return lease >= freshLease
		})
		frozen.signal(syscall.SIGSTOP)
		signaled := cluster.history.now()
		cluster.waitFor(t, "the data daemon stands still", frozen.isFrozen)
		cluster.history.note("turn %d: %s stood still at most %v after the signal, its lease stood for %v at %.3f", turn, frozen.name, cluster.history.now()-signaled, lease, began.Seconds())
		faults.stop(stopped)
		// It is on its way when the order to stop comes, or a little later.
		cluster.wait(time.Duration(random.Int64N(int64(60 * time.Millisecond))))
		edition := operator.edition + 1
		next := operator.author.next(operator.current, edition)
		status, err := patientCall(conn, operator.edition, next.body(edition, deployment.services))
		took := cluster.history.now() - began
		cluster.history.note("turn %d: %s answered %d (%v) after %v", turn, stopped.name, status, err, took)
		if status == 200 {
			clear++
		} else {
			unclear++
		}
		if status == 200 && took < lease {
			t.Errorf("turn %d: %s, which was stopping, confirmed a change after %v, while %s was frozen and its lease stood for %v", turn, stopped.name, took, frozen.name, lease)
		}
		conn.Close()
		frozen.signal(syscall.SIGCONT)
		operator.catchUpTo(&change{edition: edition, document: next})
	}
	t.Logf("%d changes confirmed, %d not", clear, unclear)
}
