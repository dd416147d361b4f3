package entry

import (
	"net/http"
	"runtime/debug"

	"egretshunt/conns"
	"egretshunt/event"
)

// ensureAnswer returns a handler that answers the requests whose handler panics, and logs the panic.
func (e *Entry) ensureAnswer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := conns.NewResponse(w)
		defer func() {
			failed := recover()
			if failed == nil {
				return
			}
			if failed != http.ErrAbortHandler {
				e.config.Events.Emit(event.Fault, "id", w.Header().Get("X-Request-Id"), "why", "panic", "err", failed, "stack", string(debug.Stack()))
			}
			if out.Begun() || failed == http.ErrAbortHandler {
				panic(http.ErrAbortHandler)
			}
			// They may be of a response that couldn't begin.
			clear(w.Header())
			e.Failed.Add(1)
			newFailure(http.StatusBadGateway, CodeEndpointFailed, Unknown, "an internal check failed").write(out)
		}()
		next.ServeHTTP(out, r)
	})
}
