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
	// MaxPullHold is how long an upstream holds a pull that has no news.
	MaxPullHold = time.Second
	// pullTimeout is how long a pull may take beyond the time it is held.
	pullTimeout = 2 * time.Second
	// staleUpstreamTimeout is how long an upstream may say that it is not fresh before the next one is tried.
	staleUpstreamTimeout = 700 * time.Millisecond
	// cacheFile is the file that keeps the installed tables.
	cacheFile = "tables"
	// saveTimeout is how long tables wait for the disk before they are used: well above a sync,
	// well below the time in which a change must be in force.
	saveTimeout = 250 * time.Millisecond
)

// saveRequest is a request to keep tables on disk; done receives whether they were kept.
type saveRequest struct {
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
	changed *notice
	incarnation    uint64

	// ackMu makes the sequence of reports that of their contents; it guards ackSeq.
	ackMu  sync.Mutex
	ackSeq uint64

	// installMu serialises installing.
	installMu sync.Mutex

	// pullMu does the same for pulls; it guards pullSeq.
	pullMu  sync.Mutex
	pullSeq uint64
	// resendAll is set when the upstream must be told everything again.
	resendAll atomic.Bool
	// upstreamRoster is the roster that answered last.
	upstreamRoster atomic.Uint64

	saveRequests chan saveRequest
	// closing ends with the follower.
	closing <-chan struct{}

	// Published for readers; what they point to is immutable.
	tables atomic.Pointer[table.Tables]
	view   atomic.Pointer[View]
	// confirmedAt is when control last confirmed that the tables are fresh.
	confirmedAt atomic.Pointer[time.Time]
	stale atomic.Bool

	// Metrics.
	receivedBytes, sentBytes, pullCount, fullInstalls atomic.Uint64
}

// NewFollow loads the kept tables and starts to pull.
func NewFollow(c FollowConfig) (*Follow, error) {
	if c.Lease == 0 {
		c.Lease = Lease
	}
	if c.Hold == 0 {
		c.Hold = MaxPullHold
	}
	if c.Events == nil {
		c.Events = event.Discard()
	}
	f := &Follow{
		config: c, roster: NewRoster(c.Lease), saveRequests: make(chan saveRequest, 1), changed: newNotice(),
		incarnation: rand.Uint64(),
	}
	f.tables.Store(table.Empty())
	f.view.Store(&View{Suspects: limit.NewSuspects()})
	f.stale.Store(true)
	if err := f.loadCache(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel, f.closing = cancel, ctx.Done()
	f.running.Go(func() { f.pullLoop(ctx) })
	f.running.Go(func() { f.saveLoop(ctx) })
	f.running.Go(func() { f.watchFreshness(ctx) })
	return f, nil
}

func (f *Follow) loadCache() error {
	if f.config.FS == nil {
		return nil
	}
	data, err := disk.Load(f.config.FS, cacheFile)
	if errorx.IsOfType(err, disk.Missing) {
		return nil
	}
	if err != nil {
		// A damaged cache costs one whole pull, nothing else.
		f.config.Events.Emit(event.Damaged, "file", cacheFile, "err", err)
		return nil
	}
	t := table.Empty()
	if err := json.Unmarshal(data, t); err != nil {
		return Malformed.Wrap(err, "read kept tables")
	}
	f.tables.Store(t)
	return nil
}

// pullLoop asks one upstream after another for news.
func (f *Follow) pullLoop(ctx context.Context) {
	at := 0
	for ctx.Err() == nil {
		ups := f.config.Upstreams()
		if len(ups) > 0 {
			f.pullFrom(ctx, ups[at%len(ups)])
		}
		at++
		select {
		case <-time.After(redialDelay):
		case <-ctx.Done():
		}
	}
}

// pullFrom pulls from one upstream until it fails or has not been fresh for a while.
func (f *Follow) pullFrom(ctx context.Context, to netip.AddrPort) {
	s, err := f.openStream(ctx, to)
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
		fresh, err := f.exchangePull(s, f.config.Hold, first || !f.Fresh(time.Now()))
		if err != nil {
			return
		}
		if first {
			first = false
			reporting.Go(func() { f.reportLoop(ctx, to) })
		}
		if fresh || f.resendAll.Load() {
			staleFrom = time.Now()
			continue
		}
		if time.Since(staleFrom) > staleUpstreamTimeout {
			return
		}
		select {
		case <-time.After(redialDelay):
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follow) openStream(ctx context.Context, to netip.AddrPort) (*wire.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return f.config.Pool.Open(ctx, to)
}

// reportLoop carries the news of this node and of those behind it upstream without
// waiting for the pull that is held there, on a stream that it opens anew after a loss.
func (f *Follow) reportLoop(ctx context.Context, to netip.AddrPort) {
	for ctx.Err() == nil {
		f.reportOnStream(ctx, to)
		select {
		case <-time.After(redialDelay):
		case <-ctx.Done():
		}
	}
}

// reportOnStream reports on one stream until it breaks.
func (f *Follow) reportOnStream(ctx context.Context, to netip.AddrPort) {
	s, err := f.openStream(ctx, to)
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
			if _, err := f.exchangePull(s, 0, false); err != nil {
				return
			}
		}
		select {
		case <-news:
		case <-changed:
		case <-time.After(reportInterval):
		case <-ctx.Done():
			return
		}
	}
}

// reportInterval is how often a node looks whether its own state has changed.
const reportInterval = 200 * time.Millisecond

// exchangePull sends one pull with the pending reports and installs the answer.
func (f *Follow) exchangePull(s *wire.Stream, hold time.Duration, all bool) (fresh bool, err error) {
	began := time.Now()
	// After a failure it is not known what the upstream has, nor whom it still counts.
	all = f.resendAll.Swap(false) || all
	pull := f.buildPull(began, all, hold)
	got, err := f.sendPull(s, pull, hold)
	f.roster.Took(pull.GetAcks(), err == nil)
	if err != nil {
		f.resendAll.Store(true)
		return false, err
	}
	f.pullCount.Add(1)
	if err := f.install(got); err != nil {
		return false, err
	}
	if f.upstreamRoster.Swap(got.GetRoster()) != got.GetRoster() {
		// Another roster answered: it must know of everybody before freshness is worth anything.
		f.roster.Unprove()
		f.resendAll.Store(true)
		return false, nil
	}
	if !got.GetFresh() {
		return false, nil
	}
	// The upstream answered no earlier than it was asked plus the time it held the pull.
	held := time.Duration(got.GetHeldMs()) * time.Millisecond
	age := time.Duration(got.GetAgeMs()) * time.Millisecond
	f.recordConfirmation(began.Add(held - age))
	return true, nil
}

// buildPull makes a pull with the pending reports. Its sequence is that of its contents.
func (f *Follow) buildPull(now time.Time, all bool, hold time.Duration) *wire.Pull {
	f.pullMu.Lock()
	defer f.pullMu.Unlock()
	f.pullSeq++
	acks, whole := f.roster.Pending(now, all)
	return &wire.Pull{
		Node: f.config.Node, Role: f.config.Role, Place: f.config.Place, Rev: f.Tables().Rev,
		HoldMs: uint32(hold.Milliseconds()), Acks: append(acks, f.ownAck()), View: f.View().Rev,
		Whole: whole, Life: f.incarnation, Seq: f.pullSeq,
	}
}

// sendPull sends one pull and returns the answer.
func (f *Follow) sendPull(s *wire.Stream, pull *wire.Pull, hold time.Duration) (*wire.Tables, error) {
	sent := &wire.Frame{Body: &wire.Frame_Pull{Pull: pull}}
	s.SetDeadline(time.Now().Add(hold + pullTimeout))
	if err := s.Send(sent); err != nil {
		return nil, err
	}
	frame, err := s.Recv()
	if err != nil {
		return nil, err
	}
	f.sentBytes.Add(uint64(proto.Size(sent)))
	f.receivedBytes.Add(uint64(proto.Size(frame)))
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
		Endpoint: f.config.Endpoint, Life: f.incarnation,
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
			f.fullInstalls.Add(1)
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

func (f *Follow) recordConfirmation(stamp time.Time) {
	if old := f.confirmedAt.Load(); old == nil || stamp.After(*old) {
		f.confirmedAt.Store(&stamp)
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
	case <-f.saveRequests:
	default:
	}
	job := saveRequest{t, make(chan bool, 1)}
	f.saveRequests <- job
	late := time.NewTimer(saveTimeout)
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

// saveLoop writes the installed tables to disk.
func (f *Follow) saveLoop(ctx context.Context) {
	for {
		select {
		case job := <-f.saveRequests:
			data, err := json.Marshal(job.tables)
			if err == nil {
				err = disk.Save(f.config.FS, cacheFile, data)
			}
			if err != nil {
				f.config.Events.Emit(event.DiskFull, "file", cacheFile, "err", err)
			}
			job.done <- err == nil
		case <-ctx.Done():
			return
		}
	}
}

// watchFreshness writes an event when freshness comes or goes.
func (f *Follow) watchFreshness(ctx context.Context) {
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
	stamp := f.confirmedAt.Load()
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
func (f *Follow) Life() uint64 { return f.incarnation }

// Roster returns the reports of the nodes that pull from this one.
func (f *Follow) Roster() *Roster { return f.roster }

// Traffic returns the bytes received and sent for control, the pulls and the whole snapshots taken.
func (f *Follow) Traffic() (received, sent, pulls, fulls uint64) {
	return f.receivedBytes.Load(), f.sentBytes.Load(), f.pullCount.Load(), f.fullInstalls.Load()
}

// Close stops pulling.
func (f *Follow) Close() {
	f.cancel()
	f.running.Wait()
}
