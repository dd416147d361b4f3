// Package check holds the assertions and the fixed seeds that the tests share.
package check

import (
	"flag"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/joomcode/errorx"
)

// T is what an assertion needs of a test.
type T interface {
	Helper()
	Fatalf(format string, args ...any)
}

// Equal fails the test when got differs from want.
func Equal(t T, what string, got, want any) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{}, netip.Addr{})); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", what, diff)
	}
}

// Good fails the test on an error.
func Good(t T, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("unexpected error: %v", err)
	}
}

// Kind fails the test unless err is of the type.
func Kind(t T, err error, want *errorx.Type) {
	t.Helper()
	if !errorx.IsOfType(err, want) {
		t.Fatalf("error %v, want one of type %v", err, want)
	}
}

// Soon waits until ok holds. The bound only ends a test that hangs; no verdict
// hangs on how fast the machine is.
func Soon(t T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("never came about: %s", what)
}

// Main runs a package's tests with fixed seeds; -rapid.seed and -rapid.checks choose others.
func Main(m *testing.M) {
	flag.Parse()
	for name, fixed := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			// A flag that exists takes the value of its own kind.
			_ = flag.Set(name, fixed)
		}
	}
	os.Exit(m.Run())
}
