package limit

import (
	"cmp"
	"slices"
	"time"
)

// blameParts quarantines the part that explains most of the crashes that count against parts, if it is
// certain enough, and then the next one.
func (t *CrashTracker) blameParts(now time.Time) {
	for {
		r, ok := t.mostBlamed(now)
		if !ok {
			return
		}
		r.TrialAt = now.Add(firstTrialDelay)
		t.records[r.Fingerprint] = r
		t.causes = append(t.causes, r.Fingerprint)
		t.dropExplained(r)
	}
}

// QuarantinedPart is a part of prompts that is refused within a client account.
type QuarantinedPart struct{ Account, Fingerprint string }

// QuarantinedSince returns the parts that are quarantined and were not in a former tracker, sorted.
func (t *CrashTracker) QuarantinedSince(former *CrashTracker) []QuarantinedPart {
	var parts []QuarantinedPart
	for _, name := range t.causes {
		if !slices.Contains(former.causes, name) {
			parts = append(parts, QuarantinedPart{t.records[name].Account, name})
		}
	}
	return parts
}

// mostBlamed returns the part to quarantine, if there is one. It was present at the most crashes; one that
// was never seen in a prompt whose response began goes before one that was, and a tie between such parts needs
// more crashes.
func (t *CrashTracker) mostBlamed(now time.Time) (crashRecord, bool) {
	var best crashRecord
	tied := false
	for _, r := range t.records {
		if !r.Part || r.quarantined() || len(r.Crashes) == 0 {
			continue
		}
		order := r.compareBlame(best)
		if best.Fingerprint == "" || order > 0 {
			best, tied = r, false
		} else if order == 0 {
			tied = true
			// The choice must be the same on each member.
			if r.Fingerprint < best.Fingerprint {
				best = r
			}
		}
	}
	needed := MaxAttributedCrashes
	if tied {
		needed = maxAmbiguousCrashes
	}
	if best.Count < needed || now.Sub(best.WatchedAt) < soundnessTime {
		return crashRecord{}, false
	}
	return best, true
}

// compareBlame orders parts by how likely they cause crashes.
func (r crashRecord) compareBlame(other crashRecord) int {
	if neverSound := r.SoundAt.IsZero(); neverSound != other.SoundAt.IsZero() {
		if neverSound {
			return 1
		}
		return -1
	}
	return cmp.Compare(r.moments(), other.moments())
}

// minCrashGap is the time between crashes below which they are one event, such as the loss of a rack.
const minCrashGap = 50 * time.Millisecond

// moments returns at how many moments crashes were reported.
func (r crashRecord) moments() int {
	n := 0
	for i, c := range r.Crashes {
		if i == 0 || c.At.Sub(r.Crashes[i-1].At) >= minCrashGap {
			n++
		}
	}
	return n
}

// dropExplained drops the crashes of a quarantined part from all other requests and parts, which were only in
// flight beside it.
func (t *CrashTracker) dropExplained(cause crashRecord) {
	for name, r := range t.records {
		if r.Fingerprint == cause.Fingerprint || r.Part && r.quarantined() {
			continue
		}
		left := slices.DeleteFunc(slices.Clone(r.Crashes), func(c crash) bool { return slices.ContainsFunc(cause.Crashes, c.isSame) })
		if len(left) == len(r.Crashes) {
			continue
		}
		r.Crashes, r.Count = left, 0
		for _, c := range left {
			if !c.Concurrent {
				r.Count++
			}
		}
		if r.Count < MaxAttributedCrashes {
			r.TrialAt, r.Trials = time.Time{}, 0
		}
		if r.Count < MaxAttributedCrashes-1 {
			r.WatchedAt = time.Time{}
		}
		if len(left) == 0 && r.SoundAt.IsZero() {
			delete(t.records, name)
			continue
		}
		t.records[name] = r
	}
}
