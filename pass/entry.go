package pass

import (
	"cmp"
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"egretshunt/block"
	"egretshunt/board"
	"egretshunt/clock"
	"egretshunt/ctrl"
	"egretshunt/event"
	"egretshunt/fence"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/origin"
	"egretshunt/tally"
	"egretshunt/value"
)

// View is the entry's view of the rest of the system. In production it is a *ctrl.Feed.
type View interface {
	View() *ctrl.View
	// Snapshot returns the view together with its age.
	Snapshot() ctrl.Snapshot
	List() *member.List
	Changed() <-chan struct{}
	Age() time.Duration
	Holders(part string) []block.Holder
	// AcceptsParts reports whether parts may be saved to a store.
	AcceptsParts(store netip.AddrPort) bool
	RecordUse(part string)
	EngineClock(now time.Duration) int64
	// TargetAge returns for how long a version of weights has been the target that became it at the given time of control, or for a
	// little longer; see ctrl.Feed.
	TargetAge(at time.Time, paused time.Duration) time.Duration
	// OtherWork returns the work that the other entries have outstanding, by the names of
	// OutstandingTokens and in units of ctrl.WorkUnitTokens; nil if it isn't known. The snapshot is
	// the same until another is known.
	OtherWork() *tally.Snapshot
	EntryCount() int
	// RecordCrash records that an incarnation of an endpoint ended while it ran a request. The report
	// needs no ID.
	RecordCrash(r limit.CrashReport)
	// RecordCompletion records that an endpoint has run the request with the fingerprint to the end, or has
	// begun to respond to a prompt with the part that the fingerprint is of.
	RecordCompletion(fingerprint func() string)
	// RejectedFor returns for how long requests with the fingerprint, or prompts with a part, are still
	// rejected because they crash endpoints; zero if they aren't.
	RejectedFor(fingerprint func() string) time.Duration
	// RecordRate records that an endpoint's answer named a limit, or none, by the answer to a request that was sent at a time.
	RecordRate(run limit.EndpointRun, rate value.Option[float64], sentAt time.Time)
	// NamedRate returns the limit that an endpoint has named. PermitCount returns how many requests may be sent now to one that
	// has, TakePermit uses one of these permits, and Permitted returns a channel that is closed when there are further ones.
	NamedRate(run limit.EndpointRun) (rate float64, named bool)
	PermitCount(run limit.EndpointRun) int
	TakePermit(run limit.EndpointRun) bool
	Permitted() <-chan struct{}
	// Cold returns what control says of cold endpoints, and when this entry may send to them.
	Cold() *ctrl.Cold
	// SinceEvacuation returns how long ago the latest evacuation of a place ended; false if the place is evacuated or wasn't lately.
	SinceEvacuation(place string) (ago time.Duration, ok bool)
	// BeginStream records that a resumable stream is about to begin at a build, or goes on there, and EndStream that it ended:
	// completed, or broken off. AwaitStart waits until control has recorded the latest start; an error says that it hasn't.
	BeginStream(start origin.Start)
	AwaitStart(ctx context.Context, key origin.Key) error
	EndStream(key origin.Key, completed bool)
	// Origin returns the build at which a stream of a pool began; false if nobody knows. An error says that control couldn't be
	// asked.
	Origin(ctx context.Context, key origin.Key, pool string) (b origin.Build, known bool, err error)
	// IsSuspected reports whether requests with the fingerprint are rejected after one more crash.
	IsSuspected(fingerprint func() string) bool
}

// Config holds the parameters of an Entry.
type Config struct {
	Node, Place string
	View        View
	Backend     Backend
	// Decode parses a serialized table set.
	Decode func(body []byte) (*board.Set, error)
	// Fallback lists the endpoints while control is unreachable; nil if there is no other
	// source.
	Fallback func(ctx context.Context) ([]member.Endpoint, error)
	// ListCallsPerSecond is the rate of calls that the fallback source accepts from all entries; zero
	// means that it isn't known.
	ListCallsPerSecond float64
	RetryLimiter       limit.RetryLimiterConfig
	// MaxDenialAge is how old the tables may be, since control last confirmed them, when the entry
	// denies a request for good; older ones reject it for now. Zero means that the lease alone counts.
	MaxDenialAge time.Duration
	// RolloutTimeout is how long after a target version of weights was set all new prompts must run
	// on it; zero means no bound.
	RolloutTimeout time.Duration
	// ColdExcess and ColdSlack bound the requests that a cold endpoint gets in any second from all entries; see limit.ColdBound. The rates
	// are those of the pools.
	ColdExcess, ColdSlack float64
	// ListLag is how far the list of endpoints lags behind them; zero means defaultListLag.
	ListLag time.Duration
	// Wait returns how long work waits for the processor of this process; nil means that the entry
	// measures it.
	Wait func() time.Duration
	// Budget counts the bytes of responses that are held back until an event or a response is complete; nil means one of default size.
	Budget *limit.Budget
	// RegionOf returns the region of a data centre, "" if it isn't known; nil means that none is.
	RegionOf func(place string) string
	// KeepsToPlace is set if requests leave the entry's data centre only where that pays; otherwise data centres don't count in placement, except for
	// plain requests of equal load.
	KeepsToPlace bool
	// TimePerByte is as how many nanoseconds a byte that a request moves between data centres counts in the choice of one; zero
	// means route.DefaultTimePerByte.
	TimePerByte float64
	// Policy selects the placement of prompts; "" means Predicted.
	Policy  Policy
	Events  *event.Log
	Metrics *metrics.Set
}

// Entry forwards client requests to endpoints and relays the responses.
type Entry struct {
	config  Config
	meters  meters
	started time.Time
	cancel  context.CancelFunc
	running sync.WaitGroup
	// lastDeadline is the latest deadline of requests that are still taken; nil unless the entry is being stopped.
	lastDeadline atomic.Pointer[time.Time]
	// ending ends with endRequests, when open requests must get their final answers.
	ending      context.Context
	endRequests context.CancelFunc

	admission *Admission
	// fallback is the list that this entry read itself while control was unreachable.
	fallback atomic.Pointer[fallbackList]
	// open is the number of requests in progress.
	open atomic.Int64
	// lag is how long work waits for the processor.
	lag limit.Lag
	// rateWaiting tells that a request has begun to wait for a permit.
	rateWaiting chan struct{}

	// mu guards the fields below.
	mu             sync.Mutex
	endpointStates map[string]*endpointState
	// distances is what is known of the data centres.
	distances distances
	// generation changes whenever endpointStates gains or loses a state.
	generation   uint64
	topology     *topology
	scratch      placementScratch
	retryBudgets map[string]*limit.RetryLimiter
	// firstPromptAt is when the entry first received a prompt that it could serve.
	firstPromptAt time.Time
	// pendingSave holds the claims to save parts, by part name.
	pendingSave map[string]pendingSave
	// prefillRates are the observed prefill rates of a pool's engines, in prompt tokens per
	// second.
	prefillRates map[string]float64
	// linkTokens are the tokens that requests in progress have yet to read from each source.
	linkTokens map[netip.AddrPort]*int
	// rateQueues hold the requests that wait for a permit, by pool.
	rateQueues map[string]*rateQueue
	// coldTurns are this entry's turns at cold endpoints.
	coldTurns *limit.ColdTurns
	// unanswered holds the runs whose endpoint may have ended without a sign.
	unanswered limit.UnansweredRuns
	// targets holds the target versions of each model's weights by this entry's clock.
	targets map[string]fence.Targets
}

// pendingSave is a request's claim to save a part.
type pendingSave struct {
	// until is when the claim expires and another request may make one.
	until time.Time
	// triedStores are the stores to which the part was assigned without appearing there.
	triedStores []netip.AddrPort
}

// endpointState is what this entry has learned about one endpoint from its own requests.
type endpointState struct {
	incarnation int64
	inFlight    int
	// former is the state of an earlier incarnation, to which requests may still be open; nil if there is none.
	former *endpointState
	// pendingTokens are the prompt tokens sent whose first output token is outstanding, by
	// level of urgency.
	pendingTokens [limit.UrgencyLevels]int
	// slowness is the moving average of the observed time to first token divided by the
	// predicted one; zero before the first observation.
	slowness float64
	health   member.OutlierDetector
	// memoryTokens are the tokens that requests in progress can occupy in the engine's memory.
	memoryTokens int
	// alive is when the endpoint last sent response data although control reported it down.
	alive time.Time
	// fullUntil is when an endpoint that reported itself full may get requests again.
	fullUntil time.Time
	// ended is set while this entry knows that the endpoint's process has ended.
	ended bool
	// endedAt is when nothing last listened at the endpoint's address; zero if something always did.
	endedAt time.Time
	// lostAt is when a connection to it was last refused or ended, by clock.Now; zero if none was.
	lostAt time.Duration
	// leavingAt is when the endpoint said that it is leaving; zero if it hasn't.
	leavingAt time.Time
	// replaced is set once another endpoint has responded at the address.
	replaced bool
	// versions are the weights versions observed in responses, by model.
	versions map[string]observedVersion
}

// observedVersion is what an entry has heard of the weights of an endpoint.
type observedVersion struct {
	// observed is the version that a response named at a time; zero if there was none.
	observed uint64
	at       time.Time
	// listed is the version that the list shows, since listedAt to this entry's knowledge.
	listed   uint64
	listedAt time.Time
}

// defaultListLag is the default of Config.ListLag.
const defaultListLag = 2 * time.Second

// New returns an entry and starts its background maintenance.
func New(c Config) *Entry {
	if c.Events == nil {
		c.Events = event.Discard()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	c.ListLag = cmp.Or(c.ListLag, defaultListLag)
	if c.Budget == nil {
		c.Budget = limit.NewBudget(limit.BudgetConfig{})
	}
	e := &Entry{
		config: c, meters: newMeters(c.Metrics), started: time.Now(), targets: map[string]fence.Targets{}, endpointStates: map[string]*endpointState{}, retryBudgets: map[string]*limit.RetryLimiter{}, pendingSave: map[string]pendingSave{},
		prefillRates: map[string]float64{}, linkTokens: map[netip.AddrPort]*int{}, rateQueues: map[string]*rateQueue{}, coldTurns: limit.NewColdTurns(clock.Now()), rateWaiting: make(chan struct{}, 1),
		distances: newDistances(),
		admission: NewAdmission(AdmissionConfig{View: c.View, Decode: c.Decode, MaxDenialAge: c.MaxDenialAge, Events: c.Events}),
	}
	c.Metrics.NewGauge("egretshunt_pass_held_bytes", func() float64 { return float64(e.HeldBytes()) })
	c.Metrics.NewGauge("egretshunt_pass_processor_wait_seconds", func() float64 { return e.waitForProcessor().Seconds() })
	c.Metrics.NewGauge("egretshunt_pass_backlog_tokens", func() float64 { return float64(e.backlog()) })
	c.Metrics.NewGauge("egretshunt_pass_evacuated_places", func() float64 { return float64(e.evacuatedPlaces()) })
	c.Metrics.NewGauge("egretshunt_pass_cold_endpoints", e.coldCount)
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.ending, e.endRequests = context.WithCancel(context.Background())
	e.running.Go(func() { e.runMaintenance(ctx) })
	if c.Wait == nil {
		e.running.Go(func() { e.measureLag(ctx) })
	}
	e.running.Go(func() { e.runRateQueues(ctx) })
	return e
}

// maintenanceInterval is how often the entry removes stale state and checks the age of its list.
const maintenanceInterval = 500 * time.Millisecond

func (e *Entry) runMaintenance(ctx context.Context) {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		e.removeStale(time.Now())
		e.reportSilentEnds(time.Now())
		if e.fallbackDue(time.Now()) {
			e.refreshFallback(ctx)
		}
	}
}

// measureLag measures how long work waits for the processor.
func (e *Entry) measureLag(ctx context.Context) {
	for {
		next := e.lag.Tick(clock.Now())
		select {
		case <-time.After(next - clock.Now()):
		case <-ctx.Done():
			return
		}
	}
}

// waitForProcessor returns how long work waits for the processor.
func (e *Entry) waitForProcessor() time.Duration {
	if e.config.Wait != nil {
		return e.config.Wait()
	}
	return e.lag.At(clock.Now())
}

// leavingMemory is how long an entry remembers of an endpoint that isn't listed that it is leaving: the list
// may show it again.
const leavingMemory = 10 * time.Minute

func (e *Entry) removeStale(now time.Time) {
	list := e.list()
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, s := range e.endpointStates {
		s.dropFormer()
		if s.inFlight == 0 && s.former == nil && (list == nil || list.Find(id) == nil) && now.Sub(s.leavingAt) > leavingMemory {
			delete(e.endpointStates, id)
			e.generation++
		}
	}
	e.distances.dropFlows(clock.Now())
	if list != nil {
		e.coldTurns.Keep(func(id string) bool { return list.Find(id) != nil })
	}
	for at, tokens := range e.linkTokens {
		if *tokens == 0 && (e.topology == nil || e.topology.sourceAt(at) == notSource) {
			delete(e.linkTokens, at)
		}
	}
	for name, s := range e.pendingSave {
		if now.Sub(s.until) > saveHistoryTime {
			delete(e.pendingSave, name)
		}
	}
}

// Ready reports whether the entry can serve requests, and the reason if it can't.
func (e *Entry) Ready() (reason string, ok bool) {
	switch t := e.admission.tables(); {
	case t.set == nil && t.expired != reasonUnreadable:
		return reasonNoTables, false
	case t.expired != "":
		return t.expired, false
	case e.list() == nil:
		return reasonNoTables, false
	}
	return "", true
}

// Limits returns the bounds on client requests and connections; all are zero before the first
// table set.
func (e *Entry) Limits() board.Limits {
	if set := e.admission.tables().set; set != nil {
		return set.Limits
	}
	return board.Limits{}
}

// InFlight returns the number of requests in progress.
func (e *Entry) InFlight() int64 { return e.open.Load() }

// HeldBytes returns how many bytes of responses are held back.
func (e *Entry) HeldBytes() int64 { return e.config.Budget.Stats().Bytes[limit.UseResponse] }

// endpointState returns the state of an endpoint's incarnation. The caller holds mu.
func (e *Entry) endpointState(to *member.Endpoint) *endpointState {
	current := e.endpointStates[to.ID]
	for s := current; s != nil; s = s.former {
		if s.incarnation == to.Born || to.Born == 0 {
			return s
		}
	}
	s := &endpointState{incarnation: to.Born, former: current, versions: map[string]observedVersion{}}
	e.endpointStates[to.ID] = s
	e.generation++
	return s
}

// dropFormer drops the states of earlier incarnations without requests.
func (s *endpointState) dropFormer() {
	for s.former != nil {
		if s.former.inFlight == 0 {
			s.former = s.former.former
		} else {
			s = s.former
		}
	}
}

// retryBudget returns the retry budget of a pool. The caller holds mu.
func (e *Entry) retryBudget(pool string) *limit.RetryLimiter {
	b, ok := e.retryBudgets[pool]
	if !ok {
		b = limit.NewRetryLimiter(e.config.RetryLimiter)
		e.retryBudgets[pool] = b
	}
	return b
}

// allowRetry reports whether the retry budget of a pool allows another retry, and charges it.
func (e *Entry) allowRetry(pool string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	allowed := e.retryBudget(pool).Take(time.Now(), e.config.View.EntryCount())
	e.meters.repeat(pool, allowed)
	return allowed
}

// Close stops the background maintenance.
func (e *Entry) Close() {
	e.cancel()
	e.endRequests()
	e.running.Wait()
}
