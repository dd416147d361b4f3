package quorum

import "time"

// SilenceByMember returns for how long a leader has heard nothing from each other member; nil
// when this member does not lead.
func (c *Core) SilenceByMember(now time.Duration) map[ID]time.Duration {
	if c.role != Leader {
		return nil
	}
	silent := make(map[ID]time.Duration, len(c.progress))
	for id, p := range c.progress {
		silent[id] = now - max(p.ackedSentAt, p.createdAt)
	}
	return silent
}

// Newcomer chooses the voter that a joining member replaces; "" means none. A voter at the
// same address has lost its disk. Otherwise a full group gives up the voter that has been
// silent the longest, if any was silent for patience.
func (c *Core) Newcomer(now time.Duration, m Member, want int, patience time.Duration) ID {
	for _, v := range c.members.Voters {
		if v.Addr == m.Addr && v.ID != m.ID {
			return v.ID
		}
	}
	if len(c.members.Voters) < want {
		return ""
	}
	chosen, longest := ID(""), patience
	for id, span := range c.SilenceByMember(now) {
		if span >= longest && c.members.Voter(id) {
			chosen, longest = id, span
		}
	}
	return chosen
}

// Surplus returns a member that should be removed: a silent learner, which keeps others
// from joining, or a silent voter of a group that is larger than wanted.
func (c *Core) Surplus(now time.Duration, want int, patience time.Duration) ID {
	silent := c.SilenceByMember(now)
	for _, l := range c.members.Learners {
		if silent[l.ID] >= patience {
			return l.ID
		}
	}
	if len(c.members.Voters) <= want {
		return ""
	}
	for _, v := range c.members.Voters {
		if v.ID != c.id && silent[v.ID] >= patience {
			return v.ID
		}
	}
	return ""
}
