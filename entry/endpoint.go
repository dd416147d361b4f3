package entry

import (
	"context"
	"sync"
	"time"

	"egretshunt/member"
	"egretshunt/route"
	"egretshunt/table"
	"egretshunt/wire"
)

const (
	// watchIdleTimeout is how long an endpoint's load is watched after its last use.
	watchIdleTimeout = time.Minute
	// reportLag is the assumed age of a load report on arrival. Requests sent within it
	// aren't in the report yet.
	reportLag = 150 * time.Millisecond
	// defaultPrefillRate is the assumed prefill rate of an endpoint before its first
	// report, in tokens per second.
	defaultPrefillRate = 10_000
	// costPerCall is the expected wait that each call in flight adds at a service that isn't a
	// model.
	costPerCall = 5 * time.Millisecond
	// slowPenalty is added to the expected wait of an endpoint that responds late.
	slowPenalty = 500 * time.Millisecond
	// firstReportTimeout bounds the wait for an endpoint's first report.
	firstReportTimeout = time.Second
)

// endpointState is this entry's view of one endpoint: its health, its last load report and the
// work sent since.
type endpointState struct {
	target route.Target

	// mu guards health, lastReport, reportedAt, unreported and lastUsed.
	mu         sync.Mutex
	health     member.Peer
	lastReport *wire.Load
	reportedAt time.Time
	// unreported is the work sent to the endpoint that its last report can't include.
	unreported    []sentRequest
	lastUsed      time.Time
	reported      chan struct{}
	closeReported sync.Once
}

// sentRequest is one request sent to the endpoint.
type sentRequest struct {
	sentAt time.Time
	tokens float64
}

// endpointStates holds the state of each endpoint in use.
type endpointStates struct {
	pool       *wire.Pool
	ctx        context.Context
	goroutines *sync.WaitGroup

	// mu guards byName.
	mu     sync.Mutex
	byName map[string]*endpointState
}

func newEndpointStates(ctx context.Context, pool *wire.Pool, running *sync.WaitGroup) *endpointStates {
	return &endpointStates{pool: pool, ctx: ctx, goroutines: running, byName: map[string]*endpointState{}}
}

// stateOf returns the state of a target's endpoint. It starts watching an endpoint that is
// new or whose address has changed.
func (p *endpointStates) stateOf(t route.Target) *endpointState {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.byName[t.Name]
	if !ok || w.target.Addr != t.Addr {
		w = &endpointState{target: t, reported: make(chan struct{}), lastUsed: time.Now()}
		p.byName[t.Name] = w
		p.goroutines.Go(func() { p.watch(w) })
	}
	return w
}

// watch follows an endpoint's load until it has been unused for watchIdleTimeout.
func (p *endpointStates) watch(w *endpointState) {
	for p.ctx.Err() == nil {
		p.readReports(w)
		w.mu.Lock()
		idle := time.Since(w.lastUsed) > watchIdleTimeout
		w.mu.Unlock()
		if idle {
			p.remove(w)
			return
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-p.ctx.Done():
		}
	}
}

func (p *endpointStates) remove(w *endpointState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byName[w.target.Name] == w {
		delete(p.byName, w.target.Name)
	}
}

// readReports reads reports from one stream until it breaks or the endpoint is idle.
func (p *endpointStates) readReports(w *endpointState) {
	ctx, cancel := context.WithTimeout(p.ctx, wire.DialTimeout)
	defer cancel()
	s, err := p.pool.Open(ctx, w.target.Addr)
	if err != nil {
		w.recordFailure(time.Now())
		return
	}
	stop := context.AfterFunc(p.ctx, s.Abort)
	defer stop()
	defer s.Close()
	if err := s.Send(&wire.Frame{Body: &wire.Frame_Watch{Watch: &wire.Watch{}}}); err != nil {
		return
	}
	for {
		s.SetDeadline(time.Now().Add(member.Silence))
		f, err := s.Recv()
		if err != nil {
			w.recordFailure(time.Now())
			return
		}
		if f.GetLoad() != nil {
			w.applyReport(f.GetLoad(), time.Now())
		}
		w.mu.Lock()
		idle := time.Since(w.lastUsed) > watchIdleTimeout
		w.mu.Unlock()
		if idle {
			return
		}
	}
}

// applyReport stores a load report and drops the sent requests that it includes.
func (w *endpointState) applyReport(l *wire.Load, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastReport != nil && w.lastReport.GetBoot() != l.GetBoot() {
		w.health.Reborn()
	}
	w.lastReport, w.reportedAt = l, now
	w.health.Good(now, 0)
	if l.GetLeaving() {
		w.health.Leave()
	}
	keep := w.unreported[:0]
	for _, s := range w.unreported {
		if now.Sub(s.sentAt) < reportLag {
			keep = append(keep, s)
		}
	}
	w.unreported = keep
	w.closeReported.Do(func() { close(w.reported) })
}

func (w *endpointState) recordFailure(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.health.Fail(now)
}

// recordSuccess records a response that began after delay.
func (w *endpointState) recordSuccess(now time.Time, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.health.Good(now, delay)
}

// recordSent records a request sent to the endpoint.
func (w *endpointState) recordSent(now time.Time, tokens float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastUsed = now
	w.health.Probe(now)
	w.unreported = append(w.unreported, sentRequest{sentAt: now, tokens: tokens})
}

// isUsable reports whether the endpoint may receive new requests.
func (w *endpointState) isUsable(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.health.Usable(now) {
		return false
	}
	return w.lastReport == nil || !(w.lastReport.GetLeaving() || w.lastReport.GetDown() || w.lastReport.GetLoading() != "")
}

// measure returns the measurements for endpoint selection. The caller adds Cached and Stored.
func (w *endpointState) measure(now time.Time) route.Measured {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := route.Measured{Rate: defaultPrefillRate}
	calls := len(w.unreported)
	for _, s := range w.unreported {
		m.Queue += s.tokens
	}
	if l := w.lastReport; l != nil {
		m.Queue += float64(l.GetQueue())
		m.Rate = max(float64(l.GetRate()), 1)
		m.Link, m.Backlog = float64(l.GetLink()), float64(l.GetBacklog())
		calls += int(l.GetRunning() + l.GetWaiting())
	}
	if w.target.Pool.Kind == table.Service {
		m.Wait = time.Duration(calls) * costPerCall
	}
	if w.health.State(now) == member.Slow {
		m.Wait += slowPenalty
	}
	return m
}

// incarnation returns the incarnation of the agent beside the endpoint. It waits up to
// firstReportTimeout for the first report.
func (w *endpointState) incarnation(ctx context.Context) (string, bool) {
	timer := time.NewTimer(firstReportTimeout)
	defer timer.Stop()
	select {
	case <-w.reported:
	case <-timer.C:
		return "", false
	case <-ctx.Done():
		return "", false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastReport.GetBoot(), true
}

// updateIncarnation records the incarnation that an agent gave in an accept or a refusal. A change
// resets the last report.
func (w *endpointState) updateIncarnation(incarnation string) {
	if incarnation == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastReport == nil || w.lastReport.GetBoot() == incarnation {
		return
	}
	w.lastReport = &wire.Load{Boot: incarnation}
	w.health.Reborn()
}
