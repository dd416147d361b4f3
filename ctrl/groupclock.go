package ctrl

import (
	"time"

	"egretshunt/quorum"
)

// groupClock is the group time as one member knows it. The leader's advances by its own clock, and its messages set the other members'; one
// that becomes leader goes on where its clock is, so that the group time runs on without a leader. It never runs faster than
// real time: what is allowed until a group time is allowed for at least as long by any owner's clock.
type groupClock struct {
	// base was the group time when the member's clock showed at; zero while it isn't known.
	base time.Time
	at   time.Duration
	// since is the group time from when on it has run without a pause: it stood still while no member knew it.
	since time.Time
	// term is that of the leader whose clock is followed.
	term uint64
}

// pauseStep is by how much the group time advances over a pause of unknown length; messages carry microseconds.
const pauseStep = time.Millisecond

// lead continues the group time at a new leader. last is the time of the last command that it has applied, wall its wall clock, by which
// the first leader of a group starts it; now is what clock.Now returns. paused reports whether it had stood still.
func (g *groupClock) lead(last, wall time.Time, now time.Duration) (paused bool) {
	switch {
	case !g.base.IsZero():
		if g.base = g.time(now); g.base.Before(last) {
			g.base = last
		}
	case last.IsZero():
		g.base, g.since = wall, wall
	default:
		// How long ago the last command was isn't known. Its time is before the pause.
		g.base = last.Add(pauseStep)
		g.since, paused = g.base, true
	}
	g.at = now
	return paused
}

// follow sets the group time to that of the leader of a term. Of a leader's messages the one that took least counts.
func (g *groupClock) follow(term uint64, leader, since time.Time, now time.Duration) {
	if term == g.term && !leader.After(g.time(now)) {
		return
	}
	g.term, g.base, g.since, g.at = term, leader, since, now
}

// time returns the group time when the member's clock shows now; zero while it isn't known.
func (g *groupClock) time(now time.Duration) time.Time {
	if g.base.IsZero() {
		return time.Time{}
	}
	return g.base.Add(now - g.at)
}

// followClock sets the group time by a message of the present leader.
func (n *Node) followClock(m quorum.Message) {
	if fromLeader(m) && !m.Time.IsZero() && n.core.Role() != quorum.Leader && m.Term == n.core.Term() && n.core.Leader() == m.From {
		n.clock.follow(m.Term, m.Time, m.Since, n.config.Now())
	}
}

// fromLeader reports whether only a leader sends messages of this kind.
func fromLeader(m quorum.Message) bool {
	return m.Kind == quorum.Append || m.Kind == quorum.InstallSnapshot
}
