package bench_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	"egretshunt/bench"
	"egretshunt/check"
)

var faults = flag.String("faults", "", "print the table of these faults, comma separated, or all")

// TestDeterministic runs a short trace twice; the rows must agree to the digit.
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

// TestPrint prints the table for whoever asks with -faults.
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
