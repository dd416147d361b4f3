package agent

import (
	"context"
	"sync"
	"time"

	"egretshunt/limit"
)

// slots orders the work before the endpoint and lets a bounded number run at once.
type slots struct {
	// mu guards the rest.
	mu      sync.Mutex
	queue   *limit.Queue[*waiter]
	limit   int
	running int
	// isolated is set while one piece of work runs with nothing beside it.
	isolated bool
	// prefillTokens is the work begun whose answer has not, in tokens.
	prefillTokens float64
}

// waiter waits for its start.
type waiter struct {
	granted  chan bool
	isolated bool
}

func newSlots(size, waiting int) *slots {
	return &slots{queue: limit.NewQueue[*waiter](waiting), limit: size}
}

// acquire waits for a slot. It returns false when there is no room to wait, or ctx
// ended first; then nothing was started.
func (s *slots) acquire(ctx context.Context, account string, rank uint32, cost float64, until time.Time, alone bool) bool {
	t := &waiter{granted: make(chan bool, 1), isolated: alone}
	it := &limit.Item[*waiter]{Account: account, Rank: rank, Cost: cost, Until: until, Value: t}
	s.mu.Lock()
	if refused := s.queue.Push(it); refused != nil {
		refused.Value.granted <- false
	}
	s.startWaiting()
	s.mu.Unlock()
	select {
	case ok := <-t.granted:
		return ok
	case <-ctx.Done():
	}
	s.mu.Lock()
	removed := s.queue.Remove(it)
	s.mu.Unlock()
	if !removed && <-t.granted {
		// The slot was granted as the caller went away.
		s.freeSlot(cost, false)
	}
	return false
}

// startWaiting starts what may start. The caller holds mu.
func (s *slots) startWaiting() {
	for s.running < s.limit && !s.isolated {
		it, ok := s.queue.Peek()
		if !ok || (it.Value.isolated && s.running > 0) {
			return
		}
		s.queue.Pop()
		s.running++
		s.isolated = it.Value.isolated
		s.prefillTokens += it.Cost
		it.Value.granted <- true
	}
}

// recordAnswered notes that the endpoint has begun to answer work of the given cost.
func (s *slots) recordAnswered(cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefillTokens = max(0, s.prefillTokens-cost)
}

// freeSlot frees a slot; answered says whether answered was called.
func (s *slots) freeSlot(cost float64, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.isolated = false
	if !answered {
		s.prefillTokens = max(0, s.prefillTokens-cost)
	}
	s.startWaiting()
}

// load returns the work ahead of a new arrival in tokens, and how many run and wait.
func (s *slots) load() (tokens float64, running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prefillTokens + s.queue.Cost(), s.running, s.queue.Len()
}

// tokensAhead returns the work that would be served before a new arrival, in tokens.
func (s *slots) tokensAhead(account string, rank uint32) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prefillTokens + s.queue.Ahead(account, rank)
}
