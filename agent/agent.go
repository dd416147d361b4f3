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

// Config configures an Agent.
type Config struct {
	// Pool and Endpoint are the table's names for the agent's endpoint and its pool.
	Pool, Endpoint string
	Backend        Backend
	// Kind is the kind of the pool.
	Kind table.Kind
	// BlockKey is the hash key for names of KV blocks; it must be the same on all agents.
	BlockKey []byte
	// MaxRunning is how many requests run on the endpoint concurrently, MaxQueued how many may
	// queue.
	MaxRunning, MaxQueued int
	// PrefillRate is the prefill rate assumed before the first measurement, in tokens per second.
	PrefillRate float64
	// CallTimeout is the timeout of one call to an endpoint that isn't a model engine.
	CallTimeout time.Duration
	Follower    *ctrl.Follower
	// Control receives crash reports; nil disables them.
	Control Proposer
	// Peers opens streams to stores.
	Peers  *wire.Pool
	Events *event.Log
	// Budget holds offers until their requests end; nil holds any.
	Budget *limit.Budget
}

// Proposer sends commands to the control plane.
type Proposer interface {
	Propose(ctx context.Context, c ctrl.Command) (ctrl.Result, error)
}

// Defaults for zero fields of Config.
const (
	DefaultSlots       = 16
	DefaultWaiting     = 256
	DefaultPrefillRate = 10_000
	DefaultCallTimeout = 30 * time.Second
)

const (
	// healthInterval is the interval between health checks of the endpoint.
	healthInterval = 250 * time.Millisecond
	// cacheEventInterval is the interval between fetches of the engine's cache events.
	cacheEventInterval = 200 * time.Millisecond
	// loadInterval is how often the load is compared; watching entries are sent changes.
	loadInterval = 100 * time.Millisecond
	// maxPendingSaves bounds the prompts whose blocks wait to be written to a store.
	maxPendingSaves = 1024
)

// Agent controls access to one endpoint and reports its state.
type Agent struct {
	config       Config
	incarnation  string
	slots        *slots
	pace         *pace
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

	// cleared paces the reports on parts of prompts.
	cleared partReports

	// healthMu serialises health checks; it is locked before engine.
	healthMu sync.Mutex

	// engine guards the recorded state of the endpoint, from health to link.
	engine sync.Mutex
	health Health
	// responding is false while health checks fail.
	responding      bool
	loading         string
	fencing         fence.EpochCheck
	tokensPerSecond float64
	link            *limit.Link
	cache           *mirror

	// weightsMu is read-locked while a request is submitted to the engine, and
	// write-locked while the engine loads other weights.
	weightsMu sync.RWMutex

	Counters
}

// Counters are the agent's metrics.
type Counters struct {
	Accepted, Rejected, Crashes, Fenced                                   atomic.Uint64
	Reused, Fetched, Computed, Saved, FetchedBytes, SavedBytes            atomic.Uint64
	CorruptBlocks, StoreTimeouts, Resumed, Duplicates, Revoked, Abandoned atomic.Uint64
}

// New returns a running agent; zero fields of c get their defaults.
func New(c Config) *Agent {
	if c.MaxRunning == 0 {
		c.MaxRunning = DefaultSlots
	}
	if c.MaxQueued == 0 {
		c.MaxQueued = DefaultWaiting
	}
	if c.PrefillRate == 0 {
		c.PrefillRate = DefaultPrefillRate
	}
	if c.CallTimeout == 0 {
		c.CallTimeout = DefaultCallTimeout
	}
	if c.Events == nil {
		c.Events = event.Discard()
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		config: c, incarnation: uuid.NewString(), pace: newPace(c.Endpoint, c.Events), attempts: newAttemptTable(),
		pendingSaves: ring.New[saveJob](maxPendingSaves), cancel: cancel, ctx: ctx, started: time.Now(),
		exchanges: map[string]*exchange{}, tokensPerSecond: c.PrefillRate, link: limit.NewLink(0), cache: newMirror(),
	}
	a.slots = newSlots(c.MaxRunning, c.MaxQueued, a.pace)
	// An error is recorded in a.responding.
	_ = a.updateHealth(ctx)
	a.tasks.Go(func() { every(ctx, healthInterval, func(ctx context.Context) { _ = a.updateHealth(ctx) }) })
	a.tasks.Go(func() { every(ctx, time.Second, a.removeExpired) })
	if _, ok := c.Backend.(Engine); ok {
		a.tasks.Go(func() { every(ctx, cacheEventInterval, a.pollCacheEvents) })
		a.tasks.Go(func() { a.saveBlocks(ctx) })
	}
	return a
}

// every calls f at each interval until ctx is done.
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

// updateHealth requests the endpoint's health and resets the cache mirror when the incarnation
// changed. It returns the error of the health check.
func (a *Agent) updateHealth(ctx context.Context) error {
	// Serialised so that a response from before a change can't overwrite a later one.
	a.healthMu.Lock()
	defer a.healthMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	h, err := a.config.Backend.Health(ctx)
	a.engine.Lock()
	defer a.engine.Unlock()
	a.responding = err == nil
	if err != nil {
		return err
	}
	if h.Incarnation != a.health.Incarnation {
		a.pace.restart()
		a.cache.reset()
	}
	a.health = h
	if a.config.Follower != nil && a.config.Follower.Fresh() {
		a.fencing.Confirm(a.config.Follower.View().Epoch)
	}
	if p, ok := a.tables().Pools[a.config.Pool]; ok {
		a.link.SetBudget(p.Link)
	}
	return nil
}

func (a *Agent) tables() *table.Tables {
	if a.config.Follower == nil {
		return table.Empty()
	}
	return a.config.Follower.Tables()
}

// removeExpired cancels requests whose response has no reader and removes finished
// exchanges and expired attempts. Non-idempotent requests are never cancelled here.
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

// Handle serves one stream whose first frame the caller has read.
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

// Load returns the endpoint's load and state as sent to entries and to control.
func (a *Agent) Load() *wire.Load {
	tokens, running, waiting := a.slots.load()
	a.engine.Lock()
	defer a.engine.Unlock()
	return &wire.Load{
		Boot: a.incarnation, Version: a.health.Version, Loading: a.loading, Leaving: a.draining.Load(), Down: !a.responding,
		Queue: uint64(tokens), Running: uint32(running), Waiting: uint32(waiting), Rate: uint32(a.tokensPerSecond),
		Link: uint64(a.link.Rate()), Backlog: uint64(a.link.Backlog()), Crashes: uint32(a.Crashes.Load()),
	}
}

// Boot returns the ID of this incarnation of the agent.
func (a *Agent) Boot() string { return a.incarnation }

// serveWatch sends the load to an entry when it changes, and at least once a second.
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

// serveCommand runs the leader's command o, which carries a fencing token, on the engine and sends
// the result.
func (a *Agent) serveCommand(s *wire.Stream, o *wire.Order) {
	done := &wire.Done{Id: o.GetId(), Epoch: o.GetEpoch(), Ok: true}
	// Uses the agent's context: a command that has begun completes even if its issuer dies.
	if err := a.execute(a.ctx, o); err != nil {
		done.Ok, done.Text = false, err.Error()
	}
	// If the result is lost, the issuer retries and execute finds the version loaded.
	_ = s.Send(&wire.Frame{Body: &wire.Frame_Done{Done: done}})
}

func (a *Agent) execute(ctx context.Context, o *wire.Order) error {
	engine, ok := a.config.Backend.(Engine)
	if !ok || o.GetKind() != fence.LoadVersion || o.GetEndpoint() != a.config.Endpoint {
		return Rejected.New("command %s for endpoint %s does not apply to this endpoint", o.GetKind(), o.GetEndpoint())
	}
	if err := a.claimWeightsLoad(o); err != nil {
		return err
	}
	defer func() {
		a.engine.Lock()
		defer a.engine.Unlock()
		a.loading = ""
	}()
	if a.version() == o.GetVersion() {
		return nil
	}
	// Waits for requests being submitted; requests already running keep their weights.
	a.weightsMu.Lock()
	defer a.weightsMu.Unlock()
	if err := engine.Load(ctx, o.GetEpoch(), o.GetVersion()); err != nil {
		return err
	}
	a.updateHealth(ctx)
	return nil
}

// claimWeightsLoad applies the fencing check and admits one load at a time.
func (a *Agent) claimWeightsLoad(o *wire.Order) error {
	a.engine.Lock()
	defer a.engine.Unlock()
	if err := a.fencing.Verify(o.GetEpoch()); err != nil {
		a.Fenced.Add(1)
		a.config.Events.Emit(event.Fenced, "epoch", o.GetEpoch(), "held", a.fencing.Epoch())
		return Rejected.Wrap(err, "check epoch of command")
	}
	if a.loading != "" {
		return Rejected.New("weight version %s is already being loaded", a.loading)
	}
	a.loading = o.GetVersion()
	return nil
}

func (a *Agent) version() string {
	a.engine.Lock()
	defer a.engine.Unlock()
	return a.health.Version
}

// Leave makes the agent reject new requests from now on.
func (a *Agent) Leave() {
	if !a.draining.Swap(true) {
		a.config.Events.Emit(event.Draining, "endpoint", a.config.Endpoint)
	}
}

// Drain rejects new requests and waits until all accepted ones are finished and read,
// or ctx is done. It returns the number of requests still open.
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

// countOpen counts exchanges that are unfinished or still have a reader.
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

// Close cancels all requests and waits for the agent's goroutines.
func (a *Agent) Close() {
	a.cancel()
	a.tasks.Wait()
}
