package limit

import (
	"cmp"
	"slices"
	"time"
)

// crash is the end of one endpoint under an attempt.
type crash struct {
	Report   string `json:"report"`
	Endpoint string `json:"endpoint"`
	Born     int64  `json:"born,omitempty"`
	// Sent and At are when the attempt began and ended, in group time. They are exact only among attempts of one entry.
	Sent time.Time `json:"sent,omitzero"`
	At   time.Time `json:"at"`
	// Clock names the run of the entry's process that made the attempt, Start is when it was sent by that process's clock.
	Clock string        `json:"clock,omitempty"`
	Start time.Duration `json:"start,omitempty"`
	// Resumed is set if the attempt resumed a stream and had an event of its own.
	Resumed bool `json:"resumed,omitempty"`
	// Uncounted is set in records of former versions for an attempt that overlapped another one.
	Uncounted bool `json:"beside,omitempty"`
}

// upgradeCrashes returns the crashes of a record that a former version may have written: it didn't date when attempts began.
func upgradeCrashes(crashes []crash) []crash {
	crashes = slices.DeleteFunc(crashes, func(c crash) bool { return c.Uncounted })
	for i := range crashes {
		if crashes[i].Sent.IsZero() {
			crashes[i].Sent = crashes[i].At
		}
	}
	return crashes
}

// isSame reports whether two crashes are of one incarnation of an endpoint.
func (c crash) isSame(other crash) bool {
	if c.Endpoint != other.Endpoint {
		return false
	}
	sameIncarnation := c.Born == other.Born && c.Born != 0
	return sameIncarnation || other.At.Sub(c.At).Abs() < MinRestartTime
}

// end returns when the attempt ended, by the clock of its entry.
func (c crash) end() time.Duration { return c.Start + c.At.Sub(c.Sent) }

func (c crash) sharesClock(other crash) bool { return c.Clock != "" && c.Clock == other.Clock }

// clockTolerance is how far group time may misdate the attempts of two entries against each other: by what their reports' ways to the
// leader differ. A client's repeat through another entry begins within as little.
const clockTolerance = 10 * time.Millisecond

// follows reports whether the attempt began after another one had ended.
func (c crash) follows(other crash) bool {
	if c.sharesClock(other) {
		return c.Start >= other.end()
	}
	return !c.Sent.Add(clockTolerance).Before(other.At)
}

// compareEnd orders crashes by when their attempts ended.
func (c crash) compareEnd(other crash) int {
	if c.sharesClock(other) {
		return cmp.Compare(c.end(), other.end())
	}
	return c.At.Compare(other.At)
}

// sortedByEnd returns the crashes in the order of their ends, in which most are recorded.
func sortedByEnd(crashes []crash) []crash {
	if slices.IsSortedFunc(crashes, crash.compareEnd) {
		return crashes
	}
	sorted := slices.Clone(crashes)
	slices.SortStableFunc(sorted, crash.compareEnd)
	return sorted
}

// countInSequence returns the largest number of crashes of which each attempt began after the one before had ended.
// Endpoints that end together under equal requests, or requests that share a part, show no more than one that ends.
//
// A stream that was resumed and went on got past the point at which its former endpoint ended, so that earlier crashes don't
// count: endpoints that are replaced one after the other end under a long stream as often as they would under one that crashes
// them. From maxAmbiguousCrashes on all count, since a stream may also exhaust an endpoint at any point.
func countInSequence(crashes []crash) int {
	if len(crashes) < 2 {
		return len(crashes)
	}
	all, n := 0, 0
	var last crash
	for _, c := range sortedByEnd(crashes) {
		if all > 0 && !c.follows(last) {
			continue
		}
		if c.Resumed {
			n = 0
		}
		all, n, last = all+1, n+1, c
	}
	if all >= maxAmbiguousCrashes {
		return all
	}
	return n
}

// CountInSequence returns the number of crashes that the reports of one entry show: each attempt that counts began after the
// one before had ended.
func CountInSequence(reports []CrashReport) int {
	var crashes []crash
	for _, r := range reports {
		if c := r.crash(time.Time{}); !slices.ContainsFunc(crashes, c.isSame) {
			crashes = append(crashes, c)
		}
	}
	return countInSequence(crashes)
}

// minCrashGap is the time between crashes below which they are one event, such as the loss of a rack.
const minCrashGap = 50 * time.Millisecond

// countMoments returns at how many moments the crashes occurred.
func countMoments(crashes []crash) int {
	if len(crashes) < 2 {
		return len(crashes)
	}
	n := 0
	var last time.Time
	for i, c := range sortedByEnd(crashes) {
		if i == 0 || c.At.Sub(last) >= minCrashGap {
			n++
		}
		last = c.At
	}
	return n
}

// CrashReport is an entry's report that an endpoint ended while it ran a request.
type CrashReport struct {
	// ID is unique to the attempt at the endpoint.
	ID          string `json:"id"`
	Fingerprint string `json:"print"`
	Endpoint    string `json:"endpoint"`
	// Born identifies the endpoint's incarnation, which ends once; zero if unknown.
	Born int64 `json:"born,omitempty"`
	// Wide is set if the fingerprint leaves out the query, Part if it is of a part of the prompt and the attempt had no output.
	Wide bool `json:"wide,omitempty"`
	Part bool `json:"part,omitempty"`
	// Resumed is set if the attempt resumed a stream behind its latest event and had a further one.
	Resumed bool `json:"resumed,omitempty"`
	// Age and Ended are how long before the report the attempt began and ended.
	Age   time.Duration `json:"age,omitempty"`
	Ended time.Duration `json:"ended,omitempty"`
	// Clock names the run of the entry's process, Start is when the attempt was sent by that process's clock. Without a clock,
	// attempts are compared by when they were reported.
	Clock string        `json:"clock,omitempty"`
	Start time.Duration `json:"start,omitempty"`
	// Account is the client account within which the fingerprint is quarantined; empty if for all.
	Account string `json:"account,omitempty"`
}

// crash returns the crash that is reported at now.
func (r CrashReport) crash(now time.Time) crash {
	return crash{
		Report: r.ID, Endpoint: r.Endpoint, Born: r.Born, Sent: now.Add(-max(r.Age, r.Ended)), At: now.Add(-r.Ended), Clock: r.Clock, Start: r.Start, Resumed: r.Resumed,
	}
}
