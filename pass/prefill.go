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
	needs     []route.SharedPart
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
	if found, ok := o.locations[version]; ok {
		return found
	}
	shared := o.job.call.Shared()
	found := &partLocations{salt: cacheSalt(version, o.job), addrs: map[netip.AddrPort]bool{}}
	found.holders = o.entry.partHolders(found.salt, version, shared)
	for k, holders := range found.holders {
		if len(holders) == 0 {
			found.uncachedTokens += shared[k].Tokens
		}
		for _, holder := range holders {
			found.addrs[holder.Store] = true
		}
	}
	o.locations[version] = found
	return found
}

// newPlan builds the plan for the endpoint at an address; an invalid address stands for any
// endpoint that caches none of the parts.
func (o *prefillPlanner) newPlan(locations *partLocations, place string, at netip.AddrPort) *prefillPlan {
	shared := o.job.call.Shared()
	plan := &prefillPlan{locations: locations, needs: make([]route.SharedPart, len(shared)), sources: make([][]netip.AddrPort, len(shared))}
	for k, p := range shared {
		plan.needs[k].Tokens = p.Tokens
		for _, h := range locations.holders[k] {
			if h.Store == at {
				plan.needs[k].Cached = true
			} else if source, ok := o.entry.source(h.Store, o.job.set, o.list, place, o.bandwidth); ok && o.canBoundFetch {
				plan.needs[k].Sources = append(plan.needs[k].Sources, source)
				plan.sources[k] = append(plan.sources[k], h.Store)
			}
		}
	}
	plan.steps, plan.fetchTime, plan.computeTokens = route.PlanPrefill(o.engine, plan.needs)
	return plan
}

// placementAt returns the placement of a request at an endpoint according to the plan.
func (p *prefillPlan) placementAt(j *job, to *member.Endpoint, version uint64) *placement {
	n := len(j.call.Parts)
	c := &placement{
		to: to, version: version, salt: p.locations.salt,
		fetchFrom: make([]netip.AddrPort, n), local: make([]bool, n), partTokens: make([]int, n),
	}
	for k, at := range p.steps {
		c.local[k], c.partTokens[k] = p.needs[k].Cached, p.needs[k].Tokens
		if at == route.Compute {
			continue
		}
		c.fetchFrom[k] = p.sources[k][at]
		if !p.needs[k].Cached {
			c.fetchTokens += p.needs[k].Tokens
		}
	}
	return c
}
