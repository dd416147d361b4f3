package ctrl

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"egretshunt/block"
	"egretshunt/clock"
	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/tally"
	"egretshunt/value"
	"egretshunt/wire"
)

const (
	// DefaultSyncHold is how long a sync without updates is held, and so how old the catalogue may be.
	DefaultSyncHold = 150 * time.Millisecond
	// syncTimeout is how long a response may take beyond the time that the sync is held.
	syncTimeout = 700 * time.Millisecond
	// CatalogLease is how long an entry may rely on its catalogue of cached parts: through the loss
	// of a leader, since without the catalogue engines recompute all that stores hold.
	CatalogLease = 3 * time.Second
	// workLease is how long an entry may rely on the work that the others have reported.
	workLease = 1200 * time.Millisecond
	// syncRedialDelay is the delay before the next control VM is tried.
	syncRedialDelay = 50 * time.Millisecond
)

// FeedConfig holds the settings of a Feed. Lease is how long the copy is fresh after control
// confirmed it; zero means the package's Lease. Hold is how long control may hold a sync without
// updates; zero means DefaultSyncHold.
type FeedConfig struct {
	Node, Place string
	Pool        *wire.Pool
	// Seeds returns the control VMs listed in the settings.
	Seeds func() []netip.AddrPort
	Lease time.Duration
	Hold  time.Duration
	// Now is the clock of the lease; nil means clock.Now.
	Now    func() time.Duration
	Events *event.Log
	// Bad returns the IDs of the endpoints that this entry has ejected.
	Bad func() []string
	// Heard returns the IDs of the endpoints that respond to this entry although control has marked
	// them down.
	Heard func() []string
	// Work returns the prompt tokens that this entry has in flight at each endpoint.
	Work func() map[string]int
	// Wants returns the demand for endpoints that have named limits.
	Wants func() []limit.PermitWant
}

// WorkUnitTokens is the number of prompt tokens in one unit of work on the wire.
const WorkUnitTokens = 64

// Feed keeps an entry's copy of the view, the endpoints and the catalogue up to date by syncing
// with the leader's Hub. Request handling reads this copy. The tables (table.Tables) are no part of
// it: a Follower keeps a node's copy of those.
type Feed struct {
	config  FeedConfig
	crashes *crashGuard
	rates   *rateGuard
	streams *streamGuard
	cold    *coldGuard
	cancel  context.CancelFunc
	running sync.WaitGroup
	changed *notifier
	catalog *block.Catalog

	// Owned by the syncing goroutine.
	incarnation, listRev, catalogRev uint64
	leader                           netip.AddrPort
	sums                             *tally.Reader

	// Published to readers; the values pointed to are immutable. confirmed holds the view and when control confirmed it.
	confirmed atomic.Pointer[confirmedView]
	list      atomic.Pointer[member.List]
	// engineClock is the offset of the engines' clock from clock.Now in milliseconds; zero if unknown.
	engineClock atomic.Int64
	entries     atomic.Int64
	// syncedWith is the leader that has answered last; nil before the first. groupClock is the offset of the group time
	// from clock.Now, in nanoseconds; zero if unknown.
	syncedWith atomic.Pointer[netip.AddrPort]
	groupClock atomic.Int64
	// targetClock dates targets; nil before the first response.
	targetClock atomic.Pointer[targetClock]
	// otherWork is the work that the other entries have in flight at each endpoint, in units of
	// WorkUnitTokens.
	otherWork atomic.Pointer[tally.Snapshot]
	stale     atomic.Bool

	// mu guards the fields below.
	mu sync.Mutex
	// members holds the addresses of the control VMs, used the parts used since the last sync.
	members, used value.Set[string]
}

// confirmedView is a view, and when control last confirmed that it was current, by clock.Now; zero before the first time.
type confirmedView struct {
	view *View
	at   time.Duration
}

// Snapshot is a view and how current it was when it was read.
type Snapshot struct {
	View *View
	// Age is the time since control last confirmed that the view was current; an hour before the first time.
	Age time.Duration
	// Fresh reports whether that is within the lease.
	Fresh bool
}

// NewFeed starts a Feed.
func NewFeed(c FeedConfig) *Feed {
	f := newFeed(c)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.running.Go(func() { f.run(ctx) })
	f.running.Go(func() { f.reportFreshness(ctx) })
	f.running.Go(func() { f.reportStreams(ctx) })
	return f
}

// newFeed returns a Feed that doesn't sync by itself.
func newFeed(c FeedConfig) *Feed {
	if c.Lease == 0 {
		c.Lease = Lease
	}
	if c.Now == nil {
		c.Now = clock.Now
	}
	if c.Hold == 0 {
		c.Hold = DefaultSyncHold
	}
	if c.Events == nil {
		c.Events = event.Discard()
	}
	f := &Feed{config: c, crashes: newCrashGuard(c.Node, c.Events), rates: newRateGuard(c.Events), streams: newStreamGuard(), cold: newColdGuard(), changed: newNotifier(), catalog: block.NewCatalog(), sums: tally.NewReader(), members: value.SetOf[string](), used: value.SetOf[string]()}
	f.confirmed.Store(&confirmedView{view: &View{Suspects: limit.NewSuspects()}})
	f.stale.Store(true)
	return f
}

// run syncs with one control VM after another, with the leader first if it is known.
func (f *Feed) run(ctx context.Context) {
	for at := 0; ctx.Err() == nil; {
		to := f.leader
		f.leader = netip.AddrPort{}
		if !to.IsValid() {
			all := f.Upstreams()
			if len(all) > 0 {
				to = all[at%len(all)]
			}
			// Attempts at a reported leader don't count: with an even number of control VMs the
			// others would be the same ones each time.
			at++
		}
		if to.IsValid() {
			f.syncWith(ctx, to)
		}
		select {
		case <-time.After(syncRedialDelay):
		case <-ctx.Done():
		}
	}
}

// Upstreams returns the addresses of the control VMs: the members last reported and the seeds.
func (f *Feed) Upstreams() []netip.AddrPort {
	f.mu.Lock()
	all := value.SetOf(f.members.Sorted()...)
	f.mu.Unlock()
	for _, a := range f.config.Seeds() {
		all.Add(a.String())
	}
	var out []netip.AddrPort
	for _, text := range all.Sorted() {
		if a, err := netip.ParseAddrPort(text); err == nil {
			out = append(out, a)
		}
	}
	return out
}

// syncWith syncs with one control VM until it fails or reports that it does not lead.
func (f *Feed) syncWith(ctx context.Context, to netip.AddrPort) {
	dialCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	s, err := f.config.Pool.Open(dialCtx, to)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	defer s.Close()
	for hold := time.Duration(0); ; hold = f.hold() {
		fresh, err := f.exchange(s, to, hold)
		if err != nil {
			if ctx.Err() == nil {
				// Perhaps only the connection is dead; a new one shows whether the VM is too.
				f.config.Pool.CloseConn(to)
			}
			return
		}
		if !fresh {
			return
		}
	}
}

// hold returns how long control may hold the next sync.
func (f *Feed) hold() time.Duration {
	if f.rates.limited.Load() {
		return min(f.config.Hold, max(limitedSyncHold, syncSpacing*time.Duration(f.EntryCount())))
	}
	return f.config.Hold
}

// isListed reports whether the list shows an incarnation of an endpoint, or there is no list.
func (f *Feed) isListed(run limit.EndpointRun) bool { return isListed(f.List(), run) }

func isListed(l *member.List, run limit.EndpointRun) bool {
	if l == nil {
		return true
	}
	at := l.Find(run.ID)
	return at != nil && at.Born == run.Born
}

// drain empties a set of names and returns them sorted.
func (f *Feed) drain(names *value.Set[string]) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	sorted := names.Sorted()
	clear(*names)
	return sorted
}

// RecordUse records that a request uses a cached part. A name that isn't UTF-8 is ignored: no sync could carry it.
func (f *Feed) RecordUse(name string) {
	if !utf8.ValidString(name) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.used.Add(name)
}

// reportFreshness emits an event whenever the copy becomes fresh or stale.
func (f *Feed) reportFreshness(ctx context.Context) {
	t := time.NewTicker(f.config.Lease / 8)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		stale := !f.Fresh()
		if f.stale.Swap(stale) == stale {
			continue
		}
		kind := event.Fresh
		if stale {
			kind = event.Stale
		}
		f.config.Events.Emit(kind, "view", f.View().Rev, "age", f.Age().Milliseconds())
	}
}

// View returns the replicated view.
func (f *Feed) View() *View { return f.confirmed.Load().view }

// Snapshot returns the replicated view with its age. A decision that uses both must take them from one snapshot: between two
// calls a sync may install a newer view, and the age would be that one's.
func (f *Feed) Snapshot() Snapshot {
	c, age := f.confirmed.Load(), time.Hour
	if c.at != 0 {
		age = f.config.Now() - c.at
	}
	return Snapshot{c.view, age, age <= f.config.Lease}
}

// List returns the endpoints, or nil before the first were received.
func (f *Feed) List() *member.List { return f.list.Load() }

// Changed returns a channel that is closed at the next change of the view or list.
func (f *Feed) Changed() <-chan struct{} { return f.changed.wait() }

// Age returns the time since control last confirmed this copy; an hour before the first time.
func (f *Feed) Age() time.Duration { return f.Snapshot().Age }

// Fresh reports whether control has confirmed the view within the lease.
func (f *Feed) Fresh() bool { return f.Snapshot().Fresh }

// Holders returns the stores and engines that hold a part; none once the catalogue lease has
// expired.
func (f *Feed) Holders(name string) []block.Holder {
	if f.Age() > CatalogLease {
		return nil
	}
	return f.catalog.Holders(name)
}

// AcceptsParts reports whether parts may be saved to a store; false once the catalogue lease has
// expired.
func (f *Feed) AcceptsParts(store netip.AddrPort) bool {
	return f.Age() <= CatalogLease && f.catalog.AcceptsParts(store)
}

// EngineClock returns the estimated time on the engines' common clock, in milliseconds, when
// clock.Now is now; zero if unknown.
func (f *Feed) EngineClock(now time.Duration) int64 {
	ahead := f.engineClock.Load()
	if ahead == 0 {
		return 0
	}
	return ahead + now.Milliseconds()
}

// OtherWork returns the work that the other entries have outstanding at each endpoint, in units of
// WorkUnitTokens; nil once they are too old.
func (f *Feed) OtherWork() *tally.Snapshot {
	if f.Age() > workLease {
		return nil
	}
	return f.otherWork.Load()
}

// EntryCount returns the number of entries that sync with control, at least one.
func (f *Feed) EntryCount() int { return max(int(f.entries.Load()), 1) }

// Close stops the syncs and waits until they have ended.
func (f *Feed) Close() {
	f.cancel()
	f.running.Wait()
}
