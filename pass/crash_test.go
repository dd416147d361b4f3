package pass_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/pass"
)

// A request that crashes endpoints is repeated by its client. After a few crashes it must be
// rejected before it reaches another endpoint, while other requests are still served.
func TestCrashingRequestIsRefused(t *testing.T) {
	crashing := func(c *pass.Call) { c.Body = []byte("bad") }
	fx := newFixture(t, lost, respondTruncated("half"), lost, respondWith(200, "ok"))
	for range limit.MaxAttributedCrashes {
		got, _ := fx.call("/once/x", "k", crashing)
		check.Equal(t, "status", got.Code, 502)
	}
	got, _ := fx.call("/once/x", "k", crashing)
	check.Equal(t, "status after crashes", got.Code, 503)
	check.Equal(t, "Retry-After", got.Header().Get("Retry-After"), "10.000")
	check.Equal(t, "sends", len(fx.backend.sends), limit.MaxAttributedCrashes)
	other, _ := fx.call("/once/x", "k", crashing, func(c *pass.Call) { c.Target += "?n=2" })
	check.Equal(t, "status with another query", other.Code, 503)
	check.Equal(t, "endpoints reached", len(fx.backend.sends), limit.MaxAttributedCrashes)
	for what, call := range map[string]func() (*httptest.ResponseRecorder, bool){
		"another body":    func() (*httptest.ResponseRecorder, bool) { return fx.call("/once/x", "k") },
		"another path":    func() (*httptest.ResponseRecorder, bool) { return fx.call("/once/y", "k", crashing) },
		"another account": func() (*httptest.ResponseRecorder, bool) { return fx.call("/once/x", "i", crashing) },
	} {
		got, _ := call()
		check.Equal(t, what, got.Code, 200)
	}
}

// A request that crashes endpoints may come with another query each time, or beside others that differ from it only in
// the query.
func TestCrashingRequestWithQueryIsRefused(t *testing.T) {
	target := func(query string) func(*pass.Call) {
		return func(c *pass.Call) { c.Target += "?" + query }
	}
	fx := newFixture(t, func(s *pass.Send) (*pass.Reply, error) {
		if strings.Contains(s.Call.Target, "bad") {
			return lost(s)
		}
		return respondWith(200, "ok")(s)
	})
	for i := range limit.MaxAttributedCrashes {
		got, _ := fx.call("/once/x", "k", target(fmt.Sprint("bad=", i)))
		check.Equal(t, "status", got.Code, 502)
	}
	got, _ := fx.call("/once/x", "k", target("bad=9"))
	check.Equal(t, "another query each time", got.Code, 503)
	for range limit.MaxAttributedCrashes {
		fx.call("/once/y", "k", target("bad"))
		fx.call("/once/y", "k", target("good"))
	}
	got, _ = fx.call("/once/y", "k", target("bad"))
	check.Equal(t, "the same query each time", got.Code, 503)
	got, _ = fx.call("/once/y", "k", target("good"))
	check.Equal(t, "another request with that path", got.Code, 200)
}

// listUntilEnd returns a function from whose call on the feed lists no endpoint.
func (fx *fixture) listUntilEnd() (end func()) {
	var ended atomic.Bool
	all := fx.feed.list
	fx.feed.listFunc = func() *member.List {
		if ended.Load() {
			return (&member.List{}).Index()
		}
		return all
	}
	return func() { ended.Store(true) }
}

// An endpoint that loses power resets no connection: its request ends at the deadline, when its caller leaves, or with
// bytes that aren't the endpoint's. Once the list shows that the endpoint has ended, this must count as a crash.
func TestSilentEndIsReported(t *testing.T) {
	silent := func(*pass.Send) (*pass.Reply, error) { return nil, pass.Lost.New("cancelled") }
	for name, c := range map[string]struct {
		respond func(*pass.Send) (*pass.Reply, error)
		timeout time.Duration
		leaves  bool
	}{
		"deadline":    {silent, 30 * time.Millisecond, false},
		"caller left": {silent, 5 * time.Second, true},
		"unsigned":    {unsigned, 5 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			fx := newFixture(t, func(s *pass.Send) (*pass.Reply, error) {
				if c.leaves {
					leave()
				} else {
					time.Sleep(min(c.timeout, 100*time.Millisecond))
				}
				return c.respond(s)
			})
			endAll := fx.listUntilEnd()
			call := &pass.Call{ID: "x", Host: "h", Method: http.MethodPost, Path: "/once/x", Target: "/once/x", Header: http.Header{}, APIKey: "k", Arrived: time.Now(), ClientTimeout: c.timeout}
			_, aborted := fx.serve(ctx, call)
			check.Equal(t, "aborted", aborted, c.leaves)
			check.Equal(t, "reported before the end is listed", fx.feed.reported(), 0)
			endAll()
			check.Eventually(t, "one report", func() bool { return fx.feed.reported() == 1 })
		})
	}
}

// The limit on attributed crashes also applies to the retries within one call: the request must be
// rejected once it is reached, even if attempts are left.
func TestCrashingRequestIsNotRetried(t *testing.T) {
	fx := newFixture(t, lost)
	for range limit.MaxAttributedCrashes {
		fx.call("/safe/x", "k")
	}
	check.Equal(t, "sends", len(fx.backend.sends), limit.MaxAttributedCrashes)
}

// TestBreakOfRunningEndpointIsNoCrash guards against requests that are refused because endpoints which go on running
// break their responses off.
func TestBreakOfRunningEndpointIsNoCrash(t *testing.T) {
	for _, respond := range []func(*pass.Send) (*pass.Reply, error){lost, respondTruncated("half"), respondUnsized(eventStream, "id: 1")} {
		fx := newFixture(t, respond)
		fx.backend.life = member.Running
		for range limit.MaxAttributedCrashes + 1 {
			got, _ := fx.call("/once/x", "k")
			check.Equal(t, "status", got.Code, 502)
		}
		check.Equal(t, "reported", fx.feed.reported(), 0)
	}
}

// TestLaterEndOfRunningEndpoint guards against counting the end of an endpoint against requests that it had broken off
// seconds before, and went on. An endpoint that was silent for long enough may have ended and started again meanwhile.
func TestLaterEndOfRunningEndpoint(t *testing.T) {
	for name, c := range map[string]struct {
		silence time.Duration
		reports int
	}{
		"broken off at once":         {0, 0},
		"broken off after a silence": {limit.MinRestartTime + 100*time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fx := newFixture(t, func(s *pass.Send) (*pass.Reply, error) {
				time.Sleep(c.silence)
				return lost(s)
			})
			fx.backend.life = member.Running
			endAll := fx.listUntilEnd()
			fx.call("/once/x", "k")
			check.Equal(t, "reported before the end is listed", fx.feed.reported(), 0)
			endAll()
			if c.reports > 0 {
				check.Eventually(t, "reported once the end is listed", func() bool { return fx.feed.reported() == c.reports })
				return
			}
			time.Sleep(listSettleTime)
			check.Equal(t, "reported once the end is listed", fx.feed.reported(), 0)
		})
	}
}

// TestPartThatCrashesIsRefused guards against prompts of which no two are alike and that end each endpoint that begins to
// respond, by a part that they share; sound prompts with their caller and their other parts must be served meanwhile.
func TestPartThatCrashesIsRefused(t *testing.T) {
	n := 0
	prompt := func(parts ...string) func(*pass.Call) {
		n++
		return func(c *pass.Call) {
			c.ID, c.Body, c.Parts = fmt.Sprint(n), []byte(fmt.Sprint(n)), nil
			for _, p := range append(parts, fmt.Sprint("own-", n)) {
				c.Parts = append(c.Parts, pass.Part{ID: p, Tokens: 10})
			}
		}
	}
	fx := newFixture(t, func(s *pass.Send) (*pass.Reply, error) {
		for _, p := range s.Call.Parts {
			if p.ID == "bad" {
				return respondTruncated("id: 1")(s)
			}
		}
		return respondWith(200, eventA)(s)
	})
	for range limit.MaxAttributedCrashes {
		got, _ := fx.call("/stream/x", "k", prompt("sys", "subject", "bad"))
		check.Equal(t, "status", got.Code, 502)
		got, _ = fx.call("/stream/x", "k", prompt("sys", "subject"))
		check.Equal(t, "status of a sound prompt", got.Code, 200)
	}
	sends := len(fx.backend.sends)
	got, _ := fx.call("/stream/x", "k", prompt("sys", "other", "bad"))
	check.Equal(t, "status after the crashes", got.Code, 503)
	got, _ = fx.call("/resume/x", "i", prompt("bad"))
	check.Equal(t, "status for another caller on another route", got.Code, 503)
	check.Equal(t, "sends", len(fx.backend.sends), sends)
	got, _ = fx.call("/stream/x", "k", prompt("sys", "subject"))
	check.Equal(t, "status of a sound prompt later", got.Code, 200)
	got, _ = fx.call("/stream/x", "k", prompt("sys"), func(c *pass.Call) { c.Parts[len(c.Parts)-1].ID = "bad" })
	check.Equal(t, "the last part is a prompt's own", got.Code, 502)
}

// keepEndpoints makes the feed list the first n endpoints.
func (fx *fixture) keepEndpoints(n int) {
	fx.feed.list = (&member.List{Endpoints: fx.feed.list.Endpoints[:n]}).Index()
}

// TestRetryLeavesPoolServing guards against a request that ends all endpoints of a small pool in a row, before control can
// count: the pool's other routes had no endpoint for seconds.
func TestRetryLeavesPoolServing(t *testing.T) {
	fx := newFixture(t, lost)
	fx.keepEndpoints(limit.MaxAttributedCrashes)
	got, _ := fx.call("/safe/x", "k")
	check.Equal(t, "status", got.Code, 502)
	check.Equal(t, "endpoints that the request reached", len(fx.backend.sends), 1)
}

// TestLastEndpointIsKeptFromSuspects guards against the same over several requests: the last endpoint that runs must not get
// one under which endpoints have ended.
func TestLastEndpointIsKeptFromSuspects(t *testing.T) {
	crashing := func(c *pass.Call) { c.Body = []byte("bad") }
	fx := newFixture(t, lost, lost, respondWith(200, "ok"))
	fx.keepEndpoints(limit.MaxAttributedCrashes)
	for range limit.MaxAttributedCrashes - 1 {
		fx.call("/once/x", "k", crashing)
	}
	endpoints := slices.Clone(fx.feed.list.Endpoints)
	left := slices.IndexFunc(endpoints, func(e member.Endpoint) bool {
		return !slices.ContainsFunc(fx.backend.sends, func(s *pass.Send) bool { return s.To.ID == e.ID })
	})
	for i := range endpoints {
		endpoints[i].Down = i != left
	}
	fx.feed.list = (&member.List{Endpoints: endpoints}).Index()
	got, _ := fx.call("/once/x", "k", crashing)
	check.Equal(t, "status", got.Code, 503)
	check.Equal(t, "Retry-After", got.Header().Get("Retry-After") != "", true)
	got, _ = fx.call("/once/x", "k")
	check.Equal(t, "status of another request", got.Code, 200)
	for i := range endpoints {
		endpoints[i].Down = false
	}
	fx.feed.list = (&member.List{Endpoints: endpoints}).Index()
	got, _ = fx.call("/once/x", "k", crashing)
	check.Equal(t, "status once the others run", got.Code, 200)
}

// TestRetryAfterSilenceLeavesPoolServing guards against the same where the endpoint lost power: it was silent for the time of a
// restart, and runs again when the connection breaks.
func TestRetryAfterSilenceLeavesPoolServing(t *testing.T) {
	t.Parallel()
	fx := newFixture(t, func(s *pass.Send) (*pass.Reply, error) {
		time.Sleep(limit.MinRestartTime + 100*time.Millisecond)
		return lost(s)
	})
	fx.backend.life = member.Running
	fx.keepEndpoints(limit.MaxAttributedCrashes)
	endpoints := fx.feed.list.Endpoints
	// The list is published anew while the attempt lasts.
	fx.feed.listFunc = func() *member.List { return (&member.List{Endpoints: slices.Clone(endpoints)}).Index() }
	got, _ := fx.call("/safe/x", "k")
	check.Equal(t, "status", got.Code, 502)
	check.Equal(t, "endpoints that the request reached", len(fx.backend.sends), 1)
}

// TestLastEndpointAfterRefusedConnections guards against the same where only refused connections show that the others have ended.
func TestLastEndpointAfterRefusedConnections(t *testing.T) {
	crashing := func(c *pass.Call) { c.Body = []byte("bad") }
	fx := newFixture(t, lost, lost, notSent, notSent, respondWith(200, "ok"))
	fx.backend.life = member.Ended
	fx.keepEndpoints(limit.MaxAttributedCrashes)
	for range limit.MaxAttributedCrashes - 1 {
		fx.call("/once/x", "k", crashing)
	}
	got, _ := fx.call("/once/x", "k", crashing)
	check.Equal(t, "status", got.Code, 503)
	check.Equal(t, "sends", len(fx.backend.sends) <= 4, true)
}

// TestUncountedCrashesHoldRequest guards against a request that is sent on, or refused as one that crashes endpoints, while
// control has yet to count what its entry reports.
func TestUncountedCrashesHoldRequest(t *testing.T) {
	fx := newFixture(t, respondWith(200, "ok"))
	fx.feed.uncounted = true
	got, _ := fx.call("/once/x", "k")
	check.Equal(t, "status", got.Code, 503)
	check.Equal(t, "Retry-After", got.Header().Get("Retry-After"), "0.500")
	check.Equal(t, "says that it crashes endpoints", strings.Contains(got.Body.String(), "it crashes endpoints"), false)
	check.Equal(t, "sends", len(fx.backend.sends), 0)
}

// TestLastEndpointAfterSilentEnds guards against the same where a connection that broke after a silence is all that an entry knows: the list
// shows the end later.
func TestLastEndpointAfterSilentEnds(t *testing.T) {
	t.Parallel()
	crashing := func(c *pass.Call) { c.Body = []byte("bad") }
	silent := func(s *pass.Send) (*pass.Reply, error) {
		time.Sleep(limit.MinRestartTime + 100*time.Millisecond)
		return lost(s)
	}
	fx := newFixture(t, silent, notSent, notSent, respondWith(200, "ok"))
	fx.backend.life = member.Running
	fx.keepEndpoints(limit.MaxAttributedCrashes)
	fx.call("/once/x", "k", crashing)
	got, _ := fx.call("/once/x", "k", crashing)
	check.Equal(t, "status", got.Code, 503)
	check.Equal(t, "sends", len(fx.backend.sends), 3)
	got, _ = fx.call("/once/x", "k")
	check.Equal(t, "status of another request", got.Code, 200)
}

// TestLateEndOfSoundContent guards against requests and parts of prompts that are refused for the end of an endpoint that only the
// list shows, seconds later: other endpoints have run them soundly meanwhile.
func TestLateEndOfSoundContent(t *testing.T) {
	for name, c := range map[string]struct {
		next    func(*pass.Send) (*pass.Reply, error)
		reports int
	}{
		"no further run":        {nil, 3},
		"another unanswered":    {lost, 3},
		"a response that began": {respondTruncated(eventA + "id"), 1},
		"a run to the end":      {respondStream(eventA), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fx := newFixture(t, func(s *pass.Send) (*pass.Reply, error) {
				time.Sleep(50 * time.Millisecond)
				return lost(s)
			}, c.next)
			fx.backend.life = member.Running
			endAll := fx.listUntilEnd()
			fx.call("/stream/x", "k", func(call *pass.Call) { call.ClientTimeout = 30 * time.Millisecond })
			if c.next != nil {
				fx.call("/stream/x", "k")
			}
			endAll()
			check.Eventually(t, "the end is listed", func() bool { return fx.feed.reported() >= c.reports })
			time.Sleep(listSettleTime)
			check.Equal(t, "reports", fx.feed.reported(), c.reports)
		})
	}
}

// listSettleTime is how long after a change of the list an entry has noticed it.
const listSettleTime = 1200 * time.Millisecond
