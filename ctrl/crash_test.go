package ctrl_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/limit"
	"egretshunt/wire"
)

// TestCrashingRequestQuarantinedOnAllEntries guards against a request that crashes endpoints and is
// sent again through other entries. Two entries report the crashes; a third, which never ran the
// request, must refuse it, and must keep refusing it after a change of leader.
func TestCrashingRequestQuarantinedOnAllEntries(t *testing.T) {
	c := newCluster(t, 1)
	hub := ctrl.NewHub(c.node(c.leader()))
	addr, keys := serveControl(t, ctrl.ServerConfig{Node: c.node(c.leader()), Hub: hub})
	feeds := make([]*ctrl.Feed, 3)
	for i := range feeds {
		pool := wire.NewPool(wire.PoolConfig{Keys: keys})
		t.Cleanup(pool.Close)
		feeds[i] = ctrl.NewFeed(ctrl.FeedConfig{
			Node: fmt.Sprint("e", i), Pool: pool, Seeds: func() []netip.AddrPort { return []netip.AddrPort{addr} },
		})
		t.Cleanup(feeds[i].Close)
	}
	fingerprint := func(s string) func() string { return func() string { return s } }
	first, second, observer := feeds[0], feeds[1], feeds[2]
	check.Eventually(t, "a fresh feed", observer.Fresh)
	crashes := 0
	check.Eventually(t, "refused by an entry that never ran the request", func() bool {
		if observer.RejectedFor(fingerprint("bad")) > 0 {
			return true
		}
		// Crashes within a second of each other count once.
		time.Sleep(1200 * time.Millisecond)
		at := first
		if crashes%2 == 1 {
			at = second
		}
		at.Broke("bad", fmt.Sprint("beside-", crashes))
		crashes++
		return false
	})
	check.Equal(t, "not refused before the threshold", crashes >= limit.MaxAttributedCrashes, true)
	check.Equal(t, "requests that ran concurrently", observer.RejectedFor(fingerprint("beside-0")), time.Duration(0))
	hub.BeginTerm()
	time.Sleep(500 * time.Millisecond)
	check.Equal(t, "still refused under a leader without crash counts", second.RejectedFor(fingerprint("bad")) > 0, true)
}
