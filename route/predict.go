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
	drawn := max(len(candidates)/max(p.Entries, 1), minDrawn)
	for i := range candidates {
		candidates[i].drawn = drawn >= len(candidates)
	}
	if drawn >= len(candidates) {
		return
	}
	hash := newSubjectHash(p.Request)
	for range drawn {
		hash = hash.addByte(0)
		candidates[mix(uint64(hash))%uint64(len(candidates))].drawn = true
	}
}

// insertRank inserts a rank into the highest ranks, which are sorted in descending order.
func insertRank(highest *[maxRankSteps]uint64, rank uint64) {
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
	// Slowdown is the ratio of the endpoint's recent response times to the predictions.
	Slowdown float64
	// MemoryTokens is the number of tokens of all requests in flight at the endpoint, including
	// this one.
	MemoryTokens int
	// Penalty is added for endpoints that are usable but not preferred.
	Penalty time.Duration
	// Place is the index of the endpoint's data centre; only Leaving uses it.
	Place int

	// rank and drawn are set by Prompt.rank.
	rank  uint64
	drawn bool
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
	p.rank(candidates)
	best, _ := earliest(e, candidates, anyPlace)
	return best
}

// rank sets the candidates' ranks for the subject and marks those drawn for the request.
func (p Prompt) rank(candidates []CandidateEstimate) {
	hash := newSubjectHash(p.Subject)
	p.draw(candidates)
	for i := range candidates {
		candidates[i].rank = hash.rank(candidates[i].ID)
	}
}

// anyPlace, in place of a data centre's index, means all of them.
const anyPlace = -1

// earliest returns the candidate with the lowest cost among those in a data centre, ranked among these, and its cost; -1 if
// there are none.
func earliest(e Engine, candidates []CandidateEstimate, place int) (best int, lowestCost time.Duration) {
	var highest [maxRankSteps]uint64
	for i := range candidates {
		if place == anyPlace || candidates[i].Place == place {
			insertRank(&highest, candidates[i].rank)
		}
	}
	best = -1
	for i := range candidates {
		b := &candidates[i]
		if place != anyPlace && b.Place != place {
			continue
		}
		ranksAbove := 0
		for _, r := range highest {
			if r > b.rank {
				ranksAbove++
			}
		}
		if ranksAbove == maxRankSteps && !b.drawn && !b.Held {
			continue
		}
		rankCost := rankPenalty + time.Duration(uncachedRankShare*float64(b.UncachedTokens)/e.Rate*float64(time.Second))
		cost := b.First(e) + b.Penalty + time.Duration(ranksAbove)*rankCost
		if b.Compute > 0 || b.Fetch > 0 {
			cost += copyPenalty + time.Duration((RecomputeFactor-1)*float64(b.Compute)/e.Rate*float64(time.Second))
		}
		if b.isFull(e) {
			cost += fullMemoryPenalty
		}
		if best < 0 || cost < lowestCost {
			best, lowestCost = i, cost
		}
	}
	return best, lowestCost
}

// isFull reports whether the engine's memory counts as full.
func (c *CandidateEstimate) isFull(e Engine) bool {
	return e.Memory > 0 && float64(c.MemoryTokens) > fullMemoryShare*float64(e.Memory)
}
