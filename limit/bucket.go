// Package limit makes the admission decisions: rate limits, fair queueing, urgency levels, retry
// budgets, link budgets, and the quarantine of requests that crash endpoints.
//
// It owns the arithmetic and the queues but performs no I/O and never waits: entry and agent pass
// in the current time and act on the result.
package limit

import "time"

// Bucket is a token bucket: it admits events at a rate, with a burst. With a rate of zero it
// admits everything.
type Bucket struct {
	// rate is in events per second, burst in events.
	rate, burst float64
	tokens      float64
	updatedAt   time.Time
}

// NewBucket returns a full bucket for rate events per second.
func NewBucket(rate, burst float64) *Bucket {
	burst = max(burst, 1)
	return &Bucket{rate: rate, burst: burst, tokens: burst}
}

// Take admits one event, or returns how long to wait until the next one is admitted.
func (b *Bucket) Take(now time.Time) (wait time.Duration, ok bool) {
	if b.rate <= 0 {
		return 0, true
	}
	if !b.updatedAt.IsZero() && now.After(b.updatedAt) {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
	if b.tokens < 1 {
		return time.Duration((1 - b.tokens) / b.rate * float64(time.Second)), false
	}
	b.tokens--
	return 0, true
}

// RetryBudget allows retries in proportion to first attempts, so that retries don't multiply the load
// when all endpoints fail. The zero value allows none.
type RetryBudget struct {
	// ratio is how many retries are allowed per first attempt.
	ratio  float64
	tokens float64
}

// Bounds of a RetryBudget.
const (
	// DefaultRetryRatio is the retries allowed per request when a route sets no ratio.
	DefaultRetryRatio = 0.1
	// maxRetryTokens is how many unused retries can accumulate.
	maxRetryTokens = 10
)

// NewRetryBudget returns a budget with one retry available.
func NewRetryBudget(ratio float64) *RetryBudget {
	if ratio <= 0 {
		ratio = DefaultRetryRatio
	}
	return &RetryBudget{ratio: ratio, tokens: 1}
}

// Earn credits one first attempt.
func (b *RetryBudget) Earn() { b.tokens = min(maxRetryTokens, b.tokens+b.ratio) }

// Spend takes one retry and reports whether one was available.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
