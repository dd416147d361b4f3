package ctrl

import (
	"context"
	"net/netip"
	"time"

	"egretshunt/table"
	"egretshunt/wire"
)

// tableSource is what pulls are served from: the leader's own state, or a relay's Follower.
type tableSource interface {
	Tables() *table.Tables
	View() *View
	Changed() <-chan struct{}
	Roster() *Roster
	// confirm returns once the leader has the pull's acks; before that the downstream must
	// not be told that its tables are fresh.
	confirm(ctx context.Context, pull *wire.Pull) error
	// freshness returns the age of the source's tables and whether they are fresh.
	freshness() (age time.Duration, fresh bool)
}

// pullIdleTimeout is how long a downstream may leave its stream idle.
const pullIdleTimeout = time.Minute

// ServePulls serves the pulls of one downstream until its stream ends.
func ServePulls(ctx context.Context, s *wire.Stream, first *wire.Pull, currentSource func() tableSource, leader func() netip.AddrPort) {
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	pull := first
	for {
		if err := replyToPull(ctx, s, pull, currentSource(), leader()); err != nil {
			return
		}
		s.SetDeadline(time.Now().Add(pullIdleTimeout))
		frame, err := s.Recv()
		if err != nil || frame.GetPull() == nil {
			return
		}
		pull = frame.GetPull()
	}
}

func replyToPull(ctx context.Context, s *wire.Stream, pull *wire.Pull, source tableSource, leader netip.AddrPort) error {
	began := time.Now()
	source.Roster().RecordPull(pull, began)
	confirmed := source.confirm(ctx, pull) == nil
	if confirmed {
		waitForChange(ctx, pull, source, began)
	}
	now := time.Now()
	age, fresh := source.freshness()
	reply := &wire.Tables{
		HeldMs: uint32(now.Sub(began).Milliseconds()), AgeMs: uint32(age.Milliseconds() + 1),
		Fresh: fresh && confirmed, Roster: source.Roster().id,
	}
	if leader.IsValid() {
		reply.Leader = leader.String()
	}
	// The tables are read after the freshness, so that what is confirmed is never older than
	// the confirmation.
	if err := fillTables(reply, pull, source); err != nil {
		return err
	}
	if reply.Fresh {
		source.Roster().RecordGrant(pull.GetNode(), now)
	}
	s.SetDeadline(now.Add(pullTimeout))
	return s.Send(&wire.Frame{Body: &wire.Frame_Tables{Tables: reply}})
}

// waitForChange waits until the source has something newer than the downstream, or until the
// pull's hold time has passed.
func waitForChange(ctx context.Context, pull *wire.Pull, source tableSource, began time.Time) {
	maxWait := min(time.Duration(pull.GetHoldMs())*time.Millisecond, MaxPullHold)
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		changed := source.Changed()
		if source.Tables().Rev > pull.GetRev() || source.View().Rev > pull.GetView() {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func fillTables(reply *wire.Tables, pull *wire.Pull, source tableSource) error {
	t := source.Tables()
	reply.To = t.Rev
	if t.Rev > pull.GetRev() {
		d := t.Since(pull.GetRev())
		packed, err := pack(d)
		if err != nil {
			return err
		}
		reply.From, reply.Full, reply.Rows = d.From, d.Full, packed
	}
	v := source.View()
	if v.Rev > pull.GetView() {
		packed, err := pack(v)
		if err != nil {
			return err
		}
		reply.View, reply.Viewrev = packed, v.Rev
	}
	return nil
}

// confirm waits until the upstream, and through it the leader, has accepted the reports: a relay
// only confirms freshness to nodes that the leader waits for before a change counts as in force.
func (f *Follower) confirm(ctx context.Context, pull *wire.Pull) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return f.roster.AwaitConfirmed(ctx, pull)
}

// RelayPulls serves the pulls of other nodes from this node's copy.
func (f *Follower) RelayPulls(ctx context.Context, s *wire.Stream, first *wire.Pull) {
	ServePulls(ctx, s, first, func() tableSource { return f }, func() netip.AddrPort { return netip.AddrPort{} })
}

// leaderSource is the table source of a control VM that leads.
type leaderSource struct {
	server *Server
	// roster is that of the current leadership term.
	roster *Roster
}

func (l leaderSource) Tables() *table.Tables    { return l.server.config.Node.Tables() }
func (l leaderSource) View() *View              { return l.server.config.Node.View() }
func (l leaderSource) Changed() <-chan struct{} { return l.server.config.Node.Changed() }
func (l leaderSource) Roster() *Roster          { return l.roster }

// confirm registers new nodes, so that a later leader knows which nodes to wait for.
func (l leaderSource) confirm(ctx context.Context, pull *wire.Pull) error {
	registered := l.server.config.Node.Registered()
	var join []NodeRegistration
	for _, a := range pull.GetAcks() {
		if _, ok := registered[a.GetNode()]; !ok {
			join = append(join, NodeRegistration{Node: a.GetNode(), Role: a.GetRole(), Place: a.GetPlace()})
		}
	}
	if len(join) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	_, err := l.server.config.Node.Propose(ctx, Command{RegisterNodes: join})
	return err
}

func (l leaderSource) freshness() (time.Duration, bool) {
	_, ok := l.server.config.Node.IsLeader()
	return 0, ok
}
