// Package decide admits or rejects the requests that reach a data daemon and selects a
// replica for each admitted one. Package execute carries the decisions out.
package decide

import (
	"sync"
	"time"

	"swifttiller/lease"
	"swifttiller/loop"
	"swifttiller/routing"
	"swifttiller/session"
	"swifttiller/tenant"
	"swifttiller/verdict"
	"swifttiller/wire"
)

// Call is one ticketed request of a caller, as its headers describe it. Nothing in it
// refers to a handler's buffers.
type Call struct {
	ID, Ticket        string
	Model, Kind, Home string
	Path              string
	// Retried is set where the caller says that it sent this request before.
	Retried bool
	// QueueTimeout is the caller's limit on the time in the queue; 0 means the limit of the
	// settings.
	QueueTimeout time.Duration
	// Bytes and MaxAnswerTokens determine the cost; Prefix is the hash of the beginning of the
	// prompt.
	Bytes, MaxAnswerTokens int
	Prefix                 uint64

	isRetry       bool // the caller says that it is a retry, or its request id was seen recently
	ticketKey     *ticketKey
	placementHome string // home of the placement, which restricts the regions besides Home
}

// Selection is the replica that an attempt of a request is sent to.
type Selection struct {
	Replica, Address, Version string
	Boot                      string
	Region                    string
	Serial                    uint64
	Cost                      int
	Trial, Spill, Affine      bool
	// PredictedTTFT is the predicted time to first token of a routed request.
	PredictedTTFT time.Duration
	// LastAlive is when the replica last showed that it is alive, as of the selection.
	LastAlive time.Duration
	// IsRegionProbe is set if the circuit breaker of the region is open and this attempt probes it.
	IsRegionProbe bool

	routed   *Routed
	choice   *Choice // nil unless Options.OnChoice is set
	state    *replicaState
	uncached int
	sent     time.Duration
	hasBegun bool
	// isStreaming is set from the first chunk on.
	isStreaming bool
	// isLate is set once the attempt was counted as overdue, isCold if the replica was cold.
	isLate, isCold bool
	// Allowance is the part of the time to first token that is expected in advance on top of
	// the usual one, such as the prefill of uncached prompt tokens. It doesn't count against
	// the replica or its version.
	Allowance time.Duration
	// startedAt is when the attempt was selected, and trialShare what it added to the bucket of a trial.
	startedAt  time.Duration
	trialShare float64
	call       *Call
}

// Options configures a Decider.
type Options struct {
	World loop.World
	Net   wire.Net
	View  func() *lease.View
	// ReportNow, if set, is called when a report is due that a roll-out waits for. It must not wait.
	ReportNow func()
	Self      session.Member
	// StartedAt is when this incarnation started, on the clock of World.
	StartedAt time.Duration
	// Quota, if set, enforces the rate limits of tenants.
	Quota Quota
	// OnChoice, if set, receives the choice behind each attempt of a routed request once the
	// attempt has ended.
	OnChoice func(Choice)
}

// Quota limits the request rate of tenants.
type Quota interface {
	// Take reports whether a request is within the tenant's limit, and if not, when to retry.
	Take(tenant string) (retryAfter time.Duration, isAllowed bool)
	// Refund refunds a request that Take allowed and that was not run.
	Refund(tenant string)
}

// usage is what this daemon has running at a replica: the cost, and the attempts by model and version.
type usage struct {
	units int
	rows  map[routing.ReplicaVersion]int
}

// suspect is a replica whose connection broke, and until when it gets nothing.
type suspect struct {
	until  time.Duration
	region string
}

// queuedRequest is a queued request.
type queuedRequest struct {
	mailbox loop.Mailbox
	model   string
	cost    int
}

// Decider holds the routing and admission state of a data daemon.
//
// Lock order: mu is a leaf lock, and nothing blocks while it is held.
// Invariant: uses[r].units is the summed cost of this daemon's running attempts at
// replica r; a new attempt is admitted only if the sum stays within this daemon's credit
// in the current view.
type Decider struct {
	Options
	mu           sync.Mutex
	uses         map[string]*usage
	queue        []*queuedRequest
	stopped      bool
	drain        *Drain        // nil unless the daemon is stopping
	lastAdmitted time.Duration // when the last request was admitted, on the clock of World
	budget       retryBudget
	// repeatBudgets are the retry budgets of routed requests by model, each earned by the
	// demand for that model alone.
	repeatBudgets map[string]*retryBudget
	trialMonitor  trialMonitor
	window        window
	demand        map[string]*smoothedRate
	// released is the smoothed rate of cost units that end per second, by model.
	released map[string]*smoothedRate
	// suspects are the replicas whose connections broke, and until when they get nothing: by
	// then a maintained routing table shows whether they restarted and are cold.
	suspects map[string]suspect
	// fullUntil is until when replicas that rejected a request for lack of capacity get nothing.
	fullUntil map[string]time.Duration
	// endedBoots is the ended boot of each replica whose new connection showed that it restarted;
	// the routing table may still list that boot.
	endedBoots map[string]string
	// cautiousUntil is until when replicas without a recent sign of life are avoided.
	cautiousUntil time.Duration
	counts        Counts
	tickets       tickets
	// replicas is the state of each replica for routed requests, by replica id.
	replicas map[string]*replicaState
	breakers map[string]*regionBreaker // of other regions, by region
	// lastProbes is when unreachable replicas of a region were last probed, by region.
	lastProbes map[string]time.Duration
	// noReplicaSince is since when no replica has been available for a route, by route name.
	noReplicaSince map[string]time.Duration
	// lastRepeatable is when a model last received a request that may be repeated.
	lastRepeatable map[string]time.Duration
	// outbound are the health reports that are to be sent to peers.
	outbound outbound
	// lastThrottled is when a request last found a replica rate limited as cold only because no leader
	// maintains the routing table of its region.
	lastThrottled time.Duration
	// learnedPrefillRate is the learned prefill rate of the replicas in tokens per
	// millisecond, zero until learned.
	learnedPrefillRate float64
	// baseLatency is the learned part of the time to first token that doesn't depend on the prompt.
	baseLatency time.Duration
	// digests are the digests of the routing tables last reported on, by region.
	digests map[string]*digest
	// tenants counts requests for the reports on heavy tenants.
	tenants tenant.WindowCounter
}

// Counts are the counters that operators monitor.
type Counts struct {
	Demanded, Retries, Allowed, Redispatches uint64
	Attempts, Trials, Spilled, Affine        uint64
	Rejected                                 map[string]uint64
	located                                  uint64
}

// New returns a Decider without any requests.
func New(options Options) *Decider {
	decider := &Decider{Options: options, uses: map[string]*usage{}, trialMonitor: newTrialMonitor(), demand: map[string]*smoothedRate{}, released: map[string]*smoothedRate{}, suspects: map[string]suspect{}, fullUntil: map[string]time.Duration{}, endedBoots: map[string]string{}, replicas: map[string]*replicaState{}, breakers: map[string]*regionBreaker{}, lastProbes: map[string]time.Duration{}, noReplicaSince: map[string]time.Duration{}, lastRepeatable: map[string]time.Duration{}, repeatBudgets: map[string]*retryBudget{}, digests: map[string]*digest{}}
	decider.counts.Rejected = map[string]uint64{}
	decider.window.totals = map[routing.Outcome]routing.Outcome{}
	decider.tickets.init()
	return decider
}

// reject counts and returns the rejection of a request that was not run.
func (decider *Decider) reject(status int, code, message string, retryAfter time.Duration) *verdict.Error {
	decider.counts.Rejected[code]++
	return verdict.Reject(status, code, message, retryAfter)
}

// Gate is the last check before bytes are sent to a replica. It returns the version of the
// configuration that the attempt is made under.
func (decider *Decider) Gate(selection *Selection) (uint64, *verdict.Error) {
	view := decider.View()
	decider.mu.Lock()
	defer decider.mu.Unlock()
	// A stop still admits what was allowed before it; a lost lease does not.
	isServing := view.IsValid(decider.World.Now()) || selection.routed != nil && view.MayServe(decider.World.Now())
	if !isServing {
		return 0, decider.reject(503, "no_permit", "the lease expired before the attempt", time.Second)
	}
	if row, _ := findRow(view, selection); row == nil {
		return 0, decider.reject(503, "moved_on", "the replica is no longer in use for this model and version", 0)
	}
	selection.Serial = view.Serial
	if selection.state != nil {
		selection.state.isUnreachable = false // the connection is established
	}
	return view.Serial, nil
}

// findRow looks up the row and endpoint of a selection in a view; nil if it is no longer in use.
func findRow(view *lease.View, selection *Selection) (*routing.Row, *routing.Endpoint) {
	table, known := view.RoutingTables[selection.Region]
	if !known {
		return nil, nil
	}
	for at := range table.Places {
		endpoint := &table.Places[at]
		if endpoint.ID != selection.Replica || view.Evacuated[endpoint.Zone] {
			continue
		}
		for index := range table.Rows {
			row := &table.Rows[index]
			if row.Replica == selection.Replica && row.Model == selection.call.Model && row.Version == selection.Version {
				return row, endpoint
			}
		}
	}
	return nil, nil
}

// WakeQueue makes all queued requests look at a new view.
func (decider *Decider) WakeQueue() {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	for _, waiting := range decider.queue {
		waiting.mailbox.Put(nil)
	}
}

// IdleTime returns how long ago the last request arrived that could be admitted but for a stop.
func (decider *Decider) IdleTime() time.Duration {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	return decider.World.Now() - decider.lastAdmitted
}

// Running returns the number of running attempts and queued requests.
func (decider *Decider) Running() int {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	running := len(decider.queue)
	for _, used := range decider.uses {
		for _, count := range used.rows {
			running += count
		}
	}
	return running
}

// Count returns a copy of the counters.
func (decider *Decider) Count() Counts {
	decider.mu.Lock()
	defer decider.mu.Unlock()
	counts := decider.counts
	counts.Rejected = map[string]uint64{}
	for code, count := range decider.counts.Rejected {
		counts.Rejected[code] = count
	}
	return counts
}

// flow returns the rate of a model in the table, which it creates if need be.
func (decider *Decider) flow(table map[string]*smoothedRate, model string) *smoothedRate {
	rate := table[model]
	if rate == nil {
		rate = &smoothedRate{}
		table[model] = rate
	}
	return rate
}
