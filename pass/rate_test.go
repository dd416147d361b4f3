package pass_test

import (
	"sync"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
	"egretshunt/pass"
	"egretshunt/value"
)

// naming makes responses name a limit.
func naming(rate float64, respond func(*pass.Send) (*pass.Reply, error)) func(*pass.Send) (*pass.Reply, error) {
	return func(s *pass.Send) (*pass.Reply, error) {
		r, err := respond(s)
		if err == nil {
			r.Limit = value.Some(rate)
		}
		return r, err
	}
}

// sendsTo counts the requests that reached each endpoint.
func (b *scriptedBackend) sendsTo() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := map[string]int{}
	for _, s := range b.sends {
		n[s.To.ID]++
	}
	return n
}

// TestLimitedEndpointNeedsPermits guards against endpoints that get more requests than the limit that they have named, while
// others have room.
func TestLimitedEndpointNeedsPermits(t *testing.T) {
	fx := newFixture(t, func(s *pass.Send) (*pass.Reply, error) {
		if s.To.ID == "w0" {
			return naming(2, respondWith(200, "ok"))(s)
		}
		return respondWith(200, "ok")(s)
	})
	run := limit.EndpointRun{ID: "w0"}
	fx.feed.RecordRate(run, value.Some(2.0), time.Time{})
	call := func(n int) {
		for i := range n {
			got, _ := fx.call("/once/x", "k", func(c *pass.Call) { c.ID = string(rune('a' + i)) })
			check.Equal(t, "status", got.Code, 200)
		}
	}
	call(20)
	check.Equal(t, "requests without a permit", fx.backend.sendsTo()["w0"], 0)
	wants := fx.entry.PermitWants()
	check.Equal(t, "wanted", wants, []limit.PermitWant{{Count: 20, Runs: []limit.EndpointRun{run}}})
	fx.feed.permit(run, 3)
	call(26)
	check.Equal(t, "requests with three permits", fx.backend.sendsTo()["w0"], 3)
}

// TestRequestsWaitForPermits guards against requests that are refused though an endpoint with a limit takes them in time, and
// against ones that wait in vain.
func TestRequestsWaitForPermits(t *testing.T) {
	fx := newFixture(t, respondWith(200, "ok"))
	fx.keepEndpoints(1)
	run := limit.EndpointRun{ID: "w0"}
	fx.feed.RecordRate(run, value.Some(2.0), time.Time{})
	var work sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range 3 {
		work.Go(func() {
			got, _ := fx.call("/once/x", "k", func(c *pass.Call) { c.ID = string(rune('a' + i)) })
			mu.Lock()
			defer mu.Unlock()
			statuses[got.Code]++
		})
	}
	check.Eventually(t, "three requests wait", func() bool {
		wants := fx.entry.PermitWants()
		return len(wants) == 1 && wants[0].Waiting == 3
	})
	check.Equal(t, "sends without permits", len(fx.backend.sendsTo()), 0)
	// At two a second the next one would wait longer than its route's patience.
	late, _ := fx.call("/once/x", "k")
	check.Equal(t, "status of one that can't be sent in time", late.Code, 503)
	check.Equal(t, "Retry-After", late.Header().Get("Retry-After"), "2.000")
	fx.feed.permit(run, 3)
	work.Wait()
	check.Equal(t, "statuses", statuses, map[int]int{200: 3})
}

// TestUrgentRequestsGetPermitsFirst guards against permits that go to whoever came first.
func TestUrgentRequestsGetPermitsFirst(t *testing.T) {
	var mu sync.Mutex
	var order []string
	fx := newFixture(t, func(s *pass.Send) (*pass.Reply, error) {
		mu.Lock()
		order = append(order, s.Call.ID)
		mu.Unlock()
		return respondWith(200, "ok")(s)
	})
	fx.keepEndpoints(1)
	run := limit.EndpointRun{ID: "w0"}
	fx.feed.RecordRate(run, value.Some(100.0), time.Time{})
	var work sync.WaitGroup
	for i, c := range []struct{ path, key string }{{"/once/x", "k"}, {"/urgent/x", "k"}} {
		work.Go(func() { fx.call(c.path, c.key, func(call *pass.Call) { call.ID = c.path }) })
		check.Eventually(t, "it waits", func() bool {
			wants := fx.entry.PermitWants()
			return len(wants) == 1 && wants[0].Waiting == i+1
		})
	}
	for n := range 2 {
		fx.feed.permit(run, 1)
		check.Eventually(t, "a send", func() bool { mu.Lock(); defer mu.Unlock(); return len(order) == n+1 })
	}
	work.Wait()
	check.Equal(t, "order", order, []string{"/urgent/x", "/once/x"})
}

// TestResponsesTellOfLimits guards against limits that stay unknown or don't end, and against a retry that passes over one.
func TestResponsesTellOfLimits(t *testing.T) {
	fx := newFixture(t, naming(1.5, respondWith(200, "ok")), respondWith(200, "ok"))
	fx.keepEndpoints(1)
	run := limit.EndpointRun{ID: "w0"}
	fx.call("/once/x", "k")
	rate, _ := fx.feed.NamedRate(run)
	check.Equal(t, "rate", rate, 1.5)
	fx.feed.permit(run, 1)
	fx.call("/once/x", "k")
	_, named := fx.feed.NamedRate(run)
	check.Equal(t, "named after an answer without a limit", named, false)

	fx = newFixture(t, naming(0, notRun(503, "")))
	fx.keepEndpoints(1)
	got, _ := fx.call("/once/x", "k")
	check.Equal(t, "status", got.Code, 503)
	check.Equal(t, "sends", fx.backend.sendsTo()["w0"], 1)
}

// TestEndOfOneLimitServesAllThatWait guards against requests that go on waiting for permits though one endpoint takes them without.
func TestEndOfOneLimitServesAllThatWait(t *testing.T) {
	fx := newFixture(t, respondWith(200, "ok"))
	fx.keepEndpoints(2)
	runs := []limit.EndpointRun{{ID: "w0"}, {ID: "w1"}}
	for _, run := range runs {
		fx.feed.RecordRate(run, value.Some(50.0), time.Time{})
	}
	var work sync.WaitGroup
	for i := range 3 {
		work.Go(func() {
			got, _ := fx.call("/once/x", "k", func(c *pass.Call) { c.ID = string(rune('a' + i)) })
			check.Equal(t, "status", got.Code, 200)
		})
	}
	check.Eventually(t, "three requests wait", func() bool {
		wants := fx.entry.PermitWants()
		return len(wants) == 1 && wants[0].Waiting == 3
	})
	fx.feed.RecordRate(runs[0], value.None[float64](), time.Time{})
	work.Wait()
	check.Equal(t, "requests", fx.backend.sendsTo(), map[string]int{"w0": 3})
}
