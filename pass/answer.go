package pass

import (
	"net/http"
	"runtime/debug"

	"egretshunt/event"
)

// answer is the response to one client request. It records whether the final status has been sent.
type answer struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	a.ResponseWriter.WriteHeader(status)
	a.begun = a.begun || status >= http.StatusOK
}

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (int, error) {
	a.begun = true
	return a.ResponseWriter.Write(p)
}

// Unwrap lets an http.ResponseController find the server's own writer.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

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

// recordEnd logs a request whose handler ends without an answer; failed is the panic that ends it, or nil.
func (e *Entry) recordEnd(j *job, out *answer, failed any) {
	if failed != nil && failed != http.ErrAbortHandler {
		e.config.Events.Emit(event.Fault, "id", j.call.ID, "why", "panic", "stage", j.stage(out.begun), "err", failed, "stack", string(debug.Stack()))
	}
	if !out.begun && !j.clientLeft {
		e.config.Events.Emit(event.Unanswered, "id", j.call.ID, "stage", j.stage(false), "tried", len(j.tried), "ran", ranText(j))
	}
	if failed != nil {
		panic(failed)
	}
}
