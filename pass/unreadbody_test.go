package pass_test

import (
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
	"egretshunt/pass"
)

// unreadWriter is a response whose client reads nothing until its write deadline is set.
type unreadWriter struct{ writing, ended chan struct{} }

func (unreadWriter) Header() http.Header { return http.Header{} }
func (unreadWriter) WriteHeader(int)     {}
func (w unreadWriter) Write([]byte) (int, error) {
	close(w.writing)
	<-w.ended
	return 0, os.ErrDeadlineExceeded
}

func (w unreadWriter) SetWriteDeadline(time.Time) error {
	close(w.ended)
	return nil
}

// TestUnreadResponseFreesBody guards against a client that sends a large body and doesn't read its response: the body would keep its memory until the
// request's deadline, as the response itself holds little.
func TestUnreadResponseFreesBody(t *testing.T) {
	const bytes = 1 << 20
	now := time.Duration(0)
	budget := limit.NewBudget(limit.BudgetConfig{Small: 4 * limit.SmallBytes, Large: bytes, Now: func() time.Duration { return now }})
	fx := newFixtureWith(t, pass.Config{Budget: budget}, respondWith(200, eventA))
	body := budget.Hold(limit.UseBody, nil)
	check.Equal(t, "the body fits", body.Keep(bytes), true)
	w, ended := unreadWriter{make(chan struct{}), make(chan struct{})}, make(chan any)
	go func() {
		defer func() { ended <- recover() }()
		fx.entry.Serve(t.Context(), &pass.Call{ID: "id", Host: "h", Method: http.MethodPost, Path: "/stream/x", Target: "/stream/x", Header: http.Header{},
			Body: []byte(strings.Repeat("x", bytes)), Held: body, APIKey: "k", Arrived: time.Now(), ClientTimeout: time.Minute}, w)
	}()
	<-w.writing
	next := budget.Hold(limit.UseBody, nil)
	check.Equal(t, "room for another one at once", next.Keep(bytes), false)
	now = limit.UnreadPatience
	check.Equal(t, "room for another one later", next.Keep(bytes), true)
	check.Equal(t, "the request ends", <-ended != nil, true)
	body.Release()
	check.Equal(t, "bytes held in the end", budget.Bytes(), int64(bytes))
}
