package member

import (
	"time"

	"egretshunt/value"
)

const (
	// outcomeWindow is how many of the latest outcomes are considered.
	outcomeWindow = 16
	// maxOutcomeAge is how long an outcome counts.
	maxOutcomeAge = 6 * time.Second
	// minFailures is the minimum number of failures for an endpoint to be ejected.
	minFailures = 3
	// minFailureShare is the minimum share of failures for an endpoint to be ejected. It is well
	// above zero because services that aren't model engines fail some requests in normal operation.
	minFailureShare = 0.34
	// initialEjection is how long an ejected endpoint gets no requests before it is probed.
	initialEjection = 1500 * time.Millisecond
	// maxEjection bounds the ejection time, which doubles with each failed probe.
	maxEjection = 6 * time.Second
)

// OutlierDetector detects an outlier endpoint from the outcomes of the requests sent to it,
// whatever its health check reports. The zero value is an endpoint that was never used.
// OutlierDetector is not safe for concurrent use.
//
// The load pattern is endpoints that fail or never answer part of their requests while their
// health checks succeed.
type OutlierDetector struct {
	outcomes     [outcomeWindow]outcome
	next         int
	ejection     time.Duration
	ejectedUntil time.Time
	probing      bool
}

type outcome struct {
	at     time.Time
	failed bool
}

// RecordOutcome records the outcome of one request and reports whether it caused the endpoint to be
// ejected.
func (d *OutlierDetector) RecordOutcome(now time.Time, failed bool) bool {
	d.outcomes[d.next] = outcome{now, failed}
	d.next = (d.next + 1) % outcomeWindow
	if d.probing {
		d.probing = false
		if failed {
			d.eject(now)
			return true
		}
		d.ejection = 0
		d.outcomes = [outcomeWindow]outcome{}
		return false
	}
	if !failed || now.Before(d.ejectedUntil) {
		return false
	}
	failures, total := 0, 0
	for _, o := range d.outcomes {
		if o.at.IsZero() || now.Sub(o.at) > maxOutcomeAge {
			continue
		}
		total++
		if o.failed {
			failures++
		}
	}
	if failures < minFailures || float64(failures) < minFailureShare*float64(total) {
		return false
	}
	d.eject(now)
	return true
}

func (d *OutlierDetector) eject(now time.Time) {
	d.ejection = min(max(2*d.ejection, initialEjection), maxEjection)
	d.ejectedUntil = now.Add(d.ejection)
}

// Fit reports whether the endpoint may get requests. An ejected endpoint gets a single request as
// a probe each time its ejection time ends.
func (d *OutlierDetector) Fit(now time.Time) bool {
	return d.ejection == 0 || now.After(d.ejectedUntil) && !d.probing
}

// RecordNoOutcome records that a request ended without an outcome, for example because the client
// closed the connection.
func (d *OutlierDetector) RecordNoOutcome() { d.probing = false }

// RecordSent records that a request was sent to the endpoint.
func (d *OutlierDetector) RecordSent(now time.Time) {
	if d.ejection > 0 && now.After(d.ejectedUntil) {
		d.probing = true
	}
}

// minEjectionVotes is how many entries must eject an endpoint before all others do so too.
const minEjectionVotes = 2

// EjectedByVotes reports whether an endpoint that some entries have ejected is to be ejected by
// all. It needs the votes of several, because a single entry may itself be cut off from the
// endpoint.
//
// The load pattern is endpoints that stop responding: without shared votes each entry would lose
// requests to them until it detected the failure itself.
func EjectedByVotes(votes, entries int) bool {
	return votes >= minEjectionVotes && 3*votes >= entries
}

// minMissedCalls is how many consecutive calls must go unanswered before an endpoint counts as
// silent; a single one may be lost in the network.
const minMissedCalls = 2

// Silent returns the endpoints that respond to nobody. missed holds the number of consecutive
// unanswered calls for each monitored endpoint. If more than half of them appear silent, the
// caller is assumed to be cut off and the result is empty.
//
// The load pattern is engines that lose power: their connections hang, and each entry would send
// them requests until its own requests timed out.
func Silent(missed map[string]int) value.Set[string] {
	silent := value.SetOf[string]()
	for id, calls := range missed {
		if calls >= minMissedCalls {
			silent.Add(id)
		}
	}
	if 2*len(silent) > len(missed) {
		return value.SetOf[string]()
	}
	return silent
}
