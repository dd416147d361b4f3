package ctrl_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/fake"
	"egretshunt/ledger"
	"egretshunt/quorum"
	"egretshunt/table"
)

// input and output of one operation on one row.
type input struct {
	read  bool
	base  uint64
	place string
}

type output struct {
	version uint64
	ok      bool
}

// rowModel is the specification that histories are checked against: a versioned register with
// compare-and-set.
var rowModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		version, i, o := state.(uint64), in.(input), out.(output)
		switch {
		case i.read || !o.ok:
			// A read and a conflict both return the current version.
			return o.version == version && (i.read || i.base != version), version
		}
		return i.base == version && o.version > version, o.version
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// TestLinearizable changes one row from concurrent clients through any member, while members
// are killed and partitioned and messages are lost, and checks that the history is
// linearizable. Reads are served by members that hold a lease.
func TestLinearizable(t *testing.T) {
	c := newCluster(t, 3)
	c.compactSize = 20_000
	c.leader()
	c.setLoss(0.02)
	ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
	defer cancel()
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	record := func(client int, i input, call time.Time, o output) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: i, Call: int64(call.Sub(began)), Output: o, Return: int64(time.Since(began))})
	}
	var work sync.WaitGroup
	for client := range 4 {
		work.Go(func() {
			base := uint64(0)
			for n := 0; ctx.Err() == nil; n++ {
				call := time.Now()
				i := input{base: base, place: fmt.Sprintf("p%d-%d", client, n)}
				// An operation is retried until it returns a result.
				r := c.mustChange(poolChange(fmt.Sprintf("%d-%d", client, n), "row", i.base, i.place))
				o := output{version: r.Rev, ok: r.Code == ""}
				if !o.ok {
					check.Equal(t, "code", r.Code, table.CodeConflict)
					o.version = versionOf(r)
				}
				record(client, i, call, o)
				base = o.version
				time.Sleep(time.Millisecond)
			}
		})
	}
	for client := range 2 {
		work.Go(func() {
			for ctx.Err() == nil {
				for _, id := range c.ids() {
					call := time.Now()
					if v, ok := leasedRead(c.node(id)); ok {
						record(10+client, input{read: true}, call, output{version: v, ok: true})
					}
				}
				time.Sleep(3 * time.Millisecond)
			}
		})
	}
	work.Go(func() { injectFaults(ctx, c) })
	work.Wait()
	c.setLoss(0)
	result, info := porcupine.CheckOperationsVerbose(rowModel, history, 30*time.Second)
	t.Logf("%d operations", len(history))
	if result == porcupine.Illegal {
		path := t.TempDir() + "/history.html"
		_ = porcupine.VisualizePath(rowModel, info, path)
		t.Fatalf("the history is not linearizable")
	}
}

func versionOf(r table.Result) uint64 {
	var p table.Pool
	if len(r.Row) == 0 || decode(r.Row, &p) != nil {
		return 0
	}
	return p.Rev
}

// leasedRead reads the row's version on a member that holds a lease before and after the read.
func leasedRead(n *ctrl.Node) (uint64, bool) {
	if n == nil {
		return 0, false
	}
	// The leader applies a change before it replies, so all acknowledged changes are visible here.
	if _, ok := n.IsLeader(); !ok {
		return 0, false
	}
	t := n.Tables()
	if _, ok := n.IsLeader(); !ok {
		return 0, false
	}
	if p, ok := t.Pools["row"]; ok {
		return p.Rev, true
	}
	return 0, true
}

// injectFaults kills or partitions one member at a time, often the leader.
func injectFaults(ctx context.Context, c *cluster) {
	random := rand.New(rand.NewPCG(3, 4))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(100+random.IntN(150)) * time.Millisecond)
		victim := c.members.Voters[random.IntN(3)].ID
		if random.IntN(2) == 0 {
			for _, id := range c.ids() {
				if n := c.node(id); n != nil {
					if _, ok := n.IsLeader(); ok {
						victim = id
					}
				}
			}
		}
		if random.IntN(2) == 0 {
			c.setIsolated(victim, true)
			time.Sleep(time.Duration(50+random.IntN(250)) * time.Millisecond)
			c.setIsolated(victim, false)
			continue
		}
		if c.node(victim) != nil {
			c.kill(victim)
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
			c.start(victim)
		}
	}
}

func TestResentChangeIsIdempotent(t *testing.T) {
	c := newCluster(t, 3)
	c.compactSize = 2000
	first := c.mustChange(poolChange("one", "row", 0, "here"))
	again := func(what string) {
		t.Helper()
		check.Equal(t, what, c.mustChange(poolChange("one", "row", 0, "here")), first)
	}
	again("resend without a fault")
	old := c.leader()
	c.kill(old)
	again("after the leader was killed")
	c.start(old)
	for i := range 40 {
		c.mustChange(poolChange(fmt.Sprint("fill", i), fmt.Sprint("row", i), 0, "here"))
	}
	for _, id := range c.ids() {
		c.kill(id)
	}
	for _, m := range c.members.Voters {
		c.start(m.ID)
	}
	again("after snapshots and a restart of all members")
}

func TestMajorityLossAndPartition(t *testing.T) {
	c := newCluster(t, 3)
	c.mustChange(poolChange("a", "a", 0, "here"))
	c.kill("c0")
	c.kill("c1")
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	if _, ok := c.change(ctx, poolChange("b", "b", 0, "here")); ok {
		t.Fatal("one of three accepted a change")
	}
	c.start("c0")
	c.mustChange(poolChange("b", "b", 0, "here"))
	c.start("c1")
	leaderID := c.leader()
	c.setIsolated(leaderID, true)
	c.mustChange(poolChange("c", "c", 0, "here"))
	check.Eventually(t, "the partitioned leader steps down", func() bool {
		_, ok := c.node(leaderID).IsLeader()
		return !ok
	})
	c.setIsolated(leaderID, false)
	check.Eventually(t, "the reconnected member has the change", func() bool {
		_, ok := c.node(leaderID).Tables().Pools["c"]
		return ok
	})
}

// TestCrashAtEveryWrite makes the leader's disk fail at each of its first writes in turn.
// No acknowledged change may be missing afterwards.
func TestCrashAtEveryWrite(t *testing.T) {
	for stop := 0; stop < 24; stop++ {
		t.Run(fmt.Sprint("stop ", stop), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3)
			c.compactSize = 1500
			leaderID := c.leader()
			c.disks[leaderID].CrashAfter(stop)
			for i := range 12 {
				c.mustChange(poolChange(fmt.Sprint(i), fmt.Sprint("row", i), 0, "here"))
			}
			if c.node(leaderID).Err() != nil {
				c.kill(leaderID)
				c.start(leaderID)
			}
			for _, id := range c.ids() {
				check.Eventually(t, "all changes on every member", func() bool { return len(c.node(id).Tables().Pools) == 12 })
			}
		})
	}
}

func TestFullDiskStepsDown(t *testing.T) {
	c := newCluster(t, 3)
	leaderID := c.leader()
	c.disks[leaderID].SetDiskFull(true)
	got := c.mustChange(poolChange("a", "a", 0, "here"))
	check.Equal(t, "accepted by the others", got.Code, "")
	check.Eventually(t, "the member with the full disk fails", func() bool { return c.node(leaderID).Err() != nil })
	if now := c.leader(); now == leaderID {
		t.Fatal("the member with the full disk still leads")
	}
}

// TestClockJumps moves the wall clocks forward by one year and back by two between leaders.
// Stored responses of non-idempotent requests must not expire by such a jump.
func TestClockJumps(t *testing.T) {
	c := newCluster(t, 3)
	claim := ledger.Command{Op: ledger.OpClaim, Claim: ledger.Claim{Key: ledger.Key{Account: "a", Key: "k"}, Fingerprint: "p", Nonce: "n"}}
	propose := func(cmd ledger.Command) *ledger.Reply {
		t.Helper()
		var got *ledger.Reply
		check.Eventually(t, "a reply", func() bool {
			r, err := c.node(c.leader()).Propose(t.Context(), ctrl.Command{Claim: &cmd})
			got = r.Claim
			return err == nil
		})
		return got
	}
	check.Equal(t, "claim", propose(claim).Code, ledger.Granted)
	finish := claim
	finish.Op, finish.Attempt = ledger.OpFinish, 1
	check.Equal(t, "finish", propose(finish).Code, ledger.Granted)
	for _, jump := range []time.Duration{365 * 24 * time.Hour, -730 * 24 * time.Hour} {
		c.wallOffset = jump
		leaderID := c.leader()
		c.kill(leaderID)
		c.leader()
		c.start(leaderID)
		other := claim
		other.Nonce = jump.String()
		check.Equal(t, "state after a jump", propose(other).Claim.State, ledger.Done)
	}
}

// TestConcurrentProposalsShareSyncs proposes from 500 callers at once and checks that
// proposals share syncs of the disk. A caller whose leader loses its leadership retries;
// every change is accepted exactly once.
func TestConcurrentProposalsShareSyncs(t *testing.T) {
	c := newCluster(t, 3)
	c.leader()
	before := map[quorum.ID]int{}
	for _, id := range c.ids() {
		before[id] = c.disks[id].WriteOps()
	}
	var rejected atomic.Int64
	var work sync.WaitGroup
	for i := range 500 {
		work.Go(func() {
			if r := c.mustChange(poolChange(fmt.Sprint(i), fmt.Sprint("row", i), 0, "here")); r.Code != "" {
				rejected.Add(1)
			}
		})
	}
	work.Wait()
	check.Equal(t, "rejected", rejected.Load(), int64(0))
	acceptedProposals := int(c.acceptedProposals.Load())
	for _, id := range c.ids() {
		// Each batch costs one write and one sync.
		if ops := c.disks[id].WriteOps() - before[id]; ops > acceptedProposals {
			t.Errorf("%d proposals took %d disk operations on %s; they are not batched", acceptedProposals, ops, id)
		}
		check.Eventually(t, "all changes on every member", func() bool { return len(c.node(id).Tables().Pools) == 500 })
	}
}

// TestNewMemberAnswersAnyLeader adds a member whose settings don't list the leader, as happens
// with seeds once the group has changed. The member must respond to that leader nevertheless.
func TestNewMemberAnswersAnyLeader(t *testing.T) {
	c := newCluster(t, 3)
	leaderID := c.leader()
	c.mustChange(poolChange("1", "before", 0, "here"))
	others := quorum.Members{}
	for _, m := range c.members.Voters {
		if m.ID != leaderID {
			others.Voters = append(others.Voters, m)
		}
	}
	fresh := quorum.Member{ID: "new", Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	c.disks[fresh.ID] = fake.NewDisk()
	c.startWithMembers(fresh.ID, others)
	t.Cleanup(func() { c.kill(fresh.ID) })
	check.NoError(t, c.node(leaderID).AddMember(t.Context(), fresh, ""))
	check.Eventually(t, "the new member votes", func() bool { return c.node(leaderID).Status().Members.HasVoter(fresh.ID) })
}
