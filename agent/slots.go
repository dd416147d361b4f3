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
	queue   *limit.Queue[*turn]
	size    int
	running int
	// alone is set while one piece of work runs with nothing beside it.
	alone bool
	// prefill is the work begun whose answer has not, in tokens.
	prefill float64
}

// turn waits for its start.
type turn struct {
	start chan bool
	alone bool
}

func newSlots(size, waiting int) *slots {
	return &slots{queue: limit.NewQueue[*turn](waiting), size: size}
}

// enter waits for a slot. It returns false when there is no room to wait, or ctx
// ended first; then nothing was started.
func (s *slots) enter(ctx context.Context, account string, rank uint32, cost float64, until time.Time, alone bool) bool {
	t := &turn{start: make(chan bool, 1), alone: alone}
	it := &limit.Item[*turn]{Account: account, Rank: rank, Cost: cost, Until: until, Value: t}
	s.mu.Lock()
	if refused := s.queue.Push(it); refused != nil {
		refused.Value.start <- false
	}
	s.release()
	s.mu.Unlock()
	select {
	case ok := <-t.start:
		return ok
	case <-ctx.Done():
	}
	s.mu.Lock()
	removed := s.queue.Remove(it)
	s.mu.Unlock()
	if !removed && <-t.start {
		// The slot was granted as the caller went away.
		s.leave(cost, false)
	}
	return false
}

// release starts what may start. The caller holds mu.
func (s *slots) release() {
	for s.running < s.size && !s.alone {
		it, ok := s.queue.Peek()
		if !ok || (it.Value.alone && s.running > 0) {
			return
		}
		s.queue.Pop()
		s.running++
		s.alone = it.Value.alone
		s.prefill += it.Cost
		it.Value.start <- true
	}
}

// answered notes that the endpoint has begun to answer work of the given cost.
func (s *slots) answered(cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefill = max(0, s.prefill-cost)
}

// leave frees a slot; answered says whether answered was called.
func (s *slots) leave(cost float64, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.alone = false
	if !answered {
		s.prefill = max(0, s.prefill-cost)
	}
	s.release()
}

// load returns the work ahead of a new arrival in tokens, and how many run and wait.
func (s *slots) load() (tokens float64, running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prefill + s.queue.Cost(), s.running, s.queue.Len()
}

// ahead returns the work that would be served before a new arrival, in tokens.
func (s *slots) ahead(account string, rank uint32) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prefill + s.queue.Ahead(account, rank)
}
