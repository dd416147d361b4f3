package pass_test

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"

	"egretshunt/check"
	"egretshunt/member"
	"egretshunt/pass"
)

// countSends returns how many of the sends from the n-th on went to an endpoint.
func (b *scriptedBackend) countSends(id string, from int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.sends[from:] {
		if s.To.ID == id {
			n++
		}
	}
	return n
}

// TestLeavingEndpointGetsNoRequests guards against requests that are sent to an endpoint whose responses say that it is
// leaving, while the list doesn't show it yet.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	const calls = 40
	for name, respond := range map[string]func(*pass.Send) (*pass.Reply, error){
		"in a response":        respondWith(200, eventA),
		"in a failure":         respondWith(500, "bad"),
		"in a rejection":       notRun(503, ""),
		"in a cut stream":      respondTruncated(eventA),
		"in an unsigned one":   unsigned,
		"in an unsized stream": respondUnsized(eventStream, eventA),
	} {
		t.Run(name, func(t *testing.T) {
			leaving := ""
			fx := newFixture(t, func(s *pass.Send) (*pass.Reply, error) {
				if leaving == "" {
					leaving = s.To.ID
				}
				if s.To.ID != leaving {
					return respondWith(200, eventA)(s)
				}
				r, err := respond(s)
				r.Leaving = true
				return r, err
			})
			fx.call("/resume/x", "k")
			first := len(fx.backend.sends)
			for i := range calls {
				fx.call([]string{"/resume/x", "/once/x"}[i%2], "k", func(c *pass.Call) { c.ID = strconv.Itoa(i) })
			}
			check.Equal(t, "sends to the leaving endpoint", fx.backend.countSends(leaving, first), 0)

			// Another incarnation under the same ID isn't leaving.
			restarted := &member.List{Endpoints: append([]member.Endpoint(nil), fx.feed.list.Endpoints...)}
			for i := range restarted.Endpoints {
				restarted.Endpoints[i].Born++
			}
			restarted.Index()
			fx.feed.listFunc = func() *member.List { return restarted }
			left := leaving
			leaving = "nobody"
			first = len(fx.backend.sends)
			for i := range calls {
				fx.call("/once/x", "k", func(c *pass.Call) { c.ID = fmt.Sprint("again-", i) })
			}
			check.Equal(t, "the next incarnation gets requests", fx.backend.countSends(left, first) > 0, true)
		})
	}
}

// TestFormerEndpointResetsState guards against the state of an endpoint that was lost when a request ended that had been sent to its
// former incarnation. Requests wait for silent endpoints until their deadline.
func TestFormerEndpointResetsState(t *testing.T) {
	const calls = 40
	for name, end := range map[string]func(*pass.Send) (*pass.Reply, error){
		"answered": respondWith(200, "ok"), "lost": lost, "not run": notRun(503, ""), "never sent": notSent,
	} {
		t.Run(name, func(t *testing.T) {
			held, release := make(chan string, 1), make(chan struct{})
			former := ""
			fx := newFixture(t, func(s *pass.Send) (*pass.Reply, error) {
				held <- s.To.ID
				<-release
				return end(s)
			}, func(s *pass.Send) (*pass.Reply, error) {
				r, err := respondWith(200, "ok")(s)
				r.Leaving = s.To.ID == former
				return r, err
			})
			var list atomic.Pointer[member.List]
			list.Store(fx.feed.list)
			fx.feed.listFunc = list.Load
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				fx.call("/once/x", "k")
			}()
			former = <-held
			restarted := &member.List{Endpoints: append([]member.Endpoint(nil), fx.feed.list.Endpoints...)}
			for i := range restarted.Endpoints {
				restarted.Endpoints[i].Born++
			}
			list.Store(restarted.Index())
			for i := range calls {
				fx.call("/once/x", "k", func(c *pass.Call) { c.ID = fmt.Sprint("before-", i) })
			}
			check.Equal(t, "sends until it is leaving", fx.backend.countSends(former, 1), 1)
			close(release)
			<-ended
			first := len(fx.backend.sends)
			for i := range calls {
				fx.call("/once/x", "k", func(c *pass.Call) { c.ID = fmt.Sprint("after-", i) })
			}
			check.Equal(t, "sends to the leaving endpoint", fx.backend.countSends(former, first), 0)
		})
	}
}
