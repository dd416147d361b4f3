package limit_test

import (
	"slices"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
)

func TestAdmit(t *testing.T) {
	ms := time.Millisecond
	for name, c := range map[string]struct {
		times limit.AdmissionTimes
		want  limit.Admission
	}{
		"idle":                            {limit.AdmissionTimes{Goal: 400 * ms, Patience: 2000 * ms, FirstToken: 50 * ms, LateFirstToken: 50 * ms}, limit.OnTime},
		"urgent work queued":              {limit.AdmissionTimes{Goal: 400 * ms, Patience: 2000 * ms, FirstToken: 500 * ms, LateFirstToken: 900 * ms}, limit.Late},
		"less urgent work does not delay": {limit.AdmissionTimes{Goal: 400 * ms, Patience: 2000 * ms, FirstToken: 100 * ms, LateFirstToken: 9000 * ms}, limit.OnTime},
		"client would disconnect":         {limit.AdmissionTimes{Goal: 400 * ms, Patience: 2000 * ms, FirstToken: 500 * ms, LateFirstToken: 2500 * ms}, limit.TooLate},
		"objective already missed":        {limit.AdmissionTimes{Goal: -ms, Patience: 500 * ms, FirstToken: 10 * ms, LateFirstToken: 100 * ms}, limit.Late},
		"patience nearly used up":         {limit.AdmissionTimes{Goal: -ms, Patience: 50 * ms, FirstToken: 10 * ms, LateFirstToken: 100 * ms}, limit.TooLate},
	} {
		t.Run(name, func(t *testing.T) {
			got, retryAfter := limit.Admit(c.times)
			check.Equal(t, "admission", got, c.want)
			check.Equal(t, "has a retry delay", retryAfter > 0, c.want == limit.TooLate)
		})
	}
}

// admitAll replays arrivals at one engine in virtual time; each costs the same work. It returns
// how many were on time, late and rejected.
func admitAll(arrivals int, interval, work, goal, patience time.Duration) (onTime, late, rejected int) {
	var onTimeWork, lateWork time.Duration // queued work by urgency
	for range arrivals {
		times := limit.AdmissionTimes{Goal: goal, Patience: patience, FirstToken: onTimeWork + work, LateFirstToken: onTimeWork + lateWork + work}
		switch got, _ := limit.Admit(times); got {
		case limit.OnTime:
			onTimeWork += work
			onTime++
		case limit.Late:
			lateWork += work
			late++
		default:
			rejected++
		}
		left := interval
		done := min(left, onTimeWork)
		onTimeWork -= done
		lateWork -= min(left-done, lateWork)
	}
	return onTime, late, rejected
}

// Guards against first-come, first-served admission: in a burst of twice the engine's capacity it
// would make all requests late, while half can be on time.
func TestAdmitBurstKeepsHalfOnTime(t *testing.T) {
	onTime, late, rejected := admitAll(1000, 10*time.Millisecond, 20*time.Millisecond, 400*time.Millisecond, 2*time.Second)
	check.Equal(t, "about half are on time", onTime > 480 && onTime < 540, true)
	check.Equal(t, "the others are late or rejected", late+rejected, 1000-onTime)
	check.Equal(t, "few late requests are admitted", late < 150, true)
}

func TestAdmitRejectsNoneBelowCapacity(t *testing.T) {
	onTime, late, rejected := admitAll(1000, 20*time.Millisecond, 18*time.Millisecond, 400*time.Millisecond, 2*time.Second)
	check.Equal(t, "on time, late and rejected", []int{onTime, late, rejected}, []int{1000, 0, 0})
}

func TestLevelOrder(t *testing.T) {
	const shortGoal, longGoal = 400 * time.Millisecond, time.Second
	check.Equal(t, "late requests come after all on-time ones", limit.UrgencyLevel(0, shortGoal, true) > limit.UrgencyLevel(9, longGoal, false), true)
	check.Equal(t, "lower rank first", limit.UrgencyLevel(0, longGoal, false) < limit.UrgencyLevel(1, shortGoal, false), true)
	check.Equal(t, "short objective first", limit.UrgencyLevel(1, shortGoal, false) < limit.UrgencyLevel(1, longGoal, false), true)
	for rank := -1; rank < 12; rank++ {
		for _, late := range []bool{false, true} {
			for _, goal := range []time.Duration{0, shortGoal, longGoal} {
				level := limit.UrgencyLevel(rank, goal, late)
				check.Equal(t, "level is in range", level >= 0 && level < limit.UrgencyLevels, true)
			}
		}
	}
}

// Guards against short prompts queueing behind long ones. Four long prompts arrive at once every
// second and short ones continuously, at nine tenths of the engine's capacity; in order of arrival
// each burst makes short prompts late.
func TestLevelKeepsShortPromptsOnTime(t *testing.T) {
	type prompt struct {
		at, work, goal time.Duration
		level          int
	}
	var queue []prompt
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		queue = append(queue, prompt{at, 10 * time.Millisecond, 400 * time.Millisecond, limit.UrgencyLevel(1, 400*time.Millisecond, false)})
		if at%time.Second == 0 {
			for range 4 {
				queue = append(queue, prompt{at, 200 * time.Millisecond, time.Second, limit.UrgencyLevel(1, time.Second, false)})
			}
		}
	}
	late := map[time.Duration]int{}
	for now := time.Duration(0); len(queue) > 0; {
		next := -1
		for i, p := range queue {
			if p.at <= now && (next < 0 || p.level < queue[next].level) {
				next = i
			}
		}
		if next < 0 {
			now = queue[0].at
			continue
		}
		p := queue[next]
		queue = slices.Delete(queue, next, next+1)
		if now += p.work; now-p.at > p.goal {
			late[p.goal]++
		}
	}
	check.Equal(t, "late", late, map[time.Duration]int{})
}

// Guards against a retry storm: all entries retry at once while everything fails, and together
// they must stay below the bound.
func TestRepeatsStayBelowSharedBound(t *testing.T) {
	const entries, requests, ratio, slack = 6, 200, 0.2, 58.0
	start := time.Unix(1000, 0)
	total := 0
	for range entries {
		r := limit.NewRetryLimiter(limit.RetryLimiterConfig{Ratio: ratio, Slack: slack, Window: 10 * time.Second})
		for i := range requests {
			now := start.Add(time.Duration(i) * 50 * time.Millisecond)
			r.CountRequest(now)
			for range 3 {
				if r.Take(now, entries) {
					total++
				}
			}
		}
	}
	check.Equal(t, "retries stay below the bound", float64(total) <= ratio*entries*requests+slack, true)
	check.Equal(t, "most of the bound is used", float64(total) > 0.5*ratio*entries*requests, true)
}

func TestRepeatsExpireOldRequests(t *testing.T) {
	r := limit.NewRetryLimiter(limit.RetryLimiterConfig{Ratio: 0.2, Slack: 0, Window: 10 * time.Second})
	start := time.Unix(1000, 0)
	for range 100 {
		r.CountRequest(start)
	}
	check.Equal(t, "retry right after the requests", r.Take(start, 1), true)
	check.Equal(t, "retry one window later", r.Take(start.Add(11*time.Second), 1), false)
}
