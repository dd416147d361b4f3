package ctrl

import (
	"time"

	"egretshunt/clock"
	"egretshunt/fence"
)

// ObserveTargets returns the targets by the caller's clock: known, and those of w that it lacks. age returns how long ago a
// target was set.
func (w Weights) ObserveTargets(known fence.Targets, now time.Time, age func(fence.Target) time.Duration) fence.Targets {
	if w.Version == 0 || known.Latest() == w.Version {
		return known
	}
	for _, target := range w.Targets.With(fence.Target{Version: w.Version, At: w.At}) {
		if !known.Has(target.Version) {
			known = known.With(fence.Target{Version: target.Version, At: now.Add(-max(age(target), 0))})
		}
	}
	return known
}

// observeTargets returns the targets of a model by this VM's clock. A target set in an earlier term counts as if at least half of
// the allowed time had passed: the group time doesn't advance while there is no leader.
func (lt *leaderTerm) observeTargets(model string, w Weights) fence.Targets {
	least := time.Duration(0)
	if clock.Now()-lt.began < 2*rolloutInterval {
		least = lt.tasks.config.RolloutTimeout / 2
	}
	groupNow := lt.node.groupNow()
	lt.targets[model] = w.ObserveTargets(lt.targets[model], time.Now(), func(t fence.Target) time.Duration { return max(groupNow.Sub(t.At), least) })
	return lt.targets[model]
}

// pace returns the pace of a rollout of targets.
func (lt *leaderTerm) pace(targets fence.Targets) fence.RolloutPace {
	p := fence.RolloutPace{Allowed: lt.tasks.config.RolloutTimeout, LoadTime: lt.loadTime}
	if interval, ok := targets.Interval(); ok {
		p.Superseded = interval < p.Allowed
	}
	return p
}
