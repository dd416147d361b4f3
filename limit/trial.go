package limit

import (
	"fmt"
	"hash/fnv"
	"time"

	"egretshunt/value"
)

const (
	// TrialInterval is how long one entry has the right to run a quarantined request as a trial. It
	// starts one run at most, and only within trialStartTime: the rest of the interval leaves time for
	// the end of an endpoint to show, so that the next entry doesn't start a trial too.
	TrialInterval  = 30 * time.Second
	trialStartTime = 15 * time.Second
)

// TrialEntry returns the entry that may start a run of a quarantined request at now, if any may.
// entries must be sorted. The right moves on, since the request may not come to every entry.
func TrialEntry(fingerprint string, entries []string, now time.Time) value.Option[string] {
	interval := now.UnixNano() / int64(TrialInterval)
	if len(entries) == 0 || now.UnixNano()-interval*int64(TrialInterval) >= int64(trialStartTime) {
		return value.None[string]()
	}
	h := fnv.New64a()
	// Writes to a hash don't fail.
	fmt.Fprint(h, fingerprint, interval)
	return value.Some(entries[h.Sum64()%uint64(len(entries))])
}
