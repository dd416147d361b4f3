package quorum

import (
	"slices"
	"time"
)

// broadcast sends each member its missing entries; with heartbeat set, also members that are up to date.
func (c *Core) broadcast(now time.Duration, heartbeat bool) {
	for _, m := range c.members.All() {
		if p, ok := c.progress[m.ID]; ok {
			c.replicateTo(now, m.ID, p, heartbeat)
		}
	}
}

// replicateTo sends one member its next entries, or a snapshot when they were compacted.
func (c *Core) replicateTo(now time.Duration, to ID, p *progress, heartbeat bool) {
	if p.snapshotSentAt > 0 && now-p.snapshotSentAt < snapshotResendInterval {
		if heartbeat {
			c.sendAppend(now, to, p, nil)
		}
		return
	}
	if p.nextIndex <= c.log.baseIndex {
		p.snapshotSentAt = now
		s := c.snapshot
		c.send(Message{Kind: InstallSnapshot, To: to, Snapshot: &s, SentAt: now})
		return
	}
	entries := c.log.entriesFrom(p.nextIndex, maxAppendBytes)
	if p.probing && !heartbeat {
		return
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	c.sendAppend(now, to, p, entries)
	if !p.probing {
		p.nextIndex += uint64(len(entries))
	}
}

func (c *Core) sendAppend(now time.Duration, to ID, p *progress, entries []Entry) {
	prev := max(p.nextIndex-1, c.log.baseIndex)
	term, _ := c.log.term(prev)
	c.send(Message{
		Kind: Append, To: to, Index: prev, LogTerm: term, Commit: c.commitIndex, Entries: entries, SentAt: now,
	})
}

func (c *Core) stepAppend(now time.Duration, m Message) {
	c.acceptLeader(now, m.From)
	if m.Index < c.log.baseIndex {
		// The preceding entry was compacted here: report how far this member's snapshot reaches.
		c.acknowledge(m, c.snapshot.Index)
		return
	}
	if term, ok := c.log.term(m.Index); !ok || term != m.LogTerm {
		c.send(Message{Kind: AppendReply, To: m.From, Reject: true, Hint: c.conflictHint(m.Index), Index: m.Index, SentAt: m.SentAt})
		return
	}
	last := m.Index + uint64(len(m.Entries))
	if missing := c.missingEntries(m.Entries); len(missing) > 0 {
		c.storeEntries(slices.Clone(missing))
	}
	c.commitIndex = max(c.commitIndex, min(m.Commit, last))
	c.acknowledge(m, last)
}

func (c *Core) acceptLeader(now time.Duration, leader ID) {
	if c.role != Follower {
		c.becomeFollower(now, c.hardState.Term, leader)
	}
	c.leader = leader
	c.lastLeaderContact = now
	c.electionTimerStart = now
}

func (c *Core) acknowledge(m Message, index uint64) {
	c.send(Message{Kind: AppendReply, To: m.From, Index: index, SentAt: m.SentAt})
}

// conflictHint returns the highest index, up to the given one, at which this member's log may
// match the leader's. It skips all uncommitted entries of the conflicting term at once.
func (c *Core) conflictHint(index uint64) uint64 {
	if c.log.lastIndex() < index {
		return c.log.lastIndex()
	}
	term, _ := c.log.term(index)
	for index > c.commitIndex {
		if t, ok := c.log.term(index); !ok || t != term {
			break
		}
		index--
	}
	return index
}

// missingEntries returns entries from the first one on that is not in this member's log.
func (c *Core) missingEntries(entries []Entry) []Entry {
	for i, e := range entries {
		if term, ok := c.log.term(e.Index); !ok || term != e.Term {
			return entries[i:]
		}
	}
	return nil
}

func (c *Core) stepAppendReply(now time.Duration, m Message) {
	p, ok := c.progress[m.From]
	if c.role != Leader || !ok {
		return
	}
	p.ackedSentAt = max(p.ackedSentAt, m.SentAt)
	if m.Reject {
		if m.Hint+1 < p.nextIndex && m.Hint >= p.matchIndex {
			p.nextIndex = m.Hint + 1
			p.probing = true
			c.replicateTo(now, m.From, p, true)
		}
		return
	}
	p.probing = false
	if p.snapshotSentAt > 0 && m.Index >= c.log.baseIndex {
		p.snapshotSentAt = 0
	}
	if m.Index > p.matchIndex {
		p.matchIndex = m.Index
		c.advanceCommitIndex()
	}
	p.nextIndex = max(p.nextIndex, m.Index+1)
	c.replicateTo(now, m.From, p, false)
}

// advanceCommitIndex commits the highest entry of the current term that is durable on a majority.
func (c *Core) advanceCommitIndex() {
	matched := make([]uint64, 0, len(c.members.Voters))
	for _, v := range c.members.Voters {
		if v.ID == c.id {
			matched = append(matched, c.durableIndex)
		} else if p, ok := c.progress[v.ID]; ok {
			matched = append(matched, p.matchIndex)
		}
	}
	if len(matched) < c.members.majority() {
		return
	}
	slices.Sort(matched)
	index := matched[len(matched)-c.members.majority()]
	// An entry of an earlier term is committed only through a later one of the current term.
	if term, ok := c.log.term(index); index > c.commitIndex && ok && term == c.hardState.Term {
		c.commitIndex = index
	}
}

func (c *Core) stepInstall(now time.Duration, m Message) {
	c.acceptLeader(now, m.From)
	s := m.Snapshot
	if s == nil || s.Index <= c.commitIndex {
		c.acknowledge(m, c.commitIndex)
		return
	}
	if term, ok := c.log.term(s.Index); ok && term == s.Term {
		// The log already has the snapshot's entries; only the commit index lags.
		c.commitIndex = s.Index
		c.acknowledge(m, s.Index)
		return
	}
	c.snapshot = *s
	c.snapshotPending = true
	c.log = memoryLog{baseIndex: s.Index, baseTerm: s.Term}
	c.commitIndex = s.Index
	c.lastApplied = s.Index
	c.firstUnsaved = s.Index + 1
	c.durableIndex = s.Index
	c.reloadMembers()
	c.acknowledge(m, s.Index)
}
