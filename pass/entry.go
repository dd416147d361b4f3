package pass

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"egretshunt/block"
	"egretshunt/board"
	"egretshunt/ctrl"
	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/member"
)

// View is what the entry knows of the rest of the system; *ctrl.Feed is the one of production.
type View interface {
	View() *ctrl.View
	List() *member.List
	Changed() <-chan struct{}
	Fresh() bool
	Age() time.Duration
	Where(part string) []block.Holder
	// Open reports whether parts may be saved to a store.
	Open(store netip.AddrPort) bool
	Use(part string)
	EngineClock(now time.Duration) int64
	// Others returns the prompt tokens that the other entries await of an endpoint.
	Others(id string) int
	Entries() int
	// Broke notes that an endpoint broke off under a request with the print.
	Broke(prints ...string)
	// Refuses returns for how long a request with the print is still refused, since it crashes endpoints.
	Refuses(print func() string) time.Duration
}

// Config constructs an Entry.
type Config struct {
	Node, Place string
	View        View
	Backend     Backend
	// Decode reads the bytes of a table set.
	Decode func(body []byte) (*board.Set, error)
	// Fallback lists endpoints while control can't be reached; nil means that there is no other source.
	Fallback func(ctx context.Context) ([]member.Endpoint, error)
	Repeats  limit.RepeatConfig
	// SwapTime is how soon after it was named a version of weights must run all new prompts;
	// zero means no bound.
	SwapTime time.Duration
	// Policy places prompts; "" is Predicted.
	Policy  Policy
	Events  *event.Log
	Metrics *metrics.Set
}

// Entry passes requests on.
type Entry struct {
	config  Config
	meters  meters
	started time.Time
	cancel  context.CancelFunc
	running sync.WaitGroup

	// set is the decoded table set in force.
	set atomic.Pointer[decodedSet]
	// fallback is the list that this entry read itself while control was out of reach.
	fallback atomic.Pointer[fallbackList]
	// open counts requests under way.
	open atomic.Int64

	// mu guards the rest.
	mu             sync.Mutex
	endpointStates map[string]*endpointState
	retryBudgets   map[string]*limit.Repeats
	// firstPromptAt is when the entry first had a prompt that it could serve.
	firstPromptAt time.Time
	// pendingSave holds parts that a request was told to save.
	pendingSave map[string]pendingSave
	// prefillRates are the prompt tokens a second that engines of a pool were seen to compute.
	prefillRates map[string]float64
	// linkTokens are the tokens that requests under way are to read from each source.
	linkTokens map[netip.AddrPort]int
	// targetVersions holds the newest weights by model and when this entry first saw them named.
	targetVersions map[string]timedVersion
}

// pendingSave is a part that a request was told to save.
type pendingSave struct {
	// until is when another request may be told to.
	until time.Time
	// triedStores are the stores in which it has not appeared.
	triedStores []netip.AddrPort
}

// decodedSet is a table set with the document it was read from.
type decodedSet struct {
	document *ctrl.Document
	set      *board.Set
}

type fallbackList struct {
	list *member.List
	at   time.Time
}

// endpointState is what this entry knows of one endpoint from its own requests.
type endpointState struct {
	incarnation int64
	keys        workKeys
	inFlight    int
	// pendingTokens is the prompt tokens sent whose first token has not come, by level of urgency.
	pendingTokens [limit.Levels]int
	// slowness is how much longer first tokens took of late than predicted; zero before the first.
	slowness float64
	health   member.Grade
	// memoryTokens is the tokens that requests under way take up in the engine's memory.
	memoryTokens int
	// alive is when the endpoint last answered though control had it as down.
	alive time.Time
	// fullUntil is until when the endpoint has said that it takes no more.
	fullUntil time.Time
	// replaced is set when another endpoint answered at the address.
	replaced bool
	// versions are weights learned from answers, which are newer than the list.
	versions map[string]timedVersion
}

type timedVersion struct {
	version uint64
	at      time.Time
}

// New returns an entry and starts its duties.
func New(c Config) *Entry {
	if c.Events == nil {
		c.Events = event.Discard()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	e := &Entry{
		config: c, meters: newMeters(c.Metrics), started: time.Now(), endpointStates: map[string]*endpointState{}, retryBudgets: map[string]*limit.Repeats{}, pendingSave: map[string]pendingSave{},
		prefillRates: map[string]float64{}, linkTokens: map[netip.AddrPort]int{}, targetVersions: map[string]timedVersion{},
	}
	c.Metrics.NewGauge("egretshunt_pass_backlog_tokens", func() float64 { return float64(e.backlog()) })
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.running.Go(func() { e.runMaintenance(ctx) })
	return e
}

const (
	// maintenanceInterval is how often the entry cleans up and looks after its list.
	maintenanceInterval = 500 * time.Millisecond
	// fallbackAge is how long control may be silent before the entry reads the list itself.
	fallbackAge = 1500 * time.Millisecond
)

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
		if e.config.Fallback != nil && e.config.View.Age() > fallbackAge {
			e.refreshFallback(ctx)
		}
	}
}

func (e *Entry) removeStale(now time.Time) {
	list := e.list()
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, s := range e.endpointStates {
		if s.inFlight == 0 && (list == nil || list.Find(id) == nil) {
			delete(e.endpointStates, id)
		}
	}
	for name, s := range e.pendingSave {
		if now.Sub(s.until) > saveHistoryTime {
			delete(e.pendingSave, name)
		}
	}
}

// refreshFallback reads the list of endpoints without control.
func (e *Entry) refreshFallback(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	endpoints, err := e.config.Fallback(ctx)
	if err != nil {
		e.config.Events.Emit(event.ListBad, "source", "own", "err", err)
		return
	}
	e.fallback.Store(&fallbackList{list: (&member.List{Endpoints: endpoints}).Index(), at: time.Now()})
}

// list returns the endpoints known best: control's, or an own reading while that is silent.
func (e *Entry) list() *member.List {
	fromControl := e.config.View.List()
	fallback := e.fallback.Load()
	if fallback != nil && e.config.View.Age() > fallbackAge && time.Since(fallback.at) < 10*fallbackAge {
		return fallback.list
	}
	return fromControl
}

// tableSet returns the table set in force, or nil before the first.
func (e *Entry) tableSet() *board.Set {
	doc := e.config.View.View().Set
	if doc == nil {
		return nil
	}
	if a := e.set.Load(); a != nil && a.document == doc {
		return a.set
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.set.Load()
	if a != nil && (a.document == doc || a.document.Number >= doc.Number) {
		return a.set
	}
	set, err := e.config.Decode(doc.Body)
	if err != nil {
		// Control has checked the set before it was accepted.
		e.config.Events.Emit(event.Fault, "set", doc.Number, "err", err)
		if a == nil {
			return nil
		}
		return a.set
	}
	e.set.Store(&decodedSet{doc, set})
	return set
}

// Ready reports whether the entry can serve, and if not why.
func (e *Entry) Ready() (reason string, ok bool) {
	switch {
	case e.tableSet() == nil:
		return reasonNoTables, false
	case !e.config.View.Fresh():
		return reasonStale, false
	case e.list() == nil:
		return reasonNoTables, false
	}
	return "", true
}

// Limits returns the bounds on what callers send; all zero before the first tables.
func (e *Entry) Limits() board.Limits {
	if set := e.tableSet(); set != nil {
		return set.Limits
	}
	return board.Limits{}
}

// Open returns how many requests are under way.
func (e *Entry) Open() int64 { return e.open.Load() }

// endpointState returns the record of an endpoint; the caller holds mu.
func (e *Entry) endpointState(to *member.Endpoint) *endpointState {
	s, ok := e.endpointStates[to.ID]
	if !ok || s.incarnation != to.Born && to.Born != 0 {
		inFlight := 0
		if ok {
			inFlight = s.inFlight
		}
		s = &endpointState{incarnation: to.Born, keys: newWorkKeys(to.ID), inFlight: inFlight, versions: map[string]timedVersion{}}
		e.endpointStates[to.ID] = s
	}
	return s
}

// retryBudget returns the repeats of a pool; the caller holds mu.
func (e *Entry) retryBudget(pool string) *limit.Repeats {
	b, ok := e.retryBudgets[pool]
	if !ok {
		b = limit.NewRepeats(e.config.Repeats)
		e.retryBudgets[pool] = b
	}
	return b
}

// allowRetry takes a repeated send to a pool from the budget.
func (e *Entry) allowRetry(pool string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	allowed := e.retryBudget(pool).Take(time.Now(), e.config.View.Entries())
	e.meters.repeat(pool, allowed)
	return allowed
}

// Close stops the duties.
func (e *Entry) Close() {
	e.cancel()
	e.running.Wait()
}
