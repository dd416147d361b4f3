package pass

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"egretshunt/clock"
	"egretshunt/ctrl"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/route"
)

const (
	// oldPenalty is what an endpoint with old weights counts as later.
	oldPenalty = 150 * time.Millisecond
	// coldPenalty is the load that an endpoint still warming up counts for, in requests.
	coldPenalty = 4
	// savingTime is how long a part that a request is to save is not saved by another.
	savingTime = time.Second
	// savingAge is how long it is remembered where a part was saved without appearing there.
	savingAge = 10 * time.Second
	// startRate is how many prompt tokens a second an engine is taken to compute before any was seen to.
	startRate = 40000
)

// choice is where an attempt goes and what it reuses there.
type choice struct {
	to      *member.Endpoint
	version uint64
	salt    string
	// fetch holds the source of each shared part; an invalid address means none.
	fetch []netip.AddrPort
	// found says which parts are held by the endpoint itself, tokens how long each is.
	found  []bool
	tokens []int
	// compute is the tokens to be computed, moved those to be fetched.
	compute, moved int
	// plain is the predicted time to the first token of an endpoint as fast as others.
	plain time.Duration
	// first is the predicted time to the first token.
	first time.Duration
	ahead int
	level int
	// settled is set once the first token has come, or can't any more.
	settled bool
}

// size returns the tokens that a request takes up in an engine's memory at most.
func (j *job) size() int { return j.call.Tokens() + j.call.Output }

// place chooses the endpoint of the next attempt.
func (e *Entry) place(j *job) (*choice, *failure) {
	now := time.Now()
	if j.deadline.Sub(now) < leastLeft {
		return nil, j.giveUp(whyTimeout, fullRetry)
	}
	list := e.list()
	if list == nil {
		return nil, j.giveUp(whyNoneLeft, staleRetry)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	able, soonest := e.able(j, list, now)
	if len(able) == 0 {
		if !soonest.IsZero() {
			return nil, j.giveUp(whyFull, max(time.Until(soonest), fullRetry))
		}
		return nil, j.giveUp(whyNoneLeft, fullRetry)
	}
	var c *choice
	if j.route.Prompts && len(j.call.Parts) > 0 {
		var f *failure
		if c, f = e.gather(j, list, able, now); f != nil {
			return nil, f
		}
	} else {
		c = e.scatter(j, able)
	}
	s := e.seat(c.to)
	s.flying++
	s.memory += j.size()
	s.awaited[c.level] += c.compute
	e.link(c, 1)
	s.grade.Sent(now)
	j.tried = append(j.tried, c.to.ID)
	return c, nil
}

// able lists the endpoints that may get the request, or when the first of them is free
// again; the caller holds mu.
func (e *Entry) able(j *job, list *member.List, now time.Time) (able []*member.Endpoint, soonest time.Time) {
	var unfit []*member.Endpoint
	for _, to := range list.Pool(j.pool) {
		s := e.seat(to)
		switch {
		case to.Leaving || to.Loading || s.gone || slices.Contains(j.tried, to.ID):
		case e.outdated(s, to, j, now):
		case now.Before(s.full):
			if soonest.IsZero() || s.full.Before(soonest) {
				soonest = s.full
			}
		case to.Down || !s.grade.Fit(now):
			unfit = append(unfit, to)
		default:
			able = append(able, to)
		}
	}
	if len(able) == 0 && soonest.IsZero() {
		// With every endpoint unfit, the judgement is worth nothing.
		able = unfit
	}
	return able, soonest
}

// swapMargin is what is left of the time for a change of weights when the last prompt that
// was sent to an engine with old ones must have begun.
const swapMargin = 500 * time.Millisecond

// outdated reports whether an endpoint's weights are too old for a new prompt, which may wait
// there for as long as its caller does; the caller holds mu.
func (e *Entry) outdated(s *seat, to *member.Endpoint, j *job, now time.Time) bool {
	model := j.call.Model
	if model == "" || e.config.SwapTime == 0 {
		return false
	}
	want := e.config.View.View().Weights[model].Version
	n, ok := e.named[model]
	switch {
	case !ok && want > 0 && now.Sub(e.started) < e.config.SwapTime:
		// How long ago it was named is not known to an entry that has just started.
		n = learned{want, now.Add(-e.config.SwapTime)}
		e.named[model] = n
	case !ok || n.version != want:
		n = learned{want, now}
		e.named[model] = n
	}
	if s.version(to, model) >= want {
		return false
	}
	wait := j.deadline.Sub(now)
	if p := j.route.Patience; p > 0 {
		wait = min(wait, p)
	}
	return now.Sub(n.at) > e.config.SwapTime-wait-swapMargin
}

// scatter chooses for a request that reuses nothing; the caller holds mu.
func (e *Entry) scatter(j *job, able []*member.Endpoint) *choice {
	seats := make([]route.Seat, len(able))
	for i, to := range able {
		seats[i] = route.Seat{ID: to.ID, Load: float64(e.seat(to).flying), Near: to.Place == e.config.Place}
		if to.Cold > 0 {
			seats[i].Penalty = coldPenalty
		}
	}
	return &choice{to: able[route.Scatter(route.Draw(j.call.ID+strconv.Itoa(len(j.tried))), seats)]}
}

// gather chooses for a prompt and admits it; the caller holds mu.
func (e *Entry) gather(j *job, list *member.List, able []*member.Endpoint, now time.Time) (*choice, *failure) {
	elapsed := now.Sub(j.call.Arrived)
	times := limit.Times{Goal: j.route.Goal - elapsed, Patience: j.deadline.Sub(now)}
	if p := j.route.Patience; p > 0 {
		times.Patience = min(times.Patience, p-elapsed)
	}
	able, chosen := e.narrow(j, able)
	onTime := limit.Level(j.rank, j.route.Goal, false)
	outlines := e.outlines(j, list)
	c := e.soonest(j, outlines, able, onTime)
	if chosen {
		return c, nil
	}
	times.First, times.LateFirst = c.first, c.first
	if admission, _ := limit.Admit(times); admission == limit.OnTime {
		return c, nil
	}
	c = e.soonest(j, outlines, able, limit.Level(j.rank, j.route.Goal, true))
	times.LateFirst = c.first
	admission, back := limit.Admit(times)
	if admission == limit.Hopeless && j.runs == 0 {
		return nil, refuse(whyBacklog, back)
	}
	return c, nil
}

// soonest chooses the endpoint with the soonest first token for a level of urgency; the
// caller holds mu.
func (e *Entry) soonest(j *job, outlines *outlines, able []*member.Endpoint, level int) *choice {
	want := e.config.View.View().Weights[j.call.Model].Version
	own := j.call.Tokens()
	for _, p := range j.call.Shared() {
		own -= p.Tokens
	}
	bids := make([]route.Bid, len(able))
	for i, to := range able {
		s := e.seat(to)
		version := s.version(to, j.call.Model)
		l := outlines.of(to, version)
		bids[i] = route.Bid{
			ID: to.ID, Ahead: float64(e.ahead(s, level)), Compute: l.compute, Fresh: l.held.fresh, Own: own, Fetch: l.fetch, Slow: 1,
			Taken: s.memory + e.config.View.Others(s.keys.memory) + j.size(),
		}
		if s.slow > 0 {
			bids[i].Slow = s.slow
		}
		if version < want {
			bids[i].Penalty = oldPenalty
		}
	}
	at := route.Soonest(j.subject(), outlines.engine, bids)
	to, bid := able[at], bids[at]
	version := e.seat(to).version(to, j.call.Model)
	c := outlines.of(to, version).choose(j, to, version)
	c.compute, c.ahead, c.level, c.first = bid.Compute+own, int(bid.Ahead), level, bid.First(outlines.engine)
	bid.Slow, bid.Penalty, bid.Taken = 1, 0, 0
	c.plain = bid.First(outlines.engine)
	return c
}

// rate returns the prompt tokens a second that engines of a pool compute; the caller holds mu.
func (e *Entry) rate(pool string) float64 {
	if r := e.rates[pool]; r > 0 {
		return r
	}
	return startRate
}

// version returns the weights that an endpoint is believed to have.
func (s *seat) version(to *member.Endpoint, model string) uint64 {
	listed := to.Weights[model]
	if l, ok := s.versions[model]; ok && l.version > listed {
		return l.version
	}
	return listed
}

// learn notes the weights that an answer told of.
func (s *seat) learn(model string, version uint64, now time.Time) {
	if model != "" && version > 0 {
		s.versions[model] = learned{version, now}
	}
}

// compose makes the attempt's request.
func (e *Entry) compose(j *job, c *choice, after string) *Send {
	now := time.Now()
	s := &Send{Call: j.call, To: c.to, Account: j.account, Left: j.deadline.Sub(now) - workMargin, Rank: c.level, After: after}
	if len(j.call.Parts) == 0 {
		return s
	}
	j.version, j.fetched, j.saved, j.level, j.expected = c.version, c.moved, 0, c.level, c.first
	s.Version, s.Salt, s.Fetch = c.version, c.salt, c.fetch
	if s.Version > 0 && e.config.Policy != Storeless {
		e.save(j, s, now)
	}
	if ms := e.config.View.EngineClock(clock.Now()); ms > 0 {
		s.Until = ms + ctrl.FetchTime.Milliseconds()
	}
	e.meters.reuse("moved", c.moved)
	e.meters.reuse("computed", c.compute)
	e.meters.reuse("found", j.call.Tokens()-c.moved-c.compute)
	return s
}

// workMargin is how much earlier than this entry an endpoint gives up, so that its word of
// whether it has run the request arrives in time.
const workMargin = 10 * time.Millisecond
