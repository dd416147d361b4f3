package limit

import "time"

// Link paces transfers over one network path to the stores within a byte budget and estimates the
// path's actual capacity. It is not safe for concurrent use.
//
// The load pattern is cached KV blocks that are read and written over links slower or busier than
// configured: writes give way to reads, and the estimate follows the measured rate.
type Link struct {
	// budgetRate is in bytes per second; zero means no bound.
	budgetRate    float64
	estimatedRate float64
	nextFree      time.Time
	// backlog is the bytes of reads that have started and not ended.
	backlog     float64
	activeReads int
}

const (
	// initialRate is the assumed capacity before the first transfer, in bytes per second.
	initialRate = 50e6
	// estimateWeight is the weight of a new measurement in the moving average.
	estimateWeight = 0.3
	// minSampleBytes is the smallest transfer that is used to estimate capacity.
	minSampleBytes = 1024
)

// NewLink returns a link with a budget in bytes per second.
func NewLink(budgetRate uint64) *Link {
	l := &Link{budgetRate: float64(budgetRate), estimatedRate: initialRate}
	if budgetRate > 0 {
		l.estimatedRate = min(l.estimatedRate, l.budgetRate)
	}
	return l
}

// SetBudget changes the budget, in bytes per second.
func (l *Link) SetBudget(budgetRate uint64) { l.budgetRate = float64(budgetRate) }

// Reserve reserves a transfer and returns how long to delay it to stay within the budget.
func (l *Link) Reserve(now time.Time, bytes int) time.Duration {
	if l.budgetRate <= 0 {
		return 0
	}
	if l.nextFree.Before(now) {
		l.nextFree = now
	}
	wait := l.nextFree.Sub(now)
	l.nextFree = l.nextFree.Add(time.Duration(float64(bytes) / l.budgetRate * float64(time.Second)))
	return wait
}

// CanWrite reports whether a write may start now: no read is active and the budget so far covers
// all reserved transfers.
func (l *Link) CanWrite(now time.Time) bool { return l.activeReads == 0 && !l.nextFree.After(now) }

// BeginRead records the start of a read of the given size; EndRead must follow.
func (l *Link) BeginRead(bytes float64) {
	l.activeReads++
	l.backlog += bytes
}

// EndRead records the end of a read, successful or not.
func (l *Link) EndRead(bytes float64) {
	l.activeReads--
	l.backlog = max(0, l.backlog-bytes)
}

// Observe updates the capacity estimate with a completed transfer.
func (l *Link) Observe(bytes int, took time.Duration) {
	if bytes < minSampleBytes || took <= 0 {
		return
	}
	measured := float64(bytes) / took.Seconds()
	l.estimatedRate += float64(estimateWeight * (measured - l.estimatedRate))
}

// RecordTimeout halves the capacity estimate after a transfer timed out.
func (l *Link) RecordTimeout() { l.estimatedRate = max(l.estimatedRate/2, 1) }

// Rate returns the estimated capacity in bytes per second, at most the budget.
func (l *Link) Rate() float64 {
	if l.budgetRate > 0 {
		return min(l.estimatedRate, l.budgetRate)
	}
	return l.estimatedRate
}

// Backlog returns the bytes still to be read.
func (l *Link) Backlog() float64 { return l.backlog }
