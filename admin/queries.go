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

func (a *API) writeStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Status{a.config.Node.Status(), a.config.Node.View().Evacuated()})
}

// listAudit returns the audit records that the operator may read, newest first, filtered
// by the query parameters table, name, who and since. The parameter limit defaults to 100.
func (a *API) listAudit(w http.ResponseWriter, r *http.Request) {
	records, err := a.config.Node.Audit(r.Context())
	if err != nil {
		a.writeFailure(w, err)
		return
	}
	q := r.URL.Query()
	maxRecords, err := strconv.Atoi(q.Get("limit"))
	if err != nil || maxRecords <= 0 {
		maxRecords = 100
	}
	since, _ := time.Parse(time.RFC3339, q.Get("since"))
	found := []table.AuditRecord{}
	for i := len(records) - 1; i >= 0 && len(found) < maxRecords; i-- {
		record := records[i]
		if matchesFilter(q.Get("table"), record.Table) && matchesFilter(q.Get("name"), record.Name) && matchesFilter(q.Get("who"), record.Operator) &&
			!record.At.Before(since) && a.canRead(operatorOf(r), record) {
			found = append(found, record)
		}
	}
	writeJSON(w, http.StatusOK, found)
}

func matchesFilter(filter, value string) bool { return filter == "" || filter == value }

// canRead reports whether the operator may read an audit record. With a scope these are
// the records of routes of the accounts in it.
func (a *API) canRead(operator conf.OperatorRecord, record table.AuditRecord) bool {
	if len(operator.Accounts) == 0 {
		return true
	}
	for _, body := range []json.RawMessage{record.Before, record.After} {
		var row table.Route
		if record.Table == "routes" && json.Unmarshal(body, &row) == nil && operator.CanAccess(row.Account) {
			return true
		}
	}
	return false
}

// WaitResponse is the leader's response about a revision: whether it is in force and,
// if not, which nodes may still act on an older one.
type WaitResponse struct {
	Rev     uint64   `json:"rev"`
	InForce bool     `json:"force"`
	Lagging []string `json:"lagging,omitempty"`
}

// awaitRevision responds once the revision is in force, or after the duration in the query
// parameter time.
func (a *API) awaitRevision(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	rev, err := strconv.ParseUint(q.Get("rev"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, CodeMalformed, "rev is not a revision")
		return
	}
	timeout, err := time.ParseDuration(q.Get("time"))
	if err != nil {
		timeout = 0
	}
	deadline := time.Now().Add(min(timeout, maxWait))
	for {
		lagging, err := a.config.Server.Lagging(rev, time.Now())
		if err != nil {
			a.writeFailure(w, err)
			return
		}
		installed := a.config.Node.Tables().Rev >= rev
		if (installed && len(lagging) == 0) || time.Now().After(deadline) {
			writeJSON(w, http.StatusOK, WaitResponse{Rev: rev, InForce: installed && len(lagging) == 0, Lagging: lagging})
			return
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}

func (a *API) listNodes(w http.ResponseWriter, _ *http.Request) {
	if _, ok := a.config.Node.IsLeader(); !ok {
		a.writeFailure(w, ctrl.NotLeader.New("the leader is %q", a.config.Node.Status().Leader))
		return
	}
	writeJSON(w, http.StatusOK, a.config.Server.Nodes(time.Now()))
}

// writeSnapshot writes the whole replicated state for a backup. Only operators without a
// scope may read it.
func (a *API) writeSnapshot(w http.ResponseWriter, r *http.Request) {
	if len(operatorOf(r).Accounts) > 0 || operatorOf(r).Role != conf.Operator {
		writeError(w, http.StatusForbidden, CodeForbidden, "only an operator without a scope may take a snapshot")
		return
	}
	// Another member may not yet have applied changes that were already confirmed to callers.
	if _, ok := a.config.Node.IsLeader(); !ok {
		a.writeFailure(w, ctrl.NotLeader.New("the leader is %q", a.config.Node.Status().Leader))
		return
	}
	data, err := a.config.Node.Snapshot(r.Context())
	if err != nil {
		a.writeFailure(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
