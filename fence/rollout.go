package fence

import (
	"cmp"
	"slices"
	"time"
)

// Engine is the last observed state of an engine that takes commands itself.
type Engine struct {
	ID string
	// Version is the loaded weights version, Target the target version.
	Version, Target uint64
	// LastCommand is when the last command was sent to it, by the owner's clock; zero if never.
	LastCommand time.Duration
	// Busy is true while it executes a command.
	Busy bool
	// InFlight is the number of requests in flight.
	InFlight int
	// Draining engines get no commands.
	Draining bool
}

const (
	// MaxSwapShare is the share of a pool's engines that change weights at the same time while
	// there is time left: the others must carry the traffic, and concurrent loads slow each other
	// down.
	MaxSwapShare = 0.4
	// MinSwapCount is how many engines may do so in a small pool, whatever their share.
	MinSwapCount = 2
	// fullSwapAfterShare is the share of the allowed time after which all remaining engines are
	// changed at the same time.
	fullSwapAfterShare = 0.4
	// commandTimeout is how long to wait for a command to take effect before it is sent again.
	commandTimeout = 3 * time.Second
)

// RolloutProgress is the time that a change of weights has taken and may take.
type RolloutProgress struct {
	// Elapsed is the time since the target version was set, Allowed the time within which every
	// engine must have loaded it.
	Elapsed, Allowed time.Duration
}

// swapShare returns the share of a pool's engines that may change weights at the same time.
func (p RolloutProgress) swapShare() float64 {
	if p.Allowed > 0 && float64(p.Elapsed) > fullSwapAfterShare*float64(p.Allowed) {
		return 1
	}
	return MaxSwapShare
}

// PlanRollout returns the IDs of the engines to command to change weights now. Engines with the
// fewest requests in flight come first, so that the least work waits for runs to end.
//
// It is meant for a new target version that is set while traffic continues.
func PlanRollout(workers []Engine, now time.Duration, pace RolloutProgress) []string {
	total, swapping := 0, 0
	var due []Engine
	for _, w := range workers {
		if w.Draining {
			continue
		}
		total++
		if w.Version >= w.Target {
			continue
		}
		if w.Busy || w.LastCommand > 0 && now-w.LastCommand < commandTimeout {
			swapping++
			continue
		}
		due = append(due, w)
	}
	available := max(MinSwapCount, int(pace.swapShare()*float64(total)+0.5)) - swapping
	slices.SortFunc(due, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.ID, b.ID))
	})
	var ids []string
	for _, w := range due[:max(min(available, len(due)), 0)] {
		ids = append(ids, w.ID)
	}
	return ids
}
