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
	id      string
	account string
	target  string
	plan    *route.Plan
	method  string
	path    string
	headers http.Header
	body    []byte
	text    []byte
	size    int
	output  int
	root    uint64
	stream  bool
	print   string
	// key is the caller's idempotency key.
	key string
	// once marks work that must not run twice.
	once     bool
	deadline time.Time
	// alone is set once control has granted a solitary run.
	alone bool
	// ran is the worst that is known of any attempt so far.
	ran Ran
}

// HeaderKey carries a caller's idempotency key.
const HeaderKey = "Idempotency-Key"

// maxKey bounds an idempotency key, in bytes.
const maxKey = 255

// complete serves prompts.
func (e *Entry) complete(w http.ResponseWriter, r *http.Request) {
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
		if !ok || !kindIs(e.config.Follow.Tables(), plan, table.Model) {
			return nil, e.noRoute(CodeModel, "no route leads this account to a model of that name")
		}
		return &job{
			target: p.Model, plan: plan, method: http.MethodPost, path: r.URL.Path, body: body, text: p.text,
			size: tokens(p.text), output: p.MaxTokens, root: block.Root(account, p.Model, p.text), stream: p.Stream,
			print: ledger.Print([]byte(p.Model), p.text),
		}, nil
	})
}

// service serves plain services.
func (e *Entry) service(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, func(account string) (*job, *Failure) {
		name := chi.URLParam(r, "name")
		plan, ok := e.plan(account, name)
		if !ok || !kindIs(e.config.Follow.Tables(), plan, table.Service) {
			return nil, e.noRoute(CodeService, "no route leads this account to a service of that name")
		}
		key := r.Header.Get(HeaderKey)
		if len(key) > maxKey {
			return nil, fail(http.StatusBadRequest, CodeMalformed, No, "the idempotency key is too long")
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
			target: name, plan: plan, method: r.Method, path: path, body: body, once: !safe,
			root: block.Root(account, name, []byte(path)), print: ledger.Print([]byte(name), []byte(r.Method), []byte(path), body),
		}
		if !safe {
			j.key = key
		}
		return j, nil
	})
}

// noRoute says that there is no route, where this entry's tables are fresh enough to know.
func (e *Entry) noRoute(code, text string) *Failure {
	if e.config.Follow.Fresh(time.Now()) {
		return fail(http.StatusNotFound, code, No, text)
	}
	return fail(http.StatusServiceUnavailable, CodeStale, No, "this entry can't reach control, and knows no such route").after(time.Second)
}

func kindIs(t *table.Tables, p *route.Plan, kind table.Kind) bool {
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
		fail(http.StatusUnauthorized, CodeKey, No, "the key is missing or not known").write(w)
		return
	}
	leave, f := e.enter(account)
	if f != nil {
		e.refuse(w, f)
		return
	}
	defer leave()
	j, f := parse(account)
	if f != nil {
		e.refuse(w, f)
		return
	}
	j.id, j.account, j.ran = uuid.NewString(), account, No
	j.headers = forwarded(r.Header)
	if f := e.fresh(j.plan.Route); f != nil {
		e.refuse(w, f)
		return
	}
	end, f := e.pass(j.plan.Route, time.Now())
	if f != nil {
		e.refuse(w, f)
		return
	}
	defer end()
	e.answer(w, r, j)
}

func (e *Entry) refuse(w http.ResponseWriter, f *Failure) {
	e.Refused.Add(1)
	f.write(w)
}

// fresh refuses work of strict routes while the tables may be out of date.
func (e *Entry) fresh(r *table.Route) *Failure {
	if r.Stale == table.StaleServe || e.config.Follow.Fresh(time.Now()) {
		return nil
	}
	return fail(http.StatusServiceUnavailable, CodeStale, No, "this entry can't reach control, and the route does not allow old tables").after(time.Second)
}

// answer dispatches the job and writes what comes of it.
func (e *Entry) answer(w http.ResponseWriter, r *http.Request, j *job) {
	j.deadline = time.Now().Add(j.plan.Route.Limit())
	ctx := r.Context()
	if j.once {
		// What may have an effect is carried through and recorded, though its caller goes away.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	w.Header().Set("X-Request-Id", j.id)
	out := newSink(w, j.stream, e.config.WriteTime)
	var f *Failure
	if j.once {
		f = e.runOnce(ctx, j, out)
	} else {
		f = e.runFree(ctx, j, out)
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

// forwarded returns the caller's headers that an endpoint may see.
func forwarded(h http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", HeaderKey, "Traceparent", "Tracestate", "User-Agent"} {
		if v := h.Values(name); len(v) > 0 {
			out[name] = v
		}
	}
	return out
}

// models lists the models that the account has routes to.
func (e *Entry) models(w http.ResponseWriter, r *http.Request) {
	account, ok := e.config.Keys.Account(r.Header.Get("Authorization"))
	if !ok {
		fail(http.StatusUnauthorized, CodeKey, No, "the key is missing or not known").write(w)
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
	for _, name := range targetsOf(e.config.Follow.Tables(), account, table.Model) {
		list.Data = append(list.Data, model{ID: name, Object: "model", Owner: "egretshunt"})
	}
	w.Header().Set("Content-Type", "application/json")
	// The caller is gone if this fails.
	_ = json.NewEncoder(w).Encode(list)
}
