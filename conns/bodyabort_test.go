package conns

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
)

// deadlines is a response that records the last read deadline.
type deadlines struct {
	*httptest.ResponseRecorder
	last time.Time
}

func (d *deadlines) SetReadDeadline(t time.Time) error {
	d.last = t
	return nil
}

// TestAbortAfterReadBody guards against an abort that comes just after the body has arrived, and whose deadline then ends the request.
func TestAbortAfterReadBody(t *testing.T) {
	d := &deadlines{ResponseRecorder: httptest.NewRecorder()}
	b := &pacedBody{control: http.NewResponseController(d)}
	b.end(time.Time{})
	check.Equal(t, "aborted", b.abort(limit.InBody), false)
	check.Equal(t, "a deadline is set", !d.last.IsZero(), false)
}
