package agent

import (
	"testing"

	"egretshunt/check"
	"egretshunt/limit"
	"egretshunt/wire"
)

// TestOffersBeyondMemory guards against an agent that takes offers beyond its memory: entries together may send more than one of them holds.
func TestOffersBeyondMemory(t *testing.T) {
	const large = 4 << 20
	a := &Agent{config: Config{Budget: limit.NewBudget(limit.BudgetConfig{Large: large})}}
	offer := &wire.Offer{Body: make([]byte, large)}
	first, r := a.holdOffer(offer)
	check.Equal(t, "a single one of any size is refused", r != nil, false)
	second, r := a.holdOffer(offer)
	check.Equal(t, "code and ran beyond the memory", []string{r.GetCode(), r.GetRan()}, []string{codeBusy, ranNo})
	second.Release()
	third, r := a.holdOffer(&wire.Offer{Body: make([]byte, limit.SmallBytes/offerFactor)})
	check.Equal(t, "a small one is refused", r != nil, false)
	third.Release()
	first.Release()
	_, r = a.holdOffer(offer)
	check.Equal(t, "refused afterwards", r != nil, false)
}
