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
	// chiefTime is how often a control VM looks whether it leads.
	chiefTime = 50 * time.Millisecond
	// FetchTime bounds a fetch from a store; entries ask for no longer one.
	FetchTime = 2 * time.Second
	// quietTime is how long an entry may still have a fetch under way of what was withdrawn.
	quietTime = CatalogLease + FetchTime + 300*time.Millisecond
	// outsideTime bounds one call to the platform.
	outsideTime = 900 * time.Millisecond
	// changesTime bounds a call that waits for changes in a store.
	changesTime = 1300 * time.Millisecond
	// storePause is the pause after a call to a store that failed.
	storePause = 100 * time.Millisecond
	// withdrawTime is how often a store's content is looked over.
	withdrawTime = 500 * time.Millisecond
	// roomTime is how often a store is asked how full it is.
	roomTime = 2 * time.Second
	// freeSpan bounds when a store may carry out a call to free parts, on the engines' clock.
	freeSpan = 300 * time.Millisecond
	// maxFree bounds the parts freed by one call.
	maxFree = 256
)

// NewChief starts the duties.
func NewChief(c ChiefConfig) *Chief {
	if c.Events == nil {
		c.Events = event.Discard()
	}
	ctx, cancel := context.WithCancel(context.Background())
	ch := &Chief{config: c, cancel: cancel}
	ch.running.Go(func() { ch.run(ctx) })
	return ch
}

// Close stops the duties.
func (c *Chief) Close() {
	c.cancel()
	c.running.Wait()
}

// reign is one time of leading.
type reign struct {
	*Reign
	chief *Chief
	node  *Node
	since time.Time
	began time.Duration

	// epoch is that of this reign's orders; zero before the first. Owned by weights.
	epoch uint64
	// seenWeights holds when versions were first seen, by model. Owned by weights.
	seenWeights map[string]named

	// listMu guards the rest.
	listMu sync.Mutex
	// listed are the endpoints as the platform's list had them last.
	listed []member.Endpoint
	// given holds the latest order by engine.
	given map[string]given
	// has holds versions that engines were seen to have, by engine and model.
	has map[string]map[string]uint64
	// silent are the addresses of engines that answer nobody.
	silent value.Set[string]
}

// given is an order to an engine.
type given struct {
	at   time.Duration
	busy bool
}

// run holds the duties for each time that this member leads.
func (c *Chief) run(ctx context.Context) {
	t := time.NewTicker(chiefTime)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		node, hub := c.config.Member()
		if node == nil {
			continue
		}
		if since, ok := node.Leads(); ok {
			r := &reign{
				Reign: hub.Begin(), chief: c, node: node, since: since, began: clock.Now(),
				given: map[string]given{}, seenWeights: map[string]named{}, has: map[string]map[string]uint64{},
			}
			r.run(ctx, t.C)
		}
	}
}

// run carries out the duties until the reign ends. A lease that is lost and held again in
// one reign is no end: nobody else led meanwhile.
func (r *reign) run(ctx context.Context, tick <-chan time.Time) {
	duty, stop := context.WithCancel(ctx)
	defer stop()
	var duties sync.WaitGroup
	defer duties.Wait()
	defer stop()
	duties.Go(func() { r.lists(duty) })
	duties.Go(func() { r.stores(duty) })
	duties.Go(func() { r.weights(duty) })
	duties.Go(func() { r.engines(duty) })
	for {
		select {
		case <-tick:
		case <-ctx.Done():
			return
		}
		node, _ := r.chief.config.Member()
		if since, ok := r.node.Leads(); node != r.node || ok && !since.Equal(r.since) || r.node.Status().Role != quorum.Leader.String() {
			return
		}
	}
}

// leads reports whether the reign lasts.
func (r *reign) leads() bool {
	since, ok := r.node.Leads()
	return ok && since.Equal(r.since)
}

// lists reads the list of endpoints again and again.
func (r *reign) lists(ctx context.Context) {
	t := time.NewTicker(r.chief.config.ListTime)
	defer t.Stop()
	failing := false
	for {
		if r.leads() {
			call, cancel := context.WithTimeout(ctx, outsideTime)
			found, err := r.chief.config.Outside.Endpoints(call)
			cancel()
			if err == nil {
				r.listMu.Lock()
				r.listed = found
				r.listMu.Unlock()
				r.publish()
			} else if !failing && ctx.Err() == nil {
				r.chief.config.Events.Emit(event.ListBad, "source", "leader", "err", err)
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

// publish gives entries the endpoints, with what is known of them beside the list.
func (r *reign) publish() {
	r.listMu.Lock()
	defer r.listMu.Unlock()
	if r.listed == nil {
		return
	}
	out := slices.Clone(r.listed)
	votes, entries := r.Bad()
	for i := range out {
		e := &out[i]
		// An engine may be cut off from control alone.
		e.Down = member.Condemned(votes[e.ID], entries) || r.silent.Has(e.Addr.String()) && !r.Heard(e.ID)
		e.Loading = r.given[e.ID].busy
		for model, version := range r.has[e.ID] {
			if version > e.Weights[model] {
				e.Weights = maps.Clone(e.Weights)
				e.Weights[model] = version
			}
		}
	}
	if r.SetList(out) {
		r.chief.config.Events.Emit(event.Listed, "count", len(out), "list", r.List().Rev)
	}
}
