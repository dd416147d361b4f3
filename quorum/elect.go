package quorum

import "time"

// Step takes one message from another member.
func (c *Core) Step(now time.Duration, m Message) {
	c.now = now
	if m.To != c.id {
		return
	}
	switch m.Kind {
	case PreVote:
		c.stepPreVote(now, m)
		return
	case PreVoteReply:
		c.stepPreVoteReply(now, m)
		return
	case Vote:
		if c.leaseHeld(now) {
			// A member that hears its leader keeps it: a cut-off member that
			// returns with a high term does not depose a working leader.
			return
		}
	}
	if m.Term > c.hard.Term {
		c.follow(now, m.Term, "")
	}
	if m.Term < c.hard.Term {
		c.answerOld(m)
		return
	}
	switch m.Kind {
	case Vote:
		c.stepVote(now, m)
	case VoteReply:
		c.stepVoteReply(now, m)
	case Append:
		c.stepAppend(now, m)
	case AppendReply:
		c.stepAppendReply(now, m)
	case Install:
		c.stepInstall(now, m)
	}
}

// answerOld tells a deposed leader of the newer term.
func (c *Core) answerOld(m Message) {
	if m.Kind == Append || m.Kind == Install {
		c.send(Message{Kind: AppendReply, To: m.From, Reject: true, Hint: c.log.last()})
	}
}

// leaseHeld reports whether this member's word still backs a leader's lease.
func (c *Core) leaseHeld(now time.Duration) bool {
	if c.role == Leader {
		return c.inContact(now, c.election)
	}
	return now-c.heard < c.election
}

func (c *Core) follow(now time.Duration, term uint64, leader ID) {
	if term > c.hard.Term {
		c.hard = Hard{Term: term}
		c.hardDirty = true
	}
	if c.role != Follower {
		c.role = Follower
		c.resetPatience()
		c.quietFrom = now
	}
	c.leader = leader
	c.progress = nil
	c.votes = nil
}

// stand begins an election, or the poll before one.
func (c *Core) stand(now time.Duration, poll bool) {
	c.role = Candidate
	c.leader = ""
	c.preVote = poll
	c.votes = map[ID]bool{c.id: true}
	c.quietFrom = now
	c.resetPatience()
	kind, term := PreVote, c.hard.Term+1
	if !poll {
		kind = Vote
		c.hard = Hard{Term: term, Vote: c.id}
		c.hardDirty = true
	}
	for _, v := range c.members.Voters {
		if v.ID != c.id {
			c.send(Message{Kind: kind, To: v.ID, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm()})
		}
	}
	c.countVotes(now)
}

func (c *Core) upToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

func (c *Core) stepPreVote(now time.Duration, m Message) {
	granted := m.Term > c.hard.Term && c.upToDate(m) && !c.leaseHeld(now) && !c.precedes(now, m)
	reply := Message{Kind: PreVoteReply, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		reply.Term = c.hard.Term
	}
	c.send(reply)
}

// precedes reports whether this member's own poll, just begun for the same term with an
// equal log, goes before the other's: if both polls passed, both would stand and split the votes.
func (c *Core) precedes(now time.Duration, m Message) bool {
	polling := c.role == Candidate && c.preVote && now-c.quietFrom < c.election/pollShare
	equal := m.Term == c.hard.Term+1 && m.LogTerm == c.log.lastTerm() && m.Index == c.log.last()
	return polling && equal && c.id < m.From
}

func (c *Core) stepPreVoteReply(now time.Duration, m Message) {
	if m.Reject {
		if m.Term > c.hard.Term {
			c.follow(now, m.Term, "")
		}
		return
	}
	if c.role != Candidate || !c.preVote || m.Term != c.hard.Term+1 {
		return
	}
	c.votes[m.From] = true
	c.countVotes(now)
}

func (c *Core) stepVote(now time.Duration, m Message) {
	free := c.hard.Vote == "" || c.hard.Vote == m.From
	granted := free && c.role == Follower && c.leader == "" && c.upToDate(m)
	if granted {
		c.quietFrom = now
		if c.hard.Vote != m.From {
			c.hard.Vote = m.From
			c.hardDirty = true
		}
	}
	c.send(Message{Kind: VoteReply, To: m.From, Reject: !granted})
}

func (c *Core) stepVoteReply(now time.Duration, m Message) {
	if c.role != Candidate || c.preVote || m.Reject {
		return
	}
	c.votes[m.From] = true
	c.countVotes(now)
}

func (c *Core) countVotes(now time.Duration) {
	n := 0
	for _, v := range c.members.Voters {
		if c.votes[v.ID] {
			n++
		}
	}
	if n < c.members.majority() {
		return
	}
	if c.preVote {
		c.stand(now, false)
		return
	}
	c.lead(now)
}

func (c *Core) lead(now time.Duration) {
	c.role = Leader
	c.leader = c.id
	c.electedAt = now
	c.beatAt = now
	c.progress = map[ID]*progress{}
	c.trackProgress()
	// The empty entry commits everything of earlier terms along with it.
	c.appendOwn(Noop, nil)
	c.broadcast(now, true)
}

// trackProgress keeps one progress for each other member while leading.
func (c *Core) trackProgress() {
	if c.role != Leader || c.progress == nil {
		return
	}
	kept := map[ID]*progress{}
	for _, m := range c.members.All() {
		if m.ID == c.id {
			continue
		}
		if p, ok := c.progress[m.ID]; ok {
			kept[m.ID] = p
			continue
		}
		kept[m.ID] = &progress{next: c.log.last() + 1, probing: true, since: c.now}
	}
	c.progress = kept
}
