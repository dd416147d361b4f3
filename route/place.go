package route

import (
	"hash/fnv"
	"math"
	"slices"
)

// EndpointState is the state of one endpoint that may take a request now.
type EndpointState struct {
	ID string
	// Load is the number of this entry's requests in flight at the endpoint.
	Load float64
	// Local is true if the endpoint is in this entry's data centre.
	Local bool
	// Penalty is added to the load of endpoints that are usable but not preferred.
	Penalty float64
}

// GatherWidth is how many endpoints, the highest ranked for a subject, share its requests. With one,
// cached parts are held once but a popular subject queues; with all, cached parts are not found
// again.
const GatherWidth = 3

// PlaceBySubject chooses the endpoint for a prompt that shares parts with others of its subject:
// the least loaded of the GatherWidth endpoints that rendezvous hashing ranks first for the subject.
// The subject is an affinity key, equal for related prompts. All entries compute the same ranks
// without communicating. It returns the endpoint's index, -1 if there are no endpoints.
//
// The policy is for workloads with many subjects that return after pauses, a few of them often.
func PlaceBySubject(subject string, endpoints []EndpointState) int {
	type rankedEndpoint struct {
		index int
		rank  uint64
	}
	order := make([]rankedEndpoint, len(endpoints))
	for i, s := range endpoints {
		order[i] = rankedEndpoint{i, rendezvous(subject, s.ID)}
	}
	slices.SortFunc(order, func(a, b rankedEndpoint) int {
		if a.rank > b.rank {
			return -1
		}
		return 1
	})
	best := -1
	for _, o := range order[:min(GatherWidth, len(order))] {
		if best < 0 || totalLoad(endpoints[o.index]) < totalLoad(endpoints[best]) {
			best = o.index
		}
	}
	return best
}

// SpreadLoad chooses the endpoint for a request that has no cached parts: the least loaded, and
// among equals one in this data centre. draw, uniform in [0, 1), breaks the remaining ties, so that
// entries don't all choose the same endpoint. It returns the endpoint's index, -1 if there are no
// endpoints.
//
// The policy is for workloads of short independent calls to services that aren't model engines.
func SpreadLoad(draw float64, endpoints []EndpointState) int {
	best := -1
	start := int(draw * float64(len(endpoints)))
	for i := range endpoints {
		index := (start + i) % len(endpoints)
		if best < 0 || totalLoad(endpoints[index]) < totalLoad(endpoints[best]) ||
			totalLoad(endpoints[index]) == totalLoad(endpoints[best]) && endpoints[index].Local && !endpoints[best].Local {
			best = index
		}
	}
	return best
}

func totalLoad(s EndpointState) float64 { return s.Load + s.Penalty }

// subjectHash is the state of an FNV-1a hash after the subject and a separator, from which the
// ranks of all endpoints are computed.
type subjectHash uint64

const (
	fnvOffset subjectHash = 14695981039346656037
	fnvPrime  subjectHash = 1099511628211
)

func newSubjectHash(subject string) subjectHash {
	return fnvOffset.add(subject).addByte(0)
}

func (h subjectHash) addByte(b byte) subjectHash { return (h ^ subjectHash(b)) * fnvPrime }

func (h subjectHash) add(text string) subjectHash {
	for i := range len(text) {
		h = h.addByte(text[i])
	}
	return h
}

// rank returns the rendezvous hashing rank of an endpoint for the subject.
func (h subjectHash) rank(id string) uint64 { return mix(uint64(h.add(id))) }

// rendezvous returns the rendezvous hashing rank of an endpoint for a subject.
func rendezvous(subject, id string) uint64 { return newSubjectHash(subject).rank(id) }

// Preferred returns the endpoint that rendezvous hashing ranks first for a subject; "" without endpoints.
func Preferred(subject string, ids []string) string {
	hash, best, highest := newSubjectHash(subject), "", uint64(0)
	for _, id := range ids {
		if rank := hash.rank(id); best == "" || rank > highest {
			best, highest = id, rank
		}
	}
	return best
}

// UniformHash maps a request's identity to a pseudo-random number in [0, 1).
func UniformHash(id string) float64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return float64(mix(h.Sum64())>>11) / (1 << 53)
}

// mix is a 64-bit finalizer: it spreads the differences of similar inputs over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// StoreState is an external store that accepts new parts.
type StoreState struct {
	ID        string
	Capacity  int
	Bandwidth float64
	// Remote is true if the store is in another data centre than the engine that saves.
	Remote bool
}

// StoreForPart returns the index of the store that a new part is saved to: of the fastest stores
// that accept parts, the one with the highest rendezvous score, weighted by capacity. A transfer
// between data centres takes longer by remoteFactor, so a store in another counts for that much less; the part's readers are in
// all data centres alike, so it isn't left out. Every entry computes the same store for one engine. It returns -1 if there is
// none.
//
// The load pattern is few fast stores beside large slow ones: the parts requested first are the
// ones requested most, and they fill the fast stores.
func StoreForPart(part string, stores []StoreState) int {
	fastest := 0.0
	for _, s := range stores {
		fastest = max(fastest, s.Bandwidth)
	}
	best, highestScore := -1, 0.0
	for i, s := range stores {
		if s.Capacity <= 0 || s.Bandwidth < fastest/sameTierFactor {
			continue
		}
		// Weighted rendezvous hashing: each store draws from an exponential distribution with its
		// capacity as rate, and the smallest draw wins.
		u := (float64(rendezvous(part, s.ID)>>11) + 1) / (1 << 53)
		capacity := float64(s.Capacity)
		if s.Remote {
			capacity /= remoteFactor
		}
		if score := -capacity / math.Log(u); best < 0 || score > highestScore {
			best, highestScore = i, score
		}
	}
	return best
}

// sameTierFactor is how many times slower than the fastest store a store of the same tier may be.
const sameTierFactor = 1.5
