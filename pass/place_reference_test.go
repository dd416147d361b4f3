package pass

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"egretshunt/block"
	"egretshunt/board"
	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/route"
	"egretshunt/tally"
)

// unusedView has the methods of a View that placements don't call.
type unusedView struct{ View }

// placeView is a View of cached parts and of the other entries' work.
type placeView struct {
	unusedView
	age     time.Duration
	cold    *ctrl.Cold
	view    *ctrl.View
	work    *tally.Snapshot
	holders map[string][]block.Holder
	clock   int64
	entries int
}

func (v *placeView) View() *ctrl.View                   { return v.view }
func (v *placeView) OtherWork() *tally.Snapshot         { return v.work }
func (v *placeView) Holders(part string) []block.Holder { return v.holders[part] }
func (v *placeView) EntryCount() int                    { return v.entries }
func (v *placeView) Age() time.Duration                 { return v.age }
func (v *placeView) RecordUse(string)                   {}
func (v *placeView) EngineClock(time.Duration) int64    { return v.clock }
func (v *placeView) Permitted() <-chan struct{}         { return nil }
func (v *placeView) List() *member.List                 { return nil }
func (v *placeView) Cold() *ctrl.Cold                   { return v.cold }

// referencePlacement chooses as placements did when each endpoint that caches a part had a plan of
// its own, made from all of the part's holders.
func referencePlacement(e *Entry, j *job, list *member.List, eligible []*member.Endpoint, now time.Time, level int) *placement {
	v := e.config.View.(*placeView)
	others := func(name string) int { return int(v.work.Value(name)) * ctrl.WorkUnitTokens }
	engine := route.Engine{Rate: e.prefillRate(j.pool)}
	bandwidth := 0.0
	if p := j.tables.set.Pool(j.pool); p != nil && p.Engine != nil {
		engine.TokenBytes, engine.Memory, bandwidth = p.Engine.TokenBytes, p.Engine.Tokens, p.Engine.Bandwidth
	}
	source := func(at netip.AddrPort, place string) (route.Source, bool) {
		queued := others(at.String())
		if own := e.linkTokens[at]; own != nil {
			queued += *own
		}
		for _, p := range j.tables.set.Stores() {
			if s := p.Store; s.Addr == at {
				return route.Source{Bandwidth: s.Bandwidth, Delay: s.Delay, Remote: s.Place != place, QueuedTokens: queued}, true
			}
		}
		to := list.At(at)
		if to == nil || to.Loading || to.Down || !e.endpointState(to).health.Fit(now) {
			return route.Source{}, false
		}
		return route.Source{Bandwidth: bandwidth, Delay: engineReadDelay, Remote: to.Place != place, QueuedTokens: queued, Evictable: true}, true
	}
	shared := j.call.Shared()
	ownTokens := j.call.Tokens()
	for _, p := range shared {
		ownTokens -= p.Tokens
	}
	var best *placement
	var candidates []route.CandidateEstimate
	var placements []*placement
	target := v.view.Weights[j.call.Model].Version
	for _, to := range eligible {
		s := e.endpointState(to)
		version := s.version(to, j.call.Model)
		n := len(j.call.Parts)
		c := &placement{to: to, version: version, salt: cacheSalt(version, j), fetchFrom: make([]netip.AddrPort, n), local: make([]bool, n), partTokens: make([]int, n), urgency: level}
		compute, uncached, prefixHeld := 0, 0, true
		fetch := time.Duration(0)
		for k, p := range shared {
			c.partTokens[k] = p.Tokens
			var holders []block.Holder
			if version > 0 && e.config.Policy != Storeless {
				holders = v.holders[block.PartName(c.salt, p.ID)]
			}
			if len(holders) == 0 {
				uncached += p.Tokens
			}
			computeCost := time.Duration(route.RecomputeFactor * float64(p.Tokens) / engine.Rate * float64(time.Second))
			lowest := computeCost
			for _, h := range holders {
				if h.Store == to.Addr {
					c.local[k] = true
					continue
				}
				src, ok := source(h.Store, to.Place)
				if !ok || v.clock == 0 {
					continue
				}
				idle, cost := referenceTime(engine, src, p.Tokens, 0), referenceTime(engine, src, p.Tokens, src.QueuedTokens)
				if src.Evictable {
					cost += time.Duration(0.12 * float64(computeCost))
				}
				if idle < computeCost && (!c.fetchFrom[k].IsValid() || cost < lowest) {
					c.fetchFrom[k], lowest = h.Store, cost
				}
			}
			if c.fetchFrom[k].IsValid() && !c.local[k] {
				c.fetchTokens += p.Tokens
			}
			if prefixHeld = prefixHeld && c.local[k]; prefixHeld {
				continue
			}
			if c.fetchFrom[k].IsValid() {
				fetch += lowest
			} else {
				compute += p.Tokens
			}
		}
		ahead := 0
		for l := range level + 1 {
			ahead += s.pendingTokens[l] + others(workKey(to.ID, l))
		}
		estimate := route.CandidateEstimate{
			ID: to.ID, TokensAhead: float64(ahead), Compute: compute, UncachedTokens: uncached, OwnTokens: ownTokens, Fetch: fetch, Held: prefixHeld && len(shared) > 0, Slowdown: 1,
			MemoryTokens: s.memoryTokens + others(memoryKey(to.ID)) + j.maxMemoryTokens(),
		}
		if s.slowness > 0 {
			estimate.Slowdown = s.slowness
		}
		if version < target {
			estimate.Penalty = outdatedWeightsPenalty
		}
		c.tokensAhead, c.computeTokens = ahead, compute+ownTokens
		candidates, placements = append(candidates, estimate), append(placements, c)
	}
	at := route.EarliestCandidate(route.Prompt{Subject: j.affinityKey(), Request: j.call.ID, Entries: v.EntryCount()}, engine, candidates)
	best = placements[at]
	best.predictedFirstToken = candidates[at].First(engine)
	candidates[at].Slowdown = 1
	best.nominalFirstToken = candidates[at].First(engine)
	return best
}

func referenceTime(e route.Engine, s route.Source, tokens, queued int) time.Duration {
	if s.Bandwidth <= 0 {
		return time.Hour
	}
	bits := float64(e.TokenBytes) * 8
	partBits := bits * float64(tokens)
	if s.Remote {
		partBits *= 2
	}
	return s.Delay + time.Duration((partBits+bits*float64(queued))/s.Bandwidth*float64(time.Second))
}

// placeCase is a random system and an entry in it.
type placeCase struct {
	entry *Entry
	list  *member.List
	set   *board.Set
	view  *placeView
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
}

// newPlaceCase draws endpoints, stores, loads, and who holds which of the parts.
func newPlaceCase(t *testing.T, r *rand.Rand, parts []string) *placeCase {
	t.Helper()
	places := []string{"a", "b", "c", "d", "e"}[:1+r.IntN(5)]
	pools := []board.Pool{{Name: "p", Engine: &board.Engine{Tokens: 20000 + r.IntN(80000), TokenBytes: 18432, Bandwidth: 370e9}}}
	engines, stores := 1+r.IntN(40), r.IntN(8)
	for i := range stores {
		pools = append(pools, board.Pool{Name: fmt.Sprint("s", i), Store: &board.Store{Addr: address(1000 + i), Place: places[r.IntN(len(places))], Bandwidth: []float64{33e9, 83e9}[r.IntN(2)], Delay: time.Duration(r.IntN(2)*6) * time.Millisecond}})
	}
	set, err := board.New(board.Draft{Number: 1, Pools: pools, Routes: []board.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Split: []board.WeightedPool{{Pool: "p", Weight: 1}}}}})
	check.NoError(t, err)
	list := &member.List{}
	for i := range engines {
		to := member.Endpoint{ID: fmt.Sprint("w", i), Pool: "p", Addr: address(i), Place: places[r.IntN(len(places))], Weights: map[string]uint64{"m": uint64(1 + r.IntN(2))}, Loading: r.IntN(9) == 0, Down: r.IntN(9) == 0}
		if i > 0 && r.IntN(15) == 0 {
			// The address of another endpoint, used again.
			to.Addr = address(r.IntN(i))
		}
		list.Endpoints = append(list.Endpoints, to)
	}
	list.Index()
	view := &placeView{cold: &ctrl.Cold{}, view: &ctrl.View{Weights: map[string]ctrl.Weights{"m": {Model: "m", Version: uint64(1 + r.IntN(2))}}}, holders: map[string][]block.Holder{}, clock: int64(r.IntN(10)), entries: 1 + r.IntN(20)}
	catalog := block.NewCatalog()
	for _, part := range parts {
		for _, version := range []uint64{1, 2} {
			name := block.PartName(block.Salt(version, ""), part)
			share := r.Float64()
			for _, i := range r.Perm(engines + stores + 3) {
				at := address(i)
				if i >= engines {
					at = address(1000 + i - engines)
				}
				if r.Float64() < share {
					catalog.Apply([]block.CatalogChange{{Store: at, Name: name, Tokens: 100}})
				}
			}
			view.holders[name] = slices.Clone(catalog.Holders(name))
			if r.IntN(2) == 0 {
				for i := range view.holders[name] {
					view.holders[name][i].Ref = 0
				}
			}
		}
	}
	var amounts []tally.Amount
	e := New(Config{View: view, RolloutTimeout: time.Hour})
	t.Cleanup(e.Close)
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range list.Endpoints {
		to := &list.Endpoints[i]
		s := e.endpointState(to)
		s.slowness, s.memoryTokens = []float64{0, 1, 2.5}[r.IntN(3)], r.IntN(3)*30000
		s.pendingTokens[r.IntN(limit.UrgencyLevels)] = r.IntN(3) * 5000
		for range r.IntN(4) {
			amounts = append(amounts, tally.Amount{Name: workKey(to.ID, r.IntN(limit.UrgencyLevels)), Value: uint32(r.IntN(200))})
		}
		amounts = append(amounts, tally.Amount{Name: memoryKey(to.ID), Value: uint32(r.IntN(1500))}, tally.Amount{Name: to.Addr.String(), Value: uint32(r.IntN(3) * 100)})
		if r.IntN(6) == 0 {
			for range 6 {
				s.health.RecordOutcome(time.Now(), true)
			}
		}
		if r.IntN(4) == 0 {
			*e.linkTokensOf(to.Addr) = r.IntN(9000)
		}
	}
	amounts = append(amounts, tally.Amount{Name: "gone/0", Value: 3}, tally.Amount{Name: "w0/99", Value: 3}, tally.Amount{Name: "nonsense", Value: 3})
	view.work = tally.SnapshotOf(r.Uint64()|1, amounts)
	return &placeCase{entry: e, list: list, set: set, view: view}
}

// What is computed once for all endpoints must lead to the choice that a plan for each endpoint
// leads to, over lists, holders and loads of all kinds.
func TestPlacementIsThatOfAPlanForEachEndpoint(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 7))
			ids := []string{"sys", "subject", "more"}[:1+r.IntN(3)]
			c := newPlaceCase(t, r, ids)
			e := c.entry
			e.mu.Lock()
			defer e.mu.Unlock()
			for range 6 {
				j := &job{call: &Call{ID: fmt.Sprint(r.Uint64()), Model: "m", MaxOutputTokens: r.IntN(500)}, tables: tables{set: c.set}, pool: "p", isolated: false}
				for _, id := range ids {
					j.call.Parts = append(j.call.Parts, Part{ID: id, Tokens: 1 + r.IntN(9000)})
				}
				j.call.Parts = append(j.call.Parts, Part{ID: "own", Tokens: 300})
				now := time.Now()
				topology := e.topologyOf(c.list, c.set)
				var eligible []*candidate
				var endpoints []*member.Endpoint
				for _, candidate := range topology.pools["p"] {
					if r.IntN(5) > 0 {
						eligible, endpoints = append(eligible, candidate), append(endpoints, candidate.to)
					}
				}
				if len(eligible) == 0 {
					continue
				}
				level := r.IntN(limit.UrgencyLevels)
				plan := e.newPromptPlan(j, topology, now)
				got := plan.earliestFirstToken(eligible, plan.estimate(eligible), level)
				want := referencePlacement(e, j, c.list, endpoints, now, level)
				if diff := cmp.Diff(want, got, cmp.AllowUnexported(placement{}), cmpopts.EquateComparable(netip.AddrPort{}), cmp.Comparer(func(a, b *member.Endpoint) bool { return a == b })); diff != "" {
					t.Fatalf("the placement differs (-want +got):\n%s", diff)
				}
				// The next request sees this one's reservations.
				e.reserve(j, got, now)
			}
		})
	}
}
