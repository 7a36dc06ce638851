package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"swifttiller/dataplane"
	"swifttiller/decide"
	"swifttiller/execute"
	"swifttiller/loop"
	"swifttiller/replica"
	"swifttiller/sim"
	"swifttiller/verdict"
)

// RoutedCrowd are callers of one route in one zone. Each is a closed loop: a pause, a
// request to its end, and so on.
type RoutedCrowd struct {
	Name, Zone, Host, Path string
	Workers                int
	// Pause is the mean time between a request's end and the next one's beginning.
	Pause time.Duration
	// Shared tokens begin the prompt and are the same for all of one of Groups; Own are
	// the request's. Most are those of the answer.
	Shared, Own, Groups, Most int
	// Keys are those of its callers, who each have one of them; none send no key.
	Keys []string
	// Patience is how long a caller waits for the whole, Target the aim for the first
	// event, Gap the pause between events that is still in time.
	Patience, Target, Gap time.Duration
	// Repeatable requests are tried again after any mishap, Resume ones behind the last
	// event. Tries are those of a caller, one or two.
	Repeatable, Resume bool
	Tries              int
	// Holds are how many times as long as it may a caller goes by its list of daemons;
	// zero means once.
	Holds int
	// From and Until bound it; zero means always.
	From, Until time.Duration
}

// RoutedRequest is one request as its caller saw it.
type RoutedRequest struct {
	ID        string
	Crowd     *RoutedCrowd
	At, End   time.Duration
	First     time.Duration // when the first event came, zero if none did
	Pause     time.Duration // the longest between two events
	Tries     []*RoutedTry
	Got       int // tokens, in order
	Verdict   string
	Wrong     string // what was wrong with what it got; empty when nothing was
	lastEvent time.Duration
	lastLife  string
}

// RoutedTry is one try of it; it has its own id, and goes to one daemon.
type RoutedTry struct {
	ID, Daemon, Key string
	Sent, End       time.Duration
	After           int
	// Status is that of the answer, zero when none came; Code is a decline's.
	Status   int
	Code     string
	ComeBack time.Duration
	// IsRead tells whether the daemon had the request, IsWhole whether the answer ended
	// cleanly, IsSilent whether the caller gave it up.
	IsRead, IsWhole, IsSilent bool
	Tokens                    int
	request                   *RoutedRequest
}

// promised tells whether the try was told that it has not run and never will.
func (try *RoutedTry) promised() bool {
	switch try.Status {
	case 408, 421, 429, 503:
		return true
	}
	return false
}

// Spans of callers, as the protocol has them.
const (
	locateTimeout     = time.Second
	minSilenceTimeout = 2 * time.Second
	silencePerTarget  = 4
	silencePerGap     = 8
	// disconnectDelay is how soon a daemon notices that its caller has gone.
	disconnectDelay = 200 * time.Millisecond
)

type asked struct {
	parts []decide.Part
	most  int
}

// asked is what a try asked for.
func (park *Park) asked(id string) asked { return park.askedOf[id] }

// tokenOf reads the id of an event.
func tokenOf(id string) int {
	token, _ := strconv.Atoi(id)
	return token
}

// crowdRouted starts the callers of a crowd.
func (park *Park) crowdRouted(crowd *RoutedCrowd) {
	for worker := range crowd.Workers {
		name := fmt.Sprintf("caller-%s-%d", crowd.Name, worker)
		park.zones[name] = crowd.Zone
		park.Start(name, func(node *sim.Node) {
			caller := &routedCaller{park: park, node: node, crowd: crowd}
			if len(crowd.Keys) > 0 {
				caller.key = crowd.Keys[worker%len(crowd.Keys)]
			}
			loop.Sleep(node, max(0, crowd.From-node.Now()))
			for {
				loop.Sleep(node, time.Duration(park.Draw(int64(2*crowd.Pause)))+time.Microsecond)
				if crowd.Until > 0 && node.Now() > crowd.Until {
					return
				}
				if park.Quiet {
					loop.Sleep(node, 100*time.Millisecond)
					continue
				}
				caller.request()
			}
		})
	}
}

// routedCaller is one worker.
type routedCaller struct {
	park         *Park
	node         *sim.Node
	crowd        *RoutedCrowd
	key          string
	daemons      []string
	locatedUntil time.Duration
	// avoidedUntil are daemons that failed it, until when.
	avoidedUntil map[string]time.Duration
}

// chooseDaemon gives a daemon to send to; empty when none is known.
func (caller *routedCaller) chooseDaemon() string {
	park, node := caller.park, caller.node
	if node.Now() >= caller.locatedUntil {
		caller.locate()
	}
	var good []string
	for _, name := range caller.daemons {
		if node.Now() >= caller.avoidedUntil[name] {
			good = append(good, name)
		}
	}
	if len(good) == 0 {
		good = caller.daemons
	}
	if len(good) == 0 {
		return ""
	}
	return good[park.Draw(int64(len(good)))]
}

// locate asks up to three daemons, the near ones first, where to go.
func (caller *routedCaller) locate() {
	park, node, zone := caller.park, caller.node, caller.crowd.Zone
	var near, far []string
	for _, assignment := range park.Plan.Datas {
		name, at := split(assignment)
		if at == zone {
			near = append(near, name)
		} else {
			far = append(far, name)
		}
	}
	for _, list := range [][]string{near, far} {
		for index := len(list) - 1; index > 0; index-- {
			other := int(park.Draw(int64(index + 1)))
			list[index], list[other] = list[other], list[index]
		}
	}
	candidates := append(near, far...)
	for _, name := range candidates[:min(3, len(candidates))] {
		mailbox := node.Mailbox()
		if !park.Node(name).Up() || park.closed[name] {
			loop.Sleep(node, time.Millisecond)
			continue
		}
		park.Deliver(node, name, func(at *sim.Node) {
			var out []string
			daemon := park.Datas[name]
			for _, member := range daemon.Decider.EntryDaemons(caller.crowd.Host, Region(zone), zone) {
				out = append(out, member.Door)
			}
			park.Deliver(at, node.Name, func(*sim.Node) { mailbox.Put(out) })
		})
		if item, has := mailbox.Take(locateTimeout); has && len(item.([]string)) > 0 {
			caller.daemons, caller.locatedUntil = item.([]string), node.Now()+park.Datas[name].LocateTTL()*time.Duration(max(1, caller.crowd.Holds))
			return
		}
	}
}

// request takes one request through its tries.
func (caller *routedCaller) request() {
	park, node, crowd := caller.park, caller.node, caller.crowd
	park.drawn++
	number := park.drawn
	request := &RoutedRequest{ID: fmt.Sprintf("%s.%d", crowd.Name, number), Crowd: crowd, At: node.Now()}
	park.RoutedRequests = append(park.RoutedRequests, request)
	defer func() { request.End = node.Now() }()
	content := asked{most: crowd.Most}
	if crowd.Shared > 0 {
		group := uint64(park.Draw(int64(max(1, crowd.Groups))))
		content.parts = append(content.parts, decide.Part{ID: 1<<40 + group<<8 + uint64(len(crowd.Path)), Tokens: crowd.Shared})
	}
	content.parts = append(content.parts, decide.Part{ID: 1<<50 + uint64(number), Tokens: crowd.Own})
	deadline := request.At + crowd.Patience
	for {
		try := &RoutedTry{ID: fmt.Sprintf("%s.%d", request.ID, len(request.Tries)), Key: caller.key, Sent: node.Now(), request: request}
		request.Tries = append(request.Tries, try)
		park.askedOf[try.ID], park.tried[try.ID] = content, try
		if crowd.Resume {
			try.After = request.Got
		}
		try.Daemon = caller.chooseDaemon()
		request.Verdict = "nowhere"
		if try.Daemon != "" {
			request.Verdict = caller.try(request, try, content, deadline)
		}
		try.End = node.Now()
		remaining := deadline - node.Now()
		switch {
		case request.Verdict == "ok" || remaining <= 0 || len(request.Tries) >= max(1, crowd.Tries) && try.Daemon != "" || len(request.Tries) > 8:
			return
		case try.Status >= 200 && try.Status < 300 && !crowd.Resume && !crowd.Repeatable:
			return
		case try.Status >= 400 && try.Status < 500 && !try.promised():
			return
		case !crowd.Repeatable && !try.promised() && try.IsRead:
			return
		case !crowd.Resume && request.Got > 0:
			return // what it has can't be taken back
		}
		loop.Sleep(node, max(20*time.Millisecond, min(try.ComeBack, remaining/3)))
	}
}

// answerHead, doorEnd are what a daemon's answer begins and ends with.
type answerHead struct{ status int }

type answerEnd struct {
	failure *verdict.Error // of a request that was declined; nil behind a head
	err     error
}

// callerConn is a caller's connection to a daemon.
type callerConn struct {
	mailbox  loop.Mailbox
	node     *sim.Node
	isClosed bool
}

// try makes one try at a daemon, and tells how it ended.
func (caller *routedCaller) try(request *RoutedRequest, try *RoutedTry, content asked, deadline time.Duration) string {
	park, node, crowd := caller.park, caller.node, caller.crowd
	name := try.Daemon
	avoid := func() {
		if caller.avoidedUntil == nil {
			caller.avoidedUntil = map[string]time.Duration{}
		}
		caller.avoidedUntil[name] = node.Now() + 2*time.Second
	}
	delay, isOpen := park.Reach(node.Name, name)
	switch {
	case !isOpen || park.Node(name).Frozen():
		loop.Sleep(node, time.Second) // the dial runs out
		avoid()
		return "unreached"
	case !park.Node(name).Up() || park.closed[name]:
		loop.Sleep(node, 2*delay)
		avoid()
		return "unreached"
	}
	conn := &callerConn{mailbox: node.Mailbox(), node: node}
	park.links[name] = append(park.links[name], conn)
	callerState := &execute.CallerState{}
	defer func() {
		conn.isClosed = true
		for at, other := range park.links[name] {
			if other == conn {
				park.links[name] = append(park.links[name][:at:at], park.links[name][at+1:]...)
				break
			}
		}
		if try.IsWhole || try.Code != "" {
			return
		}
		daemon, life := park.Node(name), park.Datas[name]
		park.At(disconnectDelay, func() {
			if daemon.Up() && park.Datas[name] == life {
				daemon.Go(callerState.Disconnect)
			}
		})
	}()
	try.IsRead = true
	after := ""
	if try.After > 0 {
		after = strconv.Itoa(try.After)
	}
	remaining := deadline - node.Now()
	park.Deliver(node, name, func(at *sim.Node) {
		var lane sim.Stream
		send := func(piece any) {
			if !conn.isClosed {
				park.Send(&lane, at, node.Name, func(*sim.Node) { conn.mailbox.Put(piece) })
			}
		}
		routed := &decide.Routed{ID: try.ID, Host: crowd.Host, Path: crowd.Path, Key: try.Key, MaxAnswerTokens: content.most, Parts: content.parts, Deadline: at.Now() + remaining}
		for _, part := range content.parts {
			routed.Tokens += part.Tokens
		}
		routed.Bytes = tokenBytes * routed.Tokens
		serveRouted(park.Datas[name], routed, replica.RoutedRequest{Method: []byte("POST"), Host: []byte(crowd.Host), URI: []byte(crowd.Path), After: after}, callerState, send)
	})
	silence := max(minSilenceTimeout, silencePerTarget*crowd.Target, silencePerGap*crowd.Gap)
	for {
		item, has := conn.mailbox.Take(min(silence, deadline-node.Now()))
		if !has {
			try.IsSilent = true
			avoid()
			return "silent"
		}
		switch item := item.(type) {
		case streamPiece:
			avoid()
			return "reset"
		case answerHead:
			try.Status = item.status
		case []byte:
			caller.event(request, try, item)
		case answerEnd:
			switch {
			case item.failure != nil:
				try.Status, try.Code, try.ComeBack = item.failure.Status, item.failure.Code, item.failure.ComeBack
				return "declined"
			case item.err != nil:
				return "cut"
			}
			try.IsWhole = true
			if try.Status >= 300 {
				return "failed"
			}
			if request.Got != crowd.Most {
				request.Wrong = fmt.Sprintf("looked whole with %d of %d tokens", request.Got, crowd.Most)
			}
			return "ok"
		}
	}
}

// event notes an event that came, which has to go on where the one before ended.
func (caller *routedCaller) event(request *RoutedRequest, try *RoutedTry, text []byte) {
	now := caller.node.Now()
	if request.First == 0 {
		request.First = now
	} else {
		request.Pause = max(request.Pause, now-request.lastEvent)
	}
	request.lastEvent = now
	for _, event := range bytes.SplitAfter(text, []byte("\n\n")) {
		if len(event) == 0 {
			continue
		}
		var id, from, until int
		var name, life string
		if _, err := fmt.Sscanf(string(event), "id: %d\ndata: %s %s %d %d\n\n", &id, &name, &life, &from, &until); err != nil {
			request.Wrong = fmt.Sprintf("got %q", event)
			return
		}
		switch {
		case name != try.ID:
			request.Wrong = "got an event of " + name
		case from != request.Got || until <= from || id != until:
			request.Wrong = fmt.Sprintf("got tokens %d to %d behind %d", from, until, request.Got)
		case life != request.lastLife && request.lastLife != "" && !caller.crowd.Resume:
			request.Wrong = "got pieces of two runs"
		}
		request.Got, request.lastLife = until, life
		try.Tokens += until - from
	}
}

// serveRouted does what a daemon's door does with a request, without sockets.
func serveRouted(daemon *dataplane.Daemon, routed *decide.Routed, request replica.RoutedRequest, callerState *execute.CallerState, send func(any)) {
	if failure := daemon.Decider.Resolve(routed); failure != nil {
		send(answerEnd{failure: failure})
		return
	}
	answer, failure := daemon.Executor.Proxy(routed, request, callerState)
	if failure != nil {
		send(answerEnd{failure: failure})
		return
	}
	defer answer.Close()
	send(answerHead{answer.Status})
	buffer := make([]byte, 4<<10)
	for {
		count, err := answer.Read(buffer)
		if count > 0 {
			send(bytes.Clone(buffer[:count]))
		}
		if errors.Is(err, io.EOF) {
			send(answerEnd{})
			return
		} else if err != nil {
			send(answerEnd{err: err})
			return
		}
	}
}
