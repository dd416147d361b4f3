package ctrl_test

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/limit"
	"egretshunt/wire"
)

func fingerprint(s string) func() string { return func() string { return s } }

// TestCrashCountsSurviveLeaderChange guards against a count that starts anew with each leader: after two crashes the
// leader is lost, and the third must quarantine the request, also on an entry that starts afterwards.
func TestCrashCountsSurviveLeaderChange(t *testing.T) {
	c := newCluster(t, 3)
	control, keys := serveHubs(t, c, 0)
	entry := newFeed(t, keys, "e0", control...)
	check.Eventually(t, "a fresh feed", entry.Fresh)
	crashes := 0
	crash := func() {
		crashes++
		entry.RecordCrash(limit.CrashReport{Fingerprint: "bad", Endpoint: fmt.Sprint("w", crashes)})
	}
	crash()
	crash()
	time.Sleep(time.Second)
	check.Equal(t, "refused after two crashes", entry.RejectedFor(fingerprint("bad")) > 0, false)
	c.kill(c.leader())
	c.leader()
	crash()
	check.Eventually(t, "refused after the third crash", func() bool { return entry.RejectedFor(fingerprint("bad")) > 0 })
	late := newFeed(t, keys, "e1", control...)
	check.Eventually(t, "refused by an entry that started later", func() bool { return late.RejectedFor(fingerprint("bad")) > 0 })
}

// TestCrashingRequestQuarantinedOnAllEntries guards against a request that crashes endpoints and is
// sent again through other entries. Two entries report the crashes; a third, which never ran the
// request, must refuse it, and must keep refusing it after a change of leader.
func TestCrashingRequestQuarantinedOnAllEntries(t *testing.T) {
	c := newCluster(t, 1)
	hub := ctrl.NewHub(c.node(c.leader()))
	addr, keys := serveControl(t, ctrl.ServerConfig{Node: c.node(c.leader()), Hub: hub})
	var feeds []*ctrl.Feed
	for i := range 3 {
		feeds = append(feeds, newFeed(t, keys, fmt.Sprint("e", i), addr))
	}
	first, second, observer := feeds[0], feeds[1], feeds[2]
	check.Eventually(t, "a fresh feed", observer.Fresh)
	crashes := 0
	check.Eventually(t, "refused by an entry that never ran the request", func() bool {
		if observer.RejectedFor(fingerprint("bad")) > 0 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
		at := first
		if crashes%2 == 1 {
			at = second
		}
		at.RecordCrash(limit.CrashReport{Fingerprint: "bad", Endpoint: fmt.Sprint("w", crashes)})
		at.RecordCrash(limit.CrashReport{Fingerprint: fmt.Sprint("beside-", crashes), Endpoint: fmt.Sprint("w", crashes)})
		crashes++
		return false
	})
	check.Equal(t, "not refused before the threshold", crashes >= limit.MaxAttributedCrashes, true)
	check.Equal(t, "requests that ran concurrently", observer.RejectedFor(fingerprint("beside-0")), time.Duration(0))
	hub.BeginTerm()
	time.Sleep(500 * time.Millisecond)
	check.Equal(t, "still refused in the next term", second.RejectedFor(fingerprint("bad")) > 0, true)
}

// TestResumedStreamIsNotQuarantined guards against a report on its way to control that loses how far a stream got: a stream that goes
// on at another endpoint after each end isn't the cause.
func TestResumedStreamIsNotQuarantined(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	addr, keys := serveControl(t, ctrl.ServerConfig{Node: c.node(c.leader()), Hub: ctrl.NewHub(c.node(c.leader()))})
	entry := newFeed(t, keys, "e0", addr)
	check.Eventually(t, "a fresh feed", entry.Fresh)
	for i := range limit.MaxAttributedCrashes {
		for name, resumed := range map[string]bool{"stream": i > 0, "bad": false} {
			entry.RecordCrash(limit.CrashReport{Fingerprint: name, Endpoint: fmt.Sprint(name, i), Resumed: resumed})
		}
	}
	check.Eventually(t, "refused", func() bool { return entry.RejectedFor(fingerprint("bad")) == limit.CrashRetryAfter })
	check.Equal(t, "the stream that goes on is refused for", entry.RejectedFor(fingerprint("stream")), time.Duration(0))
	check.Equal(t, "ends that count against it", c.node(c.leader()).Crashes().Crashes("stream"), 1)
}

// TestOneTrialOfQuarantinedRequest guards against a quarantine that ends by time at all entries at once: after a while
// one run is allowed at one entry, a crash refuses the request again, and a run that completes frees it.
func TestOneTrialOfQuarantinedRequest(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	addr, keys := serveControl(t, ctrl.ServerConfig{Node: c.node(c.leader()), Hub: ctrl.NewHub(c.node(c.leader()))})
	var feeds []*ctrl.Feed
	for i := range 3 {
		feeds = append(feeds, newFeed(t, keys, fmt.Sprint("e", i), addr))
	}
	for _, name := range []string{"bad", "innocent"} {
		for i := range limit.MaxAttributedCrashes {
			feeds[0].RecordCrash(limit.CrashReport{Fingerprint: name, Endpoint: fmt.Sprint("w", i)})
		}
	}
	refused := func(name string) int {
		n := 0
		for _, f := range feeds {
			if f.RejectedFor(fingerprint(name)) > 0 {
				n++
			}
		}
		return n
	}
	for _, name := range []string{"bad", "innocent"} {
		check.Eventually(t, "refused by all", func() bool { return refused(name) == len(feeds) })
	}
	allowed := 0
	check.Eventually(t, "a run at one entry", func() bool {
		for _, f := range feeds {
			if f.RejectedFor(fingerprint("bad")) == 0 {
				allowed++
				f.RecordCrash(limit.CrashReport{Fingerprint: "bad", Endpoint: "w9"})
			}
		}
		return allowed > 0
	})
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		check.Equal(t, "refused by all after the trial", refused("bad"), len(feeds))
	}
	check.Equal(t, "trials", allowed, 1)
	check.Eventually(t, "free after a run that completes", func() bool {
		for _, f := range feeds {
			if f.RejectedFor(fingerprint("innocent")) == 0 {
				f.RecordCompletion(fingerprint("innocent"))
			}
		}
		return refused("innocent") == 0
	})
	check.Equal(t, "the other one is still refused", refused("bad"), len(feeds))
}

// TestCompletedRunClearsCount guards against refusing content that many clients send: it was in flight at each of three
// crashes, with completed runs between them.
func TestCompletedRunClearsCount(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	addr, keys := serveControl(t, ctrl.ServerConfig{Node: c.node(c.leader()), Hub: ctrl.NewHub(c.node(c.leader()))})
	first, second := newFeed(t, keys, "e0", addr), newFeed(t, keys, "e1", addr)
	check.Eventually(t, "fresh feeds", func() bool { return first.Fresh() && second.Fresh() })
	crashes := c.node(c.leader()).Crashes
	counted := func(want int) {
		t.Helper()
		check.Eventually(t, fmt.Sprint(want, " crashes counted"), func() bool {
			if want == 0 {
				second.RecordCompletion(fingerprint("hot"))
			}
			return crashes().Crashes("hot") == want
		})
	}
	first.RecordCrash(limit.CrashReport{Fingerprint: "hot", Endpoint: "w0"})
	first.RecordCrash(limit.CrashReport{Fingerprint: "hot", Endpoint: "w1"})
	counted(2)
	counted(0)
	first.RecordCrash(limit.CrashReport{Fingerprint: "hot", Endpoint: "w2"})
	counted(1)
	check.Equal(t, "refused", first.RejectedFor(fingerprint("hot")) > 0, false)
}

// TestPartRefusedByAllEntries guards against prompts that share a part which crashes endpoints: two entries report the
// ends, also over a change of leader, and an entry that never ran such a prompt must refuse it. A part that was present at each
// of them must not be refused, since responses to other prompts with it begin.
func TestPartRefusedByAllEntries(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	control, keys := serveHubs(t, c, 0)
	first, second, observer := newFeed(t, keys, "e0", control...), newFeed(t, keys, "e1", control...), newFeed(t, keys, "e2", control...)
	check.Eventually(t, "fresh feeds", func() bool { return first.Fresh() && second.Fresh() && observer.Fresh() })
	crashes := 0
	crash := func() {
		crashes++
		at := []*ctrl.Feed{first, second}[crashes%2]
		for _, part := range []string{"sys", "bad"} {
			// Prompts that share a part end at one endpoint, too.
			for range 2 {
				at.RecordCrash(limit.CrashReport{Fingerprint: part, Endpoint: fmt.Sprint("w", crashes), Part: true, Age: 50 * time.Millisecond})
			}
		}
	}
	crash()
	time.Sleep(200 * time.Millisecond)
	crash()
	c.kill(c.leader())
	c.leader()
	check.Eventually(t, "fresh feeds under another leader", func() bool { return first.Fresh() && second.Fresh() && observer.Fresh() })
	check.Eventually(t, "refused by an entry that never ran such a prompt", func() bool {
		for range 5 {
			time.Sleep(100 * time.Millisecond)
			observer.RecordCompletion(fingerprint("sys"))
		}
		if observer.RejectedFor(fingerprint("bad")) > 0 {
			return true
		}
		crash()
		return false
	})
	check.Equal(t, "crashes needed", crashes <= 5, true)
	check.Equal(t, "the part of sound prompts is refused", observer.RejectedFor(fingerprint("sys")) > 0, false)
	check.Equal(t, "an entry doesn't refuse a part by its own reports", first.RejectedFor(fingerprint("sys")) > 0, false)
}

// TestEntryRefusesByItsOwnReports guards against an entry that sends a request on to a fourth endpoint because control
// has not counted its reports yet; no control VM is reachable here.
func TestEntryRefusesByItsOwnReports(t *testing.T) {
	keys, err := wire.NewKeys("a secret of this test, long enough")
	check.NoError(t, err)
	f := newFeed(t, keys, "e0", netip.MustParseAddrPort("127.0.0.1:1"))
	refused := func(name string) bool { return f.RejectedFor(fingerprint(name)) > 0 }
	for i := range limit.MaxAttributedCrashes {
		check.Equal(t, "refused too early", refused("bad"), false)
		f.RecordCrash(limit.CrashReport{Fingerprint: "bad", Endpoint: fmt.Sprint("w", i)})
		f.RecordCrash(limit.CrashReport{Fingerprint: "in flight at one crash", Endpoint: "w0"})
		f.RecordCrash(limit.CrashReport{Fingerprint: "hot", Endpoint: fmt.Sprint("w", i)})
	}
	check.Equal(t, "refused", refused("bad"), true)
	check.Equal(t, "refused after one crash", refused("in flight at one crash"), false)
	check.Equal(t, "suspected after one end that control hasn't counted", f.IsSuspected(fingerprint("in flight at one crash")), true)
	f.RecordCompletion(fingerprint("hot"))
	check.Equal(t, "refused after a completed run", refused("hot"), false)
	check.Equal(t, "suspected after a completed run", f.IsSuspected(fingerprint("hot")), false)
	f.RecordCrash(limit.CrashReport{Fingerprint: "hot", Endpoint: "w9"})
	check.Equal(t, "refused after one more crash", refused("hot"), false)
}

// TestQuarantineEndsHeldSyncs guards against entries that learn of a quarantine only once their sync's hold has passed.
func TestQuarantineEndsHeldSyncs(t *testing.T) {
	c := newCluster(t, 1)
	addr, keys := serveControl(t, ctrl.ServerConfig{Node: c.node(c.leader()), Hub: ctrl.NewHub(c.node(c.leader()))})
	pool := wire.NewPool(wire.PoolConfig{Keys: keys})
	t.Cleanup(pool.Close)
	s, err := pool.Open(t.Context(), addr)
	check.NoError(t, err)
	defer s.Close()
	sync := func(req *wire.Sync) *wire.Synced {
		t.Helper()
		check.NoError(t, s.Send(&wire.Frame{Body: &wire.Frame_Sync{Sync: req}}))
		reply, err := s.Recv()
		check.NoError(t, err)
		return reply.GetSynced()
	}
	life := sync(&wire.Sync{Node: "held"}).GetLife()
	reporter := newFeed(t, keys, "reporter", addr)
	check.Eventually(t, "a fresh feed", reporter.Fresh)
	n := 0
	check.Eventually(t, "a sync ended by a quarantine before its hold has passed", func() bool {
		n++
		name := fmt.Sprint("bad-", n)
		time.AfterFunc(50*time.Millisecond, func() {
			for i := range limit.MaxAttributedCrashes {
				reporter.RecordCrash(limit.CrashReport{Fingerprint: name, Endpoint: fmt.Sprint("w", i)})
			}
		})
		// The hub holds a sync for a second at most.
		reply := sync(&wire.Sync{Node: "held", Life: life, HoldMs: 5000})
		return reply.GetHeldMs() < 1000 && slices.Contains(reply.GetRefused(), name)
	})
	known := sync(&wire.Sync{Node: "held", Life: life})
	again := sync(&wire.Sync{Node: "held", Life: life, Verdicts: known.GetVerdicts()})
	check.Equal(t, "lists sent to an entry that holds them", len(again.GetRefused()), 0)
	check.Equal(t, "same verdicts", again.GetVerdicts(), known.GetVerdicts())
}

// TestCrashCountsSurviveRestart guards against counts that are lost with the snapshot that replaces the log.
func TestCrashCountsSurviveRestart(t *testing.T) {
	c := newCluster(t, 1)
	c.compactSize = 1
	id := c.leader()
	c.kill(id)
	c.start(id)
	propose := func(n int) {
		t.Helper()
		report := limit.CrashReport{ID: fmt.Sprint(n), Fingerprint: "bad", Endpoint: fmt.Sprint("w", n)}
		_, err := c.node(c.leader()).Propose(t.Context(), ctrl.Command{Crashes: &limit.CrashCommand{Entry: "e", Reports: []limit.CrashReport{report}}})
		check.NoError(t, err)
	}
	propose(0)
	propose(1)
	c.kill(id)
	c.start(id)
	propose(2)
	crashes := c.node(c.leader()).Crashes()
	check.Equal(t, "crashes", crashes.Crashes("bad"), 3)
	check.Equal(t, "refused", crashes.Verdicts(time.Time{}).Refused, []string{"bad"})
}

// cutter forwards connections to an address until it is cut; then it passes nothing on, without a reset.
type cutter struct {
	listener net.Listener
	cut      atomic.Bool
}

func newCutter(t *testing.T, to netip.AddrPort) *cutter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	c := &cutter{listener: l}
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			go c.forward(from, to)
		}
	}()
	return c
}

func (c *cutter) addr() netip.AddrPort {
	return netip.MustParseAddrPort(c.listener.Addr().String())
}

func (c *cutter) forward(from net.Conn, addr netip.AddrPort) {
	defer from.Close()
	to, err := net.Dial("tcp", addr.String())
	if err != nil {
		return
	}
	defer to.Close()
	done := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{from, to}, {to, from}} {
		go func() {
			defer func() { done <- struct{}{} }()
			buf := make([]byte, 4096)
			for {
				n, err := way[0].Read(buf)
				if err != nil {
					return
				}
				if c.cut.Load() {
					// The rest of the stream would be invalid.
					continue
				}
				if _, err := way[1].Write(buf[:n]); err != nil {
					return
				}
			}
		}()
	}
	<-done
}

// TestCrashesOfCutOffEntryCountOnce guards against reports that are lost, or counted again, while their entry is cut off
// from control: it repeats them until one response gets through.
func TestCrashesOfCutOffEntryCountOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	addr, keys := serveControl(t, ctrl.ServerConfig{Node: c.node(c.leader()), Hub: ctrl.NewHub(c.node(c.leader()))})
	cut := newCutter(t, addr)
	off, other := newFeed(t, keys, "off", cut.addr()), newFeed(t, keys, "other", addr)
	check.Eventually(t, "fresh feeds", func() bool { return off.Fresh() && other.Fresh() })
	for i := range 2 {
		cut.cut.Store(true)
		off.RecordCrash(limit.CrashReport{Fingerprint: "bad", Endpoint: fmt.Sprint("w", i)})
		time.Sleep(1500 * time.Millisecond)
		cut.cut.Store(false)
		check.Eventually(t, "counted once the cut has healed", func() bool { return c.node(c.leader()).Crashes().Crashes("bad") == i+1 })
	}
	time.Sleep(500 * time.Millisecond)
	check.Equal(t, "crashes", c.node(c.leader()).Crashes().Crashes("bad"), 2)
	other.RecordCrash(limit.CrashReport{Fingerprint: "bad", Endpoint: "w9"})
	check.Eventually(t, "refused by both", func() bool {
		return off.RejectedFor(fingerprint("bad")) > 0 && other.RejectedFor(fingerprint("bad")) > 0
	})
}

// TestAttemptsInARowCount guards against the ends of three endpoints under one request, one attempt after another, that count
// once because control learns of them in one sync; a fourth endpoint ended then.
func TestAttemptsInARowCount(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	addr, keys := serveControl(t, ctrl.ServerConfig{Node: c.node(c.leader()), Hub: ctrl.NewHub(c.node(c.leader()))})
	cut := newCutter(t, addr)
	off, other := newFeed(t, keys, "off", cut.addr()), newFeed(t, keys, "other", addr)
	check.Eventually(t, "fresh feeds", func() bool { return off.Fresh() && other.Fresh() })
	const attempt = 20 * time.Millisecond
	cut.cut.Store(true)
	for i := range limit.MaxAttributedCrashes {
		time.Sleep(attempt + 5*time.Millisecond)
		off.RecordCrash(limit.CrashReport{Fingerprint: "bad", Endpoint: fmt.Sprint("w", i), Age: attempt})
	}
	cut.cut.Store(false)
	crashes := c.node(c.leader()).Crashes
	check.Eventually(t, "counted", func() bool { return crashes().Crashes("bad") > 0 })
	check.Equal(t, "crashes", crashes().Crashes("bad"), limit.MaxAttributedCrashes)
	check.Eventually(t, "refused by another entry", func() bool { return other.RejectedFor(fingerprint("bad")) > 0 })
}

// TestEntryCountsAsControlDoes guards against an entry that refuses equal sound requests in flight at endpoints that end
// together, which control counts once.
func TestEntryCountsAsControlDoes(t *testing.T) {
	keys, err := wire.NewKeys("a secret of this test, long enough")
	check.NoError(t, err)
	f := newFeed(t, keys, "e0", netip.MustParseAddrPort("127.0.0.1:1"))
	for i := range limit.MaxAttributedCrashes {
		f.RecordCrash(limit.CrashReport{Fingerprint: "hot", Endpoint: fmt.Sprint("w", i), Age: time.Minute})
	}
	check.Equal(t, "rejected for", f.RejectedFor(fingerprint("hot")), time.Duration(0))
}

// TestNoTrialWhileLeaderLearnsEntries guards against two trials of one request: a new leader that knows one entry lets that one run it,
// while another runs it by the former leader's leave.
func TestNoTrialWhileLeaderLearnsEntries(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	hub := ctrl.NewHub(c.node(c.leader()))
	addr, keys := serveControl(t, ctrl.ServerConfig{Node: c.node(c.leader()), Hub: hub})
	feed := newFeed(t, keys, "e0", addr)
	for i := range limit.MaxAttributedCrashes {
		feed.RecordCrash(limit.CrashReport{Fingerprint: "bad", Endpoint: fmt.Sprint("w", i)})
	}
	due := func() bool { return len(c.node(c.leader()).Crashes().Verdicts(time.Now()).Trial) > 0 }
	// Trials start in the first half of an interval.
	check.Eventually(t, "a trial that may start", func() bool {
		return due() && time.Now().UnixNano()%int64(limit.TrialInterval) < int64(limit.TrialInterval)/4
	})
	hub.BeginTerm()
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		check.Equal(t, "refused in the first seconds of a term", feed.RejectedFor(fingerprint("bad")) > 0, true)
	}
}
