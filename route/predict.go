package route

import "time"

// Source is a location from which a cached prompt part can be read.
type Source struct {
	// Bandwidth is in bits per second; Delay precedes each transfer.
	Bandwidth float64
	Delay     time.Duration
	// Remote is true if the transfer crosses to another data centre, where it takes twice as long.
	Remote bool
	// QueuedTokens is the number of tokens queued earlier on the source's link.
	QueuedTokens int
	// Evictable is true if the part may be evicted before it is read; it is then computed.
	Evictable bool
}

// Compute, in place of a source's index, means that the part is computed.
const Compute = -1

// RecomputeFactor is the cost of recomputing a part, as a multiple of its computing time: engine
// time is taken from other requests, while links are mostly idle.
const RecomputeFactor = 4

// Engine is what a prediction uses of an engine's properties.
type Engine struct {
	// Rate is the prefill rate in tokens per second.
	Rate float64
	// TokenBytes is the size of one token's KV cache, in bytes.
	TokenBytes int
	// Memory is the engine's KV cache capacity in tokens; zero means unknown.
	Memory int
}

const (
	// evictionProbability is the probability that a part was evicted from an engine's memory
	// before it is read there.
	evictionProbability = 0.12
	// remoteFactor is how many times longer a transfer between data centres takes.
	remoteFactor = 2
)

// Prompt is what the choice of an endpoint uses of a prompt. Subject is its affinity key, equal for
// related prompts, Request its own ID. Entries is the number of entries that choose among the same
// endpoints.
type Prompt struct {
	Subject, Request string
	Entries          int
}

// minDrawn is the least number of candidates that are drawn for a request: the better of two is
// nearly as good as the best of all.
const minDrawn = 2

// draw marks the candidates that are drawn for a request: so many that the entries, each with one
// request that the others don't know of yet, draw each candidate about once.
func (p Prompt) draw(candidates []CandidateEstimate) {
	drawn := p.drawnCount(len(candidates))
	if drawn >= len(candidates) {
		return
	}
	hash := newSubjectHash(p.Request)
	for range drawn {
		hash = hash.addByte(0)
		candidates[mix(uint64(hash))%uint64(len(candidates))].drawn = true
	}
}

// drawnCount returns how many of the candidates are drawn for a request.
func (p Prompt) drawnCount(candidates int) int {
	return max(candidates/max(p.Entries, 1), minDrawn)
}

// insertRank inserts a rank into the highest ranks, which are sorted in descending order.
func insertRank(highest *[maxRankSteps]uint64, rank uint64) {
	if rank <= highest[maxRankSteps-1] {
		return
	}
	for i, r := range highest {
		if rank > r {
			highest[i], rank = rank, r
		}
	}
}

// idleTime returns how long reading a part takes on an idle link. Only this time decides between
// reading and computing: requests that wait for engines look like a queue on the links, and
// recomputing cached parts would make them wait longer.
func (s Source) idleTime(e Engine, tokens int) time.Duration {
	s.QueuedTokens = 0
	return s.time(e, tokens)
}

// time returns how long reading a part takes behind the transfers already queued.
func (s Source) time(e Engine, tokens int) time.Duration {
	if s.Bandwidth <= 0 {
		return time.Hour
	}
	bits := float64(e.TokenBytes) * 8
	partBits, queuedBits := bits*float64(tokens), bits*float64(s.QueuedTokens)
	if s.Remote {
		partBits *= remoteFactor
	}
	return s.Delay + time.Duration((partBits+queuedBits)/s.Bandwidth*float64(time.Second))
}

// CandidateEstimate is the estimate for one candidate endpoint of a prompt.
type CandidateEstimate struct {
	ID string
	// TokensAhead is the number of prompt tokens to compute at the endpoint before this request.
	TokensAhead float64
	// Compute and Fetch are those of Prefill; OwnTokens is the number of tokens in the request's
	// unshared part.
	Compute, OwnTokens int
	// UncachedTokens is the part of Compute that isn't cached anywhere as far as is known: another
	// request may be about to compute it at the subject's first endpoint.
	UncachedTokens int
	Fetch          time.Duration
	// Held is true if the endpoint has all shared parts in memory, of which there are some.
	Held bool
	// drawn is set by earliest.
	drawn bool
	// Place is the index of the endpoint's data centre; only Leaving uses it.
	Place int32
	// Slowdown is the ratio of the endpoint's recent response times to the predictions.
	Slowdown float64
	// MemoryTokens is the number of tokens of all requests in flight at the endpoint, including
	// this one.
	MemoryTokens int
	// Penalty is added for endpoints that are usable but not preferred.
	Penalty time.Duration

	// rank is set by earliest.
	rank uint64
}

const (
	// copyPenalty is added where a part must be fetched or computed, because each copy takes
	// memory from other parts.
	copyPenalty = 40 * time.Millisecond
	// rankPenalty is added for each rendezvous rank below the subject's first endpoint, so that
	// all entries choose the same endpoint for a new subject.
	rankPenalty = 2 * time.Millisecond
	// maxRankSteps bounds how many ranks count.
	maxRankSteps = 4
	// uncachedRankShare is the share of the time to compute uncached parts that is added for each
	// rank.
	uncachedRankShare = 1.5
	// fullMemoryShare is the share of an engine's memory above which it counts as full. The rest
	// is a reserve, because requests grow while they run and other entries' requests are reported
	// late.
	fullMemoryShare = 0.85
	// fullMemoryPenalty is added at a full engine, where a long prompt is preempted and its
	// prefill repeated.
	fullMemoryPenalty = 300 * time.Millisecond
)

// First predicts the time to first token.
func (c *CandidateEstimate) First(e Engine) time.Duration {
	seconds := (c.TokensAhead + float64(c.Compute+c.OwnTokens)) / e.Rate
	return time.Duration(seconds*max(c.Slowdown, minSlowdown)*float64(time.Second)) + c.Fetch
}

// minSlowdown bounds how much faster than predicted an endpoint is assumed to be.
const minSlowdown = 0.5

// EarliestCandidate chooses the candidate with the earliest predicted first token. It adds
// penalties for creating another copy of a part, for a low rendezvous rank and for full memory. It
// returns -1 without candidates. It doesn't allocate.
//
// It compares the candidates that have all shared parts in memory, those that rank highest for the
// subject, and some that are drawn for the request: entries learn of each other's requests with a
// delay, and if many of them compared all candidates, all would choose the one that was least loaded.
//
// The load patterns are subjects that return under load, whose cached parts attract requests until
// their endpoint is so busy, or its memory so full, that a copy elsewhere is earlier; and a loss of
// engines while hundreds of entries look for room at the others.
func EarliestCandidate(p Prompt, e Engine, candidates []CandidateEstimate) int {
	best, _ := earliest(p, e, candidates, noPlace)
	return best.index
}

// noPlace, in place of a data centre's index, means none.
const noPlace = -1

// choice is a candidate and the cost by which it was chosen; its index is -1 if there is no candidate.
type choice struct {
	index int
	cost  time.Duration
}

func (c *choice) take(index int, cost time.Duration) {
	if c.index < 0 || cost < c.cost {
		*c = choice{index, cost}
	}
}

// earliest returns the choice among all candidates, and the one among those of a data centre, ranked among these.
func earliest(p Prompt, e Engine, candidates []CandidateEstimate, place int32) (best, near choice) {
	hash := newSubjectHash(p.Subject)
	all := p.drawnCount(len(candidates)) >= len(candidates)
	var highest, nearHighest [maxRankSteps]uint64
	for i := range candidates {
		b := &candidates[i]
		b.rank, b.drawn = hash.rank(b.ID), all
		insertRank(&highest, b.rank)
		if b.Place == place {
			insertRank(&nearHighest, b.rank)
		}
	}
	p.draw(candidates)
	best.index, near.index = -1, -1
	costs := costs{engine: e, uncached: -1, compute: -1}
	for i := range candidates {
		b := &candidates[i]
		asDrawn := b.drawn || b.Held
		inBest := asDrawn || b.rank >= highest[maxRankSteps-1]
		inNear := b.Place == place && (asDrawn || b.rank >= nearHighest[maxRankSteps-1])
		if !inBest && !inNear {
			continue
		}
		cost, rankCost := costs.of(b)
		if inBest {
			best.take(i, cost+time.Duration(ranksAbove(&highest, b.rank))*rankCost)
		}
		if inNear {
			near.take(i, cost+time.Duration(ranksAbove(&nearHighest, b.rank))*rankCost)
		}
	}
	return best, near
}

// ranksAbove returns how many of the highest ranks are above one.
func ranksAbove(highest *[maxRankSteps]uint64, rank uint64) int {
	if rank < highest[maxRankSteps-1] {
		return maxRankSteps
	}
	above := 0
	for _, r := range highest {
		if r > rank {
			above++
		}
	}
	return above
}

// costs computes the costs of candidates. What they have in common, as most do, is computed once.
type costs struct {
	engine Engine
	// rankCost is that of so many uncached tokens, computeCost that of so many tokens to compute.
	uncached, compute     int
	rankCost, computeCost time.Duration
}

// of returns the cost of a candidate without its rank, and that of each rank above it.
func (k *costs) of(c *CandidateEstimate) (cost, rankCost time.Duration) {
	if c.UncachedTokens != k.uncached {
		k.uncached = c.UncachedTokens
		k.rankCost = rankPenalty + time.Duration(uncachedRankShare*float64(c.UncachedTokens)/k.engine.Rate*float64(time.Second))
	}
	cost = c.First(k.engine) + c.Penalty
	if c.Compute > 0 || c.Fetch > 0 {
		if c.Compute != k.compute {
			k.compute = c.Compute
			k.computeCost = copyPenalty + time.Duration((RecomputeFactor-1)*float64(c.Compute)/k.engine.Rate*float64(time.Second))
		}
		cost += k.computeCost
	}
	if c.isFull(k.engine) {
		cost += fullMemoryPenalty
	}
	return cost, k.rankCost
}

// isFull reports whether the engine's memory counts as full.
func (c *CandidateEstimate) isFull(e Engine) bool {
	return e.Memory > 0 && float64(c.MemoryTokens) > fullMemoryShare*float64(e.Memory)
}
