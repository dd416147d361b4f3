package pass

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"egretshunt/block"
	"egretshunt/board"
	"egretshunt/ctrl"
	"egretshunt/event"
	"egretshunt/member"
)

// homes are the regions that a request is bound to by its route and its account; unbound unless one of them names some.
type homes struct {
	bound   bool
	regions []string
}

// homesOf returns the regions that are among those of the route and of the account, each of which is bound only if it names
// some; account is nil for requests without one.
func homesOf(r *board.Route, account *board.Account) homes {
	h := homes{}.within(r.Regions)
	if account != nil {
		h = h.within(account.Regions)
	}
	return h
}

// within returns the homes that are among some regions; no regions mean no bound.
func (h homes) within(regions []string) homes {
	switch {
	case len(regions) == 0:
		return h
	case !h.bound:
		return homes{true, regions}
	}
	var both []string
	for _, r := range h.regions {
		if slices.Contains(regions, r) {
			both = append(both, r)
		}
	}
	return homes{true, both}
}

// include reports whether a place in a region is allowed; the region is "" if it isn't known.
func (h homes) include(region string) bool {
	return !h.bound || region != "" && slices.Contains(h.regions, region)
}

// placeRule says what a request may do at a place.
type placeRule int

const (
	// openPlace takes new requests and parts.
	openPlace placeRule = iota
	// evacuatedPlace takes nothing new; cached parts are read from there.
	evacuatedPlace
	// foreignPlace is in no region that the request is bound to: nothing of it gets there or comes from there.
	foreignPlace
)

// placeRuleOf returns what a request with the given homes may do at a place. It is the only rule by place: for endpoints,
// for stores and for both checks.
func (e *Entry) placeRuleOf(h homes, view *ctrl.View, place string) placeRule {
	switch {
	case h.bound && !h.include(e.regionOf(place)):
		return foreignPlace
	case view.IsEvacuated(place):
		return evacuatedPlace
	}
	return openPlace
}

// regionOf returns the region of a place; "" if it isn't known.
func (e *Entry) regionOf(place string) string {
	if e.config.RegionOf == nil {
		return ""
	}
	return e.config.RegionOf(place)
}

// placeRules returns what the request may do at each place of the topology, by index; it is valid until the next call. The
// caller holds mu.
func (e *Entry) placeRules(j *job, t *topology) []placeRule {
	view, rules := e.config.View.View(), e.scratch.rules[:0]
	for _, place := range t.places {
		rules = append(rules, e.placeRuleOf(j.homes, view, place))
	}
	e.scratch.rules = rules
	return rules
}

// isEvacuated reports whether nothing new is sent to a place.
func (e *Entry) isEvacuated(place string) bool { return e.config.View.View().IsEvacuated(place) }

// isOpenTo reports whether a request with the given homes may be sent to a place now.
func (e *Entry) isOpenTo(h homes, place string) bool {
	return e.placeRuleOf(h, e.config.View.View(), place) == openPlace
}

const (
	// homesRetryAfter is the Retry-After time of requests whose homes no endpoint is in: only another table set or list
	// changes that.
	homesRetryAfter = 5 * time.Second
	// evacuatedRetryAfter is the Retry-After time of requests whose endpoints are all evacuated.
	evacuatedRetryAfter = time.Second
)

// placeFailure returns the failure of a request none of whose pool's endpoints are at a place where it may be sent; nil if
// some are. The caller holds mu.
func (e *Entry) placeFailure(j *job, t *topology) *failure {
	rules := e.placeRules(j, t)
	evacuated := false
	for _, c := range t.pools[j.pool] {
		switch rules[c.place] {
		case openPlace:
			return nil
		case evacuatedPlace:
			evacuated = true
		}
	}
	switch {
	case evacuated:
		return j.finalFailure(reasonEvacuated, evacuatedRetryAfter)
	case j.homes.bound && len(t.pools[j.pool]) > 0:
		return j.finalFailure(reasonHomes, homesRetryAfter)
	}
	return nil
}

// readable returns the holders of a part that a request may read from: all, unless it is bound to homes. The caller holds mu.
func (t *topology) readable(h homes, rules []placeRule, holders []block.Holder) []block.Holder {
	if !h.bound {
		return holders
	}
	return slices.DeleteFunc(slices.Clone(holders), func(holder block.Holder) bool {
		at := t.sourceOf(holder)
		return at == notSource || rules[t.sources[at].place] == foreignPlace
	})
}

// savable returns the stores that new parts of a request may be saved to. A store at an evacuated place would hold the only
// copy of what others ask for.
func (e *Entry) savable(h homes, stores []*board.Pool) []*board.Pool {
	view := e.config.View.View()
	closed := func(p *board.Pool) bool { return e.placeRuleOf(h, view, p.Store.Place) != openPlace }
	if !slices.ContainsFunc(stores, closed) {
		return stores
	}
	return slices.DeleteFunc(slices.Clone(stores), closed)
}

// confine is the check at the sending end, whatever the placement did: the request isn't sent if its endpoint's place is closed to it by now,
// and names no source or store in a foreign place. The returned error is of type Withheld.
func (e *Entry) confine(j *job, s *Send) error {
	s.Allowed = func() bool { return e.isOpenTo(j.homes, s.To.Place) }
	if !s.Allowed() {
		e.reportForeign(j, s.To.Place)
		return Withheld.New("%s is at a place that the request may not be sent to", s.To.ID)
	}
	if !j.homes.bound {
		return nil
	}
	list := e.list()
	if list == nil {
		s.FetchFrom, s.SaveTo = nil, nil
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.topologyOf(list, j.tables.set)
	rules := e.placeRules(j, t)
	for _, addrs := range [][]netip.AddrPort{s.FetchFrom, s.SaveTo} {
		for i, addr := range addrs {
			if !addr.IsValid() {
				continue
			}
			if at := t.sourceAt(addr); at == notSource || rules[t.sources[at].place] == foreignPlace {
				addrs[i] = netip.AddrPort{}
			}
		}
	}
	return nil
}

// reportForeign logs that a request was about to be sent to a place outside its homes.
func (e *Entry) reportForeign(j *job, place string) {
	if !j.homes.include(e.regionOf(place)) {
		e.config.Events.Emit(event.Fault, "id", j.call.ID, "route", j.route.Name, "place", place, "why", "outside the request's homes")
	}
}

// send makes an attempt unless its endpoint's place is closed to the request by now.
func (e *Entry) send(ctx context.Context, j *job, s *Send) (*Reply, error) {
	if err := e.confine(j, s); err != nil {
		return nil, err
	}
	return e.config.Backend.Send(ctx, s)
}

// handleWithheld handles an attempt that wasn't sent since its endpoint's place was closed to the request meanwhile. It says nothing of
// the endpoint.
func (e *Entry) handleWithheld(ctx context.Context, j *job, to *member.Endpoint, out *relay) (bool, *failure) {
	e.endAttemptUnscored(to)
	e.recordAttempt(j, to, outcomeWithheld, "again", 0)
	if endOf(ctx) == context.Canceled {
		e.recordClientClosed(j, to, out)
		return false, nil
	}
	return true, nil
}

// evacuatedPlaces returns how many places are evacuated.
func (e *Entry) evacuatedPlaces() int { return len(e.config.View.View().Evacuated()) }
