package ctrl

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"egretshunt/block"
	"egretshunt/check"
	"egretshunt/clock"
	"egretshunt/fake"
	"egretshunt/member"
	"egretshunt/tally"
	"egretshunt/wire"
)

// replyFixture is a leader's state and an entry's feed that exchange syncs without a network.
type replyFixture struct {
	hub   *Hub
	state *LeaderState
	feed  *Feed
}

func newReplyFixture(t *testing.T) *replyFixture {
	t.Helper()
	n := startAlone(t, fake.NewDisk())
	t.Cleanup(n.Close)
	h := NewHub(n)
	f := NewFeed(FeedConfig{Node: "entry-0", Seeds: func() []netip.AddrPort { return nil }})
	t.Cleanup(f.Close)
	return &replyFixture{hub: h, state: h.BeginTerm(), feed: f}
}

// sync exchanges one sync of the feed with its own work. damage may change the response.
func (x *replyFixture) sync(t *testing.T, shared bool, own []tally.Amount, damage func(*wire.Synced)) error {
	t.Helper()
	f := x.feed
	req := &wire.Sync{Node: "entry-0", List: f.listRev, Kept: f.catalogRev, Life: f.incarnation, Work: encodeWork(own), Shared: shared}
	req.Edition, req.Names = f.sums.Known()
	report := x.state.recordSync(req, clock.Now())
	reply := &wire.Synced{Life: x.state.Life}
	check.NoError(t, x.state.addUpdates(reply, req, x.hub.node.View(), report))
	if damage != nil {
		damage(reply)
	}
	err := f.install(reply, own)
	if err != nil {
		f.rejectSync(netip.AddrPort{}, reply, err)
	}
	f.confirmed.Store(&confirmedView{f.View(), clock.Now()})
	return err
}

// otherEntry reports the work of another entry.
func (x *replyFixture) otherEntry(tokens uint32) {
	x.state.recordSync(&wire.Sync{Node: "entry-1", Work: encodeWork([]tally.Amount{{Name: "w0/0", Value: tokens}})}, clock.Now())
}

// check compares what the feed holds.
func (x *replyFixture) check(t *testing.T, others uint32, holders int) {
	t.Helper()
	check.Equal(t, "work of the others", x.feed.OtherWork().Value("w0/0"), others)
	check.Equal(t, "holders", len(x.feed.Holders("w1/5c1e07a2")), holders)
	check.Equal(t, "listed", x.feed.List() != nil && x.feed.List().Find("w0") != nil, true)
}

// Entries of the former version read names and JSON, those of this one sums and encoded changes: both
// must hold the same, over several syncs, a damaged response and a change of leader.
func TestBothFormsOfReplies(t *testing.T) {
	engine := netip.MustParseAddrPort("10.0.0.1:80")
	own := []tally.Amount{{Name: "w0/0", Value: 5}}
	for _, shared := range []bool{true, false} {
		t.Run(fmt.Sprint("shared=", shared), func(t *testing.T) {
			x := newReplyFixture(t)
			x.state.SetList([]member.Endpoint{{ID: "w0", Addr: engine}})
			x.otherEntry(7)
			x.state.UpdateCatalog([]block.CatalogChange{{Store: engine, Name: "w1/5c1e07a2", Tokens: 800}})
			check.NoError(t, x.sync(t, shared, own, nil))
			x.check(t, 7, 1)
			x.otherEntry(9)
			x.state.UpdateCatalog([]block.CatalogChange{{Store: engine, Name: "w1/5c1e07a2"}})
			check.NoError(t, x.sync(t, shared, nil, nil))
			x.check(t, 9, 0)
			x.state.UpdateCatalog([]block.CatalogChange{{Store: engine, Name: "w1/5c1e07a2", Tokens: 800}})
			x.state = x.hub.BeginTerm()
			x.state.SetList([]member.Endpoint{{ID: "w0", Addr: engine}})
			x.otherEntry(2)
			check.NoError(t, x.sync(t, shared, own, nil))
			x.check(t, 2, 0)
		})
	}
}

// A response that can't be read must not stay half installed: the next one is a whole.
func TestUnreadableReplyIsRepaired(t *testing.T) {
	engine := netip.MustParseAddrPort("10.0.0.1:80")
	for name, damage := range map[string]func(*wire.Synced){
		"changes cut off":      func(r *wire.Synced) { r.Changes.Records = r.Changes.Records[:1] },
		"changes with a gap":   func(r *wire.Synced) { r.Changes.Store = 5 },
		"an address cut off":   func(r *wire.Synced) { r.Changes.Stores[0] = r.Changes.Stores[0][:2] },
		"sums cut off":         func(r *wire.Synced) { r.Sums.Totals = r.Sums.Totals[:1] },
		"sums of another term": func(r *wire.Synced) { r.Sums.Edition, r.Sums.First = 3, 9 },
		"a list cut off":       func(r *wire.Synced) { r.List = r.List[:4] },
	} {
		t.Run(name, func(t *testing.T) {
			x := newReplyFixture(t)
			x.state.SetList([]member.Endpoint{{ID: "w0", Addr: engine}})
			x.otherEntry(7)
			x.state.UpdateCatalog([]block.CatalogChange{{Store: engine, Name: "w1/5c1e07a2", Tokens: 800}})
			check.Equal(t, "rejected", x.sync(t, true, nil, damage) != nil, true)
			check.NoError(t, x.sync(t, true, nil, nil))
			x.check(t, 7, 1)
		})
	}
}

// What an entry is sent includes its own report, however old the shared encoding is.
func TestSumsIncludeOwnReport(t *testing.T) {
	x := newReplyFixture(t)
	x.otherEntry(7)
	for i := range uint32(20) {
		check.NoError(t, x.sync(t, true, []tally.Amount{{Name: "w0/0", Value: 100 * i}}, nil))
		check.Equal(t, "work of the others", x.feed.OtherWork().Value("w0/0"), uint32(7))
	}
	time.Sleep(2 * sumsInterval)
	x.otherEntry(8)
	check.NoError(t, x.sync(t, true, nil, nil))
	check.Equal(t, "work of the others later", x.feed.OtherWork().Value("w0/0"), uint32(8))
}

// TestListedStoresEndNoSyncs replays the start of a leader's term: it lists 53 stores while the syncs of all entries are
// held. The listings alone must not end them; the loss of a store must.
func TestListedStoresEndNoSyncs(t *testing.T) {
	x := newReplyFixture(t)
	const stores = 53
	indexes := make([]*block.StoreIndex, stores)
	for i := range indexes {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		indexes[i] = block.NewStoreIndex(block.StoreIndexConfig{Store: addr}, 0)
	}
	ended := 0
	follow := func(changes []block.CatalogChange) {
		before := x.state.withdrawn.Load()
		x.state.UpdateCatalog(changes)
		if x.state.withdrawn.Load() != before {
			ended++
		}
	}
	for _, s := range indexes {
		follow(s.ApplyListing(1, []block.Held{{Name: block.PartName("1", "a"), Tokens: 16}}, 0))
	}
	check.Equal(t, "times that listings ended the held syncs", ended, 0)
	follow(indexes[7].MarkUnreachable())
	check.Equal(t, "times after a store was lost", ended, 1)
	follow(indexes[7].ApplyListing(2, nil, 0))
	check.Equal(t, "times after it was listed again, empty", ended, 1)
	follow(indexes[8].ApplyListing(2, []block.Held{{Name: block.PartName("1", "b"), Tokens: 16}}, 0))
	check.Equal(t, "times after another was found to have restarted", ended, 2)
}
