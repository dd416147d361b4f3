package pass

import (
	"net/http"
	"os"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
)

// stuckWriter is a response whose client reads nothing until its write deadline is set.
type stuckWriter struct {
	writing, ended chan struct{}
	// takes is set if the client takes what was written, in the end.
	takes bool
}

func (*stuckWriter) Header() http.Header { return http.Header{} }
func (*stuckWriter) WriteHeader(int)     {}
func (w *stuckWriter) Write(p []byte) (int, error) {
	close(w.writing)
	<-w.ended
	if w.takes {
		return len(p), nil
	}
	return 0, os.ErrDeadlineExceeded
}

func (w *stuckWriter) SetWriteDeadline(time.Time) error {
	close(w.ended)
	return nil
}

// TestUnreadResponseIsAborted guards against a response that holds memory for as long as its client doesn't read it, and against the abort of one that was
// written meanwhile: its end couldn't be sent any more.
func TestUnreadResponseIsAborted(t *testing.T) {
	for name, takes := range map[string]bool{"client reads nothing": false, "client reads at the last moment": true} {
		t.Run(name, func(t *testing.T) {
			now := time.Duration(0)
			budget := limit.NewBudget(limit.BudgetConfig{Small: limit.SmallBytes, Large: 100, Now: func() time.Duration { return now }})
			w := &stuckWriter{writing: make(chan struct{}), ended: make(chan struct{}), takes: takes}
			r := newRelay(w, false, budget)
			defer r.held.Release()
			check.Equal(t, "held", r.held.Keep(limit.SmallBytes+100), true)
			check.Equal(t, "not aborted before a write", r.abortWrite(limit.Unread), false)
			written := make(chan error)
			go func() { written <- r.write([]byte("x")) }()
			<-w.writing
			other := budget.Hold(limit.UseResponse, nil)
			defer other.Release()
			check.Equal(t, "room for another one at once", other.Keep(100), false)
			now = limit.UnreadPatience
			check.Equal(t, "room for another one later", other.Keep(100), true)
			check.Equal(t, "the write fails", <-written != nil, true)
			check.Equal(t, "the client is given up", r.clientGone, true)
			check.Equal(t, "not aborted after a write", r.abortWrite(limit.Unread), false)
		})
	}
}

// slowWriter is a response whose client takes each piece after some time.
type slowWriter struct{ takes func() }

func (slowWriter) Header() http.Header              { return http.Header{} }
func (slowWriter) WriteHeader(int)                  {}
func (slowWriter) SetWriteDeadline(time.Time) error { return nil }
func (w slowWriter) Write(p []byte) (int, error) {
	w.takes()
	return len(p), nil
}

// TestSlowlyReadResponseIsKept guards against the abort of a response that takes long in all though its client goes on reading.
func TestSlowlyReadResponseIsKept(t *testing.T) {
	now := time.Duration(0)
	budget := limit.NewBudget(limit.BudgetConfig{Small: limit.SmallBytes, Large: 100, Now: func() time.Duration { return now }})
	other := budget.Hold(limit.UseResponse, nil)
	defer other.Release()
	r := newRelay(slowWriter{func() {
		now += limit.UnreadPatience * 9 / 10
		check.Equal(t, "room for another one", other.Keep(100), false)
	}}, false, budget)
	defer r.held.Release()
	check.Equal(t, "held", r.held.Keep(limit.SmallBytes+100), true)
	check.NoError(t, r.write(make([]byte, 4*pieceBytes)))
}
