package agent

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/clock"
	"egretshunt/event"
)

func named(rate string) http.Header { return http.Header{headerLimit: {rate}} }

// TestAgentKeepsNamedLimit guards against engines that get more requests than they named: the simulation counts those of each
// four seconds.
func TestAgentKeepsNamedLimit(t *testing.T) {
	p := newPace("w", event.Discard())
	check.Equal(t, "wait without a limit", p.take(0), time.Duration(0))
	p.observe(named("no number"), 0, 0)
	check.Equal(t, "wait after a text that is no limit", p.take(0), time.Duration(0))
	const rate = 1.5
	p.observe(named("1.5"), 0, time.Second)
	var sent []time.Duration
	for now := time.Second; now < 41*time.Second && len(sent) < 1000; {
		if wait := p.take(now); wait > 0 {
			now += wait
			continue
		}
		sent = append(sent, now)
	}
	for i, first := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at-first < 4*time.Second {
				n++
			}
		}
		if n > 6*rate+5 {
			t.Fatalf("%d requests in four seconds from %v on", n, first)
		}
	}
	check.Equal(t, "most of the limit is used", len(sent) >= 55, true)
	p.observe(http.Header{}, 500*time.Millisecond, 42*time.Second)
	p.take(42 * time.Second)
	check.Equal(t, "the second request waits after an answer from before the limit", p.take(42*time.Second) > 0, true)
	p.restart()
	check.Equal(t, "wait at another incarnation", p.take(43*time.Second), time.Duration(0))
}

// TestQueueWaitsForLimit guards against queued requests that start beyond the limit, or never.
func TestQueueWaitsForLimit(t *testing.T) {
	p := newPace("w", event.Discard())
	p.observe(named("50"), 0, clock.Now())
	s := newSlots(8, 100, p)
	var work sync.WaitGroup
	began := time.Now()
	for range 10 {
		work.Go(func() {
			check.Equal(t, "granted", s.acquire(context.Background(), "a", 0, 1, time.Time{}, false), true)
			s.freeSlot(1, false)
		})
	}
	work.Wait()
	if took, least := time.Since(began), 100*time.Millisecond; took < least {
		t.Errorf("ten requests at fifty a second started within %v, want %v at least", took, least)
	}
}
