package pass_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"egretshunt/block"
	"egretshunt/board"
	"egretshunt/check"
	"egretshunt/clock"
	"egretshunt/ctrl"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/pass"
	"egretshunt/tally"
)

// BenchmarkServe forwards requests with 10 to 600 endpoints in the list: prompts of which no
// endpoint, few, or all hold a part, beside stores, requests without parts, and prompts while each second endpoint is cold. It shows how an
// entry's processor time per request depends on their number.
func BenchmarkServe(b *testing.B) {
	for _, size := range []int{10, 48, 180, 600} {
		for name, holders := range map[string]int{"none": 0, "few": 3, "all": size} {
			b.Run(fmt.Sprint(size, "/", name), func(b *testing.B) { benchmarkServe(b, benchCase{endpoints: size, holders: holders, prompts: true}) })
		}
		b.Run(fmt.Sprint(size, "/plain"), func(b *testing.B) { benchmarkServe(b, benchCase{endpoints: size}) })
		b.Run(fmt.Sprint(size, "/cold"), func(b *testing.B) {
			benchmarkServe(b, benchCase{endpoints: size, holders: 3, prompts: true, cold: true})
		})
	}
}

// benchCase is a list of endpoints and how many of them hold the part that all prompts share.
type benchCase struct {
	endpoints, holders int
	prompts            bool
	// cold makes each second endpoint cold.
	cold bool
}

// benchStores is the number of stores of the benchmark.
const benchStores = 54

func benchmarkServe(b *testing.B, c benchCase) {
	entry := newBenchEntry(b, c)
	defer entry.Close()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		call := &pass.Call{
			ID: fmt.Sprint("id-", i), Host: "h", Method: http.MethodPost, Path: "/x", Target: "/x", Header: http.Header{}, APIKey: "k",
			Arrived: time.Now(), ClientTimeout: 5 * time.Second,
		}
		if c.prompts {
			call.Model = "m"
			call.Parts = []pass.Part{{ID: "sys", Tokens: 500}, {ID: fmt.Sprint("subject-", i%700), Tokens: 8000}, {ID: fmt.Sprint("own-", i), Tokens: 300}}
		}
		entry.Serve(context.Background(), call, httptest.NewRecorder())
	}
}

func newBenchEntry(b testing.TB, c benchCase) *pass.Entry {
	pools := []board.Pool{{Name: "p", ColdRate: 20, Engine: &board.Engine{Tokens: 90000, TokenBytes: 1000, Bandwidth: 370e9}}}
	places := []string{"a", "b", "c", "d", "e"}
	for i := range benchStores {
		pools = append(pools, board.Pool{Name: fmt.Sprint("s", i), Store: &board.Store{
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 20, 0, byte(i)}), 80), Place: places[i%len(places)], Tokens: 200000, Bandwidth: 83e9, Delay: time.Millisecond, Managed: true,
		}})
	}
	set, err := board.New(board.Draft{
		Number: 1, RequireKeys: true, Accounts: []board.Account{{Name: "a", Keys: []string{"k"}}}, Pools: pools,
		Routes: []board.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: board.Stream, Attempts: 1, Timeout: 10 * time.Second, Goal: time.Second,
			Patience: 2 * time.Second, Split: []board.WeightedPool{{Pool: "p", Weight: 1}}, NamesPromptParts: c.prompts,
		}},
	})
	check.NoError(b, err)
	var endpoints []member.Endpoint
	var work []tally.Amount
	catalog := block.NewCatalog()
	for i := range c.endpoints {
		to := member.Endpoint{
			ID: fmt.Sprintf("i-%08x", i), Pool: "p", Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
			Place: places[i%len(places)], Weights: map[string]uint64{"m": 3},
		}
		endpoints = append(endpoints, to)
		work = append(work, tally.Amount{Name: to.ID + "/0", Value: uint32(i % 7)}, tally.Amount{Name: to.ID + "/m", Value: uint32(i % 11)})
		if i < c.holders {
			catalog.Apply([]block.CatalogChange{{Store: to.Addr, Name: block.PartName(block.Salt(3, ""), "sys"), Tokens: 500}})
		}
	}
	cold := ctrl.Cold{ListedAt: clock.Now() + time.Hour, Turn: limit.Turn{Index: 5, Count: 42}, Until: map[string]time.Duration{}}
	for i, to := range endpoints {
		if c.cold && i%2 == 0 {
			cold.Until[to.ID] = clock.Now() + time.Hour
		}
	}
	where := map[string][]block.Holder{}
	name := block.PartName(block.Salt(3, ""), "sys")
	where[name] = catalog.Holders(name)
	view := &benchView{
		feed: feed{view: &ctrl.View{Set: &ctrl.TableSetDocument{Number: 1}}, list: (&member.List{Endpoints: endpoints}).Index(), where: where},
		work: tally.SnapshotOf(1, work),
	}
	view.cold.Store(&cold)
	return pass.New(pass.Config{
		View: view, Place: "a", KeepsToPlace: true, ColdExcess: 1.5, ColdSlack: 5,
		Backend:      &scriptedBackend{responses: []func(*pass.Send) (*pass.Reply, error){respondWith(200, eventA)}},
		Decode:       func([]byte) (*board.Set, error) { return set, nil },
		RetryLimiter: limit.RetryLimiterConfig{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}, RolloutTimeout: time.Hour,
	})
}

// benchView is a feed whose sums of the other entries don't change.
type benchView struct {
	feed
	work *tally.Snapshot
}

// OtherWork implements pass.View.
func (v *benchView) OtherWork() *tally.Snapshot { return v.work }
