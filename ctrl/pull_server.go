package ctrl

import (
	"context"
	"net/netip"
	"time"

	"egretshunt/table"
	"egretshunt/wire"
)

// tableSource is where a served pull takes its answer from: the leader's own state, or a Follow.
type tableSource interface {
	Tables() *table.Tables
	View() *View
	Changed() <-chan struct{}
	Roster() *Roster
	// confirm makes the acks known to the leader; until then no freshness may be given on.
	confirm(ctx context.Context, pull *wire.Pull) error
	// freshness returns the age of what the source holds and whether it is fresh.
	freshness(now time.Time) (age time.Duration, ok bool)
}

// pullIdleTimeout is how long a downstream may leave its stream unused.
const pullIdleTimeout = time.Minute

// ServePulls answers the pulls of one downstream until its stream ends.
func ServePulls(ctx context.Context, s *wire.Stream, first *wire.Pull, pick func() tableSource, leader func() netip.AddrPort) {
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	pull := first
	for {
		if err := replyToPull(ctx, s, pull, pick(), leader()); err != nil {
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

func replyToPull(ctx context.Context, s *wire.Stream, pull *wire.Pull, src tableSource, leader netip.AddrPort) error {
	began := time.Now()
	src.Roster().Note(pull, began)
	confirmed := src.confirm(ctx, pull) == nil
	if confirmed {
		waitForChange(ctx, pull, src, began)
	}
	now := time.Now()
	age, fresh := src.freshness(now)
	reply := &wire.Tables{
		HeldMs: uint32(now.Sub(began).Milliseconds()), AgeMs: uint32(age.Milliseconds() + 1),
		Fresh: fresh && confirmed, Roster: src.Roster().id,
	}
	if leader.IsValid() {
		reply.Leader = leader.String()
	}
	// The tables are read after the freshness: what is confirmed fresh is never older than that.
	if err := fillTables(reply, pull, src); err != nil {
		return err
	}
	if reply.Fresh {
		src.Roster().Grant(pull.GetNode(), now)
	}
	s.SetDeadline(now.Add(pullTimeout))
	return s.Send(&wire.Frame{Body: &wire.Frame_Tables{Tables: reply}})
}

// waitForChange waits while the source has no news for the puller.
func waitForChange(ctx context.Context, pull *wire.Pull, src tableSource, began time.Time) {
	span := min(time.Duration(pull.GetHoldMs())*time.Millisecond, MaxPullHold)
	timer := time.NewTimer(span)
	defer timer.Stop()
	for {
		changed := src.Changed()
		if src.Tables().Rev > pull.GetRev() || src.View().Rev > pull.GetView() {
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

func fillTables(reply *wire.Tables, pull *wire.Pull, src tableSource) error {
	t := src.Tables()
	reply.To = t.Rev
	if t.Rev > pull.GetRev() {
		d := t.Since(pull.GetRev())
		packed, err := pack(d)
		if err != nil {
			return err
		}
		reply.From, reply.Full, reply.Rows = d.From, d.Full, packed
	}
	v := src.View()
	if v.Rev > pull.GetView() {
		packed, err := pack(v)
		if err != nil {
			return err
		}
		reply.View, reply.Viewrev = packed, v.Rev
	}
	return nil
}

// confirm of a relay waits until the leader's side has taken the reports: freshness
// is given on only to nodes that the leader would wait for.
func (f *Follow) confirm(ctx context.Context, pull *wire.Pull) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return f.roster.Await(ctx, pull)
}

func (f *Follow) freshness(now time.Time) (time.Duration, bool) {
	age, ok := f.age(now)
	return age, ok && age <= f.config.Lease
}

// Relay serves the pulls of others from this node's copy.
func (f *Follow) Relay(ctx context.Context, s *wire.Stream, first *wire.Pull) {
	ServePulls(ctx, s, first, func() tableSource { return f }, func() netip.AddrPort { return netip.AddrPort{} })
}

// leaderSource is the source of a control VM that leads.
type leaderSource struct {
	server *Server
	// roster is that of the present reign.
	roster *Roster
}

func (l leaderSource) Tables() *table.Tables    { return l.server.config.Node.Tables() }
func (l leaderSource) View() *View              { return l.server.config.Node.View() }
func (l leaderSource) Changed() <-chan struct{} { return l.server.config.Node.Changed() }
func (l leaderSource) Roster() *Roster          { return l.roster }

// confirm registers nodes that are new, so that a later leader knows whom to wait for.
func (l leaderSource) confirm(ctx context.Context, pull *wire.Pull) error {
	known := l.server.config.Node.Registered()
	var join []Joined
	for _, a := range pull.GetAcks() {
		if _, ok := known[a.GetNode()]; !ok {
			join = append(join, Joined{Node: a.GetNode(), Role: a.GetRole(), Place: a.GetPlace()})
		}
	}
	if len(join) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	_, err := l.server.config.Node.Propose(ctx, Command{Join: join})
	return err
}

func (l leaderSource) freshness(time.Time) (time.Duration, bool) {
	_, ok := l.server.config.Node.Leads()
	return 0, ok
}
