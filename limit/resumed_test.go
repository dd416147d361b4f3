package limit_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
)

// TestResumedStreamIsNotBlamed guards against a stream that is blamed for the ends of endpoints behind which it went on
// elsewhere, and against one that ends endpoint after endpoint and is never blamed.
func TestResumedStreamIsNotBlamed(t *testing.T) {
	const began, resumed, stuck = false, true, false
	for name, c := range map[string]struct {
		ends  []bool
		count int
	}{
		"endpoints end under a stream that goes on": {[]bool{began, resumed, resumed, resumed}, 1},
		"it is stuck where it was resumed":          {[]bool{began, resumed, stuck, stuck}, 3},
		"it goes on once it was stuck":              {[]bool{began, stuck, resumed}, 1},
		"it goes on, and ends too many":             {[]bool{began, resumed, resumed, resumed, resumed}, 5},
		"it never goes on":                          {[]bool{began, stuck, stuck}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			b := limit.NewCrashTracker()
			var reports []limit.CrashReport
			for i, resumed := range c.ends {
				r := limit.CrashReport{ID: fmt.Sprint(i), Fingerprint: "a", Endpoint: fmt.Sprint("w", i), Born: int64(i + 1), Resumed: resumed}
				b = b.Apply(limit.CrashCommand{Reports: []limit.CrashReport{r}}, start.Add(time.Duration(i)*time.Second))
				// An entry counts by its clock.
				r.Clock, r.Start = "e", time.Duration(i)*time.Second
				reports = append(reports, r)
			}
			check.Equal(t, "count", b.Crashes("a"), c.count)
			check.Equal(t, "count of an entry", limit.CountInSequence(reports), c.count)
			check.Equal(t, "refused", len(b.Verdicts(start.Add(10*time.Second)).Refused) == 1, c.count >= limit.MaxAttributedCrashes)
			data, err := json.Marshal(b)
			check.NoError(t, err)
			restored := limit.NewCrashTracker()
			check.NoError(t, json.Unmarshal(data, restored))
			check.Equal(t, "count after a further end, from a snapshot", applyCrash(restored, "a", "w9", 9*time.Second).Crashes("a"), applyCrash(b, "a", "w9", 9*time.Second).Crashes("a"))
		})
	}
}
