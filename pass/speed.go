package pass

import (
	"time"
)

const (
	// slownessWeight is the weight of the newest observation in an endpoint's slowness.
	slownessWeight = 0.15
	// maxSlowness bounds the slowness of an endpoint, as a ratio of observed to predicted time.
	maxSlowness = 6
	// slownessSlack is added to both the observed and the predicted time, so that small delays
	// don't count as slowness.
	slownessSlack = 30 * time.Millisecond
	// minRateTokens is the fewest computed tokens from which a prefill rate is estimated.
	minRateTokens = 800
	// rateRiseWeight and rateFallWeight are the weights of observations above and below the
	// current estimate. Queueing that the entry doesn't see makes an engine look slower than it
	// is, so lower observations count less.
	rateRiseWeight, rateFallWeight = 0.2, 0.01
)

// settleFirstToken releases the work that an attempt reserved until its first token, and updates
// the endpoint's speed estimates if that token was received.
func (e *Entry) settleFirstToken(j *job, c *placement, took time.Duration, received bool) {
	if c.firstTokenSettled {
		return
	}
	c.firstTokenSettled = true
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.endpointState(c.to)
	s.pendingTokens[c.urgency] = max(s.pendingTokens[c.urgency]-c.computeTokens, 0)
	e.addLinkTokens(c, -1)
	if !received {
		return
	}
	ratio := float64(took+slownessSlack) / float64(c.nominalFirstToken+slownessSlack)
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
