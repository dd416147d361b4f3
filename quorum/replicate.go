package quorum

import (
	"slices"
	"time"
)

// broadcast sends each member what it lacks; with beat also those that lack nothing.
func (c *Core) broadcast(now time.Duration, beat bool) {
	for _, m := range c.members.All() {
		if p, ok := c.progress[m.ID]; ok {
			c.feed(now, m.ID, p, beat)
		}
	}
}

// feed sends one member its next entries, or a snapshot when they are gone.
func (c *Core) feed(now time.Duration, to ID, p *progress, beat bool) {
	if p.snapAt > 0 && now-p.snapAt < snapshotPatience {
		if beat {
			c.sendAppend(now, to, p, nil)
		}
		return
	}
	if p.next <= c.log.base {
		p.snapAt = now
		s := c.snapshot
		c.send(Message{Kind: Install, To: to, Snapshot: &s, Sent: now})
		return
	}
	entries := c.log.from(p.next, maxAppend)
	if p.probing && !beat {
		return
	}
	if len(entries) == 0 && !beat {
		return
	}
	c.sendAppend(now, to, p, entries)
	if !p.probing {
		p.next += uint64(len(entries))
	}
}

func (c *Core) sendAppend(now time.Duration, to ID, p *progress, entries []Entry) {
	prev := max(p.next-1, c.log.base)
	term, _ := c.log.term(prev)
	c.send(Message{
		Kind: Append, To: to, Index: prev, LogTerm: term, Commit: c.commit, Entries: entries, Sent: now,
	})
}

func (c *Core) stepAppend(now time.Duration, m Message) {
	c.hear(now, m.From)
	if m.Index < c.log.base {
		// The sender does not know how far this member's snapshot reaches.
		c.agree(m, c.snapshot.Index)
		return
	}
	if term, ok := c.log.term(m.Index); !ok || term != m.LogTerm {
		c.send(Message{Kind: AppendReply, To: m.From, Reject: true, Hint: c.hintBelow(m.Index), Index: m.Index, Sent: m.Sent})
		return
	}
	last := m.Index + uint64(len(m.Entries))
	if fresh := c.unknown(m.Entries); len(fresh) > 0 {
		c.put(slices.Clone(fresh))
	}
	c.commit = max(c.commit, min(m.Commit, last))
	c.agree(m, last)
}

func (c *Core) hear(now time.Duration, leader ID) {
	if c.role != Follower {
		c.follow(now, c.hard.Term, leader)
	}
	c.leader = leader
	c.heard = now
	c.quietFrom = now
}

func (c *Core) agree(m Message, index uint64) {
	c.send(Message{Kind: AppendReply, To: m.From, Index: index, Sent: m.Sent})
}

// hintBelow returns the highest index at which this member may agree with the leader.
func (c *Core) hintBelow(index uint64) uint64 {
	if c.log.last() < index {
		return c.log.last()
	}
	term, _ := c.log.term(index)
	for index > c.commit {
		if t, ok := c.log.term(index); !ok || t != term {
			break
		}
		index--
	}
	return index
}

// unknown returns the entries that this member does not hold yet.
func (c *Core) unknown(entries []Entry) []Entry {
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
	p.acked = max(p.acked, m.Sent)
	if m.Reject {
		if m.Hint+1 < p.next && m.Hint >= p.match {
			p.next = m.Hint + 1
			p.probing = true
			c.feed(now, m.From, p, true)
		}
		return
	}
	p.probing = false
	if p.snapAt > 0 && m.Index >= c.log.base {
		p.snapAt = 0
	}
	if m.Index > p.match {
		p.match = m.Index
		c.advanceCommit()
	}
	p.next = max(p.next, m.Index+1)
	c.feed(now, m.From, p, false)
}

// advanceCommit commits the highest entry of this term that a majority holds durably.
func (c *Core) advanceCommit() {
	held := make([]uint64, 0, len(c.members.Voters))
	for _, v := range c.members.Voters {
		if v.ID == c.id {
			held = append(held, c.durable)
		} else if p, ok := c.progress[v.ID]; ok {
			held = append(held, p.match)
		}
	}
	if len(held) < c.members.majority() {
		return
	}
	slices.Sort(held)
	index := held[len(held)-c.members.majority()]
	// An entry of an earlier term is committed only along with one of this term.
	if term, ok := c.log.term(index); index > c.commit && ok && term == c.hard.Term {
		c.commit = index
	}
}

func (c *Core) stepInstall(now time.Duration, m Message) {
	c.hear(now, m.From)
	s := m.Snapshot
	if s == nil || s.Index <= c.commit {
		c.agree(m, c.commit)
		return
	}
	if term, ok := c.log.term(s.Index); ok && term == s.Term {
		// The entries are here already; only commitment lags.
		c.commit = s.Index
		c.agree(m, s.Index)
		return
	}
	c.snapshot = *s
	c.install = true
	c.log = memlog{base: s.Index, baseTerm: s.Term}
	c.commit = s.Index
	c.handed = s.Index
	c.unsaved = s.Index + 1
	c.durable = s.Index
	c.rescan()
	c.agree(m, s.Index)
}
