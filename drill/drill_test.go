package drill_test

import (
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/drill"
	"egretshunt/fleet"
)

func TestMain(m *testing.M) { check.Main(m) }

// TestDrill runs a short drill with every fault, at times two at once. It fails only on
// broken guarantees, never on how much was done in the time.
func TestDrill(t *testing.T) {
	for seed := range uint64(2) {
		report, err := drill.Run(t.Context(), drill.Config{Shape: fleet.Tiny(), Seed: seed, Time: 9 * time.Second, Pairs: true, Callers: 8})
		check.NoError(t, err)
		for _, p := range report.Guarantees {
			if p.Broken > 0 {
				t.Errorf("seed %d: %s: broken %d of %d times: %q", seed, p.Name, p.Broken, p.Checks, p.Cases)
			}
		}
		t.Logf("%+v", *report)
	}
}
