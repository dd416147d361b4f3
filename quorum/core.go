package quorum

import (
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// Times and sizes of the protocol.
const (
	// DefaultElectionTimeout is the shortest silence after which a follower stands for election.
	DefaultElectionTimeout = 600 * time.Millisecond
	// DefaultHeartbeatInterval is the interval between a leader's heartbeats.
	DefaultHeartbeatInterval = 120 * time.Millisecond
	// maxAppendBytes bounds the entries of one message, in bytes.
	maxAppendBytes = 1 << 20
	// trailingEntries is how many applied entries stay for followers that lag a little.
	trailingEntries = 512
	// snapshotResendInterval is how long a sent snapshot is given before it is sent again.
	snapshotResendInterval = 5 * time.Second
	// preVotePriorityDivisor divides the election time: for that part of it a poll goes before those of
	// later members; bounded, so that a member whose answers are lost can't keep others from leading.
	preVotePriorityDivisor = 4
	// leaseFraction is the part of the election time that a lease lasts; the rest covers clock drift.
	leaseFraction = 0.9
)

// Options construct a Core.
type Options struct {
	ID ID
	// Members is the group of a new system; ignored once there is a snapshot or a Config entry.
	Members  Members
	Election time.Duration
	Beat     time.Duration
	// Seed feeds the random election times.
	Seed uint64

	// What was durable before a restart.
	Hard     Hard
	Snapshot Snapshot
	Entries  []Entry
}

// Core is one member's protocol state. It is not safe for concurrent use.
type Core struct {
	id                ID
	electionTimeout   time.Duration
	heartbeatInterval time.Duration
	random            *rand.Rand

	// Durable state and what of it the driver has not yet been given.
	hardState       Hard
	hardStateDirty  bool
	snapshot        Snapshot
	snapshotPending bool
	log             memoryLog
	// firstUnsaved is the lowest index not yet handed out for writing.
	firstUnsaved uint64
	// durableIndex is the highest index known to be on this member's disk.
	durableIndex uint64

	// State of the current role.
	role      Role
	leader    ID
	votes     map[ID]bool
	preVoting bool
	progress  map[ID]*progress
	// lastLeaderContact is when a leader was last lastLeaderContact; it backs that leader's lease.
	lastLeaderContact time.Duration
	// electionTimerStart is when this member began to wait for a leader.
	electionTimerStart time.Duration
	// randomizedTimeout is the randomised silence that leads to an election.
	randomizedTimeout time.Duration
	lastHeartbeat     time.Duration
	electedAt         time.Duration

	// Commitment.
	commitIndex uint64
	lastApplied uint64
	members     Members
	// configIndex is the index of the entry that set members.
	configIndex uint64

	outbox []Message
	// now is the time of the latest step, tick or flush.
	now time.Duration
}

// progress is a leader's knowledge of one other member.
type progress struct {
	nextIndex, matchIndex uint64
	// ackedSentAt is the time of sending of the latest message that was answered, createdAt when this
	// progress began.
	ackedSentAt, createdAt time.Duration
	// snapshotSentAt is when a snapshot was sent that is not yet answered; zero when none is.
	snapshotSentAt time.Duration
	// probing holds back entries until the member has agreed on a position.
	probing bool
}

// New returns a member in the state that was durable.
func New(o Options) (*Core, error) {
	if o.Election == 0 {
		o.Election = DefaultElectionTimeout
	}
	if o.Beat == 0 {
		o.Beat = DefaultHeartbeatInterval
	}
	c := &Core{
		id: o.ID, electionTimeout: o.Election, heartbeatInterval: o.Beat,
		random:    rand.New(rand.NewPCG(o.Seed, hashID(o.ID))),
		hardState: o.Hard, snapshot: o.Snapshot,
	}
	if c.snapshot.Index == 0 {
		c.snapshot.Members = o.Members.clone()
	}
	c.log = memoryLog{baseIndex: o.Snapshot.Index, baseTerm: o.Snapshot.Term}
	for i, e := range o.Entries {
		if e.Index != o.Snapshot.Index+1+uint64(i) {
			return nil, Damaged.New("log entry %d has index %d, want %d", i, e.Index, o.Snapshot.Index+1+uint64(i))
		}
	}
	c.log.entries = slices.Clone(o.Entries)
	c.firstUnsaved = c.log.lastIndex() + 1
	c.durableIndex = c.log.lastIndex()
	c.commitIndex = o.Snapshot.Index
	c.lastApplied = o.Snapshot.Index
	c.reloadMembers()
	c.randomizeTimeout()
	return c, nil
}

// hashID makes members that share a seed draw different election times.
func hashID(id ID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// Wake tells a restarted member the time; it votes only after a full election
// time, for it can't know whether a leader's lease still stands on its word.
func (c *Core) Wake(now time.Duration) {
	c.lastLeaderContact = now
	c.electionTimerStart = now
}

func (c *Core) randomizeTimeout() {
	c.randomizedTimeout = c.electionTimeout + time.Duration(c.random.Int64N(int64(c.electionTimeout)))
}

// Tick moves time on.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now-c.electionTimerStart < c.randomizedTimeout || !c.members.Voter(c.id) {
		return
	}
	c.campaign(now, true)
}

func (c *Core) tickLeader(now time.Duration) {
	if !c.hasQuorumContact(now, c.electionTimeout) {
		c.becomeFollower(now, c.hardState.Term, "")
		return
	}
	if !c.members.Voter(c.id) && c.configIndex <= c.commitIndex {
		// This leader has carried out its own removal.
		c.becomeFollower(now, c.hardState.Term, "")
		return
	}
	if now-c.lastHeartbeat >= c.heartbeatInterval {
		c.lastHeartbeat = now
		c.broadcast(now, true)
	}
	c.promoteLearner(now)
}

// hasQuorumContact reports whether a majority answered something sent within span.
func (c *Core) hasQuorumContact(now, span time.Duration) bool {
	if now-c.electedAt < span {
		return true
	}
	return now-c.quorumContact(now) < span
}

// quorumContact returns the latest time at or after which a majority has answered.
func (c *Core) quorumContact(now time.Duration) time.Duration {
	times := make([]time.Duration, 0, len(c.members.Voters))
	for _, v := range c.members.Voters {
		if v.ID == c.id {
			times = append(times, now)
		} else if p, ok := c.progress[v.ID]; ok {
			times = append(times, p.ackedSentAt)
		} else {
			times = append(times, 0)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)-c.members.majority()]
}

// HoldsLease reports whether this member is leader, has committed in its term, and
// no other member can have become leader by now.
func (c *Core) HoldsLease(now time.Duration) bool {
	if c.role != Leader {
		return false
	}
	if term, ok := c.log.term(c.commitIndex); !ok || term != c.hardState.Term {
		return false
	}
	return now < c.LeaseEnd(now)
}

// LeaseEnd returns when the lease ends if no more answers come.
func (c *Core) LeaseEnd(now time.Duration) time.Duration {
	return c.quorumContact(now) + time.Duration(float64(c.electionTimeout)*leaseFraction)
}

// Propose appends data as one entry and returns its index and term.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, NotLeader.New("the leader is %q", c.leader)
	}
	e := c.appendEntry(Normal, data)
	return e.Index, e.Term, nil
}

func (c *Core) appendEntry(kind uint32, data []byte) Entry {
	e := Entry{Index: c.log.lastIndex() + 1, Term: c.hardState.Term, Kind: kind, Data: data}
	c.storeEntries([]Entry{e})
	return e
}

// storeEntries stores entries and notes that they must be written.
func (c *Core) storeEntries(entries []Entry) {
	first := entries[0].Index
	c.log.truncateAndAppend(entries)
	c.firstUnsaved = min(c.firstUnsaved, first)
	c.durableIndex = min(c.durableIndex, first-1)
	if first <= c.configIndex || slices.ContainsFunc(entries, func(e Entry) bool { return e.Kind == Config }) {
		c.reloadMembers()
	}
}

// reloadMembers finds the latest members in the log.
func (c *Core) reloadMembers() {
	c.members, c.configIndex = c.snapshot.Members, c.snapshot.Index
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		e := c.log.entries[i]
		if e.Kind != Config || e.Index <= c.snapshot.Index {
			continue
		}
		var m Members
		// Config entries are written by this package alone.
		if json.Unmarshal(e.Data, &m) == nil {
			c.members, c.configIndex = m, e.Index
			break
		}
	}
	c.trackProgress()
}

// Flush queues entries for the followers; the driver calls it once a batch.
func (c *Core) Flush(now time.Duration) {
	c.now = now
	if c.role == Leader {
		c.broadcast(now, false)
	}
}

// Ready returns what must be done, and whether there is anything.
func (c *Core) Ready() (Ready, bool) {
	r := Ready{Messages: c.outbox}
	c.outbox = nil
	if c.hardStateDirty {
		h := c.hardState
		r.Hard = &h
	}
	if c.snapshotPending {
		s := c.snapshot
		r.Snapshot = &s
	}
	if c.firstUnsaved <= c.log.lastIndex() {
		r.Entries = c.log.entriesFrom(c.firstUnsaved, 1<<62)
	}
	r.Committed = c.log.entriesBetween(c.lastApplied, min(c.commitIndex, c.log.lastIndex()))
	return r, !r.isEmpty()
}

// Advance tells that r is durable, sent and applied.
func (c *Core) Advance(now time.Duration, r Ready) {
	if r.Hard != nil && *r.Hard == c.hardState {
		c.hardStateDirty = false
	}
	if r.Snapshot != nil && r.Snapshot.Index == c.snapshot.Index {
		c.snapshotPending = false
		c.lastApplied = max(c.lastApplied, r.Snapshot.Index)
	}
	if n := len(r.Entries); n > 0 {
		last := r.Entries[n-1]
		c.firstUnsaved = last.Index + 1
		c.durableIndex = last.Index
	}
	if n := len(r.Committed); n > 0 {
		c.lastApplied = r.Committed[n-1].Index
	}
	if c.role == Leader {
		c.advanceCommitIndex()
	}
}

// Compact replaces the entries up to index by a snapshot of the applied state.
func (c *Core) Compact(index uint64, data []byte) (Snapshot, error) {
	term, ok := c.log.term(index)
	if !ok || index > c.lastApplied || index <= c.snapshot.Index {
		return Snapshot{}, Refused.New("can't take a snapshot at %d: applied %d, last snapshot %d", index, c.lastApplied, c.snapshot.Index)
	}
	c.snapshot = Snapshot{Index: index, Term: term, Members: c.membersAt(index), Data: data}
	if index > c.log.baseIndex+trailingEntries {
		c.log.compact(index - trailingEntries)
	}
	c.reloadMembers()
	return c.snapshot, nil
}

// membersAt returns the group as of the entry at index.
func (c *Core) membersAt(index uint64) Members {
	found := c.snapshot.Members
	for _, e := range c.log.entries {
		if e.Index > index {
			break
		}
		var m Members
		if e.Kind == Config && e.Index > c.snapshot.Index && json.Unmarshal(e.Data, &m) == nil {
			found = m
		}
	}
	return found
}

// Tail returns the entries after the snapshot, for a rewritten durable log.
func (c *Core) Tail() []Entry { return c.log.entriesBetween(c.snapshot.Index, c.log.lastIndex()) }

// Status describes the member.
func (c *Core) Status(now time.Duration) Status {
	return Status{
		ID: c.id, Role: c.role.String(), Leader: c.leader, Term: c.hardState.Term, Commit: c.commitIndex,
		Last: c.log.lastIndex(), First: c.log.baseIndex + 1, Members: c.committedMembers(), HasLease: c.HoldsLease(now),
	}
}

// committedMembers returns the group of the latest committed change: one that only this member
// holds may still be lost with it.
func (c *Core) committedMembers() Members {
	if c.configIndex <= c.commitIndex {
		return c.members
	}
	return c.membersAt(c.commitIndex)
}

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Leader returns the known leader, or "".
func (c *Core) Leader() ID { return c.leader }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hardState.Term }

// Members returns the group now in force.
func (c *Core) Members() Members { return c.members }

// Applied returns the index up to which entries were handed out.
func (c *Core) Applied() uint64 { return c.lastApplied }

func (c *Core) send(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	c.outbox = append(c.outbox, m)
}
