// Package limit decides what may start now: rates, shares, order, retries and
// requests that crash endpoints.
//
// It owns the arithmetic and the queues, not the waiting: entry and agent ask it
// with the time passed in and act on the answer.
package limit

import "time"

// Bucket admits a rate of events with a burst. The zero rate admits everything.
type Bucket struct {
	// rate is in events a second, burst in events.
	rate, burst float64
	tokens      float64
	updatedAt   time.Time
}

// NewBucket returns a full bucket.
func NewBucket(rate, burst float64) *Bucket {
	burst = max(burst, 1)
	return &Bucket{rate: rate, burst: burst, tokens: burst}
}

// Take takes one event, or returns how long to wait for the next one.
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

// Budget allows retries in proportion to first tries, so that failures of all
// endpoints do not multiply the load. The zero value allows none.
type Budget struct {
	// ratio is retries allowed for each first try.
	ratio  float64
	tokens float64
}

// Bounds of a Budget.
const (
	// DefaultRetryRatio is the retries allowed per request when a route sets no ratio.
	DefaultRetryRatio = 0.1
	// maxRetryTokens is how many unused retries can accumulate.
	maxRetryTokens = 10
)

// NewBudget returns a budget with one retry in hand.
func NewBudget(ratio float64) *Budget {
	if ratio <= 0 {
		ratio = DefaultRetryRatio
	}
	return &Budget{ratio: ratio, tokens: 1}
}

// Earn counts one first try.
func (b *Budget) Earn() { b.tokens = min(maxRetryTokens, b.tokens+b.ratio) }

// Spend takes one retry if there is one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
