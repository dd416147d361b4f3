// Package fence keeps orders to engines in one hand.
//
// It owns the epoch check that an agent makes for engines which ignore old
// fencing numbers, and the plan by which the epoch's owner spreads weight loads.
// It sends nothing: ctrl plans and sends, agent checks and passes on.
package fence

import (
	"sort"
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("fence")
	// Old reports an order of an epoch that is over.
	Old = namespace.NewType("old")
	// Unsure reports an order that came before control confirmed the epoch.
	Unsure = namespace.NewType("unsure")
)

// Kinds of order.
const (
	LoadVersion = "load"
	SetRole     = "role"
)

// Gate passes orders of the highest epoch only. The zero value is closed.
// It is not safe for concurrent use.
type Gate struct {
	epoch uint64
	sure  bool
}

// Confirm tells the epoch that control says is current. After a restart the
// gate is closed until then, for it has forgotten what it saw before.
func (g *Gate) Confirm(epoch uint64) {
	g.epoch = max(g.epoch, epoch)
	g.sure = true
}

// Pass reports why an order of the given epoch may not reach the engine.
func (g *Gate) Pass(epoch uint64) error {
	if !g.sure {
		return Unsure.New("control has not confirmed the epoch since this agent started")
	}
	if epoch < g.epoch {
		return Old.New("order of epoch %d came after epoch %d", epoch, g.epoch)
	}
	g.epoch = epoch
	return nil
}

// Epoch returns the highest epoch seen.
func (g *Gate) Epoch() uint64 { return g.epoch }

// Report is what an agent last said of its endpoint.
type Report struct {
	Pool, Endpoint string
	// Heard is false while nothing came since the owner's epoch began.
	Heard   bool
	At      time.Time
	Version string
	Loading string
	Down    bool
}

// Need is the version that the table wants on an endpoint.
type Need struct {
	Pool, Endpoint string
	Version        string
}

// Order asks an endpoint to load a version.
type Order struct {
	Pool, Endpoint string
	Version        string
}

// Limits of a plan.
const (
	// MaxLoads is how many weight loads run at once in the whole system.
	MaxLoads = 2
	// Silence is how long an unheard endpoint counts as possibly loading.
	Silence = 5 * time.Second
)

// Plan returns the orders to give now. Since says when the owner's epoch began:
// an endpoint not heard since may still carry out an order of the former owner
// and counts as loading until it is heard or Silence has passed. No pool loses
// more than half of its working endpoints at a time, and none its last one.
func Plan(needs []Need, reports map[string]Report, since, now time.Time) []Order {
	sort.Slice(needs, func(i, j int) bool { return needs[i].Endpoint < needs[j].Endpoint })
	pools := map[string]*strength{}
	loads := 0
	for _, n := range needs {
		p := pools[n.Pool]
		if p == nil {
			p = &strength{}
			pools[n.Pool] = p
		}
		p.size++
		r := reports[n.Endpoint]
		switch {
		case !r.Heard && now.Sub(since) < Silence:
			loads++
		case !r.Heard || r.Down || now.Sub(r.At) > Silence:
		case r.Loading != "":
			loads++
		default:
			p.serving++
		}
	}
	var orders []Order
	for _, n := range needs {
		r := reports[n.Endpoint]
		ready := r.Heard && !r.Down && r.Loading == "" && now.Sub(r.At) <= Silence
		if !ready || r.Version == n.Version || loads >= MaxLoads {
			continue
		}
		p := pools[n.Pool]
		if p.size > 1 && (p.serving-1)*2 < p.size {
			continue
		}
		p.serving--
		loads++
		orders = append(orders, Order(n))
	}
	return orders
}

// strength counts a pool's endpoints.
type strength struct {
	size, serving int
}
