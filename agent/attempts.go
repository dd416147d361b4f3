package agent

import (
	"sync"
	"time"

	"egretshunt/ledger"
	"egretshunt/wire"
)

// States of a verdict.
const (
	verdictNever   = "never"
	verdictRunning = "running"
	verdictDone    = "done"
	verdictLost    = "lost"
)

const (
	// attemptRetention is how long accepted and revoked attempts are retained.
	attemptRetention = 30 * time.Minute
)

// attemptTable records which attempts of non-idempotent requests were accepted and
// which were revoked. A restart loses it; the agent incarnation named in offers keeps
// a new incarnation from accepting what the previous one may have run.
type attemptTable struct {
	// mu guards byKey.
	mu    sync.Mutex
	byKey map[ledger.Key]*attemptState
}

// attemptState is the state of one idempotency key.
type attemptState struct {
	// accepted and revoked are the highest such attempt numbers; 0 means none.
	accepted, revoked uint32
	// acceptedExchange is that of the accepted attempt.
	acceptedExchange *exchange
	lastUsed         time.Time
}

func newAttemptTable() *attemptTable { return &attemptTable{byKey: map[ledger.Key]*attemptState{}} }

// accept records that the attempt runs, unless it was revoked or accepted before.
func (b *attemptTable) accept(k ledger.Key, attempt uint32, x *exchange, now time.Time) (ok, repeated bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, known := b.byKey[k]
	if !known {
		w = &attemptState{}
		b.byKey[k] = w
	}
	w.lastUsed = now
	if attempt <= w.revoked {
		return false, false
	}
	if attempt <= w.accepted {
		return false, true
	}
	w.accepted, w.acceptedExchange = attempt, x
	return true, false
}

// undo removes an acceptance whose request was never sent to the endpoint, and revokes the attempt.
func (b *attemptTable) undo(k ledger.Key, attempt uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w, ok := b.byKey[k]; ok && w.accepted == attempt {
		w.accepted, w.acceptedExchange = attempt-1, nil
		w.revoked = max(w.revoked, attempt)
	}
}

// outcome returns the outcome of an attempt. An attempt that wasn't accepted is revoked.
func (b *attemptTable) outcome(k ledger.Key, attempt uint32, now time.Time) *wire.Verdict {
	b.mu.Lock()
	w, known := b.byKey[k]
	if !known {
		w = &attemptState{}
		b.byKey[k] = w
	}
	w.lastUsed = now
	if w.accepted != attempt || w.acceptedExchange == nil {
		w.revoked = max(w.revoked, attempt)
		b.mu.Unlock()
		return &wire.Verdict{State: verdictNever}
	}
	x := w.acceptedExchange
	b.mu.Unlock()
	if !x.isDone() {
		return &wire.Verdict{State: verdictRunning}
	}
	if head, body, ok := x.complete(); ok {
		return &wire.Verdict{State: verdictDone, Head: head, Body: body}
	}
	return &wire.Verdict{State: verdictLost}
}

// expire removes entries older than attemptRetention whose request is finished.
func (b *attemptTable) expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, w := range b.byKey {
		if now.Sub(w.lastUsed) > attemptRetention && (w.acceptedExchange == nil || w.acceptedExchange.isDone()) {
			delete(b.byKey, k)
		}
	}
}
