package member_test

import (
	"fmt"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/member"
)

var day = time.Unix(5000, 0)

// An endpoint fails two of five requests while its health check is good.
func TestGradeFindsAGreyEndpoint(t *testing.T) {
	var g member.Grade
	found := -1
	for i := range 40 {
		now := day.Add(time.Duration(i) * 100 * time.Millisecond)
		if g.Note(now, i%5 < 2) && found < 0 {
			found = i
		}
	}
	check.Equal(t, "found within a second and a half", found >= 0 && found < 15, true)
}

func TestGradeBearsNaturalFailures(t *testing.T) {
	var g member.Grade
	for i := range 400 {
		now := day.Add(time.Duration(i) * 100 * time.Millisecond)
		check.Equal(t, "unfit", g.Note(now, i%7 == 0), false)
	}
}

func TestGradeTriesAgain(t *testing.T) {
	var g member.Grade
	for range 3 {
		g.Note(day, true)
	}
	check.Equal(t, "banned", g.Fit(day.Add(time.Second)), false)
	later := day.Add(2 * time.Second)
	check.Equal(t, "one trial", g.Fit(later), true)
	g.Sent(later)
	check.Equal(t, "not two", g.Fit(later), false)
	check.Equal(t, "failed trial", g.Note(later, true), true)
	check.Equal(t, "banned for longer", g.Fit(later.Add(2*time.Second)), false)
	again := later.Add(4 * time.Second)
	g.Sent(again)
	g.Note(again, false)
	check.Equal(t, "well again", g.Fit(again), true)
}

func TestGradeTrialWithoutOutcome(t *testing.T) {
	var g member.Grade
	for range 3 {
		g.Note(day, true)
	}
	later := day.Add(2 * time.Second)
	g.Sent(later)
	g.Drop()
	check.Equal(t, "free for another trial", g.Fit(later), true)
}

func TestCondemned(t *testing.T) {
	for _, c := range []struct {
		votes, entries int
		want           bool
	}{{0, 6, false}, {1, 1, false}, {1, 6, false}, {2, 6, true}, {2, 5, true}, {2, 22, false}, {8, 22, true}} {
		check.Equal(t, "condemned", member.Condemned(c.votes, c.entries), c.want)
	}
}

func TestSilent(t *testing.T) {
	for name, c := range map[string]struct {
		missed map[string]int
		want   []string
	}{
		"all answer":             {map[string]int{"a": 0, "b": 0, "c": 0}, nil},
		"one call lost":          {map[string]int{"a": 1, "b": 0, "c": 0}, nil},
		"two engines lose power": {map[string]int{"a": 2, "b": 5, "c": 0, "d": 0, "e": 0}, []string{"a", "b"}},
		"the caller is cut off":  {map[string]int{"a": 2, "b": 2, "c": 0}, nil},
		"nobody is followed":     {nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			check.Equal(t, "silent", fmt.Sprint(member.Silent(c.missed).Sorted()), fmt.Sprint(c.want))
		})
	}
}
