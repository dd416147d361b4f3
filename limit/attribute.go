package limit

import "time"

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
// another, together with everything else that runs there. CrashTracker is not safe for concurrent
// use.
type CrashTracker struct {
	records map[string]crashRecord
}

// crashRecord is the state of one request, identified by its fingerprint.
type crashRecord struct {
	crashes      int
	lastCrash    time.Duration
	refusedUntil time.Duration
}

// NewCrashTracker returns an empty tracker.
func NewCrashTracker() *CrashTracker { return &CrashTracker{records: map[string]crashRecord{}} }

// Broke records a crash: an endpoint failed while it ran the request with this fingerprint. now is
// measured from an arbitrary fixed moment. Broke reports whether the request is refused from now on.
func (t *CrashTracker) Broke(fingerprint string, now time.Duration) bool {
	r, known := t.records[fingerprint]
	switch {
	case known && now-r.lastCrash < minCrashInterval:
		return r.refusedUntil > now
	case known && now-r.lastCrash > crashExpiry:
		r = crashRecord{}
	case !known && len(t.records) >= maxTrackedRequests:
		t.evict(now)
	}
	r.crashes++
	r.lastCrash = now
	if r.crashes >= MaxAttributedCrashes {
		r.refusedUntil = now + CrashRejectionTime
	}
	t.records[fingerprint] = r
	return r.refusedUntil > now
}

// Crashes returns how many crashes count against the request with this fingerprint.
func (t *CrashTracker) Crashes(fingerprint string) int { return t.records[fingerprint].crashes }

// Refused returns the fingerprints of the requests that are refused at now.
func (t *CrashTracker) Refused(now time.Duration) []string {
	var fingerprints []string
	for fingerprint, r := range t.records {
		if r.refusedUntil > now {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}

// evict removes expired records, or the oldest record if none has expired.
func (t *CrashTracker) evict(now time.Duration) {
	oldest := ""
	for fingerprint, r := range t.records {
		if now-r.lastCrash > crashExpiry && r.refusedUntil <= now {
			delete(t.records, fingerprint)
			continue
		}
		if oldest == "" || r.lastCrash < t.records[oldest].lastCrash || r.lastCrash == t.records[oldest].lastCrash && fingerprint < oldest {
			oldest = fingerprint
		}
	}
	if len(t.records) >= maxTrackedRequests {
		delete(t.records, oldest)
	}
}
