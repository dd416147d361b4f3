package route

import (
	"slices"
	"time"
)

// Departure is why a request is sent to another data centre than its entry's; "" if it stays.
type Departure string

// Reasons of departures.
const (
	// Stays is the value of requests that stay in the entry's data centre.
	Stays Departure = ""
	// NoneAtHome means that no endpoint of the entry's data centre may receive the request.
	NoneAtHome Departure = "none"
	// PartsAway means that the request's history is read elsewhere: it is cached there, or so long that the whole fleet
	// reads it once.
	PartsAway Departure = "parts"
	// EarlierAway means that another data centre is earlier by more than the departure costs.
	EarlierAway Departure = "earlier"
	// OnTimeAway means that only another data centre is predicted to be on time.
	OnTimeAway Departure = "ontime"
)

const (
	// Noticeable is the longest delay of a first token that callers don't notice. A history that takes less time to compute
	// may be computed in more than one data centre, and the bytes of a request count no more than that.
	Noticeable = 100 * time.Millisecond
	// DefaultTimePerByte is the time as which a byte between data centres counts, in nanoseconds: for so long it occupies an
	// entry's link of 10 Mbit/s, on which the bytes of other callers wait behind it. Callers notice that wait.
	DefaultTimePerByte = 800.0
	// DefaultRoundTrip is the additional round trip to another data centre before any is measured. Data centres of a
	// deployment are 0.5 to 1.4 ms apart.
	DefaultRoundTrip = time.Millisecond
	// maxRoundTrip bounds the additional round trip: connections that take longer are given up.
	maxRoundTrip = 200 * time.Millisecond
	// minSpare is the share of a data centre's engines' time until the goal that is left to its own callers.
	minSpare = 0.25
	// freshKnowledge is the age of an entry's knowledge of others' requests in calm operation: reports and sums take 100 to
	// 250 ms. Departures that may be wrong grow with the age, so the share of requests that leave falls with it.
	freshKnowledge = 250 * time.Millisecond
	// oldKnowledge is the age from which only staleShare of the requests may leave, of those that would be late otherwise:
	// in 2 s all entries together can send as much to an endpoint as it computes within the goal.
	oldKnowledge = 2 * time.Second
	staleShare   = 0.05
)

// roundTripSamples is how many of the latest connections a RoundTrip remembers.
const roundTripSamples = 8

// RoundTrip estimates the round trip to a data centre from the time that connections to its endpoints take. Connections
// take longer than a round trip by the scheduling of either process or a lost packet, never less, so the estimate is the lower
// quartile of the latest samples: a quarter of them may be too low and all above it too high.
type RoundTrip struct {
	samples [roundTripSamples]time.Duration
	count   int
}

// Add adds the time that a connection took.
func (r *RoundTrip) Add(took time.Duration) {
	if took <= 0 || took > maxRoundTrip {
		return
	}
	r.samples[r.count%roundTripSamples] = took
	r.count++
}

// Estimate returns the estimated round trip; false before the first sample.
func (r *RoundTrip) Estimate() (time.Duration, bool) {
	n := min(r.count, roundTripSamples)
	if n == 0 {
		return 0, false
	}
	sorted := r.samples
	slices.Sort(sorted[:n])
	return sorted[n/4], true
}

// AddedRoundTrip returns how much longer a round trip to another data centre takes than one within the own.
func AddedRoundTrip(own, other *RoundTrip) time.Duration {
	near, ok := own.Estimate()
	far, known := other.Estimate()
	if !ok || !known {
		return DefaultRoundTrip
	}
	return max(far-near, 0)
}

// Leaving is what the decision whether a request leaves its data centre uses of the request and its entry.
type Leaving struct {
	// Own is the index of the entry's data centre.
	Own int
	// Bytes are those of the request and of its expected response, TimePerByte as how many nanoseconds each counts.
	Bytes, TimePerByte float64
	// Goal is the time that is left for the first token; zero means that there is no goal.
	Goal time.Duration
	// Age is how old the entry's knowledge of the others' requests is.
	Age time.Duration
	// Draw is uniform in [0, 1) and the same each time the request is placed.
	Draw float64
}

// bytesTime returns as how much time the request's bytes count.
func (l Leaving) bytesTime() time.Duration {
	return time.Duration(min(l.Bytes*l.TimePerByte, float64(Noticeable)))
}

// Side is the best candidate of one data centre for a request.
type Side struct {
	// Cost is the predicted time to first token with all penalties and the added round trip.
	Cost time.Duration
	// Spare is the share of the time until the goal that the data centre's engines have free.
	Spare float64
}

// Decide decides whether a request that is as well read at home as elsewhere leaves. The share of such requests that leave
// grows with the gain: many entries that decide by knowledge of the same age don't all leave at once, nor all return.
func (l Leaving) Decide(home, other Side) Departure {
	gain := home.Cost - other.Cost - l.bytesTime()
	if gain <= 0 {
		return Stays
	}
	onlyOther := l.Goal > 0 && home.Cost > l.Goal && other.Cost <= l.Goal
	age := max(l.Age, freshKnowledge)
	switch {
	case l.Goal > 0 && other.Spare < minSpare && other.Spare <= home.Spare+minSpare/2:
		return Stays
	case age > oldKnowledge:
		if onlyOther && l.Draw < staleShare {
			return OnTimeAway
		}
		return Stays
	case onlyOther && l.Draw < float64(freshKnowledge)/float64(age):
		return OnTimeAway
	case l.Draw < float64(gain)/float64(gain+age):
		return EarlierAway
	}
	return Stays
}

// Earliest is EarliestCandidate for an entry whose data centre is one of several. A candidate elsewhere costs its added
// round trip. A prompt whose history is read elsewhere keeps going there; any other stays unless Decide says that it leaves.
func (l Leaving) Earliest(p Prompt, e Engine, candidates []CandidateEstimate) (int, Departure) {
	p.rank(candidates)
	best, cost := earliest(e, candidates, func(*CandidateEstimate) bool { return true })
	if best < 0 || candidates[best].Place == l.Own {
		return best, Stays
	}
	other := &candidates[best]
	if float64(other.UncachedTokens)/e.Rate > Noticeable.Seconds() {
		if l.allAway(candidates) {
			return best, NoneAtHome
		}
		return best, PartsAway
	}
	home, homeCost := earliest(e, candidates, func(c *CandidateEstimate) bool { return c.Place == l.Own })
	if home < 0 {
		return best, NoneAtHome
	}
	if h := &candidates[home]; h.Compute > other.Compute || h.Fetch > other.Fetch {
		return best, PartsAway
	}
	why := l.Decide(Side{homeCost, l.spare(e, candidates, l.Own)}, Side{cost, l.spare(e, candidates, other.Place)})
	if why == Stays {
		return home, Stays
	}
	return best, why
}

func (l Leaving) allAway(candidates []CandidateEstimate) bool {
	return !slices.ContainsFunc(candidates, func(c CandidateEstimate) bool { return c.Place == l.Own })
}

// spare returns the share of the time until the goal that the engines of a data centre have free. A full engine has none.
func (l Leaving) spare(e Engine, candidates []CandidateEstimate, place int) float64 {
	if l.Goal <= 0 {
		return 1
	}
	sum, count := 0.0, 0
	for i := range candidates {
		c := &candidates[i]
		if c.Place != place {
			continue
		}
		count++
		if !c.isFull(e) {
			sum += max(1-c.TokensAhead/e.Rate*max(c.Slowdown, minSlowdown)/l.Goal.Seconds(), 0)
		}
	}
	return sum / float64(max(count, 1))
}

const (
	// outflowInterval is how often an Outflow changes: not before the effect of its last change shows in the times of
	// responses.
	outflowInterval = 500 * time.Millisecond
	// outflowRise and outflowFall are the greatest changes of the share at once.
	outflowRise, outflowFall = 0.04, 0.1
	// maxOutflow bounds the share: what stays shows whether the own data centre has recovered.
	maxOutflow = 0.9
	// timeWeight is the weight of the newest sample in a ServiceTime.
	timeWeight = 0.1
	// oldTime is how long a time counts without new samples.
	oldTime = 5 * time.Second
)

// ServiceTime is the average time until endpoints of one data centre respond, as one entry sees it.
type ServiceTime struct {
	mean, least time.Duration
	at          time.Duration
}

// Add adds a sample at a time.
func (s *ServiceTime) Add(now, took time.Duration) {
	if s.mean == 0 || now-s.at > oldTime {
		s.mean = took
	}
	// One slow response of many isn't a slow data centre.
	took = min(took, 4*max(s.mean, time.Millisecond))
	s.mean += time.Duration(timeWeight * float64(took-s.mean))
	if s.least == 0 || s.mean < s.least {
		s.least = s.mean
	}
	s.at = now
}

// recent returns the average; false if there has been no sample lately.
func (s *ServiceTime) recent(now time.Duration) (time.Duration, bool) {
	return s.mean, s.mean > 0 && now-s.at <= oldTime
}

// Outflow is the share of the requests without cached parts that one entry sends to other data centres. All entries change
// their shares by small steps, each by the times of its own responses, so that together they don't swing.
type Outflow struct {
	share float64
	at    time.Duration
}

// Share returns the share.
func (o *Outflow) Share() float64 { return o.share }

// Update changes the share by the times of responses at home and elsewhere, given what a departure costs beyond the time of
// the response. Another data centre without recent samples is expected to respond as home has at its best.
func (o *Outflow) Update(now time.Duration, home, other *ServiceTime, cost time.Duration) {
	if now-o.at < outflowInterval {
		return
	}
	o.at = now
	at, ok := home.recent(now)
	if !ok {
		o.share = max(o.share-outflowFall, 0)
		return
	}
	away, ok := other.recent(now)
	if !ok {
		away = home.least
	}
	step := float64(at-away-cost) / float64(max(away, time.Millisecond)) * outflowRise
	o.share = min(max(o.share+min(max(step, -outflowFall), outflowRise), 0), maxOutflow)
}

// Spread is SpreadLoad for an entry whose data centre is one of several. draw also decides whether the request is among the share
// that leaves. Otherwise it leaves only if each endpoint at home has more of this entry's requests than one elsewhere has, by
// more than excess.
func (o *Outflow) Spread(draw, excess float64, endpoints []EndpointState) (int, Departure) {
	home := spread(draw, endpoints, func(s *EndpointState) bool { return s.Local })
	other := spread(draw, endpoints, func(s *EndpointState) bool { return !s.Local })
	switch {
	case home < 0:
		return other, NoneAtHome
	case other < 0:
		return home, Stays
	case leaves(draw, o.share) || totalLoad(endpoints[home]) > totalLoad(endpoints[other])+excess:
		return other, EarlierAway
	}
	return home, Stays
}

// leaves reports whether a request is among a share, by other digits of its draw than those that order endpoints.
func leaves(draw, share float64) bool {
	fine := draw * 4096
	return fine-float64(int(fine)) < share
}

// spread returns the index of the least loaded endpoint among those that are allowed, -1 if there are none.
func spread(draw float64, endpoints []EndpointState, allowed func(*EndpointState) bool) int {
	best, start := -1, int(draw*float64(len(endpoints)))
	for i := range endpoints {
		index := (start + i) % len(endpoints)
		if allowed(&endpoints[index]) && (best < 0 || totalLoad(endpoints[index]) < totalLoad(endpoints[best])) {
			best = index
		}
	}
	return best
}

// Excess returns the cost of a departure as a number of requests: each that is in flight at an endpoint takes about the
// average time to respond.
func (s *ServiceTime) Excess(cost time.Duration) float64 {
	if s.mean == 0 {
		return 0
	}
	return min(cost.Seconds()/s.mean.Seconds(), maxExcess)
}

// maxExcess bounds Excess: requests that take less time than the departure costs still leave when an entry has many of them at home.
const maxExcess = 4
