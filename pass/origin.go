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

const (
	// maxOriginWait bounds how long a request waits until control has said where its stream began.
	maxOriginWait = 500 * time.Millisecond
	// maxStartWait bounds how long the first event of a stream waits for its start to be recorded, if a former one was elsewhere.
	maxStartWait = 300 * time.Millisecond
	// maxStarts bounds the attempts at one stream, which are counted by a byte.
	maxStarts = 255
)

// streamOrigin ties a resumable stream to the build that began it, which all further attempts run at: at this entry, and at others that its
// client resumes it at.
type streamOrigin struct {
	// build is the name of the build, once the client has had an event from there.
	build value.Option[string]
	// starts counts the attempts, the latest of which is at the build at.
	starts int
	at     string
	// moved is set while control may not know that the latest attempt is at another build than a former one. completed is set once the
	// stream has ended whole.
	moved, completed bool
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

// beginStream records that a resumable stream is about to begin, or to go on, at an endpoint that is about to get its request.
func (e *Entry) beginStream(j *job, to *member.Endpoint) {
	if !j.isResumable() {
		return
	}
	s := &j.stream
	if s.starts > 0 && s.at == to.Build {
		return
	}
	s.moved = s.starts > 0
	s.starts++
	s.at = to.Build
	start := origin.Start{Key: j.originKey(), Build: origin.Build{Pool: to.Pool, Name: to.Build}}
	if !j.resumes() {
		start.Attempt = uint8(s.starts)
	}
	e.config.View.BeginStream(start)
}

// bindStream ties a resumable stream to the build of its latest attempt, whose first event is about to go to the client. Where a former
// attempt was at another build, control must know of the latest before: it would take the former one for the stream's origin.
func (e *Entry) bindStream(ctx context.Context, j *job) error {
	s := &j.stream
	if s.moved {
		ctx, cancel := context.WithTimeout(ctx, maxStartWait)
		defer cancel()
		if err := e.config.View.AwaitStart(ctx, j.originKey()); err != nil {
			return Lost.Wrap(err, "begin a stream at another build than that of the attempt before")
		}
		s.moved = false
	}
	s.build = value.Some(s.at)
	return nil
}

func (e *Entry) endStream(j *job) {
	if j.stream.starts > 0 {
		e.config.View.EndStream(j.originKey(), j.stream.completed)
	}
}

// relistTime is how long after an endpoint's process has ended, or its weights have changed, the list may still show the former
// state: it lags, is read each half second, and is passed on with the next sync.
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
	if j.stream.starts >= maxStarts {
		return to.Build == j.stream.at
	}
	return known == nil || known.Has(origin.Build{Pool: to.Pool, Name: to.Build})
}

// serves reports whether the list shows an endpoint of the pool with the build.
func (t *topology) serves(pool, build string) bool {
	return slices.ContainsFunc(t.pools[pool], func(c *candidate) bool { return c.to.Build == build })
}
