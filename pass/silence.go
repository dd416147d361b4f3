package pass

import (
	"slices"
	"sync/atomic"
	"time"

	"egretshunt/event"
	"egretshunt/member"
	"egretshunt/value"
)

// silenceWatch decides whether an attempt is given up at an endpoint that falls silent. A sound endpoint may go on, so that is worth it only
// if another endpoint runs the request instead.
type silenceWatch struct {
	entry *Entry
	to    *member.Endpoint
	pool  string
	// repeatable is set if another attempt may follow, at an endpoint of the build that hasn't been tried.
	repeatable bool
	tried      []string
	build      value.Option[string]
	homes      homes
	givenUp    atomic.Bool
}

func (e *Entry) watchSilence(j *job, to *member.Endpoint) *silenceWatch {
	return &silenceWatch{
		entry: e, to: to, pool: j.pool, repeatable: j.route.Repeatable() && j.possibleRuns+1 < j.route.Attempts,
		tried: slices.Clone(j.tried), build: j.stream.build, homes: j.homes,
	}
}

// isGivenUp reports whether the attempt is given up, and charges its retry. Else the silence counts against the endpoint if it acknowledges
// nothing, so that further requests go to others.
func (w *silenceWatch) isGivenUp(acknowledges bool) bool {
	e := w.entry
	if w.repeatable && e.canLoseMore(w.pool, w.to, w.homes) && w.hasOther() && e.allowRetry(w.pool) {
		w.givenUp.Store(true)
		return true
	}
	if acknowledges {
		return false
	}
	now := time.Now()
	e.mu.Lock()
	ejected := e.endpointState(w.to).health.RecordOutcome(now, true)
	e.mu.Unlock()
	if ejected {
		e.config.Events.Emit(event.Unfit, "endpoint", w.to.ID, "pool", w.to.Pool)
	}
	return false
}

// hasOther reports whether another endpoint could run the request.
func (w *silenceWatch) hasOther() bool {
	e := w.entry
	list := e.list()
	if list == nil {
		return false
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(list.Pool(w.pool), func(to *member.Endpoint) bool {
		s := e.endpointState(to)
		fit := !to.Down && e.isOpenTo(w.homes, to.Place) && !s.isAvoided(to) && s.health.Fit(now) && !now.Before(s.fullUntil)
		return fit && !slices.Contains(w.tried, to.ID) && to.Build == w.build.Or(to.Build)
	})
}
