// Package ring joins two goroutines by a bounded first-in first-out queue.
//
// A producer either waits for room or is told at once that there is none; the
// queue never grows past its capacity, so a stalled consumer costs bounded memory.
package ring

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("ring")
	// Closed is returned once the ring is closed and, for readers, drained.
	Closed = namespace.NewType("closed")
)

// Ring is a bounded queue. Build one with New.
type Ring[T any] struct {
	queue     chan T
	done      chan struct{}
	closeOnce sync.Once
	dropped   atomic.Uint64
}

// New returns a ring that holds at most size values.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{queue: make(chan T, size), done: make(chan struct{})}
}

// Offer adds v if there is room and reports whether it did; a refusal is counted.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case <-r.done:
		return false
	default:
	}
	select {
	case r.queue <- v:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Push adds v, waiting for room until ctx ends or the ring closes.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	select {
	case <-r.done:
		return Closed.New("push to a closed ring")
	default:
	}
	select {
	case r.queue <- v:
		return nil
	case <-r.done:
		return Closed.New("push to a closed ring")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pop takes the oldest value, waiting until ctx ends. A closed ring is drained first.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	var zero T
	select {
	case v := <-r.queue:
		return v, nil
	default:
	}
	select {
	case v := <-r.queue:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-r.done:
	}
	select {
	case v := <-r.queue:
		return v, nil
	default:
		return zero, Closed.New("pop from a closed ring")
	}
}

// Chan exposes the receiving side for use in a select statement.
func (r *Ring[T]) Chan() <-chan T { return r.queue }

// Done is closed when the ring is.
func (r *Ring[T]) Done() <-chan struct{} { return r.done }

// Close stops producers; values already held can still be taken.
func (r *Ring[T]) Close() { r.closeOnce.Do(func() { close(r.done) }) }

// Len returns how many values wait.
func (r *Ring[T]) Len() int { return len(r.queue) }

// Dropped returns how many offers found no room.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
