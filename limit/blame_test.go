package limit_test

import (
	"fmt"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
)

// crashPlay plays ends of endpoints under requests and parts of prompts against a tracker.
type crashPlay struct {
	*limit.CrashTracker
	now   time.Duration
	ended int
}

func newCrashPlay() *crashPlay { return &crashPlay{CrashTracker: limit.NewCrashTracker()} }

// end ends one more endpoint, under requests and parts whose attempts have run for a while.
func (p *crashPlay) end(requests, parts []string) {
	p.ended++
	var c limit.CrashCommand
	add := func(name string, part bool) {
		c.Reports = append(c.Reports, limit.CrashReport{
			ID: fmt.Sprint(p.ended, name), Fingerprint: name, Endpoint: fmt.Sprint("w", p.ended), Born: int64(p.ended), Part: part, Age: 50 * time.Millisecond,
		})
	}
	for _, part := range parts {
		add(part, true)
	}
	for _, request := range requests {
		add(request, false)
	}
	p.CrashTracker = p.Apply(c, start.Add(p.now))
}

func (p *crashPlay) refused() []string { return p.Verdicts(start.Add(p.now)).Refused }

// TestRequestBesidePartIsBlamed guards against a request that ends endpoint after endpoint while a part of sound prompts in
// flight there takes the blame: the request was sent again.
func TestRequestBesidePartIsBlamed(t *testing.T) {
	t.Run("as many ends", func(t *testing.T) {
		p := newCrashPlay()
		for range limit.MaxAttributedCrashes {
			p.now += 3 * time.Second
			p.end([]string{"bad"}, []string{"subject"})
		}
		check.Equal(t, "refused", p.refused(), []string{"bad"})
	})
	t.Run("the part was present at one more", func(t *testing.T) {
		p := newCrashPlay()
		p.now += 3 * time.Second
		p.end(nil, []string{"subject"})
		for len(p.refused()) == 0 || p.refused()[0] != "bad" {
			p.now += 3 * time.Second
			// Prompts with a refused part aren't sent.
			beside := []string{"subject"}
			if len(p.refused()) > 0 {
				beside = nil
			}
			p.end([]string{"bad"}, beside)
			if p.ended > limit.MaxAttributedCrashes+3 {
				t.Fatalf("%d endpoints ended, and the request isn't refused: %v", p.ended, p.refused())
			}
		}
	})
}

// TestRequestWithLongAttemptsIsBlamed guards against the part that takes the blame because prompts with it were sent to the same
// endpoints later: its attempts overlap less, though it was present at no other end.
func TestRequestWithLongAttemptsIsBlamed(t *testing.T) {
	p := newCrashPlay()
	for i := range limit.MaxAttributedCrashes + 1 {
		p.now += 3 * time.Second
		p.ended++
		report := func(name string, part bool, age time.Duration) limit.CrashReport {
			return limit.CrashReport{ID: fmt.Sprint(p.ended, name), Fingerprint: name, Endpoint: fmt.Sprint("w", p.ended), Born: int64(p.ended), Part: part, Age: age}
		}
		age := time.Second
		if i == 1 {
			// The endpoint was silent for a while before its end showed.
			age = 3100 * time.Millisecond
		}
		reports := []limit.CrashReport{report("subject", true, 50*time.Millisecond), report("bad", false, age)}
		p.CrashTracker = p.Apply(limit.CrashCommand{Reports: reports}, start.Add(p.now))
	}
	check.Equal(t, "refused", p.refused(), []string{"bad"})
}

// TestPartIsBlamedForDifferentPrompts guards against prompts with one part of which each ends as many endpoints as its own
// retries allow, because only the prompt is blamed.
func TestPartIsBlamedForDifferentPrompts(t *testing.T) {
	p := newCrashPlay()
	for i := range 3 {
		for range limit.MaxAttributedCrashes {
			p.now += 150 * time.Millisecond
			p.end([]string{fmt.Sprint("prompt-", i)}, []string{"bad"})
			if len(p.refused()) > 0 && p.refused()[0] == "bad" {
				check.Equal(t, "endpoints ended", p.ended <= limit.MaxAttributedCrashes+1, true)
				return
			}
		}
	}
	t.Fatalf("%d endpoints ended, refused: %v", p.ended, p.refused())
}
