package ctrl

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"egretshunt/block"
	"egretshunt/clock"
	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/value"
	"egretshunt/wire"
)

const (
	// DefaultSyncHold is how long a sync without news is held, and so how old the catalogue may be.
	DefaultSyncHold = 150 * time.Millisecond
	// syncTimeout is how long an answer may take beyond the time that the sync is held.
	syncTimeout = 700 * time.Millisecond
	// CatalogLease is how long an entry may trust its catalogue of kept parts.
	CatalogLease = 1200 * time.Millisecond
	// syncRedialDelay is the pause before the next control VM is asked.
	syncRedialDelay = 50 * time.Millisecond
)

// FeedConfig constructs a Feed.
type FeedConfig struct {
	Node, Place string
	Pool        *wire.Pool
	// Seeds returns the control VMs that the settings name.
	Seeds  func() []netip.AddrPort
	Lease  time.Duration
	Hold   time.Duration
	Events *event.Log
	// Bad returns the endpoints that this entry judges unfit.
	Bad func() []string
	// Heard returns the endpoints that answer this entry though control has them as down.
	Heard func() []string
	// Work returns the prompt tokens that this entry awaits of each endpoint.
	Work func() map[string]int
}

// workUnitTokens is how many prompt tokens a unit of work on the wire stands for.
const workUnitTokens = 64

// Feed keeps an entry's copy of the view, the endpoints and the catalogue.
type Feed struct {
	config  FeedConfig
	cancel  context.CancelFunc
	running sync.WaitGroup
	changed *notifier
	catalog *block.Catalog

	// Owned by the syncing goroutine.
	incarnation, listRev, catalogRev uint64
	leader                           netip.AddrPort

	// Published for readers; what they point to is immutable.
	view atomic.Pointer[View]
	list atomic.Pointer[member.List]
	// confirmedAt is when control last confirmed what is held, by clock.Now; zero before the first time.
	confirmedAt atomic.Int64
	engineClock atomic.Int64
	entries     atomic.Int64
	// otherWork is the work that the other entries await of each endpoint, in units.
	otherWork atomic.Pointer[map[string]uint32]
	stale     atomic.Bool
	// quarantined is when control first told that a request crashes endpoints, by its print.
	quarantined atomic.Pointer[map[string]time.Duration]

	// mu guards the rest.
	mu sync.Mutex
	// members are the addresses of the control VMs; used holds the parts used since the last sync.
	members, used value.Set[string]
	// crashReports holds the requests under which endpoints broke off since the last sync.
	crashReports value.Set[string]
}

// NewFeed starts to sync.
func NewFeed(c FeedConfig) *Feed {
	if c.Lease == 0 {
		c.Lease = Lease
	}
	if c.Hold == 0 {
		c.Hold = DefaultSyncHold
	}
	if c.Events == nil {
		c.Events = event.Discard()
	}
	f := &Feed{config: c, changed: newNotifier(), catalog: block.NewCatalog(), members: value.SetOf[string](), used: value.SetOf[string](), crashReports: value.SetOf[string]()}
	f.view.Store(&View{Suspects: limit.NewSuspects()})
	f.stale.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.running.Go(func() { f.run(ctx) })
	f.running.Go(func() { f.reportFreshness(ctx) })
	return f
}

// run asks one control VM after another, the leader first.
func (f *Feed) run(ctx context.Context) {
	for at := 0; ctx.Err() == nil; at++ {
		to := f.leader
		f.leader = netip.AddrPort{}
		if !to.IsValid() {
			all := f.Upstreams()
			if len(all) > 0 {
				to = all[at%len(all)]
			}
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

// Upstreams returns the control VMs known.
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

// syncWith syncs with one control VM until it fails or does not lead.
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
	for hold := time.Duration(0); ; hold = f.config.Hold {
		fresh, err := f.exchange(s, hold)
		if err != nil {
			if ctx.Err() == nil {
				// The connection may have gone silent; a new one shows whether the VM has.
				f.config.Pool.Drop(to)
			}
			return
		}
		if !fresh {
			return
		}
	}
}

// exchange sends one sync and installs the answer.
func (f *Feed) exchange(s *wire.Stream, hold time.Duration) (fresh bool, err error) {
	began := clock.Now()
	used, crashReports := f.drain(&f.used), f.drain(&f.crashReports)
	req := &wire.Sync{
		Node: f.config.Node, Place: f.config.Place, View: f.View().Rev, List: f.listRev, Kept: f.catalogRev, Life: f.incarnation,
		HoldMs: uint32(hold.Milliseconds()), Used: used, Broke: crashReports,
	}
	if f.config.Bad != nil {
		req.Bad = f.config.Bad()
	}
	if f.config.Heard != nil {
		req.Heard = f.config.Heard()
	}
	if f.config.Work != nil {
		work := map[string]uint32{}
		for id, tokens := range f.config.Work() {
			work[id] = uint32((tokens + workUnitTokens - 1) / workUnitTokens)
		}
		req.Work = writeWork(work)
	}
	s.SetDeadline(time.Now().Add(hold + syncTimeout))
	if err := s.Send(&wire.Frame{Body: &wire.Frame_Sync{Sync: req}}); err != nil {
		f.Broke(crashReports...)
		return false, err
	}
	frame, err := s.Recv()
	if err != nil {
		f.Broke(crashReports...)
		return false, err
	}
	reply := frame.GetSynced()
	if reply == nil {
		return false, Malformed.New("a sync was answered with something else")
	}
	f.updateMembers(reply)
	if !reply.GetFresh() {
		// This control VM doesn't lead, and has counted nothing.
		f.Broke(crashReports...)
		return false, nil
	}
	if err := f.install(reply); err != nil {
		return false, err
	}
	held, age := time.Duration(reply.GetHeldMs())*time.Millisecond, time.Duration(reply.GetAgeMs())*time.Millisecond
	// The leader's word is no older than the question plus the time that it was held.
	f.confirmedAt.Store(int64(began + held - age))
	return true, nil
}

// updateMembers takes what any control VM may say.
func (f *Feed) updateMembers(reply *wire.Synced) {
	if leader, err := netip.ParseAddrPort(reply.GetLeader()); err == nil && !reply.GetFresh() {
		f.leader = leader
	}
	if len(reply.GetMembers()) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = value.SetOf(reply.GetMembers()...)
}

func (f *Feed) install(reply *wire.Synced) error {
	if len(reply.GetView()) > 0 {
		v := &View{Suspects: limit.NewSuspects()}
		if err := unpack(reply.GetView(), v); err != nil {
			return err
		}
		if v.Rev > f.View().Rev {
			f.view.Store(v)
			number := uint64(0)
			if v.Set != nil {
				number = v.Set.Number
			}
			f.config.Events.Emit(event.Installed, "view", v.Rev, "set", number, "leader", reply.GetLeader())
			f.changed.announce()
		}
	}
	if len(reply.GetList()) > 0 {
		l := &member.List{}
		if err := unpack(reply.GetList(), l); err != nil {
			return err
		}
		f.list.Store(l.Index())
		f.listRev = l.Rev
		f.changed.announce()
	} else if reply.GetLife() != f.incarnation {
		f.listRev = 0
	}
	var changes []block.Part
	if len(reply.GetKept()) > 0 {
		if err := unpack(reply.GetKept(), &changes); err != nil {
			return err
		}
	}
	if len(changes) > 0 || reply.GetAll() || reply.GetLife() != f.incarnation {
		f.catalog.Install(changes, reply.GetKeptrev(), reply.GetAll())
		f.catalogRev = reply.GetKeptrev()
	}
	f.incarnation = reply.GetLife()
	if ms := reply.GetClockMs(); ms != 0 {
		f.engineClock.Store(ms - clock.Now().Milliseconds())
	}
	f.entries.Store(int64(reply.GetEntries()))
	work := readWork(reply.GetWork())
	f.otherWork.Store(&work)
	f.updateRefused(reply.GetRefused())
	return nil
}

// drain empties what was noted since the last sync.
func (f *Feed) drain(names *value.Set[string]) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	sorted := names.Sorted()
	clear(*names)
	return sorted
}

// Use notes that a request uses a kept part.
func (f *Feed) Use(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.used.Add(name)
}

// maxCrashReports bounds the prints of one sync, so that a crash of many endpoints doesn't swell it.
const maxCrashReports = 256

// Broke notes that an endpoint broke off under each request with one of the prints.
func (f *Feed) Broke(fingerprints ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, print := range fingerprints {
		if len(f.crashReports) < maxCrashReports {
			f.crashReports.Add(print)
		}
	}
}

// updateRefused takes the prints that the leader refuses. Each is kept for its time, for the next
// leader has counted nothing yet.
func (f *Feed) updateRefused(fingerprints []string) {
	old := f.quarantined.Load()
	if len(fingerprints) == 0 && old == nil {
		return
	}
	now := clock.Now()
	next := map[string]time.Duration{}
	if old != nil {
		for print, at := range *old {
			if now-at < limit.BlameTime {
				next[print] = at
			}
		}
	}
	for _, print := range fingerprints {
		if _, ok := next[print]; !ok {
			next[print] = now
		}
	}
	if len(next) == 0 {
		f.quarantined.Store(nil)
		return
	}
	f.quarantined.Store(&next)
}

// Refuses reports whether requests are refused because they crash endpoints, and if so
// for how much longer the one with the print is; zero means that it may run.
func (f *Feed) Refuses(print func() string) time.Duration {
	quarantined := f.quarantined.Load()
	if quarantined == nil {
		return 0
	}
	at, ok := (*quarantined)[print()]
	if !ok {
		return 0
	}
	return max(at+limit.BlameTime-clock.Now(), 0)
}

// reportFreshness writes an event when freshness comes or goes.
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
func (f *Feed) View() *View { return f.view.Load() }

// List returns the endpoints, or nil before the first were heard of.
func (f *Feed) List() *member.List { return f.list.Load() }

// Changed returns a channel that is closed at the next change of view or list.
func (f *Feed) Changed() <-chan struct{} { return f.changed.wait() }

// Age returns for how long control has not confirmed what is held; very long before the first time.
func (f *Feed) Age() time.Duration {
	confirmedAt := f.confirmedAt.Load()
	if confirmedAt == 0 {
		return time.Hour
	}
	return clock.Now() - time.Duration(confirmedAt)
}

// Fresh reports whether control has confirmed the view within the lease.
func (f *Feed) Fresh() bool { return f.Age() <= f.config.Lease }

// Where returns the stores that hold a part, as far as that can be relied on.
func (f *Feed) Where(name string) []block.Holder {
	if f.Age() > CatalogLease {
		return nil
	}
	return f.catalog.Where(name)
}

// Open reports whether parts may be saved to a store.
func (f *Feed) Open(store netip.AddrPort) bool {
	return f.Age() <= CatalogLease && f.catalog.Open(store)
}

// EngineClock returns the engines' clock at the moment now of clock.Now; zero when unknown.
func (f *Feed) EngineClock(now time.Duration) int64 {
	ahead := f.engineClock.Load()
	if ahead == 0 {
		return 0
	}
	return ahead + now.Milliseconds()
}

// Others returns the prompt tokens that the other entries await of an endpoint.
func (f *Feed) Others(id string) int {
	work := f.otherWork.Load()
	if work == nil || f.Age() > CatalogLease {
		return 0
	}
	return int((*work)[id]) * workUnitTokens
}

// Entries returns how many entries control hears of, at least one.
func (f *Feed) Entries() int { return max(int(f.entries.Load()), 1) }

// Close stops syncing.
func (f *Feed) Close() {
	f.cancel()
	f.running.Wait()
}
