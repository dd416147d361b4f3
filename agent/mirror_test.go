package agent

import (
	"context"
	"strings"
	"testing"
	"time"

	"egretshunt/block"
	"egretshunt/check"
	"egretshunt/wire"
)

func offerOf(key string) *wire.Offer { return &wire.Offer{Account: "a", Key: key} }

func nameOf(i byte) (n block.Name) {
	n[0] = i
	return n
}

func TestMirrorClearedAfterGap(t *testing.T) {
	add := func(seq uint64, i byte) CacheEvent { return CacheEvent{Seq: seq, Op: "add", Name: nameOf(i).String()} }
	chain := []block.Name{nameOf(1), nameOf(2)}
	m := newMirror()
	m.apply(CacheEvents{Incarnation: "b", Last: 2, Events: []CacheEvent{add(1, 1), add(2, 2)}})
	check.Equal(t, "cached prefix", m.cachedPrefix(chain), 2)
	m.apply(CacheEvents{Incarnation: "b", Last: 5, Events: []CacheEvent{add(5, 1)}})
	check.Equal(t, "prefix after a gap", m.cachedPrefix(chain), 1)
	m.apply(CacheEvents{Incarnation: "b", Last: 7})
	check.Equal(t, "prefix after missing the newest events", m.cachedPrefix(chain), 0)
	m.apply(CacheEvents{Incarnation: "c", Last: 1, Events: []CacheEvent{add(1, 1)}})
	check.Equal(t, "prefix of a new incarnation", m.cachedPrefix(chain), 1)
}

func FuzzMirror(f *testing.F) {
	f.Add("b", uint64(1), "add", strings.Repeat("00", 32))
	f.Fuzz(func(_ *testing.T, boot string, seq uint64, op, name string) {
		m := newMirror()
		m.apply(CacheEvents{Incarnation: boot, Last: seq, Events: []CacheEvent{{Seq: seq, Op: op, Name: name}}})
		m.cachedPrefix([]block.Name{nameOf(1)})
	})
}

func TestAttemptTable(t *testing.T) {
	b := newAttemptTable()
	k := keyOf(offerOf("k"))
	x := newExchange(offerOf("k"), func() {})
	now := time.Unix(1000, 0)
	check.Equal(t, "not accepted yet", b.outcome(k, 1, now).GetState(), verdictNever)
	ok, _ := b.accept(k, 1, x, now)
	check.Equal(t, "accept of a revoked attempt", ok, false)
	ok, _ = b.accept(k, 2, x, now)
	check.Equal(t, "accept of the next attempt", ok, true)
	_, repeated := b.accept(k, 2, x, now)
	check.Equal(t, "second accept reported as duplicate", repeated, true)
	check.Equal(t, "running", b.outcome(k, 2, now).GetState(), verdictRunning)
	b.undo(k, 2)
	check.Equal(t, "accept undone", b.outcome(k, 2, now).GetState(), verdictNever)
}

// TestCancelWakesWaitingReader guards against a lost wakeup when a context is cancelled
// just as a reader begins to wait.
func TestCancelWakesWaitingReader(t *testing.T) {
	for range 3000 {
		x := newExchange(offerOf("k"), func() {})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			x.waitFrames(ctx, 0, false)
			close(done)
		}()
		cancel()
		select {
		case <-done:
		case <-time.After(30 * time.Second):
			t.Fatal("reader still waits after its context was cancelled")
		}
	}
}
