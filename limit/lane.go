package limit

import "time"

// Levels is how many levels of urgency engines tell apart; 0 is the most urgent.
const Levels = 10

const (
	// lateLevel is the level of the most urgent request that can't be on time any more.
	lateLevel = 5
	// closeGoal is the objective up to which a request goes before others of its rank: about
	// what one long prompt takes to be read twice.
	closeGoal = 500 * time.Millisecond
)

// Level returns the urgency of a request at its engine: those that can still be on time
// go before all others, so that under overload some are on time rather than none. Among
// equals, those with a close objective go first: they are short, and soon late.
//
// It answers the pattern of short and long prompts that wait for the same engines.
func Level(rank int, goal time.Duration, late bool) int {
	level := 2 * max(rank, 0)
	if goal > closeGoal {
		level++
	}
	level = min(level, lateLevel-1)
	if late {
		level += lateLevel
	}
	return level
}

// Admission is the decision on a prompt at the endpoint that would answer it soonest.
type Admission int

// Admissions.
const (
	// OnTime requests are expected to be answered within their objective.
	OnTime Admission = iota
	// Late requests are expected after it, but before their caller leaves.
	Late
	// Hopeless requests are expected only after their caller has left.
	Hopeless
)

// Times of a prompt, from now.
type Times struct {
	// Goal is what is left of the objective, Patience of the time that the caller waits.
	Goal, Patience time.Duration
	// First is the predicted first token among what is as urgent, LateFirst behind all work.
	First, LateFirst time.Duration
}

const (
	// goalShare is the share of the objective that a prediction may take up.
	goalShare = 0.9
	// patienceShare is the share of the caller's patience that a prediction may take up.
	patienceShare = 0.95
	// leastReturn and mostReturn bound when a refused caller is asked to come back.
	leastReturn = 100 * time.Millisecond
	mostReturn  = 5 * time.Second
)

// Admit decides on a prompt, and when its caller should come back if it is refused: when
// the backlog will have shrunk to what the caller would wait for.
//
// It answers the pattern of a burst, or of engines lost, that makes more work than there is
// time for: work that can be on time is not held up by work that can't.
func Admit(t Times) (Admission, time.Duration) {
	switch {
	case float64(t.First) <= goalShare*float64(t.Goal):
		return OnTime, 0
	case float64(t.LateFirst) <= patienceShare*float64(t.Patience):
		return Late, 0
	}
	back := t.LateFirst - t.Patience/2
	return Hopeless, min(max(back, leastReturn), mostReturn)
}
