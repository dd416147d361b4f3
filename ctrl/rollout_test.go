package ctrl_test

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"sync"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/member"
	"egretshunt/value"
)

// swapPlatform is a platform with one engine that loads weights at once.
type swapPlatform struct {
	*staticPlatform
	// mu guards the rest.
	mu       sync.Mutex
	version  uint64
	accepted uint64
	// unanswered makes the engine carry out commands only later: they are kept in late.
	unanswered bool
	late       []ctrl.WeightsCommand
	// reported is the version that the engine last reported, listed the one that the list shows; zero for the present one.
	reported, listed uint64
}

func (p *swapPlatform) Endpoints(context.Context) ([]member.Endpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[0]
	e.Weights = maps.Clone(e.Weights)
	e.Weights["m"] = cmp.Or(p.listed, p.version)
	return []member.Endpoint{e}, nil
}

func (p *swapPlatform) LoadWeights(ctx context.Context, _ *member.Endpoint, o ctrl.WeightsCommand) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unanswered {
		p.late = append(p.late, o)
		return false, context.DeadlineExceeded
	}
	return false, p.run(o)
}

// run carries out a command as an engine does. The caller holds mu.
func (p *swapPlatform) run(o ctrl.WeightsCommand) error {
	if expect, known := o.Expect.Get(); known && expect != p.accepted {
		return ctrl.CommandConflict.New("%d commands were accepted, not %d", p.accepted, expect)
	}
	p.accepted++
	p.version = o.Version
	return nil
}

func (p *swapPlatform) Report(context.Context, *member.Endpoint) (ctrl.EngineReport, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reported = p.version
	return ctrl.EngineReport{Weights: map[string]uint64{"m": p.version}, Commands: value.Some(p.accepted)}, nil
}

// waitVersion waits until the engine has a version.
func (p *swapPlatform) waitVersion(t *testing.T, version uint64) {
	t.Helper()
	check.Eventually(t, "the engine's version", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.version == version
	})
}

// startSwaps starts a control VM that brings the engine to the target versions, and a function that sets them.
func startSwaps(t *testing.T) (p *swapPlatform, setTarget func(version uint64)) {
	t.Helper()
	return startSwapsAt(t, 100*time.Millisecond)
}

// startSwapsAt is startSwaps with a list that may lag for so long.
func startSwapsAt(t *testing.T, lag time.Duration) (p *swapPlatform, setTarget func(version uint64)) {
	t.Helper()
	p = &swapPlatform{staticPlatform: threeEngines(), version: 1}
	p.store = netip.AddrPort{}
	c := newCluster(t, 1)
	n := c.node(c.leader())
	hub := ctrl.NewHub(n)
	tasks := ctrl.NewLeaderTasks(ctrl.LeaderTasksConfig{
		Member: func() (*ctrl.Node, *ctrl.Hub) { return n, hub }, Holder: "n", Platform: p, ListInterval: 50 * time.Millisecond, ListLag: lag,
		RolloutTimeout: time.Hour,
	})
	t.Cleanup(tasks.Close)
	return p, func(version uint64) {
		_, err := n.Propose(t.Context(), ctrl.Command{Weights: &ctrl.Weights{Model: "m", Version: version}})
		check.NoError(t, err)
	}
}

// TestLateCommandUndoesNothing guards against a command that is carried out after a newer one, and takes the engine back
// to older weights.
func TestLateCommandUndoesNothing(t *testing.T) {
	p, setTarget := startSwaps(t)
	p.unanswered = true
	setTarget(2)
	check.Eventually(t, "a command without response", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.late) > 0
	})
	p.mu.Lock()
	p.unanswered = false
	p.mu.Unlock()
	setTarget(3)
	p.waitVersion(t, 3)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.late {
		check.Kind(t, p.run(o), ctrl.CommandConflict)
	}
	check.Equal(t, "version", p.version, uint64(3))
}

// TestRevertedEngineIsCommandedAgain guards against an engine that went back to older weights and keeps them, since
// control counts the highest version that it ever reported.
func TestRevertedEngineIsCommandedAgain(t *testing.T) {
	p, setTarget := startSwaps(t)
	setTarget(3)
	check.Eventually(t, "a report of the new version", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.reported == 3
	})
	p.mu.Lock()
	p.version = 2
	p.mu.Unlock()
	p.waitVersion(t, 3)
}

// TestLaggingListCausesNoCommand guards against commands to an engine that has loaded the weights and that the list shows with
// the former ones.
func TestLaggingListCausesNoCommand(t *testing.T) {
	p, setTarget := startSwapsAt(t, time.Hour)
	p.mu.Lock()
	p.listed = 1
	p.mu.Unlock()
	setTarget(2)
	p.waitVersion(t, 2)
	// Some rounds of the rollout, and the time after which a command without effect is sent again.
	time.Sleep(4 * time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	check.Equal(t, "commands accepted", p.accepted, uint64(1))
}

// TestConflictIsFollowedByReport guards against an engine that has accepted a command of another control VM and rejects all
// others, since each expects that it hasn't.
func TestConflictIsFollowedByReport(t *testing.T) {
	p, setTarget := startSwaps(t)
	setTarget(2)
	p.waitVersion(t, 2)
	check.Eventually(t, "a report", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.reported == 2
	})
	p.mu.Lock()
	p.accepted += 3
	p.mu.Unlock()
	setTarget(3)
	p.waitVersion(t, 3)
}
