package bench_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	"egretshunt/bench"
	"egretshunt/check"
)

var update = flag.Bool("update", false, "regenerate docs/POLICY.md and its plot")

var faults = flag.String("faults", "", "print the table of these faults, comma separated, or all")

// TestDeterministic replays a short trace twice and expects identical rows.
func TestDeterministic(t *testing.T) {
	d := bench.Caroni()
	d.Length /= 10
	f := []bench.Fault{{Name: "two", WorkerDies: true, SlowLink: true}}
	first := bench.Table([]bench.Deployment{d}, f, bench.Policies, 7)
	check.Equal(t, "second run", bench.Table([]bench.Deployment{d}, f, bench.Policies, 7), first)
	for _, r := range first {
		check.Equal(t, r.Policy+" answers all", r.Prompts, first[0].Prompts)
	}
}

// TestPrint prints the table for the faults selected with -faults.
func TestPrint(t *testing.T) {
	if *faults == "" {
		t.Skip("no -faults")
	}
	var chosen []bench.Fault
	for _, f := range bench.Faults() {
		if *faults == "all" || strings.Contains(","+*faults+",", ","+f.Name+",") {
			chosen = append(chosen, f)
		}
	}
	bench.Print(os.Stdout, bench.Table([]bench.Deployment{bench.Caroni(), bench.Barua()}, chosen, bench.Policies, 1))
}

// TestPage runs the whole comparison and expects docs/POLICY.md to hold its results.
func TestPage(t *testing.T) {
	const page, picture = "../docs/POLICY.md", "../docs/policy.svg"
	rows := bench.Table([]bench.Deployment{bench.Caroni(), bench.Barua()}, bench.Faults(), bench.Policies, 1)
	if *update {
		check.NoError(t, os.WriteFile(page, []byte(bench.Page(rows)), 0o644))
		svg, err := bench.Plot(rows, "caroni")
		check.NoError(t, err)
		check.NoError(t, os.WriteFile(picture, svg, 0o644))
	}
	text, err := os.ReadFile(page)
	check.NoError(t, err)
	check.Equal(t, page+"; regenerate it with -update", string(text), bench.Page(rows))
}

// TestWeights compares two objectives on one trace: the one with the larger weight for the
// link must fetch less over it.
func TestWeights(t *testing.T) {
	d := bench.Barua()
	barua := bench.Compare(d, bench.Faults()[0], "weighted", 1)
	d.Weights.Link = 100 * bench.Caroni().Weights.Link
	sparing := bench.Compare(d, bench.Faults()[0], "weighted", 1)
	if sparing.Link >= barua.Link {
		t.Fatalf("with a large link weight %.0f GB were fetched, with a small one %.0f GB", sparing.Link/1e9, barua.Link/1e9)
	}
}
