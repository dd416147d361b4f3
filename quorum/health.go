package quorum

import "time"

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

// VoterToReplace returns the voter that the joining member m replaces; "" means none. A voter at
// m's address has lost its disk, so m replaces it. Otherwise a group of at least wantVoters
// voters replaces the one that has been silent the longest, if that is at least maxSilence.
func (c *Core) VoterToReplace(now time.Duration, m Member, wantVoters int, maxSilence time.Duration) ID {
	for _, v := range c.members.Voters {
		if v.Addr == m.Addr && v.ID != m.ID {
			return v.ID
		}
	}
	if len(c.members.Voters) < wantVoters {
		return ""
	}
	voter, longest := ID(""), maxSilence
	for id, silence := range c.SilenceByMember(now) {
		if silence >= longest && c.members.HasVoter(id) {
			voter, longest = id, silence
		}
	}
	return voter
}

// MemberToRemove returns a member to remove, or "": a learner that has been silent for at least
// maxSilence, which would keep others from joining, or such a voter of a group with more than
// wantVoters voters.
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
	for _, v := range c.members.Voters {
		if v.ID != c.id && silences[v.ID] >= maxSilence {
			return v.ID
		}
	}
	return ""
}
