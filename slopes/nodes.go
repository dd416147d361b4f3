package slopes

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"syscall"
	"time"

	"egretshunt/ctrl"
	"egretshunt/fleet"
	"egretshunt/table"
	"egretshunt/wire"
)

// nodeGroup is a control group of real processes with many lightweight simulated nodes, each of
// which follows the tables over its own connections.
type nodeGroup struct {
	fleet   *fleet.Fleet
	pools   []*wire.Pool
	follows []*ctrl.Follower
}

// demoSecret is the secret of the demo deployments.
const demoSecret = "demo secret of the wire, no secret at all"

func startNodes(ctx context.Context, n int) (*nodeGroup, error) {
	dir, err := os.MkdirTemp("", "egretshunt-slopes-")
	if err != nil {
		return nil, err
	}
	shape := fleet.Tiny()
	shape.Workers, shape.Helpers, shape.Stores = 1, 1, 1
	f, err := fleet.Start(ctx, shape, dir, nil)
	if err != nil {
		return nil, err
	}
	g := &nodeGroup{fleet: f}
	keys, err := wire.NewKeys(demoSecret)
	if err != nil {
		return nil, err
	}
	control := f.Settings(f.Entries[0]).Control
	for i := range n {
		pool := wire.NewPool(wire.PoolConfig{Keys: keys})
		upstreams := slices.Clone(control)
		upstreams = append(upstreams[i%3:], upstreams[:i%3]...)
		follow, err := ctrl.NewFollower(ctrl.FollowerConfig{
			Node: fmt.Sprintf("stand-in-%d", i), Role: "entry", Place: "north", Pool: pool,
			Upstreams: func() []netip.AddrPort { return upstreams },
		})
		if err != nil {
			return nil, err
		}
		g.pools, g.follows = append(g.pools, pool), append(g.follows, follow)
	}
	return g, g.awaitRevision(ctx, g.follows[0].Rev())
}

// awaitRevision waits until all simulated nodes have reached a revision and are fresh.
func (g *nodeGroup) awaitRevision(ctx context.Context, rev uint64) error {
	for _, f := range g.follows {
		for f.Rev() < max(rev, 1) || !f.Fresh() {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

func (g *nodeGroup) close() {
	for i := range g.follows {
		g.follows[i].Close()
		g.pools[i].Close()
	}
	g.fleet.Close()
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	// Getrusage does not fail for the calling process.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// idleTime is how long the nodes are measured without configuration changes.
const idleTime = 4 * time.Second

// timeChange makes one change and returns the time until it was in force everywhere.
func (g *nodeGroup) timeChange(ctx context.Context, i int) (time.Duration, error) {
	row := &table.Pool{Name: fmt.Sprint("slope-", i), Place: "north", Kind: table.Service, Endpoints: []table.Endpoint{}}
	began := time.Now()
	rev, err := g.fleet.Put(ctx, "pools", row.Name, 0, row)
	if err != nil {
		return 0, err
	}
	if err := g.fleet.AwaitRevision(ctx, rev); err != nil {
		return 0, err
	}
	return time.Since(began), g.awaitRevision(ctx, rev)
}

// Nodes measures the cost of following the tables by the number of nodes. Processor time and
// memory include both ends of the connections, which are in this process.
func Nodes(ctx context.Context, sizes []int, series map[string]Series) error {
	seriesFor := func(name, unit string) Series {
		s, ok := series[name]
		if !ok {
			s = Series{Name: name, Variable: "nodes", Unit: unit}
		}
		return s
	}
	for _, n := range sizes {
		before := heapBytes()
		g, err := startNodes(ctx, n)
		if err != nil {
			return err
		}
		figures, err := g.measure(ctx, n)
		if err != nil {
			g.close()
			return err
		}
		figures["memory"] = heapBytes() - before
		for name, unit := range map[string]string{
			"memory": "bytes in total", "cpu": "cores in total", "bytes": "bytes per second and node",
			"change": "bytes per change and node", "force": "ms until a change is in force, p50", "slowest": "ms until a change is in force, slowest of 20",
			"burst": "ms until a burst of 50 changes is in force",
		} {
			s := seriesFor(name, unit)
			s.Points = append(s.Points, Point{float64(n), figures[name]})
			series[name] = s
		}
		g.close()
	}
	return nil
}

func (g *nodeGroup) measure(ctx context.Context, n int) (map[string]float64, error) {
	figures := map[string]float64{}
	traffic := func() float64 {
		sum := uint64(0)
		for _, f := range g.follows {
			received, sent, _, _ := f.Traffic()
			sum += received + sent
		}
		return float64(sum) / float64(n)
	}
	time.Sleep(time.Second)
	bytes, used, began := traffic(), processorTime(), time.Now()
	time.Sleep(idleTime)
	elapsed := time.Since(began).Seconds()
	figures["bytes"] = (traffic() - bytes) / elapsed
	figures["cpu"] = (processorTime() - used).Seconds() / elapsed
	var times []time.Duration
	bytes = traffic()
	for i := range 20 {
		took, err := g.timeChange(ctx, i)
		if err != nil {
			return nil, err
		}
		times = append(times, took)
	}
	figures["change"] = (traffic() - bytes) / 20
	slices.Sort(times)
	figures["force"] = float64(times[10].Microseconds()) / 1000
	figures["slowest"] = float64(times[19].Microseconds()) / 1000
	began = time.Now()
	last := uint64(0)
	for i := range 50 {
		row := &table.Pool{Name: fmt.Sprint("burst-", i), Place: "north", Kind: table.Service, Endpoints: []table.Endpoint{}}
		rev, err := g.fleet.Put(ctx, "pools", row.Name, 0, row)
		if err != nil {
			return nil, err
		}
		last = rev
	}
	if err := g.fleet.AwaitRevision(ctx, last); err != nil {
		return nil, err
	}
	figures["burst"] = float64(time.Since(began).Milliseconds())
	return figures, nil
}
