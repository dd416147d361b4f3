package pass

import (
	"math/rand/v2"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
)

// Guards against a turn from before a long silence of control that is used in full since a sync ended the silence: the leader may have given it
// to another entry.
func TestSyncConfirmsNoEarlierTurn(t *testing.T) {
	for name, c := range map[string]struct {
		silence time.Duration
		half    bool
	}{"after a silence": {limit.RosterDelay + time.Millisecond, true}, "in contact": {0, false}} {
		t.Run(name, func(t *testing.T) {
			p := newPlaceCase(t, rand.New(rand.NewPCG(1, 1)), []string{"sys"})
			e, view := p.entry, p.entry.config.View.(*placeView)
			e.mu.Lock()
			defer e.mu.Unlock()
			view.age = c.silence
			topology := e.topologyOf(p.list, p.set)
			topology.cold.paces["p"] = limit.ColdPace{Rate: 1}
			view.age = 0
			check.Equal(t, "half of the turns", e.coldPoolOf(topology, "p").turn.Half, c.half)
		})
	}
}
