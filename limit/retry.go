package limit

import "time"

// RetryLimiterConfig configures RetryLimiter.
type RetryLimiterConfig struct {
	// Ratio is how many retries are allowed per request, over all entries.
	Ratio float64
	// Slack is how many retries are allowed in addition, over all entries.
	Slack float64
	// Window is the sliding time window in which requests and retries are counted.
	Window time.Duration
}

const (
	// windowSlices is the number of time slices that make up the window.
	windowSlices = 10
	// boundShare is the part of the bound that is used. The rest is a margin, because the entries'
	// windows are not aligned.
	boundShare = 0.7
)

// RetryLimiter limits retries to one pool to this entry's share of a bound on all entries together.
// It is not safe for concurrent use.
//
// The load pattern is failing endpoints whose clients all retry at once.
type RetryLimiter struct {
	config   RetryLimiterConfig
	slice    int64
	requests [windowSlices]int
	retries  [windowSlices]int
}

// NewRetryLimiter returns a limiter that has counted no requests.
func NewRetryLimiter(c RetryLimiterConfig) *RetryLimiter { return &RetryLimiter{config: c} }

// CountRequest counts one request.
func (r *RetryLimiter) CountRequest(now time.Time) {
	r.advance(now)
	r.requests[r.slice%windowSlices]++
}

// Take takes one retry and reports whether it was allowed. entries is the number of entries that
// share the slack.
func (r *RetryLimiter) Take(now time.Time, entries int) bool {
	r.advance(now)
	requests, retries := 0, 0
	for i := range windowSlices {
		requests += r.requests[i]
		retries += r.retries[i]
	}
	allowed := boundShare * (r.config.Ratio*float64(requests) + r.config.Slack/float64(max(entries, 1)))
	if float64(retries+1) > allowed {
		return false
	}
	r.retries[r.slice%windowSlices]++
	return true
}

// advance moves to the slice of now and clears the slices that have left the window.
func (r *RetryLimiter) advance(now time.Time) {
	sliceLength := max(r.config.Window/windowSlices, time.Millisecond)
	slice := now.UnixNano() / int64(sliceLength)
	for i := r.slice + 1; i <= slice && i <= r.slice+windowSlices; i++ {
		r.requests[i%windowSlices], r.retries[i%windowSlices] = 0, 0
	}
	r.slice = max(r.slice, slice)
}
