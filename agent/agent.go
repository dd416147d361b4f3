package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"egretshunt/ctrl"
	"egretshunt/event"
	"egretshunt/fence"
	"egretshunt/limit"
	"egretshunt/ring"
	"egretshunt/table"
	"egretshunt/wire"
)

// Config constructs an Agent.
type Config struct {
	// Pool and Endpoint name what the agent stands beside, as the table does.
	Pool, Endpoint string
	Backend        Backend
	// Kind is the kind of the pool.
	Kind table.Kind
	// Key seeds the names of kept blocks; the same on all agents.
	Key []byte
	// Slots is how many requests run on the endpoint at once, Waiting how many wait.
	Slots, Waiting int
	// Prefill is the assumed prefill rate before any was measured, in tokens a second.
	Prefill float64
	// CallTime bounds one call of a plain service.
	CallTime time.Duration
	Follow   *ctrl.Follow
	// Control takes reports of crashes.
	Control Proposer
	// Peers opens streams to stores.
	Peers  *wire.Pool
	Events *event.Log
}

// Proposer carries commands to the control plane.
type Proposer interface {
	Propose(ctx context.Context, c ctrl.Command) (ctrl.Result, error)
}

// Defaults of a Config.
const (
	DefaultSlots    = 16
	DefaultWaiting  = 256
	DefaultPrefill  = 10_000
	DefaultCallTime = 30 * time.Second
)

const (
	// healthInterval is how often the endpoint is asked for its health.
	healthInterval = 250 * time.Millisecond
	// cacheEventInterval is how often cache events are fetched.
	cacheEventInterval = 200 * time.Millisecond
	// loadInterval is how often a watching entry is told the load when it changes.
	loadInterval = 100 * time.Millisecond
	// maxPendingSaves bounds the blocks that wait to be kept.
	maxPendingSaves = 1024
)

// Agent stands beside one endpoint.
type Agent struct {
	config       Config
	incarnation  string
	slots        *slots
	attempts     *attemptTable
	pendingSaves *ring.Ring[saveJob]
	cancel       context.CancelFunc
	ctx          context.Context
	tasks        sync.WaitGroup
	started      time.Time
	draining     atomic.Bool

	// mu guards exchanges.
	mu        sync.Mutex
	exchanges map[string]*exchange

	// healthMu serialises questions for the endpoint's health; it is taken before engine.
	healthMu sync.Mutex

	// engineMu guards what is known of the endpoint.
	engineMu sync.Mutex
	health   Health
	// responding is false while the endpoint does not answer for its health.
	responding      bool
	loading         string
	fencing         fence.Gate
	tokensPerSecond float64
	link            *limit.Link
	cache           *mirror

	// weightsMu is held for reading while a run is handed to the engine, and for
	// writing while the engine changes its weights.
	weightsMu sync.RWMutex

	Counters
}

// Counters are the agent's metrics.
type Counters struct {
	Accepted, Refused, Crashes, Fenced                               atomic.Uint64
	Reused, Fetched, Computed, Saved, FetchedBytes, SavedBytes       atomic.Uint64
	WrongBlocks, SlowStores, Resumed, Duplicates, Revoked, Abandoned atomic.Uint64
}

// New starts an agent.
func New(c Config) *Agent {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.Waiting == 0 {
		c.Waiting = DefaultWaiting
	}
	if c.Prefill == 0 {
		c.Prefill = DefaultPrefill
	}
	if c.CallTime == 0 {
		c.CallTime = DefaultCallTime
	}
	if c.Events == nil {
		c.Events = event.Discard()
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		config: c, incarnation: uuid.NewString(), slots: newSlots(c.Slots, c.Waiting), attempts: newAttemptTable(),
		pendingSaves: ring.New[saveJob](maxPendingSaves), cancel: cancel, ctx: ctx, started: time.Now(),
		exchanges: map[string]*exchange{}, tokensPerSecond: c.Prefill, link: limit.NewLink(0), cache: newMirror(),
	}
	a.updateHealth(ctx)
	a.tasks.Go(func() { every(ctx, healthInterval, a.updateHealth) })
	a.tasks.Go(func() { every(ctx, time.Second, a.removeExpired) })
	if _, ok := c.Backend.(Engine); ok {
		a.tasks.Go(func() { every(ctx, cacheEventInterval, a.pollCacheEvents) })
		a.tasks.Go(func() { a.saveBlocks(ctx) })
	}
	return a
}

// every calls f at an interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// updateHealth asks the endpoint for its health and notes a new incarnation.
func (a *Agent) updateHealth(ctx context.Context) {
	// One at a time: an answer from before a change must not come after one from behind it.
	a.healthMu.Lock()
	defer a.healthMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	h, err := a.config.Backend.Health(ctx)
	a.engineMu.Lock()
	defer a.engineMu.Unlock()
	a.responding = err == nil
	if err != nil {
		return
	}
	if h.Incarnation != a.health.Incarnation {
		a.cache.reset()
	}
	a.health = h
	if a.config.Follow != nil && a.config.Follow.Fresh(time.Now()) {
		a.fencing.Confirm(a.config.Follow.View().Epoch)
	}
	if p, ok := a.tables().Pools[a.config.Pool]; ok {
		a.link.SetBudget(p.Link)
	}
}

func (a *Agent) tables() *table.Tables {
	if a.config.Follow == nil {
		return table.Empty()
	}
	return a.config.Follow.Tables()
}

// removeExpired gives up answers that nobody reads and forgets old work.
func (a *Agent) removeExpired(context.Context) {
	now := time.Now()
	a.attempts.expire(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, x := range a.exchanges {
		if !x.isAbandoned(now) {
			continue
		}
		if x.isDone() {
			delete(a.exchanges, id)
		} else if !x.atMostOnce {
			a.Abandoned.Add(1)
			x.cancel()
		}
	}
}

// Handle serves one stream whose first frame was already read.
func (a *Agent) Handle(ctx context.Context, s *wire.Stream, first *wire.Frame) {
	switch body := first.GetBody().(type) {
	case *wire.Frame_Offer:
		a.serveOffer(ctx, s, body.Offer, first.GetRev())
	case *wire.Frame_Resume:
		a.serveResume(ctx, s, body.Resume)
	case *wire.Frame_Revoke:
		a.serveRevoke(ctx, s, body.Revoke)
	case *wire.Frame_Watch:
		a.serveWatch(ctx, s)
	case *wire.Frame_Order:
		a.serveCommand(s, body.Order)
	}
}

// Load describes the endpoint to entries and to control.
func (a *Agent) Load() *wire.Load {
	tokens, running, waiting := a.slots.load()
	a.engineMu.Lock()
	defer a.engineMu.Unlock()
	return &wire.Load{
		Boot: a.incarnation, Version: a.health.Version, Loading: a.loading, Leaving: a.draining.Load(), Down: !a.responding,
		Queue: uint64(tokens), Running: uint32(running), Waiting: uint32(waiting), Rate: uint32(a.tokensPerSecond),
		Link: uint64(a.link.Rate()), Backlog: uint64(a.link.Backlog()), Crashes: uint32(a.Crashes.Load()),
	}
}

// Boot returns the identity of this incarnation.
func (a *Agent) Boot() string { return a.incarnation }

// serveWatch tells an entry the load, at once when it changes.
func (a *Agent) serveWatch(ctx context.Context, s *wire.Stream) {
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	var last *wire.Load
	var at time.Time
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	for {
		now := a.Load()
		if last == nil || loadChanged(last, now) || time.Since(at) > time.Second {
			s.SetDeadline(time.Now().Add(wire.WriteTimeout))
			if err := s.Send(&wire.Frame{Body: &wire.Frame_Load{Load: now}}); err != nil {
				return
			}
			last, at = now, time.Now()
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		case <-a.ctx.Done():
			return
		}
	}
}

func loadChanged(a, b *wire.Load) bool {
	return a.GetBoot() != b.GetBoot() || a.GetVersion() != b.GetVersion() || a.GetLoading() != b.GetLoading() ||
		a.GetLeaving() != b.GetLeaving() || a.GetDown() != b.GetDown() || a.GetRunning() != b.GetRunning() ||
		a.GetWaiting() != b.GetWaiting() || a.GetQueue() != b.GetQueue()
}

// serveCommand passes a fenced serveCommand on to the engine.
func (a *Agent) serveCommand(s *wire.Stream, o *wire.Order) {
	done := &wire.Done{Id: o.GetId(), Epoch: o.GetEpoch(), Ok: true}
	// Once begun, an order is carried through, though its owner dies meanwhile.
	if err := a.execute(a.ctx, o); err != nil {
		done.Ok, done.Text = false, err.Error()
	}
	// The owner asks again when the answer is lost; obey finds the work done.
	_ = s.Send(&wire.Frame{Body: &wire.Frame_Done{Done: done}})
}

func (a *Agent) execute(ctx context.Context, o *wire.Order) error {
	engine, ok := a.config.Backend.(Engine)
	if !ok || o.GetKind() != fence.LoadVersion || o.GetEndpoint() != a.config.Endpoint {
		return Rejected.New("order %s for %s is not for this endpoint", o.GetKind(), o.GetEndpoint())
	}
	if err := a.claimWeightsLoad(o); err != nil {
		return err
	}
	defer func() {
		a.engineMu.Lock()
		defer a.engineMu.Unlock()
		a.loading = ""
	}()
	if a.version() == o.GetVersion() {
		return nil
	}
	// Runs that are being handed over go first; those already under way keep their weights.
	a.weightsMu.Lock()
	defer a.weightsMu.Unlock()
	if err := engine.Load(ctx, o.GetEpoch(), o.GetVersion()); err != nil {
		return err
	}
	a.updateHealth(ctx)
	return nil
}

// claimWeightsLoad lets one order at a time through the fence.
func (a *Agent) claimWeightsLoad(o *wire.Order) error {
	a.engineMu.Lock()
	defer a.engineMu.Unlock()
	if err := a.fencing.Pass(o.GetEpoch()); err != nil {
		a.Fenced.Add(1)
		a.config.Events.Emit(event.Fenced, "epoch", o.GetEpoch(), "held", a.fencing.Epoch())
		return Rejected.Wrap(err, "pass order")
	}
	if a.loading != "" {
		return Rejected.New("version %s is being loaded", a.loading)
	}
	a.loading = o.GetVersion()
	return nil
}

func (a *Agent) version() string {
	a.engineMu.Lock()
	defer a.engineMu.Unlock()
	return a.health.Version
}

// Leave refuses new work from now on.
func (a *Agent) Leave() {
	if !a.draining.Swap(true) {
		a.config.Events.Emit(event.Leaving, "endpoint", a.config.Endpoint)
	}
}

// Drain refuses new work and waits until all that was accepted is over, or ctx ends.
// It reports how many were cut off.
func (a *Agent) Drain(ctx context.Context) int {
	a.Leave()
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		n := a.countOpen()
		if n == 0 {
			return 0
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return n
		}
	}
}

// countOpen counts exchanges that are not over or still being read.
func (a *Agent) countOpen() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, x := range a.exchanges {
		x.mu.Lock()
		if x.readers > 0 || (x.end == nil && x.failure == nil) {
			n++
		}
		x.mu.Unlock()
	}
	return n
}

// Close stops the agent at once.
func (a *Agent) Close() {
	a.cancel()
	a.tasks.Wait()
}
