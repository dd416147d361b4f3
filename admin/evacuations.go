package admin

import (
	"context"
	"net/http"
	"net/url"

	"github.com/go-chi/chi/v5"

	"egretshunt/ctrl"
	"egretshunt/event"
	"egretshunt/quorum"
)

// Status is a control VM's status in the group, with the places that are evacuated as it knows.
type Status struct {
	quorum.Status
	Evacuated []string `json:"evacuated,omitempty"`
}

// Evacuation is the response to the beginning or end of an evacuation.
type Evacuation struct {
	Place     string `json:"place"`
	Evacuated bool   `json:"evacuated"`
	ctrl.EvacuationResult
}

// listEvacuations responds with the places that are evacuated, and those that were lately.
func (a *API) listEvacuations(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, append([]ctrl.PlaceState{}, a.config.Node.View().Places...))
}

// evacuate begins or, if the method is DELETE, ends the evacuation of a place. It concerns all accounts.
func (a *API) evacuate(w http.ResponseWriter, r *http.Request) {
	place, end := chi.URLParam(r, "place"), r.Method == http.MethodDelete
	if r.URL.RawPath != "" {
		// Names that can't be unescaped are those of no place.
		place, _ = url.PathUnescape(place)
	}
	refuse := func(status int, code, text string) {
		a.events().Emit(event.EvacuationRefused, "place", place, "evacuated", !end, "who", operatorOf(r).Name, "from", r.RemoteAddr, "status", status, "err", text)
		writeError(w, status, code, text)
	}
	a.events().Emit(event.EvacuationAsked, "place", place, "evacuated", !end, "who", operatorOf(r).Name, "from", r.RemoteAddr)
	switch {
	case len(operatorOf(r).Accounts) > 0:
		refuse(http.StatusForbidden, CodeForbidden, "only an operator without a scope may evacuate a data centre")
		return
	case !a.isKnownPlace(place, end):
		refuse(http.StatusBadRequest, CodeMissing, "no pool is in the data centre "+place)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	result, err := a.config.Client.Propose(ctx, ctrl.Command{Evacuation: &ctrl.Evacuation{Place: place, End: end, Operator: operatorOf(r).Name, From: r.RemoteAddr}})
	switch {
	case err != nil:
		a.events().Emit(event.EvacuationRefused, "place", place, "evacuated", !end, "who", operatorOf(r).Name, "from", r.RemoteAddr, "status", http.StatusServiceUnavailable, "err", err)
		a.writeFailure(w, err)
	case result.Evacuation == nil:
		refuse(http.StatusServiceUnavailable, CodeOutcomeUnknown, "the leader doesn't know evacuations yet")
	default:
		writeJSON(w, http.StatusOK, Evacuation{Place: place, Evacuated: !end, EvacuationResult: *result.Evacuation})
	}
}

// isKnownPlace reports whether a pool is in a place, or, for an end, was when the place was evacuated.
func (a *API) isKnownPlace(place string, end bool) bool {
	for _, p := range a.config.Node.Tables().Pools {
		if p.Place == place {
			return true
		}
	}
	_, known := a.config.Node.View().Place(place)
	return end && known
}

func (a *API) events() *event.Log {
	if a.config.Events == nil {
		return event.Discard()
	}
	return a.config.Events
}
