package slopes_test

import (
	"context"
	"flag"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/slopes"
)

var measure = flag.Bool("measure", false, "measure everything again and write docs/capacity.json and the page")

func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("no -measure")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 9*time.Minute)
	defer cancel()
	got := map[string]slopes.Slope{}
	check.Good(t, slopes.Nodes(ctx, []int{10, 100, 370}, got))
	check.Good(t, slopes.Tables([]int{1000, 5000, 20_000}, got))
	check.Good(t, slopes.Decisions([]int{10, 100, 600}, got))
	slopes.Blocks([]int{10_000, 100_000, 1_000_000}, got)
	check.Good(t, slopes.Claims(ctx, []int{1, 16, 128}, got))
	for name, s := range got {
		t.Logf("%s: %+v", name, s)
	}
}
