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
	// maxSyncHold bounds how long a sync that has no news is held.
	maxSyncHold = time.Second
	// entryTTL is how long an entry counts as present after its last sync.
	entryTTL = 3 * time.Second
)

// Hub answers the syncs of entries: the replicated view with its freshness, and the state
// that the leader gathers anew in each term: endpoints and the catalogue of kept parts.
type Hub struct {
	node    *Node
	changed *notifier

	// state is replaced when this member begins to lead.
	state atomic.Pointer[LeaderState]
}

// LeaderState is what a leader has gathered since it began to lead.
type LeaderState struct {
	// Life names the term to those that sync.
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
	mu       sync.Mutex
	lastUsed map[string]time.Duration
	// recentlyUsed are parts used since Shared was last called.
	recentlyUsed []string
	entries      map[string]entryReport
	// reachableAt is when entries last told that an endpoint answers which control has as down.
	reachableAt map[string]time.Duration
	// crashCounts counts under which requests endpoints broke off, over all entries.
	crashCounts *limit.Blame
}

// entryReport is what an entry said last.
type entryReport struct {
	at      time.Duration
	ejected []string
	work    map[string]uint32
}

// NewHub returns the hub of one control VM.
func NewHub(n *Node) *Hub {
	h := &Hub{node: n, changed: newNotifier()}
	h.BeginTerm()
	return h
}

// BeginTerm starts a term that knows nothing yet.
func (h *Hub) BeginTerm() *LeaderState {
	ls := &LeaderState{
		Life: rand.Uint64() | 1, Catalog: block.NewCatalog(), hub: h,
		lastUsed: map[string]time.Duration{}, entries: map[string]entryReport{}, reachableAt: map[string]time.Duration{},
		crashCounts: limit.NewBlame(),
	}
	h.state.Store(ls)
	return ls
}

// SetList publishes the endpoints if they have changed.
func (ls *LeaderState) SetList(endpoints []member.Endpoint) bool {
	old := ls.list.Load()
	next := &member.List{Rev: 1, Endpoints: endpoints}
	if old != nil {
		next.Rev = old.Rev + 1
		if sameEndpoints(old.Endpoints, endpoints) {
			return false
		}
	}
	ls.list.Store(next.Index())
	ls.hub.changed.announce()
	return true
}

func sameEndpoints(a, b []member.Endpoint) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

// List returns the endpoints, or nil before they were first read.
func (ls *LeaderState) List() *member.List { return ls.list.Load() }

// UpdateCatalog records changes of the catalogue.
func (ls *LeaderState) UpdateCatalog(changes []block.Part) {
	if len(changes) == 0 {
		return
	}
	ls.Catalog.Apply(changes)
	for _, p := range changes {
		if p.Name == "" && p.Tokens == 0 {
			ls.withdrawn.Store(ls.Catalog.Rev())
		}
	}
	ls.hub.changed.announce()
}

// SetEngineClock notes the engines' clock, in milliseconds, as read between began and now.
func (ls *LeaderState) SetEngineClock(ms int64) {
	ls.engineClock.Store(ms - clock.Now().Milliseconds())
}

// LastUsed returns when parts were last used, by clock.Now. The map belongs to the caller.
func (ls *LeaderState) LastUsed() map[string]time.Duration {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	times := make(map[string]time.Duration, len(ls.lastUsed))
	for name, at := range ls.lastUsed {
		times[name] = at
	}
	return times
}

// TakeRecentlyUsed returns the parts that entries told of since the last call.
func (ls *LeaderState) TakeRecentlyUsed() []string {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	recentlyUsed := ls.recentlyUsed
	ls.recentlyUsed = nil
	return recentlyUsed
}

// ForgetUse drops what is known of the use of a part.
func (ls *LeaderState) ForgetUse(name string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	delete(ls.lastUsed, name)
}

// EjectionVotes returns how many entries judge each endpoint unfit, and how many entries there are.
func (ls *LeaderState) EjectionVotes() (votes map[string]int, entries int) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	votes = map[string]int{}
	now := clock.Now()
	for _, e := range ls.entries {
		if now-e.at > entryTTL {
			continue
		}
		entries++
		for _, id := range e.ejected {
			votes[id]++
		}
	}
	return votes, entries
}

// reachableReportTTL is how long an entry's report that an endpoint answers overrules its silence
// towards control.
const reachableReportTTL = 5 * time.Second

// ReportedReachable reports whether some entry has told of late that an endpoint answers it.
func (ls *LeaderState) ReportedReachable(id string) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	at, ok := ls.reachableAt[id]
	return ok && clock.Now()-at < reachableReportTTL
}

// Handle answers the syncs of one entry until its stream ends.
func (h *Hub) Handle(ctx context.Context, s *wire.Stream, first *wire.Sync) {
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	for req := first; req != nil; {
		reply, err := h.respond(ctx, req)
		if err != nil {
			return
		}
		s.SetDeadline(time.Now().Add(pullTimeout))
		if err := s.Send(&wire.Frame{Body: &wire.Frame_Synced{Synced: reply}}); err != nil {
			return
		}
		s.SetDeadline(time.Now().Add(idlePull))
		frame, err := s.Recv()
		if err != nil {
			return
		}
		req = frame.GetSync()
	}
}

func (h *Hub) respond(ctx context.Context, req *wire.Sync) (*wire.Synced, error) {
	began := clock.Now()
	_, leads := h.node.Leads()
	ls := h.state.Load()
	if leads {
		ls.recordSync(req, began)
		h.awaitNews(ctx, req, ls)
	}
	now := clock.Now()
	ls = h.state.Load()
	_, leads = h.node.Leads()
	reply := &wire.Synced{Fresh: leads, HeldMs: uint32((now - began).Milliseconds()), AgeMs: 1, Life: ls.Life}
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
	return reply, ls.addUpdates(reply, req, h.node.View())
}

// recordSync takes what the entry tells.
func (ls *LeaderState) recordSync(req *wire.Sync, now time.Duration) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, name := range req.GetUsed() {
		ls.lastUsed[name] = now
	}
	ls.recentlyUsed = append(ls.recentlyUsed, req.GetUsed()...)
	for _, id := range req.GetHeard() {
		ls.reachableAt[id] = now
	}
	for _, print := range req.GetBroke() {
		if ls.crashCounts.Broke(print, now) {
			ls.hub.node.config.Events.Emit(event.Quarantined, "print", print)
		}
	}
	ls.entries[req.GetNode()] = entryReport{at: now, ejected: req.GetBad(), work: readWork(req.GetWork())}
}

// awaitNews waits while there is no news for the entry. News of the catalogue alone waits to the
// end, so that many changes share one answer.
func (h *Hub) awaitNews(ctx context.Context, req *wire.Sync, ls *LeaderState) {
	timer := time.NewTimer(min(time.Duration(req.GetHoldMs())*time.Millisecond, maxSyncHold))
	defer timer.Stop()
	for {
		lists, views := h.changed.wait(), h.node.Changed()
		if h.node.View().Rev > req.GetView() || req.GetLife() != ls.Life || h.state.Load() != ls || req.GetKept() < ls.withdrawn.Load() {
			return
		}
		if l := ls.list.Load(); l != nil && l.Rev > req.GetList() {
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

// addUpdates adds what is newer than what the entry has.
func (ls *LeaderState) addUpdates(reply *wire.Synced, req *wire.Sync, v *View) error {
	var err error
	if v.Rev > req.GetView() {
		if reply.View, err = pack(v); err != nil {
			return err
		}
		reply.Viewrev = v.Rev
	}
	sameTerm := req.GetLife() == ls.Life
	if l := ls.list.Load(); l != nil && (!sameTerm || l.Rev > req.GetList()) {
		if reply.List, err = pack(l); err != nil {
			return err
		}
		reply.Listrev = l.Rev
	}
	from := req.GetKept()
	if !sameTerm {
		// A revision that no catalogue reaches asks for everything.
		from = 1<<64 - 1
	}
	changes, rev, all := ls.Catalog.Since(from)
	if len(changes) > 0 || all {
		if reply.Kept, err = pack(changes); err != nil {
			return err
		}
	}
	reply.Keptrev, reply.All = rev, all
	if ahead := ls.engineClock.Load(); ahead != 0 {
		reply.ClockMs = ahead + clock.Now().Milliseconds()
	}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	now := clock.Now()
	reply.Refused = ls.crashCounts.Refused(now)
	otherWork := map[string]uint32{}
	for node, e := range ls.entries {
		if now-e.at > entryTTL {
			delete(ls.entries, node)
			continue
		}
		if node == req.GetNode() {
			continue
		}
		for id, n := range e.work {
			otherWork[id] += n
		}
	}
	reply.Work = writeWork(otherWork)
	reply.Entries = uint32(len(ls.entries))
	return nil
}
