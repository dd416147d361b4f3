package pass

import (
	"net/netip"
	"time"

	"egretshunt/block"
	"egretshunt/clock"
	"egretshunt/member"
	"egretshunt/route"
)

// outline is what the shared parts of a prompt take at an endpoint: which to fetch and which to
// compute. It is the same for all endpoints of one place that hold no part themselves.
type outline struct {
	held *heldParts
	// needs and from describe each shared part and where it could be read; plan chooses among from.
	needs []route.Need
	from  [][]netip.AddrPort
	plan  []int
	fetch time.Duration
	// compute is the tokens that are not fetched.
	compute int
}

// heldParts is where the shared parts of a prompt lie under one version of the weights.
type heldParts struct {
	salt    string
	holders [][]block.Holder
	// at holds the addresses of all holders.
	at map[netip.AddrPort]bool
	// fresh is the tokens that lie nowhere.
	fresh int
}

// outlines makes the outlines of one prompt, each once; the caller holds the entry's mu.
type outlines struct {
	entry     *Entry
	job       *job
	list      *member.List
	engine    route.Engine
	bandwidth float64
	// bounded says that a fetch can be given a time at which it must have ended.
	bounded bool
	held    map[uint64]*heldParts
	made    map[outlineKey]*outline
}

type outlineKey struct {
	version uint64
	place   string
}

func (e *Entry) outlines(j *job, list *member.List) *outlines {
	o := &outlines{
		entry: e, job: j, list: list, engine: route.Engine{Rate: e.rate(j.pool)}, bounded: e.config.View.EngineClock(clock.Now()) > 0,
		held: map[uint64]*heldParts{}, made: map[outlineKey]*outline{},
	}
	if p := j.set.Pool(j.pool); p != nil && p.Engine != nil {
		o.engine.TokenBytes, o.engine.Memory, o.bandwidth = p.Engine.TokenBytes, p.Engine.Tokens, p.Engine.Bandwidth
	}
	return o
}

// of returns the outline for an endpoint with a version of the weights.
func (o *outlines) of(to *member.Endpoint, version uint64) *outline {
	held := o.where(version)
	if held.at[to.Addr] {
		return o.draw(held, to.Place, to.Addr)
	}
	key := outlineKey{version, to.Place}
	made, ok := o.made[key]
	if !ok {
		made = o.draw(held, to.Place, netip.AddrPort{})
		o.made[key] = made
	}
	return made
}

func (o *outlines) where(version uint64) *heldParts {
	if h, ok := o.held[version]; ok {
		return h
	}
	shared := o.job.call.Shared()
	h := &heldParts{salt: saltOf(version, o.job), at: map[netip.AddrPort]bool{}}
	h.holders = o.entry.whereAll(h.salt, version, shared)
	for k, holders := range h.holders {
		if len(holders) == 0 {
			h.fresh += shared[k].Tokens
		}
		for _, holder := range holders {
			h.at[holder.Store] = true
		}
	}
	o.held[version] = h
	return h
}

// draw plans for an endpoint at an address; an invalid address stands for any that holds nothing.
func (o *outlines) draw(held *heldParts, place string, at netip.AddrPort) *outline {
	shared := o.job.call.Shared()
	l := &outline{held: held, needs: make([]route.Need, len(shared)), from: make([][]netip.AddrPort, len(shared))}
	for k, p := range shared {
		l.needs[k].Tokens = p.Tokens
		for _, h := range held.holders[k] {
			if h.Store == at {
				l.needs[k].Held = true
			} else if source, ok := o.entry.source(h.Store, o.job.set, o.list, place, o.bandwidth); ok && o.bounded {
				l.needs[k].Sources = append(l.needs[k].Sources, source)
				l.from[k] = append(l.from[k], h.Store)
			}
		}
	}
	l.plan, l.fetch, l.compute = route.Fill(o.engine, l.needs)
	return l
}

// choose makes the choice of an endpoint by its outline.
func (l *outline) choose(j *job, to *member.Endpoint, version uint64) *choice {
	n := len(j.call.Parts)
	c := &choice{
		to: to, version: version, salt: l.held.salt,
		fetch: make([]netip.AddrPort, n), found: make([]bool, n), tokens: make([]int, n),
	}
	for k, at := range l.plan {
		c.found[k], c.tokens[k] = l.needs[k].Held, l.needs[k].Tokens
		if at == route.Compute {
			continue
		}
		c.fetch[k] = l.from[k][at]
		if !l.needs[k].Held {
			c.moved += l.needs[k].Tokens
		}
	}
	return c
}
