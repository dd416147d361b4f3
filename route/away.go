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
	// SpreadAway means that the entry's knowledge is too old to compare data centres, and that the request's subject ranks an
	// endpoint elsewhere first.
	SpreadAway Departure = "spread"
)

// Departures returns all reasons for which requests leave.
func Departures() []Departure {
	return []Departure{NoneAtHome, PartsAway, EarlierAway, OnTimeAway, SpreadAway}
}

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
	// gainScale is the gain, as a share of the knowledge's age, at which half of the requests leave.
	gainScale = 0.2
	// oldKnowledge is the age from which data centres aren't compared. Requests then leave by the rank of endpoints for their
	// subject alone, so another data centre gets no more than its part of all endpoints. Keeping them at home isn't safe: in
	// replays it overloads a data centre that has lost engines (on time 0.72 in place of 0.99 at 2.5 s). Comparing by knowledge
	// that is 1.5 s old still costs 0.05 of the requests there. Between freshKnowledge and oldKnowledge a growing share isn't
	// compared.
	oldKnowledge = 500 * time.Millisecond
)

// roundTripSamples is how many of the latest connections a RoundTrip remembers.
const roundTripSamples = 8

// RoundTrip estimates the round trip to a data centre from the time that connections to its endpoints take. Connections
// take longer than a round trip by the scheduling of either process or a lost packet, never less, so the estimate is the lower
// quartile of the latest samples: a quarter of them may be too low and all above it too high.
type RoundTrip struct {
	samples [roundTripSamples]time.Duration
	count   int
	// estimate is that of the samples; zero without any.
	estimate time.Duration
}

// Add adds the time that a connection took.
func (r *RoundTrip) Add(took time.Duration) {
	if took <= 0 || took > maxRoundTrip {
		return
	}
	r.samples[r.count%roundTripSamples] = took
	r.count++
	n := min(r.count, roundTripSamples)
	sorted := r.samples
	slices.Sort(sorted[:n])
	r.estimate = sorted[n/4]
}

// Estimate returns the estimated round trip; false before the first sample.
func (r *RoundTrip) Estimate() (time.Duration, bool) {
	return r.estimate, r.estimate > 0
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
	Own int32
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
	// Spare is the share of the time until the goal that the data centre's engines have free. That at home only counts if the other
	// has less than minSpare.
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
		// Its own callers would become late.
		return Stays
	case onlyOther && l.Draw < float64(freshKnowledge)/float64(age):
		return OnTimeAway
	case l.Draw < float64(gain)/(float64(gain)+gainScale*float64(age)):
		return EarlierAway
	}
	return Stays
}

// Earliest is EarliestCandidate for an entry whose data centre is one of several. A candidate elsewhere costs its added
// round trip. A prompt whose history is read elsewhere keeps going there; any other stays unless Decide says that it leaves.
func (l Leaving) Earliest(p Prompt, e Engine, candidates []CandidateEstimate) (int, Departure) {
	all, near := earliest(p, e, candidates, l.Own)
	best, home := all.index, near.index
	if best < 0 || candidates[best].Place == l.Own {
		return best, Stays
	}
	if home < 0 {
		return best, NoneAtHome
	}
	other := &candidates[best]
	if float64(other.UncachedTokens)/e.Rate > Noticeable.Seconds() {
		return best, PartsAway
	}
	if l.isSpread() {
		return best, SpreadAway
	}
	if h := &candidates[home]; h.Compute > other.Compute || h.Fetch > other.Fetch {
		return best, PartsAway
	}
	if near.cost-all.cost <= l.bytesTime() {
		return home, Stays
	}
	nearSide, otherSide := Side{near.cost, 0}, Side{all.cost, l.spare(e, candidates, other.Place)}
	if otherSide.Spare < minSpare {
		nearSide.Spare = l.spare(e, candidates, l.Own)
	}
	why := l.Decide(nearSide, otherSide)
	if why == Stays {
		return home, Stays
	}
	return best, why
}

// isSpread reports whether the request is among the share for which data centres aren't compared, as the entry's knowledge is too
// old.
func (l Leaving) isSpread() bool {
	share := float64(l.Age-freshKnowledge) / float64(oldKnowledge-freshKnowledge)
	// Decide uses the same draw for those that remain, so this takes other digits of it.
	return share >= 1 || share > 0 && leaves(l.Draw, share)
}

// spare returns the share of the time until the goal that the engines of a data centre have free. A full engine has none.
func (l Leaving) spare(e Engine, candidates []CandidateEstimate, place int32) float64 {
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
	// outflowRate is the change of the share if the own data centre takes twice as long as another, outflowStep the greatest
	// change at once.
	outflowRate, outflowStep = 0.05, 0.15
	// outflowMargin is the gain below which no further requests leave: responses of one data centre differ by as much from one
	// second to the next, and callers don't notice it.
	outflowMargin = Noticeable / 10
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

// Expect returns the time that a response is expected to take, which is the average, or unknown if there has been no sample
// lately.
func (s *ServiceTime) Expect(now, unknown time.Duration) time.Duration {
	if s.mean > 0 && now-s.at <= oldTime {
		return s.mean
	}
	return unknown
}

// Least returns the least average so far, zero without samples.
func (s *ServiceTime) Least() time.Duration { return s.least }

// Outflow is the share of the requests without cached parts that one entry sends to other data centres. All entries change
// their shares by small steps, each by the times of its own responses, so that together they don't swing.
type Outflow struct {
	share float64
	at    time.Duration
}

// Share returns the share.
func (o *Outflow) Share() float64 { return o.share }

// Update changes the share by the times that responses at home and elsewhere are expected to take, zero if not known, given what a
// departure costs beyond that.
func (o *Outflow) Update(now, home, other, cost time.Duration) {
	if now-o.at < outflowInterval {
		return
	}
	o.at = now
	step := -outflowStep
	if home > 0 {
		step = float64(home-other-cost-outflowMargin) / float64(max(other, time.Millisecond)) * outflowRate
	}
	o.share = min(max(o.share+min(max(step, -outflowStep), outflowStep), 0), maxOutflow)
}

// Spread is SpreadLoad for an entry whose data centre is one of several. draw also decides whether the request is among the share
// that leaves. Otherwise it leaves only if each endpoint at home has more of this entry's requests than one elsewhere has, by
// more than excess.
func (o *Outflow) Spread(draw, excess float64, endpoints []EndpointState) (int, Departure) {
	home, other, index := -1, -1, int(draw*float64(len(endpoints)))
	for range endpoints {
		side := &other
		if endpoints[index].Local {
			side = &home
		}
		if *side < 0 || totalLoad(endpoints[index]) < totalLoad(endpoints[*side]) {
			*side = index
		}
		if index++; index == len(endpoints) {
			index = 0
		}
	}
	switch {
	case home < 0:
		return other, NoneAtHome
	case other < 0:
		return home, Stays
	case o.share > 0 && leaves(draw, o.share) || totalLoad(endpoints[home]) > totalLoad(endpoints[other])+excess:
		return other, EarlierAway
	}
	return home, Stays
}

// leaves reports whether a request is among a share, by other digits of its draw than those that order endpoints.
func leaves(draw, share float64) bool {
	fine := draw * 4096
	return fine-float64(int(fine)) < share
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
