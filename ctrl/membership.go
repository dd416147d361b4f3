package ctrl

import (
	"context"
	"strings"
	"time"

	"egretshunt/event"
	"egretshunt/quorum"
)

// AddMember adds a control VM to the group, in place of another one when replaces is set.
func (n *Node) AddMember(ctx context.Context, m quorum.Member, replaces quorum.ID) error {
	var err error
	if callErr := n.runOnLoop(ctx, func() { err = n.core.Add(m, replaces) }); callErr != nil {
		return callErr
	}
	return err
}

// JoinGroup adds a control VM that asks to join, in place of one that is gone. It does nothing if the VM
// is a member already.
func (n *Node) JoinGroup(ctx context.Context, m quorum.Member) error {
	var err error
	if callErr := n.runOnLoop(ctx, func() { err = n.core.Join(n.now(), m) }); callErr != nil {
		return callErr
	}
	return err
}

// LeaveGroup removes a control VM that stops, if the group has enough others, and returns once that is committed.
func (n *Node) LeaveGroup(ctx context.Context, id quorum.ID) error {
	var leaves bool
	var err error
	if callErr := n.runOnLoop(ctx, func() { leaves, err = n.core.Leave(n.now(), id) }); callErr != nil {
		return callErr
	}
	for leaves {
		if _, known := n.Status().Members.Find(id); !known {
			break
		}
		select {
		case <-time.After(tickInterval):
		case <-ctx.Done():
			return OutcomeUnknown.Wrap(ctx.Err(), "wait until the group without %s is committed", id)
		}
	}
	return err
}

// NeedsToJoin reports whether this control VM should ask the leader to let it join the group.
func (n *Node) NeedsToJoin() bool { return n.needsToJoin.Load() }

// Spare returns how many more voters the group can lose; ok is false when this member is not the leader.
func (n *Node) Spare() (spare int, ok bool) {
	p := n.spare.Load()
	if p == nil {
		return 0, false
	}
	return *p, true
}

// publishMembership publishes what readers need to know of the group, and logs how many losses it bears.
func (n *Node) publishMembership(now time.Duration) {
	n.needsToJoin.Store(n.core.NeedsToJoin(now, rejoinAfterSilence))
	spare, ok := n.core.Spare(now, lostAfterSilence)
	if !ok {
		n.spare.Store(nil)
		return
	}
	former := n.spare.Swap(&spare)
	if former == nil {
		n.loggedSpare, n.loggedSpareAt = -1, 0
	}
	if spare == n.loggedSpare || n.loggedSpareAt > 0 && now-n.loggedSpareAt < spareLogInterval {
		return
	}
	n.loggedSpare, n.loggedSpareAt = spare, now
	silent := n.core.SilentVoters(now, lostAfterSilence)
	n.config.Events.Emit(event.GroupSpare, "spare", spare, "of", len(n.core.Members().Voters), "unheard", joinIDs(silent))
}

func joinIDs(ids []quorum.ID) string {
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = string(id)
	}
	return strings.Join(texts, ",")
}

// upkeep returns how the leader of a group with a target number of voters maintains it.
func upkeep(voters int) quorum.Upkeep {
	return quorum.Upkeep{Voters: voters, ReplaceAfter: replaceAfterSilence, RemoveAfter: removeAfterSilence}
}

const (
	// replaceAfterSilence is the silence after which a joining member may replace a voter, and one in excess of the
	// target number is removed: several heartbeats.
	replaceAfterSilence = 1500 * time.Millisecond
	// removeAfterSilence is the silence after which a learner is removed.
	removeAfterSilence = 3 * time.Second
	// rejoinAfterSilence is the time without a leader after which a member asks whether it still is one: above
	// the duration of an election.
	rejoinAfterSilence = time.Second
	// lostAfterSilence is the silence after which a voter counts as lost in what the group bears.
	lostAfterSilence = time.Second
	// spareLogInterval bounds the log lines of a group whose members are slow to respond.
	spareLogInterval = time.Second
)

// RemoveMember removes a control VM from the group.
func (n *Node) RemoveMember(ctx context.Context, id quorum.ID) error {
	var err error
	if callErr := n.runOnLoop(ctx, func() { err = n.core.Remove(id) }); callErr != nil {
		return callErr
	}
	return err
}
