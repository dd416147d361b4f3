package admin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"egretshunt/conf"
	"egretshunt/ctrl"
	"egretshunt/table"
)

func (a *API) status(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, a.config.Node.Status())
}

// audit lists records, newest first, filtered by table, name, who and since.
func (a *API) audit(w http.ResponseWriter, r *http.Request) {
	records, err := a.config.Node.Audit(r.Context())
	if err != nil {
		a.failed(w, err)
		return
	}
	q := r.URL.Query()
	count, err := strconv.Atoi(q.Get("limit"))
	if err != nil || count <= 0 {
		count = 100
	}
	since, _ := time.Parse(time.RFC3339, q.Get("since"))
	found := []table.Record{}
	for i := len(records) - 1; i >= 0 && len(found) < count; i-- {
		rec := records[i]
		if matches(q.Get("table"), rec.Table) && matches(q.Get("name"), rec.Name) && matches(q.Get("who"), rec.Who) &&
			!rec.At.Before(since) && a.mayRead(who(r), rec) {
			found = append(found, rec)
		}
	}
	reply(w, http.StatusOK, found)
}

func matches(want, is string) bool { return want == "" || want == is }

// mayRead keeps the rows of other accounts from people with a scope.
func (a *API) mayRead(p conf.Person, rec table.Record) bool {
	if len(p.Accounts) == 0 {
		return true
	}
	for _, body := range []json.RawMessage{rec.Before, rec.After} {
		var row table.Route
		if rec.Table == "routes" && json.Unmarshal(body, &row) == nil && p.Covers(row.Account) {
			return true
		}
	}
	return false
}

// Wait is the answer of the leader about a revision.
type Wait struct {
	Rev     uint64   `json:"rev"`
	InForce bool     `json:"force"`
	Lagging []string `json:"lagging,omitempty"`
}

// wait answers once the revision is in force, or when ?time= is over.
func (a *API) wait(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	rev, err := strconv.ParseUint(q.Get("rev"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, CodeMalformed, "rev is not a revision")
		return
	}
	span, err := time.ParseDuration(q.Get("time"))
	if err != nil {
		span = 0
	}
	deadline := time.Now().Add(min(span, maxWait))
	for {
		lagging, err := a.config.Server.Lagging(rev, time.Now())
		if err != nil {
			a.failed(w, err)
			return
		}
		installed := a.config.Node.Tables().Rev >= rev
		if (installed && len(lagging) == 0) || time.Now().After(deadline) {
			reply(w, http.StatusOK, Wait{Rev: rev, InForce: installed && len(lagging) == 0, Lagging: lagging})
			return
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}

func (a *API) nodes(w http.ResponseWriter, _ *http.Request) {
	if _, ok := a.config.Node.Leads(); !ok {
		a.failed(w, ctrl.NotLeader.New("the leader is %q", a.config.Node.Status().Leader))
		return
	}
	reply(w, http.StatusOK, a.config.Server.Nodes(time.Now()))
}

// snapshot gives the whole state for a backup; only people without a scope get it.
func (a *API) snapshot(w http.ResponseWriter, r *http.Request) {
	if len(who(r).Accounts) > 0 || who(r).Role != conf.Operator {
		refuse(w, http.StatusForbidden, CodeRole, "only an operator without a scope may take a snapshot")
		return
	}
	// Another member may not have applied what callers were told already.
	if _, ok := a.config.Node.Leads(); !ok {
		a.failed(w, ctrl.NotLeader.New("the leader is %q", a.config.Node.Status().Leader))
		return
	}
	data, err := a.config.Node.Snapshot(r.Context())
	if err != nil {
		a.failed(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
