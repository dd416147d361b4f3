package fence_test

import (
	"fmt"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/fence"
)

var pace = fence.Pace{Elapsed: time.Second, Allowed: 10 * time.Second}

// New weights are named while traffic goes on: a pool is brought to them in steps, none
// with more engines away than its share, and every engine gets them.
func TestPlanSwapInSteps(t *testing.T) {
	for _, size := range []int{1, 2, 9, 12, 43} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			workers := make([]fence.Worker, size)
			for i := range workers {
				workers[i] = fence.Worker{ID: fmt.Sprintf("w%02d", i), Version: 1, Want: 2}
			}
			now := time.Second
			for round := 0; ; round++ {
				due := fence.PlanSwap(workers, now, pace)
				if len(due) == 0 {
					break
				}
				check.Equal(t, "away at once", len(due) <= max(fence.MinSwapCount, size/2), true)
				check.Equal(t, "rounds", round < 4, true)
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

func TestPlanSwapWaitsForCommands(t *testing.T) {
	workers := []fence.Worker{
		{ID: "a", Version: 1, Want: 2, Busy: true, Ordered: time.Second},
		{ID: "b", Version: 1, Want: 2, Ordered: 2 * time.Second},
		{ID: "c", Version: 1, Want: 2},
	}
	check.Equal(t, "two are under way", len(fence.PlanSwap(workers, 3*time.Second, pace)), 0)
	check.Equal(t, "the one without effect is given again", fence.PlanSwap(workers, 6*time.Second, pace), []string{"b"})
}

func TestPlanSwapPrefersIdleSkipsDraining(t *testing.T) {
	workers := []fence.Worker{
		{ID: "a", Version: 1, Want: 2, Load: 9}, {ID: "b", Version: 1, Want: 2, Leaving: true},
		{ID: "c", Version: 1, Want: 2, Load: 1}, {ID: "d", Version: 1, Want: 2, Load: 2}, {ID: "e", Version: 2, Want: 2},
	}
	check.Equal(t, "idlest first", fence.PlanSwap(workers, 0, pace), []string{"c", "d"})
}

// Orders that took a second and more each brought a pool of nine to its weights only after
// eleven seconds of the ten allowed: what is left must be changed at once in time.
func TestPlanSwapMeetsDeadline(t *testing.T) {
	var workers []fence.Worker
	for i := range 9 {
		workers = append(workers, fence.Worker{ID: fmt.Sprint(i), Version: 1, Want: 2})
	}
	check.Equal(t, "with time", len(fence.PlanSwap(workers, 0, pace)), 4)
	check.Equal(t, "without", len(fence.PlanSwap(workers, 0, fence.Pace{Elapsed: 5 * time.Second, Allowed: 10 * time.Second})), 9)
	check.Equal(t, "no time named", len(fence.PlanSwap(workers, 0, fence.Pace{Elapsed: time.Hour})), 4)
}
