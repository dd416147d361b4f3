package agent

import (
	"egretshunt/limit"
	"egretshunt/wire"
)

// offerFactor is how many times its size an offer is held: as it came, and in the call to the endpoint.
const offerFactor = 2

// holdOffer returns the holder of an offer's memory, which is released when its request ends, and a refusal if there is no memory for it.
func (a *Agent) holdOffer(o *wire.Offer) (*limit.Hold, *wire.Refuse) {
	hold := a.config.Budget.Hold(limit.UseBody, nil)
	if hold.Keep(a.config.Budget.Single(offerFactor * (len(o.GetBody()) + len(o.GetPrompt())))) {
		return hold, nil
	}
	r := newRefuse(codeBusy, ranNo, "the agent has no memory for the request")
	r.RetryMs = uint32(limit.BodyPatience.Milliseconds())
	return hold, r
}
