package fence_test

import (
	"fmt"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/fence"
)

var pace = fence.RolloutProgress{Elapsed: time.Second, Allowed: 10 * time.Second}

// Guards against taking too many engines out of service while a new version is rolled out under
// traffic: a pool changes in steps, never more engines at a time than its share, and every engine
// gets the version.
func TestPlanRolloutInSteps(t *testing.T) {
	for _, size := range []int{1, 2, 9, 12, 43} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			workers := make([]fence.Engine, size)
			for i := range workers {
				workers[i] = fence.Engine{ID: fmt.Sprintf("w%02d", i), Version: 1, Target: 2}
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
	var workers []fence.Engine
	for i := range 9 {
		workers = append(workers, fence.Engine{ID: fmt.Sprint(i), Version: 1, Target: 2})
	}
	check.Equal(t, "commands with time left", len(fence.PlanRollout(workers, 0, pace)), 4)
	check.Equal(t, "commands with little time left", len(fence.PlanRollout(workers, 0, fence.RolloutProgress{Elapsed: 5 * time.Second, Allowed: 10 * time.Second})), 9)
	check.Equal(t, "commands without a time limit", len(fence.PlanRollout(workers, 0, fence.RolloutProgress{Elapsed: time.Hour})), 4)
}
