package fence_test

import (
	"fmt"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/fence"
)

func TestGatePassesHighestEpoch(t *testing.T) {
	var g fence.EpochCheck
	check.Kind(t, g.Verify(5), fence.EpochUnconfirmed)
	g.Confirm(4)
	check.NoError(t, g.Verify(5))
	check.Kind(t, g.Verify(4), fence.StaleEpoch)
	g.Confirm(3)
	check.Kind(t, g.Verify(4), fence.StaleEpoch)
	check.NoError(t, g.Verify(5))
}

func TestPlanLimits(t *testing.T) {
	now := time.Unix(1000, 0)
	longAgo := now.Add(-time.Hour)
	newPool := func(n int, version string) ([]fence.TargetVersion, map[string]fence.Report) {
		var needs []fence.TargetVersion
		reports := map[string]fence.Report{}
		for i := range n {
			name := fmt.Sprintf("w%d", i)
			needs = append(needs, fence.TargetVersion{Pool: "p", Endpoint: name, Version: "v2"})
			reports[name] = fence.Report{Endpoint: name, Received: true, At: now, Version: version}
		}
		return needs, reports
	}
	t.Run("two loads at a time", func(t *testing.T) {
		needs, reports := newPool(10, "v1")
		check.Equal(t, "commands", len(fence.PlanLoads(needs, reports, longAgo, now)), 2)
		r := reports["w5"]
		r.Loading = "v2"
		reports["w5"] = r
		check.Equal(t, "commands beside one load", len(fence.PlanLoads(needs, reports, longAgo, now)), 1)
	})
	t.Run("a small pool keeps half its endpoints", func(t *testing.T) {
		needs, reports := newPool(3, "v1")
		check.Equal(t, "commands for three endpoints", len(fence.PlanLoads(needs, reports, longAgo, now)), 1)
		needs, reports = newPool(1, "v1")
		check.Equal(t, "commands for one endpoint", len(fence.PlanLoads(needs, reports, longAgo, now)), 1)
	})
	t.Run("no duplicate load after a change of owner", func(t *testing.T) {
		needs, reports := newPool(10, "v1")
		delete(reports, "w0")
		delete(reports, "w1")
		check.Equal(t, "commands right after the change", len(fence.PlanLoads(needs, reports, now, now)), 0)
		check.Equal(t, "commands after the report timeout", len(fence.PlanLoads(needs, reports, now.Add(-2*fence.ReportTimeout), now)), 2)
	})
	t.Run("no command for a loaded version", func(t *testing.T) {
		needs, reports := newPool(10, "v2")
		check.Equal(t, "commands", len(fence.PlanLoads(needs, reports, longAgo, now)), 0)
	})
}
