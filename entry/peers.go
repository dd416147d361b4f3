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
	// watchIdle is how long an unused endpoint is still watched.
	watchIdle = time.Minute
	// reportLag is how old a load report is taken to be when it comes.
	reportLag = 150 * time.Millisecond
	// guessRate is the prefill rate of an endpoint not heard of yet, in tokens a second.
	guessRate = 10_000
	// callCost is the time that one running call of a plain service is taken to stand for.
	callCost = 5 * time.Millisecond
	// slowCost is added to the expected wait of an endpoint that answers late.
	slowCost = 500 * time.Millisecond
	// bootWait bounds the wait for an endpoint's first report.
	bootWait = time.Second
)

// peer is what this entry knows of one endpoint.
type peer struct {
	target route.Target

	// mu guards the rest.
	mu    sync.Mutex
	state member.Peer
	load  *wire.Load
	at    time.Time
	// sent is work given to the endpoint that its last report can't contain.
	sent  []shipment
	used  time.Time
	heard chan struct{}
	once  sync.Once
}

// shipment is one request on its way.
type shipment struct {
	at     time.Time
	tokens float64
}

// peers keeps one peer for each endpoint in use.
type peers struct {
	pool    *wire.Pool
	ctx     context.Context
	running *sync.WaitGroup

	// mu guards all.
	mu  sync.Mutex
	all map[string]*peer
}

func newPeers(ctx context.Context, pool *wire.Pool, running *sync.WaitGroup) *peers {
	return &peers{pool: pool, ctx: ctx, running: running, all: map[string]*peer{}}
}

// of returns the peer of a target and starts to watch it.
func (p *peers) of(t route.Target) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.all[t.Name]
	if !ok || w.target.Addr != t.Addr {
		w = &peer{target: t, heard: make(chan struct{}), used: time.Now()}
		p.all[t.Name] = w
		p.running.Go(func() { p.watch(w) })
	}
	return w
}

// watch follows an endpoint's load until it has not been used for a while.
func (p *peers) watch(w *peer) {
	for p.ctx.Err() == nil {
		p.follow(w)
		w.mu.Lock()
		idle := time.Since(w.used) > watchIdle
		w.mu.Unlock()
		if idle {
			p.drop(w)
			return
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-p.ctx.Done():
		}
	}
}

func (p *peers) drop(w *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.all[w.target.Name] == w {
		delete(p.all, w.target.Name)
	}
}

// follow reads reports from one stream until it breaks or the endpoint is idle.
func (p *peers) follow(w *peer) {
	ctx, cancel := context.WithTimeout(p.ctx, wire.DialTimeout)
	defer cancel()
	s, err := p.pool.Open(ctx, w.target.Addr)
	if err != nil {
		w.fail(time.Now())
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
			w.fail(time.Now())
			return
		}
		if f.GetLoad() != nil {
			w.report(f.GetLoad(), time.Now())
		}
		w.mu.Lock()
		idle := time.Since(w.used) > watchIdle
		w.mu.Unlock()
		if idle {
			return
		}
	}
}

// report takes a load report in.
func (w *peer) report(l *wire.Load, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.load != nil && w.load.GetBoot() != l.GetBoot() {
		w.state.Reborn()
	}
	w.load, w.at = l, now
	w.state.Good(now, 0)
	if l.GetLeaving() {
		w.state.Leave()
	}
	keep := w.sent[:0]
	for _, s := range w.sent {
		if now.Sub(s.at) < reportLag {
			keep = append(keep, s)
		}
	}
	w.sent = keep
	w.once.Do(func() { close(w.heard) })
}

func (w *peer) fail(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.Fail(now)
}

// good notes an answer that began after delay.
func (w *peer) good(now time.Time, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.Good(now, delay)
}

// ship notes a request on its way to the endpoint.
func (w *peer) ship(now time.Time, tokens float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used = now
	w.state.Probe(now)
	w.sent = append(w.sent, shipment{at: now, tokens: tokens})
}

// usable reports whether new work may go there.
func (w *peer) usable(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.state.Usable(now) {
		return false
	}
	return w.load == nil || !(w.load.GetLeaving() || w.load.GetDown() || w.load.GetLoading() != "")
}

// measure returns what the decision needs; cached and stored are added by the caller.
func (w *peer) measure(now time.Time) route.Measured {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := route.Measured{Rate: guessRate}
	calls := len(w.sent)
	for _, s := range w.sent {
		m.Queue += s.tokens
	}
	if l := w.load; l != nil {
		m.Queue += float64(l.GetQueue())
		m.Rate = max(float64(l.GetRate()), 1)
		m.Link, m.Backlog = float64(l.GetLink()), float64(l.GetBacklog())
		calls += int(l.GetRunning() + l.GetWaiting())
	}
	if w.target.Pool.Kind == table.Service {
		m.Wait = time.Duration(calls) * callCost
	}
	if w.state.State(now) == member.Slow {
		m.Wait += slowCost
	}
	return m
}

// boot returns the incarnation of the agent beside the endpoint, waiting for its first report.
func (w *peer) boot(ctx context.Context) (string, bool) {
	timer := time.NewTimer(bootWait)
	defer timer.Stop()
	select {
	case <-w.heard:
	case <-timer.C:
		return "", false
	case <-ctx.Done():
		return "", false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.load.GetBoot(), true
}

// learnBoot notes a newer incarnation that a refusal named.
func (w *peer) learnBoot(boot string) {
	if boot == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.load == nil || w.load.GetBoot() == boot {
		return
	}
	w.load = &wire.Load{Boot: boot}
	w.state.Reborn()
}
