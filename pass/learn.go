package pass

import (
	"time"
)

const (
	// slowWeight is the weight of the newest observation of an endpoint's speed.
	slowWeight = 0.15
	// slowMost bounds how much slower than predicted an endpoint is believed to be.
	slowMost = 6
	// slowGrain keeps small delays from counting as slowness.
	slowGrain = 30 * time.Millisecond
	// rateLeast is the fewest computed tokens that tell a rate.
	rateLeast = 800
	// rateRise and rateFall are the weights of faster and slower observations: waiting unseen
	// makes an engine look slower than it is.
	rateRise, rateFall = 0.2, 0.01
)

// firstCame notes that an attempt's first token has come, or that it won't.
func (e *Entry) firstCame(j *job, c *choice, took time.Duration, came bool) {
	if c.settled {
		return
	}
	c.settled = true
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.seat(c.to)
	s.awaited[c.level] = max(s.awaited[c.level]-c.compute, 0)
	e.link(c, -1)
	if !came {
		return
	}
	seen := float64(took+slowGrain) / float64(c.plain+slowGrain)
	if s.slow == 0 {
		s.slow = 1
	}
	s.slow = min(s.slow+slowWeight*(seen-s.slow), slowMost)
	if c.compute >= rateLeast && c.ahead == 0 && c.moved == 0 {
		rate := e.rate(j.pool)
		sample := float64(c.compute) / took.Seconds()
		weight := rateFall
		if sample > rate {
			weight = rateRise
		}
		e.rates[j.pool] = rate + weight*(sample-rate)
	}
}
