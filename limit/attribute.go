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
	// minCrashInterval is the least time between two crashes that count. Endpoints that fail
	// together, or a link that resets, interrupt the same request several times at once.
	minCrashInterval = time.Second
	// crashExpiry is how long a crash counts. A crashed endpoint restarts within seconds, and a
	// client that retries has done so by then.
	crashExpiry = time.Minute
	// CrashRejectionTime is how long a request is refused after the last crash attributed to it.
	CrashRejectionTime = time.Minute
	// maxTrackedRequests bounds the requests tracked; the oldest are evicted first.
	maxTrackedRequests = 4096
)

// CrashTracker attributes endpoint crashes to requests. It counts, for each request, the responses
// that broke off while an endpoint ran it.
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
	Crashes      int       `json:"crashes"`
	LastCrash    time.Time `json:"last"`
	RefusedUntil time.Time `json:"refused,omitzero"`
}

// CrashCommand is a replicated report of an entry: endpoints failed while they ran the requests
// with these fingerprints.
type CrashCommand struct {
	Entry        string   `json:"entry"`
	Fingerprints []string `json:"prints"`
}

// NewCrashTracker returns an empty tracker.
func NewCrashTracker() *CrashTracker { return &CrashTracker{records: map[string]crashRecord{}} }

// Apply returns the tracker after the command, which is applied at now.
func (t *CrashTracker) Apply(c CrashCommand, now time.Time) *CrashTracker {
	next := &CrashTracker{records: maps.Clone(t.records)}
	for _, fingerprint := range c.Fingerprints {
		next.count(fingerprint, now)
	}
	return next
}

// count attributes a crash to the request with the fingerprint.
func (t *CrashTracker) count(fingerprint string, now time.Time) {
	r, known := t.records[fingerprint]
	switch {
	case known && now.Sub(r.LastCrash) < minCrashInterval:
		return
	case known && now.Sub(r.LastCrash) > crashExpiry:
		r = crashRecord{}
	case !known && len(t.records) >= maxTrackedRequests:
		t.evict(now)
	}
	r.Fingerprint = fingerprint
	r.Crashes++
	r.LastCrash = now
	if r.Crashes >= MaxAttributedCrashes {
		r.RefusedUntil = now.Add(CrashRejectionTime)
	}
	t.records[fingerprint] = r
}

// Crashes returns how many crashes count against the request with this fingerprint.
func (t *CrashTracker) Crashes(fingerprint string) int { return t.records[fingerprint].Crashes }

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
		if now.Sub(r.LastCrash) > crashExpiry && !r.RefusedUntil.After(now) {
			delete(t.records, fingerprint)
			continue
		}
		if oldest == "" || r.LastCrash.Before(t.records[oldest].LastCrash) || r.LastCrash.Equal(t.records[oldest].LastCrash) && fingerprint < oldest {
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
