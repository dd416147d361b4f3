package ctrl_test

import (
	"sync/atomic"
	"testing"

	"egretshunt/check"
	"egretshunt/ctrl"
)

// TestOddPartNameStopsSyncs guards against a part whose name can't be encoded, and an entry that loses touch with control
// while clients name it.
func TestOddPartNameStopsSyncs(t *testing.T) {
	sp := threeEngines()
	var used atomic.Pointer[ctrl.Feed]
	feed := sp.startFeed(t, func() []string {
		// Each sync takes the names that were used before it.
		if f := used.Load(); f != nil {
			f.RecordUse("v1/\xff")
			f.RecordUse("v1/ab")
		}
		return nil
	})
	check.Eventually(t, "all engines in use", func() bool { return downIDs(feed) == "" })
	feed.RecordUse("v1/\xff")
	used.Store(feed)
	for range 3 {
		sp.silent.Store(1)
		check.Eventually(t, "the unresponsive engine marked down", func() bool { return downIDs(feed) == "e1" })
		sp.silent.Store(-1)
		check.Eventually(t, "in use again", func() bool { return downIDs(feed) == "" })
	}
}
