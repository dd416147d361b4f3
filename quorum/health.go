package quorum

import "time"

// Upkeep says how a leader maintains its group by itself. The zero value leaves the group to operators.
type Upkeep struct {
	// Voters is the target number of voters.
	Voters int
	// ReplaceAfter is the silence after which a voter gives way to a learner that has caught up, or a
	// learner to another member that asks to join, and after which a voter in excess of Voters is removed.
	ReplaceAfter time.Duration
	// RemoveAfter is the silence after which a learner is removed.
	RemoveAfter time.Duration
}

// Join makes m a learner, which becomes a voter once it has caught up. It returns nil if m is a member
// already. A voter at m's address is replaced: its disk is lost. Which other voter gives way, if any,
// is only decided when m is promoted, since a voter that is silent now may be back by then.
func (c *Core) Join(now time.Duration, m Member) error {
	if c.role != Leader {
		return NotLeader.New("the leader is %q", c.leader)
	}
	if _, known := c.members.Find(m.ID); known {
		return nil
	}
	silences := c.SilenceByMember(now)
	for _, l := range c.members.Learners {
		if l.Addr != m.Addr && silences[l.ID] < c.upkeep.ReplaceAfter {
			continue
		}
		if err := c.Remove(l.ID); err != nil {
			return err
		}
		return Busy.New("%s, which has not caught up, is removed first", l.ID)
	}
	replaces := ID("")
	if v, ok := c.voterAt(m); ok {
		replaces = v
	}
	return c.Add(m, replaces)
}

// Leave removes the member id, which is about to stop, if the group has more than enough voters or id is a
// learner; leaves says whether it does. A voter that the group needs stays, since it may only be restarting. While
// another voter doesn't respond, that one goes first.
func (c *Core) Leave(now time.Duration, id ID) (leaves bool, err error) {
	if c.role != Leader {
		return false, NotLeader.New("the leader is %q", c.leader)
	}
	_, known := c.members.Find(id)
	if !known || c.members.HasVoter(id) && len(c.members.Voters) <= c.upkeep.Voters {
		return false, nil
	}
	if v, ok := c.unheardVoter(now); ok && v != id && c.members.HasVoter(id) {
		return false, Busy.New("%s doesn't respond, and may be gone; wait until it is back or removed", v)
	}
	if err := c.Remove(id); err != nil {
		return false, err
	}
	return true, nil
}

// NeedsToJoin reports whether this member should ask the group to let it join: it is not among the
// members that it knows, or no leader has been in contact for maxSilence, as when the group has
// removed it meanwhile. Asking is harmless while it is a member.
func (c *Core) NeedsToJoin(now, maxSilence time.Duration) bool {
	if c.role == Leader {
		return false
	}
	_, known := c.members.Find(c.id)
	return !known || now-c.lastLeaderContact >= maxSilence
}

// Spare returns how many more voters the group can lose and still commit entries, where a voter that
// has been silent for maxSilence counts as lost; ok is false when this member is not the leader.
func (c *Core) Spare(now, maxSilence time.Duration) (spare int, ok bool) {
	if c.role != Leader {
		return 0, false
	}
	return len(c.members.Voters) - len(c.SilentVoters(now, maxSilence)) - c.members.majority(), true
}

// SilentVoters returns the voters that have been silent for maxSilence, to the leader's knowledge.
func (c *Core) SilentVoters(now, maxSilence time.Duration) []ID {
	silences := c.SilenceByMember(now)
	var silent []ID
	for _, v := range c.members.Voters {
		if silences[v.ID] >= maxSilence {
			silent = append(silent, v.ID)
		}
	}
	return silent
}

// SilenceByMember returns for each other member the time since the leader sent the latest
// message that the member acknowledged, or since the leader began to track it, whichever is
// shorter; nil when this member is not the leader.
func (c *Core) SilenceByMember(now time.Duration) map[ID]time.Duration {
	if c.role != Leader {
		return nil
	}
	silences := make(map[ID]time.Duration, len(c.progress))
	for id, p := range c.progress {
		silences[id] = now - max(p.ackedSentAt, p.createdAt)
	}
	return silences
}

// unheardVoter returns a voter that hasn't acknowledged anything that the leader has sent within an election timeout;
// a new leader has heard of none yet.
func (c *Core) unheardVoter(now time.Duration) (ID, bool) {
	for _, v := range c.members.Voters {
		if p, ok := c.progress[v.ID]; ok && (p.ackedSentAt == 0 || now-p.ackedSentAt > c.electionTimeout) {
			return v.ID, true
		}
	}
	return "", false
}

// VoterToReplace returns the voter that the joining member m replaces; "" means none. A voter at
// m's address has lost its disk, so m replaces it. Otherwise a group of at least wantVoters
// voters replaces the one that has been silent the longest, if that is at least maxSilence.
func (c *Core) VoterToReplace(now time.Duration, m Member, wantVoters int, maxSilence time.Duration) ID {
	if v, ok := c.voterAt(m); ok {
		return v
	}
	if len(c.members.Voters) < wantVoters {
		return ""
	}
	return c.silentVoter(now, maxSilence)
}

// voterAt returns the voter at m's address under another ID.
func (c *Core) voterAt(m Member) (ID, bool) {
	for _, v := range c.members.Voters {
		if v.Addr == m.Addr && v.ID != m.ID {
			return v.ID, true
		}
	}
	return "", false
}

// silentVoter returns the voter that has been silent the longest, or "" if none has been for maxSilence.
func (c *Core) silentVoter(now, maxSilence time.Duration) ID {
	silences := c.SilenceByMember(now)
	voter, longest := ID(""), maxSilence
	for _, v := range c.members.Voters {
		if silence, ok := silences[v.ID]; ok && silence >= longest {
			voter, longest = v.ID, silence
		}
	}
	return voter
}

// MemberToRemove returns a member to remove, or "": a learner that has been silent for at least
// maxSilence, which would keep others from joining, or of a group with more than wantVoters voters the
// one that has been silent the longest, if that is at least maxSilence.
func (c *Core) MemberToRemove(now time.Duration, wantVoters int, maxSilence time.Duration) ID {
	silences := c.SilenceByMember(now)
	for _, l := range c.members.Learners {
		if silences[l.ID] >= maxSilence {
			return l.ID
		}
	}
	if len(c.members.Voters) <= wantVoters {
		return ""
	}
	return c.silentVoter(now, maxSilence)
}

// maintainGroup removes a member that has been silent for so long that it counts as gone.
func (c *Core) maintainGroup(now time.Duration) {
	if c.upkeep.Voters == 0 {
		return
	}
	id := c.MemberToRemove(now, c.upkeep.Voters, c.upkeep.ReplaceAfter)
	if !c.members.HasVoter(id) {
		id = c.MemberToRemove(now, c.upkeep.Voters, c.upkeep.RemoveAfter)
	}
	if id != "" {
		// An error means that another change of members is in progress; a later tick tries again.
		_ = c.Remove(id)
	}
}
