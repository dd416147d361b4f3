package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"egretshunt/block"
	"egretshunt/conns"
	"egretshunt/ledger"
	"egretshunt/limit"
	"egretshunt/route"
	"egretshunt/table"
)

// job is one request with its parsed attributes and its routing plan.
type job struct {
	id              string
	account         string
	target          string
	kind            table.Kind
	plan            *route.Plan
	method          string
	path            string
	headers         http.Header
	body            []byte
	promptText      []byte
	promptTokens    int
	maxOutputTokens int
	root            uint64
	stream          bool
	fingerprint     string
	// parts are the fingerprints of the prompt's parts that other requests may share.
	parts []string
	// print is the fingerprint under which the request is suspected of crashing endpoints.
	print string
	// key is the value of IdempotencyKeyHeader; empty if there is none or the method is safe.
	key string
	// atMostOnce is set for requests that must not run twice.
	atMostOnce bool
	deadline   time.Time
	// isolated is set when control has granted an isolated run.
	isolated bool
	// ran is the result of strongerRan over all attempts so far.
	ran Ran
}

// IdempotencyKeyHeader is the header that carries a caller's idempotency key.
const IdempotencyKeyHeader = "Idempotency-Key"

// maxKeyBytes bounds the length of an idempotency key, in bytes.
const maxKeyBytes = 255

// serveCompletion serves chat and text completions.
func (e *Entry) serveCompletion(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, func(account string, source *bodyReader) (*job, *Failure) {
		body, f := source.read(promptFactor)
		if f != nil {
			return nil, f
		}
		p, f := parsePrompt(body)
		if f != nil {
			return nil, f
		}
		return &job{
			target: p.Model, kind: table.Model, method: http.MethodPost, path: r.URL.Path, body: body, promptText: p.promptText,
			promptTokens: estimateTokens(p.promptText), maxOutputTokens: p.MaxTokens, root: block.RootHash(account, p.Model, p.promptText), stream: p.Stream,
			fingerprint: ledger.Fingerprint([]byte(p.Model), p.promptText), parts: p.sharedParts(account),
		}, nil
	})
}

// serveService serves calls to services other than models. Methods other than GET, HEAD and
// OPTIONS run at most once.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, func(account string, source *bodyReader) (*job, *Failure) {
		name := chi.URLParam(r, "name")
		// Without a route the body isn't worth reading.
		if _, f := e.findPlan(account, name, table.Service); f != nil {
			return nil, f
		}
		key := r.Header.Get(IdempotencyKeyHeader)
		if len(key) > maxKeyBytes {
			return nil, newFailure(http.StatusBadRequest, CodeMalformed, No, "the idempotency key is too long")
		}
		body, f := source.read(bookingFactor)
		if f != nil {
			return nil, f
		}
		path := strings.TrimPrefix(r.URL.EscapedPath(), "/svc/"+name)
		if path == "" {
			path = "/"
		}
		if r.URL.RawQuery != "" {
			path += "?" + r.URL.RawQuery
		}
		safe := r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
		j := &job{
			target: name, kind: table.Service, method: r.Method, path: path, body: body, atMostOnce: !safe,
			root: block.RootHash(account, name, []byte(path)), fingerprint: ledger.Fingerprint([]byte(name), []byte(r.Method), []byte(path), body),
		}
		if !safe {
			j.key = key
		}
		return j, nil
	})
}

// findPlan returns the route from an account to a target. The tables and whether control has confirmed them are of one moment: what
// a sync brings during an upload must not confirm the tables from before it.
func (e *Entry) findPlan(account, target string, kind table.Kind) (*route.Plan, *Failure) {
	t, fresh := e.config.Follower.Snapshot()
	p, ok := e.plan(t, account, target)
	ok = ok && isKind(t, p, kind)
	switch {
	case ok && (fresh || p.Route.Stale == table.StaleServe):
		return p, nil
	case ok:
		return nil, newFailure(http.StatusServiceUnavailable, CodeStale, No, "this entry can't reach control, and the route does not allow old tables").withRetryAfter(time.Second)
	case !fresh:
		// The route may have been added since.
		return nil, newFailure(http.StatusServiceUnavailable, CodeStale, No, "this entry can't reach control, and knows no such route").withRetryAfter(time.Second)
	case kind == table.Model:
		return nil, newFailure(http.StatusNotFound, CodeUnknownModel, No, "no route leads this account to a model of that name")
	}
	return nil, newFailure(http.StatusNotFound, CodeUnknownService, No, "no route leads this account to a service of that name")
}

func isKind(t *table.Tables, p *route.Plan, kind table.Kind) bool {
	if p == nil {
		return false
	}
	pool, ok := t.Pools[p.Route.Pools[0]]
	return ok && pool.Kind == kind
}

// serve is the request path that all handlers share: it authenticates, admits and parses the
// request, applies the route's limits and dispatches the job.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, parse func(account string, source *bodyReader) (*job, *Failure)) {
	e.Requests.Add(1)
	account, ok := e.config.Keys.Account(r.Header.Get("Authorization"))
	if !ok {
		newFailure(http.StatusUnauthorized, CodeBadKey, No, "the key is missing or not known").write(w)
		return
	}
	release, f := e.admit(account)
	if f != nil {
		e.reject(w, f)
		return
	}
	defer release()
	source := &bodyReader{w: w, r: r, entry: e}
	defer source.release()
	j, f := parse(account, source)
	if f != nil {
		e.reject(w, f)
		return
	}
	j.id, j.account, j.ran = uuid.NewString(), account, No
	j.headers = forwardedHeaders(r.Header)
	// Only now: reading the body may have taken long.
	if j.plan, f = e.findPlan(account, j.target, j.kind); f != nil {
		e.reject(w, f)
		return
	}
	releaseRoute, f := e.admitToRoute(j.plan.Route, time.Now())
	if f != nil {
		e.reject(w, f)
		return
	}
	defer releaseRoute()
	e.respond(w, r, j)
}

func (e *Entry) reject(w http.ResponseWriter, f *Failure) {
	e.Rejected.Add(1)
	f.write(w)
}

// respond dispatches the job and writes its response or failure.
func (e *Entry) respond(w http.ResponseWriter, r *http.Request, j *job) {
	j.deadline = time.Now().Add(j.plan.Route.Timeout())
	ctx := r.Context()
	if j.atMostOnce {
		// A request with side effects is completed and recorded even if its client
		// disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if response := conns.NewResponse(w); !j.atMostOnce {
		var end context.CancelFunc
		ctx, end = e.untilEnd(ctx, response)
		defer end()
		w = response
	}
	w.Header().Set("X-Request-Id", j.id)
	out := newResponseSink(w, j.stream, e.config.WriteTimeout)
	out.held = e.config.Budget.Hold(limit.UseResponse, nil)
	defer out.held.Release()
	var f *Failure
	if j.atMostOnce {
		f = e.runAtMostOnce(ctx, j, out)
	} else {
		f = e.runIdempotent(ctx, j, out)
	}
	if f == nil {
		f = out.finish()
	}
	if f == nil {
		e.Responded.Add(1)
		return
	}
	e.Failed.Add(1)
	out.abort(f)
}

// forwardedHeaders returns the request headers that are forwarded to endpoints.
func forwardedHeaders(h http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", IdempotencyKeyHeader, "Traceparent", "Tracestate", "User-Agent"} {
		if v := h.Values(name); len(v) > 0 {
			out[name] = v
		}
	}
	return out
}

// serveModels lists the models to which the account has routes.
func (e *Entry) serveModels(w http.ResponseWriter, r *http.Request) {
	account, ok := e.config.Keys.Account(r.Header.Get("Authorization"))
	if !ok {
		newFailure(http.StatusUnauthorized, CodeBadKey, No, "the key is missing or not known").write(w)
		return
	}
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Owner  string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, name := range targetsOfKind(e.config.Follower.Tables(), account, table.Model) {
		list.Data = append(list.Data, model{ID: name, Object: "model", Owner: "egretshunt"})
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client disconnected.
	_ = json.NewEncoder(w).Encode(list)
}
