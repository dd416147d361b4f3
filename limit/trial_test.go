package limit_test

import (
	"fmt"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
)

// TestTrialsOfTwoEntriesAreApart guards against a second trial before the end of an endpoint under the first one can show.
func TestTrialsOfTwoEntriesAreApart(t *testing.T) {
	entries := []string{"e0", "e1", "e2"}
	holder, lastAt := "", time.Time{}
	seen := map[string]bool{}
	for second := range 3600 {
		now := start.Add(time.Duration(second) * time.Second)
		entry, ok := limit.TrialEntry("bad", entries, now).Get()
		if !ok {
			continue
		}
		if entry != holder && holder != "" && now.Sub(lastAt) < 15*time.Second {
			t.Fatalf("%s may start a trial %v after %s", entry, now.Sub(lastAt), holder)
		}
		holder, lastAt = entry, now
		seen[entry] = true
	}
	check.Equal(t, "entries that had the right within an hour", len(seen), len(entries))
	_, ok := limit.TrialEntry("bad", nil, start).Get()
	check.Equal(t, "without entries", ok, false)
}

// TestQuarantinedRequestOutlivesOthers guards against a quarantine that ends because many requests are in flight at crashes.
func TestQuarantinedRequestOutlivesOthers(t *testing.T) {
	t.Run("without agents", func(t *testing.T) {
		b := limit.NewCrashTracker()
		var others limit.CrashCommand
		for i := range limit.MaxAttributedCrashes {
			b = applyCrash(b, "bad", fmt.Sprint("w", i), 0)
		}
		for i := range 5000 {
			others.Reports = append(others.Reports, limit.CrashReport{ID: fmt.Sprint(i), Fingerprint: fmt.Sprint("x", i), Endpoint: "w9"})
		}
		b = b.Apply(others, start.Add(time.Second))
		check.Equal(t, "refused", b.Verdicts(start.Add(time.Second)).Refused, []string{"bad"})
	})
	t.Run("with agents", func(t *testing.T) {
		s := limit.NewSuspects()
		for i := range limit.QuarantineCrashes {
			s, _ = s.Apply(limit.Command{Op: limit.OpCrash, Account: "a", Fingerprints: []string{"bad"}, Crash: fmt.Sprint(i), At: start})
		}
		var others []string
		for i := range 2500 {
			others = append(others, fmt.Sprint("x", i))
		}
		s, _ = s.Apply(limit.Command{Op: limit.OpCrash, Account: "a", Fingerprints: others, Crash: "9", At: start.Add(time.Second)})
		v, _ := s.Check("a", "bad", start.Add(time.Second))
		check.Equal(t, "verdict", v, limit.Refuse)
	})
}
