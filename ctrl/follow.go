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

	"egretshunt/clock"
	"egretshunt/disk"
	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/table"
	"egretshunt/wire"
)

const (
	// MaxPullHold is the longest time that an upstream holds a pull for which it has no changes.
	MaxPullHold = time.Second
	// pullTimeout is how long a pull may take in addition to the time that it is held.
	pullTimeout = 2 * time.Second
	// staleUpstreamTimeout is how long an upstream may report that it is not fresh before
	// the next one is tried.
	staleUpstreamTimeout = 700 * time.Millisecond
	// cacheFile is the name of the file that holds the installed tables.
	cacheFile = "tables"
	// saveTimeout is how long new tables wait for the disk before they are used anyway: well
	// above the time of a sync, well below the time in which a change must be in force.
	saveTimeout = 250 * time.Millisecond
)

// saveRequest asks for the content of a file to be written to disk; done receives whether it was.
type saveRequest struct {
	file    string
	content any
	done    chan bool
}

// FollowerConfig constructs a Follower.
type FollowerConfig struct {
	Node, Role, Place string
	// Addr is the address on which this node serves pulls; zero when it serves none.
	Addr netip.AddrPort
	// Endpoint is the endpoint beside which an agent runs.
	Endpoint string
	// Upstreams returns the addresses to pull from, the preferred one first.
	Upstreams func() []netip.AddrPort
	Pool      *wire.Pool
	// FS stores the tables across restarts; nil stores nothing.
	FS     disk.FS
	Events *event.Log
	// EndpointLoad returns the state of the endpoint beside this node; nil on other nodes.
	EndpointLoad func() *wire.Load
	Lease        time.Duration
	Hold         time.Duration
	// Now is the clock of the lease; nil means clock.Now.
	Now func() time.Duration
}

// Follower keeps a node's copy of the tables up to date and serves it to other nodes.
type Follower struct {
	config      FollowerConfig
	roster      *Roster
	cancel      context.CancelFunc
	running     sync.WaitGroup
	changed     *notifier
	incarnation uint64

	// ackMu keeps reports in the order of their sequence numbers; it guards ackSeq.
	ackMu  sync.Mutex
	ackSeq uint64

	// installMu serializes install.
	installMu sync.Mutex

	// pullMu keeps pulls in the order of their sequence numbers; it guards pullSeq.
	pullMu  sync.Mutex
	pullSeq uint64
	// resendAll is set when all reports must be sent to the upstream again.
	resendAll atomic.Bool
	// upstreamRoster identifies the roster behind the last response.
	upstreamRoster atomic.Uint64

	// saveRequests and placeSaves hold the newest tables and places that wait to be written.
	saveRequests, placeSaves chan saveRequest
	// closing is closed by Close.
	closing <-chan struct{}

	// Published for readers; what they point to is immutable.
	tables atomic.Pointer[table.Tables]
	view   atomic.Pointer[View]
	// confirmedAt is when control last confirmed the tables, in nanoseconds of FollowerConfig.Now; zero before the first time.
	confirmedAt atomic.Int64
	stale       atomic.Bool

	// Metrics; received and sent are in bytes.
	received, sent, pullCount, fullInstalls atomic.Uint64
}

// NewFollower loads the tables from the disk cache and starts to pull.
func NewFollower(c FollowerConfig) (*Follower, error) {
	if c.Lease == 0 {
		c.Lease = Lease
	}
	if c.Hold == 0 {
		c.Hold = MaxPullHold
	}
	if c.Events == nil {
		c.Events = event.Discard()
	}
	if c.Now == nil {
		c.Now = clock.Now
	}
	f := &Follower{
		config: c, roster: NewRoster(c.Lease), saveRequests: make(chan saveRequest, 1), placeSaves: make(chan saveRequest, 1), changed: newNotifier(),
		incarnation: rand.Uint64(),
	}
	f.tables.Store(table.Empty())
	f.view.Store(&View{Suspects: limit.NewSuspects()})
	f.stale.Store(true)
	if err := f.loadCache(); err != nil {
		return nil, err
	}
	f.loadPlaces()
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel, f.closing = cancel, ctx.Done()
	f.running.Go(func() { f.pullLoop(ctx) })
	f.running.Go(func() { f.saveLoop(ctx) })
	f.running.Go(func() { f.watchFreshness(ctx) })
	return f, nil
}

func (f *Follower) loadCache() error {
	if f.config.FS == nil {
		return nil
	}
	data, err := disk.Load(f.config.FS, cacheFile)
	if errorx.IsOfType(err, disk.Missing) {
		return nil
	}
	if err != nil {
		// A damaged cache only costs a pull of the full tables.
		f.config.Events.Emit(event.Damaged, "file", cacheFile, "err", err)
		return nil
	}
	t := table.Empty()
	if err := json.Unmarshal(data, t); err != nil {
		return Malformed.Wrap(err, "decode cached tables")
	}
	f.tables.Store(t)
	return nil
}

// pullLoop pulls from one upstream after another.
func (f *Follower) pullLoop(ctx context.Context) {
	next := 0
	for ctx.Err() == nil {
		upstreams := f.config.Upstreams()
		if len(upstreams) > 0 {
			f.pullFrom(ctx, upstreams[next%len(upstreams)])
		}
		next++
		select {
		case <-time.After(redialDelay):
		case <-ctx.Done():
		}
	}
}

// pullFrom pulls from one upstream until it fails or has not been fresh for
// staleUpstreamTimeout.
func (f *Follower) pullFrom(ctx context.Context, to netip.AddrPort) {
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
		fresh, err := f.exchangePull(s, f.config.Hold, first || !f.Fresh())
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

func (f *Follower) openStream(ctx context.Context, to netip.AddrPort) (*wire.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return f.config.Pool.Open(ctx, to)
}

// reportLoop sends the reports of this node and of its downstreams to the upstream without
// waiting for the pull that is held there. It reopens its stream after a loss.
func (f *Follower) reportLoop(ctx context.Context, to netip.AddrPort) {
	for ctx.Err() == nil {
		f.reportOnStream(ctx, to)
		select {
		case <-time.After(redialDelay):
		case <-ctx.Done():
		}
	}
}

// reportOnStream sends reports on one stream until it breaks.
func (f *Follower) reportOnStream(ctx context.Context, to netip.AddrPort) {
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

// reportInterval is how often a node checks whether its own state has changed.
const reportInterval = 200 * time.Millisecond

// exchangePull sends one pull with the pending reports and installs the response. fresh reports
// whether the upstream confirmed that the tables are current.
func (f *Follower) exchangePull(s *wire.Stream, hold time.Duration, all bool) (fresh bool, err error) {
	began := f.config.Now()
	// After a failure it is unknown which reports the upstream has and which nodes it still tracks.
	all = f.resendAll.Swap(false) || all
	pull := f.buildPull(time.Now(), all, hold)
	reply, err := f.sendPull(s, pull, hold)
	f.roster.RecordDelivery(pull.GetAcks(), err == nil)
	if err != nil {
		f.resendAll.Store(true)
		return false, err
	}
	f.pullCount.Add(1)
	if err := f.install(reply); err != nil {
		return false, err
	}
	if f.upstreamRoster.Swap(reply.GetRoster()) != reply.GetRoster() {
		// Another roster responded: freshness is only valid once that roster has received the
		// reports of all nodes.
		f.roster.ResetConfirmed()
		f.resendAll.Store(true)
		return false, nil
	}
	if !reply.GetFresh() {
		return false, nil
	}
	// The upstream responded no earlier than the pull was sent plus the time it was held.
	held := time.Duration(reply.GetHeldMs()) * time.Millisecond
	age := time.Duration(reply.GetAgeMs()) * time.Millisecond
	f.recordConfirmation(began + held - age)
	return true, nil
}

// buildPull returns a pull with the pending reports. Pulls have ascending sequence numbers
// in the order in which their contents were collected.
func (f *Follower) buildPull(now time.Time, all bool, hold time.Duration) *wire.Pull {
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

// sendPull sends one pull and returns the response.
func (f *Follower) sendPull(s *wire.Stream, pull *wire.Pull, hold time.Duration) (*wire.Tables, error) {
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
		return nil, Malformed.New("response to a pull is not a tables frame")
	}
	return frame.GetTables(), nil
}

func (f *Follower) ownAck() *wire.Ack {
	f.ackMu.Lock()
	defer f.ackMu.Unlock()
	f.ackSeq++
	a := &wire.Ack{
		Seq:  f.ackSeq,
		Node: f.config.Node, Role: f.config.Role, Place: f.config.Place, Rev: f.Tables().Rev,
		Endpoint: f.config.Endpoint, Life: f.incarnation,
	}
	if f.config.EndpointLoad != nil {
		a.Load = f.config.EndpointLoad()
	}
	return a
}

// install publishes newer tables and a newer view; older ones are ignored.
func (f *Follower) install(reply *wire.Tables) error {
	// Tables arrive on two streams; older ones must not replace newer ones.
	f.installMu.Lock()
	defer f.installMu.Unlock()
	if len(reply.GetRows()) > 0 {
		var d table.Delta
		if err := unpack(reply.GetRows(), &d); err != nil {
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
			saved, err := f.persist(f.saveRequests, cacheFile, next)
			if err != nil {
				return err
			}
			f.tables.Store(next)
			f.config.Events.Emit(event.TablesInstalled, "rev", next.Rev, "full", d.Full, "kept", saved)
			f.changed.announce()
		}
	}
	if len(reply.GetView()) == 0 {
		return nil
	}
	v := &View{Suspects: limit.NewSuspects()}
	if err := unpack(reply.GetView(), v); err != nil {
		return err
	}
	if former := f.View(); v.Rev > former.Rev {
		if err := f.savePlaces(former, v); err != nil {
			return err
		}
		f.view.Store(v)
		reportPlaces(f.config.Events, former, v)
		f.changed.announce()
	}
	return nil
}

func (f *Follower) recordConfirmation(at time.Duration) {
	if int64(at) > f.confirmedAt.Load() {
		f.confirmedAt.Store(int64(at))
	}
}

// Changed returns a channel that is closed at the next change of tables or view.
func (f *Follower) Changed() <-chan struct{} { return f.changed.wait() }

// persist writes tables or places to disk before they are used, so that a restart doesn't revert to
// older ones. It waits for a stalled disk no longer than saveTimeout: the disk must not delay
// a change that revokes a key.
func (f *Follower) persist(requests chan saveRequest, file string, content any) (saved bool, err error) {
	if f.config.FS == nil {
		return false, nil
	}
	// Only the newest need to be written.
	select {
	case <-requests:
	default:
	}
	job := saveRequest{file, content, make(chan bool, 1)}
	requests <- job
	timeout := time.NewTimer(saveTimeout)
	defer timeout.Stop()
	select {
	case saved = <-job.done:
		return saved, nil
	case <-timeout.C:
		return false, nil
	case <-f.closing:
		return false, Stopped.New("this node is closing")
	}
}

// saveLoop writes tables and places to disk on request.
func (f *Follower) saveLoop(ctx context.Context) {
	for {
		select {
		case job := <-f.saveRequests:
			f.save(job)
		case job := <-f.placeSaves:
			f.save(job)
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follower) save(job saveRequest) {
	data, err := json.Marshal(job.content)
	if err == nil {
		err = disk.Save(f.config.FS, job.file, data)
	}
	if err != nil {
		f.config.Events.Emit(event.DiskFull, "file", job.file, "err", err)
	}
	job.done <- err == nil
}

// watchFreshness emits an event when the tables become fresh or stale.
func (f *Follower) watchFreshness(ctx context.Context) {
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
		f.config.Events.Emit(kind, "rev", f.Tables().Rev)
	}
}

// Tables returns the installed tables.
func (f *Follower) Tables() *table.Tables { return f.tables.Load() }

// Snapshot returns the installed tables, and whether control had confirmed them within the lease. A decision that uses both must take
// them from here: between two calls newer tables may be installed and confirmed.
func (f *Follower) Snapshot() (t *table.Tables, fresh bool) {
	// In this order: what control has confirmed was installed before.
	fresh = f.Fresh()
	return f.Tables(), fresh
}

// View returns the installed view.
func (f *Follower) View() *View { return f.view.Load() }

// Fresh reports whether control has confirmed the tables within the lease.
func (f *Follower) Fresh() bool {
	_, fresh := f.freshness()
	return fresh
}

// freshness implements tableSource.
func (f *Follower) freshness() (age time.Duration, fresh bool) {
	confirmedAt := f.confirmedAt.Load()
	if confirmedAt == 0 {
		return 0, false
	}
	age = f.config.Now() - time.Duration(confirmedAt)
	return age, age <= f.config.Lease
}

// Rev implements wire.RevisionTracker.
func (f *Follower) Rev() uint64 { return f.Tables().Rev }

// ObserveRevision implements wire.RevisionTracker. It does nothing: the node always has a pull in
// flight, which the upstream responds to as soon as it has a newer revision.
func (f *Follower) ObserveRevision(uint64) {}

// Incarnation identifies this incarnation of the node's process.
func (f *Follower) Incarnation() uint64 { return f.incarnation }

// Roster returns the reports of the nodes that pull from this one.
func (f *Follower) Roster() *Roster { return f.roster }

// Traffic returns the bytes received and sent in pulls, the number of pulls and the number of
// full tables received.
func (f *Follower) Traffic() (received, sent, pullCount, fullInstalls uint64) {
	return f.received.Load(), f.sent.Load(), f.pullCount.Load(), f.fullInstalls.Load()
}

// Close stops pulling.
func (f *Follower) Close() {
	f.cancel()
	f.running.Wait()
}
