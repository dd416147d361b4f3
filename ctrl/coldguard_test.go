package ctrl

import (
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/clock"
	"egretshunt/wire"
)

// TestTurnOutlivesControl guards against an entry that loses its turn, or what it knows of cold endpoints, when its leader changes or control
// is silent.
func TestTurnOutlivesControl(t *testing.T) {
	g := newColdGuard()
	install := func(r *wire.Synced) *Cold {
		g.install(r, clock.Now())
		return g.known.Load()
	}
	cold := []*wire.Cold{{Endpoint: "a", LeftMs: 60_000}}
	was := install(&wire.Synced{Life: 1, Slot: 3, Slots: 7, GroupUs: 1e15, ListageMs: 101, Cold: cold})
	check.Equal(t, "place", []int{was.Turn.Index, was.Turn.Count}, []int{3, 7})
	next := install(&wire.Synced{Life: 2, GroupUs: 1e15, ListageMs: 101})
	check.Equal(t, "place with a new leader", []int{next.Turn.Index, next.Turn.Count}, []int{3, 7})
	check.Equal(t, "cold with a new leader", next.Until["a"], was.Until["a"])
	same := install(&wire.Synced{Life: 2, GroupUs: 1e15, ListageMs: 101, Cold: []*wire.Cold{{Endpoint: "b", LeftMs: 60_000}}})
	check.Equal(t, "what the former leader said stays", len(same.Until), 2)
	last := install(&wire.Synced{Life: 2, GroupUs: 1e15, ListageMs: 101})
	check.Equal(t, "what this leader said ends with its word", last.Until["b"], time.Duration(0))
	older := install(&wire.Synced{Life: 4, GroupUs: 1e15, ListageMs: 1501})
	check.Equal(t, "a new leader's list may be older", older.ListedAt < last.ListedAt, true)
	last = older
	unread := install(&wire.Synced{Life: 3, GroupUs: 1e15})
	check.Equal(t, "a leader without a list changes no age", unread.ListedAt, last.ListedAt)
}
