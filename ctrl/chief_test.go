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

// stillOutside is a platform with one store and some engines in which nothing changes.
type stillOutside struct {
	store   netip.AddrPort
	held    []block.Held
	engines []member.Endpoint
	// quiet is the engine that answers nobody, in engines; negative for none.
	quiet atomic.Int64
}

func (o *stillOutside) Endpoints(context.Context) ([]member.Endpoint, error) { return o.engines, nil }

func (o *stillOutside) Held(context.Context, *board.Store) (ctrl.Holding, error) {
	return ctrl.Holding{Epoch: 1, Parts: o.held}, nil
}

func (o *stillOutside) Changes(ctx context.Context, at netip.AddrPort, since int64) (ctrl.Changes, error) {
	for i, e := range o.engines {
		if e.Addr == at && int64(i) != o.quiet.Load() {
			time.Sleep(20 * time.Millisecond)
			return ctrl.Changes{Epoch: 1}, nil
		}
	}
	<-ctx.Done()
	return ctrl.Changes{}, ctx.Err()
}

func (o *stillOutside) Room(context.Context, *board.Store) (ctrl.Room, error) {
	return ctrl.Room{Tokens: 100, Clock: 5_000_000}, nil
}

func (o *stillOutside) Free(context.Context, *board.Store, int64, int64, []string) error { return nil }

func (o *stillOutside) Order(context.Context, *member.Endpoint, ctrl.SwapOrder) (bool, error) {
	return false, nil
}

func (o *stillOutside) Report(context.Context, *member.Endpoint) (ctrl.EngineReport, error) {
	return ctrl.EngineReport{}, nil
}

// follow starts a control VM that looks after a platform, and an entry's feed from it.
func (o *stillOutside) follow(t *testing.T, heard func() []string) *ctrl.Feed {
	t.Helper()
	set, err := board.New(board.Draft{Number: 1, Pools: []board.Pool{{Name: "s", Store: &board.Store{Addr: o.store, Tokens: 1000, Managed: true}}}})
	check.Good(t, err)
	c := newCluster(t, 1)
	n := c.node(c.leader())
	hub := ctrl.NewHub(n)
	chief := ctrl.NewChief(ctrl.ChiefConfig{
		Member: func() (*ctrl.Node, *ctrl.Hub) { return n, hub }, Holder: "n", Outside: o,
		Decode: func([]byte) (*board.Set, error) { return set, nil }, ListTime: 100 * time.Millisecond, Reuse: time.Minute,
	})
	t.Cleanup(chief.Close)
	addr, keys := serveControl(t, ctrl.ServerConfig{Node: n, Hub: hub})
	_, err = n.Propose(t.Context(), ctrl.Command{Adopt: &ctrl.Document{Number: 1, Body: []byte("{}")}})
	check.Good(t, err)
	pool := wire.NewPool(wire.PoolConfig{Keys: keys})
	t.Cleanup(pool.Close)
	feed := ctrl.NewFeed(ctrl.FeedConfig{Node: "e", Pool: pool, Heard: heard, Seeds: func() []netip.AddrPort { return []netip.AddrPort{addr} }})
	t.Cleanup(feed.Close)
	return feed
}

// TestStartKnowsWhatIsKept replays the moment after all processes were started anew: what
// stores hold can be used before anything changes in them.
func TestStartKnowsWhatIsKept(t *testing.T) {
	o := &stillOutside{store: netip.MustParseAddrPort("10.9.9.9:80"), held: []block.Held{{Name: block.PartName("w1", "a"), Tokens: 100}}}
	feed := o.follow(t, nil)
	check.Soon(t, "the part and the engines' clock", func() bool {
		return len(feed.Where(o.held[0].Name)) == 1 && feed.EngineClock(clock.Now()) >= 5_000_000
	})
}

// threeEngines is a platform with three engines that all answer.
func threeEngines() *stillOutside {
	o := &stillOutside{store: netip.MustParseAddrPort("10.9.9.9:80")}
	for i := range 3 {
		o.engines = append(o.engines, member.Endpoint{
			ID: fmt.Sprint("e", i), Pool: "p", Addr: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i+1)), Weights: map[string]uint64{"m": 1},
		})
	}
	o.quiet.Store(-1)
	return o
}

// down names the endpoints that a feed has as down.
func down(feed *ctrl.Feed) string {
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

// TestSilentEngineIsAvoidedByAll replays an engine that loses power and comes back.
func TestSilentEngineIsAvoidedByAll(t *testing.T) {
	o := threeEngines()
	feed := o.follow(t, nil)
	check.Soon(t, "all engines in use", func() bool { return down(feed) == "" })
	o.quiet.Store(1)
	check.Soon(t, "the silent one avoided", func() bool { return down(feed) == "e1" })
	o.quiet.Store(-1)
	check.Soon(t, "back in use", func() bool { return down(feed) == "" })
}

// TestEngineCutOffFromControlAlone replays an engine that answers entries but not control.
func TestEngineCutOffFromControlAlone(t *testing.T) {
	o := threeEngines()
	var seen atomic.Bool
	feed := o.follow(t, func() []string {
		if seen.Load() {
			return []string{"e1"}
		}
		return nil
	})
	check.Soon(t, "all engines in use", func() bool { return down(feed) == "" })
	o.quiet.Store(1)
	check.Soon(t, "believed silent", func() bool { return down(feed) == "e1" })
	seen.Store(true)
	check.Soon(t, "in use again on an entry's report", func() bool { return down(feed) == "" })
	seen.Store(false)
	check.Soon(t, "avoided again once the report is old", func() bool { return down(feed) == "e1" })
}
