package ctrl

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"egretshunt/block"
	"egretshunt/clock"
	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/wire"
)

const (
	// maxHold bounds how long a sync that has no news is held.
	maxHold = time.Second
	// entryLife is how long an entry counts as present after its last sync.
	entryLife = 3 * time.Second
)

// Hub answers the syncs of entries: the replicated view with its freshness, and the state
// that the leader gathers anew in each reign: endpoints and the catalogue of kept parts.
type Hub struct {
	node    *Node
	changed *notice

	// reign is replaced when this member begins to lead.
	reign atomic.Pointer[Reign]
}

// Reign is what a leader has gathered since it began to lead.
type Reign struct {
	// Life names the reign to those that sync.
	Life uint64
	// Catalog is the parts known to be whole.
	Catalog *block.Catalog

	hub  *Hub
	list atomic.Pointer[member.List]
	// engineClock is what the engines' clock is ahead of clock.Now; zero when unknown.
	engineClock atomic.Int64
	// withdrawn is the catalogue's revision at which a store's parts were last withdrawn:
	// entries must hear of that at once.
	withdrawn atomic.Uint64

	// mu guards the rest.
	mu   sync.Mutex
	used map[string]time.Duration
	// shared are parts used since Shared was last called.
	shared  []string
	entries map[string]seen
	// heard is when entries last told that an endpoint answers which control has as down.
	heard map[string]time.Duration
	// blame counts under which requests endpoints broke off, over all entries.
	blame *limit.Blame
}

// seen is what an entry said last.
type seen struct {
	at   time.Duration
	bad  []string
	work map[string]uint32
}

// NewHub returns the hub of one control VM.
func NewHub(n *Node) *Hub {
	h := &Hub{node: n, changed: newNotice()}
	h.Begin()
	return h
}

// Begin starts a reign that knows nothing yet.
func (h *Hub) Begin() *Reign {
	r := &Reign{
		Life: rand.Uint64() | 1, Catalog: block.NewCatalog(), hub: h,
		used: map[string]time.Duration{}, entries: map[string]seen{}, heard: map[string]time.Duration{},
		blame: limit.NewBlame(),
	}
	h.reign.Store(r)
	return r
}

// SetList publishes the endpoints if they have changed.
func (r *Reign) SetList(endpoints []member.Endpoint) bool {
	old := r.list.Load()
	next := &member.List{Rev: 1, Endpoints: endpoints}
	if old != nil {
		next.Rev = old.Rev + 1
		if sameEndpoints(old.Endpoints, endpoints) {
			return false
		}
	}
	r.list.Store(next.Index())
	r.hub.changed.announce()
	return true
}

func sameEndpoints(a, b []member.Endpoint) bool {
	x, errA := json.Marshal(a)
	y, errB := json.Marshal(b)
	return errA == nil && errB == nil && string(x) == string(y)
}

// List returns the endpoints, or nil before they were first read.
func (r *Reign) List() *member.List { return r.list.Load() }

// Keep records changes of the catalogue.
func (r *Reign) Keep(changes []block.Part) {
	if len(changes) == 0 {
		return
	}
	r.Catalog.Apply(changes)
	for _, p := range changes {
		if p.Name == "" && p.Tokens == 0 {
			r.withdrawn.Store(r.Catalog.Rev())
		}
	}
	r.hub.changed.announce()
}

// SetEngineClock notes the engines' clock, in milliseconds, as read between began and now.
func (r *Reign) SetEngineClock(ms int64) {
	r.engineClock.Store(ms - clock.Now().Milliseconds())
}

// Used returns when parts were last used, by clock.Now. The map belongs to the caller.
func (r *Reign) Used() map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]time.Duration, len(r.used))
	for name, at := range r.used {
		out[name] = at
	}
	return out
}

// Shared returns the parts that entries told of since the last call.
func (r *Reign) Shared() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	shared := r.shared
	r.shared = nil
	return shared
}

// Forget drops what is known of the use of a part.
func (r *Reign) Forget(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.used, name)
}

// Bad returns how many entries judge each endpoint unfit, and how many entries there are.
func (r *Reign) Bad() (votes map[string]int, entries int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	votes = map[string]int{}
	now := clock.Now()
	for _, e := range r.entries {
		if now-e.at > entryLife {
			continue
		}
		entries++
		for _, id := range e.bad {
			votes[id]++
		}
	}
	return votes, entries
}

// heardTime is how long an entry's report that an endpoint answers overrules its silence
// towards control.
const heardTime = 5 * time.Second

// Heard reports whether some entry has told of late that an endpoint answers it.
func (r *Reign) Heard(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.heard[id]
	return ok && clock.Now()-at < heardTime
}

// Handle answers the syncs of one entry until its stream ends.
func (h *Hub) Handle(ctx context.Context, s *wire.Stream, first *wire.Sync) {
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	for ask := first; ask != nil; {
		reply, err := h.answer(ctx, ask)
		if err != nil {
			return
		}
		s.SetDeadline(time.Now().Add(pullTimeout))
		if err := s.Send(&wire.Frame{Body: &wire.Frame_Synced{Synced: reply}}); err != nil {
			return
		}
		s.SetDeadline(time.Now().Add(pullIdleTimeout))
		frame, err := s.Recv()
		if err != nil {
			return
		}
		ask = frame.GetSync()
	}
}

func (h *Hub) answer(ctx context.Context, ask *wire.Sync) (*wire.Synced, error) {
	began := clock.Now()
	_, leads := h.node.Leads()
	r := h.reign.Load()
	if leads {
		r.note(ask, began)
		h.hold(ctx, ask, r)
	}
	now := clock.Now()
	r = h.reign.Load()
	_, leads = h.node.Leads()
	reply := &wire.Synced{Fresh: leads, HeldMs: uint32((now - began).Milliseconds()), AgeMs: 1, Life: r.Life}
	status := h.node.Status()
	if m, ok := status.Members.Find(status.Leader); ok {
		reply.Leader = m.Addr.String()
	}
	for _, m := range status.Members.Voters {
		reply.Members = append(reply.Members, m.Addr.String())
	}
	if !leads {
		return reply, nil
	}
	return reply, r.fill(reply, ask, h.node.View())
}

// note takes what the entry tells.
func (r *Reign) note(ask *wire.Sync, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range ask.GetUsed() {
		r.used[name] = now
	}
	r.shared = append(r.shared, ask.GetUsed()...)
	for _, id := range ask.GetHeard() {
		r.heard[id] = now
	}
	for _, print := range ask.GetBroke() {
		if r.blame.Broke(print, now) {
			r.hub.node.config.Events.Emit(event.Quarantined, "print", print)
		}
	}
	r.entries[ask.GetNode()] = seen{at: now, bad: ask.GetBad(), work: readWork(ask.GetWork())}
}

// hold waits while there is no news for the entry. News of the catalogue alone waits to the
// end, so that many changes share one answer.
func (h *Hub) hold(ctx context.Context, ask *wire.Sync, r *Reign) {
	timer := time.NewTimer(min(time.Duration(ask.GetHoldMs())*time.Millisecond, maxHold))
	defer timer.Stop()
	for {
		lists, views := h.changed.wait(), h.node.Changed()
		if h.node.View().Rev > ask.GetView() || ask.GetLife() != r.Life || h.reign.Load() != r || ask.GetKept() < r.withdrawn.Load() {
			return
		}
		if l := r.list.Load(); l != nil && l.Rev > ask.GetList() {
			return
		}
		select {
		case <-lists:
		case <-views:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// fill adds what is newer than what the entry has.
func (r *Reign) fill(reply *wire.Synced, ask *wire.Sync, v *View) error {
	var err error
	if v.Rev > ask.GetView() {
		if reply.View, err = pack(v); err != nil {
			return err
		}
		reply.Viewrev = v.Rev
	}
	same := ask.GetLife() == r.Life
	if l := r.list.Load(); l != nil && (!same || l.Rev > ask.GetList()) {
		if reply.List, err = pack(l); err != nil {
			return err
		}
		reply.Listrev = l.Rev
	}
	from := ask.GetKept()
	if !same {
		// A revision that no catalogue reaches asks for everything.
		from = 1<<64 - 1
	}
	changes, rev, all := r.Catalog.Since(from)
	if len(changes) > 0 || all {
		if reply.Kept, err = pack(changes); err != nil {
			return err
		}
	}
	reply.Keptrev, reply.All = rev, all
	if ahead := r.engineClock.Load(); ahead != 0 {
		reply.ClockMs = ahead + clock.Now().Milliseconds()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	reply.Refused = r.blame.Refused(now)
	others := map[string]uint32{}
	for node, e := range r.entries {
		if now-e.at > entryLife {
			delete(r.entries, node)
			continue
		}
		if node == ask.GetNode() {
			continue
		}
		for id, n := range e.work {
			others[id] += n
		}
	}
	reply.Work = writeWork(others)
	reply.Entries = uint32(len(r.entries))
	return nil
}
