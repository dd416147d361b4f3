package pass

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"egretshunt/block"
	"egretshunt/board"
	"egretshunt/clock"
	"egretshunt/ctrl"
	"egretshunt/member"
	"egretshunt/route"
)

const (
	// oldPenalty is the load that old weights count for, in requests.
	oldPenalty = 8
	// coldPenalty is the load that an endpoint still warming up counts for, in requests.
	coldPenalty = 4
	// savingTime is how long a part that a request is to save is not saved by another.
	savingTime = 3 * time.Second
)

// place chooses the endpoint of the next attempt.
func (e *Entry) place(j *job) (*member.Endpoint, *failure) {
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
	var seats []route.Seat
	var ends []*member.Endpoint
	full, unfit := 0, 0
	var soonest time.Time
	for pass := range 2 {
		for _, to := range list.Pool(j.pool) {
			s := e.seat(to)
			if to.Leaving || to.Loading || s.gone || slices.Contains(j.tried, to.ID) {
				continue
			}
			if now.Before(s.full) {
				full++
				if soonest.IsZero() || s.full.Before(soonest) {
					soonest = s.full
				}
				continue
			}
			// With every endpoint unfit, the judgement is worth nothing.
			if pass == 0 && (to.Down || !s.grade.Fit(now)) {
				unfit++
				continue
			}
			seats = append(seats, e.offer(j, to, s))
			ends = append(ends, to)
		}
		if len(seats) > 0 || unfit == 0 {
			break
		}
	}
	if len(seats) == 0 {
		if full > 0 {
			return nil, j.giveUp(whyFull, max(time.Until(soonest), fullRetry))
		}
		return nil, j.giveUp(whyNoneLeft, fullRetry)
	}
	at := 0
	if shared := j.call.Shared(); j.route.Prompts && len(shared) > 0 {
		at = route.Gather(shared[len(shared)-1].ID, seats)
	} else {
		at = route.Scatter(draw(j.call.ID+strconv.Itoa(len(j.tried))), seats)
	}
	to := ends[at]
	s := e.seat(to)
	s.flying++
	s.grade.Sent(now)
	j.tried = append(j.tried, to.ID)
	return to, nil
}

// offer describes an endpoint to the decision; the caller holds mu.
func (e *Entry) offer(j *job, to *member.Endpoint, s *seat) route.Seat {
	offer := route.Seat{ID: to.ID, Load: float64(s.flying), Near: to.Place == e.config.Place}
	if to.Cold > 0 {
		offer.Penalty += coldPenalty
	}
	if m := j.call.Model; m != "" {
		if want := e.config.View.View().Weights[m].Version; want > 0 && s.version(to, m) < want {
			offer.Penalty += oldPenalty
		}
	}
	return offer
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

// compose makes the attempt's request: which weights, under which salt, what to fetch and save.
func (e *Entry) compose(j *job, to *member.Endpoint, after string) *Send {
	now := time.Now()
	s := &Send{Call: j.call, To: to, Account: j.account, Left: j.deadline.Sub(now), Rank: j.rank, After: after}
	if len(j.call.Parts) == 0 {
		return s
	}
	e.mu.Lock()
	s.Version = e.seat(to).version(to, j.call.Model)
	e.mu.Unlock()
	j.version = s.Version
	s.Salt = block.Salt(s.Version, "")
	if j.isolated {
		s.Salt = block.Salt(s.Version, j.account)
	}
	if s.Version > 0 {
		e.reuse(j, s, now)
	}
	return s
}

// reuse names the stores to fetch shared parts from and to save them to.
func (e *Entry) reuse(j *job, s *Send, now time.Time) {
	shared := j.call.Shared()
	s.Fetch = make([]netip.AddrPort, len(j.call.Parts))
	s.Save = make([]netip.AddrPort, len(j.call.Parts))
	stores := j.set.Stores()
	j.fetched, j.saved = 0, 0
	for i, p := range shared {
		name := block.PartName(s.Salt, p.ID)
		if held := e.config.View.Where(name); len(held) > 0 {
			s.Fetch[i] = nearest(held, stores, e.config.Place)
			j.fetched += p.Tokens
			e.config.View.Use(name)
			continue
		}
		if at := home(name, stores); at >= 0 && e.config.View.Open(stores[at].Store.Addr) && e.claimSave(name, now) {
			s.Save[i] = stores[at].Store.Addr
			j.saved += p.Tokens
		}
	}
	if clockNow := e.config.View.EngineClock(clock.Now()); clockNow > 0 {
		s.Until = clockNow + ctrl.FetchTime.Milliseconds()
	} else {
		// Without the engines' clock a fetch can't be bounded.
		clear(s.Fetch)
	}
	e.meters.reuse("store", j.fetched)
	e.meters.reuse("other", j.call.Tokens()-j.fetched)
}

// nearest prefers a store of the endpoint's own data centre.
func nearest(held []block.Holder, stores []*board.Pool, place string) netip.AddrPort {
	for _, h := range held {
		for _, s := range stores {
			if s.Store.Addr == h.Store && s.Store.Place == place {
				return h.Store
			}
		}
	}
	return held[0].Store
}

func home(name string, stores []*board.Pool) int {
	ids, capacities := make([]string, len(stores)), make([]int, len(stores))
	for i, s := range stores {
		ids[i], capacities[i] = s.Name, s.Store.Tokens
	}
	return route.Home(name, ids, capacities)
}

// claimSave reports whether this request should save a part; others leave it alone for a while.
func (e *Entry) claimSave(name string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until, ok := e.saving[name]; ok && now.Before(until) {
		return false
	}
	e.saving[name] = now.Add(savingTime)
	return true
}
