package route_test

import (
	"fmt"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/route"
)

var engine = route.Engine{Rate: 50000, TokenBytes: 18432}

var (
	fast = route.Source{Bandwidth: 83e9, Delay: time.Millisecond}
	slow = route.Source{Bandwidth: 33e9, Delay: 6 * time.Millisecond}
)

func TestPrefill(t *testing.T) {
	queuedLink := slow
	queuedLink.QueuedTokens = 1 << 22
	tooSlow := route.Source{Bandwidth: 1e8}
	for name, c := range map[string]struct {
		needs   []sharedPart
		plan    []int
		compute int
	}{
		"cached":                           {[]sharedPart{{Tokens: 9000, Cached: true}}, []int{route.Compute}, 0},
		"cached, can also be fetched":      {[]sharedPart{{Tokens: 9000, Cached: true, Sources: []route.Source{slow}}}, []int{0}, 0},
		"cached nowhere":                   {[]sharedPart{{Tokens: 9000}}, []int{route.Compute}, 9000},
		"the faster store":                 {[]sharedPart{{Tokens: 9000, Sources: []route.Source{slow, fast}}}, []int{1}, 0},
		"a queue does not cause computing": {[]sharedPart{{Tokens: 9000, Sources: []route.Source{queuedLink}}}, []int{0}, 0},
		"a queue orders sources":           {[]sharedPart{{Tokens: 9000, Sources: []route.Source{queuedLink, slow}}}, []int{1}, 0},
		"a link slower than computing":     {[]sharedPart{{Tokens: 9000, Sources: []route.Source{tooSlow}}}, []int{route.Compute}, 9000},
		"cached behind a gap":              {[]sharedPart{{Tokens: 500}, {Tokens: 9000, Cached: true}}, []int{route.Compute, route.Compute}, 9500},
	} {
		t.Run(name, func(t *testing.T) {
			plan, _, compute := planPrefill(engine, c.needs)
			check.Equal(t, "plan", plan, c.plan)
			check.Equal(t, "compute", compute, c.compute)
		})
	}
}

func TestPrefillRemoteSourceTakesLonger(t *testing.T) {
	far := slow
	far.Remote = true
	_, near, _ := planPrefill(engine, []sharedPart{{Tokens: 9000, Sources: []route.Source{slow}}})
	_, distant, _ := planPrefill(engine, []sharedPart{{Tokens: 9000, Sources: []route.Source{far}}})
	check.Equal(t, "remote takes longer", distant > near+near/2, true)
}

// Guards against entries that choose different endpoints for one subject: they don't communicate,
// and a returning subject must find its cached parts.
func TestEarliestCandidateIsSameAtAllEntriesForNewSubject(t *testing.T) {
	candidates := func() []route.CandidateEstimate {
		var all []route.CandidateEstimate
		for i := range 12 {
			all = append(all, route.CandidateEstimate{ID: fmt.Sprint("w", i), Compute: 9000, UncachedTokens: 9000, OwnTokens: 2000, Slowdown: 1})
		}
		return all
	}
	firsts := map[string]int{}
	for i := range 600 {
		subject := fmt.Sprint("s", i)
		at := route.EarliestCandidate(route.Prompt{Subject: subject, Request: "request"}, engine, candidates())
		check.Equal(t, "choice of another entry", route.EarliestCandidate(route.Prompt{Subject: subject, Request: "request"}, engine, candidates()), at)
		loaded := candidates()
		loaded[at].TokensAhead = 3000
		check.Equal(t, "choice with a little work ahead", route.EarliestCandidate(route.Prompt{Subject: subject, Request: "another request"}, engine, loaded), at)
		firsts[candidates()[at].ID]++
	}
	check.Equal(t, "endpoints that are first for some subject", len(firsts), 12)
}

// Guards against a single endpoint serving a subject that receives much of the traffic: once the
// endpoint that holds the parts is busy, another must get a copy.
func TestEarliestCandidateAvoidsBusyHolder(t *testing.T) {
	candidates := []route.CandidateEstimate{
		{ID: "holder", OwnTokens: 500, Slowdown: 1},
		{ID: "other", OwnTokens: 500, Fetch: 10 * time.Millisecond, Slowdown: 1},
	}
	check.Equal(t, "idle holder", candidates[route.EarliestCandidate(route.Prompt{Subject: "hot", Request: "request"}, engine, candidates)].ID, "holder")
	candidates[0].TokensAhead = 20000
	check.Equal(t, "busy holder", candidates[route.EarliestCandidate(route.Prompt{Subject: "hot", Request: "request"}, engine, candidates)].ID, "other")
}

// Guards against overfilling one engine's memory in a burst of long prompts with one subject while
// another engine has room. The endpoint that holds the parts is used again once it has room.
func TestEarliestCandidateSpreadsBurstByMemory(t *testing.T) {
	smallMemory := route.Engine{Rate: engine.Rate, TokenBytes: engine.TokenBytes, Memory: 95000}
	const prompt = 12000
	memoryTokens := map[string]int{}
	for range 18 {
		candidates := []route.CandidateEstimate{{ID: "holder", Slowdown: 1}, {ID: "a", Slowdown: 1}, {ID: "b", Slowdown: 1}}
		for i := range candidates {
			candidates[i].OwnTokens, candidates[i].MemoryTokens = 2870, memoryTokens[candidates[i].ID]+prompt
			if candidates[i].ID != "holder" {
				candidates[i].Fetch = 10 * time.Millisecond
			}
		}
		memoryTokens[candidates[route.EarliestCandidate(route.Prompt{Subject: "hot", Request: "request"}, smallMemory, candidates)].ID] += prompt
	}
	for id, tokens := range memoryTokens {
		check.Equal(t, "memory of "+id+" is below the limit", tokens <= smallMemory.Memory*85/100, true)
	}
	next := []route.CandidateEstimate{{ID: "holder", Slowdown: 1, MemoryTokens: prompt}, {ID: "a", Slowdown: 1, Fetch: 10 * time.Millisecond, MemoryTokens: prompt}}
	check.Equal(t, "holder with room again", next[route.EarliestCandidate(route.Prompt{Subject: "hot", Request: "request"}, smallMemory, next)].ID, "holder")
}

func TestEarliestCandidateAvoidsSlowEndpoints(t *testing.T) {
	candidates := []route.CandidateEstimate{{ID: "a", OwnTokens: 5000, Slowdown: 4}, {ID: "b", OwnTokens: 5000, Slowdown: 1}}
	for i := range 50 {
		check.Equal(t, "chosen endpoint", candidates[route.EarliestCandidate(route.Prompt{Subject: fmt.Sprint(i), Request: "request"}, engine, candidates)].ID, "b")
	}
	check.Equal(t, "without candidates", route.EarliestCandidate(route.Prompt{Subject: "s", Request: "request"}, engine, nil), -1)
}

func TestSpreadLoad(t *testing.T) {
	endpoints := []route.EndpointState{{ID: "a", Load: 2}, {ID: "b", Load: 1}, {ID: "c", Load: 1, Local: true}}
	for i := range 10 {
		check.Equal(t, "least loaded in this data centre", endpoints[route.SpreadLoad(float64(i)/10, endpoints)].ID, "c")
	}
	check.Equal(t, "without candidates", route.SpreadLoad(0.5, nil), -1)
	equal := []route.EndpointState{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	chosen := map[int]bool{}
	for i := range 10 {
		chosen[route.SpreadLoad(float64(i)/10, equal)] = true
	}
	check.Equal(t, "endpoints chosen by different entries", len(chosen), 3)
}

func TestHomePrefersFastStores(t *testing.T) {
	stores := []route.StoreState{
		{ID: "big", Capacity: 1000000, Bandwidth: 33e9},
		{ID: "fast-1", Capacity: 100000, Bandwidth: 83e9}, {ID: "fast-2", Capacity: 100000, Bandwidth: 83e9},
	}
	counts := map[int]int{}
	for i := range 1000 {
		counts[route.StoreForPart(fmt.Sprint(i), stores)]++
	}
	check.Equal(t, "big", counts[0], 0)
	check.Equal(t, "both fast stores have a share", counts[1] > 350 && counts[2] > 350, true)
	check.Equal(t, "index when the fast stores are full", route.StoreForPart("x", stores[:1]), 0)
	check.Equal(t, "index when all stores are full", route.StoreForPart("x", nil), -1)
}

// Guards against saves that cross between data centres as often as not, and against leaving all parts to one data centre's
// stores, which would fill up.
func TestPartsAreSavedNearer(t *testing.T) {
	near := 0
	for i := range 3000 {
		at := route.StoreForPart(fmt.Sprint(i), []route.StoreState{{ID: "a", Capacity: 9, Bandwidth: 9e9, Remote: true}, {ID: "b", Capacity: 9, Bandwidth: 9e9}, {ID: "c", Capacity: 9, Bandwidth: 9e9, Remote: true}})
		if at == 1 {
			near++
		}
	}
	check.Equal(t, fmt.Sprint(near, " of 3000 parts are saved in the engine's data centre, about half"), near > 1400 && near < 1600, true)
}

// Guards against a read from another data centre that a read within it would equal.
func TestNearSourceAmongEquals(t *testing.T) {
	var p route.PartSources
	p.Reset(engine, 9000, 2)
	// The near source has as many tokens queued as a transfer from the far one takes longer.
	p.Add(0, 1, slow)
	near := slow
	near.QueuedTokens = 9000
	p.Add(1, 0, near)
	p.Rank()
	check.Equal(t, "source for a reader in data centre 0", p.Choose(0, noIndex).Index, 1)
	check.Equal(t, "costs are equal", p.Choose(0, noIndex).Cost, p.Choose(0, 1).Cost)
}

// Guards against uneven traffic splits when clients number their requests sequentially.
func TestDrawIsEvenForNumberedRequests(t *testing.T) {
	tenths := map[int]int{}
	for i := range 1000 {
		tenths[int(10*route.UniformHash(fmt.Sprint(i)))]++
	}
	for tenth := range 10 {
		check.Equal(t, fmt.Sprint("tenth ", tenth), tenths[tenth] > 60 && tenths[tenth] < 140, true)
	}
}
