// Package entry serves the callers' HTTP interface: it routes each request to an
// endpoint and streams the response back.
//
// Every request enters the system here. The package owns authentication of callers,
// admission, retries, the claims that keep non-idempotent requests from running twice,
// and the relay of responses. It trusts the tables that it follows; the agent beside
// the endpoint checks every request again.
package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"egretshunt/conns"
	"egretshunt/ctrl"
	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/route"
	"egretshunt/table"
	"egretshunt/value"
	"egretshunt/wire"
)

// Proposer submits commands to the control plane.
type Proposer interface {
	Propose(ctx context.Context, c ctrl.Command) (ctrl.Result, error)
}

// Config configures an Entry.
type Config struct {
	// Owner identifies this incarnation of the process in claims.
	Owner      string
	Keys       *Keyring
	Follower   *ctrl.Follower
	Control    Proposer
	AgentConns *wire.Pool
	Events     *event.Log
	// MaxBody bounds a request body, in bytes.
	MaxBody int64
	// Budget holds the bodies of requests, and responses until they are complete; nil holds any.
	Budget *limit.Budget
	// MaxOpenRequests bounds the requests in flight; further ones are rejected.
	MaxOpenRequests int
	// MaxOpenPerAccount bounds the requests in flight of one account.
	MaxOpenPerAccount int
	// WriteTimeout is how long a client may read nothing of its response before it is
	// disconnected.
	WriteTimeout time.Duration
	// Policy scores endpoints; zero means route.Weighted.
	Seed uint64
}

// Defaults for the zero fields of a Config.
const (
	DefaultMaxBody           = 16 << 20
	DefaultMaxOpenRequests   = 4096
	DefaultMaxOpenPerAccount = 1024
	DefaultWriteTimeout      = 30 * time.Second
)

const (
	// maxPrefixHints bounds the remembered prompt prefixes.
	maxPrefixHints = 100_000
	// maxDecisions bounds the recent routing decisions kept for operators.
	maxDecisions = 512
)

// Entry serves callers' requests.
type Entry struct {
	config         Config
	ctx            context.Context
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
	endpointStates *endpointStates
	draining       atomic.Bool
	openRequests   atomic.Int64
	// ending ends with endRequests, when open requests must get their final answers.
	ending      context.Context
	endRequests context.CancelFunc

	// plans holds the compiled routes of one table revision.
	plans atomic.Pointer[planCache]

	// mu guards the fields below, down to random.
	mu            sync.Mutex
	hints         *value.Cache[uint64, prefixHint]
	decisions     *value.Cache[string, Decision]
	admissions    map[string]*routeAdmission
	openByAccount map[string]int
	random        *rand.Rand

	Counters
}

// Counters are the entry's metrics.
type Counters struct {
	Requests, Responded, Failed, Retries, TruncatedResponses, Resumes, Claims, Replays, Rejected atomic.Uint64
}

// prefixHint records which endpoint last served a prompt prefix, as a guess at where its
// KV blocks are cached.
type prefixHint struct {
	endpoint   string
	tokens     float64
	recordedAt time.Time
}

// routeAdmission is the admission state of one route.
type routeAdmission struct {
	limits      table.Limits
	bucket      *limit.Bucket
	retryBudget *limit.RetryBudget
	inFlight    int
}

// planCache caches the compiled routes of one immutable table set.
type planCache struct {
	tables *table.Tables

	// mu guards plans.
	mu    sync.Mutex
	plans map[string]*route.Plan
}

// New returns a running Entry.
func New(c Config) *Entry {
	if c.MaxBody == 0 {
		c.MaxBody = DefaultMaxBody
	}
	if c.MaxOpenRequests == 0 {
		c.MaxOpenRequests = DefaultMaxOpenRequests
	}
	if c.MaxOpenPerAccount == 0 {
		c.MaxOpenPerAccount = DefaultMaxOpenPerAccount
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = DefaultWriteTimeout
	}
	if c.Events == nil {
		c.Events = event.Discard()
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		config: c, ctx: ctx, cancel: cancel,
		hints: value.NewCache[uint64, prefixHint](maxPrefixHints), decisions: value.NewCache[string, Decision](maxDecisions),
		admissions: map[string]*routeAdmission{}, openByAccount: map[string]int{}, random: rand.New(rand.NewPCG(c.Seed, 7)),
	}
	e.ending, e.endRequests = context.WithCancel(ctx)
	e.endpointStates = newEndpointStates(ctx, c.AgentConns, &e.goroutines)
	return e
}

// Handler returns the handler of the callers' HTTP interface.
func (e *Entry) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", e.serveReady)
	r.Post("/v1/chat/completions", e.serveCompletion)
	r.Post("/v1/completions", e.serveCompletion)
	r.Get("/v1/models", e.serveModels)
	r.HandleFunc("/svc/{name}", e.serveService)
	r.HandleFunc("/svc/{name}/*", e.serveService)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		newFailure(http.StatusNotFound, CodeUnknownPath, No, "there is nothing under this path").write(w)
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		newFailure(http.StatusMethodNotAllowed, CodeUnknownPath, No, "this path does not take that method").write(w)
	})
	return e.ensureAnswer(r)
}

// serveReady tells the load balancer whether to send requests to this entry.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.draining.Load() || !e.config.Follower.Fresh() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// plan returns the compiled route from an account to a target in some tables, compiling it on first use.
func (e *Entry) plan(t *table.Tables, account, target string) (*route.Plan, bool) {
	c := e.plans.Load()
	if c == nil || c.tables != t {
		c = &planCache{tables: t, plans: map[string]*route.Plan{}}
		e.plans.Store(c)
	}
	r, ok := t.Find(account, target)
	if !ok {
		return nil, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.plans[r.Name]
	if !ok {
		p = route.Compile(t, r)
		c.plans[r.Name] = p
	}
	return p, true
}

// admit admits a request within the entry's and the account's limits. The caller must call
// release when the request ends.
func (e *Entry) admit(account string) (release func(), f *Failure) {
	if e.draining.Load() {
		return nil, newFailure(http.StatusServiceUnavailable, CodeShuttingDown, No, "this entry shuts down").withRetryAfter(time.Second)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if int(e.openRequests.Load()) >= e.config.MaxOpenRequests {
		return nil, newFailure(http.StatusServiceUnavailable, CodeBusy, No, "this entry serves as many requests as it can").withRetryAfter(time.Second)
	}
	if e.openByAccount[account] >= e.config.MaxOpenPerAccount {
		return nil, newFailure(http.StatusTooManyRequests, CodeLimited, No, "the account has as many requests open as it may").withRetryAfter(time.Second)
	}
	e.openByAccount[account]++
	e.openRequests.Add(1)
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.openRequests.Add(-1)
		e.openByAccount[account]--
		if e.openByAccount[account] == 0 {
			delete(e.openByAccount, account)
		}
	}, nil
}

// admitToRoute applies the route's rate and concurrency limits. The caller must call
// release when the request ends.
func (e *Entry) admitToRoute(r *table.Route, now time.Time) (release func(), f *Failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.admissions[r.Name]
	if !ok || g.limits != r.Limits {
		g = &routeAdmission{limits: r.Limits, bucket: limit.NewBucket(r.Limits.Rate, r.Limits.Burst), retryBudget: limit.NewRetryBudget(r.Retry)}
		e.admissions[r.Name] = g
	}
	if g.limits.MaxInFlight > 0 && g.inFlight >= g.limits.MaxInFlight {
		return nil, newFailure(http.StatusTooManyRequests, CodeLimited, No, "the route has as many requests running as it may").withRetryAfter(time.Second)
	}
	if wait, ok := g.bucket.Take(now); !ok {
		return nil, newFailure(http.StatusTooManyRequests, CodeLimited, No, "the route's rate is used up").withRetryAfter(wait)
	}
	g.retryBudget.Earn()
	g.inFlight++
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		g.inFlight--
	}, nil
}

// spendRetry takes one retry from the route's budget and reports whether one was left.
func (e *Entry) spendRetry(r *table.Route) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.admissions[r.Name]
	return ok && g.retryBudget.Spend()
}

// jitter returns a random duration below d.
func (e *Entry) jitter(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.random.Int64N(int64(d)))
}

// Decision records where one request was routed and how the alternatives scored.
type Decision struct {
	ID       string        `json:"id"`
	Account  string        `json:"account"`
	Route    string        `json:"route"`
	At       time.Time     `json:"at"`
	Rev      uint64        `json:"rev"`
	Tokens   float64       `json:"tokens"`
	Endpoint string        `json:"endpoint"`
	Scores   []route.Score `json:"scores"`
}

// DecisionFor returns the routing decision of a recent request, or of the latest ones when id is
// "".
func (e *Entry) DecisionFor(id string) (Decision, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.decisions.Get(id)
}

// pickEndpoint chooses an endpoint for a job among those not tried yet.
func (e *Entry) pickEndpoint(j *job, tried value.Set[string]) (route.Target, route.Choice, bool) {
	now := time.Now()
	view := e.config.Follower.View()
	p := j.plan
	isUsable := func(i int) bool {
		t := p.Targets[i]
		return !tried.Has(t.Name) && !view.IsLeaving(t.Name) && !view.IsEvacuated(t.Pool.Place) && e.endpointStates.stateOf(t).isUsable(now)
	}
	e.mu.Lock()
	h, known := e.hints.Get(j.root)
	e.mu.Unlock()
	c := p.Consider(j.root, h.endpoint, isUsable)
	q := route.Request{HistoryRoot: j.root, Tokens: float64(j.promptTokens), TokenBytes: float64(bytesPerToken)}
	if j.promptText == nil {
		q.Tokens = 0
	}
	d := Decision{ID: j.id, Account: j.account, Route: p.Route.Name, At: now, Rev: p.Rev, Tokens: q.Tokens}
	state := func(i int) route.EndpointEstimate {
		m := e.endpointStates.stateOf(p.Targets[i]).measure(now)
		if q.Tokens > 0 {
			m.Cached, m.Stored = route.EstimateCached(route.HistoryRecord{
				Known: known, LastServed: p.Targets[i].Name == h.endpoint, Top: i == c.Top(), Tokens: h.tokens,
				Age: now.Sub(h.recordedAt), Stores: len(p.Stores) > 0,
			}, q)
		}
		return m
	}
	choice, ok := route.Decide(route.Weighted{}, p, &c, q, state, func(s route.Score) { d.Scores = append(d.Scores, s) })
	if !ok {
		return route.Target{}, choice, false
	}
	d.Endpoint = p.Targets[choice.Index].Name
	e.mu.Lock()
	e.decisions.Put(j.id, d)
	e.mu.Unlock()
	return p.Targets[choice.Index], choice, true
}

// bytesPerToken is the assumed size of a token's cached KV state before agents report one.
const bytesPerToken = 1024

// recordHint records which endpoint served a prompt prefix.
func (e *Entry) recordHint(j *job, endpoint string, tokens float64) {
	if j.promptText == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hints.Put(j.root, prefixHint{endpoint: endpoint, tokens: tokens, recordedAt: time.Now()})
}

// StartDraining starts draining: new requests are rejected, and /readyz tells the load balancer.
func (e *Entry) StartDraining() { e.draining.Store(true) }

// errEnding is the cause with which requests are cancelled that get their final answer because the process ends.
var errEnding = errors.New("the process ends")

// EndRequests ends the requests whose response hasn't begun: each gets its final answer. Those that run at most once go on: their
// outcome is yet to be recorded.
func (e *Entry) EndRequests() { e.endRequests() }

// untilEnd returns a context that ends with EndRequests unless the response has begun by then.
func (e *Entry) untilEnd(ctx context.Context, w *conns.Response) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(e.ending, func() {
		if !w.Begun() {
			cancel(errEnding)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// OpenRequests returns the number of requests in flight.
func (e *Entry) OpenRequests() int { return int(e.openRequests.Load()) }

// Drain waits until no requests are in flight or ctx ends, and returns how many remain.
func (e *Entry) Drain(ctx context.Context) int {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for e.OpenRequests() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return e.OpenRequests()
		}
	}
	return 0
}

// Close stops the entry's goroutines and waits for them.
func (e *Entry) Close() {
	e.cancel()
	e.goroutines.Wait()
}

// targetsOfKind lists an account's targets whose route leads to a pool of the given kind, sorted by name.
func targetsOfKind(t *table.Tables, account string, kind table.Kind) []string {
	return slices.DeleteFunc(t.Targets(account), func(target string) bool {
		r, ok := t.Find(account, target)
		if !ok {
			return true
		}
		p, ok := t.Pools[r.Pools[0]]
		return !ok || p.Kind != kind
	})
}
