package route

import (
	"math"
	"time"
)

const (
	// homeHitProbability is the assumed probability that a history unknown to this entry is cached
	// at its rendezvous endpoint and in the stores.
	homeHitProbability = 0.95
	// evictionTimeScale is the age at which the probability that an engine still caches a history
	// has fallen to 1/e.
	evictionTimeScale = 1000 * time.Second
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
			cached = homeHitProbability * q.Tokens
		}
		if h.Stores {
			stored = homeHitProbability * q.Tokens
		}
		return cached, stored
	}
	knownTokens := min(h.Tokens, q.Tokens)
	if h.Here {
		cached = knownTokens * math.Exp(-h.Age.Seconds()/evictionTimeScale.Seconds())
	}
	if h.Stores {
		stored = knownTokens
	}
	return cached, stored
}
