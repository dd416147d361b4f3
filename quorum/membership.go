package quorum

import (
	"encoding/json"
	"slices"
	"time"
)

// maxPromotionLag is how many entries a learner may be missing when it is promoted.
const maxPromotionLag = 8

// Add adds m as a learner; the leader promotes it to voter once it has caught up.
// If replaces is not empty, that voter is removed just before the promotion.
func (c *Core) Add(m Member, replaces ID) error {
	if err := c.checkReconfigurable(); err != nil {
		return err
	}
	if _, exists := c.members.Find(m.ID); exists {
		return Refused.New("%s is a member already; a replacement needs a new name", m.ID)
	}
	if len(c.members.Learners) > 0 {
		return Busy.New("%s has not caught up yet; wait for it, or remove it", c.members.Learners[0].ID)
	}
	if replaces != "" && len(c.members.Voters) == 1 {
		return Refused.New("%s is the only voter; add the new one first, then remove it", replaces)
	}
	if replaces != "" && !c.members.HasVoter(replaces) {
		return Refused.New("%s is not a voter", replaces)
	}
	next := c.members.clone()
	next.Learners = append(next.Learners, Learner{Member: m, Replaces: replaces})
	c.reconfigure(next)
	return nil
}

// Remove removes a voter or learner from the group.
func (c *Core) Remove(id ID) error {
	if err := c.checkReconfigurable(); err != nil {
		return err
	}
	if _, exists := c.members.Find(id); !exists {
		return Refused.New("%s is not a member", id)
	}
	next := c.members.without(id)
	if len(next.Voters) == 0 {
		return Refused.New("%s is the last voter", id)
	}
	c.reconfigure(next)
	return nil
}

func (m Members) without(id ID) Members {
	next := m.clone()
	next.Voters = slices.DeleteFunc(next.Voters, func(v Member) bool { return v.ID == id })
	next.Learners = slices.DeleteFunc(next.Learners, func(l Learner) bool { return l.ID == id })
	return next
}

// checkReconfigurable returns an error if the members can't be changed now. Changes are made
// one at a time, so that any majorities of two successive configurations share a member.
func (c *Core) checkReconfigurable() error {
	if c.role != Leader {
		return NotLeader.New("the leader is %q", c.leader)
	}
	if c.configIndex > c.commitIndex {
		return Busy.New("the change of members at entry %d is not committed yet", c.configIndex)
	}
	if term, ok := c.log.term(c.commitIndex); !ok || term != c.hardState.Term {
		return Busy.New("the leader has not yet committed an entry of its term")
	}
	return nil
}

func (c *Core) reconfigure(next Members) {
	// Marshaling Members can't fail: all its values have a JSON form.
	data, _ := json.Marshal(next)
	c.appendEntry(Config, data)
	c.advanceCommitIndex()
}

// promoteLearner makes the next membership change for a learner that has caught up: it removes
// the voter that the learner replaces, if there is one, and in a later call makes the learner a voter.
func (c *Core) promoteLearner(now time.Duration) {
	if c.checkReconfigurable() != nil {
		return
	}
	for i, l := range c.members.Learners {
		p, ok := c.progress[l.ID]
		if !ok || p.matchIndex == 0 || p.matchIndex+maxPromotionLag < c.log.lastIndex() || now-p.ackedSentAt > c.electionTimeout {
			continue
		}
		replaced := l.Replaces
		if !c.members.HasVoter(replaced) {
			replaced = ""
		}
		if replaced == "" && c.upkeep.Voters > 0 {
			replaced = c.VoterToReplace(now, l.Member, c.upkeep.Voters, c.upkeep.ReplaceAfter)
			if _, unheard := c.unheardVoter(now); unheard && replaced == "" && len(c.members.Voters) >= c.upkeep.Voters {
				// One more voter raises the majority, while a voter that may be gone still counts.
				continue
			}
		}
		next := c.members.clone()
		if replaced != "" {
			next = next.without(replaced)
		} else {
			next.Learners = slices.Delete(next.Learners, i, i+1)
			next.Voters = append(next.Voters, l.Member)
		}
		c.reconfigure(next)
		return
	}
}
