// Package quorum is a leader-based replicated log without input or output.
//
// The core owns terms, votes, the log in memory, commitment, the leader's lease
// and the membership of the group. It reads no clock, opens no file and starts
// no goroutine: its driver (package ctrl) passes in the time and the messages,
// makes each Ready durable, sends its messages and applies its entries.
package quorum

import (
	"net/netip"
	"slices"
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("quorum")
	// NotLeader reports that another member must be asked.
	NotLeader = namespace.NewType("notleader")
	// Busy reports that a membership change is still under way.
	Busy = namespace.NewType("busy")
	// Refused reports a membership change that makes no sense.
	Refused = namespace.NewType("refused")
	// Damaged reports restored state that contradicts itself.
	Damaged = namespace.NewType("damaged")
)

// ID names a member of the group.
type ID string

// Member is one control VM.
type Member struct {
	ID   ID             `json:"id" toml:"id"`
	Addr netip.AddrPort `json:"addr" toml:"addr"`
}

// Learner receives the log and becomes a voter once it has caught up.
type Learner struct {
	Member
	// Replaces names a voter that leaves just before the learner is promoted.
	Replaces ID `json:"for,omitempty"`
}

// Members is the group as of one entry of the log. Immutable once published.
type Members struct {
	Voters   []Member  `json:"voters"`
	Learners []Learner `json:"learners,omitempty"`
}

// Voter reports whether id may vote.
func (m Members) Voter(id ID) bool {
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

// All returns voters and learners.
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

// majority returns how many voters decide.
func (m Members) majority() int { return len(m.Voters)/2 + 1 }

// Kinds of entry.
const (
	Normal uint32 = iota
	Noop
	Config
)

// Entry is one record of the log.
type Entry struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	Kind  uint32 `json:"kind"`
	Data  []byte `json:"data"`
}

// Hard is what must be durable before any message that depends on it is sent.
type Hard struct {
	Term uint64 `json:"term"`
	Vote ID     `json:"vote"`
}

// Snapshot replaces all entries up to Index.
type Snapshot struct {
	Index   uint64  `json:"index"`
	Term    uint64  `json:"term"`
	Members Members `json:"members"`
	Data    []byte  `json:"data"`
}

// Kinds of message.
const (
	PreVote uint32 = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	Install
)

// Message travels between members.
type Message struct {
	Kind     uint32
	From, To ID
	Term     uint64
	// Index and LogTerm name the entry before Entries, or the candidate's last one.
	Index, LogTerm uint64
	Commit         uint64
	Reject         bool
	// Hint is the last index at which the sender of a rejection may agree.
	Hint     uint64
	Entries  []Entry
	Snapshot *Snapshot
	// Sent is the leader's time of sending, echoed in the reply.
	Sent time.Duration
	// Addr is where a leader listens: one whose log is empty can't know that from the group.
	Addr netip.AddrPort
}

// Ready is what the driver must carry out, in the order of the fields.
type Ready struct {
	// Hard is durable first; nil when unchanged.
	Hard *Hard
	// Snapshot replaces the durable log; nil when there is none.
	Snapshot *Snapshot
	// Entries are appended to the durable log; entries from the first one's index on are replaced.
	Entries []Entry
	// Messages are sent once the above is durable.
	Messages []Message
	// Committed entries are applied once the above is durable.
	Committed []Entry
}

func (r Ready) isEmpty() bool {
	return r.Hard == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}

// Role of a member.
type Role int

// Roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string { return [...]string{"follower", "candidate", "leader"}[r] }

// Status describes a member to operators.
type Status struct {
	ID     ID     `json:"id"`
	Role   string `json:"role"`
	Leader ID     `json:"leader"`
	Term   uint64 `json:"term"`
	Commit uint64 `json:"commit"`
	Last   uint64 `json:"last"`
	First  uint64 `json:"first"`
	// Members is the committed group; a change under way shows once it can't be lost.
	Members  Members `json:"members"`
	HasLease bool    `json:"lease"`
}
