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

// Member is the request body of a membership change of the control VMs.
type Member struct {
	quorum.Member
	// Replaces is the control VM to remove once the new one has caught up.
	Replaces quorum.ID `json:"replaces,omitempty"`
}

// changeMembers adds, removes or replaces a control VM. Only the leader can do so.
func (a *API) changeMembers(w http.ResponseWriter, r *http.Request) {
	var memberChange Member
	if err := json.NewDecoder(r.Body).Decode(&memberChange); err != nil {
		writeError(w, http.StatusBadRequest, CodeMalformed, "the body is not a member: "+err.Error())
		return
	}
	if len(operatorOf(r).Accounts) > 0 {
		writeError(w, http.StatusForbidden, CodeForbidden, "only an operator without a scope may change the control VMs")
		return
	}
	var err error
	switch chi.URLParam(r, "verb") {
	case "add", "replace":
		err = a.config.Node.AddMember(r.Context(), memberChange.Member, memberChange.Replaces)
	case "remove":
		err = a.config.Node.RemoveMember(r.Context(), memberChange.ID)
	default:
		writeError(w, http.StatusNotFound, CodeMissing, "want add, replace or remove")
		return
	}
	if err != nil {
		a.writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusAccepted, a.config.Node.Status())
}

func (a *API) listUnknown(w http.ResponseWriter, r *http.Request) {
	claims, err := a.config.Node.Unresolved(r.Context(), 1000)
	if err != nil {
		a.writeFailure(w, err)
		return
	}
	covered := []*ledger.Claim{}
	for _, c := range claims {
		if operatorOf(r).CanAccess(c.Account) {
			covered = append(covered, c)
		}
	}
	writeJSON(w, http.StatusOK, covered)
}

// Settle is the request body by which an operator records the outcome of a request whose
// outcome was unknown.
type Settle struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	// Verdict is ledger.Done, or ledger.Free if the request certainly did not run.
	Verdict string `json:"verdict"`
}

func (a *API) settleUnknown(w http.ResponseWriter, r *http.Request) {
	var settlement Settle
	if err := json.NewDecoder(r.Body).Decode(&settlement); err != nil || (settlement.Verdict != ledger.Done && settlement.Verdict != ledger.Free) {
		writeError(w, http.StatusBadRequest, CodeMalformed, "want account, key and verdict, done or free")
		return
	}
	if !operatorOf(r).CanAccess(settlement.Account) {
		writeError(w, http.StatusForbidden, CodeForbidden, "the account is outside your scope")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	result, err := a.config.Client.Propose(ctx, ctrl.Command{Claim: &ledger.Command{
		Op: ledger.OpSettle, Operator: operatorOf(r).Name, Verdict: settlement.Verdict,
		Claim: ledger.Claim{Key: ledger.Key{Account: settlement.Account, Key: settlement.Key}},
	}})
	if err != nil {
		a.writeFailure(w, err)
		return
	}
	if result.Claim == nil || result.Claim.Code != ledger.Granted {
		writeError(w, http.StatusConflict, CodeRejected, "there is no unsettled request of that account and key")
		return
	}
	writeJSON(w, http.StatusOK, result.Claim.Claim)
}

func (a *API) listSuspects(w http.ResponseWriter, r *http.Request) {
	covered := []limit.Suspect{}
	for _, suspect := range a.config.Node.View().Suspects.All() {
		if operatorOf(r).CanAccess(suspect.Account) {
			covered = append(covered, suspect)
		}
	}
	writeJSON(w, http.StatusOK, covered)
}

// Clear is the request body that clears a suspected request, identified by its account
// and fingerprint.
type Clear struct {
	Account string `json:"account"`
	Print   string `json:"print"`
}

func (a *API) clearSuspect(w http.ResponseWriter, r *http.Request) {
	var request Clear
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeError(w, http.StatusBadRequest, CodeMalformed, "want account and print")
		return
	}
	if !operatorOf(r).CanAccess(request.Account) {
		writeError(w, http.StatusForbidden, CodeForbidden, "the account is outside your scope")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	_, err := a.config.Client.Propose(ctx, ctrl.Command{Suspect: &limit.Command{
		Op: limit.OpOperatorClear, Account: request.Account, Fingerprints: []string{request.Print}, Operator: operatorOf(r).Name,
	}})
	if err != nil {
		a.writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, request)
}
