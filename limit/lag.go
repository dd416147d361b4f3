package limit

import (
	"sync/atomic"
	"time"
)

const (
	// LagInterval is the time between the ticks by which a Lag is measured.
	LagInterval = 50 * time.Millisecond
	// minLag is the lag below which work counts as not waiting: timers and garbage collection take
	// some milliseconds.
	minLag = 20 * time.Millisecond
)

// Lag estimates how long work waits for the processor of this process, from how late a goroutine
// runs that wants to run at fixed times. It is safe for concurrent use; the zero value has no lag.
//
// The load pattern is more requests than the process has time for: they wait in buffers of the
// kernel, unread, where nothing tells when they came.
type Lag struct {
	// due is when the next tick should run, in nanoseconds of the caller's clock; zero before the
	// first. late is how late the last one ran.
	due, late atomic.Int64
}

// Tick records that the goroutine runs; it returns when it should run next.
func (l *Lag) Tick(now time.Duration) (next time.Duration) {
	if due := l.due.Load(); due > 0 {
		l.late.Store(max(int64(now)-due, 0))
	}
	l.due.Store(int64(now + LagInterval))
	return now + LagInterval
}

// At returns the lag: that of the last tick, or more if the next one is overdue for longer.
func (l *Lag) At(now time.Duration) time.Duration {
	due := l.due.Load()
	if due == 0 {
		return 0
	}
	lag := time.Duration(max(l.late.Load(), int64(now)-due))
	if lag < minLag {
		return 0
	}
	return lag
}
