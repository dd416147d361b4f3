package ctrl

import (
	"context"
	"time"

	"egretshunt/event"
	"egretshunt/quorum"
)

// AddMember brings in a control VM, in place of another one when replaces is set.
func (n *Node) AddMember(ctx context.Context, m quorum.Member, replaces quorum.ID) error {
	var err error
	if failed := n.runOnLoop(ctx, func() { err = n.core.Add(m, replaces) }); failed != nil {
		return failed
	}
	return err
}

// AdmitMember brings in a control VM that asks for it, in place of one that is gone. Want is the
// number of voters that the group should have.
func (n *Node) AdmitMember(ctx context.Context, m quorum.Member, want int) error {
	var err error
	if failed := n.runOnLoop(ctx, func() {
		if _, known := n.core.Members().Find(m.ID); known {
			return
		}
		err = n.core.Add(m, n.core.Newcomer(n.now(), m, want, replaceAfterSilence))
	}); failed != nil {
		return failed
	}
	return err
}

// Tend removes one member that is gone for good, if the leader sees one.
func (n *Node) Tend(ctx context.Context, want int) error {
	return n.runOnLoop(ctx, func() {
		if id := n.core.Surplus(n.now(), want, removeAfterSilence); id != "" {
			if err := n.core.Remove(id); err != nil {
				n.config.Events.Emit(event.OrderBad, "remove", id, "err", err)
			}
		}
	})
}

const (
	// replaceAfterSilence is the silence after which a newcomer may take a voter's place: several heartbeats.
	replaceAfterSilence = 1500 * time.Millisecond
	// removeAfterSilence is the silence after which a member beyond the wanted number is removed.
	removeAfterSilence = 3 * time.Second
)

// RemoveMember takes a control VM out.
func (n *Node) RemoveMember(ctx context.Context, id quorum.ID) error {
	var err error
	if failed := n.runOnLoop(ctx, func() { err = n.core.Remove(id) }); failed != nil {
		return failed
	}
	return err
}
