package fence

import (
	"slices"
	"time"
)

// Target is a version that became the target of a rollout at a time.
type Target struct {
	Version uint64    `json:"version"`
	At      time.Time `json:"at"`
}

// maxTargets bounds the targets that Targets remembers; further ones are merged, so that no deadline is missed.
const maxTargets = 32

// Targets are the latest target versions of a rollout, in ascending order. Each version has its own deadline: a newer
// one that becomes the target meanwhile doesn't extend it. Targets are immutable.
type Targets []Target

// With returns the targets with a further one. If its version is known, the earlier time counts.
func (t Targets) With(added Target) Targets {
	at, known := slices.BinarySearchFunc(t, added.Version, func(x Target, version uint64) int {
		switch {
		case x.Version < version:
			return -1
		case x.Version > version:
			return 1
		}
		return 0
	})
	next := slices.Clone(t)
	if known {
		if added.At.Before(next[at].At) {
			next[at] = added
		}
		return next
	}
	next = slices.Insert(next, at, added)
	if len(next) > maxTargets {
		// An engine that lacks the oldest target gets the next one in its place, by the deadline of the oldest.
		if next[0].At.Before(next[1].At) {
			next[1].At = next[0].At
		}
		next = next[1:]
	}
	return next
}

// Has reports whether a version is among the targets.
func (t Targets) Has(version uint64) bool {
	return slices.ContainsFunc(t, func(x Target) bool { return x.Version == version })
}

// Latest returns the highest target version; zero if there is none.
func (t Targets) Latest() uint64 {
	if len(t) == 0 {
		return 0
	}
	return t[len(t)-1].Version
}

// Behind returns for how long an engine with the given version has lacked a target.
func (t Targets) Behind(version uint64, now time.Time) time.Duration {
	behind := time.Duration(0)
	for _, x := range t {
		if x.Version > version {
			behind = max(behind, now.Sub(x.At))
		}
	}
	return behind
}

// Required returns the highest version that became the target at the given time or before; zero if there is none.
func (t Targets) Required(by time.Time) uint64 {
	for _, x := range slices.Backward(t) {
		if !x.At.After(by) {
			return x.Version
		}
	}
	return 0
}

// beginMargin is how long before the end of the time allowed for a rollout the last request sent to an engine with
// older weights must have begun.
const beginMargin = 500 * time.Millisecond

// Oldest returns the oldest version on which a request that is sent now may run, if it may wait for so long before it begins and each
// version must be in use within the allowed time; zero means any.
func (t Targets) Oldest(now time.Time, wait, allowed time.Duration) uint64 {
	return t.Required(now.Add(wait + beginMargin - allowed))
}

// Interval returns the time between the latest two targets; false if there are fewer.
func (t Targets) Interval() (interval time.Duration, ok bool) {
	if len(t) < 2 {
		return 0, false
	}
	return t[len(t)-1].At.Sub(t[len(t)-2].At), true
}
