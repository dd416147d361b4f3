package fence

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Engine is the last observed state of an engine that takes commands itself.
type Engine struct {
	ID string
	// Version is the loaded weights version, Target the target version.
	Version, Target uint64
	// Behind is how long ago the first target that it lacks was set.
	Behind time.Duration
	// LastCommand is when the last command was sent to it, by the owner's clock; zero if never.
	LastCommand time.Duration
	// Busy is true while it executes a command.
	Busy bool
	// InFlight is the number of requests in flight; zero if the owner doesn't know.
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
	// usableShare is the share of the allowed time within which all engines are to be changed; the rest
	// is for commands that are lost.
	usableShare = 0.6
	// defaultLoadTime is how long a change is expected to take before any has been observed: the load and the
	// runs that it waits for.
	defaultLoadTime = 1500 * time.Millisecond
	// commandTimeout is how long to wait for a command to take effect before it is sent again.
	commandTimeout = 3 * time.Second
)

// RolloutPace is what bounds the speed of a rollout.
type RolloutPace struct {
	// Allowed is the time after a target was set within which every engine must have loaded it or a newer
	// one; zero means no bound.
	Allowed time.Duration
	// LoadTime is how long recent changes took; zero if that isn't known.
	LoadTime time.Duration
	// Superseded is set when the latest target followed the one before so soon that others may follow: each
	// change then costs an engine its cached parts for little time, so that no more than needed are made.
	Superseded bool
}

// needed returns how many engines must change weights at a time so that all of due, the longest behind first, are
// changed in time; swapping of them do so now.
func (p RolloutPace) needed(due []Engine, swapping int) int {
	if p.Allowed == 0 {
		return 0
	}
	needed, loadTime := 0, cmp.Or(p.LoadTime, defaultLoadTime)
	usable := time.Duration(usableShare * float64(p.Allowed))
	for i, w := range due {
		// Those that change weights now are half done on average.
		changes := float64(i+1) + float64(swapping)/2
		atOnce := swapping + i + 1
		if left := usable - w.Behind; left > 0 {
			atOnce = min(atOnce, int(math.Ceil(changes*float64(loadTime)/float64(left))))
		}
		needed = max(needed, atOnce)
	}
	return needed
}

// PlanRollout returns the IDs of the engines to command to change weights now. Engines that have been behind for
// longest come first: each target has its own deadline. Among them those with the fewest requests in flight
// come first, so that the least work waits for runs to end.
//
// It is meant for new target versions that are set while traffic continues.
func PlanRollout(workers []Engine, now time.Duration, pace RolloutPace) []string {
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
	slices.SortFunc(due, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(b.Behind, a.Behind), cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.ID, b.ID))
	})
	atOnce := max(MinSwapCount, pace.needed(due, swapping))
	if !pace.Superseded {
		atOnce = max(atOnce, int(MaxSwapShare*float64(total)+0.5))
	}
	var ids []string
	for _, w := range due[:max(min(atOnce-swapping, len(due)), 0)] {
		ids = append(ids, w.ID)
	}
	return ids
}
