package limit_test

import (
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
)

func TestUnansweredRuns(t *testing.T) {
	const s = time.Second
	same := limit.ListedEndpoint{Listed: true, Born: 1}
	for name, tc := range map[string]struct {
		// later is what the list says after each time.
		later map[time.Duration]limit.ListedEndpoint
		ended bool
	}{
		"gone from the list":            {map[time.Duration]limit.ListedEndpoint{s: same, 4 * s: {}}, true},
		"another incarnation":           {map[time.Duration]limit.ListedEndpoint{s: same, 4 * s: {Listed: true, Born: 2}}, true},
		"still listed":                  {map[time.Duration]limit.ListedEndpoint{s: same, 9 * s: same}, false},
		"ends much later":               {map[time.Duration]limit.ListedEndpoint{s: same, 11 * s: same, 12 * s: {}}, false},
		"drains, then is taken away":    {map[time.Duration]limit.ListedEndpoint{s: {Listed: true, Draining: true, Born: 1}, 4 * s: {}}, false},
		"gone when the run is recorded": {map[time.Duration]limit.ListedEndpoint{0: {}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var u limit.UnansweredRuns
			u.Add(limit.UnansweredRun{Report: limit.CrashReport{Fingerprint: "a", Endpoint: "w", Born: 1}, At: start})
			ended := 0
			for at := range 20 {
				if e, ok := tc.later[time.Duration(at)*s]; ok {
					ended += len(u.Ended(start.Add(time.Duration(at)*s), func(string) limit.ListedEndpoint { return e }))
				}
			}
			check.Equal(t, "attributed", ended == 1, tc.ended)
		})
	}
	t.Run("bounded, newest runs are kept", func(t *testing.T) {
		var u limit.UnansweredRuns
		for i := range 5000 {
			u.Add(limit.UnansweredRun{Report: limit.CrashReport{Endpoint: "w", Born: int64(i)}, At: start})
		}
		ended := u.Ended(start, func(string) limit.ListedEndpoint { return limit.ListedEndpoint{} })
		check.Equal(t, "newest", ended[len(ended)-1].Report.Born, int64(4999))
		check.Equal(t, "bounded", len(ended) < 5000, true)
	})
	t.Run("cleared by a sound run, after some have ended or were evicted", func(t *testing.T) {
		var u limit.UnansweredRuns
		run := func(fingerprint, endpoint string) {
			u.Add(limit.UnansweredRun{Report: limit.CrashReport{Fingerprint: fingerprint, Endpoint: endpoint, Born: 1}, At: start})
		}
		listed := map[string]limit.ListedEndpoint{"w1": same, "w2": same}
		look := func(id string) limit.ListedEndpoint { return listed[id] }
		run("evicted", "w1")
		for range 5000 {
			run("a", "w1")
		}
		run("a", "w2")
		run("b", "w2")
		delete(listed, "w1")
		check.Equal(t, "ended at the first endpoint", len(u.Ended(start, look)) > 0, true)
		u.Clear("evicted")
		u.Clear("a")
		delete(listed, "w2")
		ended := u.Ended(start, look)
		check.Equal(t, "ended at the second endpoint", []any{len(ended), ended[0].Report.Fingerprint}, []any{1, "b"})
		check.Equal(t, "empty", u.Empty(), true)
	})
}
