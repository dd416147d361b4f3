package limit

import "time"

// Link keeps the budget of one path to the stores and estimates what it really carries.
// It is not safe for concurrent use.
type Link struct {
	// budget is in bytes a second; zero means no bound.
	budget float64
	rate   float64
	next   time.Time
	// backlog is what was promised to be carried and is not yet, in bytes.
	backlog float64
	reading int
}

const (
	// firstRate is the assumed capacity before anything was carried, in bytes a second.
	firstRate = 50e6
	// linkMemory is the weight of a new measurement in the estimate.
	linkMemory = 0.3
	// minSample is the smallest transfer that says something about the capacity, in bytes.
	minSample = 1024
)

// NewLink returns a link with a budget in bytes a second.
func NewLink(budget uint64) *Link {
	l := &Link{budget: float64(budget), rate: firstRate}
	if budget > 0 {
		l.rate = min(l.rate, l.budget)
	}
	return l
}

// SetBudget changes the budget.
func (l *Link) SetBudget(budget uint64) { l.budget = float64(budget) }

// Wait books a transfer and returns how long it must wait to stay in the budget.
func (l *Link) Wait(now time.Time, bytes int) time.Duration {
	if l.budget <= 0 {
		return 0
	}
	if l.next.Before(now) {
		l.next = now
	}
	wait := l.next.Sub(now)
	l.next = l.next.Add(time.Duration(float64(bytes) / l.budget * float64(time.Second)))
	return wait
}

// Spare reports whether a write may go now: nothing is being read and the budget is not behind.
func (l *Link) Spare(now time.Time) bool { return l.reading == 0 && !l.next.After(now) }

// Begin and End bracket the reading of bytes.
func (l *Link) Begin(bytes float64) {
	l.reading++
	l.backlog += bytes
}

// End notes that a reading is over, whatever came of it.
func (l *Link) End(bytes float64) {
	l.reading--
	l.backlog = max(0, l.backlog-bytes)
}

// Observe corrects the estimate by a transfer.
func (l *Link) Observe(bytes int, took time.Duration) {
	if bytes < minSample || took <= 0 {
		return
	}
	seen := float64(bytes) / took.Seconds()
	l.rate += linkMemory * (seen - l.rate)
}

// Slow notes a transfer that was given up after a time in which it should have ended.
func (l *Link) Slow() { l.rate = max(l.rate/2, 1) }

// Rate returns the estimated capacity in bytes a second, at most the budget.
func (l *Link) Rate() float64 {
	if l.budget > 0 {
		return min(l.rate, l.budget)
	}
	return l.rate
}

// Backlog returns the bytes still to be read.
func (l *Link) Backlog() float64 { return l.backlog }
