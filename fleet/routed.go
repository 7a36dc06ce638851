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

// RoutedCallerGroup describes the callers of one route in one zone. Each caller is a closed loop: it
// pauses, sends a request, waits for its end, and starts over.
type RoutedCallerGroup struct {
	Name, Zone, Host, Path string
	Workers                int
	// Pause is the mean time between the end of a request and the start of the next.
	Pause time.Duration
	// Shared is the number of tokens of the prompt's prefix, which is the same for all
	// requests of one of the Groups. Own is the number of the request's own prompt tokens, and
	// Most the number of the answer's tokens.
	Shared, Own, Groups, AnswerTokens int
	// Keys are the API keys of the callers, one for each caller in turn; without any, no key
	// is sent.
	Keys []string
	// Timeout is the caller's timeout for the whole request, Target the target for the time
	// to the first event, and Gap the longest pause between events that is in time.
	Timeout, Target, Gap time.Duration
	// Repeatable requests are retried after any failure; Resume requests continue after the
	// last event received. Tries is the number of attempts of a caller, one or two.
	Repeatable, Resume bool
	Tries              int
	// LocateTTLs is the number of TTLs for which a caller uses its list of daemons, where the
	// protocol permits one; zero means one.
	LocateTTLs int
	// From and Until bound the time in which requests are sent; zero means always.
	From, Until time.Duration
}

// RoutedRequest is one request as its caller saw it.
type RoutedRequest struct {
	ID             string
	Crowd          *RoutedCallerGroup
	At, End        time.Duration
	First          time.Duration // when the first event arrived, zero if none did
	Pause          time.Duration // the longest pause between two events
	Tries          []*RoutedAttempt
	TokensReceived int // number of tokens received in order
	Verdict        string
	Mismatch       string // what was wrong with the answer received, empty if nothing was
	lastEvent      time.Duration
	lastLife       string
}

// RoutedAttempt is one attempt of a request. It has its own ID and goes to one daemon.
type RoutedAttempt struct {
	ID, Daemon, Key string
	Sent, End       time.Duration
	After           int
	// Status is the answer's status, zero if there was none; Code is the code of a rejection.
	Status     int
	Code       string
	RetryAfter time.Duration
	// IsRead is whether the daemon received the request, IsWhole whether the answer ended
	// cleanly, and IsSilent whether the caller gave up because nothing arrived.
	IsRead, IsWhole, IsSilent bool
	Tokens                    int
	request                   *RoutedRequest
}

// promised reports whether the answer guarantees that the attempt has not run and never will.
func (try *RoutedAttempt) promised() bool {
	switch try.Status {
	case 408, 421, 429, 503:
		return true
	}
	return false
}

// Timeouts of callers, as the protocol defines them.
const (
	locateTimeout     = time.Second
	minSilenceTimeout = 2 * time.Second
	silencePerTarget  = 4
	silencePerGap     = 8
	// disconnectDelay is the time until a daemon notices that its caller has disconnected.
	disconnectDelay = 200 * time.Millisecond
)

type requestContent struct {
	parts []decide.Part
	most  int
}

// requestContent returns the content of an attempt's request.
func (cluster *Cluster) requestContent(id string) requestContent { return cluster.contentByAttempt[id] }

// tokenOf parses an event's ID, the number of tokens up to its end.
func tokenOf(id string) int {
	token, _ := strconv.Atoi(id)
	return token
}

// crowdRouted starts the callers of a crowd.
func (cluster *Cluster) crowdRouted(crowd *RoutedCallerGroup) {
	for worker := range crowd.Workers {
		name := fmt.Sprintf("caller-%s-%d", crowd.Name, worker)
		cluster.zones[name] = crowd.Zone
		cluster.Start(name, func(node *sim.Node) {
			caller := &routedCaller{cluster: cluster, node: node, crowd: crowd}
			if len(crowd.Keys) > 0 {
				caller.key = crowd.Keys[worker%len(crowd.Keys)]
			}
			loop.Sleep(node, max(0, crowd.From-node.Now()))
			for {
				loop.Sleep(node, time.Duration(cluster.Draw(int64(2*crowd.Pause)))+time.Microsecond)
				if crowd.Until > 0 && node.Now() > crowd.Until {
					return
				}
				if cluster.Quiet {
					loop.Sleep(node, 100*time.Millisecond)
					continue
				}
				caller.request()
			}
		})
	}
}

// routedCaller is one caller.
type routedCaller struct {
	cluster      *Cluster
	node         *sim.Node
	crowd        *RoutedCallerGroup
	key          string
	daemons      []string
	locatedUntil time.Duration
	// avoidedUntil says until when the caller avoids a daemon that failed it.
	avoidedUntil map[string]time.Duration
}

// chooseDaemon returns a random daemon to send to, or an empty name if none is known.
func (caller *routedCaller) chooseDaemon() string {
	cluster, node := caller.cluster, caller.node
	if node.Now() >= caller.locatedUntil {
		caller.locate()
	}
	var usable []string
	for _, name := range caller.daemons {
		if node.Now() >= caller.avoidedUntil[name] {
			usable = append(usable, name)
		}
	}
	if len(usable) == 0 {
		usable = caller.daemons
	}
	if len(usable) == 0 {
		return ""
	}
	return usable[cluster.Draw(int64(len(usable)))]
}

// locate queries up to three daemons, those in the caller's zone first, for the daemons to
// send to.
func (caller *routedCaller) locate() {
	cluster, node, zone := caller.cluster, caller.node, caller.crowd.Zone
	var near, far []string
	for _, assignment := range cluster.Plan.Datas {
		name, at := split(assignment)
		if at == zone {
			near = append(near, name)
		} else {
			far = append(far, name)
		}
	}
	for _, list := range [][]string{near, far} {
		for index := len(list) - 1; index > 0; index-- {
			other := int(cluster.Draw(int64(index + 1)))
			list[index], list[other] = list[other], list[index]
		}
	}
	candidates := append(near, far...)
	for _, name := range candidates[:min(3, len(candidates))] {
		mailbox := node.Mailbox()
		if !cluster.Node(name).Up() || cluster.closed[name] {
			loop.Sleep(node, time.Millisecond)
			continue
		}
		cluster.Deliver(node, name, func(at *sim.Node) {
			var out []string
			daemon := cluster.Datas[name]
			for _, member := range daemon.Decider.EntryDaemons(caller.crowd.Host, Region(zone), zone) {
				out = append(out, member.Door)
			}
			cluster.Deliver(at, node.Name, func(*sim.Node) { mailbox.Put(out) })
		})
		if item, has := mailbox.Take(locateTimeout); has && len(item.([]string)) > 0 {
			caller.daemons, caller.locatedUntil = item.([]string), node.Now()+cluster.Datas[name].LocateTTL()*time.Duration(max(1, caller.crowd.LocateTTLs))
			return
		}
	}
}

// request sends one request with its retries.
func (caller *routedCaller) request() {
	cluster, node, crowd := caller.cluster, caller.node, caller.crowd
	cluster.drawn++
	number := cluster.drawn
	request := &RoutedRequest{ID: fmt.Sprintf("%s.%d", crowd.Name, number), Crowd: crowd, At: node.Now()}
	cluster.RoutedRequests = append(cluster.RoutedRequests, request)
	defer func() { request.End = node.Now() }()
	content := requestContent{most: crowd.AnswerTokens}
	if crowd.Shared > 0 {
		group := uint64(cluster.Draw(int64(max(1, crowd.Groups))))
		content.parts = append(content.parts, decide.Part{ID: 1<<40 + group<<8 + uint64(len(crowd.Path)), Tokens: crowd.Shared})
	}
	content.parts = append(content.parts, decide.Part{ID: 1<<50 + uint64(number), Tokens: crowd.Own})
	deadline := request.At + crowd.Timeout
	for {
		try := &RoutedAttempt{ID: fmt.Sprintf("%s.%d", request.ID, len(request.Tries)), Key: caller.key, Sent: node.Now(), request: request}
		request.Tries = append(request.Tries, try)
		cluster.contentByAttempt[try.ID], cluster.attempts[try.ID] = content, try
		if crowd.Resume {
			try.After = request.TokensReceived
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
		case !crowd.Resume && request.TokensReceived > 0:
			return // what was received can't be taken back
		}
		loop.Sleep(node, max(20*time.Millisecond, min(try.RetryAfter, remaining/3)))
	}
}

// answerHead and answerEnd are the beginning and the end of a daemon's answer.
type answerHead struct{ status int }

type answerEnd struct {
	failure *verdict.Error // of a rejected request; nil after an answerHead
	err     error
}

// callerConn is a caller's connection to a daemon.
type callerConn struct {
	mailbox  loop.Mailbox
	node     *sim.Node
	isClosed bool
}

// try makes one attempt at a daemon and returns its outcome.
func (caller *routedCaller) try(request *RoutedRequest, try *RoutedAttempt, content requestContent, deadline time.Duration) string {
	cluster, node, crowd := caller.cluster, caller.node, caller.crowd
	name := try.Daemon
	avoid := func() {
		if caller.avoidedUntil == nil {
			caller.avoidedUntil = map[string]time.Duration{}
		}
		caller.avoidedUntil[name] = node.Now() + 2*time.Second
	}
	delay, isOpen := cluster.Reach(node.Name, name)
	switch {
	case !isOpen || cluster.Node(name).Frozen():
		loop.Sleep(node, time.Second) // the dial times out
		avoid()
		return "unreached"
	case !cluster.Node(name).Up() || cluster.closed[name]:
		loop.Sleep(node, 2*delay)
		avoid()
		return "unreached"
	}
	conn := &callerConn{mailbox: node.Mailbox(), node: node}
	cluster.callerConns[name] = append(cluster.callerConns[name], conn)
	callerState := &execute.CallerState{}
	defer func() {
		conn.isClosed = true
		for at, other := range cluster.callerConns[name] {
			if other == conn {
				cluster.callerConns[name] = append(cluster.callerConns[name][:at:at], cluster.callerConns[name][at+1:]...)
				break
			}
		}
		if try.IsWhole || try.Code != "" {
			return
		}
		daemon, life := cluster.Node(name), cluster.Datas[name]
		cluster.At(disconnectDelay, func() {
			if daemon.Up() && cluster.Datas[name] == life {
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
	cluster.Deliver(node, name, func(at *sim.Node) {
		var messages sim.Stream
		send := func(piece any) {
			if !conn.isClosed {
				cluster.Send(&messages, at, node.Name, func(*sim.Node) { conn.mailbox.Put(piece) })
			}
		}
		routed := &decide.Routed{ID: try.ID, Host: crowd.Host, Path: crowd.Path, Key: try.Key, MaxAnswerTokens: content.most, Parts: content.parts, Deadline: at.Now() + remaining}
		for _, part := range content.parts {
			routed.Tokens += part.Tokens
		}
		routed.Bytes = tokenBytes * routed.Tokens
		serveRouted(cluster.Datas[name], routed, replica.RoutedRequest{Method: []byte("POST"), Host: []byte(crowd.Host), URI: []byte(crowd.Path), After: after}, callerState, send)
	})
	silenceTimeout := max(minSilenceTimeout, silencePerTarget*crowd.Target, silencePerGap*crowd.Gap)
	for {
		item, has := conn.mailbox.Take(min(silenceTimeout, deadline-node.Now()))
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
				try.Status, try.Code, try.RetryAfter = item.failure.Status, item.failure.Code, item.failure.ComeBack
				return "declined"
			case item.err != nil:
				return "cut"
			}
			try.IsWhole = true
			if try.Status >= 300 {
				return "failed"
			}
			if request.TokensReceived != crowd.AnswerTokens {
				request.Mismatch = fmt.Sprintf("answer ended cleanly with %d of %d tokens", request.TokensReceived, crowd.AnswerTokens)
			}
			return "ok"
		}
	}
}

// event records a received event, which has to continue where the previous one ended.
func (caller *routedCaller) event(request *RoutedRequest, try *RoutedAttempt, text []byte) {
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
			request.Mismatch = fmt.Sprintf("received malformed event %q", event)
			return
		}
		switch {
		case name != try.ID:
			request.Mismatch = "received an event of attempt " + name
		case from != request.TokensReceived || until <= from || id != until:
			request.Mismatch = fmt.Sprintf("received tokens %d to %d after token %d", from, until, request.TokensReceived)
		case life != request.lastLife && request.lastLife != "" && !caller.crowd.Resume:
			request.Mismatch = "received events of two runs"
		}
		request.TokensReceived, request.lastLife = until, life
		try.Tokens += until - from
	}
}

// serveRouted does what a daemon's HTTP server does with a request, without sockets.
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
