package ctrl

import (
	"context"
	"encoding/json"
	"iter"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"egretshunt/block"
	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/origin"
	"egretshunt/quorum"
	"egretshunt/tally"
	"egretshunt/wire"
)

const (
	// maxSyncHold is the longest time that a sync without updates is held.
	maxSyncHold = time.Second
	// entryTTL is how long an entry counts as running after its last sync.
	entryTTL = 3 * time.Second
)

// Hub answers the syncs of entries, which Feeds send. A response carries the replicated view with
// its freshness and the state that a leader rebuilds in each term: endpoints and the catalogue of
// cached parts.
type Hub struct {
	node   replica
	events *event.Log
	// now is the clock of the node's lease.
	now     func() time.Duration
	changed *notifier

	// state is replaced when this member becomes leader.
	state   atomic.Pointer[LeaderState]
	views   packCache[*View]
	starts  startBatcher
	crashes crashBatcher
}

// replica is what a Hub reads and changes of its control VM's replicated state. In production it is a *Node.
type replica interface {
	// IsLeader reports whether this member leads and holds a lease, and since when it has led.
	IsLeader() (since time.Time, ok bool)
	Status() quorum.Status
	View() *View
	Crashes() *limit.CrashTracker
	Changed() <-chan struct{}
	Propose(ctx context.Context, c Command) (Result, error)
	groupTime() (now, since time.Time)
	groupNow() time.Time
	// findOrigin returns the build at which a stream began, if its start was recorded.
	findOrigin(key origin.Key) (origin.Build, bool)
}

// LeaderState is the state that a leader has collected in its current term. It is not replicated.
type LeaderState struct {
	// Life is the incarnation of the state, which identifies it to entries; after a change they
	// need a full update.
	Life uint64
	// Catalog holds the complete cached parts of stores and engines.
	Catalog *block.Catalog

	hub     *Hub
	beganAt time.Duration
	list    atomic.Pointer[member.List]
	lists   packCache[*member.List]
	// engineClock is the offset of the engines' clock from the hub's in milliseconds; zero if unknown.
	engineClock atomic.Int64
	// withdrawn is the catalogue's revision at which all parts of a store or engine were last
	// withdrawn; a held sync that lacks it is answered at once.
	withdrawn atomic.Uint64

	// mu guards the fields below. lastUsed is when each part was last used, by the hub's clock.
	mu       sync.Mutex
	lastUsed map[string]time.Duration
	// recentlyUsed lists the parts used since the last call to TakeRecentlyUsed; entries holds the
	// latest sync of each entry, by node; work is what they have outstanding.
	recentlyUsed []string
	entries      map[string]entryReport
	work         sharedWork
	// reachableAt is when an entry last reported that an endpoint responds although control
	// has marked it down.
	reachableAt map[string]time.Duration
	issued      issuedRates
	cold        *coldLeader
}

// entryReport is the state that an entry reported in its last sync.
type entryReport struct {
	at      time.Duration
	ejected []string
}

// NewHub returns the hub of one control VM.
func NewHub(n *Node) *Hub { return newHub(n, n.config) }

// newHub returns the hub of a replica with the clock and the events of c.
func newHub(r replica, c NodeConfig) *Hub {
	h := &Hub{node: r, events: c.Events, now: c.Now, changed: newNotifier()}
	h.crashes.now = c.Now
	h.crashes.propose = func(ctx context.Context, c *limit.CrashCommand) error {
		_, err := r.Propose(ctx, Command{Crashes: c})
		return err
	}
	h.BeginTerm()
	return h
}

// BeginTerm replaces the leader's state by an empty one for a new term.
func (h *Hub) BeginTerm() *LeaderState {
	began := h.now()
	ls := &LeaderState{
		Life: rand.Uint64() | 1, Catalog: block.NewCatalog(), hub: h, beganAt: began, cold: newColdLeader(began),
		lastUsed: map[string]time.Duration{}, entries: map[string]entryReport{}, reachableAt: map[string]time.Duration{},
		work: newSharedWork(), issued: newIssuedRates(),
	}
	h.state.Store(ls)
	return ls
}

// SetList publishes the endpoints if they have changed, and reports whether they have.
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

// List returns the endpoints, or nil before the first SetList.
func (ls *LeaderState) List() *member.List { return ls.list.Load() }

// UpdateCatalog applies changes to the catalogue. The withdrawal of a store or engine ends the held syncs of all
// entries; the listing of one that had nothing to withdraw doesn't: a leader lists all of them at the start of its term.
func (ls *LeaderState) UpdateCatalog(changes []block.CatalogChange) {
	if len(changes) > 0 && ls.Catalog.Apply(changes) {
		ls.withdrawn.Store(ls.Catalog.Rev())
		ls.hub.changed.announce()
	}
}

// SetEngineClock records the engines' current time in milliseconds.
func (ls *LeaderState) SetEngineClock(ms int64) {
	ls.engineClock.Store(ms - ls.hub.now().Milliseconds())
}

// LastUsed returns when each of some parts was last used, by the hub's clock; a part whose use isn't known
// is left out.
func (ls *LeaderState) LastUsed(names iter.Seq[string]) map[string]time.Duration {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	times := map[string]time.Duration{}
	for name := range names {
		if at, ok := ls.lastUsed[name]; ok {
			times[name] = at
		}
	}
	return times
}

// TakeRecentlyUsed returns the parts that entries have reported as used since the last call.
func (ls *LeaderState) TakeRecentlyUsed() []string {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	recentlyUsed := ls.recentlyUsed
	ls.recentlyUsed = nil
	return recentlyUsed
}

// ForgetUse drops the record of a part's last use.
func (ls *LeaderState) ForgetUse(name string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	delete(ls.lastUsed, name)
}

// EjectionVotes returns how many entries have ejected each endpoint, and the number of entries.
func (ls *LeaderState) EjectionVotes() (votes map[string]int, entries int) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	votes = map[string]int{}
	now := ls.hub.now()
	for node, e := range ls.entries {
		if now-e.at > entryTTL {
			delete(ls.entries, node)
			continue
		}
		entries++
		for _, id := range e.ejected {
			votes[id]++
		}
	}
	return votes, entries
}

// reachableReportTTL is how long an entry's report that an endpoint responds outweighs
// control's failure to reach it.
const reachableReportTTL = 5 * time.Second

// ReportedReachable reports whether an entry has recently reported that the endpoint responds.
func (ls *LeaderState) ReportedReachable(id string) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	at, ok := ls.reachableAt[id]
	return ok && ls.hub.now()-at < reachableReportTTL
}

// Handle serves the syncs of one entry until its stream ends.
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
		s.SetDeadline(time.Now().Add(pullIdleTimeout))
		frame, err := s.Recv()
		if err != nil {
			return
		}
		req = frame.GetSync()
	}
}

func (h *Hub) respond(ctx context.Context, req *wire.Sync) (*wire.Synced, error) {
	began := h.now()
	_, leads := h.node.IsLeader()
	ls := h.state.Load()
	counted, report := false, uint64(0)
	if leads {
		report = ls.recordSync(req, began)
		counted = h.countCrashes(ctx, req)
		h.awaitNews(ctx, req, ls)
	}
	now := h.now()
	ls = h.state.Load()
	_, leads = h.node.IsLeader()
	reply := &wire.Synced{Fresh: leads, HeldMs: uint32((now - began).Milliseconds()), AgeMs: 1, Life: ls.Life, Counted: counted}
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
	return reply, ls.addUpdates(reply, req, h.node.View(), report)
}

// recordSync records the state that an entry reports in its sync, and returns the number of the report
// of its work.
func (ls *LeaderState) recordSync(req *wire.Sync, now time.Duration) uint64 {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, name := range req.GetUsed() {
		ls.lastUsed[name] = now
	}
	ls.recentlyUsed = append(ls.recentlyUsed, req.GetUsed()...)
	for _, id := range req.GetHeard() {
		ls.reachableAt[id] = now
	}
	ls.issued.record(req, func(run limit.EndpointRun) bool { return isListed(ls.list.Load(), run) }, now)
	ls.cold.record(req.GetNode(), now)
	ls.entries[req.GetNode()] = entryReport{at: now, ejected: req.GetBad()}
	return ls.work.record(req, now)
}

// awaitNews waits until there is an update for the entry or the hold time has passed. Changes of
// the catalogue alone do not end the wait, so that many of them share one response; only the
// withdrawal of all parts of a store or engine does. Crash verdicts end it, since a request that
// crashes endpoints may be on its way to this entry.
func (h *Hub) awaitNews(ctx context.Context, req *wire.Sync, ls *LeaderState) {
	timer := time.NewTimer(min(time.Duration(req.GetHoldMs())*time.Millisecond, maxSyncHold))
	defer timer.Stop()
	crashes := h.node.Crashes()
	for {
		lists, views := h.changed.wait(), h.node.Changed()
		if h.node.Crashes().Changed(crashes, h.node.groupNow()) {
			return
		}
		if h.node.View().Rev > req.GetView() || req.GetLife() != ls.Life || h.state.Load() != ls || req.GetKept() < ls.withdrawn.Load() {
			return
		}
		if l := ls.list.Load(); l != nil && l.Rev > req.GetList() || ls.permitsDue(req) || ls.cold.hasNews(req) {
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

// addUpdates adds everything that is newer than the entry's state to the reply. report is the
// number of the entry's report.
func (ls *LeaderState) addUpdates(reply *wire.Synced, req *wire.Sync, v *View, report uint64) error {
	var err error
	if v.Rev > req.GetView() {
		if reply.View, err = ls.hub.views.pack(v); err != nil {
			return err
		}
		reply.Viewrev = v.Rev
	}
	sameTerm := req.GetLife() == ls.Life
	if l := ls.list.Load(); l != nil && (!sameTerm || l.Rev > req.GetList()) {
		if reply.List, err = ls.lists.pack(l); err != nil {
			return err
		}
		reply.Listrev = l.Rev
	}
	from := req.GetKept()
	if !sameTerm {
		// A revision that no catalogue reaches requests the full catalogue.
		from = 1<<64 - 1
	}
	if err := ls.addChanges(reply, req, from); err != nil {
		return err
	}
	if ahead := ls.engineClock.Load(); ahead != 0 {
		reply.ClockMs = ahead + ls.hub.now().Milliseconds()
	}
	ls.addCrashVerdicts(reply, req)
	now := ls.hub.now()
	groupNow, since := ls.hub.node.groupTime()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	sums := ls.work.state(report, now)
	if req.GetShared() {
		reply.Sums = encodeSums(sums.For(req.GetEdition(), req.GetNames()))
	} else if err := addOtherWork(reply, req, sums); err != nil {
		return err
	}
	entries, turn := ls.work.sums.Reporters(req.GetNode())
	reply.Entries, reply.Turn = uint32(entries), uint32(turn)
	reply.GroupUs, reply.SinceUs = groupNow.UnixMicro(), encodeTime(since)
	ls.addPermits(reply, req, now)
	ls.cold.addTo(reply, req.GetNode(), now)
	return nil
}

// addChanges adds the changes of the catalogue after a revision.
func (ls *LeaderState) addChanges(reply *wire.Synced, req *wire.Sync, from uint64) error {
	changes, rev, all := ls.Catalog.Since(from)
	reply.Keptrev, reply.All = rev, all
	if len(changes.Records) == 0 && !all {
		return nil
	}
	if req.GetShared() {
		reply.Changes = encodeChanges(changes)
		return nil
	}
	decoded, err := ls.Catalog.Decode(changes)
	if err != nil {
		return err
	}
	reply.Kept, err = pack(decoded)
	return err
}

// addOtherWork adds the work of the other entries by name, for an entry that doesn't read sums.
func addOtherWork(reply *wire.Synced, req *wire.Sync, sums *tally.Encoded) error {
	others, err := tally.NewReader().Install(sums.For(0, 0), decodeAmounts(req.GetWork()))
	if err != nil {
		return err
	}
	var amounts []tally.Amount
	for number, value := range others.All {
		amounts = append(amounts, tally.Amount{Name: others.Name(number), Value: value})
	}
	reply.Work = encodeWork(amounts)
	return nil
}
