package limit_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
)

// applyCrash reports one crash of one request after a time since start.
func applyCrash(t *limit.CrashTracker, fingerprint, endpoint string, at time.Duration) *limit.CrashTracker {
	report := limit.CrashReport{ID: fmt.Sprint(endpoint, at), Fingerprint: fingerprint, Endpoint: endpoint}
	return t.Apply(limit.CrashCommand{Entry: "e", Reports: []limit.CrashReport{report}}, start.Add(at))
}

// TestRetriedCrashCounts guards against a retry that ends a second endpoint at once and isn't counted, and against reports
// that count more than once.
func TestRetriedCrashCounts(t *testing.T) {
	const ms = time.Millisecond
	reportOf := func(id, endpoint string, born int64, at time.Duration) func(*limit.CrashTracker) *limit.CrashTracker {
		return func(t *limit.CrashTracker) *limit.CrashTracker {
			return t.Apply(limit.CrashCommand{Reports: []limit.CrashReport{{ID: id, Fingerprint: "a", Endpoint: endpoint, Born: born}}}, start.Add(at))
		}
	}
	report := func(id, endpoint string, at time.Duration) func(*limit.CrashTracker) *limit.CrashTracker {
		return reportOf(id, endpoint, 0, at)
	}
	aged := func(id, endpoint string, age, at time.Duration) func(*limit.CrashTracker) *limit.CrashTracker {
		return func(t *limit.CrashTracker) *limit.CrashTracker {
			return t.Apply(limit.CrashCommand{Reports: []limit.CrashReport{{ID: id, Fingerprint: "a", Endpoint: endpoint, Age: age}}}, start.Add(at))
		}
	}
	for name, tc := range map[string]struct {
		reports []func(*limit.CrashTracker) *limit.CrashTracker
		crashes int
	}{
		"an attempt and its retry":                             {[]func(*limit.CrashTracker) *limit.CrashTracker{report("1", "w0", 0), report("2", "w1", ms)}, 2},
		"two attempts in flight at one crash":                  {[]func(*limit.CrashTracker) *limit.CrashTracker{report("1", "w0", 0), report("2", "w0", 300*ms)}, 1},
		"an endpoint that keeps its ID crashes again":          {[]func(*limit.CrashTracker) *limit.CrashTracker{report("1", "w0", 0), report("2", "w0", 2000*ms)}, 2},
		"one end that two entries learn of at different times": {[]func(*limit.CrashTracker) *limit.CrashTracker{reportOf("1", "w0", 7, 0), reportOf("2", "w0", 7, 8000*ms)}, 1},
		"two incarnations under one ID":                        {[]func(*limit.CrashTracker) *limit.CrashTracker{reportOf("1", "w0", 7, 0), reportOf("2", "w0", 8, 8000*ms)}, 2},
		"equal requests in flight at endpoints that end together": {[]func(*limit.CrashTracker) *limit.CrashTracker{
			report("1", "w0", 300*ms), aged("2", "w1", 50*ms, 304*ms), aged("3", "w2", 400*ms, 600*ms), aged("4", "w3", 50*ms, 700*ms),
		}, 2},
		"a repeated report": {[]func(*limit.CrashTracker) *limit.CrashTracker{report("1", "w0", 0), report("1", "w0", 5000*ms)}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := limit.NewCrashTracker()
			for _, apply := range tc.reports {
				b = apply(b)
			}
			check.Equal(t, "crashes", b.Crashes("a"), tc.crashes)
		})
	}
}

func TestBlame(t *testing.T) {
	const s = time.Second
	for name, tc := range map[string]struct {
		// crashes are when endpoints failed under the request, at is when the request is checked.
		crashes        []time.Duration
		at             time.Duration
		refused, trial bool
	}{
		"crashes in sequence":               {[]time.Duration{0, 3 * s, 6 * s}, 7 * s, true, false},
		"two crashes":                       {[]time.Duration{0, 3 * s}, 4 * s, false, false},
		"three endpoints end at once":       {[]time.Duration{0, s / 10, s / 5}, s, true, false},
		"crashes far apart":                 {[]time.Duration{0, 70 * s, 140 * s}, 141 * s, true, false},
		"a day apart":                       {[]time.Duration{0, 25 * 3600 * s, 50 * 3600 * s}, 51 * 3600 * s, false, false},
		"due for a trial":                   {[]time.Duration{0, 3 * s, 6 * s}, 17 * s, false, true},
		"never free by time alone":          {[]time.Duration{0, 3 * s, 6 * s}, 1000 * 3600 * s, false, true},
		"an attempt from before":            {[]time.Duration{0, 3 * s, 6 * s, 7 * s}, 17 * s, false, true},
		"refused again after a trial":       {[]time.Duration{0, 3 * s, 6 * s, 60 * s}, 600 * s, true, false},
		"refused longer after a second one": {[]time.Duration{0, 3 * s, 6 * s, 60 * s, 700 * s}, 20 * 3600 * s, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := limit.NewCrashTracker()
			for i, at := range tc.crashes {
				b = applyCrash(b, "a", fmt.Sprint("w", i), at)
			}
			v := b.Verdicts(start.Add(tc.at))
			check.Equal(t, "refused", len(v.Refused) == 1, tc.refused)
			check.Equal(t, "due for a trial", len(v.Trial) == 1, tc.trial)
		})
	}
	t.Run("free after a run that completes", func(t *testing.T) {
		b := limit.NewCrashTracker()
		for i := range limit.MaxAttributedCrashes {
			b = applyCrash(b, "a", fmt.Sprint("w", i), time.Duration(i)*s)
		}
		b = b.Apply(limit.CrashCommand{Completed: []string{"a"}}, start.Add(time.Minute))
		check.Equal(t, "verdicts", b.Verdicts(start.Add(time.Minute)), limit.CrashVerdicts{})
		check.Equal(t, "crashes", b.Crashes("a"), 0)
	})
	t.Run("bounded, newest records are kept", func(t *testing.T) {
		b := limit.NewCrashTracker()
		for i := range 10_000 {
			b = applyCrash(b, fmt.Sprint("x", i), "w0", time.Duration(i)*time.Millisecond)
		}
		b = applyCrash(applyCrash(applyCrash(b, "a", "w1", 10*s), "a", "w2", 12*s), "a", "w3", 14*s)
		check.Equal(t, "refused", b.Verdicts(start.Add(15*s)).Refused, []string{"a"})
	})
	t.Run("kept in a snapshot", func(t *testing.T) {
		b := applyCrash(applyCrash(limit.NewCrashTracker(), "a", "w1", 0), "a", "w2", 2*s)
		data, err := json.Marshal(b)
		check.NoError(t, err)
		restored := limit.NewCrashTracker()
		check.NoError(t, json.Unmarshal(data, restored))
		check.Equal(t, "watched", restored.Verdicts(start.Add(3*s)).Watched, []string{"a"})
		check.Equal(t, "refused after a third", applyCrash(restored, "a", "w3", 4*s).Verdicts(start.Add(5*s)).Refused, []string{"a"})
		check.Equal(t, "the published tracker is unchanged", b.Crashes("a"), 2)
	})
}

// TestOlderCrashRecords guards against quarantines that end with an upgrade: former versions dated the ends of attempts only, and
// marked those that don't count.
func TestOlderCrashRecords(t *testing.T) {
	const older = `[{"print":"a","count":3,"trial":"1970-01-12T13:46:50Z","crashes":[
 {"report":"1","endpoint":"w1","born":1,"at":"1970-01-12T13:46:40Z"},{"report":"2","endpoint":"w2","born":2,"at":"1970-01-12T13:46:42Z"},
 {"report":"3","endpoint":"w3","born":3,"at":"1970-01-12T13:46:44Z"}]},
 {"print":"b","count":1,"crashes":[{"report":"4","endpoint":"w1","born":1,"at":"1970-01-12T13:46:40Z"},
 {"report":"5","endpoint":"w4","born":4,"at":"1970-01-12T13:46:41Z","beside":true}]}]`
	b := limit.NewCrashTracker()
	check.NoError(t, json.Unmarshal([]byte(older), b))
	check.Equal(t, "refused", b.Verdicts(start.Add(time.Second)).Refused, []string{"a"})
	b = applyCrash(b, "c", "w9", 5*time.Second)
	check.Equal(t, "refused after another report", b.Verdicts(start.Add(6*time.Second)).Refused, []string{"a"})
	check.Equal(t, "crashes that count", b.Crashes("b"), 0)
}

// BenchmarkCrashTrackerApply measures one report against a full tracker, and the verdicts that each sync needs.
func BenchmarkCrashTrackerApply(b *testing.B) {
	full := limit.NewCrashTracker()
	var c limit.CrashCommand
	for i := range 4096 {
		c.Reports = append(c.Reports, limit.CrashReport{ID: fmt.Sprint("entry-1/18ab/", i), Fingerprint: fmt.Sprintf("%032x", i), Endpoint: "i-24c7350d06", Born: int64(i + 1)})
	}
	full = full.Apply(c, start)
	b.Run("one report", func(b *testing.B) {
		for b.Loop() {
			full.Apply(limit.CrashCommand{Reports: c.Reports[:1]}, start)
		}
	})
	b.Run("verdicts", func(b *testing.B) {
		for b.Loop() {
			full.Verdicts(start)
		}
	})
}

// TestRepeatThroughAnotherEntryCounts guards against a repeat that its client sends at once through another entry: group time dates the
// ends that two entries report some milliseconds off, and the two attempts counted as one.
func TestRepeatThroughAnotherEntryCounts(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		// began is when the second attempt began by group time, after the first had ended.
		began time.Duration
		want  int
	}{
		"as dated":                          {2 * ms, 2},
		"a little early by group time":      {-3 * ms, 2},
		"in flight for long at that moment": {-40 * ms, 1},
	} {
		t.Run(name, func(t *testing.T) {
			first := limit.CrashReport{ID: "1", Fingerprint: "a", Endpoint: "w0", Age: 130 * ms, Ended: 120 * ms, Clock: "e0", Start: time.Hour}
			second := limit.CrashReport{ID: "2", Fingerprint: "a", Endpoint: "w1", Age: 120*ms - c.began, Ended: 60 * ms, Clock: "e1", Start: time.Minute}
			b := limit.NewCrashTracker().Apply(limit.CrashCommand{Reports: []limit.CrashReport{first}}, start)
			b = b.Apply(limit.CrashCommand{Reports: []limit.CrashReport{second}}, start)
			check.Equal(t, "crashes", b.Crashes("a"), c.want)
		})
	}
}
