package ctrl_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/wire"
)

// TestProposalsPassHungControlVM guards against a VM that asks to join at the same frozen control VM each time: its
// kernel accepts connections, and nothing responds.
func TestProposalsPassHungControlVM(t *testing.T) {
	hung, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, err)
	defer hung.Close()
	c := newCluster(t, 1)
	leader, keys := serveControl(t, ctrl.ServerConfig{Node: c.node(c.leader())})
	pool := wire.NewPool(wire.PoolConfig{Keys: keys})
	defer pool.Close()
	control := []netip.AddrPort{netip.MustParseAddrPort(hung.Addr().String()), leader}
	client := ctrl.NewClient(ctrl.ClientConfig{Pool: pool, Control: func() []netip.AddrPort { return control }})
	check.Eventually(t, "a change at the second VM", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := client.Change(ctx, poolChange("1", "row", 0, "p"))
		return err == nil
	})
}
