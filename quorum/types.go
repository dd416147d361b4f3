// Package quorum implements the Raft replicated log of the control VMs, without any I/O.
//
// It owns terms, votes, the in-memory log, the commit index, the leader's lease and
// the group's membership. It reads no clock, opens no file and starts no goroutine:
// its driver (package ctrl) passes in the time and the received messages, persists
// each Ready, sends its messages and applies its committed entries.
package quorum

import (
	"net/netip"
	"slices"
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("quorum")
	// NotLeader reports that the request must go to the leader.
	NotLeader = namespace.NewType("notleader")
	// Busy reports that a membership change is still in progress.
	Busy = namespace.NewType("busy")
	// Refused reports an invalid membership change or snapshot request.
	Refused = namespace.NewType("refused")
	// Damaged reports inconsistent persisted state.
	Damaged = namespace.NewType("damaged")
)

// ID identifies a member of the group.
type ID string

// Member is one control VM.
type Member struct {
	ID   ID             `json:"id" toml:"id"`
	Addr netip.AddrPort `json:"addr" toml:"addr"`
}

// Learner is a non-voting member that receives the log and becomes a voter once it has caught up.
type Learner struct {
	Member
	// Replaces is a voter that is removed just before the learner is promoted; empty for none.
	Replaces ID `json:"for,omitempty"`
}

// Members is the group's configuration as of one log entry. It is immutable once published.
type Members struct {
	Voters   []Member  `json:"voters"`
	Learners []Learner `json:"learners,omitempty"`
}

// HasVoter reports whether id is a voter.
func (m Members) HasVoter(id ID) bool {
	return slices.ContainsFunc(m.Voters, func(v Member) bool { return v.ID == id })
}

// Find returns the member with the given id, voter or learner.
func (m Members) Find(id ID) (Member, bool) {
	for _, v := range m.All() {
		if v.ID == id {
			return v, true
		}
	}
	return Member{}, false
}

// All returns the voters, followed by the learners.
func (m Members) All() []Member {
	all := slices.Clone(m.Voters)
	for _, l := range m.Learners {
		all = append(all, l.Member)
	}
	return all
}

func (m Members) clone() Members {
	return Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// majority returns the number of voters that form a majority.
func (m Members) majority() int { return len(m.Voters)/2 + 1 }

// Entry kinds. Normal carries a command of the driver, Noop is the empty entry that a new
// leader appends, and Config carries the group's Members as JSON.
const (
	Normal uint32 = iota
	Noop
	Config
)

// Entry is one log entry.
type Entry struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	Kind  uint32 `json:"kind"`
	Data  []byte `json:"data"`
}

// HardState is the state that must be durable before any message that depends on it is sent.
type HardState struct {
	Term uint64 `json:"term"`
	Vote ID     `json:"vote"`
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index   uint64  `json:"index"`
	Term    uint64  `json:"term"`
	Members Members `json:"members"`
	Data    []byte  `json:"data"`
}

// Message kinds. Vote, Append and InstallSnapshot are the RPCs RequestVote, AppendEntries and
// InstallSnapshot of the Raft paper. PreVote asks whether a Vote request would succeed,
// without raising the term. AppendReply responds to both Append and InstallSnapshot.
const (
	PreVote uint32 = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	InstallSnapshot
)

// Message is a message between two members.
type Message struct {
	Kind     uint32
	From, To ID
	Term     uint64
	// Index and LogTerm identify the entry that precedes Entries, or the candidate's last entry.
	// In an AppendReply, Index is the last index that matches the leader's log, or the
	// index that did not match.
	Index, LogTerm uint64
	Commit         uint64
	Reject         bool
	// Hint is the last index at which a rejecting follower's log may match the leader's.
	Hint     uint64
	Entries  []Entry
	Snapshot *Snapshot
	// SentAt is when the leader sent the request; the reply repeats it.
	SentAt time.Duration
	// Addr is the leader's listen address: a member with an empty log can't look it up in Members.
	Addr netip.AddrPort
	// Time is the driver's time in the leader's group when the leader sent the message, Since from when on that time is known to have run
	// without a pause; zero if the driver keeps none.
	Time, Since time.Time
}

// Ready is the work that the driver must carry out, in the order of the fields.
type Ready struct {
	// Early messages carry a leader's entries. They may be sent before anything below is durable, so that other members
	// write their copies at the same time: this member counts its own only after Advance.
	Early []Message
	// HardState must be made durable first; nil when unchanged.
	HardState *HardState
	// Snapshot replaces the durable log; nil when none was installed.
	Snapshot *Snapshot
	// Entries are appended to the durable log, after dropping its entries from Entries[0].Index on.
	Entries []Entry
	// Messages are to be sent once the fields above are durable.
	Messages []Message
	// Committed entries are to be applied once the fields above are durable.
	Committed []Entry
}

func (r Ready) isEmpty() bool {
	return len(r.Early) == 0 && r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}

// Role is a member's role in the current term.
type Role int

// Raft roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

// String returns the role's name, as Status reports it.
func (r Role) String() string { return [...]string{"follower", "candidate", "leader"}[r] }

// Status is the member state shown to operators.
type Status struct {
	ID          ID     `json:"id"`
	Role        string `json:"role"`
	Leader      ID     `json:"leader"`
	Term        uint64 `json:"term"`
	CommitIndex uint64 `json:"commit"`
	LastIndex   uint64 `json:"last"`
	FirstIndex  uint64 `json:"first"`
	// Members is the committed group; a change shows only once it can't be lost.
	Members  Members `json:"members"`
	HasLease bool    `json:"lease"`
}
