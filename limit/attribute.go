package limit

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

const (
	// MaxAttributedCrashes is how many endpoint crashes are attributed to a request before it is
	// refused.
	MaxAttributedCrashes = 3
	// minRestartTime is the least time in which a crashed endpoint runs again: losses at one
	// endpoint that are closer together are one crash.
	minRestartTime = time.Second
	// crashExpiry is how long a crash counts. A crashed endpoint restarts within seconds, and a
	// client that retries has done so by then.
	crashExpiry = time.Minute
	// CrashRejectionTime is how long a request is refused after the last crash attributed to it.
	CrashRejectionTime = time.Minute
	// maxTrackedRequests bounds the requests tracked; the oldest are evicted first.
	maxTrackedRequests = 4096
	// maxTrackedCrashes bounds the crashes kept of one request, to recognize repeated reports.
	maxTrackedCrashes = 8
)

// CrashTracker attributes endpoint crashes to requests. It counts, for each request, the endpoints
// that ended while they ran it.
//
// It guards against one request that is retried through any entry and crashes one endpoint after
// another, together with everything else that runs there. It is replicated state: a published
// tracker is immutable, and Apply returns a modified copy.
type CrashTracker struct {
	records map[string]crashRecord
}

// crashRecord is the state of one request, identified by its fingerprint.
type crashRecord struct {
	Fingerprint  string    `json:"print"`
	Count        int       `json:"count"`
	RefusedUntil time.Time `json:"refused,omitzero"`
	// Crashes holds the latest crashes, in order of their reports.
	Crashes []crash `json:"crashes"`
}

// crash is the end of one endpoint under a request.
type crash struct {
	Report   string    `json:"report"`
	Endpoint string    `json:"endpoint"`
	At       time.Time `json:"at"`
}

// last returns when the latest crash was reported.
func (r crashRecord) last() time.Time {
	if len(r.Crashes) == 0 {
		return time.Time{}
	}
	return r.Crashes[len(r.Crashes)-1].At
}

// includes reports whether a report is of a crash that has been counted: it is repeated, or another
// attempt was in flight at the same endpoint.
func (r crashRecord) includes(report CrashReport, now time.Time) bool {
	return slices.ContainsFunc(r.Crashes, func(c crash) bool {
		return c.Report == report.ID || c.Endpoint == report.Endpoint && now.Sub(c.At) < minRestartTime
	})
}

// CrashReport is an entry's report that an endpoint ended while it ran a request.
type CrashReport struct {
	// ID is unique to the attempt at the endpoint.
	ID          string `json:"id"`
	Fingerprint string `json:"print"`
	Endpoint    string `json:"endpoint"`
}

// CrashCommand is a replicated set of an entry's reports. Applying it again changes nothing.
type CrashCommand struct {
	Entry   string        `json:"entry"`
	Reports []CrashReport `json:"reports"`
}

// NewCrashTracker returns an empty tracker.
func NewCrashTracker() *CrashTracker { return &CrashTracker{records: map[string]crashRecord{}} }

// Apply returns the tracker after the command, which is applied at now.
func (t *CrashTracker) Apply(c CrashCommand, now time.Time) *CrashTracker {
	next := &CrashTracker{records: maps.Clone(t.records)}
	for _, report := range c.Reports {
		next.count(report, now)
	}
	return next
}

// count attributes a crash to the request that a report names.
func (t *CrashTracker) count(report CrashReport, now time.Time) {
	r, known := t.records[report.Fingerprint]
	switch {
	case r.includes(report, now):
		return
	case known && now.Sub(r.last()) > crashExpiry:
		r = crashRecord{}
	case !known && len(t.records) >= maxTrackedRequests:
		t.evict(now)
	}
	r.Fingerprint = report.Fingerprint
	r.Count++
	kept := r.Crashes[max(len(r.Crashes)-maxTrackedCrashes+1, 0):]
	r.Crashes = append(slices.Clone(kept), crash{report.ID, report.Endpoint, now})
	if r.Count >= MaxAttributedCrashes {
		r.RefusedUntil = now.Add(CrashRejectionTime)
	}
	t.records[report.Fingerprint] = r
}

// Crashes returns how many crashes count against the request with this fingerprint.
func (t *CrashTracker) Crashes(fingerprint string) int { return t.records[fingerprint].Count }

// Refused returns the fingerprints of the requests that are refused at now, sorted.
func (t *CrashTracker) Refused(now time.Time) []string {
	var fingerprints []string
	for fingerprint, r := range t.records {
		if r.RefusedUntil.After(now) {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	slices.Sort(fingerprints)
	return fingerprints
}

// evict removes expired records, or the oldest record if none has expired.
func (t *CrashTracker) evict(now time.Time) {
	oldest := ""
	for fingerprint, r := range t.records {
		if now.Sub(r.last()) > crashExpiry && !r.RefusedUntil.After(now) {
			delete(t.records, fingerprint)
			continue
		}
		if before := r.last().Compare(t.records[oldest].last()); oldest == "" || before < 0 || before == 0 && fingerprint < oldest {
			oldest = fingerprint
		}
	}
	if len(t.records) >= maxTrackedRequests {
		delete(t.records, oldest)
	}
}

// MarshalJSON encodes the records as an array.
func (t *CrashTracker) MarshalJSON() ([]byte, error) {
	return json.Marshal(slices.Collect(maps.Values(t.records)))
}

// UnmarshalJSON replaces the records with the encoded array.
func (t *CrashTracker) UnmarshalJSON(data []byte) error {
	var all []crashRecord
	if err := json.Unmarshal(data, &all); err != nil {
		return Malformed.Wrap(err, "decode crash records")
	}
	t.records = make(map[string]crashRecord, len(all))
	for _, r := range all {
		t.records[r.Fingerprint] = r
	}
	return nil
}
