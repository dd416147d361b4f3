package fleet_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/entry"
	"egretshunt/fleet"
)

// startUpload begins a booking through the first entry, and returns once that reads the body. finish sends the rest.
func startUpload(t *testing.T, f *fleet.Fleet, account int, key string) (finish func() response) {
	t.Helper()
	body, w := io.Pipe()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.URL(0)+"/svc/"+f.Shape.Service+"/jobs", body)
	check.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+f.Shape.Key(account))
	// The transport sends the body once the entry reads it.
	r.Header.Set("Expect", "100-continue")
	transport := &http.Transport{ExpectContinueTimeout: time.Minute}
	t.Cleanup(transport.CloseIdleConnections)
	r.Header.Set(entry.IdempotencyKeyHeader, key)
	answered := make(chan response, 1)
	go func() {
		resp, err := transport.RoundTrip(r)
		if err != nil {
			t.Errorf("upload: %v", err)
			close(answered)
			return
		}
		defer resp.Body.Close()
		a := response{status: resp.StatusCode}
		if a.status >= 300 {
			if a, err = readError(resp, a); err != nil {
				t.Errorf("read the error: %v", err)
			}
		}
		answered <- a
	}()
	_, err = io.WriteString(w, "one ")
	check.NoError(t, err)
	return func() response {
		_, err := io.WriteString(w, "impeller")
		check.NoError(t, err)
		check.NoError(t, w.Close())
		return <-answered
	}
}

// TestTablesDuringUpload guards against bookings that are judged by the tables from before their upload, with the confirmation of
// those that arrived during it.
func TestTablesDuringUpload(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	t.Run("route removed", func(t *testing.T) {
		finish := startUpload(t, f, 0, "removed")
		name := "member-0-" + f.Shape.Service
		var got struct {
			Rev uint64 `json:"rev"`
		}
		check.NoError(t, f.Admin(t.Context(), http.MethodDelete, fmt.Sprintf("/routes/%s?base=%d", name, routeRev(t, f, name)), nil, &got))
		check.NoError(t, f.AwaitRevision(t.Context(), got.Rev))
		a := finish()
		check.Equal(t, "response", fmt.Sprint(a.status, " ", a.code, " ", a.ran), fmt.Sprint(404, " ", entry.CodeUnknownService, " ", entry.No))
		check.Equal(t, "effects", effectCount(f, "removed"), 0)
	})
	t.Run("nothing changed", func(t *testing.T) {
		finish := startUpload(t, f, 1, "kept")
		check.Equal(t, "status", finish().status, http.StatusCreated)
		check.Equal(t, "effects", effectCount(f, "kept"), 1)
	})
}
