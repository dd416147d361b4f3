package limit

import "time"

// RepeatConfig constructs Repeats.
type RepeatConfig struct {
	// Ratio is how many repeated sends are allowed for each request, over all entries.
	Ratio float64
	// Slack is how many are allowed beside, over all entries.
	Slack float64
	// Window is the time in which both are counted.
	Window time.Duration
}

const (
	// repeatSlices is how many slices make up the window.
	repeatSlices = 10
	// repeatShare is the part of the bound that is used: entries count at different moments.
	repeatShare = 0.7
)

// Repeats bounds repeated sends to one pool by this entry's share of a bound that holds
// for all entries together. Not safe for concurrent use.
//
// It answers the pattern of failing endpoints whose callers all try again at once.
type Repeats struct {
	config   RepeatConfig
	at       int64
	requests [repeatSlices]int
	repeats  [repeatSlices]int
}

// NewRepeats returns a budget that has seen no request.
func NewRepeats(c RepeatConfig) *Repeats { return &Repeats{config: c} }

// Request counts a request.
func (r *Repeats) Request(now time.Time) {
	r.turn(now)
	r.requests[r.at%repeatSlices]++
}

// Take takes one repeat if there is one. Entries is how many entries share the slack.
func (r *Repeats) Take(now time.Time, entries int) bool {
	r.turn(now)
	requests, repeats := 0, 0
	for i := range repeatSlices {
		requests += r.requests[i]
		repeats += r.repeats[i]
	}
	allowed := repeatShare * (r.config.Ratio*float64(requests) + r.config.Slack/float64(max(entries, 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	r.repeats[r.at%repeatSlices]++
	return true
}

// turn empties the slices that have left the window.
func (r *Repeats) turn(now time.Time) {
	slice := max(r.config.Window/repeatSlices, time.Millisecond)
	at := now.UnixNano() / int64(slice)
	for i := r.at + 1; i <= at && i <= r.at+repeatSlices; i++ {
		r.requests[i%repeatSlices], r.repeats[i%repeatSlices] = 0, 0
	}
	r.at = max(r.at, at)
}
