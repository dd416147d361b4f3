// Package check provides the assertions and the fixed random seed that the tests share.
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

// T is the part of testing.TB that the assertions use.
type T interface {
	Helper()
	Fatalf(format string, args ...any)
}

// Equal fails the test if got differs from want.
func Equal(t T, desc string, got, want any) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{}, netip.Addr{})); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", desc, diff)
	}
}

// NoError fails the test if err is not nil.
func NoError(t T, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("unexpected error: %v", err)
	}
}

// Kind fails the test unless err is of type want.
func Kind(t T, err error, want *errorx.Type) {
	t.Helper()
	if !errorx.IsOfType(err, want) {
		t.Fatalf("error %v, want one of type %v", err, want)
	}
}

// Eventually polls condition until it returns true, and fails the test after 60 seconds. The
// timeout only ends tests that hang; it is long so that results don't depend on the speed of the
// machine.
func Eventually(t T, desc string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within 60 s: %s", desc)
}

// Main runs a package's tests with a fixed random seed and without fail files, unless the flags
// -rapid.seed and -rapid.nofailfile are set. -rapid.checks sets the number of generated cases.
func Main(m *testing.M) {
	flag.Parse()
	for name, fixed := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			// Set can't fail: the flag exists and the value has its type.
			_ = flag.Set(name, fixed)
		}
	}
	os.Exit(m.Run())
}
