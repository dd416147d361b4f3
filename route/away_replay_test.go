package route_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/route"
)

// awayReplay is a load of prompts from the callers of several data centres, placed by entries each of which knows its own
// prompts at once and those of the others after some time.
type awayReplay struct {
	name                   string
	places, entries, nodes int
	roundTrip, age         time.Duration
	// share is the share of all engines' time that the load takes.
	share float64
	// callers returns the callers' weight of a data centre at a time.
	callers func(place int, now time.Duration) float64
	// down returns whether an engine, by its number in its data centre, is down at a time.
	down func(place, number int, now time.Duration) bool
}

const (
	replaySpan = 10 * time.Second
	replayGoal = time.Second
	// replayPatience is the predicted time to first token from which a prompt is rejected.
	replayPatience = 2 * time.Second
	ownTokens      = 400
	requestSize    = 6000
)

// awayResult is what the callers of one data centre got.
type awayResult struct {
	firsts        []time.Duration
	onTime, total int
	left, bytes   int
	// computed are the tokens of histories computed, readAgain those of them that another engine had computed or was
	// computing, kvMoved the cached tokens read from another data centre.
	computed, readAgain, kvMoved int
}

func (r *awayResult) quantile(q float64) time.Duration {
	slices.Sort(r.firsts)
	if len(r.firsts) == 0 {
		return 0
	}
	return r.firsts[min(int(q*float64(len(r.firsts))), len(r.firsts)-1)]
}

func (r *awayResult) share() float64 { return float64(r.onTime) / float64(max(r.total, 1)) }

func (r *awayResult) String() string {
	return fmt.Sprintf("p50 %4d p99 %4d on time %.3f of %d, left %4d, %5d kB, read again %d of %d, moved %d tokens",
		r.quantile(0.5).Milliseconds(), r.quantile(0.99).Milliseconds(), r.share(), r.total, r.left, r.bytes/1000, r.readAgain, r.computed, r.kvMoved)
}

// add adds the results of another data centre.
func (r *awayResult) add(o *awayResult) {
	r.firsts = append(r.firsts, o.firsts...)
	r.onTime, r.total, r.left, r.bytes = r.onTime+o.onTime, r.total+o.total, r.left+o.left, r.bytes+o.bytes
	r.computed += o.computed
	r.readAgain, r.kvMoved = r.readAgain+o.readAgain, r.kvMoved+o.kvMoved
}

func sum(results []awayResult) *awayResult {
	all := &awayResult{}
	for i := range results {
		all.add(&results[i])
	}
	return all
}

type replayEngine struct {
	id            string
	place, number int
	speed, queue  float64
	// former are the queues of the last steps.
	former []float64
}

type replaySubject struct {
	tokens int
	// computed is set once an engine has computed the history, held from when which engines show it.
	computed bool
	held     map[int]time.Duration
}

// run replays the load, with the decision or without, and returns the results by the callers' data centre, and the greatest
// change of the share that leaves from one half second to the next.
func (w awayReplay) run(decide bool) ([]awayResult, float64) {
	r := rand.New(rand.NewPCG(3, 5))
	engines := make([]replayEngine, w.nodes)
	steps := int(w.age / loadStep)
	for i := range engines {
		engines[i] = replayEngine{id: fmt.Sprint("w", i), place: i % w.places, number: i / w.places, speed: 0.7 + 0.6*r.Float64(), former: make([]float64, steps+1)}
	}
	const meanTokens = 1600
	perStep := w.share * float64(w.nodes) * engine.Rate / meanTokens * loadStep.Seconds()
	subjects := map[int]*replaySubject{}
	results := make([]awayResult, w.places)
	windows := make([]float64, int(replaySpan/(500*time.Millisecond))+1)
	counts := make([]float64, len(windows))
	// sent are the tokens that each entry has sent to each engine in the last steps.
	type send struct {
		at            time.Duration
		entry, engine int
		tokens        float64
	}
	var sends []send
	due, number := 0.0, 0
	weights := make([]float64, w.places)
	for step := 0; step < int(replaySpan/loadStep); step++ {
		now := time.Duration(step) * loadStep
		for i := range engines {
			e := &engines[i]
			e.queue = max(e.queue-engine.Rate*e.speed*loadStep.Seconds(), 0)
			e.former[step%len(e.former)] = e.queue
		}
		for len(sends) > 0 && now-sends[0].at >= w.age {
			sends = sends[1:]
		}
		total := 0.0
		for p := range weights {
			weights[p] = w.callers(p, now)
			total += weights[p]
		}
		for due += perStep; due >= 1; due-- {
			number++
			draw, place := r.Float64()*total, 0
			for place < w.places-1 && draw >= weights[place] {
				draw -= weights[place]
				place++
			}
			entry := place + w.places*r.IntN(max(w.entries/w.places, 1))
			if w.entries == 1 {
				entry = 0
			}
			// A few subjects come often; most return now and then, or never.
			name := int(math.Pow(r.Float64(), 3) * 4000)
			s := subjects[name]
			if s == nil {
				s = &replaySubject{tokens: 300 + r.IntN(1500), held: map[int]time.Duration{}}
				if r.IntN(4) == 0 {
					s.tokens = 5000 + r.IntN(9000)
				}
				subjects[name] = s
			}
			known := false
			for _, at := range s.held {
				known = known || now-at >= w.age
			}
			var candidates []route.CandidateEstimate
			var index []int
			for i := range engines {
				e := &engines[i]
				if w.down != nil && w.down(e.place, e.number, now) {
					continue
				}
				c := route.CandidateEstimate{ID: e.id, TokensAhead: e.former[(step+1)%len(e.former)], OwnTokens: ownTokens, Slowdown: 1 / e.speed, Place: int32(e.place)}
				at, holds := s.held[i]
				switch {
				case holds && now-at >= w.age:
					c.Held = true
				case known:
					c.Fetch = w.fetch(s, engines, e.place, now)
				default:
					c.Compute, c.UncachedTokens = s.tokens, s.tokens
				}
				if e.place != place && decide {
					c.Penalty = w.roundTrip
				}
				candidates, index = append(candidates, c), append(index, i)
			}
			for _, o := range sends {
				if k, ok := slices.BinarySearch(index, o.engine); ok && o.entry == entry {
					candidates[k].TokensAhead += o.tokens
				}
			}
			prompt := route.Prompt{Subject: fmt.Sprint("subject-", name), Request: fmt.Sprint("request-", number), Entries: w.entries}
			at := 0
			if decide {
				l := route.Leaving{Own: int32(place), Bytes: requestSize, TimePerByte: route.DefaultTimePerByte, Goal: replayGoal, Age: w.age, Draw: route.UniformHash(prompt.Request)}
				at, _ = l.Earliest(prompt, engine, candidates)
			} else {
				at = route.EarliestCandidate(prompt, engine, candidates)
			}
			c, e, result := &candidates[at], &engines[index[at]], &results[place]
			result.total++
			if c.First(engine) > replayPatience {
				continue
			}
			window := int(now / (500 * time.Millisecond))
			counts[window]++
			first := c.Fetch
			if e.place != place {
				result.left++
				result.bytes += requestSize
				windows[window]++
				first += w.roundTrip
			}
			work := float64(ownTokens + c.Compute)
			if _, has := s.held[index[at]]; c.Compute > 0 && !has {
				result.computed += s.tokens
				if s.computed {
					result.readAgain += s.tokens
				}
			} else if c.Compute > 0 {
				// Its computation is under way at this engine.
				work -= float64(c.Compute)
			}
			if c.Fetch > 0 && !w.isHeldAt(s, engines, e.place, now) {
				result.kvMoved += s.tokens
			}
			s.computed = true
			e.queue += work
			first += time.Duration(e.queue / (engine.Rate * e.speed) * float64(time.Second))
			if _, has := s.held[index[at]]; !has {
				s.held[index[at]] = now + first
			}
			sends = append(sends, send{now, entry, index[at], work})
			result.firsts = append(result.firsts, first)
			if first <= replayGoal {
				result.onTime++
			}
		}
	}
	swing := 0.0
	for i := 1; i < len(windows)-1; i++ {
		swing = max(swing, math.Abs(windows[i]/max(counts[i], 1)-windows[i-1]/max(counts[i-1], 1)))
	}
	return results, swing
}

// isHeldAt reports whether an engine of a data centre shows a subject's history.
func (w awayReplay) isHeldAt(s *replaySubject, engines []replayEngine, place int, now time.Duration) bool {
	for i, at := range s.held {
		if engines[i].place == place && now-at >= w.age {
			return true
		}
	}
	return false
}

// fetch returns how long an engine of a data centre takes to read a subject's history.
func (w awayReplay) fetch(s *replaySubject, engines []replayEngine, place int, now time.Duration) time.Duration {
	transfer := time.Duration(float64(s.tokens*engine.TokenBytes*8) / 370e9 * float64(time.Second))
	if !w.isHeldAt(s, engines, place, now) {
		transfer *= 2
	}
	return 5*time.Millisecond + transfer
}

func sameCallers(int, time.Duration) float64 { return 1 }

// awayReplays are the loads by which the decision is judged.
func awayReplays() []awayReplay {
	const calmAge = 200 * time.Millisecond
	crowded := func(place int, now time.Duration) float64 {
		if place == 0 && now > 3*time.Second {
			return 3
		}
		return 1
	}
	broken := func(place, number int, now time.Duration) bool {
		return place == 0 && number%4 != 0 && now > 3*time.Second
	}
	waves := func(place int, now time.Duration) float64 {
		return 1 + 0.9*math.Sin(2*math.Pi*(now.Seconds()/5+float64(place)/3))
	}
	var all []awayReplay
	for _, size := range []struct {
		places, entries, nodes int
		roundTrip              time.Duration
	}{{3, 22, 41, 1400 * time.Microsecond}, {4, 42, 49, 500 * time.Microsecond}} {
		add := func(name string, w awayReplay) {
			w.name, w.places, w.nodes, w.roundTrip = fmt.Sprintf("%s/%d places", name, size.places), size.places, size.nodes, size.roundTrip
			w.entries, w.age = cmp.Or(w.entries, size.entries), cmp.Or(w.age, calmAge)
			all = append(all, w)
		}
		add("calm", awayReplay{share: 0.5, callers: sameCallers})
		add("crowded and broken", awayReplay{share: 0.45, callers: crowded, down: broken})
		add("waves", awayReplay{share: 0.6, callers: waves})
		for _, age := range []time.Duration{350, 500, 700, 1500} {
			add(fmt.Sprint("knowledge of ", int64(age), " ms"), awayReplay{share: 0.45, callers: crowded, down: broken, age: age * time.Millisecond})
		}
		add("old knowledge", awayReplay{share: 0.45, callers: crowded, down: broken, age: 2500 * time.Millisecond})
		add("alone", awayReplay{share: 0.5, entries: 1, callers: crowded})
	}
	return all
}

// Guards against a decision that costs callers their first token, floods another data centre, swings, or has histories read again.
func TestDecisionToLeaveInReplays(t *testing.T) {
	for _, w := range awayReplays() {
		t.Run(w.name, func(t *testing.T) {
			before, swingBefore := w.run(false)
			after, swing := w.run(true)
			for p := range before {
				t.Logf("place %d without: %v", p, &before[p])
				t.Logf("place %d with:    %v", p, &after[p])
			}
			t.Logf("swing %.3f without, %.3f with", swingBefore, swing)
			b, a := sum(before), sum(after)
			t.Logf("all without: %v", b)
			t.Logf("all with:    %v", a)
			check.Equal(t, "as many are on time", a.share() > b.share()-0.003, true)
			for p := range before {
				check.Equal(t, fmt.Sprint("place ", p, ": as many are on time"), after[p].share() > before[p].share()-0.005, true)
				check.Equal(t, fmt.Sprint("place ", p, ": nobody notices"), after[p].quantile(0.99) < before[p].quantile(0.99)+route.Noticeable && after[p].quantile(0.5) < before[p].quantile(0.5)+route.Noticeable/4, true)
			}
			check.Equal(t, "no swing", swing < 0.16, true)
			check.Equal(t, "hardly more is read again", a.readAgain-b.readAgain < b.computed/100, true)
			check.Equal(t, "no more cached tokens move", a.kvMoved < b.kvMoved*102/100, true)
			if w.age > 250*time.Millisecond {
				// Without comparison, as many leave as elsewhere are of the endpoints.
				check.Equal(t, "no more leave", a.left <= b.left*102/100, true)
			} else {
				check.Equal(t, "a third fewer leave", a.left < b.left*2/3, true)
			}
		})
	}
}
