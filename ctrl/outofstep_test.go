package ctrl_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/origin"
)

// gate forwards connections to an address, and holds up what they carry while it is closed.
type gate struct {
	addr netip.AddrPort
	mu   sync.RWMutex
}

// startGate starts a gate that is open.
func startGate(t *testing.T, to netip.AddrPort) *gate {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	g := &gate{addr: netip.MustParseAddrPort(l.Addr().String())}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to.String())
			if err != nil {
				in.Close()
				continue
			}
			go g.forward(in, out)
			go g.forward(out, in)
		}
	}()
	return g
}

func (g *gate) forward(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		g.mu.RLock()
		_, failed := to.Write(buf[:n])
		g.mu.RUnlock()
		if err != nil || failed != nil {
			return
		}
	}
}

// TestOriginAtEntryOutOfStep guards against an entry that is cut off from control while endpoints of a second build join, and that
// takes streams which began there for those of the build that it knows.
func TestOriginAtEntryOutOfStep(t *testing.T) {
	const before, since, own, unknown = 1, 2, 3, 4
	c := newOriginCluster(t)
	c.list(buildV1)
	inStep := c.entry("in step")
	var gates []*gate
	var control []netip.AddrPort
	for _, at := range c.control {
		g := startGate(t, at)
		gates, control = append(gates, g), append(control, g.addr)
	}
	setOpen := func(open bool) {
		for _, g := range gates {
			if open {
				g.mu.Unlock()
			} else {
				g.mu.Lock()
			}
		}
	}
	outOfStep := newFeed(t, c.keys, "out of step", control...)
	check.Eventually(t, "a view", func() bool { return outOfStep.Fresh() && outOfStep.View().Builds != nil })
	inStep.BeginStream(origin.Start{Key: before, Build: buildV1, Attempt: 1})
	wantOrigin(t, outOfStep, before, buildV1)

	setOpen(false)
	c.list(buildV1, buildV2)
	check.Eventually(t, "the second build at the entry in step", func() bool { return inStep.View().Builds.Has(buildV2) })
	inStep.BeginStream(origin.Start{Key: since, Build: buildV2, Attempt: 1})
	outOfStep.BeginStream(origin.Start{Key: own, Build: buildV1, Attempt: 1})
	check.NoError(t, inStep.AwaitStart(t.Context(), since))
	wantOrigin(t, inStep, since, buildV2)
	check.Equal(t, "the entry out of step knows the second build", outOfStep.View().Builds.Has(buildV2), false)
	for _, key := range []origin.Key{before, since, unknown} {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		b, known, err := outOfStep.Origin(ctx, key, "p")
		cancel()
		if err == nil && known {
			t.Errorf("stream %d began at %v, by an entry that can't ask", key, b)
		}
	}
	if b, known, err := inStep.Origin(t.Context(), own, "p"); err == nil && known && b != buildV1 {
		t.Errorf("the stream of the entry out of step began at %v", b)
	}

	setOpen(true)
	wantOrigin(t, outOfStep, since, buildV2)
	wantOrigin(t, outOfStep, before, buildV1)
	wantOrigin(t, outOfStep, unknown, origin.Build{})
	wantOrigin(t, inStep, own, buildV1)
}
