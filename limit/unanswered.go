package limit

import (
	"slices"
	"time"
)

const (
	// unansweredTime is how long after an unanswered run the end of its endpoint is attributed to it:
	// the platform's list shows an end only after some seconds.
	unansweredTime = 10 * time.Second
	// maxUnansweredRuns bounds the runs kept; the oldest are evicted first.
	maxUnansweredRuns = 4096
)

// UnansweredRuns finds the runs that ended with their endpoint although nothing said so: an endpoint
// that loses power resets no connection, so its requests end at their deadline or when their caller
// leaves.
//
// The load pattern is a request that silently ends one endpoint after another, beside many that are
// unanswered because endpoints are slow or callers impatient: those endpoints stay on the list.
// UnansweredRuns is not safe for concurrent use.
type UnansweredRuns struct {
	runs []UnansweredRun
}

// UnansweredRun is a run of a request whose response did not arrive.
type UnansweredRun struct {
	// Report is to be made if the endpoint has ended; its Age is as of At.
	Report CrashReport
	At     time.Time
	// Broken is set if its connection broke, after a silence for the time of a restart.
	Broken bool
}

// ListedEndpoint is what the platform's list says of an endpoint.
type ListedEndpoint struct {
	Listed, Draining bool
	Born             int64
}

// Add records a run.
func (u *UnansweredRuns) Add(r UnansweredRun) {
	if len(u.runs) >= maxUnansweredRuns {
		u.runs = slices.Delete(u.runs, 0, 1)
	}
	u.runs = append(u.runs, r)
}

// AnyBroken reports whether MayHaveEnded holds for any request.
func (u *UnansweredRuns) AnyBroken() bool {
	return slices.ContainsFunc(u.runs, func(r UnansweredRun) bool { return r.Broken })
}

// MayHaveEnded reports whether an endpoint may have ended under a run of the request with the fingerprint, by a connection that
// broke. A run that was given up says too little: its endpoint may only be slow.
func (u *UnansweredRuns) MayHaveEnded(fingerprint string) bool {
	return slices.ContainsFunc(u.runs, func(r UnansweredRun) bool { return r.Broken && r.Report.Fingerprint == fingerprint })
}

// Ended removes and returns the runs whose endpoint has ended without draining, by what look returns
// for an endpoint's ID.
func (u *UnansweredRuns) Ended(now time.Time, look func(id string) ListedEndpoint) []UnansweredRun {
	var ended []UnansweredRun
	u.runs = slices.DeleteFunc(u.runs, func(r UnansweredRun) bool {
		e := look(r.Report.Endpoint)
		if !e.Listed || e.Born != r.Report.Born {
			ended = append(ended, r)
			return true
		}
		return e.Draining || now.Sub(r.At) > unansweredTime
	})
	return ended
}
