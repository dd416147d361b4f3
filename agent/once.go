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
	// onceAge is how long accepted and revoked work is remembered.
	onceAge = 30 * time.Minute
)

// onceBook remembers which attempts of non-idempotent work were accepted and
// which were revoked. It forgets all at a restart; the boot identity in offers
// keeps a new incarnation from accepting what the former one may have run.
type onceBook struct {
	// mu guards works.
	mu    sync.Mutex
	works map[ledger.Key]*work
}

// work is the state of one key.
type work struct {
	// accepted and revoked are the highest attempts; zero means none.
	accepted, revoked uint32
	// of belongs to the accepted attempt.
	of *exchange
	at time.Time
}

func newOnceBook() *onceBook { return &onceBook{works: map[ledger.Key]*work{}} }

// accept records that the attempt runs, unless it was revoked or has run before.
func (b *onceBook) accept(k ledger.Key, attempt uint32, x *exchange, now time.Time) (ok, repeated bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, known := b.works[k]
	if !known {
		w = &work{}
		b.works[k] = w
	}
	w.at = now
	if attempt <= w.revoked {
		return false, false
	}
	if attempt <= w.accepted {
		return false, true
	}
	w.accepted, w.of = attempt, x
	return true, false
}

// undo takes back an acceptance whose work was never handed to the endpoint, and revokes the attempt.
func (b *onceBook) undo(k ledger.Key, attempt uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w, ok := b.works[k]; ok && w.accepted == attempt {
		w.accepted, w.of = attempt-1, nil
		w.revoked = max(w.revoked, attempt)
	}
}

// judge tells what became of an attempt. One that was not accepted never will be.
func (b *onceBook) judge(k ledger.Key, attempt uint32, now time.Time) *wire.Verdict {
	b.mu.Lock()
	w, known := b.works[k]
	if !known {
		w = &work{}
		b.works[k] = w
	}
	w.at = now
	if w.accepted != attempt || w.of == nil {
		w.revoked = max(w.revoked, attempt)
		b.mu.Unlock()
		return &wire.Verdict{State: verdictNever}
	}
	x := w.of
	b.mu.Unlock()
	if !x.over() {
		return &wire.Verdict{State: verdictRunning}
	}
	if head, body, ok := x.whole(); ok {
		return &wire.Verdict{State: verdictDone, Head: head, Body: body}
	}
	return &wire.Verdict{State: verdictLost}
}

// forget drops what is old and over.
func (b *onceBook) forget(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, w := range b.works {
		if now.Sub(w.at) > onceAge && (w.of == nil || w.of.over()) {
			delete(b.works, k)
		}
	}
}
