package ctrl

import (
	"sync"
	"sync/atomic"
	"time"

	"egretshunt/clock"
	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/value"
	"egretshunt/wire"
)

const (
	// limitedSyncHold is how long control holds syncs without updates at least while endpoints name limits: requests wait for
	// permits. It is syncSpacing for each entry if that is more, so that the leader's load stays bounded.
	limitedSyncHold = 40 * time.Millisecond
	syncSpacing     = 2 * time.Millisecond
	// permitSilence is the time without an answered sync from which an entry sends by turns.
	permitSilence = 600 * time.Millisecond
	// permitReplyShare is the share of a second's permits that ends the hold of a sync which wants them, so that high rates
	// aren't issued one by one.
	permitReplyShare = 0.1
)

// rateGuard is an entry's part of the limits that endpoints name: what answers said of them, and the permits to send.
type rateGuard struct {
	events *event.Log
	// limited is set while any endpoint names a limit.
	limited atomic.Bool
	changed *notifier

	// mu guards the rest.
	mu      sync.Mutex
	rates   *limit.NamedRates
	permits *limit.Permits
	turn    limit.Turn
	// issuerAt is when the last sync was answered.
	issuerAt time.Duration
}

func newRateGuard(events *event.Log) *rateGuard {
	return &rateGuard{events: events, changed: newNotifier(), rates: limit.NewNamedRates(), permits: limit.NewPermits()}
}

// observe records what an answer, or control, says of a limit. The caller holds mu.
func (g *rateGuard) observe(run limit.EndpointRun, r limit.NamedRate) {
	if !g.rates.Observe(run, r) {
		return
	}
	rate, named := g.rates.Rate(run)
	g.events.Emit(event.EndpointLimited, "endpoint", run.ID, "born", run.Born, "rate", rate, "limited", named)
	if named {
		g.limited.Store(true)
	}
}

// RecordRate records that an endpoint's answer named a limit, or none, by the answer to a request that was sent at a time.
func (f *Feed) RecordRate(run limit.EndpointRun, rate value.Option[float64], sentAt time.Time) {
	g := f.rates
	if _, named := rate.Get(); !named && !g.limited.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := limit.NamedRate{At: clock.Now() - time.Since(sentAt)}
	if r.Rate, r.Named = rate.Get(); r.Named {
		r.At = clock.Now()
	}
	g.observe(run, r)
}

// NamedRate returns the limit that an endpoint has named, in requests a second.
func (f *Feed) NamedRate(run limit.EndpointRun) (rate float64, named bool) {
	g := f.rates
	if !g.limited.Load() {
		return 0, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rates.Rate(run)
}

// PermitCount returns how many requests may be sent now to an endpoint that has named a limit.
func (f *Feed) PermitCount(run limit.EndpointRun) int {
	g := f.rates
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	g.takeTurns(run, now)
	return g.permits.Count(run, now)
}

// TakePermit uses one of the permits that PermitCount counts.
func (f *Feed) TakePermit(run limit.EndpointRun) bool {
	g := f.rates
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.permits.Take(run, clock.Now())
}

// takeTurns adds the permits of turns while control is silent. An entry that never heard from control has no turn. The caller
// holds mu.
func (g *rateGuard) takeTurns(run limit.EndpointRun, now time.Duration) {
	if rate, named := g.rates.Rate(run); named && g.turn.Count > 0 && now-g.issuerAt > permitSilence {
		g.permits.TakeTurns(run, rate, g.turn, now)
	}
}

// Permitted returns a channel that is closed when further permits have been issued.
func (f *Feed) Permitted() <-chan struct{} { return f.rates.changed.wait() }

// encode adds the limits known and the wants to a sync.
func (g *rateGuard) encode(req *wire.Sync, wants []limit.PermitWant) {
	if !g.limited.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	req.Limits = encodeRates(g.rates, clock.Now())
	for _, w := range wants {
		want := &wire.PermitWant{Count: uint32(max(w.Count, 0)), Waiting: uint32(w.Waiting)}
		for _, run := range w.Runs {
			want.Runs = append(want.Runs, &wire.EndpointLimit{Endpoint: run.ID, Born: run.Born})
		}
		req.Wants = append(req.Wants, want)
	}
}

// install takes over the limits and permits of a reply.
func (g *rateGuard) install(reply *wire.Synced, listed func(limit.EndpointRun) bool) {
	if len(reply.GetLimits()) == 0 && !g.limited.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	for _, l := range reply.GetLimits() {
		run, r := decodeRate(l, now)
		if known := g.rates.Newest(run); known.Named != r.Named || known.Rate != r.Rate {
			g.observe(run, r)
		}
	}
	g.rates.Keep(listed, now)
	named := func(run limit.EndpointRun) bool { _, ok := g.rates.Rate(run); return ok }
	g.permits.Keep(named)
	for _, p := range reply.GetPermits() {
		g.permits.Add(limit.EndpointRun{ID: p.GetEndpoint(), Born: p.GetBorn()}, int(p.GetCount()), now)
	}
	g.issuerAt = now
	g.permits.EndTurns()
	g.turn = limit.Turn{Index: int(reply.GetTurn()), Count: int(reply.GetEntries()), Clock: time.Duration(reply.GetGroupUs())*time.Microsecond - now}
	g.limited.Store(g.rates.Len() > 0)
	if len(reply.GetPermits()) > 0 {
		g.changed.announce()
	}
}

func encodeRates(rates *limit.NamedRates, now time.Duration) []*wire.EndpointLimit {
	var out []*wire.EndpointLimit
	for _, run := range rates.All() {
		r := rates.Newest(run)
		out = append(out, &wire.EndpointLimit{Endpoint: run.ID, Born: run.Born, Rate: r.Rate, Named: r.Named, AgeUs: (now - r.At).Microseconds()})
	}
	return out
}

func decodeRate(l *wire.EndpointLimit, now time.Duration) (limit.EndpointRun, limit.NamedRate) {
	return limit.EndpointRun{ID: l.GetEndpoint(), Born: l.GetBorn()},
		limit.NamedRate{Rate: l.GetRate(), Named: l.GetNamed(), At: now - time.Duration(l.GetAgeUs())*time.Microsecond}
}

// issuedRates is the leader's part: the limits that entries report, and the permits issued for them.
type issuedRates struct {
	rates  *limit.NamedRates
	issuer *limit.PermitIssuer
}

func newIssuedRates() issuedRates {
	return issuedRates{limit.NewNamedRates(), limit.NewPermitIssuer()}
}

// record records the limits that an entry reports. The caller holds the state's lock.
func (i issuedRates) record(req *wire.Sync, listed func(limit.EndpointRun) bool, now time.Duration) {
	for _, l := range req.GetLimits() {
		run, r := decodeRate(l, now)
		i.rates.Observe(run, r)
	}
	for _, run := range i.rates.All() {
		rate, named := i.rates.Rate(run)
		if named && listed(run) {
			i.issuer.SetRate(run, rate, now)
		} else {
			i.issuer.Remove(run)
		}
	}
	i.rates.Keep(listed, now)
}

func decodeWants(req *wire.Sync) []limit.PermitWant {
	var wants []limit.PermitWant
	for _, w := range req.GetWants() {
		want := limit.PermitWant{Count: int(w.GetCount()), Waiting: int(w.GetWaiting())}
		for _, run := range w.GetRuns() {
			want.Runs = append(want.Runs, limit.EndpointRun{ID: run.GetEndpoint(), Born: run.GetBorn()})
		}
		wants = append(wants, want)
	}
	return wants
}

// permitsDue reports whether a sync needs no hold, since permits for it are left.
func (ls *LeaderState) permitsDue(req *wire.Sync) bool {
	if len(req.GetWants()) == 0 {
		return false
	}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	now := clock.Now()
	for _, w := range decodeWants(req) {
		rate := 0.0
		for _, run := range w.Runs {
			r, _ := ls.issued.rates.Rate(run)
			rate += r
		}
		if n := ls.issued.issuer.Available(w, now); n > 0 && (n >= w.Count || float64(n) >= permitReplyShare*rate) {
			return true
		}
	}
	return false
}

// addPermits adds the limits known and the permits that a sync wants to the reply. The caller holds the state's lock.
func (ls *LeaderState) addPermits(reply *wire.Synced, req *wire.Sync, now time.Duration) {
	reply.Limits = encodeRates(ls.issued.rates, now)
	for _, w := range decodeWants(req) {
		for run, n := range ls.issued.issuer.Issue(w, now) {
			reply.Permits = append(reply.Permits, &wire.Permit{Endpoint: run.ID, Born: run.Born, Count: uint32(n)})
		}
	}
}
