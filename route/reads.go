package route

import "time"

// SourceChoice is the source from which a part is read, as the index with which it was added, and
// the cost of reading it there. Index is Compute if no source is worth reading.
type SourceChoice struct {
	Index int
	Cost  time.Duration
	// remote is set if the source is in another data centre than the reader.
	remote bool
}

// before reports whether a choice is better than another: cheaper, among equals in the reader's data centre, and then added
// first.
func (c SourceChoice) before(o SourceChoice) bool {
	if c.Index == Compute || o.Index == Compute {
		return o.Index == Compute && c.Index != Compute
	}
	if c.Cost != o.Cost {
		return c.Cost < o.Cost
	}
	return c.remote != o.remote && o.remote || c.remote == o.remote && c.Index < o.Index
}

// sourcePair holds the two best choices. The second one serves the endpoint that is itself the best
// source.
type sourcePair struct{ best, second SourceChoice }

var noSources = sourcePair{SourceChoice{Index: Compute}, SourceChoice{Index: Compute}}

func (p *sourcePair) insert(c SourceChoice) {
	switch {
	case c.before(p.best):
		p.best, p.second = c, p.best
	case c.before(p.second):
		p.second = c
	}
}

// PartSources holds the best sources of one shared part of a prompt for the readers in each data
// centre. It makes the choice of a source once for all endpoints: that takes time in proportion to
// the sources, however many endpoints read.
//
// The choice is meant for slow or distant links, over which reading a part takes longer than
// computing it.
//
// The load pattern is a part that most prompts share, which in time most engines hold.
type PartSources struct {
	engine Engine
	tokens int
	// computeCost is the cost of computing the part.
	computeCost time.Duration
	// near and far are the best sources in each data centre for readers there and elsewhere.
	near, far []sourcePair
	// readers are the best sources for the readers in each data centre.
	readers []sourcePair
}

// Reset prepares for a part and a number of data centres. It reuses memory.
func (p *PartSources) Reset(e Engine, tokens, places int) {
	p.engine, p.tokens = e, tokens
	p.computeCost = time.Duration(RecomputeFactor * float64(tokens) / e.Rate * float64(time.Second))
	p.near, p.far, p.readers = resetPairs(p.near, places), resetPairs(p.far, places), resetPairs(p.readers, places)
}

func resetPairs(pairs []sourcePair, n int) []sourcePair {
	pairs = pairs[:0]
	for range n {
		pairs = append(pairs, noSources)
	}
	return pairs
}

// Add adds a source in a data centre. s.Remote is ignored.
func (p *PartSources) Add(index, place int, s Source) {
	for _, s.Remote = range [...]bool{false, true} {
		if s.idleTime(p.engine, p.tokens) >= p.computeCost {
			continue
		}
		choice := SourceChoice{Index: index, Cost: s.time(p.engine, p.tokens), remote: s.Remote}
		if s.Evictable {
			choice.Cost += time.Duration(evictionProbability * float64(p.computeCost))
		}
		if s.Remote {
			p.far[place].insert(choice)
		} else {
			p.near[place].insert(choice)
		}
	}
}

// Rank completes the choice once all sources are added.
func (p *PartSources) Rank() {
	for reader := range p.readers {
		pair := p.near[reader]
		for place, far := range p.far {
			if place != reader {
				pair.insert(far.best)
				pair.insert(far.second)
			}
		}
		p.readers[reader] = pair
	}
}

// Choose returns the best source for a reader in a data centre, other than the source with the index
// own. It is the one with the lowest cost among those that take less time to read on an idle link
// than the part's computation costs.
func (p *PartSources) Choose(reader, own int) SourceChoice {
	pair := &p.readers[reader]
	if pair.best.Index == own {
		return pair.second
	}
	return pair.best
}

// Prefill is the prefill work of a prompt's shared parts at one endpoint, to which AddPart adds the
// parts in order. A part in the endpoint's memory takes no time as long as all parts before it are
// there.
type Prefill struct {
	// Fetch is the total transfer time, Compute the number of tokens left to compute.
	Fetch   time.Duration
	Compute int
	// parts counts the parts; prefixMissing is set once one isn't in the endpoint's memory.
	parts         int
	prefixMissing bool
}

// Held reports whether all parts are in the endpoint's memory, if there are any.
func (f *Prefill) Held() bool { return f.parts > 0 && !f.prefixMissing }

// AddPart adds the next part, with the source chosen for the endpoint.
func (f *Prefill) AddPart(p *PartSources, cached bool, from SourceChoice) {
	f.parts++
	f.prefixMissing = f.prefixMissing || !cached
	switch {
	case !f.prefixMissing:
	case from.Index == Compute:
		f.Compute += p.tokens
	default:
		f.Fetch += from.Cost
	}
}
