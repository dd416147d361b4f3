package fence

import (
	"cmp"
	"slices"
	"time"
)

// Worker is one engine that takes orders itself, as far as its owner knows.
type Worker struct {
	ID string
	// Version is the weights it has, Want those it should have.
	Version, Want uint64
	// Ordered is when it was last given an order, by the owner's clock; zero when never.
	Ordered time.Duration
	// Busy is set while it carries an order out.
	Busy bool
	// Load is how many requests it runs.
	Load int
	// Leaving workers get no order.
	Leaving bool
}

const (
	// SwapShare is the share of a pool's engines that change weights at once while there is time:
	// the rest must carry the traffic, and loads slow each other down.
	SwapShare = 0.4
	// SwapLeast is how many may do so in a small pool.
	SwapLeast = 2
	// hurryShare is the part of the time allowed after which all that is left is changed at once.
	hurryShare = 0.4
	// orderPatience is how long an order without effect is waited for before it is given again.
	orderPatience = 3 * time.Second
)

// Pace is the time that a change of weights may take.
type Pace struct {
	// Elapsed is the time since the version was named, Allowed the time in which every engine must have it.
	Elapsed, Allowed time.Duration
}

// share returns the part of a pool's engines that may change weights at once.
func (p Pace) share() float64 {
	if p.Allowed > 0 && float64(p.Elapsed) > hurryShare*float64(p.Allowed) {
		return 1
	}
	return SwapShare
}

// PlanSwap chooses which engines are to be ordered to change their weights now. Idle ones
// come first, so that the least work waits for runs to end.
//
// It answers the pattern of new weights that are named while traffic goes on.
func PlanSwap(workers []Worker, now time.Duration, pace Pace) []string {
	total, under := 0, 0
	var due []Worker
	for _, w := range workers {
		if w.Leaving {
			continue
		}
		total++
		if w.Version >= w.Want {
			continue
		}
		if w.Busy || w.Ordered > 0 && now-w.Ordered < orderPatience {
			under++
			continue
		}
		due = append(due, w)
	}
	room := max(SwapLeast, int(pace.share()*float64(total)+0.5)) - under
	slices.SortFunc(due, func(a, b Worker) int {
		return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.ID, b.ID))
	})
	var ids []string
	for _, w := range due[:max(min(room, len(due)), 0)] {
		ids = append(ids, w.ID)
	}
	return ids
}
