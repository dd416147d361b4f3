package pass

import (
	"cmp"
	"time"

	"egretshunt/clock"
	"egretshunt/member"
	"egretshunt/route"
)

// distances is what an entry has learned of the data centres for the decision when a request leaves its own. Entry.mu guards it.
type distances struct {
	// roundTrips are those to each data centre by the connections to its endpoints.
	roundTrips map[string]*route.RoundTrip
	// flows are those of each route.
	flows map[string]*routeFlow
}

// routeFlow is what an entry has learned of the requests of one route.
type routeFlow struct {
	// responseBytes is the average length of the responses.
	responseBytes float64
	// usedAt is when it last had a response.
	usedAt time.Duration
	// times are those of responses to requests without cached parts by data centre, and outflow the share of these that leaves.
	times   map[string]*route.ServiceTime
	outflow route.Outflow
	// expected are the times that responses are expected to take by the places of a topology, taken at a time.
	expected   []time.Duration
	expectedOf *topology
	expectedAt time.Duration
}

// responseBytesWeight is the weight of the newest response in the average length.
const responseBytesWeight = 0.1

func newDistances() distances {
	return distances{roundTrips: map[string]*route.RoundTrip{}, flows: map[string]*routeFlow{}}
}

// roundTrip returns the round trip to a data centre. The caller holds mu.
func (d *distances) roundTrip(place string) *route.RoundTrip {
	r := d.roundTrips[place]
	if r == nil {
		r = &route.RoundTrip{}
		d.roundTrips[place] = r
	}
	return r
}

// flow returns what is known of a route. The caller holds mu.
func (d *distances) flow(name string) *routeFlow {
	f := d.flows[name]
	if f == nil {
		f = &routeFlow{usedAt: clock.Now(), times: map[string]*route.ServiceTime{}}
		d.flows[name] = f
	}
	return f
}

// recordConnect records how long a connection to an endpoint took.
func (e *Entry) recordConnect(to *member.Endpoint, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.distances.roundTrip(to.Place).Add(took)
}

// recordFlow records a complete response.
func (e *Entry) recordFlow(j *job, to *member.Endpoint, bytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.topology == nil || !e.topology.isSpread(j.pool) {
		return
	}
	now := clock.Now()
	f := e.distances.flow(j.route.Name)
	f.usedAt = now
	if f.responseBytes == 0 {
		f.responseBytes = float64(bytes)
	}
	f.responseBytes += responseBytesWeight * (float64(bytes) - f.responseBytes)
	if len(j.call.Parts) > 0 && j.route.NamesPromptParts || j.firstByteAt.IsZero() {
		return
	}
	f.timesAt(to.Place).Add(now, j.firstByteAt.Sub(j.attemptAt))
}

// isSpread reports whether a pool's endpoints are in the entry's own data centre and in others: only then is there anything to
// decide.
func (t *topology) isSpread(pool string) bool { return t.spread[pool] }

// findSpread sets which pools are spread for an entry, and the round trips to the places. The caller holds mu.
func (t *topology) findSpread(e *Entry) {
	place := e.config.Place
	t.spread, t.own = map[string]bool{}, -1
	if !e.config.KeepsToPlace {
		return
	}
	for i, name := range t.places {
		t.roundTrips = append(t.roundTrips, e.distances.roundTrip(name))
		if name == place && place != "" {
			t.own = i
		}
	}
	for name, candidates := range t.pools {
		home := 0
		for _, c := range candidates {
			if c.place == t.own {
				home++
			}
		}
		t.spread[name] = home > 0 && home < len(candidates)
	}
}

// requestBytes returns the bytes of a request and of its expected response.
func (f *routeFlow) requestBytes(j *job) float64 { return float64(len(j.call.Body)) + f.responseBytes }

// earliest chooses the candidate with the earliest predicted first token, and says why it is in another data centre.
func (o *promptPlan) earliest(candidates []*candidate, estimates []route.CandidateEstimate) (int, route.Departure) {
	e, j := o.entry, o.job
	prompt := route.Prompt{Subject: j.affinityKey(), Request: j.call.ID, Entries: e.config.View.EntryCount()}
	if !o.topology.isSpread(j.pool) {
		return route.EarliestCandidate(prompt, o.engine, estimates), route.Stays
	}
	l := route.Leaving{
		Own: int32(o.topology.own), Bytes: e.distances.flow(j.route.Name).requestBytes(j), TimePerByte: e.timePerByte(),
		Age: e.config.View.Age(), Draw: route.UniformHash(j.call.ID),
	}
	if j.route.Goal > 0 {
		l.Goal = max(j.route.Goal-o.now.Sub(j.call.Arrived), 1)
	}
	return l.Earliest(prompt, o.engine, estimates)
}

// addedDelays returns the added round trip to each place, by index; nil for pools that aren't spread. They are valid until the next
// call. The caller holds mu.
func (o *promptPlan) addedDelays() []time.Duration {
	e := o.entry
	if !o.topology.isSpread(o.job.pool) {
		return nil
	}
	t, delays := o.topology, e.scratch.delays[:0]
	for i, r := range t.roundTrips {
		delay := time.Duration(0)
		if i != t.own {
			delay = route.AddedRoundTrip(t.roundTrips[t.own], r)
		}
		delays = append(delays, delay)
	}
	e.scratch.delays = delays
	return delays
}

// timePerByte returns as how many nanoseconds a byte between data centres counts.
func (e *Entry) timePerByte() float64 { return cmp.Or(e.config.TimePerByte, route.DefaultTimePerByte) }

// spreadLoad chooses among endpoints for a request without cached parts, by its draw. The caller holds mu.
func (e *Entry) spreadLoad(j *job, draw float64, eligible []*candidate, loads []route.EndpointState) (int, route.Departure) {
	if e.topology == nil || !e.topology.isSpread(j.pool) {
		return route.SpreadLoad(draw, loads), route.Stays
	}
	t, now := e.topology, clock.Now()
	f := e.distances.flow(j.route.Name)
	home := f.timesAt(e.config.Place)
	f.expect(t, home, now)
	open := e.scratch.open[:0]
	for range t.places {
		open = append(open, false)
	}
	e.scratch.open = open
	for _, c := range eligible {
		open[c.place] = true
	}
	least, most := f.expectedElsewhere(t, open)
	// Times of responses contain the round trip.
	cost := min(time.Duration(f.requestBytes(j)*e.timePerByte()), route.Noticeable)
	f.outflow.Update(now, home.Expect(now, 0), least, cost)
	if least > 0 && most > least {
		for i, c := range eligible {
			if c.place != t.own {
				loads[i].Penalty += min(float64(f.expected[c.place]-least)/float64(least), maxSlowPenalty)
			}
		}
	}
	return f.outflow.Spread(draw, home.Excess(cost), loads)
}

// maxSlowPenalty bounds the load that is added to the endpoints of a slow data centre, in requests.
const maxSlowPenalty = 4

// timesAt returns the times of responses in a data centre. The caller holds mu.
func (f *routeFlow) timesAt(place string) *route.ServiceTime {
	s := f.times[place]
	if s == nil {
		s = &route.ServiceTime{}
		f.times[place] = s
	}
	return s
}

// expectInterval is how often the expected times are taken anew: averages hardly change in less.
const expectInterval = 50 * time.Millisecond

// expect sets how long responses are expected to take in each place of a topology. One without recent responses is expected to
// respond as the own has at its best. The caller holds mu.
func (f *routeFlow) expect(t *topology, home *route.ServiceTime, now time.Duration) {
	if f.expectedOf == t && now-f.expectedAt < expectInterval {
		return
	}
	f.expectedOf, f.expectedAt, f.expected = t, now, f.expected[:0]
	for _, place := range t.places {
		f.expected = append(f.expected, f.timesAt(place).Expect(now, home.Least()))
	}
}

// expectedElsewhere returns the least and the greatest expected time among the other places that are open to a request: one that
// isn't must not look like the better choice. The caller holds mu.
func (f *routeFlow) expectedElsewhere(t *topology, open []bool) (least, most time.Duration) {
	for i, at := range f.expected {
		if i == t.own || !open[i] {
			continue
		}
		if least == 0 || at < least {
			least = at
		}
		most = max(most, at)
	}
	return least, most
}

// flowMemory is how long an entry remembers a route without requests: table sets may come and go with routes.
const flowMemory = 10 * time.Minute

// dropFlows drops what is known of routes that have had no responses for long. The caller holds mu.
func (d *distances) dropFlows(now time.Duration) {
	for name, f := range d.flows {
		if now-f.usedAt > flowMemory {
			delete(d.flows, name)
		}
	}
}
