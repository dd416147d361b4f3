package pass

import (
	"time"
)

const (
	// slownessWeight is the weight of the newest observation of an endpoint's speed.
	slownessWeight = 0.15
	// maxSlowness bounds how much slower than predicted an endpoint is believed to be.
	maxSlowness = 6
	// slownessSlack keeps small delays from counting as slowness.
	slownessSlack = 30 * time.Millisecond
	// minRateTokens is the fewest computed tokens that tell a rate.
	minRateTokens = 800
	// rateRiseWeight and rateFall are the weights of faster and slower observations: waiting unseen
	// makes an engine look slower than it is.
	rateRiseWeight, rateFallWeight = 0.2, 0.01
)

// settleFirstToken notes that an attempt's first token has come, or that it won't.
func (e *Entry) settleFirstToken(j *job, c *placement, took time.Duration, received bool) {
	if c.firstTokenSettled {
		return
	}
	c.firstTokenSettled = true
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.endpointState(c.to)
	s.pendingTokens[c.level] = max(s.pendingTokens[c.level]-c.computeTokens, 0)
	e.addLinkTokens(c, -1)
	if !received {
		return
	}
	ratio := float64(took+slownessSlack) / float64(c.nominalFirst+slownessSlack)
	if s.slowness == 0 {
		s.slowness = 1
	}
	s.slowness = min(s.slowness+slownessWeight*(ratio-s.slowness), maxSlowness)
	if c.computeTokens >= minRateTokens && c.tokensAhead == 0 && c.fetchTokens == 0 {
		prefillRate := e.prefillRate(j.pool)
		observed := float64(c.computeTokens) / took.Seconds()
		weight := rateFallWeight
		if observed > prefillRate {
			weight = rateRiseWeight
		}
		e.prefillRates[j.pool] = prefillRate + weight*(observed-prefillRate)
	}
}
