package limit

import (
	"cmp"
	"slices"
	"time"
)

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

// explanation is the set of crashes that the causes found so far explain, by endpoint.
type explanation map[string][]explainedCrash

type explainedCrash struct {
	crash
	cause crashRecord
}

func (e explanation) add(cause crashRecord) {
	for _, c := range cause.Crashes {
		e[c.Endpoint] = append(e[c.Endpoint], explainedCrash{c, cause})
	}
}

// unexplained returns the crashes of a request or part that no cause explains.
func (e explanation) unexplained(r crashRecord) []crash {
	isExplained := func(c crash) bool {
		return slices.ContainsFunc(e[c.Endpoint], func(x explainedCrash) bool { return x.isSame(c) && x.cause.mayExplain(r) })
	}
	if len(e) == 0 || !slices.ContainsFunc(r.Crashes, isExplained) {
		return r.Crashes
	}
	return slices.DeleteFunc(slices.Clone(r.Crashes), isExplained)
}

// mayExplain reports whether crashes of a cause don't speak against a request or part that was present at them too. Of requests
// that were present at as many, any may be the cause.
func (r crashRecord) mayExplain(other crashRecord) bool {
	if r.Fingerprint == other.Fingerprint {
		return false
	}
	equals := !r.Part && !other.Part && r.Wide == other.Wide && r.Trials == 0 && len(other.Crashes) >= MaxAttributedCrashes && r.strength() == other.strength()
	return !equals
}

// blame quarantines the causes of the crashes and releases what they explain. The cause that explains most comes first;
// what it was present at then no longer counts against the others. A quarantine that a trial has confirmed stays.
func (t *CrashTracker) blame(now time.Time) {
	explained := explanation{}
	causes := map[string]bool{}
	accept := func(r crashRecord) {
		causes[r.Fingerprint] = true
		explained.add(r)
	}
	var requests []crashRecord
	for _, r := range t.records {
		switch {
		case r.Trials > 0:
			accept(r)
		case !r.Part && len(r.Crashes) >= MaxAttributedCrashes:
			requests = append(requests, r)
		}
	}
	slices.SortFunc(requests, crashRecord.compareRank)
	for {
		part, state := t.mostBlamedPart(explained, causes, now)
		for len(requests) > 0 && (state != decided || requests[0].compareRank(part) < 0) {
			r := requests[0]
			requests = requests[1:]
			left := explained.unexplained(r)
			if state == pending && part.compareRank(r) < 0 {
				left = withoutCrashesOf(part, left)
			}
			if countInSequence(left) >= MaxAttributedCrashes {
				accept(r)
				// What it explains may show another part as the most blamed.
				part, state = t.mostBlamedPart(explained, causes, now)
			}
		}
		if state != decided {
			break
		}
		accept(part)
	}
	t.quarantine(causes, explained, now)
}

func withoutCrashesOf(part crashRecord, crashes []crash) []crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c crash) bool { return slices.ContainsFunc(part.Crashes, c.isSame) })
}

// quarantine puts the verdict on all records: the causes are quarantined, others are not, and count what is unexplained.
func (t *CrashTracker) quarantine(causes map[string]bool, explained explanation, now time.Time) {
	for name, r := range t.records {
		former := r
		switch {
		case !causes[name]:
			r.TrialAt = time.Time{}
			r.Count = countInSequence(explained.unexplained(r))
		case !r.quarantined():
			r.TrialAt = now.Add(firstTrialDelay)
			fallthrough
		default:
			r.Count = countInSequence(r.Crashes)
		}
		if r.Part && r.WatchedAt.IsZero() && countInSequence(r.Crashes) > 1 {
			r.WatchedAt = now
		}
		if r.Count != former.Count || r.TrialAt != former.TrialAt || r.WatchedAt != former.WatchedAt {
			t.records[name] = r
		}
	}
}

// compareRank orders requests and parts by how well they explain the crashes at which they were present, the better first.
// A part that was ever seen in a prompt whose response began is the last to be blamed. Of several that explain as much, one
// that is quarantined stays so; else the narrowest goes first: a wider one is present wherever it is.
func (r crashRecord) compareRank(other crashRecord) int {
	breadth := func(r crashRecord) int {
		switch {
		case r.Part:
			return 2
		case r.Wide:
			return 1
		}
		return 0
	}
	// less orders a record for which the condition holds before one for which it doesn't.
	less := func(holds, holdsForOther bool) int {
		switch {
		case holds == holdsForOther:
			return 0
		case holds:
			return -1
		}
		return 1
	}
	return cmp.Or(less(r.SoundAt.IsZero(), other.SoundAt.IsZero()), cmp.Compare(other.strength(), r.strength()), less(r.quarantined(), other.quarantined()),
		cmp.Compare(breadth(r), breadth(other)), cmp.Compare(r.Fingerprint, other.Fingerprint))
}

// strength returns how many crashes speak against a request or part.
func (r crashRecord) strength() int { return max(countInSequence(r.Crashes), countMoments(r.Crashes)) }

// decision is whether the part that is most to blame may be quarantined.
type decision int

const (
	// undecided means that too few crashes speak against it, or none of an attempt sent since it is watched.
	undecided decision = iota
	// pending means that a response may still show within soundnessTime that the part is sound.
	pending
	decided
)

// mostBlamedPart returns the part that explains most of the crashes that are unexplained so far. One that was never seen in a
// prompt whose response began goes before one that was, and a tie between parts needs more crashes.
func (t *CrashTracker) mostBlamedPart(explained explanation, causes map[string]bool, now time.Time) (crashRecord, decision) {
	var best crashRecord
	var left []crash
	tied, bestMoments := false, 0
	for _, r := range t.records {
		if !r.Part || causes[r.Fingerprint] {
			continue
		}
		unexplained := explained.unexplained(r)
		if len(unexplained) == 0 {
			continue
		}
		moments := countMoments(unexplained)
		order := compareBlame(r, moments, best, bestMoments)
		tied = order == 0 && best.Fingerprint != "" || tied && order < 0
		// The choice among equals must be the same on each member.
		if best.Fingerprint == "" || order > 0 || order == 0 && r.Fingerprint < best.Fingerprint {
			best, left, bestMoments = r, unexplained, moments
		}
	}
	count := countInSequence(left)
	switch {
	case count < MaxAttributedCrashes:
		return best, undecided
	case t.isCovered(left):
		return best, undecided
	case best.quarantined():
		return best, decided
	case tied && count < maxAmbiguousCrashes:
		return best, undecided
	case best.WatchedAt.IsZero() || now.Sub(best.WatchedAt) < soundnessTime:
		return best, pending
	case !slices.ContainsFunc(left, func(c crash) bool { return c.Sent.After(best.WatchedAt) }):
		// That no response began since then tells nothing: no prompt with the part may have been sent, or no endpoint may run.
		return best, undecided
	}
	return best, decided
}

// isCovered reports whether one request was present at all the crashes of a part: then it explains as much.
func (t *CrashTracker) isCovered(crashes []crash) bool {
	for _, r := range t.records {
		if r.Part || len(r.Crashes) < len(crashes) {
			continue
		}
		isElsewhere := func(c crash) bool { return !slices.ContainsFunc(r.Crashes, c.isSame) }
		if !slices.ContainsFunc(crashes, isElsewhere) {
			return true
		}
	}
	return false
}

// compareBlame orders parts by how likely they cause the crashes that are unexplained, which occurred at some moments.
func compareBlame(a crashRecord, momentsOfA int, b crashRecord, momentsOfB int) int {
	if neverSound := a.SoundAt.IsZero(); neverSound != b.SoundAt.IsZero() {
		if neverSound {
			return 1
		}
		return -1
	}
	return cmp.Compare(momentsOfA, momentsOfB)
}
