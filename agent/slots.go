package agent

import (
	"context"
	"sync"
	"time"

	"egretshunt/clock"
	"egretshunt/limit"
)

// slots queues requests for the endpoint, and bounds how many run concurrently and, if the endpoint names a limit, how many
// start in a time.
type slots struct {
	pace *pace

	// mu guards the fields below.
	mu       sync.Mutex
	queue    *limit.Queue[*waiter]
	capacity int
	running  int
	// isolated is set while one request runs with no other beside it.
	isolated bool
	// prefillTokens is the cost of started requests without a response yet.
	prefillTokens float64
	// paused is set while a timer waits for the next start that the limit allows.
	paused bool
}

// waiter is one queued request; granted receives whether it may run.
type waiter struct {
	granted  chan bool
	isolated bool
}

func newSlots(capacity, waiting int, p *pace) *slots {
	return &slots{pace: p, queue: limit.NewQueue[*waiter](waiting), capacity: capacity}
}

// acquire waits for a slot. It returns false if the queue is full or ctx is done first;
// the request then holds no slot.
func (s *slots) acquire(ctx context.Context, account string, rank uint32, cost float64, until time.Time, isolated bool) bool {
	t := &waiter{granted: make(chan bool, 1), isolated: isolated}
	it := &limit.Item[*waiter]{Account: account, Rank: rank, Cost: cost, Deadline: until, Value: t}
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
		// The slot was granted while ctx ended.
		s.freeSlot(cost, false)
	}
	return false
}

// startWaiting grants slots to queued requests that may run now. The caller must hold mu.
func (s *slots) startWaiting() {
	for s.running < s.capacity && !s.isolated {
		it, ok := s.queue.Peek()
		if !ok || s.paused || (it.Value.isolated && s.running > 0) {
			return
		}
		if wait := s.pace.take(clock.Now()); wait > 0 {
			s.paused = true
			time.AfterFunc(wait, s.resume)
			return
		}
		s.queue.Pop()
		s.running++
		s.isolated = it.Value.isolated
		s.prefillTokens += it.Cost
		it.Value.granted <- true
	}
}

// resume goes on after a wait for the limit.
func (s *slots) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = false
	s.startWaiting()
}

// answered records that the endpoint has begun to respond to a request of the given cost.
func (s *slots) answered(cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefillTokens = max(0, s.prefillTokens-cost)
}

// freeSlot frees a slot; answered reports whether answered was called for it.
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

// load returns the outstanding prefill work in tokens, and the numbers of running and queued
// requests.
func (s *slots) load() (tokens float64, running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prefillTokens + s.queue.Cost(), s.running, s.queue.Len()
}

// tokensAhead returns the work that would be served before a new request, in tokens.
func (s *slots) tokensAhead(account string, rank uint32) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prefillTokens + s.queue.Ahead(account, rank)
}
