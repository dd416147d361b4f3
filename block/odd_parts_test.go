package block_test

import (
	"net/netip"
	"testing"
	"time"

	"egretshunt/block"
	"egretshunt/check"
)

// TestOddPartClosesStore guards against a part of another writer that is larger than its store, for which the store
// accepts no parts. One that is listed twice counts once.
func TestOddPartClosesStore(t *testing.T) {
	const capacity = 10_000
	sound := block.Held{Name: "s/a", Tokens: 160}
	for name, odd := range map[string]block.Held{
		"larger than the store": {Name: "s/x", Tokens: capacity + 1},
		"far larger":            {Name: "s/x", Tokens: 1 << 40},
		"negative":              {Name: "s/x", Tokens: -1 << 40},
		"listed twice":          sound,
	} {
		for _, how := range []string{"listed", "added"} {
			t.Run(name+", "+how, func(t *testing.T) {
				s := block.NewStoreIndex(block.StoreIndexConfig{Store: netip.MustParseAddrPort("10.0.0.1:80"), Tokens: capacity}, 0)
				list, events := []block.Held{sound, odd}, []block.PartEvent(nil)
				if how == "added" {
					list, events = list[:1], []block.PartEvent{{Held: odd}}
				}
				s.ApplyListing(1, list, time.Second)
				s.ApplyEvents(events, time.Second)
				accepting, _ := s.UpdateAccepting(2 * time.Second)
				check.Equal(t, "accepts parts", accepting, true)
				tokens, _ := s.Usage()
				check.Equal(t, "tokens listed", tokens, sound.Tokens)
				s.ApplyEvents([]block.PartEvent{{Held: sound, Removed: true}, {Held: odd, Removed: true}}, time.Second)
				tokens, _ = s.Usage()
				check.Equal(t, "tokens after removals", tokens, 0)
			})
		}
	}
}
