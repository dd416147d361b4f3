package route

import (
	"math"
	"time"
)

const (
	// homeChance is the chance that a history which this entry never saw lies on its
	// rendezvous endpoint and in the stores.
	homeChance = 0.95
	// forgetScale is the age at which the chance that an engine still holds a history has fallen to 1/e.
	forgetScale = 1000 * time.Second
)

// Hint is what an entry remembers of a history.
type Hint struct {
	// Known is false when the entry never saw the history.
	Known bool
	// Here is true for the endpoint that served it last, Top for the rendezvous target.
	Here, Top bool
	// Tokens is how long it was then, Age how long ago that was.
	Tokens float64
	Age    time.Duration
	// Stores is true when the route has stores.
	Stores bool
}

// Believe estimates how much of a prompt an endpoint and the stores hold, in tokens.
func Believe(h Hint, q Request) (cached, stored float64) {
	if !h.Known {
		if h.Top {
			cached = homeChance * q.Tokens
		}
		if h.Stores {
			stored = homeChance * q.Tokens
		}
		return cached, stored
	}
	known := min(h.Tokens, q.Tokens)
	if h.Here {
		cached = known * math.Exp(-h.Age.Seconds()/forgetScale.Seconds())
	}
	if h.Stores {
		stored = known
	}
	return cached, stored
}
