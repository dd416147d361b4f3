package bench

import (
	"fmt"
	"io"
	"time"
)

// Print writes the rows as a Markdown table.
func Print(w io.Writer, rows []Row) {
	fmt.Fprintln(w, "| deployment | fault | policy | TTFT p50 | TTFT p95 | look-up TTFT p95 | small accounts TTFT p95 | token gap p95 | recomputed | fetched GB | written GB |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range rows {
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %s | %.3f | %.0f | %.0f |\n",
			r.Deployment, r.Fault, r.Policy, formatMS(r.P50), formatMS(r.FirstTokenP95), formatMS(r.Urgent), formatMS(r.Small), formatMS(r.Gap), r.RecomputedShare, r.Link/1e9, r.Written/1e9)
	}
}

func formatMS(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }
