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

// TestCrashingRequestIsKnownToAll lets one request break endpoints at one entry after the
// other; an entry that has never seen it must refuse it, and go on doing so under another leader.
func TestCrashingRequestIsKnownToAll(t *testing.T) {
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
	print := func(s string) func() string { return func() string { return s } }
	first, second, other := feeds[0], feeds[1], feeds[2]
	check.Soon(t, "a fresh feed", other.Fresh)
	broken := 0
	check.Soon(t, "refused by an entry that never had it", func() bool {
		if other.Refuses(print("bad")) > 0 {
			return true
		}
		// Breaks at the same moment count as one.
		time.Sleep(1200 * time.Millisecond)
		at := first
		if broken%2 == 1 {
			at = second
		}
		at.Broke("bad", fmt.Sprint("beside-", broken))
		broken++
		return false
	})
	check.Equal(t, "not before its time", broken >= limit.BlameCount, true)
	check.Equal(t, "what ran beside it", other.Refuses(print("beside-0")), time.Duration(0))
	hub.Begin()
	time.Sleep(500 * time.Millisecond)
	check.Equal(t, "still refused under a leader that has counted nothing", second.Refuses(print("bad")) > 0, true)
}
