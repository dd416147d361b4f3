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
	"egretshunt/ledger"
	"egretshunt/route"
	"egretshunt/table"
)

// job is one request on its way through the entry.
type job struct {
	id              string
	account         string
	target          string
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
	print           string
	// idempotencyKey is the caller's idempotency idempotencyKey.
	idempotencyKey string
	// atMostOnce marks work that must not run twice.
	atMostOnce bool
	deadline   time.Time
	// isolated is set once control has granted a solitary run.
	isolated bool
	// ran is the worst that is known of any attempt so far.
	ran Ran
}

// HeaderKey carries a caller's idempotency key.
const HeaderKey = "Idempotency-Key"

// maxKeyBytes bounds an idempotency key, in bytes.
const maxKeyBytes = 255

// serveCompletion serves prompts.
func (e *Entry) serveCompletion(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, func(account string) (*job, *Failure) {
		body, f := readBody(w, r, e.config.MaxBody)
		if f != nil {
			return nil, f
		}
		p, f := parsePrompt(body)
		if f != nil {
			return nil, f
		}
		plan, ok := e.plan(account, p.Model)
		if !ok || !isKind(e.config.Follow.Tables(), plan, table.Model) {
			return nil, e.routeNotFound(CodeModel, "no route leads this account to a model of that name")
		}
		return &job{
			target: p.Model, plan: plan, method: http.MethodPost, path: r.URL.Path, body: body, promptText: p.text,
			promptTokens: estimateTokens(p.text), maxOutputTokens: p.MaxTokens, root: block.Root(account, p.Model, p.text), stream: p.Stream,
			print: ledger.Print([]byte(p.Model), p.text),
		}, nil
	})
}

// serveService serves plain services.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, func(account string) (*job, *Failure) {
		name := chi.URLParam(r, "name")
		plan, ok := e.plan(account, name)
		if !ok || !isKind(e.config.Follow.Tables(), plan, table.Service) {
			return nil, e.routeNotFound(CodeService, "no route leads this account to a service of that name")
		}
		key := r.Header.Get(HeaderKey)
		if len(key) > maxKeyBytes {
			return nil, newFailure(http.StatusBadRequest, CodeMalformed, No, "the idempotency key is too long")
		}
		body, f := readBody(w, r, e.config.MaxBody)
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
			target: name, plan: plan, method: r.Method, path: path, body: body, atMostOnce: !safe,
			root: block.Root(account, name, []byte(path)), print: ledger.Print([]byte(name), []byte(r.Method), []byte(path), body),
		}
		if !safe {
			j.idempotencyKey = key
		}
		return j, nil
	})
}

// routeNotFound says that there is no route, where this entry's tables are fresh enough to know.
func (e *Entry) routeNotFound(code, text string) *Failure {
	if e.config.Follow.Fresh(time.Now()) {
		return newFailure(http.StatusNotFound, code, No, text)
	}
	return newFailure(http.StatusServiceUnavailable, CodeStale, No, "this entry can't reach control, and knows no such route").withRetryAfter(time.Second)
}

func isKind(t *table.Tables, p *route.Plan, kind table.Kind) bool {
	if p == nil {
		return false
	}
	pool, ok := t.Pools[p.Route.Pools[0]]
	return ok && pool.Kind == kind
}

// serve is the way of every request: who, what, may it, then dispatch.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, parse func(account string) (*job, *Failure)) {
	e.Requests.Add(1)
	account, ok := e.config.Keys.Account(r.Header.Get("Authorization"))
	if !ok {
		newFailure(http.StatusUnauthorized, CodeKey, No, "the key is missing or not known").write(w)
		return
	}
	release, f := e.admit(account)
	if f != nil {
		e.reject(w, f)
		return
	}
	defer release()
	j, f := parse(account)
	if f != nil {
		e.reject(w, f)
		return
	}
	j.id, j.account, j.ran = uuid.NewString(), account, No
	j.headers = forwardedHeaders(r.Header)
	if f := e.checkFreshness(j.plan.Route); f != nil {
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
	e.Refused.Add(1)
	f.write(w)
}

// checkFreshness refuses work of strict routes while the tables may be out of date.
func (e *Entry) checkFreshness(r *table.Route) *Failure {
	if r.Stale == table.StaleServe || e.config.Follow.Fresh(time.Now()) {
		return nil
	}
	return newFailure(http.StatusServiceUnavailable, CodeStale, No, "this entry can't reach control, and the route does not allow old tables").withRetryAfter(time.Second)
}

// respond dispatches the job and writes what comes of it.
func (e *Entry) respond(w http.ResponseWriter, r *http.Request, j *job) {
	j.deadline = time.Now().Add(j.plan.Route.Limit())
	ctx := r.Context()
	if j.atMostOnce {
		// What may have an effect is carried through and recorded, though its caller goes away.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	w.Header().Set("X-Request-Id", j.id)
	out := newResponseSink(w, j.stream, e.config.WriteTime)
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
		e.Answered.Add(1)
		return
	}
	e.Failed.Add(1)
	out.abort(f)
}

// forwardedHeaders returns the caller's headers that an endpoint may see.
func forwardedHeaders(h http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", HeaderKey, "Traceparent", "Tracestate", "User-Agent"} {
		if v := h.Values(name); len(v) > 0 {
			out[name] = v
		}
	}
	return out
}

// serveModels lists the serveModels that the account has routes to.
func (e *Entry) serveModels(w http.ResponseWriter, r *http.Request) {
	account, ok := e.config.Keys.Account(r.Header.Get("Authorization"))
	if !ok {
		newFailure(http.StatusUnauthorized, CodeKey, No, "the key is missing or not known").write(w)
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
	for _, name := range targetsOfKind(e.config.Follow.Tables(), account, table.Model) {
		list.Data = append(list.Data, model{ID: name, Object: "model", Owner: "egretshunt"})
	}
	w.Header().Set("Content-Type", "application/json")
	// The caller is gone if this fails.
	_ = json.NewEncoder(w).Encode(list)
}
