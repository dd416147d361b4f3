package fleet_test

import (
	"fmt"
	"net/http"
	"testing"

	"egretshunt/admin"
	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/fleet"
	"egretshunt/table"
	"egretshunt/wire"
)

// Guards against requests that reach agents in an evacuated place, through an entry or past one that doesn't know yet; against running ones
// that end with its evacuation; and against operators who can't see what holds.
func TestEvacuation(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	c := fleet.Client()
	place := f.Shape.Places[0]
	call := func(method, path string) (got admin.Evacuation, err error) {
		err = f.Admin(t.Context(), method, "/evacuations/"+path, nil, &got)
		return got, err
	}
	for _, method := range []string{http.MethodPost, http.MethodDelete} {
		_, err := call(method, "nowhere")
		rejected, ok := err.(*fleet.APIError)
		check.Equal(t, "an unknown place is rejected", ok && rejected.Status == 400, true)
	}
	send := func(text string) (status int, code string) {
		a, err := sendPrompt(t.Context(), f, c, 0, 0, text, 2, false)
		check.NoError(t, err)
		return a.status, a.code
	}
	status, _ := send("before")
	check.Equal(t, "status before", status, 200)

	running := make(chan response, 1)
	requests := func() int {
		sum := 0
		for _, e := range f.Engines {
			sum += e.Totals().Requests
		}
		return sum
	}
	before := requests()
	go func() {
		a, err := sendPrompt(t.Context(), f, c, 0, 0, "long", 200, true)
		check.NoError(t, err)
		running <- a
	}()
	check.Eventually(t, "it runs", func() bool { return requests() > before })
	got, err := call(http.MethodPost, place)
	check.NoError(t, err)
	check.Equal(t, "evacuated", got, admin.Evacuation{Place: place, Evacuated: true, EvacuationResult: ctrl.EvacuationResult{Changed: true, Places: []string{place}}})
	got, err = call(http.MethodPost, place)
	check.NoError(t, err)
	check.Equal(t, "a resend changes anything", got.Changed, false)
	check.Eventually(t, "all processes know", func() bool {
		for _, name := range append(append([]string{}, f.Entries...), f.Agents...) {
			if !f.Proc(name).View().IsEvacuated(place) {
				return false
			}
		}
		return true
	})
	before = requests()
	for i := range 10 {
		status, code := send(fmt.Sprint("meanwhile ", i))
		check.Equal(t, "status meanwhile", status, 503)
		check.Equal(t, "code meanwhile", code, "no_endpoint")
	}
	// An entry that doesn't know yet would offer it.
	check.Equal(t, "an agent's response to an offer", offerDirectly(t, f), "evacuated")
	check.Equal(t, "new requests at endpoints", requests()-before, 0)
	check.Equal(t, "text of the one that ran", (<-running).text, wantText("long", 200))

	var list []ctrl.PlaceState
	check.NoError(t, f.Admin(t.Context(), http.MethodGet, "/evacuations", nil, &list))
	check.Equal(t, "listed", len(list) == 1 && list[0].Place == place && list[0].Evacuated, true)
	var state admin.Status
	check.NoError(t, f.Admin(t.Context(), http.MethodGet, "/status", nil, &state))
	check.Equal(t, "in the status", state.Evacuated, []string{place})
	check.Equal(t, "beside the rest", state.Leader != "", true)
	var records []table.AuditRecord
	check.NoError(t, f.Admin(t.Context(), http.MethodGet, "/audit?table=evacuations", nil, &records))
	check.Equal(t, "audit records", len(records), 2)
	check.Equal(t, "who", records[0].Operator != "" && records[0].From != "" && records[0].Name == place, true)

	_, err = call(http.MethodDelete, place)
	check.NoError(t, err)
	check.Eventually(t, "served again", func() bool {
		status, _ := send("after")
		return status == 200
	})
}

// offerDirectly offers a request to an agent as an entry does, and returns the code of its refusal.
func offerDirectly(t *testing.T, f *fleet.Fleet) string {
	t.Helper()
	settings := f.Settings("worker-0")
	keys, err := wire.NewKeys(settings.Wire.Secrets...)
	check.NoError(t, err)
	pool := wire.NewPool(wire.PoolConfig{Keys: keys})
	defer pool.Close()
	s, err := pool.Open(t.Context(), settings.Wire.Listen)
	check.NoError(t, err)
	defer s.Close()
	offer := &wire.Offer{
		Id: "direct", Account: "member-0", Route: "member-0-planner", Pool: fleet.WorkerPool, Target: f.Shape.Model, Method: http.MethodPost,
		Path: "/v1/completions", Body: promptBody(f.Shape.Model, "direct", 1, false), BudgetMs: 5000,
	}
	check.NoError(t, s.Send(&wire.Frame{Body: &wire.Frame_Offer{Offer: offer}}))
	frame, err := s.Recv()
	check.NoError(t, err)
	return frame.GetRefuse().GetCode()
}
