package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
)

// partTracker plays crashes of endpoints under prompts against a tracker.
type partTracker struct {
	*limit.CrashTracker
	now     time.Duration
	crashes int
}

func newPartTracker() *partTracker { return &partTracker{CrashTracker: limit.NewCrashTracker()} }

// crash ends another endpoint under prompts with the parts; their attempts began an age ago.
func (p *partTracker) crash(age time.Duration, parts ...string) { p.crashEnded(age, 0, parts...) }

// crashEnded is crash for an end that is reported some time later.
func (p *partTracker) crashEnded(age, ended time.Duration, parts ...string) {
	p.crashes++
	var c limit.CrashCommand
	for _, part := range parts {
		c.Reports = append(c.Reports, limit.CrashReport{ID: fmt.Sprint(p.crashes, part), Fingerprint: part, Endpoint: fmt.Sprint("w", p.crashes), Born: int64(p.crashes), Part: true, Age: age, Ended: ended})
	}
	p.CrashTracker = p.Apply(c, start.Add(p.now))
}

// begin reports that responses to prompts with the parts begin.
func (p *partTracker) begin(parts ...string) {
	p.CrashTracker = p.Apply(limit.CrashCommand{Completed: parts}, start.Add(p.now))
}

func (p *partTracker) refused() []string { return p.Verdicts(start.Add(p.now)).Refused }

// TestPartThatCrashesEndpoints guards against prompts of which no two are alike, and that end endpoint after endpoint by one
// part that they share.
func TestPartThatCrashesEndpoints(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		play func(p *partTracker)
		want []string
	}{
		"three ends in sequence": {func(p *partTracker) {
			for range 3 {
				p.now += 400 * ms
				p.crash(100*ms, "bad")
			}
		}, []string{"bad"}},
		"two ends": {func(p *partTracker) {
			for range 2 {
				p.now += 400 * ms
				p.crash(100*ms, "bad")
			}
		}, nil},
		"a first part that sound prompts share": {func(p *partTracker) {
			for range 4 {
				p.now += 400 * ms
				p.crash(100*ms, "sys", "bad")
				p.now += 100 * ms
				p.begin("sys")
			}
		}, []string{"bad"}},
		"overlapping attempts": {func(p *partTracker) {
			for range 12 {
				p.now += 150 * ms
				p.crash(400*ms, "sys", "bad")
				p.begin("sys")
			}
		}, []string{"bad"}},
		"all endpoints end at once": {func(p *partTracker) {
			p.now = time.Second
			for range 12 {
				p.crash(400*ms, "sys", "subject")
				p.now += ms
			}
			// Their prompts are sent again, and reach endpoints that are about to end too.
			p.now += 300 * ms
			for range 2 {
				p.crash(100*ms, "sys", "subject")
			}
		}, nil},
		"no prompt was sent since the first ends": {func(p *partTracker) {
			// Endpoints that are replaced at once; control counts their ends some time later.
			p.now = 3 * time.Second
			p.crashEnded(100*ms, 92*ms, "sys", "one")
			p.crashEnded(90*ms, 86*ms, "sys", "two")
			p.now += 720 * ms
			// None runs, and the list shows the end of one that fell silent before.
			p.crashEnded(2700*ms, 1640*ms, "sys", "three")
		}, nil},
		"one was sent since the first ends": {func(p *partTracker) {
			p.now = 3 * time.Second
			p.crashEnded(100*ms, 92*ms, "sys", "bad")
			p.crashEnded(90*ms, 86*ms, "sys", "bad")
			p.begin("sys")
			p.now += 720 * ms
			p.crashEnded(190*ms, 90*ms, "sys", "bad")
		}, []string{"bad"}},
		"always present beside the cause": {func(p *partTracker) {
			for range 4 {
				p.now += 400 * ms
				p.crash(100*ms, "twin", "bad")
			}
		}, nil},
		"always present beside the cause, five times": {func(p *partTracker) {
			for range 5 {
				p.now += 400 * ms
				p.crash(100*ms, "twin", "bad")
			}
		}, []string{"bad"}},
		"present at some of the crashes": {func(p *partTracker) {
			for i := range 8 {
				p.now += 400 * ms
				if i%4 == 0 {
					p.crash(100*ms, "bad")
				} else {
					p.crash(100*ms, "subject", "bad")
				}
			}
		}, []string{"bad"}},
		"two parts that crash endpoints": {func(p *partTracker) {
			for range 4 {
				p.now += 400 * ms
				p.crash(100*ms, "bad", "sys")
				p.begin("sys")
				p.now += 400 * ms
				p.crash(100*ms, "worse", "sys")
				p.begin("sys")
			}
		}, []string{"bad", "worse"}},
		"sound so far": {func(p *partTracker) {
			p.crash(0, "turned")
			p.begin("turned")
			for range 4 {
				p.now += 400 * ms
				p.crash(100*ms, "turned")
			}
		}, []string{"turned"}},
		"one endpoint that many entries report": {func(p *partTracker) {
			for i := range 5 {
				p.now += 400 * ms
				p.CrashTracker = p.Apply(limit.CrashCommand{Reports: []limit.CrashReport{{ID: fmt.Sprint(i), Fingerprint: "a", Endpoint: "w", Born: 1, Part: true}}}, start.Add(p.now))
			}
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPartTracker()
			c.play(p)
			check.Equal(t, "refused", p.refused(), c.want)
		})
	}
	t.Run("free after a response that begins", func(t *testing.T) {
		p := newPartTracker()
		for range 3 {
			p.now += 400 * ms
			p.crash(100*ms, "subject")
		}
		p.now += 11 * time.Second
		check.Equal(t, "due for a trial", p.Verdicts(start.Add(p.now)).Trial, []string{"subject"})
		p.begin("subject")
		check.Equal(t, "verdicts", p.Verdicts(start.Add(p.now)), limit.CrashVerdicts{})
	})
}

// TestExplainedCrashesDontCount guards against requests that are refused because they were in flight beside the cause.
func TestExplainedCrashesDontCount(t *testing.T) {
	p := newPartTracker()
	report := func(n int) limit.CrashCommand {
		return limit.CrashCommand{Reports: []limit.CrashReport{{ID: fmt.Sprint("r", n), Fingerprint: "request", Endpoint: fmt.Sprint("w", n), Born: int64(n)}}}
	}
	for i := range 3 {
		p.now += 400 * time.Millisecond
		p.CrashTracker = p.Apply(report(i+1), start.Add(p.now))
		p.crash(100*time.Millisecond, "bad")
	}
	check.Equal(t, "refused while both explain as much", p.refused(), []string{"request"})
	p.now += 400 * time.Millisecond
	p.crash(100*time.Millisecond, "bad")
	check.Equal(t, "refused once the part explains more", p.refused(), []string{"bad"})
	check.Equal(t, "crashes of the request", p.Crashes("request"), 0)
	p.now += 400 * time.Millisecond
	p.crash(100*time.Millisecond, "bad")
	for i := range 3 {
		p.now += 400 * time.Millisecond
		p.CrashTracker = p.Apply(report(9+i), start.Add(p.now))
		if i == 0 {
			check.Equal(t, "crashes of the request elsewhere", p.Crashes("request"), 1)
		}
	}
	check.Equal(t, "refused once the request explains more", p.refused(), []string{"request"})
}

// TestPartAmongThousands plays endpoints that end under prompts with one part, beside many sound ones whose responses
// begin a little later; no two requests are alike, and more are reported than are tracked.
func TestPartAmongThousands(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		p := newPartTracker()
		ended := 0
		for len(p.refused()) == 0 && ended < 20 {
			ended++
			p.now += time.Duration(50+r.IntN(300)) * time.Millisecond
			parts := []string{"sys", "bad"}
			for range 5 {
				parts = append(parts, fmt.Sprint("subject-", r.IntN(40)))
			}
			for i := range 300 {
				parts = append(parts, fmt.Sprint("own-", ended, "-", i))
			}
			p.crash(time.Duration(100+r.IntN(400))*time.Millisecond, parts...)
			begun := []string{"sys"}
			for range 8 {
				begun = append(begun, fmt.Sprint("subject-", r.IntN(40)))
			}
			p.begin(begun...)
		}
		check.Equal(t, fmt.Sprint("refused, seed ", seed), p.refused(), []string{"bad"})
		check.Equal(t, "endpoints ended", ended <= 16, true)
	}
}

// TestQuarantinedPartOfSuspects guards against requests that differ in all but a quarantined part and run each as its own
// content: they must be refused, and run in isolation, as one.
func TestQuarantinedPartOfSuspects(t *testing.T) {
	s, _ := limit.NewSuspects().Apply(limit.Command{Op: limit.OpQuarantine, Account: "a", Fingerprints: []string{"bad"}, At: start})
	parts := []string{"sys", "bad"}
	suspected := s.PrintOf("a", "own", parts, start)
	check.Equal(t, "print of a request with the part", suspected, "bad")
	verdict, _ := s.Check("a", suspected, start)
	check.Equal(t, "verdict", verdict, limit.Refuse)
	check.Equal(t, "print of another account's", s.PrintOf("b", "own", parts, start), "own")
	check.Equal(t, "print of a sound request", s.PrintOf("a", "own", parts[:1], start), "own")
	later := start.Add(limit.QuarantineTime + time.Second)
	s, verdict = s.Apply(limit.Command{Op: limit.OpIsolatedRun, Account: "a", Fingerprints: []string{suspected}, Holder: "h", At: later})
	check.Equal(t, "after the quarantine", verdict, limit.RunIsolated)
	verdict, _ = s.Check("a", s.PrintOf("a", "another", parts, later), later)
	check.Equal(t, "another request with the part meanwhile", verdict, limit.WaitForIsolatedRun)
	s, _ = s.Apply(limit.Command{Op: limit.OpClear, Account: "a", Fingerprints: []string{suspected}, Holder: "h", At: later})
	check.Equal(t, "print after a run without a crash", s.PrintOf("a", "own", parts, later), "own")
}
