package ctrl_test

import (
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
	// reported is the version that the engine last reported.
	reported uint64
}

func (p *swapPlatform) Endpoints(context.Context) ([]member.Endpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[0]
	e.Weights = maps.Clone(e.Weights)
	e.Weights["m"] = p.version
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
	p = &swapPlatform{staticPlatform: threeEngines(), version: 1}
	p.store = netip.AddrPort{}
	c := newCluster(t, 1)
	n := c.node(c.leader())
	hub := ctrl.NewHub(n)
	tasks := ctrl.NewLeaderTasks(ctrl.LeaderTasksConfig{
		Member: func() (*ctrl.Node, *ctrl.Hub) { return n, hub }, Holder: "n", Platform: p, ListInterval: 50 * time.Millisecond, ListLag: 100 * time.Millisecond,
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
