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
	// watchIdleTimeout is how long an unused endpoint is still watched.
	watchIdleTimeout = time.Minute
	// reportLag is how old a load report is taken to be when it comes.
	reportLag = 150 * time.Millisecond
	// defaultPrefillRate is the prefill rate of an endpoint not heard of yet, in tokens a second.
	defaultPrefillRate = 10_000
	// costPerCall is the time that one running call of a plain service is taken to stand for.
	costPerCall = 5 * time.Millisecond
	// slowPenalty is added to the expected wait of an endpoint that answers late.
	slowPenalty = 500 * time.Millisecond
	// firstReportTimeout bounds the wait for an endpoint's first report.
	firstReportTimeout = time.Second
)

// endpointState is what this entry knows of one endpoint.
type endpointState struct {
	target route.Target

	// mu guards the rest.
	mu         sync.Mutex
	health     member.Peer
	lastReport *wire.Load
	reportedAt time.Time
	// unreported is work given to the endpoint that its last report can't contain.
	unreported    []sentRequest
	lastUsed      time.Time
	reported      chan struct{}
	closeReported sync.Once
}

// sentRequest is one request on its way.
type sentRequest struct {
	sentAt time.Time
	tokens float64
}

// endpointStates keeps one peer for each endpoint in use.
type endpointStates struct {
	pool       *wire.Pool
	ctx        context.Context
	goroutines *sync.WaitGroup

	// mu guards all.
	mu     sync.Mutex
	byName map[string]*endpointState
}

func newEndpointStates(ctx context.Context, pool *wire.Pool, running *sync.WaitGroup) *endpointStates {
	return &endpointStates{pool: pool, ctx: ctx, goroutines: running, byName: map[string]*endpointState{}}
}

// stateOf returns the peer stateOf a target and starts to watch it.
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

// watch follows an endpoint's load until it has not been used for a while.
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

// applyReport takes a load applyReport in.
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

// recordSuccess notes an answer that began after delay.
func (w *endpointState) recordSuccess(now time.Time, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.health.Good(now, delay)
}

// recordSent notes a request on its way to the endpoint.
func (w *endpointState) recordSent(now time.Time, tokens float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastUsed = now
	w.health.Probe(now)
	w.unreported = append(w.unreported, sentRequest{sentAt: now, tokens: tokens})
}

// isUsable reports whether new work may go there.
func (w *endpointState) isUsable(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.health.Usable(now) {
		return false
	}
	return w.lastReport == nil || !(w.lastReport.GetLeaving() || w.lastReport.GetDown() || w.lastReport.GetLoading() != "")
}

// measure returns what the decision needs; cached and stored are added by the caller.
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

// incarnation returns the incarnation of the agent beside the endpoint, waiting for its first report.
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

// updateIncarnation notes a newer incarnation that a refusal named.
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
