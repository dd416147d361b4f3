package pass

import (
	"net/netip"
	"time"

	"egretshunt/block"
	"egretshunt/clock"
	"egretshunt/member"
	"egretshunt/route"
)

// prefillPlan says which shared parts of a prompt to fetch at an endpoint and which to compute.
// It is the same for all endpoints of one data centre that cache none of the parts.
type prefillPlan struct {
	locations *partLocations
	// needs describes each shared part, sources where it could be read. steps holds for each
	// part the index of the chosen source, or route.Compute.
	needs     []route.Need
	sources   [][]netip.AddrPort
	steps     []int
	fetchTime time.Duration
	// computeTokens are the tokens that have to be computed.
	computeTokens int
}

// partLocations says where the shared parts of a prompt are cached under one version of the
// weights.
type partLocations struct {
	salt    string
	holders [][]block.Holder
	// addrs holds the addresses of all holders.
	addrs map[netip.AddrPort]bool
	// uncachedTokens are the tokens of the parts that are cached nowhere.
	uncachedTokens int
}

// prefillPlanner builds the prefill plans of one prompt and reuses them across endpoints. The
// caller holds the entry's mu.
type prefillPlanner struct {
	entry     *Entry
	job       *job
	list      *member.List
	engine    route.Engine
	bandwidth float64
	// canBoundFetch reports whether a fetch can be given a deadline; that needs the engines'
	// clock.
	canBoundFetch bool
	locations     map[uint64]*partLocations
	cached        map[planKey]*prefillPlan
}

type planKey struct {
	version uint64
	place   string
}

func (e *Entry) prefillPlanner(j *job, list *member.List) *prefillPlanner {
	o := &prefillPlanner{
		entry: e, job: j, list: list, engine: route.Engine{Rate: e.prefillRate(j.pool)}, canBoundFetch: e.config.View.EngineClock(clock.Now()) > 0,
		locations: map[uint64]*partLocations{}, cached: map[planKey]*prefillPlan{},
	}
	if p := j.set.Pool(j.pool); p != nil && p.Engine != nil {
		o.engine.TokenBytes, o.engine.Memory, o.bandwidth = p.Engine.TokenBytes, p.Engine.Tokens, p.Engine.Bandwidth
	}
	return o
}

// planFor returns the plan for an endpoint with a version of the weights.
func (o *prefillPlanner) planFor(to *member.Endpoint, version uint64) *prefillPlan {
	locations := o.locate(version)
	if locations.addrs[to.Addr] {
		return o.newPlan(locations, to.Place, to.Addr)
	}
	key := planKey{version, to.Place}
	cached, ok := o.cached[key]
	if !ok {
		cached = o.newPlan(locations, to.Place, netip.AddrPort{})
		o.cached[key] = cached
	}
	return cached
}

func (o *prefillPlanner) locate(version uint64) *partLocations {
	if h, ok := o.locations[version]; ok {
		return h
	}
	shared := o.job.call.Shared()
	h := &partLocations{salt: cacheSalt(version, o.job), addrs: map[netip.AddrPort]bool{}}
	h.holders = o.entry.partHolders(h.salt, version, shared)
	for k, holders := range h.holders {
		if len(holders) == 0 {
			h.uncachedTokens += shared[k].Tokens
		}
		for _, holder := range holders {
			h.addrs[holder.Store] = true
		}
	}
	o.locations[version] = h
	return h
}

// newPlan builds the plan for the endpoint at an address; an invalid address stands for any
// endpoint that caches none of the parts.
func (o *prefillPlanner) newPlan(locations *partLocations, place string, at netip.AddrPort) *prefillPlan {
	shared := o.job.call.Shared()
	l := &prefillPlan{locations: locations, needs: make([]route.Need, len(shared)), sources: make([][]netip.AddrPort, len(shared))}
	for k, p := range shared {
		l.needs[k].Tokens = p.Tokens
		for _, h := range locations.holders[k] {
			if h.Store == at {
				l.needs[k].Held = true
			} else if source, ok := o.entry.source(h.Store, o.job.set, o.list, place, o.bandwidth); ok && o.canBoundFetch {
				l.needs[k].Sources = append(l.needs[k].Sources, source)
				l.sources[k] = append(l.sources[k], h.Store)
			}
		}
	}
	l.steps, l.fetchTime, l.computeTokens = route.Fill(o.engine, l.needs)
	return l
}

// placementAt returns the placement of a request at an endpoint according to the plan.
func (l *prefillPlan) placementAt(j *job, to *member.Endpoint, version uint64) *placement {
	n := len(j.call.Parts)
	c := &placement{
		to: to, version: version, salt: l.locations.salt,
		fetchFrom: make([]netip.AddrPort, n), local: make([]bool, n), partTokens: make([]int, n),
	}
	for k, at := range l.steps {
		c.local[k], c.partTokens[k] = l.needs[k].Held, l.needs[k].Tokens
		if at == route.Compute {
			continue
		}
		c.fetchFrom[k] = l.sources[k][at]
		if !l.needs[k].Held {
			c.fetchTokens += l.needs[k].Tokens
		}
	}
	return c
}
