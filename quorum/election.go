package quorum

import "time"

// Step handles one message from another member.
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
		if c.supportsLease(now) {
			// Ignoring votes while the leader is in contact keeps an isolated member
			// that returns with a higher term from deposing a working leader.
			return
		}
	}
	if m.Term > c.hardState.Term {
		c.becomeFollower(now, m.Term, "")
	}
	if m.Term < c.hardState.Term {
		c.rejectStaleTerm(m)
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
	case InstallSnapshot:
		c.stepInstall(now, m)
	}
}

// rejectStaleTerm informs a leader of an earlier term of the current one.
func (c *Core) rejectStaleTerm(m Message) {
	if m.Kind == Append || m.Kind == InstallSnapshot {
		c.send(Message{Kind: AppendReply, To: m.From, Reject: true, Hint: c.log.lastIndex()})
	}
}

// supportsLease reports whether a leader's lease may still rely on this member.
func (c *Core) supportsLease(now time.Duration) bool {
	if c.role == Leader {
		return c.hasQuorumContact(now, c.electionTimeout)
	}
	return now-c.lastLeaderContact < c.electionTimeout
}

func (c *Core) becomeFollower(now time.Duration, term uint64, leader ID) {
	if term > c.hardState.Term {
		c.hardState = HardState{Term: term}
		c.hardStateDirty = true
	}
	if c.role != Follower {
		c.role = Follower
		c.randomizeTimeout()
		c.electionTimerStart = now
	}
	c.leader = leader
	c.progress = nil
	c.votes = nil
}

// campaign starts an election, or the pre-vote that precedes one.
func (c *Core) campaign(now time.Duration, preVote bool) {
	c.role = Candidate
	c.leader = ""
	c.preVoting = preVote
	c.votes = map[ID]bool{c.id: true}
	c.electionTimerStart = now
	c.randomizeTimeout()
	kind, term := PreVote, c.hardState.Term+1
	if !preVote {
		kind = Vote
		c.hardState = HardState{Term: term, Vote: c.id}
		c.hardStateDirty = true
	}
	for _, v := range c.members.Voters {
		if v.ID != c.id {
			c.send(Message{Kind: kind, To: v.ID, Term: term, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm()})
		}
	}
	c.countVotes(now)
}

func (c *Core) isLogUpToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.lastIndex()
}

func (c *Core) stepPreVote(now time.Duration, m Message) {
	granted := m.Term > c.hardState.Term && c.isLogUpToDate(m) && !c.supportsLease(now) && !c.hasPreVotePriority(now, m)
	reply := Message{Kind: PreVoteReply, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		reply.Term = c.hardState.Term
	}
	c.send(reply)
}

// hasPreVotePriority reports whether this member's own pre-vote takes priority over m's: it
// began recently, for the same term and with an equal log, and this member has the smaller
// ID. If both pre-votes passed, both members would start an election and split the votes.
func (c *Core) hasPreVotePriority(now time.Duration, m Message) bool {
	contending := c.role == Candidate && c.preVoting && now-c.electionTimerStart < c.electionTimeout/preVotePriorityDivisor
	equal := m.Term == c.hardState.Term+1 && m.LogTerm == c.log.lastTerm() && m.Index == c.log.lastIndex()
	return contending && equal && c.id < m.From
}

func (c *Core) stepPreVoteReply(now time.Duration, m Message) {
	if m.Reject {
		if m.Term > c.hardState.Term {
			c.becomeFollower(now, m.Term, "")
		}
		return
	}
	if c.role != Candidate || !c.preVoting || m.Term != c.hardState.Term+1 {
		return
	}
	c.votes[m.From] = true
	c.countVotes(now)
}

func (c *Core) stepVote(now time.Duration, m Message) {
	canVote := c.hardState.Vote == "" || c.hardState.Vote == m.From
	granted := canVote && c.role == Follower && c.leader == "" && c.isLogUpToDate(m)
	if granted {
		c.electionTimerStart = now
		if c.hardState.Vote != m.From {
			c.hardState.Vote = m.From
			c.hardStateDirty = true
		}
	}
	c.send(Message{Kind: VoteReply, To: m.From, Reject: !granted})
}

func (c *Core) stepVoteReply(now time.Duration, m Message) {
	if c.role != Candidate || c.preVoting || m.Reject {
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
	if c.preVoting {
		c.campaign(now, false)
		return
	}
	c.becomeLeader(now)
}

func (c *Core) becomeLeader(now time.Duration) {
	c.role = Leader
	c.leader = c.id
	c.electedAt = now
	c.lastHeartbeat = now
	c.progress = map[ID]*progress{}
	c.trackProgress()
	// Committing the no-op entry also commits all entries of earlier terms.
	c.appendEntry(Noop, nil)
	c.broadcast(now, true)
}

// trackProgress makes the leader's progress map match the current members.
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
		kept[m.ID] = &progress{nextIndex: c.log.lastIndex() + 1, probing: true, createdAt: c.now}
	}
	c.progress = kept
}
