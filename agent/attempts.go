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
	// attemptRetention is how long accepted and revoked work is remembered.
	attemptRetention = 30 * time.Minute
)

// attemptTable remembers which attempts of non-idempotent work were accepted and
// which were revoked. It forgets all at a restart; the boot identity in offers
// keeps a new incarnation from accepting what the former one may have run.
type attemptTable struct {
	// mu guards works.
	mu    sync.Mutex
	byKey map[ledger.Key]*attemptState
}

// attemptState is the state of one key.
type attemptState struct {
	// accepted and revoked are the highest attempts; zero means none.
	accepted, revoked uint32
	// exchange belongs to the accepted attempt.
	exchange *exchange
	lastUsed time.Time
}

func newAttemptTable() *attemptTable { return &attemptTable{byKey: map[ledger.Key]*attemptState{}} }

// accept records that the attempt runs, unless it was revoked or has run before.
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
	w.accepted, w.exchange = attempt, x
	return true, false
}

// undo takes back an acceptance whose work was never handed to the endpoint, and revokes the attempt.
func (b *attemptTable) undo(k ledger.Key, attempt uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w, ok := b.byKey[k]; ok && w.accepted == attempt {
		w.accepted, w.exchange = attempt-1, nil
		w.revoked = max(w.revoked, attempt)
	}
}

// verdict tells what became of an attempt. One that was not accepted never will be.
func (b *attemptTable) verdict(k ledger.Key, attempt uint32, now time.Time) *wire.Verdict {
	b.mu.Lock()
	w, known := b.byKey[k]
	if !known {
		w = &attemptState{}
		b.byKey[k] = w
	}
	w.lastUsed = now
	if w.accepted != attempt || w.exchange == nil {
		w.revoked = max(w.revoked, attempt)
		b.mu.Unlock()
		return &wire.Verdict{State: verdictNever}
	}
	x := w.exchange
	b.mu.Unlock()
	if !x.isDone() {
		return &wire.Verdict{State: verdictRunning}
	}
	if head, body, ok := x.complete(); ok {
		return &wire.Verdict{State: verdictDone, Head: head, Body: body}
	}
	return &wire.Verdict{State: verdictLost}
}

// expire drops what is old and over.
func (b *attemptTable) expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, w := range b.byKey {
		if now.Sub(w.lastUsed) > attemptRetention && (w.exchange == nil || w.exchange.isDone()) {
			delete(b.byKey, k)
		}
	}
}
