package ctrl_test

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"egretshunt/board"
	"egretshunt/check"
	"egretshunt/clock"
	"egretshunt/ctrl"
	"egretshunt/limit"
	"egretshunt/member"
)

// coldPlatform is a platform whose engines restart.
type coldPlatform struct {
	*staticPlatform
	// mu guards the rest. ended holds the addresses at which nothing listens, epoch the number of restarts of each.
	mu     sync.Mutex
	listed []member.Endpoint
	ended  map[netip.AddrPort]bool
	epoch  map[netip.AddrPort]int64
}

// Endpoints implements ctrl.Platform.
func (p *coldPlatform) Endpoints(context.Context) ([]member.Endpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.listed), nil
}

// Changes implements ctrl.Platform.
func (p *coldPlatform) Changes(_ context.Context, at netip.AddrPort, _ int64) (ctrl.Changes, error) {
	time.Sleep(20 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended[at] {
		return ctrl.Changes{}, ctrl.Unreachable.Wrap(syscall.ECONNREFUSED, "call")
	}
	return ctrl.Changes{Epoch: 1 + p.epoch[at]}, nil
}

func (p *coldPlatform) change(f func(p *coldPlatform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p)
}

const coldTime = time.Minute

func startColdFeed(t *testing.T, pools ...board.Pool) (*coldPlatform, *ctrl.Feed) {
	t.Helper()
	p := &coldPlatform{staticPlatform: threeEngines(), ended: map[netip.AddrPort]bool{}, epoch: map[netip.AddrPort]int64{}}
	p.listed = slices.Clone(p.engines)
	return p, startFeedOf(t, p, nil, pools...)
}

// coldIDs returns the endpoints that control says are cold.
func coldIDs(feed *ctrl.Feed) []string {
	var ids []string
	for id, until := range feed.Cold().Until {
		if until > clock.Now() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// TestLeaderKnowsColdEndpoints guards against endpoints that entries take for warm though control could know better: by the list, by a new
// incarnation in it, and by the engine's own connection, which shows a restart before the list does.
func TestLeaderKnowsColdEndpoints(t *testing.T) {
	for name, c := range map[string]struct {
		change func(p *coldPlatform)
		want   []string
	}{
		"the list says so":      {func(p *coldPlatform) { p.listed[1].WarmupLeft = 400 * time.Second }, []string{"e1"}},
		"a new incarnation":     {func(p *coldPlatform) { p.listed[1].Born = 7 }, []string{"e1"}},
		"a new endpoint":        {func(p *coldPlatform) { p.listed[1].ID = "e9" }, []string{"e9"}},
		"its process has ended": {func(p *coldPlatform) { p.ended[p.listed[1].Addr] = true }, []string{"e1"}},
		"its epoch has changed": {func(p *coldPlatform) { p.epoch[p.listed[1].Addr]++ }, []string{"e1"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, feed := startColdFeed(t, board.Pool{Name: "p", ColdRate: 20, ColdTime: coldTime})
			check.Eventually(t, "a list", func() bool { return feed.List() != nil && feed.EngineClock(clock.Now()) == 0 })
			// The engines' first epochs are known.
			time.Sleep(300 * time.Millisecond)
			check.Equal(t, "cold at first", coldIDs(feed), []string(nil))
			p.change(c.change)
			check.Eventually(t, "it is cold", func() bool { return slices.Equal(coldIDs(feed), c.want) })
		})
	}
}

// TestPoolsWithoutBoundHaveNoColdEndpoints guards against a change for deployments that don't ask for a bound.
func TestPoolsWithoutBoundHaveNoColdEndpoints(t *testing.T) {
	p, feed := startColdFeed(t, board.Pool{Name: "p"})
	check.Eventually(t, "a list", func() bool { return feed.List() != nil })
	p.change(func(p *coldPlatform) {
		p.listed[0].WarmupLeft, p.listed[1].Born, p.ended[p.listed[2].Addr] = time.Hour, 7, true
	})
	check.Eventually(t, "the list", func() bool { return feed.List().Find("e1").Born == 7 })
	check.Equal(t, "cold", coldIDs(feed), []string(nil))
}

// TestFormerProcessIsWarmAgain guards against an endpoint that stays bound for a connection that ended while its process goes on.
func TestFormerProcessIsWarmAgain(t *testing.T) {
	p, feed := startColdFeed(t, board.Pool{Name: "p", ColdRate: 20, ColdTime: coldTime})
	check.Eventually(t, "a list", func() bool { return feed.List() != nil })
	// The engines' first epochs are known.
	time.Sleep(300 * time.Millisecond)
	p.change(func(p *coldPlatform) { p.ended[p.listed[1].Addr] = true })
	check.Eventually(t, "it is cold", func() bool { return len(coldIDs(feed)) == 1 })
	p.change(func(p *coldPlatform) { p.ended[p.listed[1].Addr] = false })
	check.Eventually(t, "it isn't cold", func() bool { return len(coldIDs(feed)) == 0 })
}

// TestNewLeaderAssignsNoTurns guards against turns by a leader that doesn't know yet how many entries there are, and against entries that
// don't learn how old the list is.
func TestNewLeaderAssignsNoTurns(t *testing.T) {
	began := clock.Now()
	_, feed := startColdFeed(t, board.Pool{Name: "p", ColdRate: 20, ColdTime: coldTime})
	check.Eventually(t, "a list", func() bool { return feed.Cold().ListedAt > began })
	check.Eventually(t, "a turn", func() bool {
		early := feed.Cold().Turn.Count > 0 && clock.Now()-began < limit.RosterDelay
		check.Equal(t, "a turn before the delay", early, false)
		return feed.Cold().Turn.Count == 1
	})
	check.Equal(t, "age of the list", clock.Now()-feed.Cold().ListedAt < time.Second, true)
	check.Equal(t, "shared time is known", feed.Cold().Turn.Clock != 0, true)
}

// TestNewLeaderTakesNoProcessForTheFormer guards against a leader that first finds an engine ended, and then takes the process that answers for
// the one before: entries would send to it without a bound until the list shows it.
func TestNewLeaderTakesNoProcessForTheFormer(t *testing.T) {
	p := &coldPlatform{staticPlatform: threeEngines(), ended: map[netip.AddrPort]bool{}, epoch: map[netip.AddrPort]int64{}}
	p.listed = slices.Clone(p.engines)
	p.ended[p.listed[1].Addr] = true
	feed := startFeedOf(t, p, nil, board.Pool{Name: "p", ColdRate: 20, ColdTime: coldTime})
	check.Eventually(t, "it is cold", func() bool { return slices.Equal(coldIDs(feed), []string{"e1"}) })
	p.change(func(p *coldPlatform) { p.epoch[p.listed[1].Addr]++; p.ended[p.listed[1].Addr] = false })
	// The engine is asked again twice a second.
	time.Sleep(2 * time.Second)
	check.Equal(t, "cold after another process has answered", coldIDs(feed), []string{"e1"})
}
