package limit

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("limit")
	// Malformed reports a snapshot that can't be decoded.
	Malformed = namespace.NewType("malformed")
)

const (
	// QuarantineCrashes is how many crashes a request may cause before it is refused.
	QuarantineCrashes = 2
	// QuarantineTime is how long a quarantined request is refused; afterwards it may run only in
	// isolation. repeatedQuarantineTime follows a crash in such a run.
	QuarantineTime         = 10 * time.Minute
	repeatedQuarantineTime = 24 * time.Hour
	// quarantineMemory is how long after its quarantine a request may run only in isolation.
	quarantineMemory = 24 * time.Hour
	// IsolationTime is how long a request that was in flight at a crash may run only in isolation.
	IsolationTime = 10 * time.Minute
	// IsolatedRunTimeout is how long one isolated run blocks other requests with the same content.
	IsolatedRunTimeout = 2 * time.Minute
	// maxSuspects bounds the list; the oldest suspects are evicted first, those that were
	// quarantined last.
	maxSuspects = 2048
)

// Suspect is a request, identified by account and content fingerprint, that was in flight when an
// endpoint crashed.
type Suspect struct {
	Account     string `json:"account"`
	Fingerprint string `json:"print"`
	// Crashes counts the crashes at which the request was in flight.
	Crashes int `json:"crashes"`
	// SharedCrashes counts those crashes at which other requests were in flight too.
	SharedCrashes int       `json:"shared"`
	At            time.Time `json:"at"`
	// RefusedUntil is the time until which the request is refused; zero if it isn't quarantined.
	RefusedUntil time.Time `json:"refused,omitzero"`
	// IsolatedUntil is the time until which an isolated run is under way, and Holder is the ID of
	// the request that runs so.
	IsolatedUntil time.Time `json:"trial,omitzero"`
	Holder        string    `json:"holder,omitempty"`
	// Crash identifies the last crash counted.
	Crash string `json:"crash,omitempty"`
}

// Operations on suspects.
const (
	OpCrash         = "crash"
	OpIsolatedRun   = "trial"
	OpClear         = "clear"
	OpOperatorClear = "pardon"
	OpQuarantine    = "quarantine"
)

// Command is a replicated change to the suspects.
type Command struct {
	Op           string    `json:"op"`
	Account      string    `json:"account"`
	Fingerprints []string  `json:"prints"`
	Crash        string    `json:"crash,omitempty"`
	Holder       string    `json:"holder,omitempty"`
	At           time.Time `json:"at"`
	Operator     string    `json:"who,omitempty"`
	// Accounts holds the account of each fingerprint when a crash hit requests of several
	// accounts.
	Accounts []string `json:"accounts,omitempty"`
}

// Verdict is the decision on how a request may run.
type Verdict int

// Verdicts.
const (
	// Run allows the request to run without restriction.
	Run Verdict = iota
	// RunIsolated allows the request to run only in isolation, after an OpIsolatedRun command.
	RunIsolated
	// Refuse rejects the request: it crashed endpoints and is quarantined.
	Refuse
	// WaitForIsolatedRun delays the request until another isolated run of the same content ends.
	WaitForIsolatedRun
)

// Suspects is the replicated list of suspects. A published list is immutable; Apply returns a
// modified copy.
//
// The load pattern is a request that crashes each engine that runs it and is then retried
// elsewhere. Isolated runs tell it apart from requests that were merely in flight at the same
// time.
type Suspects struct {
	byKey map[string]Suspect
}

// NewSuspects returns an empty list.
func NewSuspects() *Suspects { return &Suspects{byKey: map[string]Suspect{}} }

func (s Suspect) quarantined() bool { return !s.RefusedUntil.IsZero() }

// expired reports whether nothing is held against the request any more at now.
func (s Suspect) expired(now time.Time) bool {
	if s.quarantined() {
		return now.Sub(s.RefusedUntil) > quarantineMemory
	}
	return now.Sub(s.At) > IsolationTime
}

func suspectKey(account, fingerprint string) string { return account + "\x00" + fingerprint }

// Check returns how a request may run at now, and its record in the list.
func (s *Suspects) Check(account, fingerprint string, now time.Time) (Verdict, Suspect) {
	if s == nil {
		return Run, Suspect{}
	}
	suspect, ok := s.byKey[suspectKey(account, fingerprint)]
	switch {
	case !ok || suspect.expired(now):
		return Run, suspect
	case now.Before(suspect.RefusedUntil):
		return Refuse, suspect
	case now.Before(suspect.IsolatedUntil):
		return WaitForIsolatedRun, suspect
	}
	return RunIsolated, suspect
}

// Apply returns the list after the command, and the verdict on the command's first fingerprint.
func (s *Suspects) Apply(c Command) (*Suspects, Verdict) {
	next := &Suspects{byKey: make(map[string]Suspect, len(s.byKey)+len(c.Fingerprints))}
	for key, suspect := range s.byKey {
		if !suspect.expired(c.At) {
			next.byKey[key] = suspect
		}
	}
	verdict := Run
	for i, fingerprint := range c.Fingerprints {
		account := c.Account
		if i < len(c.Accounts) {
			account = c.Accounts[i]
		}
		got := next.apply(c, account, fingerprint)
		if i == 0 {
			verdict = got
		}
	}
	next.evict()
	return next, verdict
}

func (s *Suspects) apply(c Command, account, fingerprint string) Verdict {
	key := suspectKey(account, fingerprint)
	suspect, ok := s.byKey[key]
	switch c.Op {
	case OpCrash:
		s.byKey[key] = recordCrash(suspect, c, account, fingerprint)
	case OpIsolatedRun:
		verdict, _ := s.Check(account, fingerprint, c.At)
		if verdict == WaitForIsolatedRun && suspect.Holder == c.Holder {
			return RunIsolated
		}
		if verdict == RunIsolated {
			suspect.IsolatedUntil, suspect.Holder = c.At.Add(IsolatedRunTimeout), c.Holder
			s.byKey[key] = suspect
		}
		return verdict
	case OpClear:
		if ok && suspect.Holder == c.Holder {
			delete(s.byKey, key)
		}
	case OpOperatorClear:
		delete(s.byKey, key)
	case OpQuarantine:
		s.byKey[key] = Suspect{
			Account: account, Fingerprint: fingerprint, Crashes: QuarantineCrashes, At: c.At, RefusedUntil: later(suspect.RefusedUntil, c.At.Add(QuarantineTime)),
		}
	}
	return Run
}

// PrintOf returns the fingerprint under which a request is suspected: that of one of its parts that isn't free to
// run, or its own. Requests that share such a part run, and are refused, as equal ones.
func (s *Suspects) PrintOf(account, fingerprint string, parts []string, now time.Time) string {
	for _, part := range parts {
		if verdict, _ := s.Check(account, part, now); verdict != Run {
			return part
		}
	}
	return fingerprint
}

// recordCrash counts one crash once, however many entries report it.
func recordCrash(suspect Suspect, c Command, account, fingerprint string) Suspect {
	if suspect.Crash == c.Crash && c.Crash != "" {
		return suspect
	}
	suspect.Account, suspect.Fingerprint, suspect.At, suspect.Crash = account, fingerprint, c.At, c.Crash
	suspect.IsolatedUntil, suspect.Holder = time.Time{}, ""
	suspect.Crashes++
	if len(c.Fingerprints) > 1 {
		suspect.SharedCrashes++
	}
	// Quarantine requires one crash with no other request in flight: otherwise another request may
	// be the cause.
	switch {
	case suspect.Crashes < QuarantineCrashes || suspect.Crashes <= suspect.SharedCrashes:
	case suspect.quarantined() && c.At.After(suspect.RefusedUntil):
		suspect.RefusedUntil = c.At.Add(repeatedQuarantineTime)
	default:
		suspect.RefusedUntil = later(suspect.RefusedUntil, c.At.Add(QuarantineTime))
	}
	return suspect
}

func (s *Suspects) evict() {
	for len(s.byKey) > maxSuspects {
		oldest := ""
		for key, suspect := range s.byKey {
			if oldest == "" || suspect.rank().compare(s.byKey[oldest].rank()) < 0 {
				oldest = key
			}
		}
		delete(s.byKey, oldest)
	}
}

func (s Suspect) rank() evictionRank {
	return evictionRank{s.quarantined(), 0, s.At, suspectKey(s.Account, s.Fingerprint)}
}

// evictionRank orders requests to which crashes are attributed by which is evicted first: those that
// are quarantined last, then those with fewest crashes, then the oldest first.
type evictionRank struct {
	quarantined bool
	crashes     int
	at          time.Time
	key         string
}

func (r evictionRank) compare(other evictionRank) int {
	if r.quarantined != other.quarantined {
		if r.quarantined {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(r.crashes, other.crashes), r.at.Compare(other.at), strings.Compare(r.key, other.key))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// All returns the suspects in unspecified order.
func (s *Suspects) All() []Suspect {
	all := make([]Suspect, 0, len(s.byKey))
	for _, suspect := range s.byKey {
		all = append(all, suspect)
	}
	return all
}

// MarshalJSON encodes the suspects as an array, sorted by account and fingerprint.
func (s *Suspects) MarshalJSON() ([]byte, error) {
	all := make([]Suspect, 0, len(s.byKey))
	for _, key := range slices.Sorted(maps.Keys(s.byKey)) {
		all = append(all, s.byKey[key])
	}
	return json.Marshal(all)
}

// UnmarshalJSON replaces the list with the encoded array.
func (s *Suspects) UnmarshalJSON(data []byte) error {
	var all []Suspect
	if err := json.Unmarshal(data, &all); err != nil {
		return Malformed.Wrap(err, "decode suspects")
	}
	s.byKey = make(map[string]Suspect, len(all))
	for _, suspect := range all {
		s.byKey[suspectKey(suspect.Account, suspect.Fingerprint)] = suspect
	}
	return nil
}
