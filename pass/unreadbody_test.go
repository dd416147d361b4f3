package pass_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/member"
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

// probedBackend counts the probes of its endpoints, which follow lost responses.
type probedBackend struct {
	scriptedBackend
	probes atomic.Int32
}

// Probe implements pass.Backend.
func (b *probedBackend) Probe(context.Context, *member.Endpoint) member.Life {
	b.probes.Add(1)
	return member.Running
}

// TestNoRoomSaysNothingOfEndpoint guards against endpoints that are ejected or taken for cold, and against attempts that are repeated, because the entry
// has no memory for a response.
func TestNoRoomSaysNothingOfEndpoint(t *testing.T) {
	b := &probedBackend{}
	b.responses = append(b.responses, respondWith(200, strings.Repeat("x", 2*limit.SmallBytes)))
	out := &buffer{}
	fx := newFixtureWith(t, pass.Config{Events: event.New(event.Config{Out: out, Node: "n"}), Backend: b, Budget: limit.NewBudget(limit.BudgetConfig{Small: limit.SmallBytes, Large: 1})})
	const requests = 100
	for i := range requests {
		got, _ := fx.call("/resume/x", "k", func(c *pass.Call) { c.ID = fmt.Sprint(i) })
		check.Equal(t, "status", got.Code, http.StatusBadGateway)
		check.Equal(t, "the reason is the memory", strings.Contains(got.Body.String(), "no memory for the answer"), true)
	}
	check.Equal(t, "one attempt for each", len(b.sends), requests)
	check.Equal(t, "probes of the endpoints", b.probes.Load(), int32(0))
	out.mu.Lock()
	defer out.mu.Unlock()
	check.Equal(t, "an endpoint is ejected", strings.Contains(out.text.String(), "name=unfit"), false)
}
