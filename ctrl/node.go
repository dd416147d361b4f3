package ctrl

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/clock"
	"egretshunt/disk"
	"egretshunt/event"
	"egretshunt/ledger"
	"egretshunt/quorum"
	"egretshunt/ring"
	"egretshunt/table"
)

const (
	// tickInterval is how often the core is told the time.
	tickInterval = 20 * time.Millisecond
	// maxInputBatch is how many inputs share one sync.
	maxInputBatch = 512
	// inputQueueSize bounds what waits for the log's goroutine.
	inputQueueSize = 4096
	// defaultCompactBytes is the size of the log at which a snapshot is taken.
	defaultCompactBytes = 8 << 20
)

// Transport carries messages to other members. It may lose them.
type Transport interface {
	// Send queues the message and never waits.
	Send(to quorum.Member, m quorum.Message)
}

// NodeConfig constructs a Node.
type NodeConfig struct {
	ID      quorum.ID
	Members quorum.Members
	FS      disk.FS
	// Transport carries messages to other members.
	Transport Transport
	Events    *event.Log
	Ledger    ledger.Config
	Election  time.Duration
	Beat      time.Duration
	// WallClock reads the wall clock; nil means time.Now. It only starts the group's own time.
	WallClock func() time.Time
	// CompactBytes overrides the log size at which a snapshot is taken, in bytes.
	CompactBytes int64
}

// Node is one member of the control group: it drives the core.
type Node struct {
	config  NodeConfig
	inputs      *ring.Ring[input]
	cancel  context.CancelFunc
	running sync.WaitGroup
	started time.Duration

	// Owned by the log's goroutine.
	core    *quorum.Core
	log     *disk.Log
	hardState    quorum.Hard
	machine *Machine
	waiters map[uint64]waiter
	queuedReplies []queuedReply
	clock   groupClock
	lastRole     quorum.Role
	// announcedLeader is who last said that it leads; a new member finds it nowhere else.
	announcedLeader quorum.Member

	changed *notice

	// Published for readers; what they point to is immutable.
	tables atomic.Pointer[table.Tables]
	view   atomic.Pointer[View]
	nodes  atomic.Pointer[map[string]Joined]
	status atomic.Pointer[quorum.Status]
	failure atomic.Pointer[error]
	// electedAt is when this member last became leader; nil while it is not.
	electedAt atomic.Pointer[time.Time]
	// leaseEnd is when the lease now held ends, in nanoseconds since started; zero when none is held.
	leaseEnd atomic.Int64
}

// input is one thing for the log's goroutine to do.
type input struct {
	message *quorum.Message
	command *Command
	callback    func()
	reply   chan outcome
}

type waiter struct {
	term  uint64
	reply chan outcome
}

type outcome struct {
	result Result
	err    error
}

// groupClock advances the group's own time by the monotonic clock of the leader.
type groupClock struct {
	base time.Time
	startedAt   time.Time
}

func (g *groupClock) start(last, wall time.Time) {
	g.base = last
	if last.IsZero() {
		g.base = wall
	}
	g.startedAt = time.Now()
}

func (g *groupClock) now() time.Time { return g.base.Add(time.Since(g.startedAt)) }

// NewNode recovers what is on disk and starts the member.
func NewNode(c NodeConfig) (*Node, error) {
	if c.WallClock == nil {
		c.WallClock = time.Now
	}
	if c.CompactBytes == 0 {
		c.CompactBytes = defaultCompactBytes
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
	had, err := recoverState(loaded)
	if err != nil {
		return nil, err
	}
	core, err := quorum.New(quorum.Options{
		ID: c.ID, Members: c.Members, Election: c.Election, Beat: c.Beat, Seed: uint64(time.Now().UnixNano()),
		Hard: had.hard, Snapshot: had.snapshot, Entries: had.entries,
	})
	if err != nil {
		return nil, err
	}
	n := &Node{
		config: c, inputs: ring.New[input](inputQueueSize), started: clock.Now(), core: core, log: log, hardState: had.hard,
		machine: NewMachine(c.Ledger), waiters: map[uint64]waiter{}, changed: newNotice(),
	}
	if had.snapshot.Index > 0 {
		if err := n.machine.Restore(had.snapshot.Data); err != nil {
			return nil, err
		}
	}
	n.publish()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.running.Go(func() {
		defer n.inputs.Close()
		if err := n.run(ctx); err != nil {
			n.fail(err)
		}
	})
	return n, nil
}

// now is the time since the start. Wall clock jumps do not touch it, and it goes on while
// the machine is suspended, so that no lease outlives that.
func (n *Node) now() time.Duration { return clock.Now() - n.started }

func (n *Node) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	n.core.Wake(n.now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.core.Tick(n.now())
		case in := <-n.inputs.Chan():
			n.handleInput(in)
			n.drainInputs()
		}
		n.core.Flush(n.now())
		if err := n.processReady(); err != nil {
			return err
		}
	}
}

// drainInputs takes what else waits, so that one sync serves many.
func (n *Node) drainInputs() {
	for range maxInputBatch {
		select {
		case in := <-n.inputs.Chan():
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
	c.Now = n.clock.now()
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

// processReady carries out what the core has ready until there is nothing left.
func (n *Node) processReady() error {
	for {
		r, ok := n.core.Ready()
		if !ok {
			break
		}
		if err := n.saveReady(r); err != nil {
			return err
		}
		if r.Snapshot != nil {
			if err := n.machine.Restore(r.Snapshot.Data); err != nil {
				return err
			}
		}
		n.sendMessages(r.Messages)
		if err := n.applyEntries(r.Committed); err != nil {
			return err
		}
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
		if m.Kind == quorum.Append || m.Kind == quorum.Install {
			m.Addr = self.Addr
		}
		n.config.Transport.Send(to, m)
	}
}

func (n *Node) applyEntries(entries []quorum.Entry) error {
	for _, e := range entries {
		out := outcome{}
		switch e.Kind {
		case quorum.Normal:
			var c Command
			if err := json.Unmarshal(e.Data, &c); err != nil {
				return Malformed.Wrap(err, "read entry %d", e.Index)
			}
			out.result = n.machine.Apply(e.Index, c)
			n.emitChange(c, out.result)
		case quorum.Config:
			n.config.Events.Emit(event.Members, "index", e.Index, "members", string(e.Data))
		}
		n.queueReply(e, out)
	}
	return nil
}

func (n *Node) queueReply(e quorum.Entry, out outcome) {
	w, ok := n.waiters[e.Index]
	if !ok {
		return
	}
	delete(n.waiters, e.Index)
	if w.term != e.Term {
		out = outcome{err: Unsure.New("another leader wrote entry %d", e.Index)}
	}
	n.queuedReplies = append(n.queuedReplies, queuedReply{w.reply, out})
}

// queuedReply is an answer that goes out once its effect is published.
type queuedReply struct {
	reply chan outcome
	out   outcome
}

// sendReplies answers proposals. It comes after publish, so that whoever was told
// of a change can read it here.
func (n *Node) sendReplies() {
	for _, p := range n.queuedReplies {
		p.reply <- p.out
	}
	clear(n.queuedReplies)
	n.queuedReplies = n.queuedReplies[:0]
}

// emitChange writes the event of a table change on the leader.
func (n *Node) emitChange(c Command, r Result) {
	if c.Change == nil || n.core.Role() != quorum.Leader {
		return
	}
	kind := event.Changed
	if r.Change.Code != "" {
		kind = event.Refused
	}
	n.config.Events.Emit(kind, "table", c.Change.Table, "row", c.Change.Name, "op", c.Change.Op, "who", c.Change.Who,
		"change", c.Change.ID, "rev", r.Change.Rev, "code", r.Change.Code, "text", r.Change.Text)
}

// updateRole reacts to a change of role.
func (n *Node) updateRole() {
	role := n.core.Role()
	if role == n.lastRole {
		return
	}
	switch {
	case role == quorum.Leader:
		now := time.Now()
		n.clock.start(n.machine.now, n.config.WallClock())
		n.electedAt.Store(&now)
		n.config.Events.Emit(event.Elected, "term", n.core.Term())
	case n.lastRole == quorum.Leader:
		n.electedAt.Store(nil)
		n.leaseEnd.Store(0)
		n.config.Events.Emit(event.Deposed, "term", n.core.Term())
		n.failWaiters(Unsure.New("this member lost the lead"))
	}
	n.lastRole = role
}

// failWaiters answers everybody who waits with err.
func (n *Node) failWaiters(err error) {
	for index, w := range n.waiters {
		w.reply <- outcome{err: err}
		delete(n.waiters, index)
	}
}

func (n *Node) publish() {
	fresh := false
	if t := n.machine.tables.Tables(); n.tables.Load() != t {
		n.tables.Store(t)
		fresh = true
	}
	if v := n.machine.view; n.view.Load() != v {
		n.view.Store(v)
		fresh = true
	}
	if fresh {
		n.changed.announce()
	}
	if p := n.nodes.Load(); p == nil || len(*p) != len(n.machine.nodes) {
		nodes := n.machine.Nodes()
		n.nodes.Store(&nodes)
	}
	now := n.now()
	status := n.core.Status(now)
	n.status.Store(&status)
	if !status.HasLease {
		n.leaseEnd.Store(0)
	} else {
		n.leaseEnd.Store(int64(n.core.LeaseEnd(now)))
	}
}

func (n *Node) compact() error {
	if n.log.Size() < n.config.CompactBytes {
		return nil
	}
	data, err := n.machine.Save()
	if err != nil {
		return err
	}
	s, err := n.core.Compact(n.core.Applied(), data)
	if err != nil {
		// Nothing was applied since the last snapshot; the log shrinks later.
		return nil
	}
	return n.saveSnapshot(s, n.core.Tail(), nil)
}

func (n *Node) fail(err error) {
	n.failure.Store(&err)
	n.electedAt.Store(nil)
	n.leaseEnd.Store(0)
	n.status.Store(&quorum.Status{ID: n.config.ID, Role: "failed"})
	kind := event.Fault
	if errorx.IsOfType(err, disk.Full) || errorx.IsOfType(err, disk.Failed) {
		kind = event.DiskFull
	}
	n.config.Events.Emit(kind, "err", err)
	n.failWaiters(Stopped.Wrap(err, "this member has failed"))
}

// Deliver takes a message of another member; it is dropped when the member is overloaded.
func (n *Node) Deliver(m quorum.Message) { n.inputs.Offer(input{message: &m}) }

// Propose replicates a command and returns its result once a majority holds it.
// An error of type Unsure, Stopped or the context's own leaves its fate open; the
// command may be sent again, for each is idempotent.
func (n *Node) Propose(ctx context.Context, c Command) (Result, error) {
	reply := make(chan outcome, 1)
	if !n.inputs.Offer(input{command: &c, reply: reply}) {
		if err := n.Err(); err != nil {
			return Result{}, Stopped.Wrap(err, "this member has failed")
		}
		return Result{}, Busy.New("too many proposals wait")
	}
	select {
	case out := <-reply:
		return out.result, out.err
	case <-ctx.Done():
		return Result{}, Unsure.Wrap(ctx.Err(), "wait for the log")
	case <-n.inputs.Done():
		return Result{}, Stopped.New("this member has stopped")
	}
}

// runOnLoop runs f on the log's goroutine and waits for it.
func (n *Node) runOnLoop(ctx context.Context, f func()) error {
	done := make(chan struct{})
	call := func() {
		f()
		close(done)
	}
	if err := n.inputs.Push(ctx, input{callback: call}); err != nil {
		return Stopped.Wrap(err, "reach the log")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return Unsure.Wrap(ctx.Err(), "wait for the log")
	case <-n.inputs.Done():
		return Stopped.New("this member has stopped")
	}
}

// Close stops the member; what it has answered stays on disk.
func (n *Node) Close() {
	n.cancel()
	n.running.Wait()
	n.failWaiters(Stopped.New("this member was closed"))
	n.log.Close()
}
