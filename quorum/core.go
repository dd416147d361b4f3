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
	// DefaultElection is the shortest silence after which a follower stands for election.
	DefaultElection = 600 * time.Millisecond
	// DefaultBeat is the interval between a leader's heartbeats.
	DefaultBeat = 120 * time.Millisecond
	// maxAppend bounds the entries of one message, in bytes.
	maxAppend = 1 << 20
	// keepTrailing is how many applied entries stay for followers that lag a little.
	keepTrailing = 512
	// snapshotPatience is how long a sent snapshot is given before it is sent again.
	snapshotPatience = 5 * time.Second
	// pollShare divides the election time: for that part of it a poll goes before those of
	// later members; bounded, so that a member whose answers are lost can't keep others from leading.
	pollShare = 4
	// leaseShare is the part of the election time that a lease lasts; the rest covers clock drift.
	leaseShare = 0.9
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
	id       ID
	election time.Duration
	beat     time.Duration
	random   *rand.Rand

	// Durable state and what of it the driver has not yet been given.
	hard      Hard
	hardDirty bool
	snapshot  Snapshot
	install   bool
	log       memlog
	// unsaved is the lowest index not yet handed out for writing.
	unsaved uint64
	// durable is the highest index known to be on this member's disk.
	durable uint64

	// State of the current role.
	role     Role
	leader   ID
	votes    map[ID]bool
	preVote  bool
	progress map[ID]*progress
	// heard is when a leader was last heard; it backs that leader's lease.
	heard time.Duration
	// quietFrom is when this member began to wait for a leader.
	quietFrom time.Duration
	// patience is the randomised silence that leads to an election.
	patience  time.Duration
	beatAt    time.Duration
	electedAt time.Duration

	// Commitment.
	commit  uint64
	handed  uint64
	members Members
	// configAt is the index of the entry that set members.
	configAt uint64

	outbox []Message
	// now is the time of the latest step, tick or flush.
	now time.Duration
}

// progress is a leader's knowledge of one other member.
type progress struct {
	next, match uint64
	// acked is the time of sending of the latest message that was answered, since when this
	// progress began.
	acked, since time.Duration
	// snapAt is when a snapshot was sent that is not yet answered; zero when none is.
	snapAt time.Duration
	// probing holds back entries until the member has agreed on a position.
	probing bool
}

// New returns a member in the state that was durable.
func New(o Options) (*Core, error) {
	if o.Election == 0 {
		o.Election = DefaultElection
	}
	if o.Beat == 0 {
		o.Beat = DefaultBeat
	}
	c := &Core{
		id: o.ID, election: o.Election, beat: o.Beat,
		random: rand.New(rand.NewPCG(o.Seed, hashID(o.ID))),
		hard:   o.Hard, snapshot: o.Snapshot,
	}
	if c.snapshot.Index == 0 {
		c.snapshot.Members = o.Members.clone()
	}
	c.log = memlog{base: o.Snapshot.Index, baseTerm: o.Snapshot.Term}
	for i, e := range o.Entries {
		if e.Index != o.Snapshot.Index+1+uint64(i) {
			return nil, Damaged.New("log entry %d has index %d, want %d", i, e.Index, o.Snapshot.Index+1+uint64(i))
		}
	}
	c.log.entries = slices.Clone(o.Entries)
	c.unsaved = c.log.last() + 1
	c.durable = c.log.last()
	c.commit = o.Snapshot.Index
	c.handed = o.Snapshot.Index
	c.rescan()
	c.resetPatience()
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
	c.heard = now
	c.quietFrom = now
}

func (c *Core) resetPatience() {
	c.patience = c.election + time.Duration(c.random.Int64N(int64(c.election)))
}

// Tick moves time on.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now-c.quietFrom < c.patience || !c.members.Voter(c.id) {
		return
	}
	c.stand(now, true)
}

func (c *Core) tickLeader(now time.Duration) {
	if !c.inContact(now, c.election) {
		c.follow(now, c.hard.Term, "")
		return
	}
	if !c.members.Voter(c.id) && c.configAt <= c.commit {
		// This leader has carried out its own removal.
		c.follow(now, c.hard.Term, "")
		return
	}
	if now-c.beatAt >= c.beat {
		c.beatAt = now
		c.broadcast(now, true)
	}
	c.promote(now)
}

// inContact reports whether a majority answered something sent within span.
func (c *Core) inContact(now, span time.Duration) bool {
	if now-c.electedAt < span {
		return true
	}
	return now-c.contact(now) < span
}

// contact returns the latest time at or after which a majority has answered.
func (c *Core) contact(now time.Duration) time.Duration {
	times := make([]time.Duration, 0, len(c.members.Voters))
	for _, v := range c.members.Voters {
		if v.ID == c.id {
			times = append(times, now)
		} else if p, ok := c.progress[v.ID]; ok {
			times = append(times, p.acked)
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

// Lease reports whether this member is leader, has committed in its term, and
// no other member can have become leader by now.
func (c *Core) Lease(now time.Duration) bool {
	if c.role != Leader {
		return false
	}
	if term, ok := c.log.term(c.commit); !ok || term != c.hard.Term {
		return false
	}
	return now < c.LeaseEnd(now)
}

// LeaseEnd returns when the lease ends if no more answers come.
func (c *Core) LeaseEnd(now time.Duration) time.Duration {
	return c.contact(now) + time.Duration(float64(c.election)*leaseShare)
}

// Propose appends data as one entry and returns its index and term.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, NotLeader.New("the leader is %q", c.leader)
	}
	e := c.appendOwn(Normal, data)
	return e.Index, e.Term, nil
}

func (c *Core) appendOwn(kind uint32, data []byte) Entry {
	e := Entry{Index: c.log.last() + 1, Term: c.hard.Term, Kind: kind, Data: data}
	c.put([]Entry{e})
	return e
}

// put stores entries and notes that they must be written.
func (c *Core) put(entries []Entry) {
	first := entries[0].Index
	c.log.replace(entries)
	c.unsaved = min(c.unsaved, first)
	c.durable = min(c.durable, first-1)
	if first <= c.configAt || slices.ContainsFunc(entries, func(e Entry) bool { return e.Kind == Config }) {
		c.rescan()
	}
}

// rescan finds the latest members in the log.
func (c *Core) rescan() {
	c.members, c.configAt = c.snapshot.Members, c.snapshot.Index
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		e := c.log.entries[i]
		if e.Kind != Config || e.Index <= c.snapshot.Index {
			continue
		}
		var m Members
		// Config entries are written by this package alone.
		if json.Unmarshal(e.Data, &m) == nil {
			c.members, c.configAt = m, e.Index
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
	if c.hardDirty {
		h := c.hard
		r.Hard = &h
	}
	if c.install {
		s := c.snapshot
		r.Snapshot = &s
	}
	if c.unsaved <= c.log.last() {
		r.Entries = c.log.from(c.unsaved, 1<<62)
	}
	r.Committed = c.log.between(c.handed, min(c.commit, c.log.last()))
	return r, !r.empty()
}

// Advance tells that r is durable, sent and applied.
func (c *Core) Advance(now time.Duration, r Ready) {
	if r.Hard != nil && *r.Hard == c.hard {
		c.hardDirty = false
	}
	if r.Snapshot != nil && r.Snapshot.Index == c.snapshot.Index {
		c.install = false
		c.handed = max(c.handed, r.Snapshot.Index)
	}
	if n := len(r.Entries); n > 0 {
		last := r.Entries[n-1]
		c.unsaved = last.Index + 1
		c.durable = last.Index
	}
	if n := len(r.Committed); n > 0 {
		c.handed = r.Committed[n-1].Index
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Compact replaces the entries up to index by a snapshot of the applied state.
func (c *Core) Compact(index uint64, data []byte) (Snapshot, error) {
	term, ok := c.log.term(index)
	if !ok || index > c.handed || index <= c.snapshot.Index {
		return Snapshot{}, Refused.New("can't take a snapshot at %d: applied %d, last snapshot %d", index, c.handed, c.snapshot.Index)
	}
	c.snapshot = Snapshot{Index: index, Term: term, Members: c.membersAt(index), Data: data}
	if index > c.log.base+keepTrailing {
		c.log.compact(index - keepTrailing)
	}
	c.rescan()
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
func (c *Core) Tail() []Entry { return c.log.between(c.snapshot.Index, c.log.last()) }

// Status describes the member.
func (c *Core) Status(now time.Duration) Status {
	return Status{
		ID: c.id, Role: c.role.String(), Leader: c.leader, Term: c.hard.Term, Commit: c.commit,
		Last: c.log.last(), First: c.log.base + 1, Members: c.settled(), HasLease: c.Lease(now),
	}
}

// settled returns the group of the latest committed change: one that only this member
// holds may still be lost with it.
func (c *Core) settled() Members {
	if c.configAt <= c.commit {
		return c.members
	}
	return c.membersAt(c.commit)
}

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Leader returns the known leader, or "".
func (c *Core) Leader() ID { return c.leader }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hard.Term }

// Members returns the group now in force.
func (c *Core) Members() Members { return c.members }

// Applied returns the index up to which entries were handed out.
func (c *Core) Applied() uint64 { return c.handed }

func (c *Core) send(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	c.outbox = append(c.outbox, m)
}
