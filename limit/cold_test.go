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
	// heardAt is when it last heard from control.
	heardAt time.Duration
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
			turn := e.turn.After(now - e.heardAt)
			for _, id := range p.endpoints {
				for e.turns.Take(id, pace, turn, now+e.ahead) {
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
	e.heardAt = now
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
	"all but a few without contact": func(p *coldPlay) {
		p.change = func(p *coldPlay, now time.Duration) {
			for i, e := range p.entries {
				e.noContact = i%4 > 0 && now > 8*time.Second
			}
		}
	},
	"most are without contact to the next leader": func(p *coldPlay) {
		p.leader = func(at time.Duration) uint64 {
			switch {
			case at < 8*time.Second:
				return 1
			case at < 8500*time.Millisecond:
				return 0
			}
			return 2
		}
		p.change = func(p *coldPlay, now time.Duration) {
			for i, e := range p.entries {
				e.noContact = i%4 > 0 && now > 8*time.Second
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

// TestPaceKeepsBound guards against a pace that uses more than a bound allows, or turns that can't be used.
func TestPaceKeepsBound(t *testing.T) {
	for _, b := range []limit.ColdBound{
		{20, 1.5, 5}, {12, 1.5, 5}, {20, 1, 0}, {1, 1, 0}, {0.2, 1, 1}, {1e300, 1e300, 0}, {1, 1, 1e9}, {20, 1, 5}, {3, 1.5, 2}, {1000, 1.2, 5},
	} {
		p := b.Pace()
		t.Logf("%+v: %+v", b, p)
		check.Equal(t, "rate", p.Rate > 0 && p.Rate <= b.Rate, true)
		check.Equal(t, "validity", p.Validity >= 50*time.Millisecond && p.Validity <= 250*time.Millisecond, true)
		turns := p.Rate * (1 + p.Validity.Seconds())
		check.Equal(t, fmt.Sprint("turns of a second ", b), turns <= max(b.Most(), 1), true)
		check.Equal(t, fmt.Sprint("turns of a second by half as many entries again ", b), 1.5*turns <= b.Most()+0.001, true)
	}
	for _, b := range []limit.ColdBound{{}, {Rate: -1, Excess: 1.5, Slack: 5}, {Rate: 1e-300, Excess: 1.5, Slack: 5}, {Rate: 0.5, Excess: 1}} {
		check.Equal(t, "rate where nothing may be sent or nothing is bounded", b.Pace().Rate, 0.0)
	}
}

// TestColdSigns guards against an endpoint that counts as warm by what is too old to show it.
func TestColdSigns(t *testing.T) {
	const lag, now = 800 * time.Millisecond, time.Hour
	for name, c := range map[string]struct {
		signs limit.ColdSigns
		cold  bool
	}{
		"warm":                             {limit.ColdSigns{ListedAt: now}, false},
		"said to be cold":                  {limit.ColdSigns{ListedAt: now, Until: now + 1}, true},
		"no longer":                        {limit.ColdSigns{ListedAt: now, Until: now}, false},
		"its process ended":                {limit.ColdSigns{ListedAt: now, LostAt: now - lag}, true},
		"before what the list shows":       {limit.ColdSigns{ListedAt: now, LostAt: now - lag - 1}, false},
		"the list is old":                  {limit.ColdSigns{ListedAt: now - limit.MaxListAge - 1}, true},
		"the list is almost old":           {limit.ColdSigns{ListedAt: now - limit.MaxListAge}, false},
		"there is no list":                 {limit.ColdSigns{}, true},
		"its process ended after a list":   {limit.ColdSigns{ListedAt: now - 1, LostAt: now}, true},
		"its evacuation ended 1 s ago":     {limit.ColdSigns{ListedAt: now, Until: now + limit.ColdAfterEvacuation(time.Second)}, true},
		"its evacuation ended 3 s ago":     {limit.ColdSigns{ListedAt: now, Until: now + limit.ColdAfterEvacuation(3*time.Second)}, false},
		"its evacuation ends, as it seems": {limit.ColdSigns{ListedAt: now, Until: now + limit.ColdAfterEvacuation(-time.Hour)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c.signs.ListLag = lag
			_, cold := c.signs.Cold(now)
			check.Equal(t, "cold", cold, c.cold)
		})
	}
	check.Equal(t, "time after an evacuation that ends", limit.ColdAfterEvacuation(-time.Hour), 3*time.Second)
}

// TestWarmups guards against restarts that a leader forgets before the list shows them, and against all endpoints counting as new at its
// first list.
func TestWarmups(t *testing.T) {
	const coldTime = 3 * time.Second
	w := limit.NewWarmups()
	list := func(at time.Duration, born int64, left time.Duration) {
		w.List([]limit.ListedRun{{EndpointRun: limit.EndpointRun{ID: "a", Born: born}, WarmupLeft: left, ColdTime: coldTime}}, at, at)
	}
	cold := func(at time.Duration) bool { return len(w.Cold(at)) > 0 }
	list(10*time.Second, 1, 0)
	check.Equal(t, "cold in the first list", cold(10*time.Second), false)
	check.Equal(t, "news of a restart", w.Restart("a", coldTime, 11*time.Second), true)
	check.Equal(t, "news of the same restart", w.Restart("a", coldTime, 11*time.Second), false)
	check.Equal(t, "news of a restart without a time to be cold", w.Restart("a", 0, 20*time.Second), false)
	list(11500*time.Millisecond, 1, 0)
	check.Equal(t, "cold while the list shows the former incarnation", cold(13*time.Second), true)
	list(12*time.Second, 2, 0)
	check.Equal(t, "cold as a new incarnation", cold(14900*time.Millisecond), true)
	check.Equal(t, "cold after its time", cold(15*time.Second), false)
	list(16*time.Second, 2, time.Second)
	check.Equal(t, "cold again, as the list says", cold(16900*time.Millisecond), true)
	list(17*time.Second, 2, 0)
	check.Equal(t, "warm, as the list says", cold(17*time.Second), false)
	check.Equal(t, "news of an unknown one", w.Restart("b", coldTime, 17*time.Second), false)
	w.Restart("a", coldTime, 18*time.Second)
	check.Equal(t, "news of a further restart", w.Restart("a", coldTime, 20*time.Second), false)
	check.Equal(t, "news of a restart shortly before it would be warm", w.Restart("a", coldTime, 22600*time.Millisecond), true)
	w.Recover("a")
	check.Equal(t, "cold though its process goes on", cold(18*time.Second), false)
}

// TestRosterKeepsPlaces guards against turns that move whenever an entry comes, and against entries without contact whose turns are given
// away while they still send.
func TestRosterKeepsPlaces(t *testing.T) {
	r := limit.NewRoster(0)
	names := make([]string, 42)
	for i := range names {
		names[i] = fmt.Sprint("entry", i)
	}
	record := func(now time.Duration, names []string) {
		for _, n := range names {
			r.Record(n, now)
		}
	}
	record(time.Second, names[:40])
	check.Equal(t, "turn of a new leader", r.Turn(names[0], 2900*time.Millisecond), limit.Turn{})
	record(3*time.Second, names[:40])
	was := map[string]limit.Turn{}
	taken := map[int]bool{}
	for _, n := range names[:40] {
		was[n] = r.Turn(n, 3*time.Second)
		check.Equal(t, "place is free", taken[was[n].Index], false)
		taken[was[n].Index] = true
	}
	check.Equal(t, "places for 40", was[names[0]].Count, 40)
	for now := 4 * time.Second; now < 14*time.Second; now += time.Second {
		record(now, names[:29])
	}
	check.Equal(t, "turn while ten are without contact for 10 s", r.Turn(names[0], 13*time.Second), was[names[0]])
	record(14*time.Second, names[:29])
	check.Equal(t, "places once they don't count", r.Turn(names[0], 14*time.Second).Count, 30)
	before := r.Turn(names[3], 14*time.Second)
	record(15*time.Second, names[:30])
	r.Turn(names[29], 15*time.Second)
	check.Equal(t, "turn after one was added", r.Turn(names[3], 15*time.Second), before)
	record(20*time.Second, names[:30])
	check.Equal(t, "turn of a leader that was cut off", r.Turn(names[3], 20*time.Second), limit.Turn{})
}

// TestTurnWait guards against a wait that counts too few turns, or none of those who are ahead.
func TestTurnWait(t *testing.T) {
	two := []limit.TurnTimes{{First: 100 * time.Millisecond, Period: time.Second}, {First: 400 * time.Millisecond, Period: time.Second}}
	for ahead, want := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 1100 * time.Millisecond, 1400 * time.Millisecond} {
		check.Equal(t, fmt.Sprint(ahead, " ahead"), limit.TurnWait(two, ahead, 10*time.Second), want)
	}
	check.Equal(t, "longest", limit.TurnWait(two, 100, 10*time.Second), 10*time.Second)
	check.Equal(t, "no turns", limit.TurnWait(nil, 0, 10*time.Second), 10*time.Second)
}

// unseenRestart is a simulation of an endpoint that restarts while entries send to it, as to a warm one. It returns the most arrivals in
// any second. noticed is set if control sees the restart in the engine's events.
func unseenRestart(seed uint64, entries int, demand float64, down time.Duration, noticed bool) (most int) {
	const lag, restartAt, coldTime = 800 * time.Millisecond, 5 * time.Second, 3 * time.Second
	random := rand.New(rand.NewPCG(seed, 3))
	bound := limit.ColdBound{Rate: 20, Excess: 1.5, Slack: 5}
	type knowing struct {
		turns *limit.ColdTurns
		signs limit.ColdSigns
	}
	all := make([]*knowing, entries)
	for i := range all {
		all[i] = &knowing{limit.NewColdTurns(0), limit.ColdSigns{ListLag: lag}}
	}
	w := limit.NewWarmups()
	var listedAt time.Duration
	var arrivals []time.Duration
	for now := 2 * time.Second; now < restartAt+down+coldTime; now += coldStep {
		if now%(500*time.Millisecond) == 0 {
			r := limit.ListedRun{EndpointRun: limit.EndpointRun{ID: "w"}, ColdTime: coldTime}
			if shown := now - lag; shown >= restartAt+down {
				r.Born, r.WarmupLeft = 1, max(restartAt+down+coldTime-shown, 0)
			}
			w.List([]limit.ListedRun{r}, now, now)
			listedAt = now
		}
		if noticed && now == restartAt+50*time.Millisecond {
			w.Restart("w", coldTime, now)
		}
		for i, e := range all {
			if random.IntN(15) == 0 {
				e.signs.ListedAt, e.signs.Until = listedAt, 0
				for _, c := range w.Cold(now) {
					e.signs.Until = now + c.Left
				}
			}
			if random.Float64() > demand/float64(entries)*coldStep.Seconds() {
				continue
			}
			if _, cold := e.signs.Cold(now); cold && !e.turns.Take("w", bound.Pace(), limit.Turn{Index: i, Count: entries}, now) {
				continue
			}
			switch {
			case now < restartAt:
			case now < restartAt+down:
				e.signs.LostAt = now
			default:
				arrivals = append(arrivals, now)
			}
		}
	}
	p := &coldPlay{arrivals: map[string][]time.Duration{"w": arrivals}}
	most, _ = p.most()
	return most
}

// TestUnseenRestartStaysWithinBound guards against entries that send to a process which started again as to the former one: no list shows it
// yet, and perhaps nobody has seen it end. Until the list does, the bound holds as long as the endpoint gets no more than it did before.
func TestUnseenRestartStaysWithinBound(t *testing.T) {
	for _, c := range []struct {
		name    string
		demand  float64
		down    time.Duration
		noticed bool
	}{
		{"nobody sees it", 16, 0, false},
		{"those see it that send meanwhile", 16, 500 * time.Millisecond, false},
		{"control sees it", 200, time.Second, true},
	} {
		for _, entries := range []int{2, 42, 300} {
			t.Run(fmt.Sprint(c.name, ", ", entries, " entries"), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(20) {
					if most := unseenRestart(seed, entries, c.demand, c.down, c.noticed); most > 35 {
						t.Errorf("seed %d: %d requests in a second, want 35 at most", seed, most)
					}
				}
			})
		}
	}
}
