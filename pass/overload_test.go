package pass_test

import (
	"sync/atomic"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
	"egretshunt/pass"
)

// A request that has waited unread counts as having arrived earlier: it is placed by the time that its
// client still waits, and rejected at once if none is left.
func TestUnreadWaitCounts(t *testing.T) {
	var wait atomic.Int64
	fx := newFixtureWith(t, pass.Config{RolloutTimeout: time.Hour, Wait: func() time.Duration { return time.Duration(wait.Load()) }}, respondWith(200, eventA))
	timeout := func(c *pass.Call) { c.ClientTimeout = 3 * time.Second }
	got, _ := fx.call("/stream/x", "k", timeout)
	check.Equal(t, "status without a wait", got.Code, 200)
	wait.Store(int64(1500 * time.Millisecond))
	got, _ = fx.call("/stream/x", "k", timeout)
	check.Equal(t, "status past the objective", got.Code, 200)
	check.Equal(t, "urgency past the objective", fx.backend.sends[1].Urgency, limit.UrgencyLevel(0, time.Second, true))
	check.Equal(t, "time given to the endpoint", fx.backend.sends[1].TimeLeft < 1500*time.Millisecond, true)
	wait.Store(int64(4 * time.Second))
	got, _ = fx.call("/safe/x", "k", timeout)
	check.Equal(t, "status past the client's deadline", got.Code, 503)
	check.Equal(t, "sends", len(fx.backend.sends), 2)
	check.Equal(t, "Retry-After set", got.Header().Get("Retry-After") != "", true)
}

// TestLagEndsFreshRequest guards against requests that end before their deadline because the process was busy before they came: the lag is
// only for those whose arrival isn't known.
func TestLagEndsFreshRequest(t *testing.T) {
	fx := newFixtureWith(t, pass.Config{RolloutTimeout: time.Hour, Wait: func() time.Duration { return 4 * time.Second }}, respondWith(200, eventA))
	got, _ := fx.call("/once/x", "k", func(c *pass.Call) { c.ClientTimeout, c.ArrivalKnown = 3*time.Second, true })
	check.Equal(t, "status", got.Code, 200)
}

// A request whose client has closed the connection must not be sent, although nothing has canceled
// it yet, neither first nor again.
func TestRequestOfGoneClientIsNotSent(t *testing.T) {
	var left atomic.Bool
	fx := newFixture(t, func(s *pass.Send) (*pass.Reply, error) {
		left.Store(true)
		return notSent(s)
	})
	isLeft := func(c *pass.Call) { c.Left = left.Load }
	_, _ = fx.call("/safe/x", "k", isLeft)
	check.Equal(t, "sends of a client that leaves during the first", len(fx.backend.sends), 1)
	_, _ = fx.call("/safe/x", "k", isLeft)
	check.Equal(t, "sends of a client that has left", len(fx.backend.sends), 1)
}
