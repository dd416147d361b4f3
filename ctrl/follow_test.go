package ctrl_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/clock"
	"egretshunt/ctrl"
	"egretshunt/disk"
	"egretshunt/fake"
	"egretshunt/wire"
)

// slowDisk delays the creation of files.
type slowDisk struct {
	*fake.Disk
	delay time.Duration
}

// Create implements disk.FS.
func (d slowDisk) Create(name string) (disk.File, error) {
	time.Sleep(d.delay)
	return d.Disk.Create(name)
}

// stalledDisk blocks the creation of files until it is released.
type stalledDisk struct {
	*fake.Disk
	released chan struct{}
}

// Create implements disk.FS.
func (d stalledDisk) Create(name string) (disk.File, error) {
	<-d.released
	return d.Disk.Create(name)
}

// serveControl serves one control VM to followers and entries.
func serveControl(t *testing.T, c ctrl.ServerConfig) (netip.AddrPort, *wire.Keys) {
	t.Helper()
	keys, err := wire.NewKeys("a secret of this test, long enough")
	check.NoError(t, err)
	control := ctrl.NewServer(c)
	serve := func(ctx context.Context, s *wire.Stream) {
		if first, err := s.Recv(); err == nil {
			control.Handle(ctx, s, first)
		}
	}
	s, err := wire.Serve(wire.ServerConfig{
		Addr: netip.MustParseAddrPort("127.0.0.1:0"), Keys: keys, Handle: serve,
	})
	check.NoError(t, err)
	t.Cleanup(func() { s.Close() })
	return s.Addr(), keys
}

// TestFollowerSavesBeforePublishing stops a follower on a slow disk as soon as it has published
// a change. After a restart it must not return to an older revision.
func TestFollowerSavesBeforePublishing(t *testing.T) {
	c := newCluster(t, 1)
	addr, keys := serveControl(t, ctrl.ServerConfig{Node: c.node(c.leader())})
	d := slowDisk{fake.NewDisk(), 20 * time.Millisecond}
	start := func(from ...netip.AddrPort) *ctrl.Follower {
		pool := wire.NewPool(wire.PoolConfig{Keys: keys})
		t.Cleanup(pool.Close)
		f, err := ctrl.NewFollower(ctrl.FollowerConfig{
			Node: "n", Role: "store", Pool: pool, FS: d, Upstreams: func() []netip.AddrPort { return from },
		})
		check.NoError(t, err)
		return f
	}
	for i := range 4 {
		f := start(addr)
		rev := c.mustChange(poolChange(fmt.Sprint(i), fmt.Sprint("row", i), 0, "here")).Rev
		check.Eventually(t, "the change", func() bool { return f.Rev() >= rev })
		published := f.Rev()
		d.CrashAfter(0)
		f.Close()
		d.Restart(0)
		restarted := start()
		if restored := restarted.Rev(); restored < published {
			t.Errorf("a follower that published revision %d restarts at %d", published, restored)
		}
		restarted.Close()
	}
}

// TestStalledDiskDoesNotDelayInstall checks that a change is installed while the disk stalls.
func TestStalledDiskDoesNotDelayInstall(t *testing.T) {
	c := newCluster(t, 1)
	addr, keys := serveControl(t, ctrl.ServerConfig{Node: c.node(c.leader())})
	pool := wire.NewPool(wire.PoolConfig{Keys: keys})
	t.Cleanup(pool.Close)
	d := stalledDisk{fake.NewDisk(), make(chan struct{})}
	f, err := ctrl.NewFollower(ctrl.FollowerConfig{
		Node: "n", Role: "store", Pool: pool, FS: d, Upstreams: func() []netip.AddrPort { return []netip.AddrPort{addr} },
	})
	check.NoError(t, err)
	defer f.Close()
	defer close(d.released)
	rev := c.mustChange(poolChange("1", "row", 0, "here")).Rev
	check.Eventually(t, "the change", func() bool { return f.Rev() >= rev })
}

// Guards against a node that acts by old tables after its VM was suspended: the time of a process stands still then, its lease doesn't.
func TestLeaseEndsDuringSuspension(t *testing.T) {
	c := newCluster(t, 1)
	addr, keys := serveControl(t, ctrl.ServerConfig{Node: c.node(c.leader())})
	pool := wire.NewPool(wire.PoolConfig{Keys: keys})
	t.Cleanup(pool.Close)
	var suspended atomic.Int64
	f, err := ctrl.NewFollower(ctrl.FollowerConfig{
		Node: "n", Role: "entry", Pool: pool, Upstreams: func() []netip.AddrPort { return []netip.AddrPort{addr} },
		Now: func() time.Duration { return clock.Now() + time.Duration(suspended.Load()) },
	})
	check.NoError(t, err)
	defer f.Close()
	rev := c.mustChange(poolChange("1", "row", 0, "here")).Rev
	check.Eventually(t, "fresh tables", func() bool {
		tables, fresh := f.Snapshot()
		return fresh && tables.Rev >= rev
	})
	pool.Close()
	suspended.Store(int64(ctrl.Lease))
	_, fresh := f.Snapshot()
	check.Equal(t, "fresh after the suspension", fresh, false)
	check.Equal(t, "ready", f.Fresh(), false)
}
