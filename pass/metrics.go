package pass

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"egretshunt/route"
)

// meters updates the entry's counters and histograms.
type meters struct {
	set *metrics.Set
	// departures counts attempts in other data centres by the reason.
	departures map[route.Departure]*metrics.Counter
}

func newMeters(set *metrics.Set) meters {
	m := meters{set, map[route.Departure]*metrics.Counter{}}
	for _, why := range route.Departures() {
		m.departures[why] = set.GetOrCreateCounter(fmt.Sprintf("egretshunt_pass_away_total{why=%q}", why))
	}
	return m
}

// outcome counts a request by its outcome.
func (m meters) outcome(route, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("egretshunt_pass_requests_total{route=%q,outcome=%q}", route, outcome)).Inc()
}

// attempt counts a failed attempt at an endpoint by its outcome.
func (m meters) attempt(pool, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("egretshunt_pass_attempts_failed_total{pool=%q,outcome=%q}", pool, outcome)).Inc()
}

// refusal counts a response of the entry's own by its reason.
func (m meters) refusal(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("egretshunt_pass_refusals_total{why=%q}", reason)).Inc()
}

// expired counts a request that was admitted by tables that may be out of date, by why.
func (m meters) expired(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("egretshunt_pass_expired_total{why=%q}", reason)).Inc()
}

// first records the time to the first byte of a response.
func (m meters) first(kind string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("egretshunt_pass_first_seconds{kind=%q}", kind)).Update(d.Seconds())
}

// predicted records the ratio of the observed to the predicted time to first token.
func (m meters) predicted(kind string, first, expected time.Duration) {
	if expected > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf("egretshunt_pass_first_ratio{kind=%q}", kind)).Update(first.Seconds() / expected.Seconds())
	}
}

// repeat counts a retry by whether the shared retry budget allowed it.
func (m meters) repeat(pool string, allowed bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("egretshunt_pass_repeats_total{pool=%q,allowed=\"%t\"}", pool, allowed)).Inc()
}

// away counts an attempt in another data centre by the reason.
func (m meters) away(why route.Departure) {
	if why != route.Stays {
		m.departures[why].Inc()
	}
}

// coldTurn counts a request that used a turn at a cold endpoint.
func (m meters) coldTurn(pool string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("egretshunt_pass_cold_turns_total{pool=%q}", pool)).Inc()
}

// reuse counts prompt tokens by where they were expected to come from: moved means fetched from a
// store or engine, computed means computed by the endpoint, found means in the endpoint's cache.
func (m meters) reuse(source string, tokens int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("egretshunt_pass_prompt_tokens_total{source=%q}", source)).Add(tokens)
}
