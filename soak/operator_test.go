package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"
)

// callTimeout is how long an operator waits for one daemon before it turns to another.
const callTimeout = time.Second

// operator changes the configuration.
type operator struct {
	cluster *cluster
	author  *author
	random  *rand.Rand
	http    *fasthttp.Client
	// state is what it knows to be in force.
	edition int
	current document
	// acked are the changes that were acknowledged, the newest last.
	acked []*change
}

func newOperator(cluster *cluster, author *author, random *rand.Rand) *operator {
	return &operator{cluster: cluster, author: author, random: random, current: document{},
		http: &fasthttp.Client{MaxConnWaitTimeout: callTimeout, ReadTimeout: 2 * callTimeout, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: time.Minute}}
}

// call asks one control daemon once, on a connection that is kept while it lasts.
func (operator *operator) call(machine *machine, method, path string, basedOn string, body []byte) (status int, answer []byte, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(fmt.Sprintf("http://%s:%d%s", machine.ip, controlPort, path))
	if basedOn != "" {
		request.Header.Set("Based-On", basedOn)
	}
	request.SetBody(body)
	if err := operator.http.DoTimeout(request, response, callTimeout); err != nil {
		return 0, nil, err
	}
	return response.StatusCode(), append([]byte{}, response.Body()...), nil
}

// errNoAnswer: no call got a clear answer in time.
var errNoAnswer = errors.New("no clear answer")

// replace sends a change until it gets a clear answer or the time is over, to any daemon.
func (operator *operator) replace(one *change, body []byte, within time.Duration) error {
	history := operator.cluster.history
	one.sent = history.now()
	history.guard.Lock()
	history.changes = append(history.changes, one)
	history.guard.Unlock()
	pause := 30 * time.Millisecond
	for history.now()-one.sent < within {
		machine := pick(operator.random, operator.cluster.of(control))
		status, answer, err := operator.call(machine, "POST", "/Config.Replace", fmt.Sprint(one.basedOn), body)
		history.guard.Lock()
		switch {
		case err != nil || status >= 500 || status == 408 || status == 429:
			one.isUnclear = true
		case status == 200:
			one.acknowledged, one.acknowledgedBy = history.now(), machine.name
		default:
			one.isRefused = !one.isUnclear
		}
		history.guard.Unlock()
		switch {
		case one.acknowledged > 0:
			history.note("edition %d on %d acknowledged by %s after %v", one.edition, one.basedOn, machine.name, one.acknowledged-one.sent)
			return nil
		case err == nil && status < 500 && status != 408 && status != 429:
			history.note("edition %d on %d refused by %s: %d %s", one.edition, one.basedOn, machine.name, status, answer)
			return nil
		}
		if !operator.cluster.wait(pause) {
			break
		}
		pause = min(2*pause, 500*time.Millisecond)
	}
	history.note("edition %d on %d got no clear answer", one.edition, one.basedOn)
	return errNoAnswer
}

// read asks for the configuration in force at one daemon.
func (operator *operator) read(machine *machine) (reading, error) {
	history := operator.cluster.history
	one := reading{machine: machine.name, sent: history.now()}
	status, body, err := operator.call(machine, "GET", "/Config.Read", "", nil)
	one.answered = history.now()
	if err != nil {
		return one, err
	}
	if status != 200 {
		return one, fmt.Errorf("answered %d", status)
	}
	one.body, one.edition = body, int(gjson.GetBytes(body, "edition").Int())
	history.guard.Lock()
	history.readings = append(history.readings, one)
	history.guard.Unlock()
	return one, nil
}

// readPause is the longest pause between two readings.
const readPause = 400 * time.Millisecond

// watch reads the configuration again and again, at any daemon.
func (operator *operator) watch() {
	for operator.cluster.wait(time.Duration(operator.random.Int64N(int64(readPause)))) {
		_, _ = operator.read(pick(operator.random, operator.cluster.of(control)))
	}
}

// catchUp finds out what is in force, where a change got no clear answer or lost to another.
func (operator *operator) catchUp() {
	for operator.cluster.wait(20 * time.Millisecond) {
		one, err := operator.read(pick(operator.random, operator.cluster.of(control)))
		if err != nil {
			continue
		}
		history := operator.cluster.history
		history.guard.Lock()
		for _, sent := range history.changes {
			if sent.edition == one.edition && !sent.isInvalid && !sent.isRefused && string(sent.document.body(sent.edition, operator.author.services)) == string(one.body) {
				operator.edition, operator.current = sent.edition, sent.document
			}
		}
		history.guard.Unlock()
		return
	}
}

// catchUpTo is catchUp after a change that was sent elsewhere.
func (operator *operator) catchUpTo(one *change) {
	history := operator.cluster.history
	history.guard.Lock()
	history.changes = append(history.changes, one)
	history.guard.Unlock()
	operator.catchUp()
}

// begin sends the first configuration until it is taken.
func (operator *operator) begin() error {
	first := &change{edition: 1, document: operator.author.first()}
	if err := operator.replace(first, first.document.body(1, operator.author.services), time.Minute); err != nil || first.acknowledged == 0 {
		return fmt.Errorf("the first configuration was not taken: %w", err)
	}
	operator.edition, operator.current, operator.acked = 1, first.document, []*change{first}
	return nil
}

// run changes the configuration until the run is over.
func (operator *operator) run() {
	for operator.cluster.pause(operator.pause()) {
		switch draw := operator.random.IntN(20); {
		case draw < 3:
			operator.race()
		case draw < 5:
			operator.invalid()
		case draw < 6 && len(operator.acked) > 0:
			operator.again()
		case draw < 8:
			for range 3 + operator.random.IntN(6) {
				operator.change()
			}
		default:
			operator.change()
		}
	}
}

// longPause is how much longer than the bound for changes an operator pauses now and then: a version that a
// data daemon misses shows only while none follows that brings it along.
const longPause = 3 * time.Second

// pause draws the time until the next change.
func (operator *operator) pause() time.Duration {
	short := time.Duration(operator.random.Int64N(int64(operator.cluster.changePause)) + 1)
	if operator.cluster.changePause >= time.Second && operator.random.IntN(3) == 0 {
		return operator.cluster.apply + time.Duration(operator.random.Int64N(int64(longPause)))
	}
	return short
}

// change makes one change on top of the present configuration.
func (operator *operator) change() {
	edition := operator.edition + 1 + operator.random.IntN(4)
	operator.send(&change{basedOn: operator.edition, edition: edition, document: operator.author.next(operator.current, edition)})
}

func (operator *operator) send(one *change) {
	err := operator.replace(one, one.document.body(one.edition, operator.author.services), operator.cluster.acknowledge+operator.cluster.stretch)
	if err == nil && one.acknowledged > 0 {
		operator.edition, operator.current = one.edition, one.document
		operator.acked = append(operator.acked, one)
		return
	}
	operator.catchUp()
}

// race sends two changes on top of one version at the same moment.
func (operator *operator) race() {
	base, from := operator.edition, operator.current
	var changes []*change
	for range 2 {
		edition := base + 1 + operator.random.IntN(2)
		changes = append(changes, &change{basedOn: base, edition: edition, document: operator.author.next(from, edition)})
	}
	var group sync.WaitGroup
	for _, one := range changes {
		rival := newOperator(operator.cluster, operator.author, rand.New(rand.NewPCG(operator.random.Uint64(), 2)))
		group.Go(func() {
			_ = rival.replace(one, one.document.body(one.edition, operator.author.services), operator.cluster.acknowledge+operator.cluster.stretch)
		})
	}
	group.Wait()
	operator.catchUp()
}

// invalid sends a configuration that must not be taken.
func (operator *operator) invalid() {
	edition := operator.edition + 1 + operator.random.IntN(3)
	body, how := operator.author.spoil(operator.current, edition, operator.edition)
	one := &change{basedOn: operator.edition, edition: edition, document: document{}, isInvalid: true}
	operator.cluster.history.note("an invalid configuration: %s", how)
	_ = operator.replace(one, body, operator.cluster.acknowledge)
	if one.acknowledged > 0 {
		operator.cluster.history.fail("CONFIG: an invalid configuration was acknowledged: %s by %s", how, one.acknowledgedBy)
	}
	operator.catchUp()
}

// again sends the newest acknowledged change once more, which must not be refused.
func (operator *operator) again() {
	last := operator.acked[len(operator.acked)-1]
	if last.edition != operator.edition {
		return
	}
	machine := pick(operator.random, operator.cluster.of(control))
	status, answer, err := operator.call(machine, "POST", "/Config.Replace", fmt.Sprint(last.basedOn), last.document.body(last.edition, operator.author.services))
	if err == nil && status >= 400 && status < 500 && status != 408 && status != 429 {
		operator.cluster.history.fail("CONFIG: %s refused edition %d, which was acknowledged and is the newest: %d %s", machine.name, last.edition, status, answer)
	}
}
