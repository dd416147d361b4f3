package ctrl

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"egretshunt/block"
	"egretshunt/board"
	"egretshunt/clock"
	"egretshunt/event"
	"egretshunt/fence"
	"egretshunt/member"
	"egretshunt/quorum"
)

// Outside is what the leader needs of the platform that the system runs on.
type Outside interface {
	// Endpoints reads the list of endpoints.
	Endpoints(ctx context.Context) ([]member.Endpoint, error)
	// Held lists what lies whole in a store, with its run and where changes go on.
	Held(ctx context.Context, s *board.Store) (Holding, error)
	// Changes waits for changes in a store or engine after a position of its present run.
	Changes(ctx context.Context, at netip.AddrPort, since int64) (Changes, error)
	// Room asks a store how many tokens its parts take up, finished or not.
	Room(ctx context.Context, s *board.Store) (tokens int, err error)
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

	// listMu guards the rest.
	listMu sync.Mutex
	// listed are the endpoints as the platform's list had them last.
	listed []member.Endpoint
	// given holds the latest order by engine.
	given map[string]given
	// has holds versions that engines were seen to have, by engine and model.
	has map[string]map[string]uint64
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
				given: map[string]given{}, has: map[string]map[string]uint64{},
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

// table returns the table set in force, or nil.
func (r *reign) table(last *board.Set) *board.Set {
	doc := r.node.View().Set
	if doc == nil || last != nil && last.Number == doc.Number {
		return last
	}
	set, err := r.chief.config.Decode(doc.Body)
	if err != nil {
		r.chief.config.Events.Emit(event.Fault, "set", doc.Number, "err", err)
		return last
	}
	return set
}

// stores follows each store of the tables.
func (r *reign) stores(ctx context.Context) {
	var set *board.Set
	followed := map[string]context.CancelFunc{}
	var running sync.WaitGroup
	defer running.Wait()
	for {
		changed := r.node.Changed()
		set = r.table(set)
		if set != nil {
			named := map[string]bool{}
			for _, p := range set.Stores() {
				if !p.Store.Managed {
					continue
				}
				key := p.Store.Addr.String()
				named[key] = true
				if _, ok := followed[key]; ok {
					continue
				}
				sub, cancel := context.WithCancel(ctx)
				followed[key] = cancel
				running.Go(func() { r.store(sub, p.Store) })
			}
			for key, cancel := range followed {
				if !named[key] {
					cancel()
					delete(followed, key)
				}
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// store follows one store until ctx ends.
func (r *reign) store(ctx context.Context, s *board.Store) {
	shelf := block.NewShelf(block.ShelfConfig{Store: s.Addr, Tokens: s.Tokens, Quiet: quietTime, Reuse: r.chief.config.Reuse}, r.began)
	defer func() { r.Keep(shelf.Lose()) }()
	var next int64
	looked := clock.Now()
	measured := looked
	for ctx.Err() == nil {
		if !r.leads() {
			r.rest(ctx)
			continue
		}
		var err error
		if !shelf.Known() {
			next, err = r.fill(ctx, s, shelf)
		} else {
			next, err = r.follow(ctx, s, shelf, next)
		}
		if err != nil {
			if shelf.Known() && ctx.Err() == nil {
				r.chief.config.Events.Emit(event.StoreDown, "store", s.Addr, "err", err)
			}
			r.Keep(shelf.Lose())
			r.rest(ctx)
			continue
		}
		now := clock.Now()
		if open, changed := shelf.Opens(now); changed {
			state := block.Closed
			if open {
				state = block.Opened
			}
			r.Keep([]block.Part{{Store: s.Addr, Tokens: state}})
			tokens, capacity := shelf.Held()
			r.chief.config.Events.Emit(event.StoreUp, "store", s.Addr, "epoch", shelf.Epoch(), "held", tokens, "capacity", capacity, "open", open)
		}
		if now-looked >= withdrawTime {
			looked = now
			r.Keep(shelf.Withdraw(now, r.current(), r.Used()))
			r.free(ctx, s, shelf, shelf.Free(now))
		}
		if now-measured >= roomTime {
			measured = now
			r.measure(ctx, s, shelf)
		}
	}
}

// measure compares what a store holds with what is known of it, and looks for what is not.
func (r *reign) measure(ctx context.Context, s *board.Store, shelf *block.Shelf) {
	call, cancel := context.WithTimeout(ctx, outsideTime)
	defer cancel()
	tokens, err := r.chief.config.Outside.Room(call, s)
	if err != nil {
		// The next wait for changes shows whether the store is gone.
		r.chief.config.Events.Emit(event.OrderBad, "store", s.Addr, "duty", "room", "err", err)
		return
	}
	if !shelf.Use(tokens, clock.Now()) {
		return
	}
	h, err := r.chief.config.Outside.Held(call, s)
	if err != nil || h.Epoch != shelf.Epoch() {
		return
	}
	now := clock.Now()
	var lost []block.Event
	for _, part := range h.Parts {
		lost = append(lost, block.Event{Held: part})
	}
	r.Keep(shelf.Take(lost, now))
	r.free(ctx, s, shelf, shelf.Unfinished(h.Unfinished, now))
}

func (r *reign) rest(ctx context.Context) {
	select {
	case <-time.After(storePause):
	case <-ctx.Done():
	}
}

// fill reads all that a store holds.
func (r *reign) fill(ctx context.Context, s *board.Store, shelf *block.Shelf) (next int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, outsideTime)
	defer cancel()
	h, err := r.chief.config.Outside.Held(ctx, s)
	if err != nil {
		return 0, err
	}
	r.Keep(shelf.Fill(h.Epoch, h.Parts, clock.Now()))
	return h.Next, nil
}

// follow waits for changes of a store.
func (r *reign) follow(ctx context.Context, s *board.Store, shelf *block.Shelf, since int64) (next int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, changesTime)
	defer cancel()
	got, err := r.chief.config.Outside.Changes(ctx, s.Addr, since)
	if err != nil {
		return since, err
	}
	if got.Clock > 0 {
		r.SetEngineClock(got.Clock)
	}
	if got.Lost || got.Epoch != shelf.Epoch() {
		r.Keep(shelf.Lose())
		return 0, nil
	}
	r.Keep(shelf.Take(got.Events, clock.Now()))
	return got.Next, nil
}

// current returns a test for parts that may still be asked for: those made under weights
// that some engine has or is to have.
func (r *reign) current() func(name string) bool {
	live := map[string]bool{}
	if l := r.List(); l != nil {
		for _, e := range l.Endpoints {
			for _, v := range e.Weights {
				live[block.Salt(v, "")] = true
			}
		}
	}
	for _, w := range r.node.View().Weights {
		live[block.Salt(w.Version, "")] = true
	}
	return func(name string) bool {
		salt, _, _ := strings.Cut(name, "/")
		weights, _, _ := strings.Cut(salt, ".")
		return live[weights]
	}
}

// free frees parts that nobody reads any more.
func (r *reign) free(ctx context.Context, s *board.Store, shelf *block.Shelf, names []string) {
	ahead := r.engineClock.Load()
	if len(names) == 0 || ahead == 0 || !r.leads() {
		return
	}
	names = names[:min(len(names), maxFree)]
	ctx, cancel := context.WithTimeout(ctx, outsideTime)
	defer cancel()
	// A later leader lists the store anew; nothing of this reign may be carried out after that.
	until := ahead + (clock.Now() + freeSpan).Milliseconds()
	if err := r.chief.config.Outside.Free(ctx, s, shelf.Epoch(), until, names); err != nil {
		r.chief.config.Events.Emit(event.StoreDown, "store", s.Addr, "duty", "free", "err", err)
		return
	}
	shelf.Freed(names)
	for _, name := range names {
		r.Forget(name)
	}
	r.chief.config.Events.Emit(event.Freed, "store", s.Addr, "count", len(names))
}

const (
	// engineTime is how often what lies in engines' memory is published.
	engineTime = 100 * time.Millisecond
	// enginePause is the pause after a call to an engine that failed.
	enginePause = 500 * time.Millisecond
	// engineChanges bounds the answers of engines that wait to be taken.
	engineChanges = 64
)

// told is one answer of an engine; lost says that what was known of it is void.
type told struct {
	at     netip.AddrPort
	events []block.Event
	lost   bool
}

// engines follows what lies in the memory of the engines.
func (r *reign) engines(ctx context.Context) {
	known := block.NewEngines()
	answers := make(chan told, engineChanges)
	followed := map[netip.AddrPort]context.CancelFunc{}
	var running sync.WaitGroup
	defer running.Wait()
	t := time.NewTicker(engineTime)
	defer t.Stop()
	for {
		select {
		case a := <-answers:
			if a.lost {
				known.Lose(a.at)
			}
			known.Take(a.at, a.events)
			continue
		case <-t.C:
		case <-ctx.Done():
			return
		}
		known.Share(r.Shared())
		r.Keep(known.Flush())
		present := map[netip.AddrPort]bool{}
		if l := r.List(); l != nil {
			for _, e := range l.Endpoints {
				if len(e.Weights) > 0 {
					present[e.Addr] = true
				}
			}
		}
		for at := range present {
			if _, ok := followed[at]; ok {
				continue
			}
			sub, cancel := context.WithCancel(ctx)
			followed[at] = cancel
			running.Go(func() { r.engine(sub, at, answers) })
		}
		for at, cancel := range followed {
			if !present[at] {
				cancel()
				delete(followed, at)
				known.Lose(at)
			}
		}
	}
}

// engine follows one engine until ctx ends.
func (r *reign) engine(ctx context.Context, at netip.AddrPort, answers chan<- told) {
	var epoch, since int64
	failing := false
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, changesTime)
		got, err := r.chief.config.Outside.Changes(call, at, since)
		cancel()
		a := told{at: at, lost: err != nil && !failing}
		failing = err != nil
		if err == nil {
			a.events, a.lost = got.Events, epoch != 0 && epoch != got.Epoch
			if a.lost {
				// The answer was asked for from a position of the former run.
				a.events, got.Next = nil, 0
			}
			epoch, since = got.Epoch, got.Next
			if got.Clock > 0 {
				r.SetEngineClock(got.Clock)
			}
		}
		if a.lost || len(a.events) > 0 {
			select {
			case answers <- a:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			since = 0
			select {
			case <-time.After(enginePause):
			case <-ctx.Done():
			}
		}
	}
}

const (
	// swapTime is how often the weights are looked after while some are to change.
	swapTime = 150 * time.Millisecond
	// reportLag is how old an engine's word of its weights may be.
	reportLag = 400 * time.Millisecond
)

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
		e.Down = member.Condemned(votes[e.ID], entries)
		e.Loading = r.given[e.ID].busy
		for model, version := range r.has[e.ID] {
			if version > e.Weights[model] {
				e.Weights = maps.Clone(e.Weights)
				e.Weights[model] = version
			}
		}
	}
	if r.SetList(out) {
		r.chief.config.Events.Emit(event.Listed, "count", len(out), "rev", r.List().Rev)
	}
}

// weights runs the swaps of the reign.
func (r *reign) weights(ctx context.Context) {
	t := time.NewTicker(swapTime)
	defer t.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		l := r.List()
		named := r.node.View().Weights
		if l == nil || len(named) == 0 || !r.leads() {
			continue
		}
		for model, w := range named {
			r.step(ctx, &running, l, model, w.Version)
		}
	}
}

// step gives the orders that are due for one model.
func (r *reign) step(ctx context.Context, running *sync.WaitGroup, l *member.List, model string, want uint64) {
	now := clock.Now()
	var workers []fence.Worker
	r.listMu.Lock()
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		listed, ok := e.Weights[model]
		if !ok {
			continue
		}
		g := r.given[e.ID]
		workers = append(workers, fence.Worker{
			ID: e.ID, Version: max(listed, r.has[e.ID][model]), Want: want, Ordered: g.at, Busy: g.busy, Leaving: e.Leaving,
		})
	}
	r.listMu.Unlock()
	due := fence.PlanSwap(workers, now)
	if len(due) == 0 {
		return
	}
	if r.epoch == 0 && !r.begin(ctx) {
		return
	}
	for _, id := range due {
		e := l.Find(id)
		r.listMu.Lock()
		r.given[id] = given{at: now, busy: true}
		r.listMu.Unlock()
		r.publish()
		running.Go(func() {
			r.give(ctx, e, SwapOrder{Model: model, Version: want, Holder: r.chief.config.Holder, Epoch: r.epoch})
		})
	}
}

// begin takes an epoch for this reign's orders, once those of another VM have rested long enough.
func (r *reign) begin(ctx context.Context) bool {
	first := r.node.View().Epoch == 0
	if !first && clock.Now()-r.began < r.chief.config.Handover {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	got, err := r.node.Propose(ctx, Command{Epoch: &Epoch{Owner: r.chief.config.Holder, Nonce: uuid.NewString()}})
	if err != nil {
		r.chief.config.Events.Emit(event.OrderBad, "duty", "epoch", "err", err)
		return false
	}
	r.epoch = got.Epoch
	return true
}

// give orders one engine to load weights and follows it until it has them.
func (r *reign) give(ctx context.Context, to *member.Endpoint, o SwapOrder) {
	began := clock.Now()
	done, err := r.order(ctx, to, o)
	r.chief.config.Events.Emit(event.Ordered, "endpoint", to.ID, "model", o.Model, "weights", o.Version, "epoch", o.Epoch, "done", done, "err", err)
	for err == nil && !done && ctx.Err() == nil && r.leads() && clock.Now()-began < orderTimeout {
		select {
		case <-time.After(reportLag / 2):
		case <-ctx.Done():
			return
		}
		call, cancel := context.WithTimeout(ctx, outsideTime)
		report, failed := r.chief.config.Outside.Report(call, to)
		cancel()
		if failed != nil {
			r.chief.config.Events.Emit(event.OrderBad, "endpoint", to.ID, "duty", "report", "err", failed)
			break
		}
		if report.Weights[o.Model] >= o.Version {
			done = true
		} else if !report.Busy && clock.Now()-began > 2*reportLag {
			// The order was lost, or is carried out later.
			break
		}
	}
	defer r.publish()
	r.listMu.Lock()
	defer r.listMu.Unlock()
	g := r.given[to.ID]
	g.busy = false
	if done {
		if r.has[to.ID] == nil {
			r.has[to.ID] = map[string]uint64{}
		}
		r.has[to.ID][o.Model] = o.Version
	}
	r.given[to.ID] = g
}

func (r *reign) order(ctx context.Context, to *member.Endpoint, o SwapOrder) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, outsideTime)
	defer cancel()
	if !r.leads() {
		return false, NotLeader.New("this member does not lead any more")
	}
	return r.chief.config.Outside.Order(ctx, to, o)
}
