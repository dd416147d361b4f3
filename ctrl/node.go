package ctrl

import (
	"context"
	"encoding/json"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/clock"
	"egretshunt/disk"
	"egretshunt/event"
	"egretshunt/ledger"
	"egretshunt/limit"
	"egretshunt/origin"
	"egretshunt/quorum"
	"egretshunt/ring"
	"egretshunt/table"
)

const (
	// tickInterval is how often the current time is passed to the core.
	tickInterval = 20 * time.Millisecond
	// maxInputBatch bounds the inputs that share one sync of the log.
	maxInputBatch = 512
	// inputQueueSize bounds the inputs that wait for the event loop.
	inputQueueSize = 4096
	// defaultCompactBytes is the log size, in bytes, at which a snapshot is taken.
	defaultCompactBytes = 8 << 20
)

// Transport carries messages to other members. It may lose them.
type Transport interface {
	// Send queues the message without blocking.
	Send(to quorum.Member, m quorum.Message)
}

// NodeConfig constructs a Node.
type NodeConfig struct {
	ID      quorum.ID
	Members quorum.Members
	// Voters is the number of voters that the leader maintains by itself; zero leaves the group to operators.
	Voters int
	FS     disk.FS
	// Transport carries messages to other members.
	Transport         Transport
	Events            *event.Log
	Ledger            ledger.Config
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// WallClock reads the wall clock; nil means time.Now. It is only used to start the group time.
	WallClock func() time.Time
	// Now is the clock of the lease and the group time; nil means clock.Now.
	Now func() time.Duration
	// Seed seeds the randomized election timeouts; zero means a seed of the present time.
	Seed uint64
	// Compact overrides the log size, in bytes, at which a snapshot is taken.
	Compact int64
}

// Node is one member of the control group. Its event loop drives the consensus core,
// makes its state durable and applies committed entries to the state machine.
type Node struct {
	config  NodeConfig
	in      *ring.Ring[input]
	cancel  context.CancelFunc
	running sync.WaitGroup
	started time.Duration

	// Owned by the event loop.
	core          *quorum.Core
	log           *disk.Log
	hardState     quorum.HardState
	machine       *Machine
	waiters       map[uint64]waiter
	queuedReplies []queuedReply
	clock         groupClock
	lastRole      quorum.Role
	// announcedLeader is the sender of the last message from a leader. A new member may
	// find the leader's address nowhere else.
	announcedLeader quorum.Member
	// loggedSpare is what the group bore when it was last logged, at loggedSpareAt.
	loggedSpare   int
	loggedSpareAt time.Duration

	changed *notifier

	// Published for readers; what they point to is immutable.
	tables  atomic.Pointer[table.Tables]
	view    atomic.Pointer[View]
	nodes   atomic.Pointer[map[string]NodeRegistration]
	crashes atomic.Pointer[limit.CrashTracker]
	origins atomic.Pointer[origin.Register]
	status  atomic.Pointer[quorum.Status]
	failure atomic.Pointer[error]
	// leaderClock is the group clock of this member's last leadership.
	leaderClock atomic.Pointer[groupClock]
	// electedAt is when this member last became leader; nil while it is not.
	electedAt atomic.Pointer[time.Time]
	// leaseEnd is when the current lease ends, in nanoseconds since started; zero without a lease.
	leaseEnd atomic.Int64
	// needsToJoin and spare are results of the core's functions of these names; spare is nil while another member leads.
	needsToJoin atomic.Bool
	spare       atomic.Pointer[int]
}

// input is one item for the event loop: a message, a proposal or a function to run.
type input struct {
	message  *quorum.Message
	command  *Command
	callback func()
	reply    chan outcome
}

type waiter struct {
	term  uint64
	reply chan outcome
}

type outcome struct {
	result Result
	err    error
}

// NewNode recovers the member's state from disk and starts its event loop.
func NewNode(c NodeConfig) (*Node, error) {
	n, err := recoverNode(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.running.Go(func() {
		defer n.in.Close()
		if err := n.run(ctx); err != nil {
			n.fail(err)
		}
	})
	return n, nil
}

// recoverNode recovers the member's state from disk, without an event loop.
func recoverNode(c NodeConfig) (*Node, error) {
	if c.WallClock == nil {
		c.WallClock = time.Now
	}
	if c.Now == nil {
		c.Now = clock.Now
	}
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano())
	}
	if c.Compact == 0 {
		c.Compact = defaultCompactBytes
	}
	if c.Events == nil {
		c.Events = event.Discard()
	}
	log, loaded, err := disk.OpenLog(c.FS)
	if err != nil {
		if errorx.IsOfType(err, disk.Damaged) {
			c.Events.Emit(event.Damaged, "err", err)
		}
		return nil, err
	}
	if loaded.Torn > 0 {
		c.Events.Emit(event.Torn, "lost", loaded.Torn)
	}
	recovered, err := recoverState(loaded)
	if err != nil {
		return nil, err
	}
	core, err := quorum.New(quorum.Options{
		ID: c.ID, Members: c.Members, ElectionTimeout: c.ElectionTimeout, HeartbeatInterval: c.HeartbeatInterval, Upkeep: upkeep(c.Voters), Seed: c.Seed,
		HardState: recovered.hardState, Snapshot: recovered.snapshot, Entries: recovered.entries,
	})
	if err != nil {
		return nil, err
	}
	n := &Node{
		config: c, in: ring.New[input](inputQueueSize), started: c.Now(), core: core, log: log, hardState: recovered.hardState,
		machine: NewMachine(c.Ledger), waiters: map[uint64]waiter{}, changed: newNotifier(),
	}
	if recovered.snapshot.Index > 0 {
		if err := n.machine.Restore(recovered.snapshot.Data); err != nil {
			return nil, err
		}
	}
	n.publish()
	return n, nil
}

// now returns the time since the start. It ignores jumps of the wall clock, and it advances
// while the VM is suspended, so that no lease outlives a suspension.
func (n *Node) now() time.Duration { return n.config.Now() - n.started }

// run is the event loop. A panic fails the member, whose driver starts it again from its disk, not the process.
func (n *Node) run(ctx context.Context) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = Stopped.New("event loop panicked: %v at %s", r, debug.Stack())
		}
	}()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	n.core.StartElectionTimer(n.now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.core.Tick(n.now())
		case in := <-n.in.Chan():
			n.handleInput(in)
			n.drainInputs()
		}
		if err := n.flush(); err != nil {
			return err
		}
	}
}

// flush replicates and carries out what the inputs handled since the last call have brought.
func (n *Node) flush() error {
	n.core.Flush(n.now())
	return n.processReady()
}

// drainInputs handles further queued inputs, so that they share one sync.
func (n *Node) drainInputs() {
	for range maxInputBatch {
		select {
		case in := <-n.in.Chan():
			n.handleInput(in)
		default:
			return
		}
	}
}

func (n *Node) handleInput(in input) {
	switch {
	case in.message != nil:
		if in.message.Addr.IsValid() {
			n.announcedLeader = quorum.Member{ID: in.message.From, Addr: in.message.Addr}
		}
		n.core.Step(n.now(), *in.message)
		n.followClock(*in.message)
	case in.command != nil:
		n.propose(*in.command, in.reply)
	case in.callback != nil:
		in.callback()
	}
}

func (n *Node) propose(c Command, reply chan outcome) {
	if n.core.Role() != quorum.Leader {
		reply <- outcome{err: NotLeader.New("the leader is %q", n.core.Leader())}
		return
	}
	n.updateRole()
	c.Now = n.clock.time(n.config.Now())
	data, err := json.Marshal(c)
	if err != nil {
		reply <- outcome{err: Malformed.Wrap(err, "write command")}
		return
	}
	index, term, err := n.core.Propose(data)
	if err != nil {
		reply <- outcome{err: NotLeader.Wrap(err, "propose")}
		return
	}
	n.waiters[index] = waiter{term: term, reply: reply}
}

// processReady persists, sends and applies what the core has ready until nothing is left.
func (n *Node) processReady() error {
	for {
		r, ok := n.core.Ready()
		if !ok {
			break
		}
		if n.core.Role() != quorum.Leader {
			// Ahead of a vote for another member, which may lead from then on.
			n.endLease()
		}
		n.sendMessages(r.Early)
		if err := n.saveReady(r); err != nil {
			return err
		}
		if r.Snapshot != nil {
			if err := n.machine.Restore(r.Snapshot.Data); err != nil {
				return err
			}
		}
		n.sendMessages(r.Messages)
		n.applyEntries(r.Committed)
		n.core.Advance(n.now(), r)
		n.updateRole()
	}
	n.updateRole()
	n.publish()
	n.sendReplies()
	return n.compact()
}

func (n *Node) sendMessages(messages []quorum.Message) {
	members := n.core.Members()
	self, _ := members.Find(n.config.ID)
	for _, m := range messages {
		to, ok := members.Find(m.To)
		if !ok && m.To == n.announcedLeader.ID {
			to, ok = n.announcedLeader, true
		}
		if !ok {
			continue
		}
		if fromLeader(m) {
			m.Addr, m.Time, m.Since = self.Addr, n.clock.time(n.config.Now()), n.clock.since
		}
		n.config.Transport.Send(to, m)
	}
}

// updateRole starts or ends leadership when the core's role has changed.
func (n *Node) updateRole() {
	role := n.core.Role()
	if role == n.lastRole {
		return
	}
	switch {
	case role == quorum.Leader:
		now := time.Now()
		paused := n.clock.lead(n.machine.now, n.config.WallClock(), n.config.Now())
		started := n.clock
		n.leaderClock.Store(&started)
		n.electedAt.Store(&now)
		n.config.Events.Emit(event.Elected, "term", n.core.Term(), "lag", n.config.WallClock().Sub(started.base).Milliseconds(), "paused", paused)
	case n.lastRole == quorum.Leader:
		n.endLease()
		n.config.Events.Emit(event.Deposed, "term", n.core.Term())
		n.failWaiters(OutcomeUnknown.New("this member lost its leadership"))
	}
	n.lastRole = role
}

// endLease makes IsLeader report that this member doesn't lead.
func (n *Node) endLease() {
	n.electedAt.Store(nil)
	n.leaseEnd.Store(0)
}

// failWaiters replies to all waiting proposals with err.
func (n *Node) failWaiters(err error) {
	for index, w := range n.waiters {
		w.reply <- outcome{err: err}
		delete(n.waiters, index)
	}
}

func (n *Node) publish() {
	updated := false
	if t := n.machine.tables.Tables(); n.tables.Load() != t {
		n.tables.Store(t)
		updated = true
	}
	if v := n.machine.view; n.view.Load() != v {
		n.view.Store(v)
		updated = true
	}
	if c := n.machine.crashes; n.crashes.Load() != c {
		n.crashes.Store(c)
		updated = true
	}
	n.origins.Store(n.machine.origins)
	if updated {
		n.changed.announce()
	}
	if p := n.nodes.Load(); p == nil || len(*p) != len(n.machine.nodes) {
		nodes := n.machine.Nodes()
		n.nodes.Store(&nodes)
	}
	now := n.now()
	n.publishMembership(now)
	status := n.core.Status(now)
	n.status.Store(&status)
	if !status.HasLease {
		n.leaseEnd.Store(0)
	} else {
		n.leaseEnd.Store(int64(n.core.LeaseEnd(now)))
	}
}

func (n *Node) compact() error {
	if n.log.Size() < n.config.Compact {
		return nil
	}
	data, err := n.machine.Save()
	if err != nil {
		return err
	}
	s, err := n.core.Compact(n.core.Applied(), data)
	if err != nil {
		// Nothing was applied since the last snapshot; a later call compacts the log.
		return nil
	}
	return n.saveSnapshot(s, n.core.EntriesAfterSnapshot(), nil)
}

func (n *Node) fail(err error) {
	n.failure.Store(&err)
	n.endLease()
	n.needsToJoin.Store(false)
	n.spare.Store(nil)
	n.status.Store(&quorum.Status{ID: n.config.ID, Role: "failed"})
	kind := event.Fault
	if errorx.IsOfType(err, disk.Full) || errorx.IsOfType(err, disk.Failed) {
		kind = event.DiskFull
	}
	n.config.Events.Emit(kind, "err", err)
	n.failWaiters(Stopped.Wrap(err, "this member has failed"))
}

// Deliver queues a message from another member; it is dropped when the queue is full. It reports whether this
// member still runs.
func (n *Node) Deliver(m quorum.Message) bool {
	n.in.Offer(input{message: &m})
	select {
	case <-n.in.Done():
		return false
	default:
		return true
	}
}

// Propose replicates a command and returns its result once a majority holds it.
// After an error of type OutcomeUnknown, Stopped or the context's own the outcome is unknown;
// the command may be sent again, because every command is idempotent.
func (n *Node) Propose(ctx context.Context, c Command) (Result, error) {
	reply := make(chan outcome, 1)
	if !n.in.Offer(input{command: &c, reply: reply}) {
		if err := n.Err(); err != nil {
			return Result{}, Stopped.Wrap(err, "this member has failed")
		}
		return Result{}, Busy.New("too many proposals wait")
	}
	select {
	case out := <-reply:
		return out.result, out.err
	case <-ctx.Done():
		return Result{}, OutcomeUnknown.Wrap(ctx.Err(), "wait for the log")
	case <-n.in.Done():
		return Result{}, Stopped.New("this member has stopped")
	}
}

// runOnLoop runs f on the event loop and waits for it to return.
func (n *Node) runOnLoop(ctx context.Context, f func()) error {
	done := make(chan struct{})
	callback := func() {
		f()
		close(done)
	}
	if err := n.in.Push(ctx, input{callback: callback}); err != nil {
		return Stopped.Wrap(err, "queue a call for the event loop")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return OutcomeUnknown.Wrap(ctx.Err(), "wait for the log")
	case <-n.in.Done():
		return Stopped.New("this member has stopped")
	}
}

// Close stops the member; everything that it has acknowledged stays on disk.
func (n *Node) Close() {
	n.cancel()
	n.running.Wait()
	n.failWaiters(Stopped.New("this member was closed"))
	n.log.Close()
}
