package member_test

import (
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/member"
	"egretshunt/value"
)

// TestSilentNodeIsOverdueAfterLimit guards against nodes that are unregistered as soon as they miss one check.
func TestSilentNodeIsOverdueAfterLimit(t *testing.T) {
	began := time.Unix(1000, 0)
	s := member.NewSilence()
	overdue := func(after time.Duration, reporting ...string) []string {
		return s.Overdue([]string{"a", "b"}, value.SetOf(reporting...), time.Hour, began.Add(after))
	}
	check.Equal(t, "first check", overdue(0, "b"), []string(nil))
	check.Equal(t, "before the limit", overdue(59*time.Minute, "b"), []string(nil))
	check.Equal(t, "at the limit", overdue(time.Hour, "b"), []string{"a"})
	check.Equal(t, "after a report", overdue(2*time.Hour, "a"), []string(nil))
	check.Equal(t, "silent again", overdue(3*time.Hour-time.Second), []string(nil))
	check.Equal(t, "the other one", overdue(3*time.Hour, "a"), []string{"b"})
}
