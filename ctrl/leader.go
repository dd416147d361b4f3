package ctrl

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"egretshunt/block"
	"egretshunt/board"
	"egretshunt/clock"
	"egretshunt/event"
	"egretshunt/member"
	"egretshunt/quorum"
	"egretshunt/value"
)

// Outside is what the leader needs of the platform that the system runs on.
type Outside interface {
	// Endpoints reads the list of endpoints.
	Endpoints(ctx context.Context) ([]member.Endpoint, error)
	// Held lists what lies whole in a store, with its run and where changes go on.
	Held(ctx context.Context, s *board.Store) (Holding, error)
	// Changes waits for changes in a store or engine after a position of its present run.
	Changes(ctx context.Context, at netip.AddrPort, since int64) (Changes, error)
	// Room asks a store how much of it is taken up.
	Room(ctx context.Context, s *board.Store) (Room, error)
	// Free frees parts in a run of a store, until a moment on the engines' clock.
	Free(ctx context.Context, s *board.Store, epoch, until int64, names []string) error
	// Order tells an engine to load weights; it returns true once the engine has them.
	Order(ctx context.Context, to *member.Endpoint, o SwapOrder) (done bool, err error)
	// Report asks an engine for the weights that it has.
	Report(ctx context.Context, to *member.Endpoint) (EngineReport, error)
}

// Holding is the whole content of a store.
type Holding struct {
	Epoch, Next int64
	Parts       []block.Held
	// Unfinished parts are being written, or their writer broke off.
	Unfinished []string
}

// Room is what a store says of itself.
type Room struct {
	// Tokens is what its parts take up, finished or not.
	Tokens int
	// Clock is the engines' clock in milliseconds; zero when not told.
	Clock int64
}

// Changes are events of a store.
type Changes struct {
	Epoch, Next int64
	// Lost says that events are missing.
	Lost   bool
	Events []block.Event
	// Clock is the engines' clock in milliseconds; zero when not told.
	Clock int64
}

// SwapOrder tells an engine to load a version of a model's weights.
type SwapOrder struct {
	Model   string
	Version uint64
	Holder  string
	Epoch   uint64
}

// EngineReport is what an engine says of itself.
type EngineReport struct {
	Weights map[string]uint64
	Busy    bool
	Running int
	Clock   int64
}

// ChiefConfig constructs a Chief.
type ChiefConfig struct {
	// Member returns the present run of this control VM, or nils while there is none.
	Member  func() (*Node, *Hub)
	Holder  string
	Outside Outside
	// Decode reads the bytes of a table set.
	Decode func(body []byte) (*board.Set, error)
	// ListTime is the time between two readings of the list of endpoints.
	ListTime time.Duration
	// Handover is how long orders must rest before another VM may give any.
	Handover time.Duration
	// SwapTime is how soon after it was named every engine must have a version of weights.
	SwapTime time.Duration
	// Reuse is how long after its last use a kept part is worth its room.
	Reuse  time.Duration
	Events *event.Log
}

// Chief carries out the duties of the control VM that leads: it reads the list of
// endpoints, follows the stores, and brings engines to the weights that were named.
type Chief struct {
	config  ChiefConfig
	running sync.WaitGroup
	cancel  context.CancelFunc
}

const (
	// leaderCheckInterval is how often a control VM looks whether it leads.
	leaderCheckInterval = 50 * time.Millisecond
	// FetchTime bounds a fetch from a store; entries ask for no longer one.
	FetchTime = 2 * time.Second
	// withdrawGrace is how long an entry may still have a fetch under way of what was withdrawn.
	withdrawGrace = CatalogLease + FetchTime + 300*time.Millisecond
	// platformTimeout bounds one call to the platform.
	platformTimeout = 900 * time.Millisecond
	// changesTimeout bounds a call that waits for changes in a store.
	changesTimeout = 1300 * time.Millisecond
	// storeRetryDelay is the pause after a call to a store that failed.
	storeRetryDelay = 100 * time.Millisecond
	// withdrawInterval is how often a store's content is looked over.
	withdrawInterval = 500 * time.Millisecond
	// usageInterval is how often a store is asked how full it is.
	usageInterval = 2 * time.Second
	// freeWindow bounds when a store may carry out a call to free parts, on the engines' clock.
	freeWindow = 300 * time.Millisecond
	// maxFreeBatch bounds the parts freed by one call.
	maxFreeBatch = 256
)

// NewChief starts the tasks.
func NewChief(c ChiefConfig) *Chief {
	if c.Events == nil {
		c.Events = event.Discard()
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Chief{config: c, cancel: cancel}
	l.running.Go(func() { l.run(ctx) })
	return l
}

// Close stops the tasks.
func (l *Chief) Close() {
	l.cancel()
	l.running.Wait()
}

// leaderTerm is one time of leading.
type leaderTerm struct {
	*LeaderState
	tasks *Chief
	node  *Node
	since time.Time
	began time.Duration

	// epoch is that of this term's orders; zero before the first. Owned by weights.
	epoch uint64
	// targetSince holds when versions were first seen, by model. Owned by weights.
	targetSince map[string]targetVersion

	// termMu guards the rest.
	termMu sync.Mutex
	// endpoints are the endpoints as the platform's list had them last.
	endpoints []member.Endpoint
	// lastCommand holds the latest order by engine.
	lastCommand map[string]lastCommand
	// observedWeights holds versions that engines were seen to have, by engine and model.
	observedWeights map[string]map[string]uint64
	// unresponsive are the addresses of engines that answer nobody.
	unresponsive value.Set[string]
}

// lastCommand is an order to an engine.
type lastCommand struct {
	sentAt  time.Duration
	loading bool
}

// run holds the duties for each time that this member leads.
func (l *Chief) run(ctx context.Context) {
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
		if since, ok := node.Leads(); ok {
			lt := &leaderTerm{
				LeaderState: hub.BeginTerm(), tasks: l, node: node, since: since, began: clock.Now(),
				lastCommand: map[string]lastCommand{}, targetSince: map[string]targetVersion{}, observedWeights: map[string]map[string]uint64{},
			}
			lt.run(ctx, t.C)
		}
	}
}

// run carries out the duties until the term ends. A lease that is lost and held again in
// one term is no end: nobody else led meanwhile.
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
		if since, ok := lt.node.Leads(); node != lt.node || ok && !since.Equal(lt.since) || lt.node.Status().Role != quorum.Leader.String() {
			return
		}
	}
}

// leads reports whether the term lasts.
func (lt *leaderTerm) leads() bool {
	since, ok := lt.node.Leads()
	return ok && since.Equal(lt.since)
}

// pollEndpoints reads the list of endpoints again and again.
func (lt *leaderTerm) pollEndpoints(ctx context.Context) {
	t := time.NewTicker(lt.tasks.config.ListTime)
	defer t.Stop()
	failing := false
	for {
		if lt.leads() {
			callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
			latest, err := lt.tasks.config.Outside.Endpoints(callCtx)
			cancel()
			if err == nil {
				lt.termMu.Lock()
				lt.endpoints = latest
				lt.termMu.Unlock()
				lt.publishEndpoints()
			} else if !failing && ctx.Err() == nil {
				lt.tasks.config.Events.Emit(event.ListBad, "source", "leader", "err", err)
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

// publishEndpoints gives entries the endpoints, with what is known of them beside the list.
func (lt *leaderTerm) publishEndpoints() {
	lt.termMu.Lock()
	defer lt.termMu.Unlock()
	if lt.endpoints == nil {
		return
	}
	published := slices.Clone(lt.endpoints)
	votes, entries := lt.EjectionVotes()
	for i := range published {
		e := &published[i]
		// An engine may be cut off from control alone.
		e.Down = member.Condemned(votes[e.ID], entries) || lt.unresponsive.Has(e.Addr.String()) && !lt.ReportedReachable(e.ID)
		e.Loading = lt.lastCommand[e.ID].loading
		for model, version := range lt.observedWeights[e.ID] {
			if version > e.Weights[model] {
				e.Weights = maps.Clone(e.Weights)
				e.Weights[model] = version
			}
		}
	}
	if lt.SetList(published) {
		lt.tasks.config.Events.Emit(event.Listed, "count", len(published), "list", lt.List().Rev)
	}
}
