package limit

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// MaxAttributedCrashes is how many endpoint crashes are attributed to a request, or to a part of
	// prompts, before it is refused.
	MaxAttributedCrashes = 3
	// maxAmbiguousCrashes is how many are attributed to a part while another one was present at each of
	// them too, before one of them is refused, and to a stream that gets further after each of them.
	maxAmbiguousCrashes = 5
	// soundnessTime is the least time that entries have after the first repeated crash to report that responses to
	// prompts with a part begin: a sync and a first token.
	soundnessTime = 300 * time.Millisecond
	// MinRestartTime is the least time in which a crashed endpoint runs again: losses at one
	// endpoint that are closer together are one crash.
	MinRestartTime = time.Second
	// crashMemory is how long a crash counts while no run of the request completes.
	crashMemory = 24 * time.Hour
	// firstTrialDelay is how long after its quarantine a request may run once to show that it was
	// only in flight beside the cause; secondTrialDelay follows a trial that crashed another
	// endpoint, and furtherTrialDelay each later one.
	firstTrialDelay   = 10 * time.Second
	secondTrialDelay  = 10 * time.Minute
	furtherTrialDelay = 24 * time.Hour
	// CrashRetryAfter is when a client may send a quarantined request again, UncountedRetryAfter one whose crashes control
	// has yet to count.
	CrashRetryAfter     = firstTrialDelay
	UncountedRetryAfter = 500 * time.Millisecond
	// maxTrackedRequests bounds the requests and parts tracked.
	maxTrackedRequests = 4096
	// maxTrackedCrashes bounds the crashes kept of one request, to recognize repeated reports;
	// maxPartCrashes those of one part, to recognize the crashes that it explains.
	maxTrackedCrashes = 8
	maxPartCrashes    = 32
	// maxWatchedParts bounds the parts on which entries report; those against which most crashes speak come first.
	maxWatchedParts = 128
)

// CrashTracker attributes endpoint crashes to requests and to parts of prompts. It counts, for each,
// the endpoints that ended while they ran it.
//
// It guards against one request that is retried through any entry and crashes one endpoint after
// another, together with everything else that runs there, and against one part of prompts that does
// so in requests of which no two are alike. However long such requests keep coming,
// they are refused: a quarantine ends with a run that completes, not with time. For that, one run is
// allowed as a trial, with growing delays. It is replicated state: a published
// tracker is immutable, and Apply returns a modified copy.
//
// What was only in flight beside the cause must not be blamed. Of a part, only attempts without output count, and a response
// that begins clears all parts of its prompt. Contents, contents without their query and parts are ranked together by the
// crashes that they were present at: what the first explains doesn't count against the others, until later crashes
// change the order.
type CrashTracker struct {
	records map[string]crashRecord
	// suspects are the records that verdicts depend on, sorted by fingerprint: each sync of each entry
	// asks for verdicts, and most records are of requests that were in flight at one crash.
	suspects []crashRecord
	// causes are the fingerprints of the quarantined parts, sorted.
	causes []string
}

// crashRecord is the state of one request or part, identified by its fingerprint.
type crashRecord struct {
	Fingerprint string `json:"print"`
	// Wide is set if the fingerprint leaves out the query, Part if it is of a part of prompts.
	Wide    bool   `json:"wide,omitempty"`
	Part    bool   `json:"part,omitempty"`
	Account string `json:"account,omitempty"`
	// Count is the number of crashes in sequence that nothing else explains.
	Count int `json:"count"`
	// TrialAt is when the request may run as a trial; zero if it isn't quarantined. Trials counts the
	// trials that crashed an endpoint.
	TrialAt time.Time `json:"trial,omitzero"`
	Trials  int       `json:"trials,omitempty"`
	// Crashes holds the latest crashes, in order of their reports.
	Crashes []crash `json:"crashes"`
	// WatchedAt is when a part was present at a second crash in sequence, SoundAt when a response to a prompt with it last
	// began.
	WatchedAt time.Time `json:"watched,omitzero"`
	SoundAt   time.Time `json:"sound,omitzero"`
}

// last returns when the latest crash was reported.
func (r crashRecord) last() time.Time {
	if len(r.Crashes) == 0 {
		return r.SoundAt
	}
	return r.Crashes[len(r.Crashes)-1].At
}

func (r crashRecord) quarantined() bool { return !r.TrialAt.IsZero() }

func (r crashRecord) rank() evictionRank {
	return evictionRank{r.quarantined(), r.Count, r.last(), r.Fingerprint}
}

// CrashCommand is a replicated set of an entry's reports. Applying it again changes nothing.
type CrashCommand struct {
	Entry   string        `json:"entry"`
	Reports []CrashReport `json:"reports"`
	// Completed lists the fingerprints of requests that an endpoint has run to the end, and of parts of prompts
	// the response to which has begun.
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
		next.clear(fingerprint, now)
	}
	next.blame(now)
	next.evict(now)
	next.listSuspects()
	return next
}

// clear drops all crashes of a request or part, which doesn't cause them.
func (t *CrashTracker) clear(fingerprint string, now time.Time) {
	r, known := t.records[fingerprint]
	if !known {
		return
	}
	delete(t.records, fingerprint)
	if r.Part {
		t.records[fingerprint] = crashRecord{Fingerprint: fingerprint, Part: true, SoundAt: now}
	}
}

// listSuspects derives the lists from the records.
func (t *CrashTracker) listSuspects() {
	type watched struct {
		record   crashRecord
		strength int
	}
	var parts []watched
	for _, r := range t.records {
		switch {
		case r.Part && r.quarantined():
			t.causes = append(t.causes, r.Fingerprint)
			t.suspects = append(t.suspects, r)
		case r.Part && !r.WatchedAt.IsZero():
			parts = append(parts, watched{r, r.strength()})
		case r.quarantined() || r.Count >= MaxAttributedCrashes-1:
			t.suspects = append(t.suspects, r)
		}
	}
	slices.SortFunc(parts, func(a, b watched) int {
		return cmp.Or(-cmp.Compare(a.strength, b.strength), strings.Compare(a.record.Fingerprint, b.record.Fingerprint))
	})
	for _, w := range parts[:min(len(parts), maxWatchedParts)] {
		t.suspects = append(t.suspects, w.record)
	}
	slices.SortFunc(t.suspects, func(a, b crashRecord) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	slices.Sort(t.causes)
}

// count adds a crash to the request or part that a report names.
func (t *CrashTracker) count(report CrashReport, now time.Time) {
	r, known := t.records[report.Fingerprint]
	c := report.crash(now)
	if known && !r.quarantined() && now.Sub(r.last()) > crashMemory {
		r = crashRecord{SoundAt: r.SoundAt}
	}
	r.Fingerprint, r.Wide, r.Part, r.Account = report.Fingerprint, report.Wide, report.Part, report.Account
	t.records[report.Fingerprint] = r.withCrash(c, now)
}

// withCrash returns the record with one more crash, which is reported at now; one that it holds already counts once.
func (r crashRecord) withCrash(c crash, now time.Time) crashRecord {
	r.Crashes = slices.Clone(r.Crashes)
	if same := slices.IndexFunc(r.Crashes, func(old crash) bool { return old.Report == c.Report || old.isSame(c) }); same >= 0 {
		// Of several attempts in flight at one endpoint, the latest tells most.
		if c.Sent.After(r.Crashes[same].Sent) {
			r.Crashes[same] = c
		}
		return r
	}
	most := maxTrackedCrashes
	if r.Part {
		most = maxPartCrashes
	}
	r.Crashes = append(r.Crashes[max(len(r.Crashes)-most+1, 0):], c)
	// An attempt that began before the quarantine is no trial.
	if r.quarantined() && !now.Before(r.TrialAt) {
		r.Trials++
		r.TrialAt = now.Add(secondTrialDelay)
		if r.Trials > 1 {
			r.TrialAt = now.Add(furtherTrialDelay)
		}
	}
	return r
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
	// Parts may be quarantined after one more crash. A response to a prompt with one that begins shows that
	// it was only present beside the cause.
	Parts []string
}

// Hash identifies the verdicts; it is zero if all lists are empty.
func (v CrashVerdicts) Hash() uint64 {
	if len(v.Refused)+len(v.Trial)+len(v.Watched)+len(v.Parts) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, list := range [][]string{v.Refused, v.Trial, v.Watched, v.Parts} {
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
		case !r.quarantined() && r.Part:
			v.Parts = append(v.Parts, r.Fingerprint)
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

// evict removes the records beyond maxTrackedRequests: expired ones first, then by rank. It runs once for all reports of a command, after
// their crashes have been counted: before that a new record would rank last and be evicted by the next one.
func (t *CrashTracker) evict(now time.Time) {
	if len(t.records) <= maxTrackedRequests {
		return
	}
	maps.DeleteFunc(t.records, func(_ string, r crashRecord) bool { return now.Sub(r.last()) > crashMemory && !r.quarantined() })
	excess := len(t.records) - maxTrackedRequests
	if excess <= 0 {
		return
	}
	ranks := make([]evictionRank, 0, len(t.records))
	for _, r := range t.records {
		ranks = append(ranks, r.rank())
	}
	slices.SortFunc(ranks, evictionRank.compare)
	for _, r := range ranks[:excess] {
		delete(t.records, r.key)
	}
}

// MarshalJSON encodes the records as an array, sorted by fingerprint.
func (t *CrashTracker) MarshalJSON() ([]byte, error) {
	all := make([]crashRecord, 0, len(t.records))
	for _, fingerprint := range slices.Sorted(maps.Keys(t.records)) {
		all = append(all, t.records[fingerprint])
	}
	return json.Marshal(all)
}

// UnmarshalJSON replaces the records with the encoded array.
func (t *CrashTracker) UnmarshalJSON(data []byte) error {
	var all []crashRecord
	if err := json.Unmarshal(data, &all); err != nil {
		return Malformed.Wrap(err, "decode crash records")
	}
	t.records = make(map[string]crashRecord, len(all))
	for _, r := range all {
		r.Crashes = upgradeCrashes(r.Crashes)
		t.records[r.Fingerprint] = r
	}
	t.suspects, t.causes = nil, nil
	t.listSuspects()
	return nil
}
