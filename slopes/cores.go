package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"egretshunt/block"
	"egretshunt/ctrl"
	"egretshunt/fleet"
	"egretshunt/ledger"
	"egretshunt/route"
	"egretshunt/table"
)

// newTables builds tables with n routes to one pool with the given number of endpoints.
func newTables(n, endpoints int) (*table.State, error) {
	s := table.NewState()
	p := &table.Pool{Name: "p", Place: "north", Kind: table.Model, Model: "m", Version: "v1"}
	for i := range endpoints {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		p.Endpoints = append(p.Endpoints, table.Endpoint{Name: fmt.Sprintf("worker-%d", i), Addr: a})
	}
	d := &table.Delta{Full: true, To: uint64(n + 1), Pools: []*table.Pool{p}}
	p.Rev = 1
	for i := range n {
		d.Routes = append(d.Routes, &table.Route{
			Name: fmt.Sprintf("account-%d-m", i), Account: fmt.Sprintf("account-%d", i), Target: "m", Pools: []string{"p"},
			Class: table.Normal, Weights: table.Weights{First: 1}, Retry: 0.1, Rev: uint64(i + 2),
		})
	}
	t, err := table.Empty().Install(d)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(map[string]any{"tables": t})
	if err != nil {
		return nil, err
	}
	return s, json.Unmarshal(data, s)
}

// Tables measures the memory of the tables, the size of a full snapshot and the time to apply
// one change, by the number of routes.
func Tables(sizes []int, series map[string]Series) error {
	memory := Series{Name: "tables", Variable: "routes", Unit: "bytes of memory per node"}
	change := Series{Name: "apply", Variable: "routes", Unit: "µs to apply one change"}
	snapshot := Series{Name: "whole", Variable: "routes", Unit: "bytes of a complete snapshot as JSON"}
	for _, n := range sizes {
		before := heapBytes()
		s, err := newTables(n, 600)
		if err != nil {
			return err
		}
		memory.Points = append(memory.Points, Point{float64(n), heapBytes() - before})
		data, err := json.Marshal(s.Tables().Since(0))
		if err != nil {
			return err
		}
		snapshot.Points = append(snapshot.Points, Point{float64(n), float64(len(data))})
		began := time.Now()
		const rounds = 20
		for i := range rounds {
			body := json.RawMessage(`{"place":"north","kind":"service","endpoints":[]}`)
			s.Apply(table.Change{ID: fmt.Sprint(i), Table: "pools", Name: fmt.Sprint("x", i), Op: table.Put, Body: body})
		}
		change.Points = append(change.Points, Point{float64(n), float64(time.Since(began).Microseconds()) / rounds})
	}
	series["tables"], series["apply"], series["whole"] = memory, change, snapshot
	return nil
}

// Decisions measures the time of one placement decision by the number of endpoints.
func Decisions(sizes []int, series map[string]Series) error {
	s := Series{Name: "decide", Variable: "endpoints", Unit: "µs per placement decision"}
	for _, n := range sizes {
		state, err := newTables(20_000, n)
		if err != nil {
			return err
		}
		t := state.Tables()
		began := time.Now()
		const rounds = 20_000
		for i := range rounds {
			r, _ := t.Find(fmt.Sprintf("account-%d", i), "m")
			if i == 0 || plan == nil {
				plan = route.Compile(t, r)
			}
			c := plan.Consider(uint64(i)*0x9e3779b97f4a7c15, "", func(int) bool { return true })
			m := route.EndpointEstimate{Queue: 1000, Rate: 25_000, Link: 1e9, Stored: 8000}
			route.Decide(route.Weighted{}, plan, &c, route.Request{HistoryRoot: uint64(i), Tokens: 20_000, TokenBytes: 1e5}, func(int) route.EndpointEstimate { return m }, nil)
		}
		plan = nil
		s.Points = append(s.Points, Point{float64(n), float64(time.Since(began).Nanoseconds()) / rounds / 1000})
	}
	series["decide"] = s
	return nil
}

var plan *route.Plan

// Blocks measures the memory of a store's index and the time to reserve, seal and evict a
// block, by the number of blocks.
func Blocks(sizes []int, series map[string]Series) {
	memory := Series{Name: "blocks", Variable: "blocks", Unit: "bytes of memory for one store's index"}
	reserve := Series{Name: "reserve", Variable: "blocks", Unit: "µs to reserve, seal and evict one block"}
	for _, n := range sizes {
		before := heapBytes()
		index := block.NewIndex(block.Config{Capacity: int64(n)})
		write := func(i int) {
			var name block.Name
			for b := range 8 {
				name[b] = byte(i >> (8 * b))
			}
			now := time.Unix(int64(i), 0)
			if ref, _, err := index.Reserve(accountName(i), name, 1, i%40, now); err == nil && index.Begin(ref) == nil {
				_ = index.Seal(ref, 0, now)
			}
		}
		for i := range n {
			write(i)
		}
		memory.Points = append(memory.Points, Point{float64(n), heapBytes() - before})
		began := time.Now()
		const rounds = 20_000
		for i := range rounds {
			write(n + i)
		}
		reserve.Points = append(reserve.Points, Point{float64(n), float64(time.Since(began).Nanoseconds()) / rounds / 1000})
	}
	series["blocks"], series["reserve"] = memory, reserve
}

func accountName(i int) string { return [...]string{"a", "b", "c", "d", "e", "f", "g", "h"}[i%8] }

// Claims measures the rate and the latency of claims of non-idempotent requests on three
// replicas that sync to disk, by the number of concurrent callers.
func Claims(ctx context.Context, sizes []int, series map[string]Series) error {
	rate := Series{Name: "claims", Variable: "callers", Unit: "claims per second"}
	p50 := Series{Name: "claim50", Variable: "callers", Unit: "ms per claim, p50"}
	p99 := Series{Name: "claim99", Variable: "callers", Unit: "ms per claim, p99"}
	dir, err := os.MkdirTemp("", "egretshunt-claims-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	shape := fleet.Tiny()
	shape.Workers, shape.Helpers, shape.Stores = 1, 1, 1
	f, err := fleet.Start(ctx, shape, dir, nil)
	if err != nil {
		return err
	}
	defer f.Close()
	for _, n := range sizes {
		times, elapsed := runClaims(ctx, f, n)
		slices.Sort(times)
		rate.Points = append(rate.Points, Point{float64(n), float64(len(times)) / elapsed.Seconds()})
		p50.Points = append(p50.Points, Point{float64(n), float64(times[len(times)/2].Microseconds()) / 1000})
		p99.Points = append(p99.Points, Point{float64(n), float64(times[len(times)*99/100].Microseconds()) / 1000})
	}
	series["claims"], series["claim50"], series["claim99"] = rate, p50, p99
	return nil
}

// claimTime is how long claims are sent for each number of callers.
const claimTime = 2 * time.Second

func runClaims(ctx context.Context, f *fleet.Fleet, n int) ([]time.Duration, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	client := f.Proc(f.Entries[1]).ControlClient()
	var mu sync.Mutex
	var times []time.Duration
	began := time.Now()
	var wg sync.WaitGroup
	for caller := range n {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				callTime := time.Now()
				_, err := client.Propose(ctx, ctrl.Command{Claim: &ledger.Command{Op: ledger.OpClaim, Claim: ledger.Claim{
					Key: ledger.Key{Account: "a", Key: fmt.Sprint(n, "-", caller, "-", i)}, Fingerprint: "p", Owner: "e", Nonce: "n",
					Endpoint: "helper-0", Incarnation: "b", Path: "/jobs", At: callTime, Until: callTime.Add(time.Minute),
				}}})
				if err != nil {
					return
				}
				mu.Lock()
				times = append(times, time.Since(callTime))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return times, time.Since(began)
}
