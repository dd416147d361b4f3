package admin

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"egretshunt/ctrl"
	"egretshunt/ledger"
	"egretshunt/limit"
	"egretshunt/quorum"
)

// Member is the body of a change of control VMs.
type Member struct {
	quorum.Member
	// Replaces names the control VM that leaves once the new one has caught up.
	Replaces quorum.ID `json:"replaces,omitempty"`
}

// members adds, removes or replaces a control VM; the leader alone can.
func (a *API) members(w http.ResponseWriter, r *http.Request) {
	var m Member
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		refuse(w, http.StatusBadRequest, CodeMalformed, "the body is not a member: "+err.Error())
		return
	}
	if len(who(r).Accounts) > 0 {
		refuse(w, http.StatusForbidden, CodeRole, "only an operator without a scope may change the control VMs")
		return
	}
	var err error
	switch chi.URLParam(r, "verb") {
	case "add", "replace":
		err = a.config.Node.AddMember(r.Context(), m.Member, m.Replaces)
	case "remove":
		err = a.config.Node.RemoveMember(r.Context(), m.ID)
	default:
		refuse(w, http.StatusNotFound, CodeMissing, "want add, replace or remove")
		return
	}
	if err != nil {
		a.failed(w, err)
		return
	}
	reply(w, http.StatusAccepted, a.config.Node.Status())
}

func (a *API) unknown(w http.ResponseWriter, r *http.Request) {
	claims, err := a.config.Node.Unresolved(r.Context(), 1000)
	if err != nil {
		a.failed(w, err)
		return
	}
	found := []*ledger.Claim{}
	for _, c := range claims {
		if who(r).Covers(c.Account) {
			found = append(found, c)
		}
	}
	reply(w, http.StatusOK, found)
}

// Settle is an operator's finding about a request whose outcome was unknown.
type Settle struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	// Verdict is done, or free when it certainly did not run.
	Verdict string `json:"verdict"`
}

func (a *API) settle(w http.ResponseWriter, r *http.Request) {
	var s Settle
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil || (s.Verdict != ledger.Done && s.Verdict != ledger.Free) {
		refuse(w, http.StatusBadRequest, CodeMalformed, "want account, key and verdict, done or free")
		return
	}
	if !who(r).Covers(s.Account) {
		refuse(w, http.StatusForbidden, CodeRole, "the account is outside your scope")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTime)
	defer cancel()
	got, err := a.config.Client.Propose(ctx, ctrl.Command{Claim: &ledger.Command{
		Op: ledger.OpSettle, Who: who(r).Name, Verdict: s.Verdict,
		Claim: ledger.Claim{Key: ledger.Key{Account: s.Account, Key: s.Key}},
	}})
	if err != nil {
		a.failed(w, err)
		return
	}
	if got.Claim == nil || got.Claim.Code != ledger.Granted {
		refuse(w, http.StatusConflict, CodeRefused, "there is no unsettled request of that account and key")
		return
	}
	reply(w, http.StatusOK, got.Claim.Claim)
}

func (a *API) suspects(w http.ResponseWriter, r *http.Request) {
	found := []limit.Suspect{}
	for _, p := range a.config.Node.View().Suspects.All() {
		if who(r).Covers(p.Account) {
			found = append(found, p)
		}
	}
	reply(w, http.StatusOK, found)
}

// Pardon names a suspect.
type Pardon struct {
	Account string `json:"account"`
	Print   string `json:"print"`
}

func (a *API) pardon(w http.ResponseWriter, r *http.Request) {
	var p Pardon
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		refuse(w, http.StatusBadRequest, CodeMalformed, "want account and print")
		return
	}
	if !who(r).Covers(p.Account) {
		refuse(w, http.StatusForbidden, CodeRole, "the account is outside your scope")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTime)
	defer cancel()
	_, err := a.config.Client.Propose(ctx, ctrl.Command{Suspect: &limit.Command{
		Op: limit.OpPardon, Account: p.Account, Prints: []string{p.Print}, Who: who(r).Name,
	}})
	if err != nil {
		a.failed(w, err)
		return
	}
	reply(w, http.StatusOK, p)
}
