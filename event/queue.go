package event

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"egretshunt/ring"
)

const (
	// flushTimeout bounds how long Close waits for queued lines to be written.
	flushTimeout = 300 * time.Millisecond
	// reportInterval is the minimum time between reports of dropped lines.
	reportInterval = time.Second
)

// queue writes lines on its own goroutine, so that a blocked reader doesn't block Emit.
type queue struct {
	out      io.Writer
	lines    *ring.Ring[[]byte]
	finished chan struct{}
	// size is the capacity in lines; droppedEarly counts lines below warn dropped before the
	// queue was full.
	size         int
	droppedEarly atomic.Uint64
}

func newQueue(out io.Writer, size int) *queue {
	return &queue{out: out, lines: ring.New[[]byte](size), finished: make(chan struct{}), size: size}
}

// dropsInfo reports whether a line below warn must be dropped, and counts it: the last
// quarter of the queue is reserved for warnings and errors.
func (q *queue) dropsInfo() bool {
	if 4*q.lines.Len() < 3*q.size {
		return false
	}
	q.droppedEarly.Add(1)
	return true
}

// dropped returns the number of dropped lines.
func (q *queue) dropped() uint64 { return q.lines.Dropped() + q.droppedEarly.Load() }

// Write implements io.Writer for one complete line.
func (q *queue) Write(line []byte) (int, error) {
	q.lines.Offer(append([]byte(nil), line...))
	return len(line), nil
}

// start writes lines in batches until the queue is closed, and reports dropped lines to direct.
func (q *queue) start(direct *Log) {
	go func() {
		defer close(q.finished)
		reported, next := uint64(0), time.Now()
		var batch []byte
		for {
			line, err := q.lines.Pop(context.Background())
			if err != nil {
				return
			}
			batch = append(batch[:0], line...)
			for q.lines.Len() > 0 && len(batch) < 1<<16 {
				if line, err = q.lines.Pop(context.Background()); err != nil {
					break
				}
				batch = append(batch, line...)
			}
			// A write error is ignored: there is nowhere else to report it.
			_, _ = q.out.Write(batch)
			if n := q.dropped(); n > reported && time.Now().After(next) {
				direct.Emit(Dropped, "count", n-reported)
				reported, next = n, time.Now().Add(reportInterval)
			}
		}
	}()
}

func (q *queue) close() {
	q.lines.Close()
	select {
	case <-q.finished:
	case <-time.After(flushTimeout):
	}
}
