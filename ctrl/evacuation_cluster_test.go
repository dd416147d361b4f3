package ctrl_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/fake"
	"egretshunt/quorum"
	"egretshunt/wire"
)

// evacuate proposes the beginning or end of an evacuation to one member after another until one returns a result.
func (c *cluster) evacuate(e ctrl.Evacuation) ctrl.EvacuationResult {
	c.t.Helper()
	var got ctrl.EvacuationResult
	check.Eventually(c.t, "an acknowledgement", func() bool {
		for _, id := range c.ids() {
			ctx, cancel := context.WithTimeout(c.t.Context(), 300*time.Millisecond)
			r, err := c.node(id).Propose(ctx, ctrl.Command{Evacuation: &e})
			cancel()
			if err == nil {
				got = *r.Evacuation
				return true
			}
		}
		return false
	})
	return got
}

// checkEvacuated waits until all running members show the same evacuated places.
func (c *cluster) checkEvacuated(what string, want ...string) {
	c.t.Helper()
	c.leader()
	check.Eventually(c.t, what, func() bool {
		for _, id := range c.ids() {
			if !slices.Equal(c.node(id).View().Evacuated(), want) {
				return false
			}
		}
		return true
	})
}

// Guards against an acknowledged evacuation, or its end, that a restart, a snapshot, an election or the loss of a minority's disks undoes.
func TestEvacuationSurvives(t *testing.T) {
	c := newCluster(t, 3)
	c.compactSize = 4 << 10
	for _, id := range c.ids() {
		c.kill(id)
		c.start(id)
	}
	c.evacuate(ctrl.Evacuation{Place: "a"})
	c.evacuate(ctrl.Evacuation{Place: "b"})
	c.evacuate(ctrl.Evacuation{Place: "a", End: true})
	c.checkEvacuated("acknowledged", "b")
	for _, id := range c.ids() {
		c.kill(id)
	}
	for _, m := range c.members.Voters {
		c.start(m.ID)
	}
	c.checkEvacuated("after a restart of all", "b")

	// The log is replaced by snapshots.
	for i := range 100 {
		c.mustChange(poolChange(fmt.Sprint("fill-", i), fmt.Sprint("pool-", i%3), 0, "z"))
	}
	c.kill(c.leader())
	c.checkEvacuated("after an election", "b")
	for _, m := range c.members.Voters {
		if c.node(m.ID) == nil {
			c.start(m.ID)
		}
	}
	c.checkEvacuated("after the former leader's return", "b")

	// A member without a disk comes back under another ID, as the platform's control VMs do.
	lost := c.leader()
	c.kill(lost)
	c.evacuate(ctrl.Evacuation{Place: "c"})
	fresh := quorum.Member{ID: "fresh", Addr: c.members.Voters[0].Addr}
	c.disks[fresh.ID] = fake.NewDisk()
	c.startWithMembers(fresh.ID, quorum.Members{})
	c.members.Voters = append(c.members.Voters, fresh)
	check.NoError(t, c.node(c.leader()).AddMember(t.Context(), fresh, lost))
	c.checkEvacuated("at a member whose disk was lost", "b", "c")
	check.Equal(t, "resend", c.evacuate(ctrl.Evacuation{Place: "c"}).Changed, false)
}

// Guards against operators whose race leaves members with different states, and against acknowledgements that don't say what holds: the latest in
// the log wins. Configurations sent at the same time must not be lost.
func TestRacingEvacuations(t *testing.T) {
	c := newCluster(t, 3)
	c.leader()
	const calls = 20
	var running sync.WaitGroup
	for _, end := range []bool{false, true} {
		running.Go(func() {
			for range calls {
				got := c.evacuate(ctrl.Evacuation{Place: "a", End: end})
				check.Equal(t, "the acknowledgement's own state", slices.Contains(got.Places, "a"), !end)
			}
		})
	}
	running.Go(func() {
		for n := range uint64(calls) {
			_, err := c.node(c.leader()).Propose(t.Context(), ctrl.Command{TableSet: &ctrl.TableSetDocument{Number: n + 1, Body: []byte("{}")}})
			check.NoError(t, err)
		}
	})
	running.Wait()
	evacuated := c.node(c.leader()).View().IsEvacuated("a")
	check.Eventually(t, "one state everywhere", func() bool {
		for _, id := range c.ids() {
			if v := c.node(id).View(); v.IsEvacuated("a") != evacuated || v.Set == nil || v.Set.Number != calls {
				return false
			}
		}
		return true
	})
}

// Guards against an evacuation that is acknowledged without a majority, or lost when the partition ends.
func TestEvacuationDuringPartition(t *testing.T) {
	c := newCluster(t, 3)
	former := c.leader()
	c.setIsolated(former, true)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := c.node(former).Propose(ctx, ctrl.Command{Evacuation: &ctrl.Evacuation{Place: "alone"}})
	check.Equal(t, "acknowledged without a majority", err == nil, false)
	check.Equal(t, "in force without a majority", c.node(former).View().IsEvacuated("alone"), false)
	c.evacuate(ctrl.Evacuation{Place: "a"})
	c.setIsolated(former, false)
	c.checkEvacuated("once the partition has ended", "a")
}

// Guards against a node that restarts without control and sends to what was evacuated: its tables let it go on.
func TestNodeKeepsEvacuationOverRestart(t *testing.T) {
	c := newCluster(t, 1)
	addr, keys := serveControl(t, ctrl.ServerConfig{Node: c.node(c.leader())})
	d := fake.NewDisk()
	start := func(from ...netip.AddrPort) *ctrl.Follower {
		pool := wire.NewPool(wire.PoolConfig{Keys: keys})
		t.Cleanup(pool.Close)
		f, err := ctrl.NewFollower(ctrl.FollowerConfig{Node: "n", Role: "entry", Pool: pool, FS: d, Upstreams: func() []netip.AddrPort { return from }})
		check.NoError(t, err)
		return f
	}
	for _, end := range []bool{false, true} {
		f := start(addr)
		c.evacuate(ctrl.Evacuation{Place: "a", End: end})
		check.Eventually(t, "the node knows", func() bool { return f.View().IsEvacuated("a") == !end })
		d.CrashAfter(0)
		f.Close()
		d.Restart(0)
		alone := start()
		check.Equal(t, "evacuated after a restart", alone.View().IsEvacuated("a"), !end)
		check.Equal(t, "control's views replace that", alone.View().Rev, uint64(0))
		alone.Close()
	}
}
