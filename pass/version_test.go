package pass

import (
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/member"
)

// TestMoreRecentVersionCounts guards against a listed version that counts more than a response after it, and against a lagging
// list that counts more than a response with newer weights just before it.
func TestMoreRecentVersionCounts(t *testing.T) {
	for name, c := range map[string]struct {
		// former is the version that the list showed before listed; zero if it showed none.
		former, observed, listed uint64
		// age is how long before the list showed the version the response came, below zero for one that came after.
		age  time.Duration
		want uint64
	}{
		"response after the list, newer":      {3, 4, 3, -time.Second, 4},
		"response after the list, older":      {3, 2, 3, -time.Second, 2},
		"list after the response, newer":      {3, 3, 4, time.Second, 4},
		"list after the response, lags":       {3, 5, 4, time.Second, 5},
		"list long after the response, older": {5, 5, 4, 2 * relistTime, 4},
		"list after the response, went back":  {5, 3, 4, time.Second, 4},
		"no response":                         {0, 0, 4, 0, 4},
	} {
		t.Run(name, func(t *testing.T) {
			s := &endpointState{versions: map[string]observedVersion{}}
			to := &member.Endpoint{Weights: map[string]uint64{"m": c.former}}
			s.version(to, "m")
			if c.observed > 0 {
				s.observeVersion("m", c.observed, time.Now().Add(-c.age))
			}
			to.Weights = map[string]uint64{"m": c.listed}
			check.Equal(t, "version", s.version(to, "m"), c.want)
		})
	}
}
