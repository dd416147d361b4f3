package prog

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"egretshunt/drill"
	"egretshunt/fleet"
)

// drill runs a deployment under load and injected faults, and prints what was checked and measured.
func (a *demoArgs) drill(ctx context.Context, shape fleet.Shape, log io.Writer, out io.Writer) error {
	for _, name := range a.Fault {
		if !slices.Contains(drill.FaultNames(), name) {
			return Usage.New("unknown fault %q; want one of %q", name, drill.FaultNames())
		}
	}
	if a.Time == 0 {
		a.Time = defaultDrillTime
	}
	report, err := drill.Run(ctx, drill.Config{Shape: shape, Seed: a.Seed, Time: a.Time, Faults: a.Fault, Pairs: a.Pairs, Log: log})
	if err != nil {
		return Failed.Wrap(err, "run the drill")
	}
	if a.JSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		if err := e.Encode(report); err != nil {
			return Failed.Wrap(err, "print report")
		}
	} else {
		printReport(out, report)
	}
	if report.Broken() {
		return Broken.New("a guarantee was violated")
	}
	return nil
}

func printReport(out io.Writer, r *drill.Report) {
	fmt.Fprintf(out, "drill of %s, seed %d\n\n", r.Shape, r.Seed)
	for _, p := range r.Guarantees {
		fmt.Fprintf(out, "%8d checked %4d violated  %s\n", p.Checks, p.Broken, p.Name)
		for _, c := range p.Cases {
			fmt.Fprintf(out, "                                %s\n", c)
		}
	}
	fmt.Fprintf(out, "\n%d prompts, %d bookings, %d rejected without being run\n", r.Prompts, r.Bookings, r.Refusals)
	fmt.Fprintf(out, "time to first token p50 %.0f ms, p95 %.0f ms; token gap p95 %.0f ms; configuration in force p95 %.0f ms; %d tokens reused, %d computed\n",
		r.FirstTokenP50, r.FirstTokenP95, r.TokenGapP95, r.InForceP95, r.Reused, r.ComputedTokens)
	fmt.Fprintln(out, "\nfaults:")
	for _, name := range slices.Sorted(maps.Keys(r.Faults)) {
		fmt.Fprintf(out, "%8d %s\n", r.Faults[name], name)
	}
}
