package ctrl

import (
	"time"

	"egretshunt/clock"
	"egretshunt/fence"
	"egretshunt/wire"
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

// targetClock dates targets of weights at an entry.
type targetClock struct {
	// ahead is the offset of the group time from clock.Now, or more; since is the group time from when on it has run without a pause.
	ahead time.Duration
	since time.Time
}

// newTargetClock returns the clock by a response of the leader that was written when this process's clock showed current, or later; nil if it
// doesn't give the group time.
func newTargetClock(reply *wire.Synced, current time.Duration) *targetClock {
	us := reply.GetGroupUs()
	if us == 0 {
		return nil
	}
	return &targetClock{time.Duration(us)*time.Microsecond - current, decodeTime(reply.GetSinceUs())}
}

// age returns for how long a version has been the target when clock.Now returns now; see Feed.TargetAge.
func (c *targetClock) age(at time.Time, paused, now time.Duration) time.Duration {
	if c == nil || at.IsZero() {
		return time.Hour
	}
	groupNow := time.Unix(0, int64(c.ahead+now))
	if at.Before(c.since) {
		return max(groupNow.Sub(c.since), 0) + max(c.since.Sub(at), paused)
	}
	return max(groupNow.Sub(at), 0)
}

// TargetAge returns for how long a version has been the target that became it at the given group time, or for a little longer. If the
// group time has stood still since, for an unknown time, it is assumed that the age was paused by then, or more. The age is an
// hour if it isn't known.
func (f *Feed) TargetAge(at time.Time, paused time.Duration) time.Duration {
	return f.targetClock.Load().age(at, paused, clock.Now())
}

// observeTargets returns the targets of a model by this VM's clock. A target set in an earlier term counts as if at least half of
// the allowed time had passed: the group time may have stood still before.
func (lt *leaderTerm) observeTargets(model string, w Weights) fence.Targets {
	least := time.Duration(0)
	if clock.Now()-lt.began < 2*rolloutInterval {
		least = lt.tasks.config.RolloutTimeout / 2
	}
	groupNow := lt.node.groupNow()
	lt.targets[model] = w.ObserveTargets(lt.targets[model], clock.Time(), func(t fence.Target) time.Duration { return max(groupNow.Sub(t.At), least) })
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
