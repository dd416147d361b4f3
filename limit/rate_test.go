package limit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
)

const (
	// rateWindow is the time in which an endpoint's requests are counted; half as many again as its limits allow may arrive, and
	// rateSlack.
	rateWindow = 4 * time.Second
	rateSlack  = 5
	// leastRateUse is the least share of an endpoint's limit that is used where requests wait.
	leastRateUse = 0.8
)

// ratePlay is a simulation of entries that send requests to endpoints with limits.
type ratePlay struct {
	random    *rand.Rand
	entries   []*rateEntry
	endpoints []limit.EndpointRun
	// rate returns the limit of each endpoint at a time.
	rate func(at time.Duration) float64
	// issuer is nil while no leader can be reached; lossy is the share of syncs that are lost.
	issuer func(at time.Duration) (term int)
	lossy  float64
	sent   map[limit.EndpointRun][]time.Duration
}

type rateEntry struct {
	demand  float64
	waiting []time.Duration
	permits *limit.Permits
	syncAt  time.Duration
	// heardAt is when the last sync was answered.
	heardAt time.Duration
	turn    limit.Turn
}

const (
	// rateStep is the time between two steps of a simulation, ratePatience how long a request waits for a permit.
	rateStep     = 5 * time.Millisecond
	ratePatience = 2 * time.Second
	// rateSilence is the time without an answered sync from which entries send by turns.
	rateSilence = 600 * time.Millisecond
)

func (p *ratePlay) run(length time.Duration) {
	p.sent = map[limit.EndpointRun][]time.Duration{}
	issuer, term := limit.NewPermitIssuer(), 0
	for now := time.Duration(0); now < length; now += rateStep {
		if next := p.issuer(now); next != term {
			issuer, term = limit.NewPermitIssuer(), next
		}
		for i, e := range p.entries {
			if p.random.Float64() < e.demand*rateStep.Seconds() {
				e.waiting = append(e.waiting, now)
			}
			e.waiting = slices.DeleteFunc(e.waiting, func(at time.Duration) bool { return now-at > ratePatience })
			if now >= e.syncAt {
				e.syncAt = now + 20*time.Millisecond + time.Duration(p.random.Int64N(int64(130*time.Millisecond)))
				if term > 0 && p.random.Float64() >= p.lossy {
					p.sync(issuer, i, e, now)
				}
			}
			p.send(e, now)
		}
	}
}

func (p *ratePlay) sync(issuer *limit.PermitIssuer, i int, e *rateEntry, now time.Duration) {
	want := limit.PermitWant{Runs: p.endpoints, Count: len(e.waiting)}
	for _, run := range p.endpoints {
		issuer.SetRate(run, p.rate(now), now)
		want.Count -= e.permits.Count(run, now)
	}
	for run, n := range issuer.Issue(want, now) {
		e.permits.Add(run, n, now)
	}
	e.permits.EndTurns()
	e.heardAt, e.turn = now, limit.Turn{Index: i, Count: len(p.entries)}
}

func (p *ratePlay) send(e *rateEntry, now time.Duration) {
	for _, run := range p.endpoints {
		if now-e.heardAt > rateSilence {
			e.permits.TakeTurns(run, p.rate(now), e.turn, now)
		}
		for len(e.waiting) > 0 && e.permits.Take(run, now) {
			e.waiting = e.waiting[1:]
			p.sent[run] = append(p.sent[run], now)
		}
	}
}

// allowed returns how many requests the limits allow from a time on.
func (p *ratePlay) allowed(from, window time.Duration) float64 {
	sum := 0.0
	for at := from; at < from+window; at += rateStep {
		sum += p.rate(at) * rateStep.Seconds()
	}
	return sum
}

// checkArrivals checks the requests in each rateWindow.
func (p *ratePlay) checkArrivals(t *testing.T) {
	t.Helper()
	for run, sent := range p.sent {
		for i, first := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at-first < rateWindow {
					n++
				}
			}
			if most := 1.5*p.allowed(first, rateWindow) + rateSlack; float64(n) > most {
				t.Fatalf("%s got %d requests in %v from %v on, want %.1f at most", run.ID, n, rateWindow, first, most)
			}
		}
	}
}

// use returns the share of the limits that was used, from a time on.
func (p *ratePlay) use(from, length time.Duration) float64 {
	n := 0
	for _, sent := range p.sent {
		for _, at := range sent {
			if at >= from {
				n++
			}
		}
	}
	return float64(n) / (p.allowed(from, length-from) * float64(len(p.endpoints)))
}

func newRatePlay(seed uint64, entries, endpoints int, rate, demand float64) *ratePlay {
	p := &ratePlay{
		random: rand.New(rand.NewPCG(seed, 1)), rate: func(time.Duration) float64 { return rate }, issuer: func(time.Duration) int { return 1 },
	}
	weights := 0.0
	for i := range entries {
		p.entries = append(p.entries, &rateEntry{permits: limit.NewPermits(), demand: 1 / float64(i+1)})
		weights += p.entries[i].demand
	}
	for _, e := range p.entries {
		// Demand is uneven: the first entry has as much as all the last ones.
		e.demand *= demand / weights
	}
	for i := range endpoints {
		p.endpoints = append(p.endpoints, limit.EndpointRun{ID: fmt.Sprint("w", i)})
	}
	return p
}

// TestEntriesKeepNamedRate guards against endpoints that get more requests than they named, by entries that each keep to it, and
// against limits that are named and hardly used.
func TestEntriesKeepNamedRate(t *testing.T) {
	const length = 40 * time.Second
	for _, entries := range []int{2, 5, 23, 100, 300} {
		for _, rate := range []float64{0.3, 1.4, 6, 40} {
			demand := 4 * 3 * rate
			for name, change := range map[string]func(p *ratePlay){
				"steady":        func(*ratePlay) {},
				"lost messages": func(p *ratePlay) { p.lossy = 0.3 },
				"rate changes": func(p *ratePlay) {
					p.rate = func(at time.Duration) float64 { return rate * (1 + math.Abs(math.Sin(at.Seconds()))) }
				},
				"leader changes": func(p *ratePlay) {
					p.issuer = func(at time.Duration) int {
						if at%(8*time.Second) > 6500*time.Millisecond {
							return 0
						}
						return 1 + int(at/(8*time.Second))
					}
				},
				"control is lost": func(p *ratePlay) {
					p.issuer = func(at time.Duration) int {
						if at > 12*time.Second {
							return 0
						}
						return 1
					}
				},
			} {
				t.Run(fmt.Sprintf("%d entries, %g a second, %s", entries, rate, name), func(t *testing.T) {
					t.Parallel()
					p := newRatePlay(uint64(entries), entries, 3, rate, demand)
					change(p)
					p.run(length)
					p.checkArrivals(t)
					if use := p.use(4*time.Second, length); name != "control is lost" && name != "leader changes" && use < leastRateUse {
						t.Errorf("%.2f of the limits were used, want %.2f", use, leastRateUse)
					}
				})
			}
		}
	}
}

// TestEndOfNamedRate guards against a limit that ends by an answer from before it was named, or never.
func TestEndOfNamedRate(t *testing.T) {
	run := limit.EndpointRun{ID: "w", Born: 1}
	n := limit.NewNamedRates()
	check.Equal(t, "change by an answer without a limit", n.Observe(run, limit.NamedRate{At: time.Second}), false)
	check.Equal(t, "change by a limit", n.Observe(run, limit.NamedRate{Rate: 2, Named: true, At: 3 * time.Second}), true)
	check.Equal(t, "change by a request from before it", n.Observe(run, limit.NamedRate{At: 2 * time.Second}), false)
	rate, named := n.Rate(run)
	check.Equal(t, "rate", rate, 2.0)
	check.Equal(t, "named", named, true)
	n.Observe(run, limit.NamedRate{Rate: 0, Named: true, At: 4 * time.Second})
	rate, _ = n.Rate(run)
	check.Equal(t, "some requests reach an endpoint that wants none", rate > 0, true)
	check.Equal(t, "change by a later request", n.Observe(run, limit.NamedRate{At: 5 * time.Second}), true)
	_, named = n.Rate(run)
	check.Equal(t, "named after the end", named, false)
	_, named = n.Rate(limit.EndpointRun{ID: "w", Born: 2})
	check.Equal(t, "named by another incarnation", named, false)
}

// TestParseRate guards against a text that is no limit and is taken for one.
func TestParseRate(t *testing.T) {
	for text, want := range map[string]float64{"0": 0, "1.9": 1.9, "250": 250} {
		got, err := limit.ParseRate(text)
		check.NoError(t, err)
		check.Equal(t, text, got, want)
	}
	for _, text := range []string{"", "-1", "NaN", "Inf", "1,9", "many", "1e999"} {
		_, err := limit.ParseRate(text)
		check.Kind(t, err, limit.Malformed)
	}
}
