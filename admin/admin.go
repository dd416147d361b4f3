// Package admin is the operators' interface of a control VM.
//
// It owns authentication of operators, their roles and scopes, and the JSON shape
// of the administration API. Changes go through ctrl.Client to whichever control
// VM leads; what only the leader knows is answered there and refused elsewhere
// with the code not_leader, so that ctl asks the next one.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"egretshunt/conf"
	"egretshunt/ctrl"
	"egretshunt/entry"
	"egretshunt/quorum"
	"egretshunt/table"
)

// Codes of errors given to operators, besides those of table changes.
const (
	CodeKey       = "bad_key"
	CodeRole      = "forbidden"
	CodeMalformed = "malformed"
	CodeMissing   = "missing"
	CodeNotLeader = "not_leader"
	CodeUnsure    = "unsure"
	CodeDown      = "unreachable"
	CodeBusy      = "busy"
	CodeRefused   = "refused"
)

const (
	// changeTime bounds one change.
	changeTime = 10 * time.Second
	// maxWait bounds one wait for a revision to be in force.
	maxWait = 2 * time.Minute
	// maxBody bounds a request's body, in bytes.
	maxBody = 4 << 20
)

// Config constructs an API.
type Config struct {
	Node   *ctrl.Node
	Server *ctrl.Server
	Client *ctrl.Client
	// Operators maps hashes of keys to people.
	Operators map[string]conf.Person
}

// API serves operators.
type API struct {
	config Config
	// people is replaced as a whole when keys are read again.
	people atomic.Pointer[map[string]conf.Person]
}

// New returns an API.
func New(c Config) *API {
	a := &API{config: c}
	a.Replace(c.Operators)
	return a
}

// Replace changes the operators' keys.
func (a *API) Replace(people map[string]conf.Person) { a.people.Store(&people) }

// Handler returns the administration API under /admin/v1.
func (a *API) Handler() http.Handler {
	r := chi.NewRouter()
	r.Route("/admin/v1", func(r chi.Router) {
		r.Use(a.authenticate)
		r.Get("/status", a.status)
		r.Get("/tables", a.export)
		r.Get("/routes", a.list)
		r.Get("/pools", a.list)
		r.Get("/routes/{name}", a.show)
		r.Get("/pools/{name}", a.show)
		r.Put("/routes/{name}", a.change)
		r.Put("/pools/{name}", a.change)
		r.Delete("/routes/{name}", a.change)
		r.Delete("/pools/{name}", a.change)
		r.Post("/pools/{name}/{verb}", a.drainPool)
		r.Post("/pools/{name}/endpoints/{endpoint}/{verb}", a.drainEndpoint)
		r.Get("/audit", a.audit)
		r.Get("/wait", a.wait)
		r.Get("/nodes", a.nodes)
		r.Post("/members/{verb}", a.members)
		r.Get("/unknown", a.unknown)
		r.Post("/unknown/settle", a.settle)
		r.Get("/suspects", a.suspects)
		r.Post("/suspects/pardon", a.pardon)
		r.Get("/snapshot", a.snapshot)
	})
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		refuse(w, http.StatusNotFound, CodeMissing, "there is nothing under this path")
	})
	return r
}

type personKey struct{}

func who(r *http.Request) conf.Person {
	p, _ := r.Context().Value(personKey{}).(conf.Person)
	return p
}

// authenticate finds the person; anything but reading needs the operator's role.
func (a *API) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := bearer(r)
		p, known := (*a.people.Load())[entry.HashKey(key)]
		if !ok || !known {
			refuse(w, http.StatusUnauthorized, CodeKey, "the key is missing or not known")
			return
		}
		if r.Method != http.MethodGet && p.Role != conf.Operator {
			refuse(w, http.StatusForbidden, CodeRole, p.Name+" may look but not change")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), personKey{}, p)))
	})
}

func bearer(r *http.Request) (string, bool) {
	const prefix = "Bearer "
	h := r.Header.Get("Authorization")
	if len(h) <= len(prefix) || h[:len(prefix)] != prefix {
		return "", false
	}
	return h[len(prefix):], true
}

// Problem is the body of a refused request.
type Problem struct {
	Code string          `json:"code"`
	Text string          `json:"text"`
	Row  json.RawMessage `json:"row,omitempty"`
}

func refuse(w http.ResponseWriter, status int, code, text string) {
	reply(w, status, Problem{Code: code, Text: text})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The operator is gone if this fails.
	_ = json.NewEncoder(w).Encode(v)
}

// Export is both tables.
type Export struct {
	Rev    uint64         `json:"rev" toml:"-"`
	Pools  []*table.Pool  `json:"pools" toml:"pools"`
	Routes []*table.Route `json:"routes" toml:"routes"`
}

func (a *API) export(w http.ResponseWriter, r *http.Request) {
	reply(w, http.StatusOK, visible(a.config.Node.Tables(), who(r)))
}

// visible returns what a person may see, sorted by name.
func visible(t *table.Tables, p conf.Person) Export {
	e := Export{Rev: t.Rev, Pools: []*table.Pool{}, Routes: []*table.Route{}}
	for _, row := range t.Pools {
		e.Pools = append(e.Pools, row)
	}
	for _, row := range t.Routes {
		if p.Covers(row.Account) {
			e.Routes = append(e.Routes, row)
		}
	}
	slices.SortFunc(e.Pools, func(a, b *table.Pool) int { return compare(a.Name, b.Name) })
	slices.SortFunc(e.Routes, func(a, b *table.Route) int { return compare(a.Name, b.Name) })
	return e
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func tableOf(r *http.Request) string {
	if len(r.URL.Path) >= len("/admin/v1/pools") && r.URL.Path[:len("/admin/v1/pools")] == "/admin/v1/pools" {
		return "pools"
	}
	return "routes"
}

func (a *API) list(w http.ResponseWriter, r *http.Request) {
	e := visible(a.config.Node.Tables(), who(r))
	if tableOf(r) == "pools" {
		reply(w, http.StatusOK, e.Pools)
		return
	}
	reply(w, http.StatusOK, e.Routes)
}

func (a *API) show(w http.ResponseWriter, r *http.Request) {
	t := a.config.Node.Tables()
	name := chi.URLParam(r, "name")
	if p, ok := t.Pools[name]; ok && tableOf(r) == "pools" {
		reply(w, http.StatusOK, p)
		return
	}
	if row, ok := t.Routes[name]; ok && tableOf(r) == "routes" && who(r).Covers(row.Account) {
		reply(w, http.StatusOK, row)
		return
	}
	refuse(w, http.StatusNotFound, CodeMissing, "there is no such row")
}

// change puts or deletes one row: ?base= is the version it starts from, ?id= the
// identity of the change, ?dry=true only tells what would happen.
func (a *API) change(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	base, err := strconv.ParseUint(q.Get("base"), 10, 64)
	if q.Get("base") != "" && err != nil {
		refuse(w, http.StatusBadRequest, CodeMalformed, "base is not a version number")
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		refuse(w, http.StatusBadRequest, CodeMalformed, "the body could not be read: "+err.Error())
		return
	}
	c := table.Change{Table: tableOf(r), Name: chi.URLParam(r, "name"), Op: table.Put, Base: base, Body: body, ID: q.Get("id")}
	if r.Method == http.MethodDelete {
		c.Op, c.Body = table.Delete, nil
	}
	a.carryOut(w, r, c, q.Get("dry") == "true")
}

// carryOut checks the person's scope and makes the change.
func (a *API) carryOut(w http.ResponseWriter, r *http.Request, c table.Change, dry bool) {
	p := who(r)
	if text := a.outside(p, c); text != "" {
		refuse(w, http.StatusForbidden, CodeRole, text)
		return
	}
	c.Who, c.From, c.At = p.Name, r.RemoteAddr, time.Now().UTC()
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTime)
	defer cancel()
	var result table.Result
	var err error
	if dry {
		result, err = a.config.Node.Try(ctx, c)
	} else {
		result, err = a.config.Client.Change(ctx, c)
	}
	if err != nil {
		a.failed(w, err)
		return
	}
	a.tell(w, c, result)
}

// Outcome is the body of an accepted change.
type Outcome struct {
	ID  string          `json:"id"`
	Rev uint64          `json:"rev"`
	Row json.RawMessage `json:"row,omitempty"`
}

func (a *API) tell(w http.ResponseWriter, c table.Change, result table.Result) {
	switch result.Code {
	case "":
		reply(w, http.StatusOK, Outcome{ID: c.ID, Rev: result.Rev, Row: result.Row})
	case table.CodeConflict, table.CodeReused:
		reply(w, http.StatusConflict, Problem{Code: result.Code, Text: result.Text, Row: result.Row})
	default:
		reply(w, http.StatusUnprocessableEntity, Problem{Code: result.Code, Text: result.Text, Row: result.Row})
	}
}

// outside tells why a change is beyond a person's scope, or returns "".
func (a *API) outside(p conf.Person, c table.Change) string {
	if len(p.Accounts) == 0 {
		return ""
	}
	if c.Table == "pools" {
		return p.Name + " may edit routes of some accounts only, not pools"
	}
	if old, ok := a.config.Node.Tables().Routes[c.Name]; ok && !p.Covers(old.Account) {
		return p.Name + " may not edit routes of account " + old.Account
	}
	if c.Op == table.Put {
		var row table.Route
		if json.Unmarshal(c.Body, &row) == nil && !p.Covers(row.Account) {
			return p.Name + " may not edit routes of account " + row.Account
		}
	}
	return ""
}

// failed answers for a proposal that got no result.
func (a *API) failed(w http.ResponseWriter, err error) {
	switch {
	case errorx.IsOfType(err, ctrl.Unsure) || errorx.IsOfType(err, ctrl.Stopped):
		refuse(w, http.StatusGatewayTimeout, CodeUnsure, "it is not known whether this took effect; send it again with the same id")
	case errorx.IsOfType(err, ctrl.Unreachable) || errors.Is(err, context.DeadlineExceeded):
		refuse(w, http.StatusServiceUnavailable, CodeDown, "no control VM leads now; nothing was changed")
	case errorx.IsOfType(err, ctrl.Busy) || errorx.IsOfType(err, quorum.Busy):
		refuse(w, http.StatusServiceUnavailable, CodeBusy, err.Error())
	case errorx.IsOfType(err, ctrl.NotLeader) || errorx.IsOfType(err, quorum.NotLeader):
		refuse(w, http.StatusMisdirectedRequest, CodeNotLeader, err.Error())
	default:
		refuse(w, http.StatusUnprocessableEntity, CodeRefused, err.Error())
	}
}

// drainPool drains or undrains a whole pool.
func (a *API) drainPool(w http.ResponseWriter, r *http.Request) {
	a.editPool(w, r, func(p *table.Pool, drain bool) bool {
		p.Drain = drain
		return true
	})
}

// drainEndpoint drains or undrains one endpoint.
func (a *API) drainEndpoint(w http.ResponseWriter, r *http.Request) {
	a.editPool(w, r, func(p *table.Pool, drain bool) bool {
		for i := range p.Endpoints {
			if p.Endpoints[i].Name == chi.URLParam(r, "endpoint") {
				p.Endpoints[i].Drain = drain
				return true
			}
		}
		return false
	})
}

// editPool changes a copy of a pool and puts it with the version that was read.
func (a *API) editPool(w http.ResponseWriter, r *http.Request, edit func(p *table.Pool, drain bool) bool) {
	verb := chi.URLParam(r, "verb")
	held, ok := a.config.Node.Tables().Pools[chi.URLParam(r, "name")]
	if !ok || (verb != "drain" && verb != "undrain") {
		refuse(w, http.StatusNotFound, CodeMissing, "there is no such pool, or no such verb")
		return
	}
	p := *held
	p.Endpoints = slices.Clone(held.Endpoints)
	if !edit(&p, verb == "drain") {
		refuse(w, http.StatusNotFound, CodeMissing, "there is no such endpoint in the pool")
		return
	}
	base := p.Rev
	p.Rev = 0
	body, err := json.Marshal(&p)
	if err != nil {
		refuse(w, http.StatusInternalServerError, CodeRefused, err.Error())
		return
	}
	a.carryOut(w, r, table.Change{Table: "pools", Name: p.Name, Op: table.Put, Base: base, Body: body, ID: r.URL.Query().Get("id")}, false)
}
