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
func applyCrash(t *limit.CrashTracker, fingerprint string, at time.Duration) *limit.CrashTracker {
	return t.Apply(limit.CrashCommand{Entry: "e", Fingerprints: []string{fingerprint}}, start.Add(at))
}

func TestBlame(t *testing.T) {
	const s = time.Second
	for name, tc := range map[string]struct {
		// crashes are when endpoints failed under the request, at is when the request is checked.
		crashes []time.Duration
		at      time.Duration
		refused bool
	}{
		"crashes in sequence":                {[]time.Duration{0, 3 * s, 6 * s}, 7 * s, true},
		"two crashes":                        {[]time.Duration{0, 3 * s}, 4 * s, false},
		"many endpoints fail at once":        {[]time.Duration{0, s / 10, s / 5, s / 2}, s, false},
		"crashes far apart":                  {[]time.Duration{0, 70 * s, 140 * s, 210 * s}, 211 * s, false},
		"still refused":                      {[]time.Duration{0, 3 * s, 6 * s}, 65 * s, true},
		"allowed after the refusal ends":     {[]time.Duration{0, 3 * s, 6 * s}, 67 * s, false},
		"refused again after one more crash": {[]time.Duration{0, 3 * s, 6 * s, 66 * s}, 67 * s, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := limit.NewCrashTracker()
			for _, at := range tc.crashes {
				b = applyCrash(b, "a", at)
			}
			check.Equal(t, "refused", len(b.Refused(start.Add(tc.at))) == 1, tc.refused)
		})
	}
	t.Run("bounded, newest records are kept", func(t *testing.T) {
		b := limit.NewCrashTracker()
		for i := range 10_000 {
			b = applyCrash(b, fmt.Sprint("x", i), time.Duration(i)*time.Millisecond)
		}
		b = applyCrash(applyCrash(applyCrash(b, "a", 10*s), "a", 12*s), "a", 14*s)
		check.Equal(t, "refused", b.Refused(start.Add(15*s)), []string{"a"})
	})
	t.Run("kept in a snapshot", func(t *testing.T) {
		b := applyCrash(applyCrash(limit.NewCrashTracker(), "a", 0), "a", 2*s)
		data, err := json.Marshal(b)
		check.NoError(t, err)
		restored := limit.NewCrashTracker()
		check.NoError(t, json.Unmarshal(data, restored))
		check.Equal(t, "refused after a third", applyCrash(restored, "a", 4*s).Refused(start.Add(5*s)), []string{"a"})
		check.Equal(t, "the published tracker is unchanged", b.Crashes("a"), 2)
	})
}
