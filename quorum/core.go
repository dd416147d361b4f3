package quorum

import (
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// DefaultElectionTimeout is the minimum time without a leader after which a follower starts an election.
	DefaultElectionTimeout = 600 * time.Millisecond
	// DefaultHeartbeatInterval is the interval between a leader's heartbeats.
	DefaultHeartbeatInterval = 120 * time.Millisecond
	// maxAppendBytes limits the entries of one Append message.
	maxAppendBytes = 1 << 20
	// trailingEntries is how many entries stay in memory after a snapshot, so that followers
	// that lag only a little need no snapshot.
	trailingEntries = 512
	// trailingBytes bounds them too, since an entry may hold a table set of 16 MiB; the last one stays in any case.
	trailingBytes = 4 << 20
	// snapshotResendInterval is how long a leader waits for the reply to a snapshot before sending it again.
	snapshotResendInterval = 5 * time.Second
	// preVotePriorityDivisor divides the election timeout. For that part of the timeout a pre-vote takes
	// priority over those of members with a greater ID; the bound keeps a member whose replies are
	// lost from blocking the election of others.
	preVotePriorityDivisor = 4
	// leaseFraction is the part of the election timeout that a lease lasts; the rest covers clock drift.
	leaseFraction = 0.9
)

// Options configure a Core. A zero ElectionTimeout or HeartbeatInterval selects the default.
type Options struct {
	ID ID
	// Members is the initial group of a new system; ignored if there is a snapshot or a Config entry.
	Members           Members
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// Upkeep applies while this member leads.
	Upkeep Upkeep
	// Seed seeds the randomized election timeouts.
	Seed uint64

	// State recovered from disk after a restart.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Core is one member's Raft state. It is not safe for concurrent use.
type Core struct {
	id                ID
	electionTimeout   time.Duration
	heartbeatInterval time.Duration
	upkeep            Upkeep
	random            *rand.Rand

	// Persistent state, and which of it the driver has not yet made durable.
	hardState       HardState
	hardStateDirty  bool
	snapshot        Snapshot
	snapshotPending bool
	log             memoryLog
	// firstUnsaved is the lowest index that the driver has not yet written.
	firstUnsaved uint64
	// durableIndex is the highest index known to be on this member's disk.
	durableIndex uint64

	// State of the current role.
	role      Role
	leader    ID
	votes     map[ID]bool
	preVoting bool
	progress  map[ID]*progress
	// lastLeaderContact is when a message from a leader last arrived. Until an election timeout
	// later this member supports that leader's lease.
	lastLeaderContact time.Duration
	// electionTimerStart is when the election timer was last reset.
	electionTimerStart time.Duration
	// randomizedTimeout is the time without a leader after which this member starts an election.
	randomizedTimeout time.Duration
	lastHeartbeat     time.Duration
	electedAt         time.Duration

	// Commit state and membership.
	commitIndex uint64
	lastApplied uint64
	members     Members
	// configIndex is the index of the Config entry or snapshot that members comes from.
	configIndex uint64

	outbox []Message
	// now is the time of the latest Step, Tick or Flush.
	now time.Duration
}

// progress is a leader's replication state of one other member.
type progress struct {
	nextIndex, matchIndex uint64
	// ackedSentAt is when the latest acknowledged message was sent; createdAt is when the
	// leader began to track this member.
	ackedSentAt, createdAt time.Duration
	// snapshotSentAt is when the unacknowledged snapshot was sent; zero when there is none.
	snapshotSentAt time.Duration
	// probing is set until the member's log is known to match; until then entries go out only
	// with heartbeats and after a rejection, always from nextIndex on.
	probing bool
}

// New returns a follower with the recovered state.
func New(o Options) (*Core, error) {
	if o.ElectionTimeout == 0 {
		o.ElectionTimeout = DefaultElectionTimeout
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	c := &Core{
		id: o.ID, electionTimeout: o.ElectionTimeout, heartbeatInterval: o.HeartbeatInterval, upkeep: o.Upkeep,
		random:    rand.New(rand.NewPCG(o.Seed, hashID(o.ID))),
		hardState: o.HardState, snapshot: o.Snapshot,
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

// hashID hashes the ID, so that members that share a seed draw different election timeouts.
func hashID(id ID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// StartElectionTimer starts the election timer of a restarted member. The member grants votes only
// after a full election timeout, because a leader's lease may still rely on its earlier replies.
func (c *Core) StartElectionTimer(now time.Duration) {
	c.lastLeaderContact = now
	c.electionTimerStart = now
}

func (c *Core) randomizeTimeout() {
	c.randomizedTimeout = c.electionTimeout + time.Duration(c.random.Int64N(int64(c.electionTimeout)))
}

// Tick advances the time; it sends heartbeats and starts elections when they are due.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now-c.electionTimerStart < c.randomizedTimeout || !c.members.HasVoter(c.id) {
		return
	}
	c.campaign(now, true)
}

func (c *Core) tickLeader(now time.Duration) {
	if !c.hasQuorumContact(now, c.electionTimeout) {
		c.becomeFollower(now, c.hardState.Term, "")
		return
	}
	if !c.members.HasVoter(c.id) && c.configIndex <= c.commitIndex {
		// This leader's own removal is committed.
		c.becomeFollower(now, c.hardState.Term, "")
		return
	}
	if now-c.lastHeartbeat >= c.heartbeatInterval {
		c.lastHeartbeat = now
		c.broadcast(now, true)
	}
	c.promoteLearner(now)
	c.maintainGroup(now)
}

// hasQuorumContact reports whether a majority acknowledged messages sent within span, or
// this member became leader within it.
func (c *Core) hasQuorumContact(now, span time.Duration) bool {
	if now-c.electedAt < span {
		return true
	}
	return now-c.quorumContact(now) < span
}

// quorumContact returns the latest time such that a majority acknowledged messages sent at it or later.
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

// HoldsLease reports whether this member is the leader, has committed an entry of its
// term, and no other member can have become leader by now.
func (c *Core) HoldsLease(now time.Duration) bool {
	if c.role != Leader {
		return false
	}
	if term, ok := c.log.term(c.commitIndex); !ok || term != c.hardState.Term {
		return false
	}
	return now < c.LeaseEnd(now)
}

// LeaseEnd returns when the lease expires if no more replies arrive.
func (c *Core) LeaseEnd(now time.Duration) time.Duration {
	return c.quorumContact(now) + time.Duration(float64(c.electionTimeout)*leaseFraction)
}

// Propose appends data to the log as one entry and returns the entry's index and term.
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

// storeEntries puts entries into the in-memory log and marks them as unsaved.
func (c *Core) storeEntries(entries []Entry) {
	first := entries[0].Index
	c.log.truncateAndAppend(entries)
	c.firstUnsaved = min(c.firstUnsaved, first)
	c.durableIndex = min(c.durableIndex, first-1)
	if first <= c.configIndex || slices.ContainsFunc(entries, func(e Entry) bool { return e.Kind == Config }) {
		c.reloadMembers()
	}
}

// reloadMembers sets members from the latest Config entry of the log, committed or not.
func (c *Core) reloadMembers() {
	c.members, c.configIndex = c.snapshot.Members, c.snapshot.Index
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		e := c.log.entries[i]
		if e.Kind != Config || e.Index <= c.snapshot.Index {
			continue
		}
		var m Members
		// Only this package writes Config entries, so decoding them does not fail.
		if json.Unmarshal(e.Data, &m) == nil {
			c.members, c.configIndex = m, e.Index
			break
		}
	}
	c.trackProgress()
}

// Flush queues messages that replicate new log entries to the other members; the driver calls it
// once per batch.
func (c *Core) Flush(now time.Duration) {
	c.now = now
	if c.role == Leader {
		c.broadcast(now, false)
	}
}

// Ready returns the pending work, and whether there is any.
func (c *Core) Ready() (Ready, bool) {
	r := Ready{}
	r.Early, r.Messages = c.splitOutbox()
	c.outbox = nil
	if c.hardStateDirty {
		h := c.hardState
		r.HardState = &h
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

// splitOutbox returns the messages that may be sent before this member's state is durable, and the others. Only a leader whose
// term is durable has any of the first kind.
func (c *Core) splitOutbox() (early, others []Message) {
	if c.role != Leader || c.hardStateDirty || c.snapshotPending {
		return nil, c.outbox
	}
	for _, m := range c.outbox {
		if m.Kind == Append {
			early = append(early, m)
		} else {
			others = append(others, m)
		}
	}
	return early, others
}

// Advance records that the driver has persisted, sent and applied r.
func (c *Core) Advance(now time.Duration, r Ready) {
	if r.HardState != nil && *r.HardState == c.hardState {
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

// Compact replaces the entries up to index by a snapshot; data is the driver's state with
// index applied.
func (c *Core) Compact(index uint64, data []byte) (Snapshot, error) {
	term, ok := c.log.term(index)
	if !ok || index > c.lastApplied || index <= c.snapshot.Index {
		return Snapshot{}, Refused.New("can't take a snapshot at %d: applied %d, last snapshot %d", index, c.lastApplied, c.snapshot.Index)
	}
	c.snapshot = Snapshot{Index: index, Term: term, Members: c.membersAt(index), Data: data}
	c.log.compact(c.log.trailing(index, trailingEntries, trailingBytes))
	c.reloadMembers()
	return c.snapshot, nil
}

// membersAt returns the group's configuration as of the entry at index.
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

// EntriesAfterSnapshot returns the entries after the snapshot, to rewrite the durable log with.
func (c *Core) EntriesAfterSnapshot() []Entry {
	return c.log.entriesBetween(c.snapshot.Index, c.log.lastIndex())
}

// Status returns the member's state.
func (c *Core) Status(now time.Duration) Status {
	return Status{
		ID: c.id, Role: c.role.String(), Leader: c.leader, Term: c.hardState.Term, CommitIndex: c.commitIndex,
		LastIndex: c.log.lastIndex(), FirstIndex: c.log.baseIndex + 1, Members: c.committedMembers(), HasLease: c.HoldsLease(now),
	}
}

// committedMembers returns the group after the latest committed membership change: an
// uncommitted one may still be lost with this member.
func (c *Core) committedMembers() Members {
	if c.configIndex <= c.commitIndex {
		return c.members
	}
	return c.membersAt(c.commitIndex)
}

// Role returns the member's current role.
func (c *Core) Role() Role { return c.role }

// Leader returns the leader of the current term, or "" if unknown.
func (c *Core) Leader() ID { return c.leader }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hardState.Term }

// Members returns the latest configuration in the log, which may be uncommitted.
func (c *Core) Members() Members { return c.members }

// Applied returns the index of the last applied entry.
func (c *Core) Applied() uint64 { return c.lastApplied }

func (c *Core) send(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	c.outbox = append(c.outbox, m)
}
