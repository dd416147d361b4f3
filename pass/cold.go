package pass

import (
	"slices"
	"time"

	"egretshunt/clock"
	"egretshunt/ctrl"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/route"
)

// coldBounds is what an entry knows of the bounds on requests to cold endpoints, for one topology. The load pattern is many
// endpoints that start at once while all entries have requests: without a bound each would get more than it can take, crash and
// come back cold.
type coldBounds struct {
	// paces are those of the pools with a bound.
	paces map[string]limit.ColdPace
	// known is what control last said; marked are the candidates that are cold by it. silence is how long control had said nothing when
	// known was read.
	known   *ctrl.Cold
	marked  []*candidate
	silence time.Duration
	// places is until when the endpoints of each place are cold since its evacuation ended, by the place's index.
	places []time.Duration
}

// newColdBounds returns the bounds of a topology's table set.
func (e *Entry) newColdBounds(t *topology) coldBounds {
	b := coldBounds{paces: map[string]limit.ColdPace{}}
	if t.set == nil {
		return b
	}
	for pool := range t.pools {
		p := t.set.Pool(pool)
		if p == nil {
			continue
		}
		if bound := (limit.ColdBound{Rate: p.ColdRate, Excess: e.config.ColdExcess, Slack: e.config.ColdSlack}); bound.Bounded() {
			b.paces[pool] = bound.Pace()
		}
	}
	return b
}

// installCold marks the candidates that are cold by what control says. The caller holds mu.
func (t *topology) installCold(known *ctrl.Cold) {
	for _, c := range t.cold.marked {
		c.coldUntil = 0
	}
	t.cold.known, t.cold.marked = known, t.cold.marked[:0]
	for id, until := range known.Until {
		if c := t.ids[id]; c != nil {
			c.coldUntil = until
			t.cold.marked = append(t.cold.marked, c)
		}
	}
}

// coldPool is the bound of one pool at one moment.
type coldPool struct {
	entry *Entry
	pace  limit.ColdPace
	turn  limit.Turn
	now   time.Duration
	// listedAt is when the list was read; own is set if this entry read it.
	listedAt time.Duration
	own      bool
	// places are those of coldBounds.
	places []time.Duration
}

// coldPoolOf returns the bound of a pool; nil if it has none. The caller holds mu.
func (e *Entry) coldPoolOf(t *topology, pool string) *coldPool {
	pace, bounded := t.cold.paces[pool]
	if !bounded {
		return nil
	}
	p := &coldPool{entry: e, pace: pace, turn: t.cold.known.Turn.After(t.cold.silence), now: clock.Now(), listedAt: t.cold.known.ListedAt}
	if read := e.fallback.Load(); read != nil && read.list == t.list {
		p.listedAt, p.own = read.askedAt, true
	}
	t.cold.places = slices.Grow(t.cold.places[:0], len(t.places))[:len(t.places)]
	clear(t.cold.places)
	if len(e.config.View.View().Places) > 0 {
		for i, place := range t.places {
			if ago, ended := e.config.View.SinceEvacuation(place); ended {
				t.cold.places[i] = p.now + limit.ColdAfterEvacuation(ago)
			}
		}
	}
	p.places = t.cold.places
	return p
}

// isCold reports whether an endpoint counts as cold, and until when; zero if that isn't known. A pool without a bound has no cold ones.
func (p *coldPool) isCold(c *candidate) (until time.Duration, cold bool) {
	if p == nil {
		return 0, false
	}
	signs := limit.ColdSigns{Until: max(c.coldUntil, p.places[c.place]), LostAt: c.state.lostAt, ListedAt: p.listedAt, ListLag: p.entry.config.ListLag}
	if p.own && c.to.WarmupLeft > 0 {
		signs.Until = max(signs.Until, p.listedAt+c.to.WarmupLeft)
	}
	return signs.Cold(p.now)
}

// turns returns how many requests may be sent now to a cold endpoint.
func (p *coldPool) turns(to *member.Endpoint) int {
	return p.entry.coldTurns.Count(to.ID, p.pace, p.turn, p.now)
}

// take uses a turn at an endpoint if it is cold, and reports whether the request may be sent.
func (p *coldPool) take(c *candidate) (sendable, turn bool) {
	if _, cold := p.isCold(c); !cold {
		return true, false
	}
	if !p.entry.coldTurns.Take(c.to.ID, p.pace, p.turn, p.now) {
		return false, false
	}
	p.entry.meters.coldTurn(c.to.Pool)
	return true, true
}

// next returns when the turns at an endpoint come; false if there are none.
func (p *coldPool) next(to *member.Endpoint) (limit.TurnTimes, bool) {
	return p.entry.coldTurns.Next(to.ID, p.pace, p.turn, p.now)
}

// coldCount returns how many endpoints are cold, as control says.
func (e *Entry) coldCount() float64 {
	n, now := 0, clock.Now()
	for _, until := range e.config.View.Cold().Until {
		if now < until {
			n++
		}
	}
	return float64(n)
}

// recordLost records that a connection to an endpoint was refused or ended: its process may have ended, and the next one is cold.
func (e *Entry) recordLost(to *member.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endpointState(to).lostAt = clock.Now()
}

// coldRuns are the cold endpoints of a pool that take requests by turns.
type coldRuns struct {
	count int
	turns []limit.TurnTimes
	ids   []string
	// soonest is in what time the first of them isn't cold any more; zero if that isn't known of any.
	soonest time.Duration
	// ready holds the endpoints that can be sent to now, once for each request.
	ready []string
}

// add adds an endpoint that is cold until a time, zero if that isn't known, and to which free requests may be sent now.
func (r *coldRuns) add(p *coldPool, to *member.Endpoint, until time.Duration, free int) {
	r.count++
	r.ids = append(r.ids, to.ID)
	if times, ok := p.next(to); ok {
		r.turns = append(r.turns, times)
	}
	if left := until - p.now; until != 0 && (r.soonest == 0 || left < r.soonest) {
		r.soonest = left
	}
	for range min(free, maxRateWaiters) {
		r.ready = append(r.ready, to.ID)
	}
}

// wait returns in what time a request gets a turn with some ahead of it, or an endpoint isn't cold any more.
func (r *coldRuns) wait(ahead int) time.Duration {
	wait := limit.TurnWait(r.turns, ahead, maxRateWait)
	if r.soonest > 0 {
		wait = min(wait, r.soonest)
	}
	return wait
}

// preferred returns the cold endpoint that ranks first for the request's subject; none if it names no parts.
func (r *coldRuns) preferred(j *job) string {
	if len(j.call.Parts) == 0 {
		return ""
	}
	return route.Preferred(j.affinityKey(), r.ids)
}

// pop removes the request that is to be sent next. Of those of its rank, one that prefers an endpoint which can be sent to now goes
// first: it is the work that warms the endpoint best.
func (r *coldRuns) pop(q *limit.Queue[*rateWaiter]) *limit.Item[*rateWaiter] {
	if len(r.ready) == 0 {
		item, _ := q.Pop()
		return item
	}
	next := r.ready[0]
	r.ready = r.ready[1:]
	item, _ := q.PopPreferred(func(w *rateWaiter) bool { return w.prefers == next })
	return item
}

// reason returns why requests that can't wait are rejected.
func (l limitedRuns) reason() string {
	if len(l.runs) == 0 && l.cold.count > 0 {
		return reasonCold
	}
	return reasonLimited
}
