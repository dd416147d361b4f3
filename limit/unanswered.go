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
	// counts holds the number of runs by fingerprint.
	counts map[string]int
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
		u.uncount(u.runs[0])
		u.runs = slices.Delete(u.runs, 0, 1)
	}
	u.runs = append(u.runs, r)
	if u.counts == nil {
		u.counts = map[string]int{}
	}
	u.counts[r.Report.Fingerprint]++
}

func (u *UnansweredRuns) uncount(r UnansweredRun) {
	if u.counts[r.Report.Fingerprint]--; u.counts[r.Report.Fingerprint] == 0 {
		delete(u.counts, r.Report.Fingerprint)
	}
}

// Empty reports whether there are no runs.
func (u *UnansweredRuns) Empty() bool { return len(u.runs) == 0 }

// Clear removes the runs of a request that has run to the end since, or of a part of prompts the response to which has
// begun since: an end that the list shows later doesn't speak against it.
func (u *UnansweredRuns) Clear(fingerprint string) {
	if u.counts[fingerprint] == 0 {
		return
	}
	u.runs = slices.DeleteFunc(u.runs, func(r UnansweredRun) bool { return r.Report.Fingerprint == fingerprint })
	delete(u.counts, fingerprint)
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
		hasEnded := !e.Listed || e.Born != r.Report.Born
		if hasEnded {
			ended = append(ended, r)
		}
		if !hasEnded && !e.Draining && now.Sub(r.At) <= unansweredTime {
			return false
		}
		u.uncount(r)
		return true
	})
	return ended
}
