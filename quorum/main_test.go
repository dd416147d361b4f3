package quorum_test

import (
	"flag"
	"testing"

	"egretshunt/check"
)

func TestMain(m *testing.M) {
	// Rare interleavings need more runs than other fuzzing here.
	if f := flag.Lookup("rapid.checks"); f != nil {
		f.DefValue = "1000"
		_ = f.Value.Set(f.DefValue)
	}
	check.Main(m)
}
