package clock_test

import (
	"testing"

	"egretshunt/check"
	"egretshunt/clock"
)

func TestNeverFalls(t *testing.T) {
	last := clock.Now()
	for range 1000 {
		now := clock.Now()
		check.Equal(t, "falls", now < last, false)
		last = now
	}
}
