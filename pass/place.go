package pass

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"egretshunt/clock"
	"egretshunt/ctrl"
	"egretshunt/fence"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/route"
)

const (
	// outdatedWeightsPenalty is added to the predicted time to first token of an endpoint with
	// outdated weights.
	outdatedWeightsPenalty = 150 * time.Millisecond
	// warmingUpLoad is added to the load of an endpoint that is still warming up, in requests.
	warmingUpLoad = 4
	// saveClaimTime is how long a part that one request was told to save isn't assigned to
	// another.
	saveClaimTime = time.Second
	// saveHistoryTime is how long after a claim's end the entry remembers the stores in which
	// the part did not appear.
	saveHistoryTime = 10 * time.Second
	// defaultPrefillRate is the prefill rate assumed of an engine before the first observation,
	// in prompt tokens per second.
	defaultPrefillRate = 40000
)

// placement is the endpoint of one attempt and what the attempt reuses there.
type placement struct {
	to      *member.Endpoint
	version uint64
	salt    string
	// behind is for how long the endpoint has lacked a newer target of its weights.
	behind time.Duration
	// fetchFrom holds the source of each shared part; an invalid address means that it isn't
	// fetched.
	fetchFrom []netip.AddrPort
	// local reports for each part whether the endpoint itself caches it; partTokens is each
	// part's length.
	local      []bool
	partTokens []int
	// computeTokens are the prompt tokens to compute, fetchTokens those to fetch.
	computeTokens, fetchTokens int
	// nominalFirstToken is the time to first token that would be predicted at an endpoint of
	// ordinary speed.
	nominalFirstToken time.Duration
	// predictedFirstToken is the predicted time to first token.
	predictedFirstToken time.Duration
	tokensAhead         int
	urgency             int
	// unbound is set if no turn was used though the endpoint's pool has a bound on requests to cold ones.
	unbound bool
	// away is why the endpoint is in another data centre; "" if it isn't.
	away route.Departure
	// firstTokenSettled is set once the first token has arrived or can't arrive any more.
	firstTokenSettled bool
}

// maxMemoryTokens returns the most tokens that the request can occupy in an engine's memory.
func (j *job) maxMemoryTokens() int {
	return j.call.Tokens() + min(max(j.call.MaxOutputTokens, 0), maxOutputTokens)
}

// maxOutputTokens bounds the output tokens that a client's number counts as. Sums over the requests in flight don't
// overflow.
const maxOutputTokens = 1 << 28

// place chooses the endpoint of the next attempt and reserves capacity there. limited reports that only endpoints with limits are
// left, for which the request needs a permit; permitted is set once it has waited for one.
func (e *Entry) place(j *job, permitted bool) (c *placement, f *failure, limited bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if permitted {
		e.rateQueue(j.pool).woken--
	}
	now := time.Now()
	if j.deadline.Sub(now) < minTimeLeft {
		return nil, j.finalFailure(reasonTimeout, fullRetryAfter), false
	}
	list := e.list()
	if list == nil {
		return nil, j.finalFailure(reasonNoneLeft, staleRetryAfter), false
	}
	t := e.topologyOf(list, j.tables.set)
	all := e.eligible(j, t, now)
	eligible := all.candidates
	switch {
	case all.limited && (len(eligible) == 0 || all.onlyPermits && !permitted && e.rateQueue(j.pool).queue.Len() > 0):
		return nil, nil, true
	case len(eligible) == 0:
		reason := reasonNoneLeft
		if all.full {
			reason = reasonFull
		}
		if f := e.placeFailure(j, t); f != nil {
			return nil, f, false
		}
		if build, ok := j.stream.build.Get(); ok && !t.serves(j.pool, build) {
			return nil, j.finalFailure(reasonBuildGone, limit.MinRestartTime), false
		}
		return nil, j.finalFailure(reason, e.timeUntilFree(j, now)), false
	}
	if c, f = e.choose(j, t, eligible, now); f != nil {
		return nil, f, false
	}
	if run := runOf(c.to); e.isLimited(run) && !e.config.View.TakePermit(run) {
		// It has expired meanwhile.
		return nil, nil, true
	}
	if all.cold != nil {
		sendable, turn := all.cold.take(t.ids[c.to.ID])
		if !sendable {
			return nil, nil, true
		}
		c.unbound = !turn
	}
	if all.limited {
		e.rateQueue(j.pool).passed++
	}
	if model := j.call.Model; model != "" {
		c.behind = e.targets[model].Behind(e.endpointState(c.to).version(c.to, model), clock.Time())
	}
	e.reserve(j, c, now)
	return c, nil, false
}

// choose chooses one of the eligible endpoints. The caller holds mu.
func (e *Entry) choose(j *job, t *topology, eligible []*candidate, now time.Time) (*placement, *failure) {
	if j.route.NamesPromptParts && len(j.call.Parts) > 0 {
		return e.placePrompt(j, t, eligible, now)
	}
	return e.placeByLoad(j, eligible), nil
}

// reserve reserves capacity for an attempt. The caller holds mu.
func (e *Entry) reserve(j *job, c *placement, now time.Time) {
	s := e.endpointState(c.to)
	s.inFlight++
	s.memoryTokens += j.maxMemoryTokens()
	s.pendingTokens[c.urgency] += c.computeTokens
	e.addLinkTokens(c, 1)
	s.health.RecordSent(now)
	j.tried = append(j.tried, c.to.ID)
}

// eligibility is which candidates may receive a request.
type eligibility struct {
	candidates []*candidate
	// full reports that others have asked for time, limited that some have named limits or are cold, onlyPermits that all those left are.
	full, limited, onlyPermits bool
	// cold is the bound of the pool; nil if it has none.
	cold *coldPool
}

// eligible returns the candidates that may receive the request; they are valid until the next call. The caller holds mu.
func (e *Entry) eligible(j *job, t *topology, now time.Time) eligibility {
	got := eligibility{onlyPermits: true, candidates: e.scratch.eligible[:0], cold: e.coldPoolOf(t, j.pool)}
	// waiting is set if an endpoint that is down or ejected is cold and has no turn.
	waiting := false
	ejected := e.scratch.ejected[:0]
	required, builds := e.requiredVersion(j, now), e.config.View.View().Builds
	j.required = required
	rules := e.placeRules(j, t)
	for _, c := range t.pools[j.pool] {
		to, s := c.to, c.state
		run := runOf(to)
		limited := e.isLimited(run)
		_, cold := got.cold.isCold(c)
		up := !to.Down && s.health.Fit(now)
		switch {
		case rules[c.place] != openPlace:
		case !j.mayGoOnAt(to, s, builds, now):
		case s.isAvoided(to) || slices.Contains(j.tried, to.ID):
		case required > 0 && s.version(to, j.call.Model) < required:
		case now.Before(s.fullUntil):
			got.full = true
		case limited && e.config.View.PermitCount(run) == 0, cold && got.cold.turns(to) == 0:
			got.limited = got.limited || up
			waiting = waiting || cold && !up
		case !up:
			ejected = append(ejected, c)
		default:
			got.candidates = append(got.candidates, c)
			got.limited = got.limited || limited || cold
			got.onlyPermits = got.onlyPermits && (limited || cold)
		}
	}
	e.scratch.eligible, e.scratch.ejected = got.candidates, ejected
	if len(got.candidates) == 0 && !got.full && !got.limited {
		// If every endpoint is down or ejected, these reports carry no information: use them all.
		got.candidates = ejected
		got.limited = len(ejected) == 0 && waiting
	}
	return got
}

// requiredVersion returns the oldest weights version on which a new prompt may still start, which
// may queue for as long as its client waits; zero means any. The caller holds mu.
func (e *Entry) requiredVersion(j *job, now time.Time) uint64 {
	model := j.call.Model
	if model == "" || e.config.RolloutTimeout == 0 {
		return 0
	}
	wait := j.deadline.Sub(now)
	if p := j.route.Patience; p > 0 {
		wait = min(wait, p)
	}
	moment := clock.Time()
	return e.observeTargets(model, moment).Oldest(moment, wait, e.config.RolloutTimeout)
}

// observeTargets returns the target versions of a model's weights by this VM's clock, which shows moment. The caller holds mu.
func (e *Entry) observeTargets(model string, moment time.Time) fence.Targets {
	for name, w := range e.config.View.View().Weights {
		e.targets[name] = w.ObserveTargets(e.targets[name], moment, func(t fence.Target) time.Duration {
			// Not so long that all engines which lack it would be out of use at once, nor so short that some stay in use too long.
			return e.config.View.TargetAge(t.At, e.config.RolloutTimeout/2)
		})
	}
	return e.targets[model]
}

// placeByLoad chooses an endpoint for a request that reuses no cached prompt parts. The caller
// holds mu.
func (e *Entry) placeByLoad(j *job, eligible []*candidate) *placement {
	loads := e.scratch.loads[:0]
	for _, c := range eligible {
		load := route.EndpointState{ID: c.to.ID, Load: float64(c.state.inFlight), Local: c.to.Place == e.config.Place}
		if c.to.WarmupLeft > 0 {
			load.Penalty = warmingUpLoad
		}
		loads = append(loads, load)
	}
	e.scratch.loads = loads
	at, away := e.spreadLoad(j, route.UniformHash(j.call.ID+strconv.Itoa(len(j.tried))), eligible, loads)
	chosen := eligible[at]
	return &placement{to: chosen.to, away: away, version: chosen.state.version(chosen.to, j.call.Model)}
}

// placePrompt chooses an endpoint for a prompt and runs admission control. The caller holds mu.
func (e *Entry) placePrompt(j *job, t *topology, eligible []*candidate, now time.Time) (*placement, *failure) {
	elapsed := now.Sub(j.call.Arrived)
	times := limit.AdmissionTimes{Goal: j.route.Goal - elapsed, Patience: j.deadline.Sub(now)}
	if p := j.route.Patience; p > 0 {
		times.Patience = min(times.Patience, p-elapsed)
	}
	eligible, decided := e.applyBaseline(j, eligible)
	plan := e.newPromptPlan(j, t, now)
	estimates := plan.estimate(eligible)
	c := plan.earliestFirstToken(eligible, estimates, limit.UrgencyLevel(j.rank, j.route.Goal, false))
	if decided {
		return c, nil
	}
	times.FirstToken, times.LateFirstToken = c.predictedFirstToken, c.predictedFirstToken
	if admission, _ := limit.Admit(times); admission == limit.OnTime {
		return c, nil
	}
	c = plan.earliestFirstToken(eligible, estimates, limit.UrgencyLevel(j.rank, j.route.Goal, true))
	times.LateFirstToken = c.predictedFirstToken
	admission, retryAfter := limit.Admit(times)
	if admission == limit.TooLate && j.possibleRuns == 0 {
		return nil, refuse(reasonBacklog, retryAfter)
	}
	return c, nil
}

// earliestFirstToken chooses the candidate with the earliest predicted first token at a level of
// urgency.
func (o *promptPlan) earliestFirstToken(candidates []*candidate, estimates []route.CandidateEstimate, level int) *placement {
	for i, c := range candidates {
		estimates[i].TokensAhead = float64(c.tokensAhead(level))
	}
	at, away := o.earliest(candidates, estimates)
	chosen := estimates[at]
	p := o.placementAt(candidates[at], o.entry.scratch.versions[at])
	p.away = away
	p.computeTokens, p.tokensAhead, p.urgency, p.predictedFirstToken = chosen.Compute+chosen.OwnTokens, int(chosen.TokensAhead), level, chosen.First(o.engine)
	chosen.Slowdown = 1
	p.nominalFirstToken = chosen.First(o.engine)
	return p
}

// prefillRate returns the prompt tokens per second that engines of a pool compute. The caller
// holds mu.
func (e *Entry) prefillRate(pool string) float64 {
	if r := e.prefillRates[pool]; r > 0 {
		return r
	}
	return defaultPrefillRate
}

// version returns the version of a model's weights that the endpoint is expected to run, by whichever is more recent, the
// list or a response. A version in the list dates from when this entry first saw it there, but the list lags: a response
// with a higher version shortly before is taken for more recent.
func (s *endpointState) version(to *member.Endpoint, model string) uint64 {
	listed := to.Weights[model]
	v, ok := s.versions[model]
	if !ok && listed == 0 {
		return 0
	}
	if v.listed != listed {
		v.listed, v.listedAt = listed, time.Now()
		s.versions[model] = v
	}
	switch {
	case v.observed == 0 || v.observed == listed:
		return listed
	case !v.at.Before(v.listedAt):
		return v.observed
	case v.observed > listed && v.listedAt.Sub(v.at) < relistTime:
		return v.observed
	}
	return listed
}

// observeVersion records the weights version that a response reported.
func (s *endpointState) observeVersion(model string, version uint64, now time.Time) {
	if model != "" && version > 0 {
		v := s.versions[model]
		v.observed, v.at = version, now
		s.versions[model] = v
	}
}

// newSend builds the request of one attempt.
func (e *Entry) newSend(j *job, c *placement, lastEventID string) *Send {
	now := time.Now()
	s := &Send{Call: j.call, To: c.to, Account: j.account, TimeLeft: j.deadline.Sub(now) - reportMargin, Urgency: c.urgency, LastEventID: lastEventID, Version: c.version, SameProcess: c.unbound}
	if len(j.call.Parts) == 0 {
		return s
	}
	j.version, j.fetched, j.saved, j.urgency, j.predictedFirstToken = c.version, c.fetchTokens, 0, c.urgency, c.predictedFirstToken
	s.Salt, s.FetchFrom = c.salt, c.fetchFrom
	if s.Version > 0 && e.config.Policy != Storeless {
		e.assignSaves(j, s, now)
	}
	if ms := e.config.View.EngineClock(clock.Now()); ms > 0 {
		s.FetchDeadlineMs = ms + ctrl.FetchTimeout.Milliseconds()
	}
	e.meters.reuse("moved", c.fetchTokens)
	e.meters.reuse("computed", c.computeTokens)
	e.meters.reuse("found", j.call.Tokens()-c.fetchTokens-c.computeTokens)
	return s
}

// reportMargin is how much earlier than this entry an endpoint gives up, so that its report of
// whether it has run the request arrives in time.
const reportMargin = 10 * time.Millisecond
