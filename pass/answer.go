package pass

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"time"

	"egretshunt/conns"
	"egretshunt/event"
)

// errEnding is the cause with which requests are cancelled that get their final answer because the process ends.
var errEnding = errors.New("the process ends")

// RefuseBeyond makes the entry, which is being stopped, refuse new requests whose deadline is later than the given time: until then alone they are
// sure to be served.
func (e *Entry) RefuseBeyond(end time.Time) { e.lastDeadline.Store(&end) }

// EndRequests ends the requests whose response hasn't begun, as at their deadline: each gets its final answer.
func (e *Entry) EndRequests() { e.endRequests() }

// untilEnd returns a context that ends with EndRequests unless the response has begun by then.
func (e *Entry) untilEnd(ctx context.Context, out *conns.Response) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(e.ending, func() {
		if !out.Begun() {
			cancel(errEnding)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// Stages of a request.
const (
	stageAdmission = "admission"
	stagePlacement = "placement"
	stageSent      = "sent"
	stageBuffered  = "buffered"
	stageResponse  = "response"
)

// stage returns how far the request is; begun is set once its response has begun.
func (j *job) stage(begun bool) string {
	switch {
	case begun:
		return stageResponse
	case j.step == stageSent && j.heardAt.After(j.attemptAt):
		return stageBuffered
	}
	return j.step
}

// ensureAnswer answers a request whose handler ends without an answer, unless its client has left, and logs the request; failed is the panic
// that ends it, or nil.
func (e *Entry) ensureAnswer(j *job, out *conns.Response, failed any) {
	if failed != nil && failed != http.ErrAbortHandler {
		e.config.Events.Emit(event.Fault, "id", j.call.ID, "why", "panic", "stage", j.stage(out.Begun()), "err", failed, "stack", string(debug.Stack()))
	}
	switch {
	case out.Begun() && failed == nil:
		return
	case out.Begun(), j.clientLeft:
		// net/http answers 200 for a handler that returns without a response.
		panic(http.ErrAbortHandler)
	}
	e.config.Events.Emit(event.Unanswered, "id", j.call.ID, "stage", j.stage(false), "tried", len(j.tried), "ran", ranText(j))
	f := &failure{status: http.StatusBadGateway, reason: reasonFault}
	if j.attemptAt.IsZero() {
		f = refuse(reasonFault, fullRetryAfter)
	}
	// They may be of a response that couldn't begin.
	clear(out.Header())
	e.recordFailure(j, f)
	f.write(out)
}
