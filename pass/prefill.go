package pass

import (
	"net/netip"
	"time"

	"egretshunt/block"
	"egretshunt/clock"
	"egretshunt/route"
)

// partLocations says where the shared parts of a prompt are cached under one version of the
// weights, and from where the endpoints of each data centre read them.
type partLocations struct {
	version uint64
	salt    string
	holders [][]block.Holder
	sources []*route.PartSources
	// uncachedTokens are the tokens of the parts that are cached nowhere.
	uncachedTokens int
}

// promptPlan is the prefill of one prompt at all endpoints that may run it. What differs between
// endpoints only by the data centre is computed once for each of those. The caller holds the
// entry's mu.
type promptPlan struct {
	entry     *Entry
	job       *job
	topology  *topology
	engine    route.Engine
	bandwidth float64
	// canBoundFetch reports whether a fetch can be given a deadline; that needs the engines'
	// clock.
	canBoundFetch bool
	now           time.Time
	// locations are those of each version of the weights among the endpoints.
	locations []*partLocations
	// rules are those of the topology's places.
	rules []placeRule
}

func (e *Entry) newPromptPlan(j *job, t *topology, now time.Time) *promptPlan {
	o := &promptPlan{
		entry: e, job: j, topology: t, engine: route.Engine{Rate: e.prefillRate(j.pool)}, canBoundFetch: e.config.View.EngineClock(clock.Now()) > 0, now: now, rules: e.placeRules(j, t),
	}
	if p := j.tables.set.Pool(j.pool); p != nil && p.Engine != nil {
		o.engine.TokenBytes, o.engine.Memory, o.bandwidth = p.Engine.TokenBytes, p.Engine.Tokens, p.Engine.Bandwidth
	}
	return o
}

// estimate returns the estimates of the candidates without the tokens ahead of the prompt. They are
// valid until the next call.
func (o *promptPlan) estimate(candidates []*candidate) []route.CandidateEstimate {
	e, j := o.entry, o.job
	target := e.config.View.View().Weights[j.call.Model].Version
	ownTokens := j.call.Tokens()
	for _, p := range j.call.Shared() {
		ownTokens -= p.Tokens
	}
	estimates, prefills, versions := e.scratch.estimates[:0], e.scratch.prefills[:0], e.scratch.versions[:0]
	delays := o.addedDelays()
	for _, c := range candidates {
		version := c.state.version(c.to, j.call.Model)
		estimate := route.CandidateEstimate{ID: c.to.ID, Place: int32(c.place), OwnTokens: ownTokens, Slowdown: 1, MemoryTokens: c.state.memoryTokens + c.others.memory + j.maxMemoryTokens()}
		if c.state.slowness > 0 {
			estimate.Slowdown = c.state.slowness
		}
		if version < target {
			estimate.Penalty = outdatedWeightsPenalty
		}
		if delays != nil {
			estimate.Penalty += delays[c.place]
		}
		estimates, prefills, versions = append(estimates, estimate), append(prefills, route.Prefill{}), append(versions, version)
	}
	e.scratch.estimates, e.scratch.prefills, e.scratch.versions = estimates, prefills, versions
	for i, version := range versions {
		if o.located(version) == nil {
			o.locate(version, candidates[i:], versions[i:], prefills[i:])
		}
	}
	for i := range estimates {
		estimates[i].Compute, estimates[i].Fetch, estimates[i].Held = prefills[i].Compute, prefills[i].Fetch, prefills[i].Held()
		estimates[i].UncachedTokens = o.located(versions[i]).uncachedTokens
	}
	return estimates
}

func (o *promptPlan) located(version uint64) *partLocations {
	for _, l := range o.locations {
		if l.version == version {
			return l
		}
	}
	return nil
}

// locate finds the shared parts under a version of the weights and adds them to the prefills of the
// candidates that run it.
func (o *promptPlan) locate(version uint64, candidates []*candidate, versions []uint64, prefills []route.Prefill) {
	e, t := o.entry, o.topology
	shared := o.job.call.Shared()
	l := &partLocations{version: version, salt: cacheSalt(version, o.job)}
	o.locations = append(o.locations, l)
	l.holders = e.partHolders(l.salt, version, shared)
	for k := range l.holders {
		holders := t.readable(o.job.homes, o.rules, l.holders[k])
		l.holders[k] = holders
		sources := e.scratch.nextSources(len(o.locations)-1, k)
		sources.Reset(o.engine, shared[k].Tokens, len(t.places))
		l.sources = append(l.sources, sources)
		if len(holders) == 0 {
			l.uncachedTokens += shared[k].Tokens
		}
		e.scratch.mark++
		for i, h := range holders {
			at := t.sourceOf(h)
			if at == notSource {
				continue
			}
			s := t.sources[at]
			s.mark, s.holder = e.scratch.mark, i
			if described, ok := s.describe(o.bandwidth, o.now); ok && o.canBoundFetch {
				sources.Add(i, s.place, described)
			}
		}
		sources.Rank()
		for i, c := range candidates {
			if versions[i] != version {
				continue
			}
			s := t.sources[c.source]
			cached, own := s.mark == e.scratch.mark, route.Compute
			if cached {
				own = s.holder
			}
			prefills[i].AddPart(sources, cached, sources.Choose(c.place, own))
		}
	}
}

// placementAt returns the placement of the prompt at a candidate with a version of the weights.
func (o *promptPlan) placementAt(c *candidate, version uint64) *placement {
	n := len(o.job.call.Parts)
	l := o.located(version)
	p := &placement{
		to: c.to, version: version, salt: l.salt,
		fetchFrom: make([]netip.AddrPort, n), local: make([]bool, n), partTokens: make([]int, n),
	}
	for k, part := range o.job.call.Shared() {
		p.partTokens[k] = part.Tokens
		own := route.Compute
		for i, h := range l.holders[k] {
			if h.Store == c.to.Addr {
				p.local[k], own = true, i
			}
		}
		from := l.sources[k].Choose(c.place, own)
		if from.Index == route.Compute {
			continue
		}
		p.fetchFrom[k] = l.holders[k][from.Index].Store
		if !p.local[k] {
			p.fetchTokens += part.Tokens
		}
	}
	return p
}

// placementScratch is memory that placements reuse, so that they don't allocate in proportion to the pool.
type placementScratch struct {
	eligible, ejected []*candidate
	estimates         []route.CandidateEstimate
	prefills          []route.Prefill
	versions          []uint64
	loads             []route.EndpointState
	// sources are reused by version and part.
	sources [][]*route.PartSources
	// delays are the added round trips to the places, by index, and open is whether a place has eligible endpoints.
	delays []time.Duration
	open   []bool
	// rules are those of the places, by index.
	rules []placeRule
	// mark counts the parts located.
	mark uint64
}

// nextSources returns the memory for a part under the version with an index.
func (s *placementScratch) nextSources(version, part int) *route.PartSources {
	for len(s.sources) <= version {
		s.sources = append(s.sources, nil)
	}
	for len(s.sources[version]) <= part {
		s.sources[version] = append(s.sources[version], &route.PartSources{})
	}
	return s.sources[version][part]
}
