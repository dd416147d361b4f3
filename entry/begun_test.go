package entry

import (
	"bytes"
	"context"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/route"
	"egretshunt/table"
	"egretshunt/value"
	"egretshunt/wire"
)

// scriptedAgent is an agent that takes every offer and sends the bytes that it has.
type scriptedAgent struct {
	addr    netip.AddrPort
	data    []byte
	offers  atomic.Int64
	verdict *wire.Verdict
	// head is that of the response; nil means status 200 without headers. With noHead, the response has none.
	head   *wire.Head
	noHead bool
	// breaks makes each stream break once the first sent bytes of a response are sent.
	breaks bool
	sent   int
}

// start serves until the test ends.
func (a *scriptedAgent) start(t *testing.T, keys *wire.Keys) {
	t.Helper()
	s, err := wire.Serve(wire.ServerConfig{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Keys: keys, Handle: a.handle})
	check.NoError(t, err)
	t.Cleanup(s.Close)
	a.addr = s.Addr()
}

func (a *scriptedAgent) handle(ctx context.Context, s *wire.Stream) {
	first, err := s.Recv()
	if err != nil {
		return
	}
	// A send fails only when the entry has ended the stream.
	switch body := first.GetBody().(type) {
	case *wire.Frame_Watch:
		_ = s.Send(&wire.Frame{Body: &wire.Frame_Load{Load: &wire.Load{Boot: "boot"}}})
		<-ctx.Done()
	case *wire.Frame_Offer:
		a.offers.Add(1)
		id := body.Offer.GetId()
		head := a.head
		if head == nil {
			head = &wire.Head{Status: 200}
		}
		_ = s.Send(&wire.Frame{Body: &wire.Frame_Accept{Accept: &wire.Accept{Boot: "boot"}}})
		if !a.noHead {
			_ = s.Send(&wire.Frame{Body: &wire.Frame_Head{Head: head}})
		}
		for at := 0; at < a.sent; at += 32 << 10 {
			_ = s.Send(&wire.Frame{Body: &wire.Frame_Piece{Piece: &wire.Piece{Id: id, Offset: uint64(at), Data: a.data[at:min(at+32<<10, a.sent)]}}})
		}
		if a.breaks {
			s.Abort()
			return
		}
		_ = s.Send(&wire.Frame{Body: &wire.Frame_End{End: &wire.End{Id: id, Total: uint64(a.sent), Sum: updateChecksum(0, a.data)}}})
	case *wire.Frame_Resume:
		s.Abort()
	case *wire.Frame_Revoke:
		_ = s.Send(&wire.Frame{Body: &wire.Frame_Verdict{Verdict: a.verdict}})
	}
}

// newScriptedRun returns a request that must not run twice, whose first attempt is for the first agent, and the recorder of its response.
func newScriptedRun(t *testing.T, first, second *scriptedAgent) (*claimRun, *httptest.ResponseRecorder) {
	t.Helper()
	keys, err := wire.NewKeys("secret of the test")
	check.NoError(t, err)
	first.start(t, keys)
	second.start(t, keys)
	pool := wire.NewPool(wire.PoolConfig{Keys: keys})
	t.Cleanup(pool.Close)
	follower, err := ctrl.NewFollower(ctrl.FollowerConfig{Pool: pool, Upstreams: func() []netip.AddrPort { return nil }})
	check.NoError(t, err)
	t.Cleanup(follower.Close)
	e := New(Config{AgentConns: pool, Follower: follower, Seed: 1})
	t.Cleanup(e.Close)
	row := &table.Route{Name: "r"}
	targets := []route.Target{{Pool: &table.Pool{Name: "p"}, Name: "first", Addr: first.addr}, {Pool: &table.Pool{Name: "p"}, Name: "second", Addr: second.addr}}
	j := &job{id: "id", atMostOnce: true, plan: &route.Plan{Route: row, Targets: targets}, deadline: time.Now().Add(time.Minute), ran: No}
	rec := httptest.NewRecorder()
	run := &claimRun{e: e, j: j, out: newResponseSink(rec, false, time.Minute), tried: value.Set[string]{}}
	run.tried.Add("first")
	run.attempt = attempt{key: entryKeyPrefix + j.id, number: 1, incarnation: "boot"}
	return run, rec
}

// TestBegunBookingIsCut guards against a booking whose caller got a part of its response, and then the sign that it was
// complete, or the response of another run behind it.
func TestBegunBookingIsCut(t *testing.T) {
	const size = 3 * maxBufferedBytes / 2
	whole := bytes.Repeat([]byte("a"), size)
	for name, c := range map[string]struct {
		sent    int
		verdict *wire.Verdict
		begun   bool
	}{
		"done":                  {size - 100, &wire.Verdict{State: "done", Head: &wire.Head{Status: 200}, Body: whole}, true},
		"done, no longer kept":  {size - 100, &wire.Verdict{State: "done"}, true},
		"never":                 {size - 100, &wire.Verdict{State: "never"}, true},
		"lost":                  {size - 100, &wire.Verdict{State: "lost"}, true},
		"done before it began":  {1000, &wire.Verdict{State: "done", Head: &wire.Head{Status: 200}, Body: whole}, false},
		"never before it began": {1000, &wire.Verdict{State: "never"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			first := &scriptedAgent{data: whole, sent: c.sent, breaks: true, verdict: c.verdict}
			second := &scriptedAgent{data: bytes.Repeat([]byte("b"), size), sent: size}
			run, rec := newScriptedRun(t, first, second)
			f := run.dispatch(t.Context(), run.j.plan.Targets[0])
			check.Equal(t, "begun", run.out.started, c.begun || c.verdict.GetState() == "never")
			if !c.begun {
				check.Equal(t, "failed", f != nil, false)
				return
			}
			if f == nil {
				t.Errorf("counted as complete after %d bytes of %d", rec.Body.Len(), size)
			}
			check.Equal(t, "bytes of another run", bytes.Count(rec.Body.Bytes(), []byte("b")), 0)
			check.Equal(t, "offers to another endpoint", second.offers.Load(), int64(0))
		})
	}
}
