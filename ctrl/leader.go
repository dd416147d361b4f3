package ctrl

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"egretshunt/block"
	"egretshunt/board"
	"egretshunt/clock"
	"egretshunt/event"
	"egretshunt/fence"
	"egretshunt/member"
	"egretshunt/quorum"
	"egretshunt/value"
)

// Platform is the platform that hosts the system, as far as the leader's tasks need it:
// the list of endpoints, the external stores and the engines.
type Platform interface {
	// Endpoints returns the platform's current list of endpoints.
	Endpoints(ctx context.Context) ([]member.Endpoint, error)
	// Held lists the complete cached parts of a store, with the epoch of the store's
	// process and the position from which Changes continues.
	Held(ctx context.Context, s *board.Store) (StoreContent, error)
	// Changes waits for changes in a store or engine after position since of its current epoch.
	Changes(ctx context.Context, at netip.AddrPort, since int64) (Changes, error)
	// Usage returns the amount of a store's capacity that is in use.
	Usage(ctx context.Context, s *board.Store) (Usage, error)
	// Free removes parts from a store. The store rejects the call if its epoch differs or if
	// the engines' clock has passed until (milliseconds).
	Free(ctx context.Context, s *board.Store, epoch, until int64, names []string) error
	// LoadWeights commands an engine to load weights; done is true if the engine has them. An error of type
	// CommandConflict says that another command is in progress, or that the engine has accepted others.
	LoadWeights(ctx context.Context, to *member.Endpoint, o WeightsCommand) (done bool, err error)
	// Report requests the state of an engine, including the weights that it has loaded.
	Report(ctx context.Context, to *member.Endpoint) (EngineReport, error)
}

// StoreContent is the complete content of a store. Epoch identifies the store's process;
// Next is the position from which its changes continue.
type StoreContent struct {
	Epoch, Next int64
	Parts       []block.Held
	// Unfinished lists the parts that are being written or whose writer failed midway.
	Unfinished []string
}

// Usage is a store's report of how much of its capacity is used.
type Usage struct {
	// Tokens is the capacity used by all parts, complete or not.
	Tokens int
	// Clock is the engines' clock in milliseconds; zero if not reported.
	Clock int64
}

// Changes are the events of a store or engine after a position. Epoch identifies the process
// that reports them; Next is the position from which to continue.
type Changes struct {
	Epoch, Next int64
	// Lost is set if events are missing.
	Lost   bool
	Events []block.PartEvent
	// Clock is the engines' clock in milliseconds; zero if not reported.
	Clock int64
}

// WeightsCommand commands an engine to load a version of a model's weights. Holder and Epoch are
// the fencing token: an engine rejects a command of an older epoch.
type WeightsCommand struct {
	Model   string
	Version uint64
	Holder  string
	Epoch   uint64
	// Expect is the number of commands that the engine has accepted before this one. An engine rejects the command
	// otherwise, also if it only arrives after later ones.
	Expect value.Option[uint64]
}

// EngineReport is an engine's own report of its state; Weights holds the loaded version by model.
type EngineReport struct {
	Weights map[string]uint64
	Busy    bool
	Running int
	Clock   int64
	// Commands is the number of commands that the engine has accepted since its start; none if it doesn't say.
	Commands value.Option[uint64]
}

// LeaderTasksConfig holds the settings of LeaderTasks. Holder names this control VM, as
// the issuer of commands, in commands to engines.
type LeaderTasksConfig struct {
	// Member returns the running consensus member of this control VM and its hub, or nils
	// while there is none.
	Member   func() (*Node, *Hub)
	Holder   string
	Platform Platform
	// Decode parses the bytes of a table set.
	Decode func(body []byte) (*board.Set, error)
	// ListInterval is the interval at which the list of endpoints is read.
	ListInterval time.Duration
	// Handover is how long a new leader waits before it sends commands, so that those of
	// the previous leader can no longer take effect.
	Handover time.Duration
	// RolloutTimeout is the time allowed for a weights rollout: from setting the target version
	// until every engine has loaded it.
	RolloutTimeout time.Duration
	// ListLag is how far the list of endpoints may lag behind the engines; zero means defaultListLag.
	ListLag time.Duration
	// RetainTime is how long after its last use a cached part is worth keeping.
	RetainTime time.Duration
	Events     *event.Log
}

// LeaderTasks runs the leader's tasks while this control VM leads: it reads the list of endpoints,
// tracks the content of stores and engines, and rolls out weights to the engines.
type LeaderTasks struct {
	config  LeaderTasksConfig
	running sync.WaitGroup
	cancel  context.CancelFunc
}

const (
	// leaderCheckInterval is how often a control VM checks whether it leads.
	leaderCheckInterval = 50 * time.Millisecond
	// FetchTimeout is the time limit of a fetch from a store; entries request no longer one.
	FetchTimeout = 2 * time.Second
	// withdrawGrace is how long a fetch of a withdrawn part may still be in flight: an entry may
	// start one until its catalogue lease ends.
	withdrawGrace = CatalogLease + FetchTimeout + 300*time.Millisecond
	// defaultListLag is the default of LeaderTasksConfig.ListLag.
	defaultListLag = 2 * time.Second
	// platformTimeout is the timeout of a call to the platform, a store or an engine.
	platformTimeout = 900 * time.Millisecond
	// changesTimeout is the timeout of a call that waits for changes in a store.
	changesTimeout = 1300 * time.Millisecond
	// storeRetryDelay is the delay after a failed call to a store.
	storeRetryDelay = 100 * time.Millisecond
	// withdrawInterval is how often a store is checked for parts to withdraw or free.
	withdrawInterval = 500 * time.Millisecond
	// usageInterval is how often a store's usage is requested.
	usageInterval = 2 * time.Second
	// freeWindow is how long after it was sent a store may execute a call to free parts, by the
	// engines' clock.
	freeWindow = 300 * time.Millisecond
	// maxFreeBatch is the largest number of parts that one call frees.
	maxFreeBatch = 256
)

// NewLeaderTasks starts a goroutine that runs the leader's tasks whenever this control VM leads.
func NewLeaderTasks(c LeaderTasksConfig) *LeaderTasks {
	if c.Events == nil {
		c.Events = event.Discard()
	}
	c.ListLag = cmp.Or(c.ListLag, defaultListLag)
	ctx, cancel := context.WithCancel(context.Background())
	l := &LeaderTasks{config: c, cancel: cancel}
	l.running.Go(func() { l.run(ctx) })
	return l
}

// Close stops the tasks and waits until they have returned.
func (l *LeaderTasks) Close() {
	l.cancel()
	l.running.Wait()
}

// leaderTerm is one leadership term of this control VM, with the state of its tasks. Since is when
// the node became leader, which identifies the term; began is when the tasks started, by clock.Now.
type leaderTerm struct {
	*LeaderState
	tasks *LeaderTasks
	node  *Node
	since time.Time
	began time.Duration

	// epoch is the fencing epoch of this term's commands to engines; zero before the first
	// command. Owned by rolloutWeights.
	epoch uint64
	// targets holds the target versions of each model by this VM's clock. Owned by rolloutWeights.
	targets map[string]fence.Targets

	// termMu guards the fields below.
	termMu sync.Mutex
	// endpoints is the platform's list of endpoints as last read, by a call made at listedAt.
	endpoints []member.Endpoint
	listedAt  time.Duration
	// lastCommand is keyed by engine.
	lastCommand map[string]lastCommand
	// reports holds what engines last said of themselves, by engine.
	reports map[string]engineState
	// loadTime is the average time that loads of weights took; zero before the first.
	loadTime time.Duration
	// unresponsive holds the addresses of engines that do not respond to control.
	unresponsive value.Set[string]
}

// lastCommand is the latest command to an engine to load weights; loading is set until it has
// succeeded or failed.
type lastCommand struct {
	sentAt  time.Duration
	loading bool
}

// run starts a leadership term each time that this member becomes leader.
func (l *LeaderTasks) run(ctx context.Context) {
	t := time.NewTicker(leaderCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		node, hub := l.config.Member()
		if node == nil {
			continue
		}
		if since, ok := node.IsLeader(); ok {
			lt := &leaderTerm{
				LeaderState: hub.BeginTerm(), tasks: l, node: node, since: since, began: clock.Now(),
				lastCommand: map[string]lastCommand{}, targets: map[string]fence.Targets{}, reports: map[string]engineState{},
			}
			lt.run(ctx, t.C)
		}
	}
}

// run executes the tasks until the term ends. A lease that is lost and regained within a term does
// not end it, since no other member has led meanwhile.
func (lt *leaderTerm) run(ctx context.Context, tick <-chan time.Time) {
	termCtx, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	running.Go(func() { lt.pollEndpoints(termCtx) })
	running.Go(func() { lt.watchStores(termCtx) })
	running.Go(func() { lt.rolloutWeights(termCtx) })
	running.Go(func() { lt.watchEngines(termCtx) })
	for {
		select {
		case <-tick:
		case <-ctx.Done():
			return
		}
		node, _ := lt.tasks.config.Member()
		if since, ok := lt.node.IsLeader(); node != lt.node || ok && !since.Equal(lt.since) || lt.node.Status().Role != quorum.Leader.String() {
			return
		}
	}
}

// leads reports whether this member holds the leader's lease in this term.
func (lt *leaderTerm) leads() bool {
	since, ok := lt.node.IsLeader()
	return ok && since.Equal(lt.since)
}

// pollEndpoints reads the platform's list of endpoints periodically and publishes it.
func (lt *leaderTerm) pollEndpoints(ctx context.Context) {
	t := time.NewTicker(lt.tasks.config.ListInterval)
	defer t.Stop()
	failing := false
	var set *board.Set
	for {
		if lt.leads() {
			callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
			asked := clock.Now()
			latest, err := lt.tasks.config.Platform.Endpoints(callCtx)
			cancel()
			if err == nil {
				lt.replicateBuilds(ctx, latest)
				set = lt.tableSet(set)
				lt.observeCold(latest, set, asked)
				lt.termMu.Lock()
				lt.endpoints, lt.listedAt = latest, asked
				lt.termMu.Unlock()
				lt.publishEndpoints()
				lt.cold.setListed(asked)
			} else if !failing && ctx.Err() == nil {
				lt.tasks.config.Events.Emit(event.ListUnreadable, "source", "leader", "err", err)
			}
			failing = err != nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// publishEndpoints publishes the endpoints to the entries, with the state that control has
// observed itself: down, loading weights, and the weights loaded.
func (lt *leaderTerm) publishEndpoints() {
	lt.termMu.Lock()
	defer lt.termMu.Unlock()
	if lt.endpoints == nil {
		return
	}
	published := lt.withKnownBuilds(lt.endpoints)
	votes, entries := lt.EjectionVotes()
	for i := range published {
		e := &published[i]
		// Rounded, so that the list doesn't change with each read; the sync says exactly which endpoints are cold.
		e.WarmupLeft = e.WarmupLeft.Round(time.Second)
		// An engine may be unreachable from control only; an entry's report then keeps it in use.
		e.Down = member.EjectedByVotes(votes[e.ID], entries) || lt.unresponsive.Has(e.Addr.String()) && !lt.ReportedReachable(e.ID)
		e.Loading = lt.lastCommand[e.ID].loading
		for model, listed := range e.Weights {
			if version := lt.loadedVersion(e, model); version != listed {
				e.Weights = maps.Clone(e.Weights)
				e.Weights[model] = version
			}
		}
	}
	if lt.SetList(published) {
		lt.tasks.config.Events.Emit(event.EndpointsListed, "count", len(published), "list", lt.List().Rev)
	}
}
