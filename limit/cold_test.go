package limit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
)

const (
	// coldStep is the time between two steps of a simulation, coldTransit the longest time that a request is on its way.
	coldStep    = 10 * time.Millisecond
	coldTransit = 30 * time.Millisecond
)

// coldPlay is a simulation of entries that all have requests for endpoints that stay cold.
type coldPlay struct {
	random    *rand.Rand
	bound     limit.ColdBound
	endpoints []string
	entries   []*coldEntry
	// leader returns the leader's term at a time; zero while there is none. roster is its roster.
	leader func(at time.Duration) uint64
	term   uint64
	roster *limit.Roster
	// change changes the entries at each step.
	change   func(p *coldPlay, now time.Duration)
	arrivals map[string][]time.Duration
}

// coldEntry is one entry, whose clock is ahead of the simulation's.
type coldEntry struct {
	name        string
	ahead       time.Duration
	syncAt      time.Duration
	noContact   bool
	frozenUntil time.Duration
	// held is the endpoint of a request that had its turn when the entry froze.
	held  string
	turns *limit.ColdTurns
	turn  limit.Turn
	clock limit.TurnClock
}

func newColdPlay(seed uint64, entries int, bound limit.ColdBound) *coldPlay {
	p := &coldPlay{
		random: rand.New(rand.NewPCG(seed, 7)), bound: bound, endpoints: []string{"w1", "w2", "w3"},
		leader: func(time.Duration) uint64 { return 1 }, change: func(*coldPlay, time.Duration) {}, arrivals: map[string][]time.Duration{},
	}
	for range entries {
		p.add(0)
	}
	return p
}

func (p *coldPlay) add(now time.Duration) {
	ahead := time.Duration(p.random.Int64N(int64(time.Hour)))
	p.entries = append(p.entries, &coldEntry{name: fmt.Sprint("e", p.random.Uint64()), ahead: ahead, turns: limit.NewColdTurns(now + ahead)})
}

func (p *coldPlay) draw(most time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(most)))
}

func (p *coldPlay) run(length time.Duration) {
	pace := p.bound.Pace()
	for now := time.Duration(0); now < length; now += coldStep {
		if term := p.leader(now); term != p.term {
			p.term, p.roster = term, limit.NewRoster(now)
		}
		p.change(p, now)
		for _, e := range p.entries {
			if now < e.frozenUntil {
				continue
			}
			if e.held != "" {
				p.arrivals[e.held] = append(p.arrivals[e.held], now+p.draw(coldTransit))
				e.held = ""
			}
			if now >= e.syncAt {
				e.syncAt = now + 20*time.Millisecond + p.draw(130*time.Millisecond)
				p.sync(e, now)
			}
			for _, id := range p.endpoints {
				for e.turns.Take(id, pace, e.turn, now+e.ahead) {
					p.arrivals[id] = append(p.arrivals[id], now+p.draw(coldTransit))
				}
			}
		}
	}
}

// coldEpoch is the shared time when the simulation begins.
const coldEpoch = 20000 * 24 * time.Hour

// sync gives an entry its turn. The shared time in the response is that of a leader whose clock differs a little from others', and late.
func (p *coldPlay) sync(e *coldEntry, now time.Duration) {
	if p.term == 0 || e.noContact {
		return
	}
	p.roster.Record(e.name, now)
	shared := coldEpoch + now + time.Duration(p.term%3)*3*time.Millisecond - p.draw(20*time.Millisecond)
	if p.random.IntN(20) == 0 {
		shared -= p.draw(400 * time.Millisecond)
	}
	offset := e.clock.Observe(p.term, shared, now+e.ahead)
	if t := p.roster.Turn(e.name, now); t.Count > 0 {
		e.turn = t
	}
	e.turn.Clock = offset
}

// most returns the most arrivals at one endpoint in any second.
func (p *coldPlay) most() (most int, at time.Duration) {
	for _, times := range p.arrivals {
		slices.Sort(times)
		first := 0
		for i, last := range times {
			for last-times[first] >= time.Second {
				first++
			}
			if n := i - first + 1; n > most {
				most, at = n, times[first]
			}
		}
	}
	return most, at
}

// coldCases are what happens to entries and leaders.
var coldCases = map[string]func(p *coldPlay){
	"steady": func(*coldPlay) {},
	"a third without contact": func(p *coldPlay) {
		p.change = func(p *coldPlay, now time.Duration) {
			for i, e := range p.entries {
				e.noContact = i%3 == 0 && now > 8*time.Second
			}
		}
	},
	"control is lost": func(p *coldPlay) {
		p.leader = func(at time.Duration) uint64 {
			if at > 8*time.Second {
				return 0
			}
			return 1
		}
	},
	"leaders change": func(p *coldPlay) {
		p.leader = func(at time.Duration) uint64 {
			if at%(6*time.Second) < 800*time.Millisecond {
				return 0
			}
			return 1 + uint64(at/(6*time.Second))
		}
	},
	"entries freeze": func(p *coldPlay) {
		p.change = func(p *coldPlay, now time.Duration) {
			if p.random.IntN(200) > 0 {
				return
			}
			e := p.entries[p.random.IntN(len(p.entries))]
			e.frozenUntil = now + p.draw(4*time.Second)
			if id := p.endpoints[0]; e.turns.Take(id, p.bound.Pace(), e.turn, now+e.ahead) {
				e.held = id
			}
		}
	},
	"entries are added": func(p *coldPlay) {
		n := len(p.entries)
		p.change = func(p *coldPlay, now time.Duration) {
			if now > 8*time.Second && len(p.entries) < n+(n+1)/2 && p.random.IntN(40) == 0 {
				p.add(now)
			}
		}
	},
	"half as many are added at once": func(p *coldPlay) {
		n := len(p.entries)
		p.change = func(p *coldPlay, now time.Duration) {
			for now > 8*time.Second && len(p.entries) < n+n/2 {
				p.add(now)
			}
		}
	},
	"entries restart": func(p *coldPlay) {
		p.change = func(p *coldPlay, now time.Duration) {
			if p.random.IntN(100) == 0 {
				e := p.entries[p.random.IntN(len(p.entries))]
				e.turns, e.turn, e.clock, e.syncAt = limit.NewColdTurns(now+e.ahead), limit.Turn{}, limit.TurnClock{}, now+p.draw(time.Second)
				e.frozenUntil = e.syncAt
			}
		}
	},
	"the leader freezes": func(p *coldPlay) {
		p.change = func(p *coldPlay, now time.Duration) {
			for _, e := range p.entries {
				e.noContact = now > 8*time.Second && now < 20*time.Second
			}
		}
	},
}

// TestColdEndpointsStayWithinBound guards against cold endpoints that get more requests in a second than they are to, from entries that
// each believe to keep to their share.
func TestColdEndpointsStayWithinBound(t *testing.T) {
	const length = 30 * time.Second
	for _, entries := range []int{2, 5, 23, 42, 300} {
		for _, bound := range []limit.ColdBound{{Rate: 20, Excess: 1.5, Slack: 5}, {Rate: 12, Excess: 1.5, Slack: 5}, {Rate: 3, Excess: 1.5, Slack: 2}, {Rate: 80, Excess: 1.2, Slack: 5}} {
			for name, change := range coldCases {
				t.Run(fmt.Sprintf("%d entries, %g a second, %s", entries, bound.Rate, name), func(t *testing.T) {
					t.Parallel()
					p := newColdPlay(uint64(entries), entries, bound)
					change(p)
					p.run(length)
					if most, at := p.most(); float64(most) > bound.Most() {
						t.Errorf("an endpoint got %d requests in the second from %v on, want %.1f at most", most, at, bound.Most())
					}
					used := 0.0
					for _, times := range p.arrivals {
						for _, at := range times {
							if at >= 24*time.Second {
								used++
							}
						}
					}
					share := used / (6 * bound.Pace().Rate * float64(len(p.endpoints)))
					t.Logf("%.2f of the turns were used", share)
					// Two entries that are mostly frozen use few, and turns move as entries are added.
					check.Equal(t, "turns are used", share > 0.25 || name == "entries freeze", true)
				})
			}
		}
	}
}
