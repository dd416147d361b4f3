package pass_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/pass"
)

// endlessExchange is a request whose endpoint writes a number of bytes and then waits, and its client, which takes what it gets.
type endlessExchange struct {
	// left is how many bytes are still to be written; filler are bytes that it writes.
	left   int64
	filler string
	// held is how many bytes were read and not passed on; full is set once all were read, or the body was closed.
	held   atomic.Int64
	full   atomic.Bool
	end    <-chan struct{}
	header http.Header
}

// Read implements io.Reader.
func (x *endlessExchange) Read(p []byte) (int, error) {
	if x.left == 0 {
		x.full.Store(true)
		<-x.end
		return 0, pass.Lost.New("the endpoint was ended")
	}
	n := copy(p, x.filler[:min(int64(len(x.filler)), x.left)])
	x.left -= int64(n)
	x.held.Add(int64(n))
	return n, nil
}

// Close implements io.Closer.
func (x *endlessExchange) Close() error {
	x.held.Store(0)
	x.full.Store(true)
	return nil
}

// Header implements http.ResponseWriter.
func (x *endlessExchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *endlessExchange) WriteHeader(int) {}

// Flush implements http.Flusher.
func (x *endlessExchange) Flush() {}

// Write implements http.ResponseWriter.
func (x *endlessExchange) Write(p []byte) (int, error) {
	x.held.Add(-int64(len(p)))
	return len(p), nil
}

// TestEndlessResponsesFillMemory guards against an entry that holds more bytes of responses than its VM has memory, though each is within the
// bound of one response: endpoints in trouble write without end to all requests that they have.
func TestEndlessResponsesFillMemory(t *testing.T) {
	const requests, most = 200, 16 << 20
	for name, c := range map[string]struct {
		path, contentType string
		// bytes is just below the bound of one response.
		bytes int64
	}{
		"streams without the end of an event": {"/stream/x", eventStream, 1<<20 - 1},
		"plain responses":                     {"/once/x", "text/plain", 256<<10 - 1},
	} {
		t.Run(name, func(t *testing.T) {
			exchanges, end := map[string]*endlessExchange{}, make(chan struct{})
			for i := range requests {
				id := fmt.Sprint("id-", i)
				exchanges[id] = &endlessExchange{left: c.bytes, filler: strings.Repeat("x", 4<<10), end: end, header: http.Header{}}
			}
			fx := newFixtureWith(t, pass.Config{Budget: limit.NewBudget(limit.BudgetConfig{Small: requests * limit.SmallBytes, Large: most})}, func(s *pass.Send) (*pass.Reply, error) {
				x, endless := exchanges[s.Call.ID]
				if !endless {
					return respondWith(200, eventA)(s)
				}
				return &pass.Reply{Status: 200, Sealed: true, Header: http.Header{"Content-Type": {c.contentType}}, Body: x}, nil
			})
			fx.backend.life = member.Running
			var served sync.WaitGroup
			for id, x := range exchanges {
				served.Go(func() {
					defer func() { _ = recover() }()
					fx.entry.Serve(t.Context(), &pass.Call{ID: id, Host: "h", Method: http.MethodPost, Path: c.path, Target: c.path, Header: http.Header{}, Body: []byte(id), APIKey: "k", Arrived: time.Now(), ClientTimeout: time.Minute}, x)
				})
			}
			held := func() (sum int64) {
				for _, x := range exchanges {
					sum += x.held.Load()
				}
				return sum
			}
			check.Eventually(t, "all are read as far as they may", func() bool {
				for _, x := range exchanges {
					if !x.full.Load() {
						return false
					}
				}
				return true
			})
			// What a response may hold whatever the others hold comes on top.
			check.Equal(t, fmt.Sprint("bytes held are bounded: ", held()), held() <= most+requests*limit.SmallBytes, true)
			got, _ := fx.call("/stream/x", "k", func(c *pass.Call) { c.ID = "sound" })
			check.Equal(t, "a sound request's status and body", []any{got.Code, got.Body.String()}, []any{200, eventA})
			close(end)
			served.Wait()
			check.Equal(t, "bytes held in the end", fx.entry.HeldBytes(), int64(0))
		})
	}
}
