package quorum_test

import (
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/quorum"
)

// newTestCore returns member a of {a, b, c} with entries of the given terms on disk.
func newTestCore(t check.T, hard quorum.Hard, terms ...uint64) *quorum.Core {
	t.Helper()
	var entries []quorum.Entry
	for i, term := range terms {
		entries = append(entries, quorum.Entry{Index: uint64(i + 1), Term: term, Data: []byte("x")})
	}
	members := quorum.Members{Voters: []quorum.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	c, err := quorum.New(quorum.Options{ID: "a", Members: members, Hard: hard, Entries: entries})
	check.Good(t, err)
	return c
}

// drainReady takes what is ready as done and returns its messages.
func drainReady(c *quorum.Core, now time.Duration) []quorum.Message {
	var out []quorum.Message
	for {
		r, ok := c.Ready()
		if !ok {
			return out
		}
		out = append(out, r.Messages...)
		c.Advance(now, r)
	}
}

// electLeader makes a leader of a core by b's votes.
func electLeader(c *quorum.Core) time.Duration {
	now := 10 * time.Second
	c.Tick(now)
	term := c.Term() + 1
	c.Step(now, quorum.Message{Kind: quorum.PreVoteReply, From: "b", To: "a", Term: term})
	c.Step(now, quorum.Message{Kind: quorum.VoteReply, From: "b", To: "a", Term: term})
	drainReady(c, now)
	return now
}

func TestVoterRejectsOutdatedLog(t *testing.T) {
	for name, tc := range map[string]struct {
		index, term uint64
		granted     bool
	}{
		"shorter of the same term": {1, 2, false},
		"longer of an older term":  {9, 1, false},
		"equal":                    {3, 2, true},
		"shorter of a newer term":  {1, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(t, quorum.Hard{Term: 2}, 1, 1, 2)
			c.Step(10*time.Second, quorum.Message{Kind: quorum.Vote, From: "b", To: "a", Term: 5, Index: tc.index, LogTerm: tc.term})
			out := drainReady(c, 10*time.Second)
			check.Equal(t, "granted", !out[0].Reject, tc.granted)
		})
	}
}

func TestEntryOfEarlierTermIsNotCommittedByCount(t *testing.T) {
	c := newTestCore(t, quorum.Hard{Term: 2}, 1, 1)
	now := electLeader(c)
	check.Equal(t, "role", c.Role(), quorum.Leader)
	c.Step(now, quorum.Message{Kind: quorum.AppendReply, From: "b", To: "a", Term: c.Term(), Index: 2, Sent: now})
	drainReady(c, now)
	// A majority holds entry 2, but a member with an entry of term 2 could still be elected over it.
	check.Equal(t, "committed", c.Status(now).Commit, uint64(0))
	c.Step(now, quorum.Message{Kind: quorum.AppendReply, From: "b", To: "a", Term: c.Term(), Index: 3, Sent: now})
	drainReady(c, now)
	check.Equal(t, "committed with one of its own", c.Status(now).Commit, uint64(3))
}

func TestOneMembershipChangeAtATime(t *testing.T) {
	c := newTestCore(t, quorum.Hard{Term: 2}, 1, 1)
	now := electLeader(c)
	check.Kind(t, c.Remove("b"), quorum.Busy)
	c.Step(now, quorum.Message{Kind: quorum.AppendReply, From: "b", To: "a", Term: c.Term(), Index: 3, Sent: now})
	drainReady(c, now)
	check.Good(t, c.Remove("b"))
	check.Kind(t, c.Remove("c"), quorum.Busy)
}

func TestLeaseEndsBeforeNextLeader(t *testing.T) {
	c := newTestCore(t, quorum.Hard{Term: 2}, 1)
	now := electLeader(c)
	c.Step(now, quorum.Message{Kind: quorum.AppendReply, From: "b", To: "a", Term: c.Term(), Index: 2, Sent: now})
	drainReady(c, now)
	check.Equal(t, "right after an answer", c.HoldsLease(now+time.Millisecond), true)
	check.Equal(t, "just before b may vote again", c.HoldsLease(now+quorum.DefaultElectionTimeout-time.Millisecond), false)
}

// Two members that poll at the same moment, while the third is still bound to a lost
// leader, must not both stand: neither would win.
func TestConcurrentPreVotesLetOneCampaign(t *testing.T) {
	const now = 10 * time.Second
	poll := func(from quorum.ID) quorum.Message {
		return quorum.Message{Kind: quorum.PreVote, From: from, To: "b", Term: 3, Index: 1, LogTerm: 1}
	}
	polling := func(t *testing.T) *quorum.Core {
		members := quorum.Members{Voters: []quorum.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
		entries := []quorum.Entry{{Index: 1, Term: 1, Data: []byte("x")}}
		c, err := quorum.New(quorum.Options{ID: "b", Members: members, Hard: quorum.Hard{Term: 2}, Entries: entries})
		check.Good(t, err)
		c.Tick(now)
		drainReady(c, now)
		return c
	}
	granted := func(c *quorum.Core, now time.Duration, m quorum.Message) bool {
		c.Step(now, m)
		return !drainReady(c, now)[0].Reject
	}
	t.Run("an earlier member goes first", func(t *testing.T) {
		check.Equal(t, "granted", granted(polling(t), now, poll("a")), true)
	})
	t.Run("a later one waits", func(t *testing.T) {
		check.Equal(t, "granted", granted(polling(t), now+100*time.Millisecond, poll("c")), false)
	})
	t.Run("not for long", func(t *testing.T) {
		// This member's own poll went unanswered: its answers may be lost.
		check.Equal(t, "granted", granted(polling(t), now+quorum.DefaultElectionTimeout/2, poll("c")), true)
	})
	t.Run("a longer log goes first", func(t *testing.T) {
		longer := poll("c")
		longer.Index++
		check.Equal(t, "granted", granted(polling(t), now, longer), true)
	})
}

// An operator who is told of a new voter may at once lose the leader that told it.
func TestStatusShowsCommittedMembers(t *testing.T) {
	c := newTestCore(t, quorum.Hard{Term: 2}, 1)
	now := electLeader(c)
	answer := func(index uint64) {
		c.Step(now, quorum.Message{Kind: quorum.AppendReply, From: "b", To: "a", Term: c.Term(), Index: index, Sent: now})
		drainReady(c, now)
	}
	answer(2)
	check.Good(t, c.Remove("c"))
	drainReady(c, now)
	check.Equal(t, "voters while only the leader has the change", len(c.Status(now).Members.Voters), 3)
	answer(3)
	check.Equal(t, "voters after", len(c.Status(now).Members.Voters), 2)
}

// A new member is given time to answer, however long the leader has led.
func TestNewLearnerIsNotSurplus(t *testing.T) {
	c := newTestCore(t, quorum.Hard{Term: 2}, 1)
	now := electLeader(c)
	answer := func(index uint64) {
		for _, id := range []quorum.ID{"b", "c"} {
			c.Step(now, quorum.Message{Kind: quorum.AppendReply, From: id, To: "a", Term: c.Term(), Index: index, Sent: now})
		}
		drainReady(c, now)
	}
	answer(2)
	now += time.Minute
	answer(2)
	c.Flush(now)
	check.Good(t, c.Add(quorum.Member{ID: "d"}, ""))
	drainReady(c, now)
	answer(3)
	const patience = 3 * time.Second
	check.Equal(t, "surplus at once", c.Surplus(now+patience/2, 3, patience), quorum.ID(""))
	check.Equal(t, "surplus after its time", c.Surplus(now+patience, 3, patience), quorum.ID("d"))
}
