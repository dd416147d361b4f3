package ctrl

import (
	"context"
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

// JoinGroup adds a control VM that asks to join, in place of one that is gone.
// The group should have want voters.
func (n *Node) JoinGroup(ctx context.Context, m quorum.Member, want int) error {
	var err error
	if callErr := n.runOnLoop(ctx, func() {
		if _, known := n.core.Members().Find(m.ID); known {
			return
		}
		err = n.core.Add(m, n.core.VoterToReplace(n.now(), m, want, replaceAfterSilence))
	}); callErr != nil {
		return callErr
	}
	return err
}

// RemoveSurplus removes at most one member that has been silent for so long that it counts as gone
// for good: a learner, or a voter if the group has more than want voters.
func (n *Node) RemoveSurplus(ctx context.Context, want int) error {
	return n.runOnLoop(ctx, func() {
		if id := n.core.MemberToRemove(n.now(), want, removeAfterSilence); id != "" {
			if err := n.core.Remove(id); err != nil {
				n.config.Events.Emit(event.CommandFailed, "remove", id, "err", err)
			}
		}
	})
}

const (
	// replaceAfterSilence is the silence after which a joining member may replace a voter:
	// several heartbeats.
	replaceAfterSilence = 1500 * time.Millisecond
	// removeAfterSilence is the silence after which a member in excess of the target number is removed.
	removeAfterSilence = 3 * time.Second
)

// RemoveMember removes a control VM from the group.
func (n *Node) RemoveMember(ctx context.Context, id quorum.ID) error {
	var err error
	if callErr := n.runOnLoop(ctx, func() { err = n.core.Remove(id) }); callErr != nil {
		return callErr
	}
	return err
}
