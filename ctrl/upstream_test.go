package ctrl_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/wire"
)

// newFeed returns the feed of one entry.
func newFeed(t *testing.T, keys *wire.Keys, node string, control ...netip.AddrPort) *ctrl.Feed {
	t.Helper()
	pool := wire.NewPool(wire.PoolConfig{Keys: keys})
	t.Cleanup(pool.Close)
	f := ctrl.NewFeed(ctrl.FeedConfig{Node: node, Pool: pool, Seeds: func() []netip.AddrPort { return control }})
	t.Cleanup(f.Close)
	return f
}

// serveHubs serves the hubs of all members and returns their addresses, the leader's at the given index.
func serveHubs(t *testing.T, c *cluster, leaderAt int) ([]netip.AddrPort, *wire.Keys) {
	t.Helper()
	var control []netip.AddrPort
	var keys *wire.Keys
	leader := c.leader()
	ids := c.ids()
	for i, id := range ids {
		if id == leader {
			ids[i], ids[leaderAt] = ids[leaderAt], ids[i]
			break
		}
	}
	for _, id := range ids {
		addr, k := serveControl(t, ctrl.ServerConfig{Node: c.node(id), Hub: ctrl.NewHub(c.node(id))})
		control, keys = append(control, addr), k
	}
	return control, keys
}

// TestFeedTriesEachControlVM guards against a feed that never asks the leader because the address that the other
// control VMs report for it does not respond.
func TestFeedTriesEachControlVM(t *testing.T) {
	keys, err := wire.NewKeys("a secret of this test, long enough")
	check.NoError(t, err)
	const unreachable = "127.0.0.1:1"
	for leader := range 3 {
		t.Run(fmt.Sprint("leader ", leader), func(t *testing.T) {
			t.Parallel()
			var elected atomic.Bool
			var control []netip.AddrPort
			for i := range 3 {
				s, err := wire.Serve(wire.ServerConfig{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Keys: keys, Handle: func(_ context.Context, s *wire.Stream) {
					for {
						if _, err := s.Recv(); err != nil {
							return
						}
						reply := &wire.Synced{Fresh: i == leader && elected.Load(), Leader: unreachable, Members: []string{unreachable}}
						if err := s.Send(&wire.Frame{Body: &wire.Frame_Synced{Synced: reply}}); err != nil {
							return
						}
					}
				}})
				check.NoError(t, err)
				t.Cleanup(func() { s.Close() })
				control = append(control, s.Addr())
			}
			f := newFeed(t, keys, "e", control...)
			check.Eventually(t, "some syncs", func() bool { return len(f.Upstreams()) == 4 })
			// Long enough for each control VM to be asked.
			time.Sleep(time.Second)
			elected.Store(true)
			check.Eventually(t, "a fresh feed", f.Fresh)
		})
	}
}
