package quorum

import (
	"testing"

	"egretshunt/check"
)

// TestTrailingEntries guards against large entries that stay in memory after a snapshot until hundreds of others have followed.
func TestTrailingEntries(t *testing.T) {
	for name, c := range map[string]struct {
		sizes []int
		base  uint64
		index uint64
		want  uint64
	}{
		"few small ones":             {[]int{10, 10, 10}, 0, 3, 0},
		"more than the most":         {[]int{10, 10, 10, 10, 10, 10}, 0, 6, 2},
		"not beyond the base":        {[]int{10, 10}, 7, 9, 7},
		"a large one before":         {[]int{10, 1000, 10, 10}, 0, 4, 2},
		"the last one is large":      {[]int{10, 10, 1000}, 0, 3, 2},
		"large ones after the index": {[]int{10, 10, 1000}, 0, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := memoryLog{baseIndex: c.base}
			for i, n := range c.sizes {
				l.entries = append(l.entries, Entry{Index: c.base + 1 + uint64(i), Data: make([]byte, n)})
			}
			check.Equal(t, "last entry to drop", l.trailing(c.index, 4, 500), c.want)
		})
	}
}
