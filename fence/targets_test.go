package fence_test

import (
	"fmt"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/fence"
)

// noon is the time of the first target.
var noon = time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)

func after(s int) time.Time { return noon.Add(time.Duration(s) * time.Second) }

// targetsEvery returns targets 2, 3 and so on at an interval in seconds.
func targetsEvery(interval, n int) fence.Targets {
	var t fence.Targets
	for i := range n {
		t = t.With(fence.Target{Version: uint64(2 + i), At: after(i * interval)})
	}
	return t
}

// Guards against deadlines that a newer target extends: version 2's is its own.
func TestEachTargetHasItsDeadline(t *testing.T) {
	targets := targetsEvery(4, 4)
	const allowed = 12 * time.Second
	for second, want := range map[int]uint64{11: 0, 12: 2, 15: 2, 16: 3, 24: 5, 60: 5} {
		check.Equal(t, fmt.Sprint("version required after ", second, " s"), targets.Required(after(second).Add(-allowed)), want)
	}
	for version, want := range map[uint64]time.Duration{1: 14 * time.Second, 2: 10 * time.Second, 4: 2 * time.Second, 5: 0, 6: 0} {
		check.Equal(t, fmt.Sprint("time for which version ", version, " is behind"), targets.Behind(version, after(14)), want)
	}
}

func TestManyTargetsKeepTheOldestDeadline(t *testing.T) {
	targets := targetsEvery(1, 200)
	check.Equal(t, "time for which version 1 is behind", targets.Behind(1, after(300)), 300*time.Second)
	check.Equal(t, "latest", targets.Latest(), uint64(201))
	check.Equal(t, "bounded", len(targets) < 50, true)
}

func TestEarlierTimeOfTargetCounts(t *testing.T) {
	targets := fence.Targets{}.With(fence.Target{Version: 2, At: after(5)}).With(fence.Target{Version: 2, At: after(3)}).With(fence.Target{Version: 2, At: after(9)})
	check.Equal(t, "targets", targets, fence.Targets{{Version: 2, At: after(3)}})
}

func ExampleTargets() {
	targets := fence.Targets{}.With(fence.Target{Version: 2, At: noon}).With(fence.Target{Version: 3, At: after(4)})
	// With ten seconds for each, an engine at version 1 must have version 2 by then.
	fmt.Println(targets.Required(after(12).Add(-10*time.Second)), targets.Behind(1, after(12)))
	// Output: 2 12s
}
