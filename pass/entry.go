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
	set atomic.Pointer[adopted]
	// own is the list that this entry read itself while control was out of reach.
	own atomic.Pointer[ownList]
	// open counts requests under way.
	open atomic.Int64

	// mu guards the rest.
	mu      sync.Mutex
	seats   map[string]*seat
	budgets map[string]*limit.Repeats
	// firstPrompt is when the entry first had a prompt that it could serve.
	firstPrompt time.Time
	// saving holds parts that a request was told to save.
	saving map[string]saving
	// rates are the prompt tokens a second that engines of a pool were seen to compute.
	rates map[string]float64
	// links are the tokens that requests under way are to read from each source.
	links map[netip.AddrPort]int
	// named holds the newest weights by model and when this entry first saw them named.
	named map[string]learned
}

// saving is a part that a request was told to save.
type saving struct {
	// until is when another request may be told to.
	until time.Time
	// tried are the stores in which it has not appeared.
	tried []netip.AddrPort
}

// adopted is a table set with the document it was read from.
type adopted struct {
	document *ctrl.Document
	set      *board.Set
}

type ownList struct {
	list *member.List
	at   time.Time
}

// seat is what this entry knows of one endpoint from its own requests.
type seat struct {
	born   int64
	keys   seatKeys
	flying int
	// awaited is the prompt tokens sent whose first token has not come, by level of urgency.
	awaited [limit.Levels]int
	// slow is how much longer first tokens took of late than predicted; zero before the first.
	slow  float64
	grade member.Grade
	// memory is the tokens that requests under way take up in the engine's memory.
	memory int
	// heard is when the endpoint last answered though control had it as down.
	heard time.Time
	// full is until when the endpoint has said that it takes no more.
	full time.Time
	// gone is set when another endpoint answered at the address.
	gone bool
	// versions are weights learned from answers, which are newer than the list.
	versions map[string]learned
}

type learned struct {
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
		config: c, meters: newMeters(c.Metrics), started: time.Now(), seats: map[string]*seat{}, budgets: map[string]*limit.Repeats{}, saving: map[string]saving{},
		rates: map[string]float64{}, links: map[netip.AddrPort]int{}, named: map[string]learned{},
	}
	c.Metrics.NewGauge("egretshunt_pass_backlog_tokens", func() float64 { return float64(e.backlog()) })
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.running.Go(func() { e.housekeep(ctx) })
	return e
}

const (
	// houseTime is how often the entry cleans up and looks after its list.
	houseTime = 500 * time.Millisecond
	// fallbackAge is how long control may be silent before the entry reads the list itself.
	fallbackAge = 1500 * time.Millisecond
)

func (e *Entry) housekeep(ctx context.Context) {
	t := time.NewTicker(houseTime)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		e.clean(time.Now())
		if e.config.Fallback != nil && e.config.View.Age() > fallbackAge {
			e.readList(ctx)
		}
	}
}

func (e *Entry) clean(now time.Time) {
	list := e.list()
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, s := range e.seats {
		if s.flying == 0 && (list == nil || list.Find(id) == nil) {
			delete(e.seats, id)
		}
	}
	for name, s := range e.saving {
		if now.Sub(s.until) > savingAge {
			delete(e.saving, name)
		}
	}
}

// readList reads the list of endpoints without control.
func (e *Entry) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	endpoints, err := e.config.Fallback(ctx)
	if err != nil {
		e.config.Events.Emit(event.ListBad, "source", "own", "err", err)
		return
	}
	e.own.Store(&ownList{list: (&member.List{Endpoints: endpoints}).Index(), at: time.Now()})
}

// list returns the endpoints known best: control's, or an own reading while that is silent.
func (e *Entry) list() *member.List {
	theirs := e.config.View.List()
	own := e.own.Load()
	if own != nil && e.config.View.Age() > fallbackAge && time.Since(own.at) < 10*fallbackAge {
		return own.list
	}
	return theirs
}

// current returns the table set in force, or nil before the first.
func (e *Entry) current() *board.Set {
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
	e.set.Store(&adopted{doc, set})
	return set
}

// Ready reports whether the entry can serve, and if not why.
func (e *Entry) Ready() (why string, ok bool) {
	switch {
	case e.current() == nil:
		return whyNoTables, false
	case !e.config.View.Fresh():
		return whyStale, false
	case e.list() == nil:
		return whyNoTables, false
	}
	return "", true
}

// Limits returns the bounds on what callers send; all zero before the first tables.
func (e *Entry) Limits() board.Limits {
	if set := e.current(); set != nil {
		return set.Limits
	}
	return board.Limits{}
}

// Open returns how many requests are under way.
func (e *Entry) Open() int64 { return e.open.Load() }

// seat returns the record of an endpoint; the caller holds mu.
func (e *Entry) seat(to *member.Endpoint) *seat {
	s, ok := e.seats[to.ID]
	if !ok || s.born != to.Born && to.Born != 0 {
		flying := 0
		if ok {
			flying = s.flying
		}
		s = &seat{born: to.Born, keys: keysOf(to.ID), flying: flying, versions: map[string]learned{}}
		e.seats[to.ID] = s
	}
	return s
}

// budget returns the repeats of a pool; the caller holds mu.
func (e *Entry) budget(pool string) *limit.Repeats {
	b, ok := e.budgets[pool]
	if !ok {
		b = limit.NewRepeats(e.config.Repeats)
		e.budgets[pool] = b
	}
	return b
}

// mayRepeat takes a repeated send to a pool from the budget.
func (e *Entry) mayRepeat(pool string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	allowed := e.budget(pool).Take(time.Now(), e.config.View.Entries())
	e.meters.repeat(pool, allowed)
	return allowed
}

// Close stops the duties.
func (e *Entry) Close() {
	e.cancel()
	e.running.Wait()
}
