package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/route"
)

const ms = time.Millisecond

// shareOf returns the share of the draws for which the decision is to leave.
func shareOf(l route.Leaving, home, other route.Side) float64 {
	const draws = 1000
	left := 0
	for i := range draws {
		l.Draw = (float64(i) + 0.5) / draws
		if l.Decide(home, other) != route.Stays {
			left++
		}
	}
	return float64(left) / draws
}

func TestShareThatLeaves(t *testing.T) {
	free, full := 0.8, 0.1
	for name, c := range map[string]struct {
		leaving     route.Leaving
		home, other route.Side
		low, high   float64
	}{
		"home is as early":                       {route.Leaving{Goal: time.Second}, route.Side{50 * ms, free}, route.Side{50 * ms, free}, 0, 0},
		"the gain is less than the bytes cost":   {route.Leaving{Goal: time.Second, Bytes: 20000, TimePerByte: 800}, route.Side{65 * ms, free}, route.Side{50 * ms, free}, 0, 0},
		"the gain is more than the bytes cost":   {route.Leaving{Goal: time.Second, Bytes: 20000, TimePerByte: 800}, route.Side{166 * ms, free}, route.Side{50 * ms, free}, 0.6, 0.7},
		"a large body counts as what is noticed": {route.Leaving{Goal: time.Second, Bytes: 4 << 20, TimePerByte: 800}, route.Side{900 * ms, free}, route.Side{50 * ms, free}, 0.9, 1},
		"only the other is on time":              {route.Leaving{Goal: time.Second}, route.Side{1200 * ms, 0}, route.Side{700 * ms, free}, 1, 1},
		"older knowledge":                        {route.Leaving{Goal: time.Second, Age: time.Second}, route.Side{1200 * ms, 0}, route.Side{1150 * ms, free}, 0.1, 0.3},
		"on time, but knowledge is old":          {route.Leaving{Goal: time.Second, Age: 2 * time.Second}, route.Side{1010 * ms, 0}, route.Side{990 * ms, free}, 0.05, 0.2},
		"the other is full":                      {route.Leaving{Goal: time.Second}, route.Side{1200 * ms, 0.05}, route.Side{900 * ms, full}, 0, 0},
		"the other is fuller, but earlier":       {route.Leaving{Goal: time.Second}, route.Side{500 * ms, 0.5}, route.Side{100 * ms, full}, 0, 0},
		"without a goal":                         {route.Leaving{}, route.Side{550 * ms, 0}, route.Side{50 * ms, 0}, 0.85, 0.95},
	} {
		t.Run(name, func(t *testing.T) {
			got := shareOf(c.leaving, c.home, c.other)
			check.Equal(t, fmt.Sprintf("share %.3f is within %v to %v", got, c.low, c.high), got >= c.low && got <= c.high, true)
		})
	}
}

// Guards against a delayed process or a lost packet that makes a data centre look distant.
func TestRoundTripIgnoresSlowConnections(t *testing.T) {
	for name, c := range map[string]struct {
		own, other []time.Duration
		want       time.Duration
	}{
		"no samples":           {nil, nil, route.DefaultRoundTrip},
		"one side only":        {nil, []time.Duration{3 * ms}, route.DefaultRoundTrip},
		"one sample each":      {[]time.Duration{ms}, []time.Duration{3 * ms}, 2 * ms},
		"most are slow":        {[]time.Duration{ms, 90 * ms, 40 * ms}, []time.Duration{80 * ms, 2 * ms, 50 * ms, 2 * ms, 60 * ms, 120 * ms}, ms},
		"over the time-out":    {[]time.Duration{ms}, []time.Duration{2 * ms, time.Second}, ms},
		"a path becomes long":  {[]time.Duration{ms}, append(slices.Repeat([]time.Duration{2 * ms}, 20), slices.Repeat([]time.Duration{9 * ms}, 8)...), 8 * ms},
		"the own is as remote": {[]time.Duration{3 * ms}, []time.Duration{2 * ms}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var own, other route.RoundTrip
			for _, took := range c.own {
				own.Add(took)
			}
			for _, took := range c.other {
				other.Add(took)
			}
			check.Equal(t, "added round trip", route.AddedRoundTrip(&own, &other), c.want)
		})
	}
}

// plainReplay is a load of requests without cached parts to endpoints that run one at a time. Entries know only their own
// requests and the times of their responses.
type plainReplay struct {
	entries, nodes int
	// share is the share of all endpoints' time that the load takes, heavy the weight of the callers of data centre 0, and lost
	// how many of its endpoints are down from 5 s on, when its callers become heavy. With waves, the callers' weights change in turn.
	share, heavy float64
	lost         int
	waves        bool
}

// plainResult is what the callers of the crowded data centre and of all others got from 10 s on, and the share that left in
// each second.
type plainResult struct {
	home, others awayResult
	left         []float64
}

// Guards against histories that are read in each data centre: whatever the draw, a prompt goes where its history is cached, and
// a long one that is cached nowhere to the endpoint that ranks first for its subject, as at all other entries.
func TestHistoriesAreReadOnce(t *testing.T) {
	for name, c := range map[string]struct {
		tokens int
		// held is whether an engine elsewhere has the history, fetch how long the others take to read it there, zero if they
		// compute it.
		held  bool
		fetch time.Duration
	}{
		"cached, and computed at home":   {1500, true, 0},
		"cached, and fetched at home":    {1500, true, 6 * ms},
		"long, and cached nowhere":       {9000, false, 0},
		"very long, and cached nowhere":  {90000, false, 0},
		"short, cached, fetched at home": {50, true, 5 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			different := 0
			for i := range 400 {
				var candidates []route.CandidateEstimate
				for k := range 12 {
					e := route.CandidateEstimate{ID: fmt.Sprint("w", k), Place: int32(k % 3), OwnTokens: ownTokens, Slowdown: 1, Penalty: ms}
					if k%3 == 0 {
						e.Penalty = 0
					}
					switch {
					case c.held && k == 4:
						e.Held = true
					case c.held && c.fetch > 0:
						e.Fetch = c.fetch
					default:
						e.Compute = c.tokens
					}
					if !c.held {
						e.UncachedTokens = c.tokens
					}
					candidates = append(candidates, e)
				}
				prompt := route.Prompt{Subject: fmt.Sprint("subject-", i), Request: fmt.Sprint("request-", i), Entries: 42}
				want := route.EarliestCandidate(prompt, engine, slices.Clone(candidates))
				l := route.Leaving{Bytes: requestSize, TimePerByte: route.DefaultTimePerByte, Goal: time.Second, Draw: float64(i) / 400}
				if got, _ := l.Earliest(prompt, engine, candidates); got != want {
					different++
				}
			}
			check.Equal(t, "prompts that went elsewhere", different, 0)
		})
	}
}

const (
	plainPlaces  = 3
	plainService = 20 * ms
	plainGoal    = 500 * ms
	plainTrip    = 1400 * time.Microsecond
	plainSpan    = 40 * time.Second
)

func (w plainReplay) run(decide bool) plainResult {
	r := rand.New(rand.NewPCG(9, 4))
	type entryState struct {
		inFlight []float64
		times    [plainPlaces]route.ServiceTime
		outflow  route.Outflow
	}
	entries := make([]entryState, w.entries)
	for i := range entries {
		entries[i].inFlight = make([]float64, w.nodes)
	}
	type running struct {
		end, took       time.Duration
		entry, endpoint int
	}
	busyUntil, speed := make([]time.Duration, w.nodes), make([]float64, w.nodes)
	for i := range speed {
		speed[i] = 0.7 + 0.6*r.Float64()
	}
	var open []running
	got := plainResult{left: make([]float64, plainSpan/time.Second)}
	counts := make([]float64, len(got.left))
	due := 0.0
	for now := time.Duration(0); now < plainSpan; now += ms {
		open = slices.DeleteFunc(open, func(o running) bool {
			if o.end > now {
				return false
			}
			e := &entries[o.entry]
			e.inFlight[o.endpoint]--
			e.times[o.endpoint%plainPlaces].Add(now, o.took)
			return true
		})
		trouble := now >= 5*time.Second
		for due += w.share * float64(w.nodes) * float64(ms) / float64(plainService); due >= 1; due-- {
			weights := [plainPlaces]float64{1, 1, 1}
			if trouble {
				weights[0] = w.heavy
			}
			if w.waves {
				weights[int(now/(5*time.Second))%plainPlaces] = w.heavy
			}
			draw, place := r.Float64()*(weights[0]+weights[1]+weights[2]), 0
			for place < plainPlaces-1 && draw >= weights[place] {
				draw -= weights[place]
				place++
			}
			entry := 0
			if w.entries > 1 {
				entry = place + plainPlaces*r.IntN(w.entries/plainPlaces)
			}
			own, e := entry%plainPlaces, &entries[entry]
			var loads []route.EndpointState
			var index []int
			for i := range w.nodes {
				if trouble && i%plainPlaces == 0 && i/plainPlaces < w.lost {
					continue
				}
				loads, index = append(loads, route.EndpointState{Load: e.inFlight[i], Local: i%plainPlaces == own}), append(index, i)
			}
			at := 0
			if decide {
				least := time.Duration(0)
				for p := range e.times {
					if expected := e.times[p].Expect(now, e.times[own].Least()); p != own && (least == 0 || expected < least) {
						least = expected
					}
				}
				const cost = 4 * ms
				e.outflow.Update(now, e.times[own].Expect(now, 0), least, cost)
				at, _ = e.outflow.Spread(r.Float64(), e.times[own].Excess(cost), loads)
			} else {
				at = route.SpreadLoad(r.Float64(), loads)
			}
			endpoint := index[at]
			busyUntil[endpoint] = max(busyUntil[endpoint], now) + time.Duration(float64(plainService)/speed[endpoint])
			took := busyUntil[endpoint] - now
			second := int(now / time.Second)
			counts[second]++
			if endpoint%plainPlaces != own {
				took += plainTrip
				got.left[second]++
			}
			e.inFlight[endpoint]++
			open = append(open, running{now + took, took, entry, endpoint})
			if now < 10*time.Second {
				continue
			}
			result := &got.others
			if place == 0 {
				result = &got.home
			}
			result.total++
			result.firsts = append(result.firsts, took)
			if took <= plainGoal {
				result.onTime++
			}
			if endpoint%plainPlaces != own {
				result.left++
				result.bytes += requestSize
			}
		}
	}
	for i := range counts {
		got.left[i] /= max(counts[i], 1)
	}
	return got
}

// swing returns the greatest change of the share that left from one second to the next, from 10 s on.
func (r plainResult) swing() float64 {
	most := 0.0
	for i := 11; i < len(r.left); i++ {
		most = max(most, r.left[i]-r.left[i-1], r.left[i-1]-r.left[i])
	}
	return most
}

// Guards against requests that stay in an overloaded data centre, since each entry sees few of them, and against entries that
// leave and return together.
func TestPlainRequestsLeaveInReplays(t *testing.T) {
	for name, w := range map[string]plainReplay{
		"calm":               {entries: 42, nodes: 45, share: 0.5, heavy: 1},
		"crowded and broken": {entries: 42, nodes: 45, share: 0.5, heavy: 3, lost: 10},
		"crowded, 22":        {entries: 22, nodes: 41, share: 0.5, heavy: 3, lost: 4},
		"waves":              {entries: 42, nodes: 45, share: 0.6, heavy: 3, waves: true},
		"alone":              {entries: 1, nodes: 45, share: 0.5, heavy: 3, lost: 5},
	} {
		t.Run(name, func(t *testing.T) {
			before, after := w.run(false), w.run(true)
			t.Logf("home without:   %v", &before.home)
			t.Logf("home with:      %v", &after.home)
			t.Logf("others without: %v", &before.others)
			t.Logf("others with:    %v", &after.others)
			t.Logf("swing %.2f without, %.2f with", before.swing(), after.swing())
			if w.lost > 0 && w.entries > 1 {
				check.Equal(t, "callers of the crowded data centre gain", after.home.quantile(0.5) < before.home.quantile(0.5)*3/4, true)
			}
			check.Equal(t, "nobody loses what is noticed", after.others.quantile(0.99) < before.others.quantile(0.99)+route.Noticeable && after.home.quantile(0.99) < before.home.quantile(0.99)+route.Noticeable/4, true)
			check.Equal(t, "all are on time", min(after.home.share(), after.others.share()) > 0.999, true)
			check.Equal(t, "no swing", after.swing() < 0.12, true)
			if name == "calm" {
				check.Equal(t, "few leave", after.home.left+after.others.left < (after.home.total+after.others.total)/20, true)
			}
		})
	}
}
