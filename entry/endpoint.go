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

	// mu guards health, lastReport, recordedAt, unreported and lastUsed.
	mu         sync.Mutex
	health     member.Peer
	lastReport *wire.Load
	recordedAt time.Time
	// unreported is the work sent to the endpoint that its last report can't include.
	unreported    []sentRequest
	lastUsed      time.Time
	reported      chan struct{}
	closeReported sync.Once
}

// sentRequest is one request sent to the endpoint.
type sentRequest struct {
	recordedAt time.Time
	tokens     float64
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

func newEndpointStates(ctx context.Context, pool *wire.Pool, goroutines *sync.WaitGroup) *endpointStates {
	return &endpointStates{pool: pool, ctx: ctx, goroutines: goroutines, byName: map[string]*endpointState{}}
}

// stateOf returns the state of a target's endpoint. It starts watching an endpoint that is
// new or whose address has changed.
func (p *endpointStates) stateOf(t route.Target) *endpointState {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.byName[t.Name]
	if !ok || e.target.Addr != t.Addr {
		e = &endpointState{target: t, reported: make(chan struct{}), lastUsed: time.Now()}
		p.byName[t.Name] = e
		p.goroutines.Go(func() { p.watch(e) })
	}
	return e
}

// watch follows an endpoint's load until it has been unused for watchIdleTimeout.
func (p *endpointStates) watch(e *endpointState) {
	for p.ctx.Err() == nil {
		p.readReports(e)
		e.mu.Lock()
		idle := time.Since(e.lastUsed) > watchIdleTimeout
		e.mu.Unlock()
		if idle {
			p.remove(e)
			return
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-p.ctx.Done():
		}
	}
}

func (p *endpointStates) remove(e *endpointState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byName[e.target.Name] == e {
		delete(p.byName, e.target.Name)
	}
}

// readReports reads reports from one stream until it breaks or the endpoint is idle.
func (p *endpointStates) readReports(e *endpointState) {
	ctx, cancel := context.WithTimeout(p.ctx, wire.DialTimeout)
	defer cancel()
	s, err := p.pool.Open(ctx, e.target.Addr)
	if err != nil {
		e.recordFailure(time.Now())
		return
	}
	stop := context.AfterFunc(p.ctx, s.Abort)
	defer stop()
	defer s.Close()
	if err := s.Send(&wire.Frame{Body: &wire.Frame_Watch{Watch: &wire.Watch{}}}); err != nil {
		return
	}
	for {
		s.SetDeadline(time.Now().Add(member.HeartbeatTimeout))
		f, err := s.Recv()
		if err != nil {
			e.recordFailure(time.Now())
			return
		}
		if f.GetLoad() != nil {
			e.applyReport(f.GetLoad(), time.Now())
		}
		e.mu.Lock()
		idle := time.Since(e.lastUsed) > watchIdleTimeout
		e.mu.Unlock()
		if idle {
			return
		}
	}
}

// applyReport stores a load report and drops the sent requests that it includes.
func (e *endpointState) applyReport(l *wire.Load, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastReport != nil && e.lastReport.GetBoot() != l.GetBoot() {
		e.health.Reset()
	}
	e.lastReport, e.recordedAt = l, now
	e.health.RecordSuccess(now, 0)
	if l.GetLeaving() {
		e.health.MarkDraining()
	}
	keep := e.unreported[:0]
	for _, s := range e.unreported {
		if now.Sub(s.recordedAt) < reportLag {
			keep = append(keep, s)
		}
	}
	e.unreported = keep
	e.closeReported.Do(func() { close(e.reported) })
}

func (e *endpointState) recordFailure(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.health.RecordFailure(now)
}

// recordSuccess records a response that began after delay.
func (e *endpointState) recordSuccess(now time.Time, delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.health.RecordSuccess(now, delay)
}

// recordSent records a request sent to the endpoint.
func (e *endpointState) recordSent(now time.Time, tokens float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastUsed = now
	e.health.RecordProbe(now)
	e.unreported = append(e.unreported, sentRequest{recordedAt: now, tokens: tokens})
}

// isUsable reports whether the endpoint may receive new requests.
func (e *endpointState) isUsable(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.health.Usable(now) {
		return false
	}
	return e.lastReport == nil || !(e.lastReport.GetLeaving() || e.lastReport.GetDown() || e.lastReport.GetLoading() != "")
}

// measure returns the measurements for endpoint selection. The caller adds Cached and Stored.
func (e *endpointState) measure(now time.Time) route.EndpointEstimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := route.EndpointEstimate{Rate: defaultPrefillRate}
	calls := len(e.unreported)
	for _, s := range e.unreported {
		m.Queue += s.tokens
	}
	if l := e.lastReport; l != nil {
		m.Queue += float64(l.GetQueue())
		m.Rate = max(float64(l.GetRate()), 1)
		m.Link, m.Backlog = float64(l.GetLink()), float64(l.GetBacklog())
		calls += int(l.GetRunning() + l.GetWaiting())
	}
	if e.target.Pool.Kind == table.Service {
		m.Wait = time.Duration(calls) * costPerCall
	}
	if e.health.State(now) == member.Slow {
		m.Wait += slowPenalty
	}
	return m
}

// incarnation returns the incarnation of the agent beside the endpoint. It waits up to
// firstReportTimeout for the first report.
func (e *endpointState) incarnation(ctx context.Context) (string, bool) {
	timer := time.NewTimer(firstReportTimeout)
	defer timer.Stop()
	select {
	case <-e.reported:
	case <-timer.C:
		return "", false
	case <-ctx.Done():
		return "", false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastReport.GetBoot(), true
}

// updateIncarnation records the incarnation that an agent gave in an accept or a refusal. A change
// resets the last report.
func (e *endpointState) updateIncarnation(incarnation string) {
	if incarnation == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastReport == nil || e.lastReport.GetBoot() == incarnation {
		return
	}
	e.lastReport = &wire.Load{Boot: incarnation}
	e.health.Reset()
}
