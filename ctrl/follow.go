package ctrl

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"egretshunt/disk"
	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/table"
	"egretshunt/wire"
)

const (
	// HoldTime is how long an upstream holds a pull that has no news.
	HoldTime = time.Second
	// pullTimeout is how long a pull may take beyond the time it is held.
	pullTimeout = 2 * time.Second
	// staleSwitch is how long an upstream may say that it is not fresh before the next one is tried.
	staleSwitch = 700 * time.Millisecond
	// cacheName is the file that keeps the installed tables.
	cacheName = "tables"
	// saveWait is how long tables wait for the disk before they are used: well above a sync,
	// well below the time in which a change must be in force.
	saveWait = 250 * time.Millisecond
)

// saving is a request to keep tables on disk; done receives whether they were kept.
type saving struct {
	tables *table.Tables
	done   chan bool
}

// FollowConfig constructs a Follow.
type FollowConfig struct {
	Node, Role, Place string
	// Addr is where this node serves pulls itself; zero when it does not.
	Addr netip.AddrPort
	// Endpoint is the endpoint that an agent stands beside.
	Endpoint string
	// Upstreams returns whom to pull from, the preferred one first.
	Upstreams func() []netip.AddrPort
	Pool      *wire.Pool
	// FS keeps the tables over a restart; nil keeps nothing.
	FS     disk.FS
	Events *event.Log
	// Report tells the state of the endpoint beside this node; nil for others.
	Report func() *wire.Load
	Lease  time.Duration
	Hold   time.Duration
}

// Follow keeps a node's copy of the tables and serves it to others.
type Follow struct {
	config  FollowConfig
	roster  *Roster
	cancel  context.CancelFunc
	running sync.WaitGroup
	changed *notifier
	life    uint64

	// ackMu makes the sequence of reports that of their contents; it guards ackSeq.
	ackMu  sync.Mutex
	ackSeq uint64

	// installMu serialises installing.
	installMu sync.Mutex

	// pullMu does the same for pulls; it guards pullSeq.
	pullMu  sync.Mutex
	pullSeq uint64
	// retell is set when the upstream must be told everything again.
	retell atomic.Bool
	// upstream is the roster that answered last.
	upstream atomic.Uint64

	save chan saving
	// closing ends with the follower.
	closing <-chan struct{}

	// Published for readers; what they point to is immutable.
	tables atomic.Pointer[table.Tables]
	view   atomic.Pointer[View]
	// stamp is when control last confirmed that the tables are fresh.
	stamp atomic.Pointer[time.Time]
	stale atomic.Bool

	// Metrics.
	received, sent, pulls, fulls atomic.Uint64
}

// NewFollow loads the kept tables and starts to pull.
func NewFollow(c FollowConfig) (*Follow, error) {
	if c.Lease == 0 {
		c.Lease = Lease
	}
	if c.Hold == 0 {
		c.Hold = HoldTime
	}
	if c.Events == nil {
		c.Events = event.Discard()
	}
	f := &Follow{
		config: c, roster: NewRoster(c.Lease), save: make(chan saving, 1), changed: newNotifier(),
		life: rand.Uint64(),
	}
	f.tables.Store(table.Empty())
	f.view.Store(&View{Suspects: limit.NewSuspects()})
	f.stale.Store(true)
	if err := f.load(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel, f.closing = cancel, ctx.Done()
	f.running.Go(func() { f.pull(ctx) })
	f.running.Go(func() { f.keep(ctx) })
	f.running.Go(func() { f.watch(ctx) })
	return f, nil
}

func (f *Follow) load() error {
	if f.config.FS == nil {
		return nil
	}
	data, err := disk.Load(f.config.FS, cacheName)
	if errorx.IsOfType(err, disk.Missing) {
		return nil
	}
	if err != nil {
		// A damaged cache costs one whole pull, nothing else.
		f.config.Events.Emit(event.Damaged, "file", cacheName, "err", err)
		return nil
	}
	t := table.Empty()
	if err := json.Unmarshal(data, t); err != nil {
		return Malformed.Wrap(err, "read kept tables")
	}
	f.tables.Store(t)
	return nil
}

// pull asks one upstream after another for news.
func (f *Follow) pull(ctx context.Context) {
	at := 0
	for ctx.Err() == nil {
		ups := f.config.Upstreams()
		if len(ups) > 0 {
			f.attach(ctx, ups[at%len(ups)])
		}
		at++
		select {
		case <-time.After(redial):
		case <-ctx.Done():
		}
	}
}

// attach pulls from one upstream until it fails or has not been fresh for a while.
func (f *Follow) attach(ctx context.Context, to netip.AddrPort) {
	s, err := f.open(ctx, to)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	defer s.Close()
	var reporting sync.WaitGroup
	defer reporting.Wait()
	defer cancel()
	staleFrom := time.Now()
	first := true
	for {
		fresh, err := f.exchange(s, f.config.Hold, first || !f.Fresh(time.Now()))
		if err != nil {
			return
		}
		if first {
			first = false
			reporting.Go(func() { f.report(ctx, to) })
		}
		if fresh || f.retell.Load() {
			staleFrom = time.Now()
			continue
		}
		if time.Since(staleFrom) > staleSwitch {
			return
		}
		select {
		case <-time.After(redial):
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follow) open(ctx context.Context, to netip.AddrPort) (*wire.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return f.config.Pool.Open(ctx, to)
}

// report carries the news of this node and of those behind it upstream without
// waiting for the pull that is held there, on a stream that it opens anew after a loss.
func (f *Follow) report(ctx context.Context, to netip.AddrPort) {
	for ctx.Err() == nil {
		f.reportOn(ctx, to)
		select {
		case <-time.After(redial):
		case <-ctx.Done():
		}
	}
}

// reportOn reports on one stream until it breaks.
func (f *Follow) reportOn(ctx context.Context, to netip.AddrPort) {
	s, err := f.open(ctx, to)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	defer s.Close()
	var sent *wire.Ack
	for {
		news, changed := f.roster.news.wait(), f.Changed()
		if own := f.ownAck(); f.roster.pending(time.Now()) || sent == nil || !equalAck(sent, own) {
			sent = own
			if _, err := f.exchange(s, 0, false); err != nil {
				return
			}
		}
		select {
		case <-news:
		case <-changed:
		case <-time.After(reportTime):
		case <-ctx.Done():
			return
		}
	}
}

// reportTime is how often a node looks whether its own state has changed.
const reportTime = 200 * time.Millisecond

// exchange sends one pull with the pending reports and installs the answer.
func (f *Follow) exchange(s *wire.Stream, hold time.Duration, all bool) (fresh bool, err error) {
	began := time.Now()
	// After a failure it is not known what the upstream has, nor whom it still counts.
	all = f.retell.Swap(false) || all
	pull := f.compose(began, all, hold)
	got, err := f.ask(s, pull, hold)
	f.roster.RecordDelivery(pull.GetAcks(), err == nil)
	if err != nil {
		f.retell.Store(true)
		return false, err
	}
	f.pulls.Add(1)
	if err := f.install(got); err != nil {
		return false, err
	}
	if f.upstream.Swap(got.GetRoster()) != got.GetRoster() {
		// Another roster answered: it must know of everybody before freshness is worth anything.
		f.roster.ResetConfirmed()
		f.retell.Store(true)
		return false, nil
	}
	if !got.GetFresh() {
		return false, nil
	}
	// The upstream answered no earlier than it was asked plus the time it held the pull.
	held := time.Duration(got.GetHeldMs()) * time.Millisecond
	age := time.Duration(got.GetAgeMs()) * time.Millisecond
	f.refresh(began.Add(held - age))
	return true, nil
}

// compose makes a pull with the pending reports. Its sequence is that of its contents.
func (f *Follow) compose(now time.Time, all bool, hold time.Duration) *wire.Pull {
	f.pullMu.Lock()
	defer f.pullMu.Unlock()
	f.pullSeq++
	acks, whole := f.roster.Pending(now, all)
	return &wire.Pull{
		Node: f.config.Node, Role: f.config.Role, Place: f.config.Place, Rev: f.Tables().Rev,
		HoldMs: uint32(hold.Milliseconds()), Acks: append(acks, f.ownAck()), View: f.View().Rev,
		Whole: whole, Life: f.life, Seq: f.pullSeq,
	}
}

// ask sends one pull and returns the answer.
func (f *Follow) ask(s *wire.Stream, pull *wire.Pull, hold time.Duration) (*wire.Tables, error) {
	sent := &wire.Frame{Body: &wire.Frame_Pull{Pull: pull}}
	s.SetDeadline(time.Now().Add(hold + pullTimeout))
	if err := s.Send(sent); err != nil {
		return nil, err
	}
	frame, err := s.Recv()
	if err != nil {
		return nil, err
	}
	f.sent.Add(uint64(proto.Size(sent)))
	f.received.Add(uint64(proto.Size(frame)))
	if frame.GetTables() == nil {
		return nil, Malformed.New("upstream answered a pull with something else")
	}
	return frame.GetTables(), nil
}

func (f *Follow) ownAck() *wire.Ack {
	f.ackMu.Lock()
	defer f.ackMu.Unlock()
	f.ackSeq++
	a := &wire.Ack{
		Seq:  f.ackSeq,
		Node: f.config.Node, Role: f.config.Role, Place: f.config.Place, Rev: f.Tables().Rev,
		Endpoint: f.config.Endpoint, Life: f.life,
	}
	if f.config.Report != nil {
		a.Load = f.config.Report()
	}
	return a
}

// install publishes newer tables and a newer view; it never goes back.
func (f *Follow) install(got *wire.Tables) error {
	// Two streams bring tables; the older must not replace the newer.
	f.installMu.Lock()
	defer f.installMu.Unlock()
	if len(got.GetRows()) > 0 {
		var d table.Delta
		if err := unpack(got.GetRows(), &d); err != nil {
			return err
		}
		if d.Full {
			f.fulls.Add(1)
		}
		old := f.Tables()
		next, err := old.Install(&d)
		if err != nil {
			return Malformed.Wrap(err, "install tables")
		}
		if next != old {
			kept, err := f.persist(next)
			if err != nil {
				return err
			}
			f.tables.Store(next)
			f.config.Events.Emit(event.Installed, "rev", next.Rev, "full", d.Full, "kept", kept)
			f.changed.announce()
		}
	}
	if len(got.GetView()) == 0 {
		return nil
	}
	v := &View{Suspects: limit.NewSuspects()}
	if err := unpack(got.GetView(), v); err != nil {
		return err
	}
	if v.Rev > f.View().Rev {
		f.view.Store(v)
		f.changed.announce()
	}
	return nil
}

func (f *Follow) refresh(stamp time.Time) {
	if old := f.stamp.Load(); old == nil || stamp.After(*old) {
		f.stamp.Store(&stamp)
	}
}

// Changed returns a channel that is closed at the next change of tables or view.
func (f *Follow) Changed() <-chan struct{} { return f.changed.wait() }

// persist keeps tables on disk before they are used, so that a restart doesn't return to
// older ones. A stalled disk is not waited for: it must not delay a change that takes a key away.
func (f *Follow) persist(t *table.Tables) (kept bool, err error) {
	if f.config.FS == nil {
		return false, nil
	}
	// Only the newest is worth writing.
	select {
	case <-f.save:
	default:
	}
	job := saving{t, make(chan bool, 1)}
	f.save <- job
	late := time.NewTimer(saveWait)
	defer late.Stop()
	select {
	case kept = <-job.done:
		return kept, nil
	case <-late.C:
		return false, nil
	case <-f.closing:
		return false, Stopped.New("this node is closing")
	}
}

// keep writes the installed tables to disk.
func (f *Follow) keep(ctx context.Context) {
	for {
		select {
		case job := <-f.save:
			data, err := json.Marshal(job.tables)
			if err == nil {
				err = disk.Save(f.config.FS, cacheName, data)
			}
			if err != nil {
				f.config.Events.Emit(event.DiskFull, "file", cacheName, "err", err)
			}
			job.done <- err == nil
		case <-ctx.Done():
			return
		}
	}
}

// watch writes an event when freshness comes or goes.
func (f *Follow) watch(ctx context.Context) {
	t := time.NewTicker(f.config.Lease / 8)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		stale := !f.Fresh(time.Now())
		if f.stale.Swap(stale) == stale {
			continue
		}
		kind := event.Fresh
		if stale {
			kind = event.Stale
		}
		f.config.Events.Emit(kind, "rev", f.Tables().Rev)
	}
}

// Tables returns the installed snapshot.
func (f *Follow) Tables() *table.Tables { return f.tables.Load() }

// View returns the installed view.
func (f *Follow) View() *View { return f.view.Load() }

// Fresh reports whether control has confirmed the tables within the lease.
func (f *Follow) Fresh(now time.Time) bool {
	age, ok := f.age(now)
	return ok && age <= f.config.Lease
}

func (f *Follow) age(now time.Time) (time.Duration, bool) {
	stamp := f.stamp.Load()
	if stamp == nil {
		return 0, false
	}
	return now.Sub(*stamp), true
}

// Rev implements wire.Clock.
func (f *Follow) Rev() uint64 { return f.Tables().Rev }

// Heard implements wire.Clock. A node that hears of a newer revision than its own
// has a pull under way already, held by its upstream only while that has no news.
func (f *Follow) Heard(uint64) {}

// Life identifies this run of the node's process.
func (f *Follow) Life() uint64 { return f.life }

// Roster returns the reports of the nodes that pull from this one.
func (f *Follow) Roster() *Roster { return f.roster }

// Traffic returns the bytes received and sent for control, the pulls and the whole snapshots taken.
func (f *Follow) Traffic() (received, sent, pulls, fulls uint64) {
	return f.received.Load(), f.sent.Load(), f.pulls.Load(), f.fulls.Load()
}

// Close stops pulling.
func (f *Follow) Close() {
	f.cancel()
	f.running.Wait()
}
