package route

import (
	"math"
	"time"

	"egretshunt/block"
	"egretshunt/table"
)

// EndpointEstimate is the estimated state of one endpoint when a request is placed.
type EndpointEstimate struct {
	// Queue is the queued prefill work in tokens, including requests sent since the last report.
	Queue float64
	// Rate is the prefill rate in tokens per second.
	Rate float64
	// Wait is expected delay other than prefill, such as a busy service that isn't a model engine,
	// or a slow peer.
	Wait time.Duration
	// Link is the capacity towards the stores in bytes per second; zero means none.
	Link float64
	// Backlog is the data still to be transferred on the link, in bytes.
	Backlog float64
	// Cached is how many tokens of the prompt's prefix the endpoint has cached.
	Cached float64
	// Stored is how many tokens of the prompt's prefix the stores hold.
	Stored float64
}

// Request is what the decision uses of a request.
type Request struct {
	HistoryRoot uint64
	// Tokens is the length of the prompt; zero for services that aren't model engines.
	Tokens float64
	// TokenBytes is the size of one token's KV cache.
	TokenBytes float64
}

// PrefillSplit is how much of a prompt is reused, fetched and computed.
type PrefillSplit struct {
	// Reused, Fetched and Computed add up to the length of the prompt, in tokens.
	Reused, Fetched, Computed float64
	// First is the predicted time to first token.
	First time.Duration
	Cost  float64
}

// defaultWeights apply to routes without weights.
var defaultWeights = table.Weights{First: 1, Recompute: 0.02, Link: 0.002}

// WeightsOf returns the weights of the route's objective: the cost of one second of waiting, of a
// thousand recomputed tokens, and of a fetched megabyte.
func WeightsOf(r *table.Route) table.Weights {
	if r.Weights == (table.Weights{}) {
		return defaultWeights
	}
	return r.Weights
}

// BestSplit returns the split with the lowest cost on one endpoint.
//
// The tokens between the cached and the stored length can be fetched, computed, or computed from
// the front while the rest is fetched from the back. The cost is linear between these three, so no
// other split is better (fetching and computing at the same time: Jin et al., Compute Or Load KV
// Cache? Why Not Both?, 2024).
func BestSplit(w table.Weights, q Request, m EndpointEstimate) PrefillSplit {
	best := NewSplit(w, q, m, 0)
	gap := m.Stored - m.Cached
	if gap <= 0 || m.Link <= 0 {
		return best
	}
	gap = min(gap, q.Tokens-m.Cached)
	for _, fetch := range [...]float64{gap, balancedFetch(q, m, gap)} {
		if s := NewSplit(w, q, m, fetch); s.Cost < best.Cost {
			best = s
		}
	}
	return best
}

// balancedFetch returns the number of tokens to fetch so that fetching and computing finish
// together.
func balancedFetch(q Request, m EndpointEstimate, gap float64) float64 {
	secondsPerToken := q.TokenBytes / m.Link
	backlogSeconds := m.Backlog / m.Link
	// (gap - fetch) / rate == ahead + fetch * perToken
	fetch := (gap/m.Rate - backlogSeconds) / (secondsPerToken + 1/m.Rate)
	// Only complete blocks can be fetched.
	return max(0, math.Floor(min(fetch, gap)/block.Tokens)*block.Tokens)
}

// NewSplit returns the split that fetches the given number of tokens and computes the rest.
func NewSplit(w table.Weights, q Request, m EndpointEstimate, fetch float64) PrefillSplit {
	s := PrefillSplit{Reused: min(m.Cached, q.Tokens), Fetched: fetch}
	s.Computed = q.Tokens - s.Reused - fetch
	rate := max(m.Rate, 1)
	seconds := m.Queue/rate + m.Wait.Seconds()
	remaining := s.Computed
	if fetch > 0 {
		// The tokens before the fetched part are computed while it is fetched.
		overlapped := max(0, min(m.Stored, q.Tokens)-s.Reused-fetch)
		remaining = s.Computed - overlapped
		seconds += max(overlapped/rate, (m.Backlog+float64(fetch*q.TokenBytes))/max(m.Link, 1))
	}
	seconds += remaining / rate
	s.First = time.Duration(seconds * float64(time.Second))
	s.Cost = float64(w.First*seconds) + float64(w.Recompute*s.Computed/1000) + float64(w.Link*fetch*q.TokenBytes/1e6)
	return s
}
