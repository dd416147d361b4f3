package limit_test

import (
	"fmt"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
)

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
				b.Broke("a", at)
			}
			check.Equal(t, "refused", len(b.Refused(tc.at)) == 1, tc.refused)
		})
	}
	t.Run("bounded, newest records are kept", func(t *testing.T) {
		b := limit.NewCrashTracker()
		for i := range 10_000 {
			b.Broke(fmt.Sprint("x", i), time.Duration(i)*time.Millisecond)
		}
		b.Broke("a", 10*s)
		b.Broke("a", 12*s)
		check.Equal(t, "refused", b.Broke("a", 14*s), true)
	})
}
