package limit

import "time"

// UrgencyLevels is the number of urgency levels that engines distinguish; 0 is the most urgent.
const UrgencyLevels = 10

const (
	// firstLateLevel is the first urgency level, and the most urgent, of those for requests that
	// can't meet their objective any more; all levels before it are for requests that can.
	firstLateLevel = 5
	// shortGoal is the objective up to which a request goes before others of its rank: about twice
	// the prefill time of one long prompt.
	shortGoal = 500 * time.Millisecond
)

// UrgencyLevel returns the urgency level of a request at its engine, of which 0 is the most urgent. Requests that can still meet their
// objective go before all others, so that under overload some are on time rather than none. Within
// a rank, requests with a short objective go first: they are short and would soon be late.
//
// The policy is for workloads of short and long prompts that queue for the same engines.
func UrgencyLevel(rank int, goal time.Duration, late bool) int {
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

// Admission is the decision on a prompt at the endpoint with the earliest predicted response.
type Admission int

// Admission decisions.
const (
	// OnTime requests are predicted to meet their objective.
	OnTime Admission = iota
	// Late requests are predicted to miss their objective but to respond before the client
	// disconnects.
	Late
	// TooLate requests are predicted to respond only after the client has disconnected.
	TooLate
)

// AdmissionTimes are the durations, from now, that the admission of a prompt depends on.
type AdmissionTimes struct {
	// Goal is what remains of the latency objective, Patience of the time until the client
	// disconnects.
	Goal, Patience time.Duration
	// FirstToken is the predicted time to first token behind queued work that is as urgent or more
	// so, LateFirstToken behind all queued work.
	FirstToken, LateFirstToken time.Duration
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
// the backlog will have shrunk to what the client would wait for.
//
// The load pattern is a burst, or a loss of engines, that creates more work than there is time
// for: work that can be on time is not delayed by work that can't.
func Admit(t AdmissionTimes) (Admission, time.Duration) {
	switch {
	case float64(t.FirstToken) <= maxGoalShare*float64(t.Goal):
		return OnTime, 0
	case float64(t.LateFirstToken) <= maxPatienceShare*float64(t.Patience):
		return Late, 0
	}
	retryAfter := t.LateFirstToken - t.Patience/2
	return TooLate, min(max(retryAfter, minRetryAfter), maxRetryAfter)
}
