// Package member estimates the health of peers and endpoints: which are alive, slow, draining,
// dead, or unreachable only from this VM.
//
// It owns the decisions, made from the results of calls, heartbeats and the platform's list. It
// performs no I/O and sends no heartbeats itself; entry and control ask it which peers and
// endpoints to avoid before a request is routed.
package member

import "time"

// State is the health of a peer as seen from this VM.
type State int

// States, from best to worst. String returns the texts that reports use.
const (
	Alive State = iota
	// Slow peers respond, but late.
	Slow
	// Unreachable peers don't respond to this VM, but others still receive from them.
	Unreachable
	// Dead peers don't respond to this VM, and nobody has heard from them for HeartbeatTimeout.
	Dead
	// Draining peers get no new work, at their own request or on command.
	Draining
)

// String returns the state's name.
func (s State) String() string { return [...]string{"alive", "slow", "half", "dead", "leaving"}[s] }

const (
	// UnreachableFailures is how many consecutive failed calls make a peer unreachable.
	UnreachableFailures = 3
	// RecoverySuccesses is how many consecutive successful calls make it reachable again.
	RecoverySuccesses = 2
	// HeartbeatTimeout is how long a peer counts as alive after it was last heard from.
	HeartbeatTimeout = 3 * time.Second
	// SlowThreshold is the delay above which a response counts as slow.
	SlowThreshold = 500 * time.Millisecond
	// SlowResponses is how many consecutive slow responses make a peer slow.
	SlowResponses = 3
	// InitialBackoff is how long an unreachable peer gets no work at first; it doubles up to
	// MaxBackoff.
	InitialBackoff = 500 * time.Millisecond
	// MaxBackoff is the longest time between two probes of an unreachable peer.
	MaxBackoff = 8 * time.Second
)

// Peer is the observed state of one peer. The zero value is a peer that was never contacted. Peer
// is not safe for concurrent use.
//
// The load pattern is VMs that slow down, stop, or lose only some of their network paths while
// requests continue.
type Peer struct {
	failures, successes, slowResponses int
	slow, unreachable, draining        bool
	backoff                            time.Duration
	nextProbe                          time.Time
	lastHeard                          time.Time
	everHeard                          bool
}

// RecordSuccess records a successful call with the given delay.
func (p *Peer) RecordSuccess(now time.Time, delay time.Duration) {
	p.failures = 0
	p.successes++
	p.RecordHeartbeat(now)
	if delay > SlowThreshold {
		p.slowResponses++
	} else {
		p.slowResponses = max(0, p.slowResponses-1)
	}
	switch {
	case p.slowResponses >= SlowResponses:
		p.slow = true
	case p.slowResponses == 0:
		p.slow = false
	}
	if p.unreachable && p.successes >= RecoverySuccesses {
		p.unreachable, p.backoff = false, 0
	}
}

// RecordFailure records a call without a response.
func (p *Peer) RecordFailure(now time.Time) {
	p.successes = 0
	p.failures++
	if p.failures < UnreachableFailures && !p.unreachable {
		return
	}
	p.unreachable = true
	if p.backoff == 0 {
		p.backoff = InitialBackoff
	} else {
		p.backoff = min(2*p.backoff, MaxBackoff)
	}
	p.nextProbe = now.Add(p.backoff)
}

// RecordHeartbeat records that the peer was heard from, here or by another VM.
func (p *Peer) RecordHeartbeat(now time.Time) {
	p.everHeard = true
	if now.After(p.lastHeard) {
		p.lastHeard = now
	}
}

// MarkDraining records that the peer is draining; only a new incarnation resets it.
func (p *Peer) MarkDraining() { p.draining = true }

// Reset resets the peer's state for a new incarnation.
func (p *Peer) Reset() { *p = Peer{} }

// State returns the peer's state at now.
func (p *Peer) State(now time.Time) State {
	silent := p.everHeard && now.Sub(p.lastHeard) > HeartbeatTimeout
	switch {
	case p.draining:
		return Draining
	case p.unreachable && silent:
		return Dead
	case p.unreachable:
		return Unreachable
	case p.slow:
		return Slow
	}
	return Alive
}

// Usable reports whether new work may be sent to the peer now. An unreachable peer gets one
// request as a probe each time its backoff ends.
func (p *Peer) Usable(now time.Time) bool {
	if p.draining {
		return false
	}
	return !p.unreachable || !now.Before(p.nextProbe)
}

// RecordProbe records that a request is sent to an unreachable peer as a probe.
func (p *Peer) RecordProbe(now time.Time) {
	if p.unreachable {
		p.nextProbe = now.Add(max(p.backoff, InitialBackoff))
	}
}
