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

// HistoryRecord is what an entry remembers of a conversation history.
type HistoryRecord struct {
	// Known is false when this entry has never routed the history.
	Known bool
	// LastServed is true for the endpoint that served the history last, Top for the rendezvous
	// target.
	LastServed, Top bool
	// Tokens is the length of the history when it was last routed, Age the time since then.
	Tokens float64
	Age    time.Duration
	// Stores is true when the route has external stores.
	Stores bool
}

// EstimateCached estimates how many tokens of a prompt an endpoint has cached and the stores hold.
//
// The load pattern is conversations whose turns arrive at different entries and after pauses: an
// entry that has not seen a history assumes that the others sent it to the rendezvous target.
func EstimateCached(h HistoryRecord, q Request) (cached, stored float64) {
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
	if h.LastServed {
		// Rounded, since math.Exp differs between processors in the last bit.
		cached = math.Round(knownTokens * math.Exp(-h.Age.Seconds()/evictionTimeScale.Seconds()))
	}
	if h.Stores {
		stored = knownTokens
	}
	return cached, stored
}
