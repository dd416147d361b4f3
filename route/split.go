package route

import (
	"math"
	"time"

	"egretshunt/block"
	"egretshunt/table"
)

// Measured is what is believed of one endpoint when a request is to be placed.
type Measured struct {
	// Queue is work ahead, in tokens of prefill, with what was sent since the last report.
	Queue float64
	// Rate is prefill speed in tokens a second.
	Rate float64
	// Wait is time ahead that is not prefill, such as a busy plain service or a slow peer.
	Wait time.Duration
	// Link is the capacity towards the stores in bytes a second; zero means none.
	Link float64
	// Backlog is what the link has still to carry, in bytes.
	Backlog float64
	// Cached is how many tokens of the prompt's start the endpoint holds.
	Cached float64
	// Stored is how many tokens of the prompt's start the stores hold.
	Stored float64
}

// Request is what the decision needs to know of a request.
type Request struct {
	Root uint64
	// Tokens is the length of the prompt; zero for plain services.
	Tokens float64
	// Bytes is the size of the kept state of one token.
	Bytes float64
}

// Split says where each token of a prompt comes from.
type Split struct {
	// Reused, Fetched and Computed add up to the prompt, in tokens.
	Reused, Fetched, Computed float64
	// First is the predicted time to the first token.
	First time.Duration
	Cost  float64
}

// Defaults of a route without weights.
var defaultWeights = table.Weights{First: 1, Recompute: 0.02, Link: 0.002}

// WeightsOf returns the route's objective: cost of a second of waiting, of a
// thousand recomputed tokens, and of a fetched megabyte.
func WeightsOf(r *table.Route) table.Weights {
	if r.Weights == (table.Weights{}) {
		return defaultWeights
	}
	return r.Weights
}

// Best returns the cheapest lawful way to serve the prompt on one endpoint.
//
// The tokens between what is cached and what is stored can be fetched, computed,
// or computed from the front while the rest is fetched from the back. The cost
// is linear between these three, so that no other share is better (fetching and
// computing at once: Jin et al., Compute Or Load KV Cache? Why Not Both?, 2024).
func Best(w table.Weights, q Request, m Measured) Split {
	best := Make(w, q, m, 0)
	gap := m.Stored - m.Cached
	if gap <= 0 || m.Link <= 0 {
		return best
	}
	gap = min(gap, q.Tokens-m.Cached)
	for _, fetch := range [...]float64{gap, balance(q, m, gap)} {
		if s := Make(w, q, m, fetch); s.Cost < best.Cost {
			best = s
		}
	}
	return best
}

// balance returns the fetch at which link and processor finish together.
func balance(q Request, m Measured, gap float64) float64 {
	perToken := q.Bytes / m.Link
	ahead := m.Backlog / m.Link
	// (gap - fetch) / rate == ahead + fetch * perToken
	fetch := (gap/m.Rate - ahead) / (perToken + 1/m.Rate)
	// Only whole blocks can be fetched.
	return max(0, math.Floor(min(fetch, gap)/block.Tokens)*block.Tokens)
}

// Make returns the split that fetches the given number of tokens and computes the rest.
func Make(w table.Weights, q Request, m Measured, fetch float64) Split {
	s := Split{Reused: min(m.Cached, q.Tokens), Fetched: fetch}
	s.Computed = q.Tokens - s.Reused - fetch
	rate := max(m.Rate, 1)
	seconds := m.Queue/rate + m.Wait.Seconds()
	tail := s.Computed
	if fetch > 0 {
		// What lies before the fetched part is computed while it is fetched.
		front := max(0, min(m.Stored, q.Tokens)-s.Reused-fetch)
		tail = s.Computed - front
		seconds += max(front/rate, (m.Backlog+fetch*q.Bytes)/max(m.Link, 1))
	}
	seconds += tail / rate
	s.First = time.Duration(seconds * float64(time.Second))
	s.Cost = w.First*seconds + w.Recompute*s.Computed/1000 + w.Link*fetch*q.Bytes/1e6
	return s
}
