package pass_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/pass"
)

// TestEndpointRetryAfter guards against requests that are sent to an endpoint which has asked for none for some seconds.
func TestEndpointRetryAfter(t *testing.T) {
	t.Parallel()
	const wait = 2500 * time.Millisecond
	for name, respond := range map[string]func(*pass.Send) (*pass.Reply, error){
		"rejection": notRun(503, ""),
		"failure":   respondWith(503, "busy"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			full := ""
			var askedAt time.Time
			fx := newFixture(t, func(s *pass.Send) (*pass.Reply, error) {
				if full == "" {
					full, askedAt = s.To.ID, time.Now()
				}
				if s.To.ID != full {
					return respondWith(200, "ok")(s)
				}
				r, err := respond(s)
				if time.Since(askedAt) < wait/2 {
					r.RetryAfter = wait
				}
				return r, err
			})
			fx.call("/safe/x", "k")
			first := len(fx.backend.sends)
			for i := 0; time.Since(askedAt) < wait-200*time.Millisecond; i++ {
				fx.call("/safe/x", "k", func(c *pass.Call) { c.ID = strconv.Itoa(i) })
				time.Sleep(5 * time.Millisecond)
			}
			check.Equal(t, "sends before the time is over", fx.backend.countSends(full, first), 0)
			time.Sleep(time.Until(askedAt.Add(wait + 50*time.Millisecond)))
			for i := range 40 {
				fx.call("/once/x", "k", func(c *pass.Call) { c.ID = fmt.Sprint("later-", i) })
			}
			check.Equal(t, "sends afterwards", fx.backend.countSends(full, first) > 0, true)
		})
	}
}

// TestAllEndpointsAskForTime guards against a request that waits, or is sent, although each endpoint of its route has asked
// for none: it must be rejected at once, with the time until one may be asked.
func TestAllEndpointsAskForTime(t *testing.T) {
	fx := newFixture(t, func(s *pass.Send) (*pass.Reply, error) {
		r, err := notRun(503, "")(s)
		n, _ := strconv.Atoi(s.To.ID[1:])
		r.RetryAfter = time.Duration(n+3) * time.Second
		return r, err
	})
	for i := range 4 {
		fx.call("/once/x", "k", func(c *pass.Call) { c.ID = strconv.Itoa(i) })
	}
	sends := len(fx.backend.sends)
	check.Equal(t, "endpoints asked", sends, 4)
	got, _ := fx.call("/once/x", "k")
	check.Equal(t, "status", got.Code, http.StatusServiceUnavailable)
	check.Equal(t, "sends", len(fx.backend.sends), sends)
	after, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
	check.NoError(t, err)
	check.Equal(t, "Retry-After is that of the first endpoint", after > 2.5 && after <= 3, true)
}

// TestRetryAfterWhileOthersAreFree guards against a client that is told to wait as long as the one endpoint that had no room,
// though others may have.
func TestRetryAfterWhileOthersAreFree(t *testing.T) {
	fx := newFixture(t, func(s *pass.Send) (*pass.Reply, error) {
		r, err := notRun(503, "")(s)
		r.RetryAfter = 4 * time.Second
		return r, err
	})
	got, _ := fx.call("/once/x", "k")
	check.Equal(t, "status", got.Code, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
	check.NoError(t, err)
	check.Equal(t, "endpoints asked", len(fx.backend.sends) < 4, true)
	check.Equal(t, "Retry-After in seconds is short", after < 1, true)
}
