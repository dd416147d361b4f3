package route_test

import (
	"fmt"
	"net/netip"
	"testing"

	"egretshunt/bench"
	"egretshunt/check"
	"egretshunt/route"
	"egretshunt/table"
)

func newPlan(n int) *route.Plan {
	p := &table.Pool{Name: "p", Kind: table.Model}
	for i := range n {
		p.Endpoints = append(p.Endpoints, table.Endpoint{Name: fmt.Sprintf("w%d", i), Addr: netip.MustParseAddrPort("127.0.0.1:1"), Drain: i == 1})
	}
	t := table.Empty()
	t.Pools["p"] = p
	return route.Compile(t, &table.Route{Name: "r", Pools: []string{"p", "missing"}})
}

func allUsable(int) bool { return true }

func TestConsider(t *testing.T) {
	p := newPlan(200)
	check.Equal(t, "targets without the drained endpoint", len(p.Targets), 199)
	c := p.Consider(42, "w7", allUsable)
	check.Equal(t, "considered", len(c.Indexes()), route.MaxConsidered)
	check.Equal(t, "last endpoint comes first", p.Targets[c.Indexes()[0]].Name, "w7")
	t.Run("the rendezvous target does not depend on the last endpoint", func(t *testing.T) {
		again := p.Consider(42, "", allUsable)
		check.Equal(t, "top", again.Top(), c.Top())
	})
	t.Run("losing an endpoint moves only its own histories", func(t *testing.T) {
		moved := 0
		for root := range uint64(1000) {
			complete := p.Consider(root, "", allUsable)
			before := complete.Top()
			after := p.Consider(root, "", func(i int) bool { return i != 5 })
			if before != after.Top() {
				moved++
				check.Equal(t, "rendezvous target before", before, 5)
			}
		}
		if moved == 0 || moved > 40 {
			t.Fatalf("%d of 1000 histories moved, want 1 to 40", moved)
		}
	})
}

func TestBest(t *testing.T) {
	q := route.Request{Tokens: 10_000, TokenBytes: 1e5}
	m := route.EndpointEstimate{Rate: 10_000, Link: 5e9, Cached: 2000, Stored: 9000}
	w := table.Weights{First: 1}
	for _, tc := range []struct {
		name   string
		change func(*route.EndpointEstimate)
		fetch  bool
	}{
		{"a fast link is used", func(*route.EndpointEstimate) {}, true},
		{"a slow link is not used", func(m *route.EndpointEstimate) { m.Link = 1e6 }, false},
		{"a link with a long backlog is not used", func(m *route.EndpointEstimate) { m.Backlog = 1e11 }, false},
		{"nothing stored", func(m *route.EndpointEstimate) { m.Stored = 0 }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := m
			tc.change(&m)
			s := route.BestSplit(w, q, m)
			check.Equal(t, "fetches", s.Fetched > 0, tc.fetch)
			check.Equal(t, "sum of the parts", s.Reused+s.Fetched+s.Computed, q.Tokens)
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 100, 600} {
		b.Run(fmt.Sprint(n, " endpoints"), func(b *testing.B) {
			p := newPlan(n)
			m := route.EndpointEstimate{Queue: 1000, Rate: 25_000, Link: 1e9, Stored: 8000}
			state := func(int) route.EndpointEstimate { return m }
			b.ReportAllocs()
			root := uint64(0)
			for b.Loop() {
				root += 0x9e3779b97f4a7c15
				c := p.Consider(root, "", allUsable)
				route.Decide(route.Weighted{}, p, &c, route.Request{HistoryRoot: root, Tokens: 20_000, TokenBytes: 1e5}, state, nil)
			}
		})
	}
}

// BenchmarkPolicy reports each policy's results without faults; docs/POLICY.md has those with
// faults.
func BenchmarkPolicy(b *testing.B) {
	for _, d := range []bench.Deployment{bench.Caroni(), bench.Barua()} {
		for _, policy := range bench.Policies {
			b.Run(d.Name+" "+policy, func(b *testing.B) {
				var r bench.Row
				for b.Loop() {
					r = bench.Compare(d, bench.Faults()[0], policy, 1)
				}
				b.ReportMetric(float64(r.FirstTokenP95.Milliseconds()), "first95-ms")
				b.ReportMetric(r.RecomputedShare, "recomputed")
				b.ReportMetric(r.Link/1e9, "link-GB")
			})
		}
	}
}
