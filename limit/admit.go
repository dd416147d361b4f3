package limit

import "time"

// Levels is how many levels of urgency engines tell apart; 0 is the most urgent.
const Levels = 10

const (
	// firstLateLevel is the most urgent level of requests that can't meet their objective any
	// more.
	firstLateLevel = 5
	// shortGoal is the objective up to which a request goes before others of its rank: about twice
	// the prefill time of one long prompt.
	shortGoal = 500 * time.Millisecond
)

// Level returns the urgency of a request at its engine: those that can still be on time
// go before all others, so that under overload some are on time rather than none. Among
// equals, those with a close objective go first: they are short, and soon late.
//
// It answers the pattern of short and long prompts that wait for the same engines.
func Level(rank int, goal time.Duration, late bool) int {
	level := 2 * max(rank, 0)
	if goal > shortGoal {
		level++
	}
	level = min(level, firstLateLevel-1)
	if late {
		level += firstLateLevel
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
	// maxGoalShare is the largest share of the remaining objective that a prediction may use.
	maxGoalShare = 0.9
	// maxPatienceShare is the largest share of the client's remaining patience that a prediction
	// may use.
	maxPatienceShare = 0.95
	// minRetryAfter and maxRetryAfter bound the delay after which a rejected client is asked to
	// retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Admit decides on a prompt. For a rejected one it also returns when the client should retry: when
// the backlog will have shrunk to half of what the client would wait for.
//
// The load pattern is a burst, or a loss of engines, that creates more work than there is time
// for: work that can be on time is not delayed by work that can't.
func Admit(t Times) (Admission, time.Duration) {
	switch {
	case float64(t.First) <= maxGoalShare*float64(t.Goal):
		return OnTime, 0
	case float64(t.LateFirst) <= maxPatienceShare*float64(t.Patience):
		return Late, 0
	}
	retryAfter := t.LateFirst - t.Patience/2
	return Hopeless, min(max(retryAfter, minRetryAfter), maxRetryAfter)
}
