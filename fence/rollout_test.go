package fence_test

import (
	"fmt"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/fence"
)

var pace = fence.RolloutPace{Allowed: 10 * time.Second}

// Guards against taking too many engines out of service while a new version is rolled out under
// traffic: a pool changes in steps, never more engines at a time than its share, and every engine
// gets the version.
func TestPlanRolloutInSteps(t *testing.T) {
	for _, size := range []int{1, 2, 9, 12, 43} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			workers := make([]fence.Engine, size)
			for i := range workers {
				workers[i] = fence.Engine{ID: fmt.Sprintf("w%02d", i), Version: 1, Target: 2, Behind: time.Second}
			}
			now := time.Second
			for round := 0; ; round++ {
				due := fence.PlanRollout(workers, now, pace)
				if len(due) == 0 {
					break
				}
				check.Equal(t, "engines out of service at a time", len(due) <= max(fence.MinSwapCount, size/2), true)
				check.Equal(t, "number of rounds", round < 4, true)
				for _, id := range due {
					for i := range workers {
						if workers[i].ID == id {
							workers[i].Version = 2
						}
					}
				}
			}
			for _, w := range workers {
				check.Equal(t, "version", w.Version, uint64(2))
			}
		})
	}
}

func TestPlanRolloutWaitsForCommands(t *testing.T) {
	workers := []fence.Engine{
		{ID: "a", Version: 1, Target: 2, Busy: true, LastCommand: time.Second},
		{ID: "b", Version: 1, Target: 2, LastCommand: 2 * time.Second},
		{ID: "c", Version: 1, Target: 2},
	}
	check.Equal(t, "commands while two loads are in progress", len(fence.PlanRollout(workers, 3*time.Second, pace)), 0)
	check.Equal(t, "the command without effect is sent again", fence.PlanRollout(workers, 6*time.Second, pace), []string{"b"})
}

func TestPlanRolloutPrefersIdleSkipsDraining(t *testing.T) {
	workers := []fence.Engine{
		{ID: "a", Version: 1, Target: 2, InFlight: 9}, {ID: "b", Version: 1, Target: 2, Draining: true},
		{ID: "c", Version: 1, Target: 2, InFlight: 1}, {ID: "d", Version: 1, Target: 2, InFlight: 2}, {ID: "e", Version: 2, Target: 2},
	}
	check.Equal(t, "fewest requests first", fence.PlanRollout(workers, 0, pace), []string{"c", "d"})
}

// Guards against a rollout that overruns its time limit: with loads of more than a second each, a
// pool of nine engines took eleven seconds, where ten were allowed. When little time is left, all
// remaining engines must be changed at the same time.
func TestPlanRolloutMeetsDeadline(t *testing.T) {
	plan := func(behind time.Duration, pace fence.RolloutPace) int {
		var workers []fence.Engine
		for i := range 9 {
			workers = append(workers, fence.Engine{ID: fmt.Sprint(i), Version: 1, Target: 2, Behind: behind})
		}
		return len(fence.PlanRollout(workers, 0, pace))
	}
	check.Equal(t, "commands with time left", plan(time.Second, pace), 4)
	check.Equal(t, "commands with little time left", plan(5*time.Second, pace), 9)
	check.Equal(t, "commands without a time limit", plan(time.Hour, fence.RolloutPace{}), 4)
}

// Guards against engines that never get any of several targets set in quick succession: those that had just got one were
// next again for the following one, by their names.
func TestQuickTargetsReachEachEngine(t *testing.T) {
	const allowed, tick = 12 * time.Second, 150 * time.Millisecond
	for _, interval := range []int{1, 2, 4, 6} {
		for _, loadTime := range []time.Duration{time.Second, 2 * time.Second} {
			t.Run(fmt.Sprintf("every %d s, loads of %v", interval, loadTime), func(t *testing.T) {
				type load struct {
					version uint64
					until   time.Duration
				}
				engines, loads := make([]fence.Engine, 43), map[string]load{}
				for i := range engines {
					engines[i] = fence.Engine{ID: fmt.Sprintf("w%02d", i), Version: 1}
				}
				sent := 0
				var targets fence.Targets
				for now := tick; now < 60*time.Second; now += tick {
					if n := int(now / (time.Duration(interval) * time.Second)); n > len(targets) && len(targets) < 8 {
						targets = targets.With(fence.Target{Version: uint64(2 + len(targets)), At: noon.Add(now)})
					}
					for i := range engines {
						e := &engines[i]
						if l, ok := loads[e.ID]; ok && l.until <= now {
							e.Version, e.Busy = l.version, false
							delete(loads, e.ID)
						}
						e.Target, e.Behind = targets.Latest(), targets.Behind(e.Version, noon.Add(now))
						if e.Behind > allowed {
							t.Fatalf("after %v %s at version %d has lacked a target for %v; targets %v", now, e.ID, e.Version, e.Behind, targets)
						}
					}
					gap, _ := targets.Interval()
					for _, id := range fence.PlanRollout(engines, now, fence.RolloutPace{Allowed: allowed, LoadTime: loadTime, Superseded: len(targets) > 1 && gap < allowed}) {
						for i := range engines {
							if e := &engines[i]; e.ID == id {
								e.Busy, e.LastCommand = true, now
								loads[id] = load{e.Target, now + loadTime}
								sent++
							}
						}
					}
				}
				for _, e := range engines {
					check.Equal(t, "version in the end", e.Version, targets.Latest())
				}
				t.Logf("%d loads of %d targets", sent, len(targets))
			})
		}
	}
}

// Guards against engines that all change weights at once, and lose their cached parts, for a target that is about to be
// superseded: the pace is the least at which each has it in time.
func TestSupersededTargetChangesNoMoreThanNeeded(t *testing.T) {
	engines := make([]fence.Engine, 40)
	for i := range engines {
		engines[i] = fence.Engine{ID: fmt.Sprintf("w%02d", i), Version: 1, Target: 3, Behind: time.Second}
	}
	// 40 changes of one second each in the five seconds that are left of six.
	pace := fence.RolloutPace{Allowed: 10 * time.Second, LoadTime: time.Second, Superseded: true}
	check.Equal(t, "commands while targets follow each other", len(fence.PlanRollout(engines, 0, pace)), 8)
	pace.Superseded = false
	check.Equal(t, "commands for a target of its own", len(fence.PlanRollout(engines, 0, pace)), 16)
}
