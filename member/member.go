// Package member tells who lives, who is slow, who leaves and who is only
// unreachable from here.
//
// It owns the judgement, made from calls, heartbeats and the platform's list; it
// sends no heartbeat itself. route asks it which endpoints to avoid.
package member

import "time"

// State of a peer as seen from this node.
type State int

// States, from best to worst.
const (
	Alive State = iota
	// Slow answers, but late.
	Slow
	// Half is unreachable from here while others still hear it.
	Half
	// Dead was heard by nobody for a while.
	Dead
	// Leaving asked, or was told, to get no new work.
	Leaving
)

// String returns the state's name.
func (s State) String() string { return [...]string{"alive", "slow", "half", "dead", "leaving"}[s] }

const (
	// Strikes is how many failed calls in a row make a peer unreachable.
	Strikes = 3
	// Proof is how many good calls in a row bring it back.
	Proof = 2
	// Silence is how long a peer that nobody hears counts as alive.
	Silence = 3 * time.Second
	// Patience is the delay at which an answer counts as late.
	Patience = 500 * time.Millisecond
	// Lates is how many late answers in a row make a peer slow.
	Lates = 3
	// FirstBan is how long an unreachable peer is left alone at first; it doubles up to MaxBan.
	FirstBan = 500 * time.Millisecond
	// MaxBan is the longest time between two probes of an unreachable peer.
	MaxBan = 8 * time.Second
)

// Peer is what is known of one peer. The zero value is a peer never heard of.
// It is not safe for concurrent use.
type Peer struct {
	fails, goods, lates int
	slow, out, leaving  bool
	ban                 time.Duration
	retry               time.Time
	heard               time.Time
	known               bool
}

// Good notes a call that was answered after delay.
func (p *Peer) Good(now time.Time, delay time.Duration) {
	p.fails = 0
	p.goods++
	p.Beat(now)
	if delay > Patience {
		p.lates++
	} else {
		p.lates = max(0, p.lates-1)
	}
	switch {
	case p.lates >= Lates:
		p.slow = true
	case p.lates == 0:
		p.slow = false
	}
	if p.out && p.goods >= Proof {
		p.out, p.ban = false, 0
	}
}

// Fail notes a call that got no answer.
func (p *Peer) Fail(now time.Time) {
	p.goods = 0
	p.fails++
	if p.fails < Strikes && !p.out {
		return
	}
	p.out = true
	if p.ban == 0 {
		p.ban = FirstBan
	} else {
		p.ban = min(2*p.ban, MaxBan)
	}
	p.retry = now.Add(p.ban)
}

// Beat notes that somebody heard the peer.
func (p *Peer) Beat(now time.Time) {
	p.known = true
	if now.After(p.heard) {
		p.heard = now
	}
}

// Leave notes that the peer leaves; only a new incarnation undoes it.
func (p *Peer) Leave() { p.leaving = true }

// Reborn notes a new incarnation of the peer.
func (p *Peer) Reborn() { *p = Peer{} }

// State returns the judgement as of now.
func (p *Peer) State(now time.Time) State {
	silent := p.known && now.Sub(p.heard) > Silence
	switch {
	case p.leaving:
		return Leaving
	case p.out && silent:
		return Dead
	case p.out:
		return Half
	case p.slow:
		return Slow
	}
	return Alive
}

// Usable reports whether new work may go to the peer now. An unreachable peer
// is probed by one request each time its ban ends.
func (p *Peer) Usable(now time.Time) bool {
	if p.leaving {
		return false
	}
	return !p.out || !now.Before(p.retry)
}

// Probe notes that a request goes to an unreachable peer to try it.
func (p *Peer) Probe(now time.Time) {
	if p.out {
		p.retry = now.Add(max(p.ban, FirstBan))
	}
}
