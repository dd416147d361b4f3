package pass

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"egretshunt/block"
	"egretshunt/board"
	"egretshunt/ctrl"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/route"
	"egretshunt/tally"
)

// topology is what placements read of a list and a table set, resolved once for the pair instead of
// for each request: the candidates of each pool, and the sources from which cached parts can be read.
type topology struct {
	list *member.List
	set  *board.Set
	// generation is that of the endpoint states, work the snapshot that others is from.
	generation uint64
	work       *tally.Snapshot

	places  []string
	pools   map[string][]*candidate
	ids     map[string]*candidate
	sources []*source
	// byAddr holds the indexes of sources. byRef holds them by block.Holder.Ref: the index plus one,
	// zero if it isn't known yet, notSource if there is none.
	byAddr map[netip.AddrPort]int
	byRef  []int32

	// amounts are where the sums of the other entries belong, by their number in an edition; nil
	// where they aren't used.
	edition uint64
	amounts []*int
	// used are the amounts that the last snapshot has set.
	used []*int
	// cold are the bounds on requests to cold endpoints.
	cold coldBounds
	// own is the index of the entry's own data centre, -1 if nothing is there; spread holds the pools with endpoints there and
	// elsewhere.
	own    int
	spread map[string]bool
	// roundTrips are those to each of the places.
	roundTrips []*route.RoundTrip
}

// notSource is the index of a holder that is neither a store nor a listed engine.
const notSource = -1

// candidate is an endpoint that requests may be placed at.
type candidate struct {
	to    *member.Endpoint
	state *endpointState
	// place is the index of its data centre, source its index among the sources.
	place, source int
	others        otherWork
	// coldUntil is until when it is cold, as control says.
	coldUntil time.Duration
}

// otherWork is the prompt tokens that the other entries have outstanding at an endpoint: those to
// compute, by level of urgency, and those of the requests in its memory.
type otherWork struct {
	tokens [limit.UrgencyLevels]int
	memory int
}

// source is a store, or the memory of an engine, from which cached parts can be read.
type source struct {
	at    netip.AddrPort
	place int
	// store is nil for engines, engine for stores.
	store  *board.Store
	engine *candidate
	// queued are the tokens that requests of this entry have yet to read from the source, others
	// those of the other entries.
	queued *int
	others int

	// mark is the last mark set by promptPlan.locate, and holder the source's index among the part's
	// holders then.
	mark   uint64
	holder int
}

// topologyOf returns the topology of a list and a set, with the sums of the other entries as last
// reported. The caller holds mu.
func (e *Entry) topologyOf(list *member.List, set *board.Set) *topology {
	t := e.topology
	if t == nil || t.list != list || t.set != set {
		t = e.newTopology(list, set)
		e.topology = t
	}
	if t.generation != e.generation {
		t.resolveStates(e)
	}
	if work := e.config.View.OtherWork(); work != t.work {
		t.installWork(work)
	}
	// Before the turn is read: a sync in between must not make an older turn look confirmed.
	t.cold.silence = e.config.View.Age()
	if known := e.config.View.Cold(); known != t.cold.known {
		t.installCold(known)
	}
	return t
}

func (e *Entry) newTopology(list *member.List, set *board.Set) *topology {
	t := &topology{list: list, set: set, generation: e.generation - 1, pools: map[string][]*candidate{}, ids: map[string]*candidate{}, byAddr: map[netip.AddrPort]int{}}
	if set != nil {
		for _, p := range set.Stores() {
			t.addSource(e, &source{at: p.Store.Addr, store: p.Store, place: t.place(p.Store.Place)})
		}
	}
	for i := range list.Endpoints {
		to := &list.Endpoints[i]
		c := &candidate{to: to, place: t.place(to.Place)}
		t.pools[to.Pool] = append(t.pools[to.Pool], c)
		t.ids[to.ID] = c
		// Another endpoint may have taken over the address.
		if list.At(to.Addr) == to {
			t.addSource(e, &source{at: to.Addr, engine: c, place: c.place})
		}
	}
	for _, candidates := range t.pools {
		for _, c := range candidates {
			c.source = t.byAddr[c.to.Addr]
		}
	}
	t.cold = e.newColdBounds(t)
	t.findSpread(e)
	return t
}

// addSource adds a source, unless there is one at the address.
func (t *topology) addSource(e *Entry, s *source) {
	if _, ok := t.byAddr[s.at]; ok {
		return
	}
	s.queued = e.linkTokensOf(s.at)
	t.byAddr[s.at] = len(t.sources)
	t.sources = append(t.sources, s)
}

// place returns the index of a data centre.
func (t *topology) place(name string) int {
	for i, known := range t.places {
		if known == name {
			return i
		}
	}
	t.places = append(t.places, name)
	return len(t.places) - 1
}

// resolveStates looks up the state of each candidate. The caller holds mu.
func (t *topology) resolveStates(e *Entry) {
	for _, candidates := range t.pools {
		for _, c := range candidates {
			c.state = e.endpointState(c.to)
		}
	}
	t.generation = e.generation
}

// sourceOf returns the index of the source that a holder of a part is, or notSource.
func (t *topology) sourceOf(h block.Holder) int {
	if h.Ref == 0 {
		return t.sourceAt(h.Store)
	}
	if int(h.Ref) >= len(t.byRef) {
		t.byRef = append(t.byRef, make([]int32, int(h.Ref)+1-len(t.byRef))...)
	}
	at := t.byRef[h.Ref]
	if at == 0 || at > 0 && t.sources[at-1].at != h.Store {
		// A new catalogue numbers the stores anew.
		at = int32(t.sourceAt(h.Store))
		if at != notSource {
			at++
		}
		t.byRef[h.Ref] = at
	}
	if at == notSource {
		// The number may have been another store's.
		return t.sourceAt(h.Store)
	}
	return int(at) - 1
}

func (t *topology) sourceAt(at netip.AddrPort) int {
	if i, ok := t.byAddr[at]; ok {
		return i
	}
	return notSource
}

// holdsInStore reports whether a store holds the part.
func (t *topology) holdsInStore(holders []block.Holder) bool {
	for _, h := range holders {
		if at := t.sourceOf(h); at != notSource && t.sources[at].store != nil {
			return true
		}
	}
	return false
}

// installWork takes over the sums of the other entries.
func (t *topology) installWork(work *tally.Snapshot) {
	t.work = work
	for _, amount := range t.used {
		*amount = 0
	}
	t.used = t.used[:0]
	if work.Edition() != t.edition {
		t.edition, t.amounts = work.Edition(), nil
	}
	for number, value := range work.All {
		for number >= len(t.amounts) {
			t.amounts = append(t.amounts, t.amount(work.Name(len(t.amounts))))
		}
		if amount := t.amounts[number]; amount != nil {
			*amount = int(value) * ctrl.WorkUnitTokens
			t.used = append(t.used, amount)
		}
	}
}

// amount returns where the sum under a name belongs, by the names that OutstandingTokens uses; nil
// if it isn't used.
func (t *topology) amount(name string) *int {
	at := strings.LastIndexByte(name, '/')
	if at < 0 {
		if addr, err := netip.ParseAddrPort(name); err == nil {
			if i := t.sourceAt(addr); i != notSource {
				return &t.sources[i].others
			}
		}
		return nil
	}
	c, ok := t.ids[name[:at]]
	if !ok {
		return nil
	}
	if name[at:] == memorySuffix {
		return &c.others.memory
	}
	level, err := strconv.Atoi(name[at+1:])
	if err != nil || level < 0 || level >= limit.UrgencyLevels {
		return nil
	}
	return &c.others.tokens[level]
}

// describe returns what the choice of a source uses of one; false if nothing can be read there now.
func (s *source) describe(bandwidth float64, now time.Time) (route.Source, bool) {
	queued := *s.queued + s.others
	if s.store != nil {
		return route.Source{Bandwidth: s.store.Bandwidth, Delay: s.store.Delay, QueuedTokens: queued}, true
	}
	if to := s.engine.to; to.Loading || to.Down || !s.engine.state.health.Fit(now) {
		return route.Source{}, false
	}
	return route.Source{Bandwidth: bandwidth, Delay: engineReadDelay, QueuedTokens: queued, Evictable: true}, true
}
