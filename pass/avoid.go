package pass

import (
	"time"

	"egretshunt/event"
	"egretshunt/member"
)

// isAvoided reports whether an endpoint gets no new requests, however full the others are.
func (s *endpointState) isAvoided(to *member.Endpoint) bool {
	return to.Draining || to.Loading || s.replaced || !s.leavingAt.IsZero()
}

// recordLeaving keeps further requests from an endpoint that says that it is leaving. Its next incarnation has a
// state of its own.
func (e *Entry) recordLeaving(to *member.Endpoint) {
	e.mu.Lock()
	s := e.endpointState(to)
	known := !s.leavingAt.IsZero()
	s.leavingAt = time.Now()
	e.mu.Unlock()
	if !known {
		e.config.Events.Emit(event.Draining, "endpoint", to.ID, "pool", to.Pool, "born", to.Born)
	}
}

// recordFull keeps requests from an endpoint that has turned one away, for as long as it asked.
func (e *Entry) recordFull(to *member.Endpoint, reply *Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.endpointState(to)
	until := time.Now().Add(max(reply.RetryAfter, minFullTime))
	if (reply.NotRun || reply.RetryAfter > 0) && until.After(s.fullUntil) {
		s.fullUntil = until
	}
}

// timeUntilFree returns when a client may come back whose request no endpoint had room for: once the first endpoint
// of the pool at a place that is open to the request may be asked. The caller holds mu.
func (e *Entry) timeUntilFree(j *job, now time.Time) time.Duration {
	list := e.list()
	if list == nil {
		return staleRetryAfter
	}
	var first time.Time
	for _, to := range list.Pool(j.pool) {
		s := e.endpointState(to)
		switch {
		case s.isAvoided(to) || !e.isOpenTo(j.homes, to.Place):
		case !now.Before(s.fullUntil):
			return fullRetryAfter
		case first.IsZero() || s.fullUntil.Before(first):
			first = s.fullUntil
		}
	}
	return max(first.Sub(now), fullRetryAfter)
}
