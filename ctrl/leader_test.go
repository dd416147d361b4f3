package ctrl_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"egretshunt/block"
	"egretshunt/board"
	"egretshunt/check"
	"egretshunt/clock"
	"egretshunt/ctrl"
	"egretshunt/member"
	"egretshunt/wire"
)

// staticPlatform is a platform with one store and some engines, whose content never changes.
type staticPlatform struct {
	store   netip.AddrPort
	parts   []block.Held
	engines []member.Endpoint
	// silent is the index in engines of the engine that does not respond; negative for none.
	silent atomic.Int64
}

func (sp *staticPlatform) Endpoints(context.Context) ([]member.Endpoint, error) {
	return sp.engines, nil
}

func (sp *staticPlatform) Held(context.Context, *board.Store) (ctrl.StoreContent, error) {
	return ctrl.StoreContent{Epoch: 1, Parts: sp.parts}, nil
}

func (sp *staticPlatform) Changes(ctx context.Context, at netip.AddrPort, since int64) (ctrl.Changes, error) {
	for i, e := range sp.engines {
		if e.Addr == at && int64(i) != sp.silent.Load() {
			time.Sleep(20 * time.Millisecond)
			return ctrl.Changes{Epoch: 1}, nil
		}
	}
	<-ctx.Done()
	return ctrl.Changes{}, ctx.Err()
}

func (sp *staticPlatform) Usage(context.Context, *board.Store) (ctrl.Usage, error) {
	return ctrl.Usage{Tokens: 100, Clock: 5_000_000}, nil
}

func (sp *staticPlatform) Free(context.Context, *board.Store, int64, int64, []string) error {
	return nil
}

func (sp *staticPlatform) LoadWeights(context.Context, *member.Endpoint, ctrl.WeightsCommand) (bool, error) {
	return false, nil
}

func (sp *staticPlatform) Report(context.Context, *member.Endpoint) (ctrl.EngineReport, error) {
	return ctrl.EngineReport{}, nil
}

// startFeed starts a control VM that runs the leader's tasks on the platform, and an entry's feed
// from it. The function reachable stands for FeedConfig.Heard.
func (sp *staticPlatform) startFeed(t *testing.T, reachable func() []string) *ctrl.Feed {
	t.Helper()
	return startFeedOf(t, sp, reachable, board.Pool{Name: "s", Store: &board.Store{Addr: sp.store, Tokens: 1000, Managed: true}})
}

func startFeedOf(t *testing.T, p ctrl.Platform, reachable func() []string, pools ...board.Pool) *ctrl.Feed {
	t.Helper()
	set, err := board.New(board.Draft{Number: 1, Pools: pools})
	check.NoError(t, err)
	c := newCluster(t, 1)
	n := c.node(c.leader())
	hub := ctrl.NewHub(n)
	tasks := ctrl.NewLeaderTasks(ctrl.LeaderTasksConfig{
		Member: func() (*ctrl.Node, *ctrl.Hub) { return n, hub }, Holder: "n", Platform: p,
		Decode: func([]byte) (*board.Set, error) { return set, nil }, ListInterval: 100 * time.Millisecond, RetainTime: time.Minute,
	})
	t.Cleanup(tasks.Close)
	addr, keys := serveControl(t, ctrl.ServerConfig{Node: n, Hub: hub})
	_, err = n.Propose(t.Context(), ctrl.Command{TableSet: &ctrl.TableSetDocument{Number: 1, Body: []byte("{}")}})
	check.NoError(t, err)
	pool := wire.NewPool(wire.PoolConfig{Keys: keys})
	t.Cleanup(pool.Close)
	feed := ctrl.NewFeed(ctrl.FeedConfig{Node: "e", Pool: pool, Heard: reachable, Seeds: func() []netip.AddrPort { return []netip.AddrPort{addr} }})
	t.Cleanup(feed.Close)
	return feed
}

// TestStoreContentUsableAfterRestart guards against cached parts that stay unused after all processes
// have restarted, because the content of stores or the engines' clock only became known with the first
// change.
func TestStoreContentUsableAfterRestart(t *testing.T) {
	sp := &staticPlatform{store: netip.MustParseAddrPort("10.9.9.9:80"), parts: []block.Held{{Name: block.PartName("w1", "a"), Tokens: 100}}}
	feed := sp.startFeed(t, nil)
	check.Eventually(t, "the part and the engines' clock", func() bool {
		return len(feed.Holders(sp.parts[0].Name)) == 1 && feed.EngineClock(clock.Now()) >= 5_000_000
	})
}

// threeEngines returns a platform with three engines that all respond.
func threeEngines() *staticPlatform {
	sp := &staticPlatform{store: netip.MustParseAddrPort("10.9.9.9:80")}
	for i := range 3 {
		sp.engines = append(sp.engines, member.Endpoint{
			ID: fmt.Sprint("e", i), Pool: "p", Addr: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i+1)), Weights: map[string]uint64{"m": 1},
		})
	}
	sp.silent.Store(-1)
	return sp
}

// downIDs lists the endpoints that are marked down in a feed's list.
func downIDs(feed *ctrl.Feed) string {
	l := feed.List()
	if l == nil {
		return "unknown"
	}
	var ids []string
	for _, e := range l.Endpoints {
		if e.Down {
			ids = append(ids, e.ID)
		}
	}
	return strings.Join(ids, ",")
}

// TestUnresponsiveEngineMarkedDown guards against requests sent to an engine that has lost power: it must
// be marked down on entries while it does not respond, and return to use afterwards.
func TestUnresponsiveEngineMarkedDown(t *testing.T) {
	sp := threeEngines()
	feed := sp.startFeed(t, nil)
	check.Eventually(t, "all engines in use", func() bool { return downIDs(feed) == "" })
	sp.silent.Store(1)
	check.Eventually(t, "the unresponsive engine marked down", func() bool { return downIDs(feed) == "e1" })
	sp.silent.Store(-1)
	check.Eventually(t, "in use again", func() bool { return downIDs(feed) == "" })
}

// TestEngineUnreachableFromControlOnly guards against the loss of an engine that responds to entries but
// not to control: an entry's report must return it to use for as long as the report is recent.
func TestEngineUnreachableFromControlOnly(t *testing.T) {
	sp := threeEngines()
	var reachable atomic.Bool
	feed := sp.startFeed(t, func() []string {
		if reachable.Load() {
			return []string{"e1"}
		}
		return nil
	})
	check.Eventually(t, "all engines in use", func() bool { return downIDs(feed) == "" })
	sp.silent.Store(1)
	check.Eventually(t, "marked down", func() bool { return downIDs(feed) == "e1" })
	reachable.Store(true)
	check.Eventually(t, "in use again on an entry's report", func() bool { return downIDs(feed) == "" })
	reachable.Store(false)
	check.Eventually(t, "marked down again once the report has expired", func() bool { return downIDs(feed) == "e1" })
}
