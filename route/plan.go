// Package route decides which endpoint serves a request and which cached prompt parts it reuses.
//
// It owns the choice, a pure function of an immutable plan, the measured state and the request.
// The plan contains only the endpoints that the route permits; among them the choice is the one
// with the earliest and cheapest response by the route's weights. It performs no I/O: entry and
// agent measure and send.
package route

import (
	"hash/fnv"
	"net/netip"
	"slices"

	"egretshunt/table"
)

// Target is one endpoint that a route may use.
type Target struct {
	Pool *table.Pool
	Name string
	Addr netip.AddrPort
	// Rank is the position of the pool in the route's order, from 0.
	Rank int
	hash uint64
}

// Plan is a route joined with its pools. It is immutable.
type Plan struct {
	Route   *table.Route
	Targets []Target
	Stores  []Target
	// Rev is the table revision from which the plan was compiled.
	Rev uint64
}

// Compile joins a route with the pools of the same snapshot. It leaves out drained endpoints and
// pools.
func Compile(t *table.Tables, r *table.Route) *Plan {
	return &Plan{Route: r, Targets: targets(t, r.Pools), Stores: targets(t, r.Stores), Rev: t.Rev}
}

func targets(t *table.Tables, pools []string) []Target {
	var all []Target
	for rank, name := range pools {
		p, ok := t.Pools[name]
		if !ok || p.Drain {
			continue
		}
		for _, e := range p.Endpoints {
			if !e.Drain {
				all = append(all, Target{Pool: p, Name: e.Name, Addr: e.Addr, Rank: rank, hash: hashName(e.Name)})
			}
		}
	}
	return all
}

func hashName(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// rendezvousWeight returns the rendezvous hashing weight of a target for a history's root.
func rendezvousWeight(root, target uint64) uint64 {
	x := root ^ target*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}

// RendezvousStores returns at most n of the stores, in rendezvous order for a history's root. Every
// process that computes it from the same table gets the same order.
func RendezvousStores(stores []Target, root uint64, n int) []Target {
	sorted := slices.Clone(stores)
	slices.SortFunc(sorted, func(a, b Target) int {
		wa, wb := rendezvousWeight(root, a.hash), rendezvousWeight(root, b.hash)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return 0
	})
	return sorted[:min(n, len(sorted))]
}

// MaxConsidered is how many targets are measured and scored for one request. Larger pools are
// first reduced by rendezvous weight, so that the cost of a decision hardly grows with the size of
// the pool.
const MaxConsidered = 16

// Considered is the list of targets to measure for one request.
type Considered struct {
	index [MaxConsidered]int
	count int
	// top is the index of the target with the highest rendezvous weight.
	top int
}

// Indexes returns the positions of the considered targets in the plan.
func (c *Considered) Indexes() []int { return c.index[:c.count] }

// Top returns the position of the target with the highest rendezvous weight.
func (c *Considered) Top() int { return c.top }

// Consider selects the targets to measure: all of a small pool; of a larger one those with the
// highest rendezvous weights, always including the target named lastEndpoint if it is usable. root is
// the hash of the start of the request's prompt history.
func (p *Plan) Consider(root uint64, lastEndpoint string, usable func(i int) bool) Considered {
	c := Considered{top: -1}
	var weights [MaxConsidered]uint64
	highestWeight := uint64(0)
	for i := range p.Targets {
		if !usable(i) {
			continue
		}
		w := rendezvousWeight(root, p.Targets[i].hash)
		// Targets of an earlier pool come before those of a later one, whatever their weights.
		w = w>>4 | uint64(15-min(p.Targets[i].Rank, 15))<<60
		if c.top < 0 || w > highestWeight {
			highestWeight, c.top = w, i
		}
		if p.Targets[i].Name == lastEndpoint {
			w = ^uint64(0)
		}
		c.insert(&weights, w, i)
	}
	return c
}

// insert keeps the targets with the highest weights, in descending order.
func (c *Considered) insert(weights *[MaxConsidered]uint64, w uint64, i int) {
	if c.count == MaxConsidered && w <= weights[c.count-1] {
		return
	}
	if c.count < MaxConsidered {
		c.count++
	}
	position := c.count - 1
	for position > 0 && weights[position-1] < w {
		weights[position], c.index[position] = weights[position-1], c.index[position-1]
		position--
	}
	weights[position], c.index[position] = w, i
}
