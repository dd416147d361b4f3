// Package admin is the operators' HTTP API of a control VM.
//
// It owns the authentication of operators, their roles and scopes, and the JSON
// format of the administration API. Changes go through ctrl.Client to the leader,
// whichever control VM that is. Requests for data that only the leader has are
// served there; other control VMs reject them with the code not_leader, so that
// ctl tries the next one.
package admin

import (
	"bytes"
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
	"egretshunt/conns"
	"egretshunt/ctrl"
	"egretshunt/entry"
	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/quorum"
	"egretshunt/table"
)

// Error codes of the API, besides those of rejected table changes.
const (
	CodeBadKey         = "bad_key"
	CodeForbidden      = "forbidden"
	CodeMalformed      = "malformed"
	CodeMissing        = "missing"
	CodeNotLeader      = "not_leader"
	CodeOutcomeUnknown = "unsure"
	CodeUnreachable    = "unreachable"
	CodeBusy           = "busy"
	CodeRejected       = "refused"
)

const (
	// changeTimeout bounds the processing of one change.
	changeTimeout = 10 * time.Second
	// maxWait bounds one request that waits until a revision is in force.
	maxWait = 2 * time.Minute
	// maxBodyBytes is the maximum size of a request's body.
	maxBodyBytes = 4 << 20
	// bodyTime bounds the time in which a body must arrive, bodyPause how long it may pause.
	bodyTime, bodyPause = time.Minute, 15 * time.Second
)

// Config holds the dependencies of an API.
type Config struct {
	Node   *ctrl.Node
	Server *ctrl.Server
	Client *ctrl.Client
	// Budget holds the bodies of requests; nil holds any.
	Budget *limit.Budget
	// Operators maps the hash of each operator's key to the operator.
	Operators map[string]conf.OperatorRecord
	// Events may be nil.
	Events *event.Log
}

// API serves the operators' requests.
type API struct {
	config Config
	// operators is replaced as a whole when the keys are reloaded.
	operators atomic.Pointer[map[string]conf.OperatorRecord]
}

// New returns an API with the operators of c.
func New(c Config) *API {
	a := &API{config: c}
	a.Replace(c.Operators)
	return a
}

// Replace replaces the operators and their keys.
func (a *API) Replace(operators map[string]conf.OperatorRecord) { a.operators.Store(&operators) }

// Handler returns the handler of the administration API, whose paths start with /admin/v1.
func (a *API) Handler() http.Handler {
	r := chi.NewRouter()
	r.Route("/admin/v1", func(r chi.Router) {
		r.Use(a.authenticate)
		r.Get("/status", a.writeStatus)
		r.Get("/tables", a.exportTables)
		r.Get("/routes", a.listRows)
		r.Get("/pools", a.listRows)
		r.Get("/routes/{name}", a.showRow)
		r.Get("/pools/{name}", a.showRow)
		r.Put("/routes/{name}", a.changeRow)
		r.Put("/pools/{name}", a.changeRow)
		r.Delete("/routes/{name}", a.changeRow)
		r.Delete("/pools/{name}", a.changeRow)
		r.Post("/pools/{name}/{verb}", a.drainPool)
		r.Post("/pools/{name}/endpoints/{endpoint}/{verb}", a.drainEndpoint)
		r.Get("/audit", a.listAudit)
		r.Get("/wait", a.awaitRevision)
		r.Get("/nodes", a.listNodes)
		r.Post("/members/{verb}", a.changeMembers)
		r.Get("/unknown", a.listUnknown)
		r.Post("/unknown/settle", a.settleUnknown)
		r.Get("/suspects", a.listSuspects)
		r.Post("/suspects/pardon", a.clearSuspect)
		r.Get("/snapshot", a.writeSnapshot)
		r.Get("/evacuations", a.listEvacuations)
		r.Post("/evacuations/{place}", a.evacuate)
		r.Delete("/evacuations/{place}", a.evacuate)
	})
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusNotFound, CodeMissing, "there is nothing under this path")
	})
	return r
}

type operatorKey struct{}

func operatorOf(r *http.Request) conf.OperatorRecord {
	operator, _ := r.Context().Value(operatorKey{}).(conf.OperatorRecord)
	return operator
}

// authenticate looks up the operator by the request's key and stores it in the request's
// context. Every method except GET requires the role conf.Operator.
func (a *API) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		bearerKey, hasKey := bearerToken(r)
		operator, found := (*a.operators.Load())[entry.HashKey(bearerKey)]
		if !hasKey || !found {
			writeError(w, http.StatusUnauthorized, CodeBadKey, "the key is missing or not known")
			return
		}
		if r.Method != http.MethodGet && operator.Role != conf.Operator {
			writeError(w, http.StatusForbidden, CodeForbidden, operator.Name+" may look but not change")
			return
		}
		body, hold, failure := conns.ReadBody(w, r, conns.BodyConfig{Budget: a.config.Budget, Max: maxBodyBytes, Time: bodyTime, Pause: bodyPause})
		defer hold.Release()
		if failure != nil {
			code := CodeMalformed
			if failure.Status == http.StatusServiceUnavailable {
				code = CodeBusy
			}
			writeError(w, failure.Status, code, failure.Text)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator)))
	})
}

func bearerToken(r *http.Request) (string, bool) {
	const prefix = "Bearer "
	header := r.Header.Get("Authorization")
	if len(header) <= len(prefix) || header[:len(prefix)] != prefix {
		return "", false
	}
	return header[len(prefix):], true
}

// ErrorResponse is the response body of a rejected request.
type ErrorResponse struct {
	Code string          `json:"code"`
	Text string          `json:"text"`
	Row  json.RawMessage `json:"row,omitempty"`
}

func writeError(w http.ResponseWriter, status int, code, text string) {
	writeJSON(w, status, ErrorResponse{Code: code, Text: text})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}

// TableExport holds both tables, as ctl export writes and ctl import reads them.
type TableExport struct {
	Rev    uint64         `json:"rev" toml:"-"`
	Pools  []*table.Pool  `json:"pools" toml:"pools"`
	Routes []*table.Route `json:"routes" toml:"routes"`
}

func (a *API) exportTables(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, visibleTables(a.config.Node.Tables(), operatorOf(r)))
}

// visibleTables returns the rows that the operator may read, sorted by name.
func visibleTables(t *table.Tables, operator conf.OperatorRecord) TableExport {
	export := TableExport{Rev: t.Rev, Pools: []*table.Pool{}, Routes: []*table.Route{}}
	for _, row := range t.Pools {
		export.Pools = append(export.Pools, row)
	}
	for _, row := range t.Routes {
		if operator.CanAccess(row.Account) {
			export.Routes = append(export.Routes, row)
		}
	}
	slices.SortFunc(export.Pools, func(a, b *table.Pool) int { return compareNames(a.Name, b.Name) })
	slices.SortFunc(export.Routes, func(a, b *table.Route) int { return compareNames(a.Name, b.Name) })
	return export
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func requestTable(r *http.Request) string {
	if len(r.URL.Path) >= len("/admin/v1/pools") && r.URL.Path[:len("/admin/v1/pools")] == "/admin/v1/pools" {
		return "pools"
	}
	return "routes"
}

func (a *API) listRows(w http.ResponseWriter, r *http.Request) {
	e := visibleTables(a.config.Node.Tables(), operatorOf(r))
	if requestTable(r) == "pools" {
		writeJSON(w, http.StatusOK, e.Pools)
		return
	}
	writeJSON(w, http.StatusOK, e.Routes)
}

func (a *API) showRow(w http.ResponseWriter, r *http.Request) {
	t := a.config.Node.Tables()
	name := chi.URLParam(r, "name")
	if p, ok := t.Pools[name]; ok && requestTable(r) == "pools" {
		writeJSON(w, http.StatusOK, p)
		return
	}
	if row, ok := t.Routes[name]; ok && requestTable(r) == "routes" && operatorOf(r).CanAccess(row.Account) {
		writeJSON(w, http.StatusOK, row)
		return
	}
	writeError(w, http.StatusNotFound, CodeMissing, "there is no such row")
}

// changeRow puts or deletes one row. Query parameters: base is the version that the
// change is based on, id identifies the change, and dry=true evaluates the change
// without applying it.
func (a *API) changeRow(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	base, err := strconv.ParseUint(q.Get("base"), 10, 64)
	if q.Get("base") != "" && err != nil {
		writeError(w, http.StatusBadRequest, CodeMalformed, "base is not a version number")
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, http.StatusBadRequest, CodeMalformed, "the body could not be read: "+err.Error())
		return
	}
	c := table.Change{Table: requestTable(r), Name: chi.URLParam(r, "name"), Op: table.Put, Base: base, Body: body, ID: q.Get("id")}
	if r.Method == http.MethodDelete {
		c.Op, c.Body = table.Delete, nil
	}
	a.applyChange(w, r, c, q.Get("dry") == "true")
}

// applyChange checks the operator's scope, then applies the change, or evaluates it if dry is set.
func (a *API) applyChange(w http.ResponseWriter, r *http.Request, c table.Change, dry bool) {
	operator := operatorOf(r)
	if violation := a.scopeViolation(operator, c); violation != "" {
		writeError(w, http.StatusForbidden, CodeForbidden, violation)
		return
	}
	c.Operator, c.From, c.At = operator.Name, r.RemoteAddr, time.Now().UTC()
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	var result table.Result
	var err error
	if dry {
		result, err = a.config.Node.DryRun(ctx, c)
	} else {
		result, err = a.config.Client.Change(ctx, c)
	}
	if err != nil {
		a.writeFailure(w, err)
		return
	}
	a.writeResult(w, c, result)
}

// ChangeResponse is the response body of an accepted change.
type ChangeResponse struct {
	ID  string          `json:"id"`
	Rev uint64          `json:"rev"`
	Row json.RawMessage `json:"row,omitempty"`
}

func (a *API) writeResult(w http.ResponseWriter, c table.Change, result table.Result) {
	switch result.Code {
	case "":
		writeJSON(w, http.StatusOK, ChangeResponse{ID: c.ID, Rev: result.Rev, Row: result.Row})
	case table.CodeConflict, table.CodeReused:
		writeJSON(w, http.StatusConflict, ErrorResponse{Code: result.Code, Text: result.Text, Row: result.Row})
	default:
		writeJSON(w, http.StatusUnprocessableEntity, ErrorResponse{Code: result.Code, Text: result.Text, Row: result.Row})
	}
}

// scopeViolation returns why a change is outside the operator's scope, or "" if it isn't.
func (a *API) scopeViolation(operator conf.OperatorRecord, c table.Change) string {
	if len(operator.Accounts) == 0 {
		return ""
	}
	if c.Table == "pools" {
		return operator.Name + " may edit routes of some accounts only, not pools"
	}
	if old, ok := a.config.Node.Tables().Routes[c.Name]; ok && !operator.CanAccess(old.Account) {
		return operator.Name + " may not edit routes of account " + old.Account
	}
	if c.Op == table.Put {
		var row table.Route
		if json.Unmarshal(c.Body, &row) == nil && !operator.CanAccess(row.Account) {
			return operator.Name + " may not edit routes of account " + row.Account
		}
	}
	return ""
}

// writeFailure writes the error response for a proposal or read that returned an error.
func (a *API) writeFailure(w http.ResponseWriter, err error) {
	switch {
	case errorx.IsOfType(err, ctrl.OutcomeUnknown) || errorx.IsOfType(err, ctrl.Stopped):
		writeError(w, http.StatusGatewayTimeout, CodeOutcomeUnknown, "it is not known whether this took effect; send it again with the same id")
	case errorx.IsOfType(err, ctrl.Unreachable) || errors.Is(err, context.DeadlineExceeded):
		writeError(w, http.StatusServiceUnavailable, CodeUnreachable, "no control VM leads now; nothing was changed")
	case errorx.IsOfType(err, ctrl.Busy) || errorx.IsOfType(err, quorum.Busy):
		writeError(w, http.StatusServiceUnavailable, CodeBusy, err.Error())
	case errorx.IsOfType(err, ctrl.NotLeader) || errorx.IsOfType(err, quorum.NotLeader):
		writeError(w, http.StatusMisdirectedRequest, CodeNotLeader, err.Error())
	default:
		writeError(w, http.StatusUnprocessableEntity, CodeRejected, err.Error())
	}
}

// drainPool starts or ends draining of a whole pool.
func (a *API) drainPool(w http.ResponseWriter, r *http.Request) {
	a.editPool(w, r, func(p *table.Pool, drain bool) bool {
		p.Drain = drain
		return true
	})
}

// drainEndpoint starts or ends draining of one endpoint.
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

// editPool edits a copy of a pool and puts it, based on the version that was read.
func (a *API) editPool(w http.ResponseWriter, r *http.Request, edit func(edited *table.Pool, drain bool) bool) {
	verb := chi.URLParam(r, "verb")
	current, ok := a.config.Node.Tables().Pools[chi.URLParam(r, "name")]
	if !ok || (verb != "drain" && verb != "undrain") {
		writeError(w, http.StatusNotFound, CodeMissing, "there is no such pool, or no such verb")
		return
	}
	edited := *current
	edited.Endpoints = slices.Clone(current.Endpoints)
	if !edit(&edited, verb == "drain") {
		writeError(w, http.StatusNotFound, CodeMissing, "there is no such endpoint in the pool")
		return
	}
	base := edited.Rev
	edited.Rev = 0
	body, err := json.Marshal(&edited)
	if err != nil {
		writeError(w, http.StatusInternalServerError, CodeRejected, err.Error())
		return
	}
	a.applyChange(w, r, table.Change{Table: "pools", Name: edited.Name, Op: table.Put, Base: base, Body: body, ID: r.URL.Query().Get("id")}, false)
}
