package limit_test

import (
	"errors"
	"io"
	"net/netip"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
)

// budgetFixture is a Budget with a clock that the test sets.
type budgetFixture struct {
	*limit.Budget
	now     time.Duration
	aborted []limit.Abort
}

func newBudgetFixture(c limit.BudgetConfig) *budgetFixture {
	x := &budgetFixture{}
	c.Now = func() time.Duration { return x.now }
	c.Aborted = func(a limit.Abort) { x.aborted = append(x.aborted, a) }
	x.Budget = limit.NewBudget(c)
	return x
}

// body returns a holder that waits for the rest of a body of which so many bytes are held.
func (x *budgetFixture) body(t *testing.T, bytes int, yields bool) *limit.Hold {
	t.Helper()
	h := x.Hold(limit.UseBody, func(limit.Stage) bool { return yields })
	check.Equal(t, "kept", h.Keep(bytes), true)
	h.Wait(limit.InBody)
	return h
}

const mebibyte = 1 << 20

// TestBudgetKeepsRoomForSmall guards against small bodies that are rejected because large ones fill the memory.
func TestBudgetKeepsRoomForSmall(t *testing.T) {
	x := newBudgetFixture(limit.BudgetConfig{Small: 2 * limit.SmallBytes, Large: 2 * mebibyte})
	x.body(t, limit.SmallBytes+2*mebibyte, true)
	large, small := x.Hold(limit.UseBody, nil), x.Hold(limit.UseBody, nil)
	check.Equal(t, "large beside a large one", large.Keep(limit.SmallBytes+1), false)
	check.Equal(t, "refused", x.Stats().Refused[limit.UseBody], uint64(1))
	check.Equal(t, "small", small.Keep(limit.SmallBytes), true)
	check.Equal(t, "bytes", x.Bytes(), int64(2*limit.SmallBytes+2*mebibyte))
}

// TestBudgetAbortsLongestWaiting guards against bodies that stop short of their end and fill the memory for others.
func TestBudgetAbortsLongestWaiting(t *testing.T) {
	x := newBudgetFixture(limit.BudgetConfig{Small: mebibyte, Large: 3 * mebibyte})
	first, second, running := x.body(t, mebibyte, true), x.body(t, mebibyte, true), x.body(t, mebibyte, true)
	running.Wait(limit.Busy)
	x.now = limit.BodyPatience / 2
	first.Heard()
	next := x.Hold(limit.UseBody, nil)
	check.Equal(t, "while none has waited long enough", next.Keep(mebibyte), false)
	x.now = limit.BodyPatience
	check.Equal(t, "once one has", next.Keep(mebibyte), true)
	check.Equal(t, "aborted", []bool{first.Aborted(), second.Aborted(), running.Aborted()}, []bool{false, true, false})
	check.Equal(t, "aborts", x.aborted, []limit.Abort{{Use: limit.UseBody, Stage: limit.InBody, Bytes: mebibyte, Waited: limit.BodyPatience}})
	check.Equal(t, "an aborted one keeps nothing", second.Keep(1), false)
	second.Release()
	for _, h := range []*limit.Hold{first, running, next, next} {
		h.Release()
	}
	check.Equal(t, "bytes in the end", x.Bytes(), int64(0))
}

// TestBudgetAbortsNoneInVain guards against bodies that are aborted for one that is refused nevertheless.
func TestBudgetAbortsNoneInVain(t *testing.T) {
	x := newBudgetFixture(limit.BudgetConfig{Small: mebibyte, Large: 3 * mebibyte})
	running, stopped := x.body(t, 2*mebibyte, true), x.body(t, mebibyte, true)
	running.Wait(limit.Busy)
	x.now = limit.BodyPatience
	next := x.Hold(limit.UseBody, nil)
	check.Equal(t, "more than the one that stopped has", next.Keep(2*mebibyte), false)
	check.Equal(t, "it is aborted", stopped.Aborted(), false)
	check.Equal(t, "as much as it has", next.Keep(mebibyte), true)
	check.Equal(t, "it is aborted then", stopped.Aborted(), true)
}

// TestBudgetPassesOverThoseThatHeard guards against the abort of a holder whose peer has just sent something.
func TestBudgetPassesOverThoseThatHeard(t *testing.T) {
	x := newBudgetFixture(limit.BudgetConfig{Small: mebibyte, Large: 2 * mebibyte})
	heard := x.body(t, mebibyte, false)
	x.now = time.Millisecond
	silent := x.body(t, mebibyte, true)
	x.now = limit.BodyPatience + time.Millisecond
	check.Equal(t, "kept", x.Hold(limit.UseBody, nil).Keep(mebibyte), true)
	check.Equal(t, "aborted", []bool{heard.Aborted(), silent.Aborted()}, []bool{false, true})
}

// TestBudgetKeepsNothingAfterRelease guards against bytes that count for ever, as nobody releases them again.
func TestBudgetKeepsNothingAfterRelease(t *testing.T) {
	x := newBudgetFixture(limit.BudgetConfig{})
	h := x.Hold(limit.UseBody, nil)
	h.Release()
	check.Equal(t, "kept", h.Keep(1), false)
	check.Equal(t, "bytes", x.Bytes(), int64(0))
}

// TestBudgetKeepsNewerWait guards against a holder that is never aborted again because an abort failed while it began to wait anew.
func TestBudgetKeepsNewerWait(t *testing.T) {
	x := newBudgetFixture(limit.BudgetConfig{Small: limit.SmallBytes, Large: mebibyte})
	var h *limit.Hold
	yields := false
	h = x.Hold(limit.UseBody, func(limit.Stage) bool {
		if !yields {
			h.Wait(limit.Busy)
			h.Wait(limit.InBody)
		}
		return yields
	})
	check.Equal(t, "kept", h.Keep(mebibyte), true)
	h.Wait(limit.InBody)
	x.now = limit.BodyPatience
	next := x.Hold(limit.UseBody, nil)
	check.Equal(t, "room while it waits anew", next.Keep(mebibyte), false)
	x.now, yields = 2*limit.BodyPatience, true
	check.Equal(t, "room once it has waited for long enough again", next.Keep(mebibyte), true)
}

// TestBudgetOfConns guards against connections beyond the bounds, and against the loss of requests that were read.
func TestBudgetOfConns(t *testing.T) {
	a, b := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	x := newBudgetFixture(limit.BudgetConfig{Conns: 4})
	open := func(from netip.Addr, s limit.Stage) *limit.Hold {
		x.now += time.Millisecond
		h := x.Conn(from, func(limit.Stage) bool { return true })
		if h != nil {
			h.Wait(s)
		}
		return h
	}
	busy, header, idle := open(a, limit.Busy), open(a, limit.InHeader), open(a, limit.Idle)
	check.Equal(t, "bound of one address", x.Config().ClientConns, 3)
	check.Equal(t, "in place of the one of its address with an incomplete header, which is older", open(a, limit.Busy) != nil, true)
	check.Equal(t, "aborted", []bool{header.Aborted(), idle.Aborted()}, []bool{true, false})
	check.Equal(t, "another address", open(b, limit.Busy) != nil, true)
	check.Equal(t, "in place of the idle one", open(b, limit.Busy) != nil, true)
	check.Equal(t, "aborted", []bool{idle.Aborted(), busy.Aborted()}, []bool{true, false})
	check.Equal(t, "none is left to abort", open(b, limit.Busy) == nil, true)
	busy.Release()
	check.Equal(t, "room again", open(b, limit.InBody) != nil, true)
	check.Equal(t, "a body that has just begun stays", open(a, limit.Busy) == nil, true)
	x.now += limit.BodyPatience
	check.Equal(t, "one that stopped doesn't", open(a, limit.Busy) != nil, true)
	s := x.Stats()
	check.Equal(t, "sums", []any{s.Conns, s.Bytes[limit.UseConn], s.Refused[limit.UseConn]}, []any{4, int64(4 * limit.ConnBytes), uint64(2)})
}

// TestBudgetSparesNewConns guards against connections that are closed as soon as they are accepted, while others wait for their clients for seconds.
func TestBudgetSparesNewConns(t *testing.T) {
	for _, s := range []limit.Stage{limit.Idle, limit.InHeader, limit.InBody, limit.Unread} {
		t.Run(s.String(), func(t *testing.T) {
			x := newBudgetFixture(limit.BudgetConfig{Conns: 2, ClientConns: 2})
			open := func() *limit.Hold { return x.Conn(netip.Addr{}, func(limit.Stage) bool { return true }) }
			old := open()
			old.Wait(s)
			x.now = limit.UnreadPatience
			fresh := open()
			x.now += limit.HeaderPatience - 1
			check.Equal(t, "accepted", open() != nil, true)
			check.Equal(t, "aborted", []bool{old.Aborted(), fresh.Aborted()}, []bool{true, false})
			x.now++
			check.Equal(t, "accepted without an older one", open() != nil, true)
			check.Equal(t, "aborted then", fresh.Aborted(), true)
		})
	}
}

// TestBudgetComparesIdleAndHeader guards against idle connections that are closed while headers stay incomplete for longer.
func TestBudgetComparesIdleAndHeader(t *testing.T) {
	x := newBudgetFixture(limit.BudgetConfig{Conns: 2, ClientConns: 2})
	open := func() *limit.Hold { return x.Conn(netip.Addr{}, func(limit.Stage) bool { return true }) }
	header := open()
	header.Wait(limit.InHeader)
	x.now = time.Second
	idle := open()
	x.now += limit.HeaderPatience
	check.Equal(t, "accepted", open() != nil, true)
	check.Equal(t, "aborted", []bool{header.Aborted(), idle.Aborted()}, []bool{true, false})
}

// TestBudgetDefaults guards against bounds that don't fit the VM, and against settings that don't count.
func TestBudgetDefaults(t *testing.T) {
	for name, c := range map[string]struct {
		config limit.BudgetConfig
		conns  int
	}{
		"by memory":      {limit.BudgetConfig{Memory: 136 * mebibyte, Files: 2670}, 633},
		"by descriptors": {limit.BudgetConfig{Memory: 136 * mebibyte, Files: 440}, 176},
		"by setting":     {limit.BudgetConfig{Memory: 136 * mebibyte, Files: 440, Conns: 1000}, 1000},
		"tiny":           {limit.BudgetConfig{Memory: 1, Files: 1}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			got := limit.NewBudget(c.config).Config()
			check.Equal(t, "connections, and those of a client", []int{got.Conns, got.ClientConns}, []int{c.conns, max(c.conns*3/4, 1)})
			check.Equal(t, "parts", []int64{got.Small, got.Large}, []int64{c.config.Memory * 15 / 100, c.config.Memory / 5})
		})
	}
}

// TestBudgetHasRoomForSmallBodies guards against small bodies of one client that fill the part of all, though it may not have all connections.
func TestBudgetHasRoomForSmallBodies(t *testing.T) {
	x := newBudgetFixture(limit.BudgetConfig{Memory: 136 * mebibyte, Files: 2670, Large: 1})
	a, b := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	for range x.Config().ClientConns {
		check.Equal(t, "one address", x.Hold(limit.UseBody, nil).Of(a).Keep(limit.SmallBytes), true)
	}
	for range x.Config().Conns - x.Config().ClientConns {
		check.Equal(t, "another address", x.Hold(limit.UseBody, nil).Of(b).Keep(limit.SmallBytes), true)
	}
}

// TestBudgetOfClient guards against one client address that takes a part of the memory from all others.
func TestBudgetOfClient(t *testing.T) {
	a, b := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	for name, c := range map[string]struct {
		bytes       int
		ofA, ofB    int
		small, rest int64
	}{
		"small": {limit.SmallBytes, 3, 1, 4 * limit.SmallBytes, 1},
		"large": {limit.SmallBytes + mebibyte, 3, 1, mebibyte, 4 * mebibyte},
	} {
		t.Run(name, func(t *testing.T) {
			x := newBudgetFixture(limit.BudgetConfig{Small: c.small, Large: c.rest})
			fill := func(from netip.Addr) (kept []*limit.Hold) {
				for {
					h := x.Hold(limit.UseBody, func(limit.Stage) bool { return true }).Of(from)
					if !h.Keep(c.bytes) {
						h.Release()
						return kept
					}
					h.Wait(limit.InBody)
					kept = append(kept, h)
				}
			}
			ofA := fill(a)
			check.Equal(t, "of one address, and of another", []int{len(ofA), len(fill(b))}, []int{c.ofA, c.ofB})
			x.now = limit.BodyPatience
			next := x.Hold(limit.UseBody, nil).Of(a)
			check.Equal(t, "in the place of one of its own", next.Keep(c.bytes), true)
			check.Equal(t, "aborted of all", len(x.aborted), 1)
			next.Release()
			check.Equal(t, "another address in its place", x.Hold(limit.UseBody, nil).Of(b).Keep(c.bytes), true)
		})
	}
}

// TestBudgetAbortsSlow guards against bodies that keep their memory with a byte now and then, and against the abort of those that arrive steadily.
func TestBudgetAbortsSlow(t *testing.T) {
	for name, c := range map[string]struct {
		piece int
		kept  bool
	}{"a byte now and then": {1, true}, "slow but steady": {limit.SlowRate, false}} {
		t.Run(name, func(t *testing.T) {
			x := newBudgetFixture(limit.BudgetConfig{Small: limit.SmallBytes, Large: 1})
			h := x.Hold(limit.UseBody, func(limit.Stage) bool { return true })
			h.Wait(limit.InBody)
			pieces := 0
			source := readerFunc(func(p []byte) (int, error) {
				if x.now += limit.BodyPatience * 9 / 10; pieces == 10 {
					return 0, io.EOF
				}
				if pieces++; x.now < limit.SlowAge || pieces == 10 {
					check.Equal(t, "not before", x.Hold(limit.UseBody, nil).Keep(limit.SmallBytes), pieces == 10 && c.kept)
				}
				return min(len(p), c.piece), nil
			})
			h.Read(source, limit.SmallBytes, limit.SmallBytes)
			check.Equal(t, "aborted", h.Aborted(), c.kept)
		})
	}
}

// readerFunc is a function as an io.Reader.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestBudgetRead guards against buffers that are allocated before they are granted, and against ends that are taken for the bound.
func TestBudgetRead(t *testing.T) {
	broken := errors.New("broken off")
	for name, c := range map[string]struct {
		source      io.Reader
		most, sized int64
		length      int
		whole       bool
		err         error
	}{
		"sized":             {strings.NewReader(strings.Repeat("x", 100_000)), mebibyte, 100_000, 100_000, true, nil},
		"without a size":    {iotest.HalfReader(strings.NewReader(strings.Repeat("x", 100_000))), mebibyte, -1, 100_000, true, nil},
		"empty":             {strings.NewReader(""), mebibyte, 0, 0, true, nil},
		"longer than sized": {strings.NewReader(strings.Repeat("x", 100)), mebibyte, 10, 100, true, nil},
		"over the bound":    {strings.NewReader(strings.Repeat("x", 101)), 100, -1, 100, false, nil},
		"no room":           {strings.NewReader(strings.Repeat("x", mebibyte)), mebibyte, mebibyte, limit.SmallBytes * 4, false, nil},
		"broken off":        {io.MultiReader(strings.NewReader("x"), iotest.ErrReader(broken)), mebibyte, 2, 0, false, broken},
	} {
		t.Run(name, func(t *testing.T) {
			x := newBudgetFixture(limit.BudgetConfig{Small: mebibyte, Large: 4 * limit.SmallBytes})
			h := x.Hold(limit.UseBody, nil)
			data, whole, err := h.Read(c.source, c.most, c.sized)
			check.Equal(t, "result", []any{len(data), whole, err == c.err}, []any{c.length, c.whole, true})
			check.Equal(t, "counted by capacity", err != nil || x.Bytes() == int64(cap(data)), true)
		})
	}
}

// TestNoBudget guards against parts of the system without a budget that can't hold anything.
func TestNoBudget(t *testing.T) {
	var b *limit.Budget
	h := b.Hold(limit.UseBody, nil)
	defer h.Release()
	h.Wait(limit.InBody)
	data, whole, err := h.Read(strings.NewReader("x"), 10, -1)
	check.Equal(t, "read", []any{string(data), whole, err, h.Aborted()}, []any{"x", true, nil, false})
	check.Equal(t, "connection", b.Conn(netip.Addr{}, nil) != nil, true)
}
