package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/limit"
)

const (
	// loadEntries send loadDemand requests a second to loadEndpoints, each of which runs loadSlots at once for loadWork.
	loadEntries   = 42
	loadEndpoints = 45
	loadDemand    = 840.0
	loadSlots     = 5
	loadWork      = 250 * time.Millisecond
	// A cold endpoint takes loadColdFactor as long, and is cold for loadColdTime in which it has requests. One that crashes is down for
	// loadDownTime.
	loadColdFactor = 1.25
	loadColdTime   = 3 * time.Second
	loadDownTime   = 1500 * time.Millisecond
	// loadPatience is how long clients wait, loadFault when the fault is and loadLength when the replay ends.
	loadPatience = 2 * time.Second
	loadFault    = 5 * time.Second
	loadLength   = 35 * time.Second
	loadStep     = 5 * time.Millisecond
	// loadNews is how late entries know of what control knows; control knows of an end loadNotice after it, by the engine's events.
	loadNews   = 150 * time.Millisecond
	loadNotice = 50 * time.Millisecond
)

var loadBound = limit.ColdBound{Rate: 12, Excess: 1.5, Slack: 5}

// loadEndpoint is an endpoint of a replay.
type loadEndpoint struct {
	id       string
	downTill time.Duration
	// coldLeft is how long it is cold yet, and coldTill the last time that entries were told.
	coldLeft, coldTill time.Duration
	lastAt             time.Duration
	// arrivals are those of the last second; running holds when requests end, queue those that wait.
	arrivals, running []time.Duration
	queue             []loadRequest
	// seen is the number of requests that entries see there.
	seen int
}

// loadRequest is a request with the times when it arrived and when it was sent to the endpoint.
type loadRequest struct{ arrived, sent time.Duration }

func (w *loadEndpoint) cold() bool { return w.coldLeft > 0 }

// coldLoad is a replay of a load while endpoints are cold. sendable is the policy: whether an entry may send to a cold endpoint now.
type coldLoad struct {
	random    *rand.Rand
	endpoints []*loadEndpoint
	waiting   [loadEntries][]time.Duration
	sendable  func(entry int, w *loadEndpoint, now time.Duration) bool
	step      func(p *coldLoad, now time.Duration)

	served, asked, crashes int
	lastCrash, longestWarm time.Duration
}

func newColdLoad(sendable func(entry int, w *loadEndpoint, now time.Duration) bool) *coldLoad {
	p := &coldLoad{random: rand.New(rand.NewPCG(1, 2)), sendable: sendable}
	for i := range loadEndpoints {
		p.endpoints = append(p.endpoints, &loadEndpoint{id: fmt.Sprint("w", i)})
	}
	return p
}

// crash ends an endpoint's process.
func (p *coldLoad) crash(w *loadEndpoint, now time.Duration) {
	w.running, w.queue, w.arrivals = nil, nil, nil
	w.downTill, w.coldLeft = now+loadDownTime, loadColdTime
}

func before(times []time.Duration, until time.Duration) int {
	n := 0
	for n < len(times) && times[n] <= until {
		n++
	}
	return n
}

// advance lets an endpoint work.
func (p *coldLoad) advance(w *loadEndpoint, now time.Duration) {
	if now < w.downTill {
		return
	}
	if w.cold() && now-w.lastAt < time.Second {
		w.coldLeft -= loadStep
	}
	left := w.running[:0]
	for _, end := range w.running {
		if end > now {
			left = append(left, end)
		}
	}
	w.running = left
	for len(w.queue) > 0 && len(w.running) < loadSlots {
		r, work := w.queue[0], loadWork
		w.queue = w.queue[1:]
		if w.cold() {
			work = time.Duration(loadColdFactor * float64(work))
		} else if now > loadFault {
			p.longestWarm = max(p.longestWarm, now-r.sent)
		}
		w.running = append(w.running, now+work)
		if r.arrived > loadFault && now+work-r.arrived <= loadPatience {
			p.served++
		}
	}
}

// send sends a request to an endpoint, and reports whether that took it.
func (p *coldLoad) send(w *loadEndpoint, arrived, now time.Duration) bool {
	w.seen++
	if now < w.downTill {
		return false
	}
	w.lastAt = now
	w.queue = append(w.queue, loadRequest{arrived, now})
	if !w.cold() {
		return true
	}
	w.arrivals = append(w.arrivals[before(w.arrivals, now-time.Second):], now)
	if float64(len(w.arrivals)) > loadBound.Most() {
		p.crash(w, now)
		p.crashes++
		p.lastCrash = now
	}
	return true
}

// choose returns the least loaded of a few endpoints that an entry may send to; nil if there is none.
func (p *coldLoad) choose(entry int, now time.Duration) *loadEndpoint {
	var best *loadEndpoint
	for range 6 {
		w := p.endpoints[p.random.IntN(len(p.endpoints))]
		known := w.downTill-loadDownTime+loadNotice+loadNews <= now
		if known && now < w.downTill || w.seen > 3*loadSlots {
			continue
		}
		if known && now < w.coldTill && !p.sendable(entry, w, now) {
			continue
		}
		if best == nil || w.seen < best.seen {
			best = w
		}
	}
	return best
}

func (p *coldLoad) run(fault func(i int) bool) {
	for now := time.Duration(0); now < loadLength; now += loadStep {
		for i, w := range p.endpoints {
			if now == loadFault && fault(i) {
				p.crash(w, now)
			}
			if w.cold() {
				// Entries count it as cold a little longer.
				w.coldTill = now + loadNews
			}
			p.advance(w, now)
			if now%(100*time.Millisecond) == 0 {
				w.seen = len(w.running) + len(w.queue)
			}
		}
		if p.step != nil {
			p.step(p, now)
		}
		for entry := range loadEntries {
			if p.random.Float64() < loadDemand/loadEntries*loadStep.Seconds() {
				p.waiting[entry] = append(p.waiting[entry], now)
				if now > loadFault {
					p.asked++
				}
			}
			q := p.waiting[entry]
			for len(q) > 0 {
				if now-q[0] > loadPatience-2*loadWork {
					q = q[1:]
					continue
				}
				w := p.choose(entry, now)
				if w == nil {
					break
				}
				// What finds nothing listening is sent to another endpoint.
				if !p.send(w, q[0], now) {
					continue
				}
				q = q[1:]
			}
			p.waiting[entry] = q
		}
	}
}

func (p *coldLoad) String() string {
	return fmt.Sprintf("served %.3f of %d, %d crashes, the last %v after the fault, longest wait at a warm endpoint %v",
		float64(p.served)/float64(p.asked), p.asked, p.crashes, max(p.lastCrash-loadFault, 0), p.longestWarm)
}

// loadPolicies are the ways in which entries may send to cold endpoints.
var loadPolicies = map[string]func() *coldLoad{
	"unbounded": func() *coldLoad {
		return newColdLoad(func(int, *loadEndpoint, time.Duration) bool { return true })
	},
	"never": func() *coldLoad {
		return newColdLoad(func(int, *loadEndpoint, time.Duration) bool { return false })
	},
	"turns": func() *coldLoad {
		var turns [loadEntries]*limit.ColdTurns
		for i := range turns {
			turns[i] = limit.NewColdTurns(0)
		}
		pace := loadBound.Pace()
		return newColdLoad(func(entry int, w *loadEndpoint, now time.Duration) bool {
			return turns[entry].Take(w.id, pace, limit.Turn{Index: entry, Count: 44}, now)
		})
	},
	"a share each": func() *coldLoad {
		last := map[[2]string]time.Duration{}
		return newColdLoad(func(entry int, w *loadEndpoint, now time.Duration) bool {
			key := [2]string{fmt.Sprint(entry), w.id}
			at, ok := last[key]
			if every := time.Duration(loadEntries / loadBound.Rate * float64(time.Second)); ok && now-at < every {
				return false
			}
			last[key] = now
			return true
		})
	},
	"one owner": func() *coldLoad {
		last := map[string]time.Duration{}
		return newColdLoad(func(entry int, w *loadEndpoint, now time.Duration) bool {
			at, ok := last[w.id]
			if every := time.Duration(float64(time.Second) / loadBound.Rate); entry != int(ownerHash(w.id)%loadEntries) || ok && now-at < every {
				return false
			}
			last[w.id] = now
			return true
		})
	},
	"permits": func() *coldLoad {
		issuer := limit.NewPermitIssuer()
		var permits [loadEntries]*limit.Permits
		for i := range permits {
			permits[i] = limit.NewPermits()
		}
		p := newColdLoad(func(entry int, w *loadEndpoint, now time.Duration) bool {
			return permits[entry].Take(limit.EndpointRun{ID: w.id}, now)
		})
		p.step = func(p *coldLoad, now time.Duration) {
			if now%(50*time.Millisecond) != 0 {
				return
			}
			var runs []limit.EndpointRun
			for _, w := range p.endpoints {
				if run := (limit.EndpointRun{ID: w.id}); now < w.coldTill && now >= w.downTill {
					issuer.SetRate(run, loadBound.Rate, now)
					runs = append(runs, run)
				} else {
					issuer.Remove(run)
				}
			}
			for _, entry := range p.random.Perm(loadEntries) {
				// Entries ask for what waits, or what they expect until the next sync.
				for run, n := range issuer.Issue(limit.PermitWant{Count: max(len(p.waiting[entry]), 1), Runs: runs}, now) {
					permits[entry].Add(run, n, now)
				}
			}
		}
		return p
	},
}

func ownerHash(id string) uint32 {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return h
}

var loadFaults = map[string]func(i int) bool{
	"a quarter is cold":           func(i int) bool { return i%4 == 0 },
	"a whole data centre is cold": func(i int) bool { return i < loadEndpoints/3 },
}

// TestFleetLeavesColdState replays a load after a quarter of the endpoints, or a whole data centre, started again. It guards against the state
// in which cold endpoints are overloaded, crash and come back cold, and against warm endpoints that are overloaded meanwhile.
func TestFleetLeavesColdState(t *testing.T) {
	for name, fault := range loadFaults {
		for policy, start := range loadPolicies {
			t.Run(name+", "+policy, func(t *testing.T) {
				t.Parallel()
				p := start()
				p.run(fault)
				t.Log(p)
				if policy != "turns" {
					return
				}
				check.Equal(t, "crashes after the faults", p.crashes, 0)
				check.Equal(t, "most are served", float64(p.served) > 0.97*float64(p.asked), true)
				check.Equal(t, "warm endpoints aren't overloaded", p.longestWarm < time.Second, true)
			})
		}
	}
}
