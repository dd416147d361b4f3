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

// rowModel is a versioned register with compare-and-set: the oracle of the histories.
var rowModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		version, i, o := state.(uint64), in.(input), out.(output)
		switch {
		case i.read || !o.ok:
			// A read and a conflict both tell the version as it is.
			return o.version == version && (i.read || i.base != version), version
		}
		return i.base == version && o.version > version, o.version
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// TestLinearizable lets racing operators change one row through any member while
// leaders are killed and cut off and messages are lost, and checks the history.
// Reads are answered by members that hold a lease.
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
	note := func(client int, i input, call time.Time, o output) {
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
				// An operation that was begun is asked for until it is answered.
				r := c.mustChange(poolChange(fmt.Sprintf("%d-%d", client, n), "row", i.base, i.place))
				o := output{version: r.Rev, ok: r.Code == ""}
				if !o.ok {
					check.Equal(t, "code", r.Code, table.CodeConflict)
					o.version = versionOf(r)
				}
				note(client, i, call, o)
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
						note(10+client, input{read: true}, call, output{version: v, ok: true})
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

// leasedRead reads a row where a lease is held from before the read until after it.
func leasedRead(n *ctrl.Node) (uint64, bool) {
	if n == nil {
		return 0, false
	}
	// What was accepted before the call is applied here: the leader applies before it answers.
	if _, ok := n.Leads(); !ok {
		return 0, false
	}
	t := n.Tables()
	if _, ok := n.Leads(); !ok {
		return 0, false
	}
	if p, ok := t.Pools["row"]; ok {
		return p.Rev, true
	}
	return 0, true
}

// injectFaults kills and cuts members, one or two at a time.
func injectFaults(ctx context.Context, c *cluster) {
	random := rand.New(rand.NewPCG(3, 4))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(100+random.IntN(150)) * time.Millisecond)
		victim := c.members.Voters[random.IntN(3)].ID
		if random.IntN(2) == 0 {
			for _, id := range c.ids() {
				if n := c.node(id); n != nil {
					if _, ok := n.Leads(); ok {
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
	again("plain resend")
	old := c.leader()
	c.kill(old)
	again("after a leader's death")
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
	again("after snapshots and a restart of all")
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
	lead := c.leader()
	c.setIsolated(lead, true)
	c.mustChange(poolChange("c", "c", 0, "here"))
	check.Soon(t, "the cut-off leader steps down", func() bool {
		_, ok := c.node(lead).Leads()
		return !ok
	})
	c.setIsolated(lead, false)
	check.Soon(t, "the healed member has the change", func() bool {
		_, ok := c.node(lead).Tables().Pools["c"]
		return ok
	})
}

// TestCrashAtEveryWrite lets the leader's disk fail at each of its writes in turn.
// Nothing that was acknowledged may be missing afterwards.
func TestCrashAtEveryWrite(t *testing.T) {
	for stop := 0; stop < 24; stop++ {
		t.Run(fmt.Sprint("stop ", stop), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3)
			c.compactSize = 1500
			lead := c.leader()
			c.disks[lead].CrashAfter(stop)
			for i := range 12 {
				c.mustChange(poolChange(fmt.Sprint(i), fmt.Sprint("row", i), 0, "here"))
			}
			if c.node(lead).Err() != nil {
				c.kill(lead)
				c.start(lead)
			}
			for _, id := range c.ids() {
				check.Soon(t, "all changes on every member", func() bool { return len(c.node(id).Tables().Pools) == 12 })
			}
		})
	}
}

func TestFullDiskStepsDown(t *testing.T) {
	c := newCluster(t, 3)
	lead := c.leader()
	c.disks[lead].SetFull(true)
	got := c.mustChange(poolChange("a", "a", 0, "here"))
	check.Equal(t, "accepted by the others", got.Code, "")
	check.Soon(t, "the full member reports it", func() bool { return c.node(lead).Err() != nil })
	if now := c.leader(); now == lead {
		t.Fatal("the full member still leads")
	}
}

// TestClockJumps moves the wall clocks by a year between leaders. Kept answers of
// non-idempotent requests must not expire by it.
func TestClockJumps(t *testing.T) {
	c := newCluster(t, 3)
	claim := ledger.Command{Op: ledger.OpClaim, Claim: ledger.Claim{Key: ledger.Key{Account: "a", Key: "k"}, Print: "p", Nonce: "n"}}
	propose := func(cmd ledger.Command) *ledger.Reply {
		t.Helper()
		var got *ledger.Reply
		check.Soon(t, "an answer", func() bool {
			r, err := c.node(c.leader()).Propose(t.Context(), ctrl.Command{Claim: &cmd})
			got = r.Claim
			return err == nil
		})
		return got
	}
	check.Equal(t, "claim", propose(claim).Code, ledger.Granted)
	fin := claim
	fin.Op, fin.Attempt = ledger.OpFinish, 1
	check.Equal(t, "finish", propose(fin).Code, ledger.Granted)
	for _, jump := range []time.Duration{365 * 24 * time.Hour, -730 * 24 * time.Hour} {
		c.wallOffset = jump
		lead := c.leader()
		c.kill(lead)
		c.leader()
		c.start(lead)
		other := claim
		other.Nonce = jump.String()
		check.Equal(t, "state after a jump", propose(other).Claim.State, ledger.Done)
	}
}

// TestConcurrentProposalsShareSyncs proposes from 500 callers at once. A caller whose leader
// loses the lead asks again, as callers do; every change is accepted exactly once.
func TestConcurrentProposalsShareSyncs(t *testing.T) {
	c := newCluster(t, 3)
	c.leader()
	before := map[quorum.ID]int{}
	for _, id := range c.ids() {
		before[id] = c.disks[id].Ops()
	}
	var refused atomic.Int64
	var work sync.WaitGroup
	for i := range 500 {
		work.Go(func() {
			if r := c.mustChange(poolChange(fmt.Sprint(i), fmt.Sprint("row", i), 0, "here")); r.Code != "" {
				refused.Add(1)
			}
		})
	}
	work.Wait()
	check.Equal(t, "refused", refused.Load(), int64(0))
	taken := int(c.acceptedProposals.Load())
	for _, id := range c.ids() {
		// Each batch costs one write and one sync.
		if ops := c.disks[id].Ops() - before[id]; ops > taken {
			t.Errorf("%d proposals took %d disk operations on %s; they are not grouped", taken, ops, id)
		}
		check.Soon(t, "all changes on every member", func() bool { return len(c.node(id).Tables().Pools) == 500 })
	}
}

// TestNewMemberAnswersAnyLeader brings in a member whose settings name others than the one
// that leads, as seeds do once the group has changed.
func TestNewMemberAnswersAnyLeader(t *testing.T) {
	c := newCluster(t, 3)
	lead := c.leader()
	c.mustChange(poolChange("1", "before", 0, "here"))
	others := quorum.Members{}
	for _, m := range c.members.Voters {
		if m.ID != lead {
			others.Voters = append(others.Voters, m)
		}
	}
	fresh := quorum.Member{ID: "new", Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	c.disks[fresh.ID] = fake.NewDisk()
	c.startWithMembers(fresh.ID, others)
	t.Cleanup(func() { c.kill(fresh.ID) })
	check.Good(t, c.node(lead).AddMember(t.Context(), fresh, ""))
	check.Soon(t, "the new member votes", func() bool { return c.node(lead).Status().Members.Voter(fresh.ID) })
}
