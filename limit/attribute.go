package limit

import (
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// MaxAttributedCrashes is how many endpoint crashes are attributed to a request before it is
	// refused.
	MaxAttributedCrashes = 3
	// minRestartTime is the least time in which a crashed endpoint runs again: losses at one
	// endpoint that are closer together are one crash.
	minRestartTime = time.Second
	// crashMemory is how long a crash counts while no run of the request completes.
	crashMemory = 24 * time.Hour
	// firstTrialDelay is how long after its quarantine a request may run once to show that it was
	// only in flight beside the cause; secondTrialDelay follows a trial that crashed another
	// endpoint, and furtherTrialDelay each later one.
	firstTrialDelay   = 10 * time.Second
	secondTrialDelay  = 10 * time.Minute
	furtherTrialDelay = 24 * time.Hour
	// CrashRetryAfter is when a client may send a quarantined request again.
	CrashRetryAfter = firstTrialDelay
	// maxTrackedRequests bounds the requests tracked; the oldest are evicted first.
	maxTrackedRequests = 4096
	// maxTrackedCrashes bounds the crashes kept of one request, to recognize repeated reports.
	maxTrackedCrashes = 8
)

// CrashTracker attributes endpoint crashes to requests. It counts, for each request, the endpoints
// that ended while they ran it.
//
// It guards against one request that is retried through any entry and crashes one endpoint after
// another, together with everything else that runs there. However long such a request keeps coming,
// it is refused: a quarantine ends with a run that completes, not with time. For that, one run is
// allowed as a trial, with growing delays. It is replicated state: a published
// tracker is immutable, and Apply returns a modified copy.
type CrashTracker struct {
	records map[string]crashRecord
	// suspects are the records that verdicts depend on, sorted by fingerprint: each sync of each entry
	// asks for verdicts, and most records are of requests that were in flight at one crash.
	suspects []crashRecord
}

// crashRecord is the state of one request, identified by its fingerprint.
type crashRecord struct {
	Fingerprint string `json:"print"`
	Count       int    `json:"count"`
	// TrialAt is when the request may run as a trial; zero if it isn't quarantined. Trials counts the
	// trials that crashed an endpoint.
	TrialAt time.Time `json:"trial,omitzero"`
	Trials  int       `json:"trials,omitempty"`
	// Crashes holds the latest crashes, in order of their reports.
	Crashes []crash `json:"crashes"`
}

// crash is the end of one endpoint under a request.
type crash struct {
	Report   string    `json:"report"`
	Endpoint string    `json:"endpoint"`
	Born     int64     `json:"born,omitempty"`
	At       time.Time `json:"at"`
}

// last returns when the latest crash was reported.
func (r crashRecord) last() time.Time {
	if len(r.Crashes) == 0 {
		return time.Time{}
	}
	return r.Crashes[len(r.Crashes)-1].At
}

func (r crashRecord) quarantined() bool { return !r.TrialAt.IsZero() }

func (r crashRecord) rank() evictionRank {
	return evictionRank{r.quarantined(), r.last(), r.Fingerprint}
}

// includes reports whether a report is of a crash that has been counted: it is repeated, or another
// attempt was in flight at the same endpoint.
func (r crashRecord) includes(report CrashReport, now time.Time) bool {
	return slices.ContainsFunc(r.Crashes, func(c crash) bool {
		sameIncarnation := c.Born == report.Born && c.Born != 0
		return c.Report == report.ID || c.Endpoint == report.Endpoint && (sameIncarnation || now.Sub(c.At) < minRestartTime)
	})
}

// CrashReport is an entry's report that an endpoint ended while it ran a request.
type CrashReport struct {
	// ID is unique to the attempt at the endpoint.
	ID          string `json:"id"`
	Fingerprint string `json:"print"`
	Endpoint    string `json:"endpoint"`
	// Born identifies the endpoint's incarnation, which ends once; zero if unknown.
	Born int64 `json:"born,omitempty"`
}

// CrashCommand is a replicated set of an entry's reports. Applying it again changes nothing.
type CrashCommand struct {
	Entry   string        `json:"entry"`
	Reports []CrashReport `json:"reports"`
	// Completed lists the fingerprints of requests that an endpoint has run to the end.
	Completed []string `json:"completed,omitempty"`
}

// NewCrashTracker returns an empty tracker.
func NewCrashTracker() *CrashTracker { return &CrashTracker{records: map[string]crashRecord{}} }

// Apply returns the tracker after the command, which is applied at now.
func (t *CrashTracker) Apply(c CrashCommand, now time.Time) *CrashTracker {
	next := &CrashTracker{records: maps.Clone(t.records)}
	for _, report := range c.Reports {
		next.count(report, now)
	}
	for _, fingerprint := range c.Completed {
		delete(next.records, fingerprint)
	}
	next.listSuspects()
	return next
}

func (t *CrashTracker) listSuspects() {
	for _, r := range t.records {
		if r.Count >= MaxAttributedCrashes-1 {
			t.suspects = append(t.suspects, r)
		}
	}
	slices.SortFunc(t.suspects, func(a, b crashRecord) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
}

// count attributes a crash to the request that a report names.
func (t *CrashTracker) count(report CrashReport, now time.Time) {
	r, known := t.records[report.Fingerprint]
	switch {
	case r.includes(report, now):
		return
	case known && !r.quarantined() && now.Sub(r.last()) > crashMemory:
		r = crashRecord{}
	case !known && len(t.records) >= maxTrackedRequests:
		t.evict(now)
	}
	r.Fingerprint = report.Fingerprint
	r.Count++
	kept := r.Crashes[max(len(r.Crashes)-maxTrackedCrashes+1, 0):]
	r.Crashes = append(slices.Clone(kept), crash{report.ID, report.Endpoint, report.Born, now})
	switch {
	case r.Count < MaxAttributedCrashes:
	case !r.quarantined():
		r.TrialAt = now.Add(firstTrialDelay)
	case now.Before(r.TrialAt):
		// An attempt that began before the quarantine.
	default:
		r.Trials++
		r.TrialAt = now.Add(secondTrialDelay)
		if r.Trials > 1 {
			r.TrialAt = now.Add(furtherTrialDelay)
		}
	}
	t.records[report.Fingerprint] = r
}

// Crashes returns how many crashes count against the request with this fingerprint.
func (t *CrashTracker) Crashes(fingerprint string) int { return t.records[fingerprint].Count }

// CrashVerdicts are the fingerprints of the requests that entries must know of, each list sorted.
type CrashVerdicts struct {
	// Refused requests are quarantined; of those in Trial one run is allowed.
	Refused, Trial []string
	// Watched requests will be quarantined after one more crash. A run that completes shows that they
	// were only in flight beside the cause; content that many clients send needs this most.
	Watched []string
}

// Hash identifies the verdicts; it is zero if all lists are empty.
func (v CrashVerdicts) Hash() uint64 {
	if len(v.Refused)+len(v.Trial)+len(v.Watched) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, list := range [][]string{v.Refused, v.Trial, v.Watched} {
		for _, fingerprint := range list {
			h.Write([]byte(fingerprint))
		}
		h.Write([]byte{0})
	}
	return h.Sum64() | 1
}

// Verdicts returns the verdicts at now.
func (t *CrashTracker) Verdicts(now time.Time) CrashVerdicts {
	var v CrashVerdicts
	for _, r := range t.suspects {
		switch {
		case !r.quarantined():
			v.Watched = append(v.Watched, r.Fingerprint)
		case now.Before(r.TrialAt):
			v.Refused = append(v.Refused, r.Fingerprint)
		default:
			v.Trial = append(v.Trial, r.Fingerprint)
		}
	}
	return v
}

// Changed reports whether requests are refused or watched at now that were not in a former tracker,
// or the reverse.
func (t *CrashTracker) Changed(former *CrashTracker, now time.Time) bool {
	return t != former && t.Verdicts(now).Hash() != former.Verdicts(now).Hash()
}

// evict removes expired records, or the oldest record if none has expired; quarantined ones last.
func (t *CrashTracker) evict(now time.Time) {
	oldest := ""
	for fingerprint, r := range t.records {
		if now.Sub(r.last()) > crashMemory && !r.quarantined() {
			delete(t.records, fingerprint)
			continue
		}
		if oldest == "" || r.rank().compare(t.records[oldest].rank()) < 0 {
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
	t.listSuspects()
	return nil
}
