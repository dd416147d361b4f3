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
	// syncRedial is the pause before the next control VM is asked.
	syncRedial = 50 * time.Millisecond
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

// workUnit is how many prompt tokens a unit of work on the wire stands for.
const workUnit = 64

// Feed keeps an entry's copy of the view, the endpoints and the catalogue.
type Feed struct {
	config  FeedConfig
	cancel  context.CancelFunc
	running sync.WaitGroup
	changed *notice
	catalog *block.Catalog

	// Owned by the syncing goroutine.
	life, listRev, keptRev uint64
	leader                 netip.AddrPort

	// Published for readers; what they point to is immutable.
	view atomic.Pointer[View]
	list atomic.Pointer[member.List]
	// stamp is when control last confirmed what is held, by clock.Now; zero before the first time.
	stamp       atomic.Int64
	engineClock atomic.Int64
	entries     atomic.Int64
	// others is the work that the other entries await of each endpoint, in units.
	others atomic.Pointer[map[string]uint32]
	stale  atomic.Bool
	// refused is when control first told that a request crashes endpoints, by its print.
	refused atomic.Pointer[map[string]time.Duration]

	// mu guards the rest.
	mu sync.Mutex
	// members are the addresses of the control VMs; used holds the parts used since the last sync.
	members, used value.Set[string]
	// broke holds the requests under which endpoints broke off since the last sync.
	broke value.Set[string]
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
	f := &Feed{config: c, changed: newNotice(), catalog: block.NewCatalog(), members: value.SetOf[string](), used: value.SetOf[string](), broke: value.SetOf[string]()}
	f.view.Store(&View{Suspects: limit.NewSuspects()})
	f.stale.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.running.Go(func() { f.run(ctx) })
	f.running.Go(func() { f.watch(ctx) })
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
			f.attach(ctx, to)
		}
		select {
		case <-time.After(syncRedial):
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

// attach syncs with one control VM until it fails or does not lead.
func (f *Feed) attach(ctx context.Context, to netip.AddrPort) {
	dial, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	s, err := f.config.Pool.Open(dial, to)
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
	used, broke := f.take(&f.used), f.take(&f.broke)
	ask := &wire.Sync{
		Node: f.config.Node, Place: f.config.Place, View: f.View().Rev, List: f.listRev, Kept: f.keptRev, Life: f.life,
		HoldMs: uint32(hold.Milliseconds()), Used: used, Broke: broke,
	}
	if f.config.Bad != nil {
		ask.Bad = f.config.Bad()
	}
	if f.config.Heard != nil {
		ask.Heard = f.config.Heard()
	}
	if f.config.Work != nil {
		work := map[string]uint32{}
		for id, tokens := range f.config.Work() {
			work[id] = uint32((tokens + workUnit - 1) / workUnit)
		}
		ask.Work = writeWork(work)
	}
	s.SetDeadline(time.Now().Add(hold + syncTimeout))
	if err := s.Send(&wire.Frame{Body: &wire.Frame_Sync{Sync: ask}}); err != nil {
		f.Broke(broke...)
		return false, err
	}
	frame, err := s.Recv()
	if err != nil {
		f.Broke(broke...)
		return false, err
	}
	got := frame.GetSynced()
	if got == nil {
		return false, Malformed.New("a sync was answered with something else")
	}
	f.learn(got)
	if !got.GetFresh() {
		// This control VM doesn't lead, and has counted nothing.
		f.Broke(broke...)
		return false, nil
	}
	if err := f.install(got); err != nil {
		return false, err
	}
	held, age := time.Duration(got.GetHeldMs())*time.Millisecond, time.Duration(got.GetAgeMs())*time.Millisecond
	// The leader's word is no older than the question plus the time that it was held.
	f.stamp.Store(int64(began + held - age))
	return true, nil
}

// learn takes what any control VM may say.
func (f *Feed) learn(got *wire.Synced) {
	if leader, err := netip.ParseAddrPort(got.GetLeader()); err == nil && !got.GetFresh() {
		f.leader = leader
	}
	if len(got.GetMembers()) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = value.SetOf(got.GetMembers()...)
}

func (f *Feed) install(got *wire.Synced) error {
	if len(got.GetView()) > 0 {
		v := &View{Suspects: limit.NewSuspects()}
		if err := unpack(got.GetView(), v); err != nil {
			return err
		}
		if v.Rev > f.View().Rev {
			f.view.Store(v)
			number := uint64(0)
			if v.Set != nil {
				number = v.Set.Number
			}
			f.config.Events.Emit(event.Installed, "view", v.Rev, "set", number, "leader", got.GetLeader())
			f.changed.announce()
		}
	}
	if len(got.GetList()) > 0 {
		l := &member.List{}
		if err := unpack(got.GetList(), l); err != nil {
			return err
		}
		f.list.Store(l.Index())
		f.listRev = l.Rev
		f.changed.announce()
	} else if got.GetLife() != f.life {
		f.listRev = 0
	}
	var changes []block.Part
	if len(got.GetKept()) > 0 {
		if err := unpack(got.GetKept(), &changes); err != nil {
			return err
		}
	}
	if len(changes) > 0 || got.GetAll() || got.GetLife() != f.life {
		f.catalog.Install(changes, got.GetKeptrev(), got.GetAll())
		f.keptRev = got.GetKeptrev()
	}
	f.life = got.GetLife()
	if ms := got.GetClockMs(); ms != 0 {
		f.engineClock.Store(ms - clock.Now().Milliseconds())
	}
	f.entries.Store(int64(got.GetEntries()))
	work := readWork(got.GetWork())
	f.others.Store(&work)
	f.hearRefused(got.GetRefused())
	return nil
}

// take empties what was noted since the last sync.
func (f *Feed) take(noted *value.Set[string]) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := noted.Sorted()
	clear(*noted)
	return names
}

// Use notes that a request uses a kept part.
func (f *Feed) Use(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.used.Add(name)
}

// maxBroke bounds the prints of one sync, so that a crash of many endpoints doesn't swell it.
const maxBroke = 256

// Broke notes that an endpoint broke off under each request with one of the prints.
func (f *Feed) Broke(prints ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, print := range prints {
		if len(f.broke) < maxBroke {
			f.broke.Add(print)
		}
	}
}

// hearRefused takes the prints that the leader refuses. Each is kept for its time, for the next
// leader has counted nothing yet.
func (f *Feed) hearRefused(prints []string) {
	old := f.refused.Load()
	if len(prints) == 0 && old == nil {
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
	for _, print := range prints {
		if _, known := next[print]; !known {
			next[print] = now
		}
	}
	if len(next) == 0 {
		f.refused.Store(nil)
		return
	}
	f.refused.Store(&next)
}

// Refuses reports whether requests are refused because they crash endpoints, and if so
// for how much longer the one with the print is; zero means that it may run.
func (f *Feed) Refuses(print func() string) time.Duration {
	refused := f.refused.Load()
	if refused == nil {
		return 0
	}
	at, ok := (*refused)[print()]
	if !ok {
		return 0
	}
	return max(at+limit.BlameTime-clock.Now(), 0)
}

// watch writes an event when freshness comes or goes.
func (f *Feed) watch(ctx context.Context) {
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
	stamp := f.stamp.Load()
	if stamp == 0 {
		return time.Hour
	}
	return clock.Now() - time.Duration(stamp)
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
	work := f.others.Load()
	if work == nil || f.Age() > CatalogLease {
		return 0
	}
	return int((*work)[id]) * workUnit
}

// Entries returns how many entries control hears of, at least one.
func (f *Feed) Entries() int { return max(int(f.entries.Load()), 1) }

// Close stops syncing.
func (f *Feed) Close() {
	f.cancel()
	f.running.Wait()
}
