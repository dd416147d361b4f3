package member_test

import (
	"fmt"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/member"
)

var start = time.Unix(5000, 0)

// Guards against gray failures: an endpoint fails two of five requests while its health check
// succeeds.
func TestGradeEjectsGrayFailure(t *testing.T) {
	var g member.OutlierDetector
	ejectedAt := -1
	for i := range 40 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		if g.RecordOutcome(now, i%5 < 2) && ejectedAt < 0 {
			ejectedAt = i
		}
	}
	check.Equal(t, "ejected within 1.5 s", ejectedAt >= 0 && ejectedAt < 15, true)
}

func TestGradeToleratesBackgroundFailures(t *testing.T) {
	var g member.OutlierDetector
	for i := range 400 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		check.Equal(t, "ejected", g.RecordOutcome(now, i%7 == 0), false)
	}
}

func TestGradeProbesAfterEjection(t *testing.T) {
	var g member.OutlierDetector
	for range 3 {
		g.RecordOutcome(start, true)
	}
	check.Equal(t, "fit while ejected", g.Fit(start.Add(time.Second)), false)
	firstProbe := start.Add(2 * time.Second)
	check.Equal(t, "fit for a probe", g.Fit(firstProbe), true)
	g.RecordSent(firstProbe)
	check.Equal(t, "fit for a second probe", g.Fit(firstProbe), false)
	check.Equal(t, "ejected by the failed probe", g.RecordOutcome(firstProbe, true), true)
	check.Equal(t, "fit during the doubled ejection", g.Fit(firstProbe.Add(2*time.Second)), false)
	secondProbe := firstProbe.Add(4 * time.Second)
	g.RecordSent(secondProbe)
	g.RecordOutcome(secondProbe, false)
	check.Equal(t, "fit after a successful probe", g.Fit(secondProbe), true)
}

func TestGradeProbeWithoutOutcome(t *testing.T) {
	var g member.OutlierDetector
	for range 3 {
		g.RecordOutcome(start, true)
	}
	firstProbe := start.Add(2 * time.Second)
	g.RecordSent(firstProbe)
	g.RecordNoOutcome()
	check.Equal(t, "fit for another probe", g.Fit(firstProbe), true)
}

func TestCondemnedNeedsVotes(t *testing.T) {
	for _, c := range []struct {
		votes, entries int
		want           bool
	}{{0, 6, false}, {1, 1, false}, {1, 6, false}, {2, 6, true}, {2, 5, true}, {2, 22, false}, {8, 22, true}} {
		check.Equal(t, "condemned", member.EjectedByVotes(c.votes, c.entries), c.want)
	}
}

func TestSilentEndpoints(t *testing.T) {
	for name, c := range map[string]struct {
		missed map[string]int
		want   []string
	}{
		"all respond":              {map[string]int{"a": 0, "b": 0, "c": 0}, nil},
		"one call lost":            {map[string]int{"a": 1, "b": 0, "c": 0}, nil},
		"two engines lose power":   {map[string]int{"a": 2, "b": 5, "c": 0, "d": 0, "e": 0}, []string{"a", "b"}},
		"the caller is cut off":    {map[string]int{"a": 2, "b": 2, "c": 0}, nil},
		"no endpoint is monitored": {nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			check.Equal(t, "silent endpoints", fmt.Sprint(member.Silent(c.missed).Sorted()), fmt.Sprint(c.want))
		})
	}
}
