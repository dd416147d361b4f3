package route

import (
	"slices"
	"time"
)

// Source is a place that kept context can be read from.
type Source struct {
	// Bandwidth is in bits a second; Delay comes before each transfer.
	Bandwidth float64
	Delay     time.Duration
	// Far says that the transfer crosses to another data centre, which takes twice as long.
	Far bool
	// Queued is the tokens that wait on the source's link before.
	Queued int
	// Risky says that the part may be dropped before it is read; it is then computed.
	Risky bool
}

// Need is one shared part of a prompt at one endpoint.
type Need struct {
	Tokens int
	// Held says that the endpoint has the part in memory.
	Held bool
	// Sources are where it could be read from.
	Sources []Source
}

// Compute, in place of the index of a source, means that the part is computed.
const Compute = -1

// Recompute is how many times its time computing a part counts for that was computed
// before: the engine's time is taken from others, while links are mostly free.
const Recompute = 4

// Engine is what a prediction knows of an engine.
type Engine struct {
	// Rate is how many prompt tokens it computes a second.
	Rate float64
	// TokenBytes is the size of a kept token.
	TokenBytes int
	// Memory is how many tokens fit into it; zero means that it is not known.
	Memory int
}

const (
	// missRisk is the chance that a part was dropped from an engine's memory before it is read there.
	missRisk = 0.12
	// farFactor is how much longer a transfer between data centres takes.
	farFactor = 2
)

// Fill chooses, for each shared part, the source to read it from or Compute, and returns
// the time of the transfers and the tokens left to compute. A part that is held takes no
// time; its source is named in case that it was dropped unheard.
//
// It answers the pattern of slow or distant links, on which computing is sooner.
func Fill(e Engine, needs []Need) (plan []int, fetch time.Duration, compute int) {
	plan = make([]int, len(needs))
	held := true
	for i, n := range needs {
		plan[i] = Compute
		limit := time.Duration(Recompute * float64(n.Tokens) / e.Rate * float64(time.Second))
		best := limit
		for k, s := range n.Sources {
			d := s.time(e, n.Tokens)
			if s.Risky {
				d += time.Duration(missRisk * float64(limit))
			}
			if s.idle(e, n.Tokens) < limit && (plan[i] == Compute || d < best) {
				plan[i], best = k, d
			}
		}
		if held = held && n.Held; held {
			continue
		}
		if plan[i] == Compute {
			compute += n.Tokens
		} else {
			fetch += best
		}
	}
	return plan, fetch, compute
}

// idle returns how long a part takes on an idle link. Whether to read or to compute hangs on
// that alone: work that waits for engines looks like a queue on links, and computing again
// what is kept makes it longer.
func (s Source) idle(e Engine, tokens int) time.Duration {
	s.Queued = 0
	return s.time(e, tokens)
}

// time returns when a part would have been read.
func (s Source) time(e Engine, tokens int) time.Duration {
	if s.Bandwidth <= 0 {
		return time.Hour
	}
	bits := float64(e.TokenBytes) * 8
	own, before := bits*float64(tokens), bits*float64(s.Queued)
	if s.Far {
		own *= farFactor
	}
	return s.Delay + time.Duration((own+before)/s.Bandwidth*float64(time.Second))
}

// Bid is one endpoint's prospect for a prompt.
type Bid struct {
	ID string
	// Ahead is the prompt tokens that are to be computed there before.
	Ahead float64
	// Compute and Fetch are what Fill returned; Own is the tokens of the request's own part.
	Compute, Own int
	// Fresh is the part of Compute that is kept nowhere, as far as is known: another request may
	// be about to compute it at the subject's home.
	Fresh int
	Fetch time.Duration
	// Slow is how much longer the endpoint took of late than predicted.
	Slow float64
	// Taken is the tokens of all requests under way there and of this one.
	Taken int
	// Penalty is added for endpoints that are usable but not wanted.
	Penalty time.Duration
}

const (
	// copyCost is added where a part must be fetched or computed: each copy takes memory from others.
	copyCost = 40 * time.Millisecond
	// homeStep is added for each rank below the subject's first endpoint, so that a new subject
	// has the same one at every entry.
	homeStep = 2 * time.Millisecond
	// maxHomeSteps bounds how many of them count.
	maxHomeSteps = 4
	// freshShare is the share of the time to compute parts that are kept nowhere that is added for each rank.
	freshShare = 1.5
	// crowdedShare is the share of an engine's memory beyond which it counts as full: requests
	// grow while they run, and other entries' requests are heard of late.
	crowdedShare = 0.85
	// crowdedCost is added at a full engine: a long prompt loses its place there and is read again.
	crowdedCost = 300 * time.Millisecond
)

// First predicts the time to the first token.
func (b Bid) First(e Engine) time.Duration {
	work := (b.Ahead + float64(b.Compute+b.Own)) / e.Rate
	return time.Duration(work*max(b.Slow, minSlow)*float64(time.Second)) + b.Fetch
}

// minSlow bounds how much faster than predicted an endpoint is believed to be.
const minSlow = 0.5

// Soonest chooses the endpoint with the soonest first token, counting a copy made and an
// endpoint far from the subject's home as a little later. It returns -1 without bids.
//
// It answers the pattern of returning subjects under load: what is kept draws requests
// until its endpoint is so busy, or its memory so full, that a copy elsewhere is sooner.
func Soonest(subject string, e Engine, bids []Bid) int {
	ranks := make([]uint64, len(bids))
	for i, b := range bids {
		ranks[i] = rendezvous(subject, b.ID)
	}
	top := slices.Clone(ranks)
	slices.Sort(top)
	top = top[max(len(top)-maxHomeSteps, 0):]
	best, least := -1, time.Duration(0)
	for i, b := range bids {
		above := 0
		for _, r := range top {
			if r > ranks[i] {
				above++
			}
		}
		step := homeStep + time.Duration(freshShare*float64(b.Fresh)/e.Rate*float64(time.Second))
		cost := b.First(e) + b.Penalty + time.Duration(above)*step
		if b.Compute > 0 || b.Fetch > 0 {
			cost += copyCost + time.Duration((Recompute-1)*float64(b.Compute)/e.Rate*float64(time.Second))
		}
		if e.Memory > 0 && float64(b.Taken) > crowdedShare*float64(e.Memory) {
			cost += crowdedCost
		}
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}
