package clock_test

import (
	"testing"

	"egretshunt/check"
	"egretshunt/clock"
)

func TestNowIsMonotonic(t *testing.T) {
	last := clock.Now()
	for range 1000 {
		now := clock.Now()
		check.Equal(t, "clock went backwards", now < last, false)
		last = now
	}
}
