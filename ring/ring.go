// Package ring provides a bounded FIFO queue between goroutines.
//
// When the queue is full, a producer either blocks (Push) or fails at once (Offer). The
// queue never grows beyond its capacity, so a stalled consumer uses bounded memory.
package ring

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("ring")
	// Closed is returned by Push on a closed ring, and by Pop once a closed ring is empty.
	Closed = namespace.NewType("closed")
)

// Ring is a bounded FIFO queue. Create one with New.
type Ring[T any] struct {
	queue     chan T
	done      chan struct{}
	closeOnce sync.Once
	dropped   atomic.Uint64
}

// New returns an empty ring with a capacity of size values.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{queue: make(chan T, size), done: make(chan struct{})}
}

// Offer adds v unless the ring is full or closed, and reports whether it did. A value that is
// rejected because the ring is full counts as dropped.
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

// Push adds v. It blocks while the ring is full, until ctx is done or the ring is closed.
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

// Pop removes and returns the oldest value. It blocks while the ring is empty, until ctx is
// done. On a closed ring it returns the remaining values before it returns Closed.
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

// Chan returns the receiving side of the queue, for use in a select statement.
func (r *Ring[T]) Chan() <-chan T { return r.queue }

// Done returns a channel that is closed when the ring is closed.
func (r *Ring[T]) Done() <-chan struct{} { return r.done }

// Close makes Push and Offer fail. Values in the ring can still be received.
func (r *Ring[T]) Close() { r.closeOnce.Do(func() { close(r.done) }) }

// Len returns the number of queued values.
func (r *Ring[T]) Len() int { return len(r.queue) }

// Dropped returns the number of calls of Offer that failed because the ring was full.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
