package pass

import (
	"cmp"
	"context"
	"slices"
	"time"

	"egretshunt/board"
	"egretshunt/event"
	"egretshunt/member"
	"egretshunt/origin"
	"egretshunt/value"
)

// maxOriginWait bounds how long a request waits until control has said where its stream began.
const maxOriginWait = 500 * time.Millisecond

// streamOrigin ties a resumable stream to the build that began it: all its attempts run there, at this entry and at others that its
// client resumes it at.
type streamOrigin struct {
	// build is the name of the build, once it is known. begun is set once the stream is recorded, completed once it has ended whole.
	build            value.Option[string]
	begun, completed bool
}

// isResumable reports whether the request's response is a stream that may go on at another endpoint.
func (j *job) isResumable() bool { return j.route.Kind == board.Stream && j.route.Resumable }

// resumes reports whether the request goes on with a stream that a former request of its client began.
func (j *job) resumes() bool { return j.isResumable() && j.call.LastEventID != "" }

// originID returns the ID of the client attempt that began the request's stream.
func (j *job) originID() string {
	if j.resumes() {
		return cmp.Or(j.call.Resumes, j.call.ID)
	}
	return j.call.ID
}

func (j *job) originKey() origin.Key { return origin.KeyOf(j.account, j.originID()) }

// findOrigin finds the build at which the stream of a resuming request began. A request whose stream's origin isn't known is
// rejected.
func (e *Entry) findOrigin(ctx context.Context, j *job) *failure {
	if !j.resumes() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxOriginWait)
	defer cancel()
	b, known, err := e.config.View.Origin(ctx, j.originKey(), j.pool)
	switch {
	case err != nil:
		e.config.Events.Emit(event.OriginUnknown, "id", j.call.ID, "resumes", j.call.Resumes, "pool", j.pool, "err", err)
		return refuse(reasonStale, staleRetryAfter)
	case !known:
		e.config.Events.Emit(event.OriginUnknown, "id", j.call.ID, "resumes", j.call.Resumes, "pool", j.pool)
		// What isn't known now won't be later; without its last event the client may begin anew.
		return refuse(reasonOriginUnknown, origin.MaxAge)
	}
	if !slices.ContainsFunc(j.route.Split, func(p board.WeightedPool) bool { return p.Pool == b.Pool && p.Weight > 0 }) {
		return refuse(reasonBuildGone, origin.MaxAge)
	}
	j.pool, j.stream.build = b.Pool, value.Some(b.Name)
	return nil
}

// beginStream ties a resumable stream to the build of the endpoint that is about to get its request.
func (e *Entry) beginStream(j *job, to *member.Endpoint) {
	if j.stream.begun || !j.isResumable() {
		return
	}
	j.stream.begun, j.stream.build = true, value.Some(to.Build)
	e.config.View.BeginStream(j.originKey(), origin.Build{Pool: to.Pool, Name: to.Build})
}

func (e *Entry) endStream(j *job) {
	if j.stream.begun {
		e.config.View.EndStream(j.originKey(), j.stream.completed)
	}
}

// relistTime is how long after the end of an endpoint's process the list may still show the former process: it lags, is read each
// half second, and is passed on with the next sync.
const relistTime = 3 * time.Second

// mayGoOnAt reports whether the request's stream may run at an endpoint. A stream may begin only at builds that control knows of:
// an entry that reads the list itself may see others. An endpoint that has ended may run again under its ID, at another build than
// the one listed.
func (j *job) mayGoOnAt(to *member.Endpoint, s *endpointState, known *origin.History, now time.Time) bool {
	switch {
	case !j.isResumable():
		return true
	case now.Sub(s.endedAt) < relistTime:
		return false
	}
	if build, ok := j.stream.build.Get(); ok {
		return to.Build == build
	}
	return known == nil || known.Has(origin.Build{Pool: to.Pool, Name: to.Build})
}

// serves reports whether the list shows an endpoint of the pool with the build.
func (t *topology) serves(pool, build string) bool {
	return slices.ContainsFunc(t.pools[pool], func(c *candidate) bool { return c.to.Build == build })
}
