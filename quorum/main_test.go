package quorum_test

import (
	"flag"
	"testing"

	"egretshunt/check"
)

func TestMain(m *testing.M) {
	// Rare interleavings need more runs than the other property tests of this repository.
	if f := flag.Lookup("rapid.checks"); f != nil {
		f.DefValue = "1000"
		_ = f.Value.Set(f.DefValue)
	}
	check.Main(m)
}
