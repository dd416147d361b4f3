package fleet_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/entry"
	"egretshunt/fleet"
)

// TestWholeAnswers sends hundreds of prompts concurrently while the connections between the
// processes break repeatedly. No response may be cut off, and each complete one must be exactly
// the expected text.
func TestWholeAnswers(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	c := fleet.Client()
	ctx, cancel := context.WithCancel(t.Context())
	var faults sync.WaitGroup
	faults.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			time.Sleep(60 * time.Millisecond)
			f.Proc(f.Entries[i%3]).BreakConnections()
		}
	})
	var work sync.WaitGroup
	for i := range 300 {
		work.Go(func() {
			text := fmt.Sprintf("prompt %d of its own", i)
			a, err := sendPrompt(t.Context(), f, c, i, i%3, text, 60, i%2 == 0)
			if err != nil {
				t.Errorf("prompt %d: %v", i, err)
				return
			}
			if a.complete && a.text != wantText(text, 60) {
				t.Errorf("prompt %d got a wrong response: %.60s", i, a.text)
			}
			if a.status == http.StatusOK && !a.complete {
				t.Errorf("prompt %d was cut off although its endpoint is running", i)
			}
		})
	}
	work.Wait()
	cancel()
	faults.Wait()
}

// TestCutStreamIsIncomplete kills an agent and crashes an engine during streams. A stream that is
// cut off must not look complete to its client.
func TestCutStreamIsIncomplete(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(s *fleet.Shape) { s.TokenInterval = 20 * time.Millisecond })
	c := fleet.Client()
	var work sync.WaitGroup
	for i := range 30 {
		work.Go(func() {
			text := fmt.Sprintf("long answer %d", i)
			a, err := sendPrompt(t.Context(), f, c, i, 0, text, 100, true)
			if err != nil {
				return
			}
			if a.complete && a.text != wantText(text, 100) {
				t.Errorf("response %d is marked complete but its text is wrong: %d bytes", i, len(a.text))
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	f.Kill("worker-0")
	f.Engines["worker-1"].Crash()
	work.Wait()
}

func TestAccountsAndErrors(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(s *fleet.Shape) { s.Accounts = 2 })
	c := fleet.Client()
	// Account 1 loses its route; account 0 keeps its route.
	check.NoError(t, f.Admin(t.Context(), http.MethodDelete, fmt.Sprintf("/routes/member-1-planner?base=%d", routeRev(t, f, "member-1-planner")), nil, nil))
	check.Eventually(t, "the entry drops the deleted route", func() bool {
		a, err := sendPrompt(t.Context(), f, c, 0, 1, "x", 1, false)
		return err == nil && a.code == entry.CodeUnknownModel
	})
	call := func(account int, method, path, body string) response {
		t.Helper()
		resp, err := f.Send(t.Context(), c, 0, account, method, path, []byte(body), "")
		check.NoError(t, err)
		defer resp.Body.Close()
		a, err := readError(resp, response{status: resp.StatusCode})
		check.NoError(t, err)
		return a
	}
	for _, tc := range []struct {
		desc         string
		account      int
		method, path string
		body         string
		status       int
		code         string
	}{
		{"wrong key", 9, "POST", "/v1/completions", "{}", 401, entry.CodeBadKey},
		{"not JSON", 0, "POST", "/v1/completions", "{", 400, entry.CodeMalformed},
		{"no model", 0, "POST", "/v1/completions", `{"prompt":"x"}`, 400, entry.CodeMalformed},
		{"no prompt", 0, "POST", "/v1/completions", `{"model":"planner"}`, 400, entry.CodeMalformed},
		{"unknown model", 0, "POST", "/v1/completions", `{"model":"other","prompt":"x"}`, 404, entry.CodeUnknownModel},
		{"a service is no model", 0, "POST", "/v1/completions", `{"model":"dispatch","prompt":"x"}`, 404, entry.CodeUnknownModel},
		{"unknown service", 0, "POST", "/svc/other/x", "x", 404, entry.CodeUnknownService},
		{"unknown path", 0, "GET", "/v2/other", "", 404, entry.CodeUnknownPath},
		{"wrong method", 0, "DELETE", "/v1/completions", "", 405, entry.CodeUnknownPath},
		{"too large", 0, "POST", "/v1/completions", strings.Repeat("x", 17<<20), 413, entry.CodeTooLarge},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			got := call(tc.account, tc.method, tc.path, tc.body)
			check.Equal(t, "status and code", fmt.Sprint(got.status, " ", got.code), fmt.Sprint(tc.status, " ", tc.code))
			check.Equal(t, "ran", got.ran, entry.No)
		})
	}
}

func routeRev(t *testing.T, f *fleet.Fleet, name string) uint64 {
	t.Helper()
	var r struct {
		Rev uint64 `json:"rev"`
	}
	check.NoError(t, f.Admin(t.Context(), http.MethodGet, "/routes/"+name, nil, &r))
	return r.Rev
}

// TestSlowCallerHoldsBackOnlyItself leaves one long response unread. It must not hold back other
// responses of the same endpoint.
func TestSlowCallerHoldsBackOnlyItself(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(s *fleet.Shape) { s.Workers, s.TokenInterval = 1, 0 })
	resp, err := f.Send(t.Context(), fleet.Client(), 0, 0, http.MethodPost, "/v1/completions", promptBody(f.Shape.Model, "slow", 60_000, true), "")
	check.NoError(t, err)
	defer resp.Body.Close()
	c := fleet.Client()
	for i := range 50 {
		text := fmt.Sprint("beside ", i)
		a, err := sendPrompt(t.Context(), f, c, 0, 1, text, 5, true)
		check.NoError(t, err)
		check.Equal(t, "response", []any{a.status, a.code, a.text}, []any{http.StatusOK, "", wantText(text, 5)})
	}
	a := readStream(resp, response{})
	check.Equal(t, "the slow client's response is complete and correct", a.complete && a.text == wantText("slow", 60_000), true)
}

// TestSilentEndpoints stops the only engine from responding. Queues must stay bounded, and
// requests that exceed them must be rejected as not run.
func TestSilentEndpoints(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(s *fleet.Shape) { s.Workers = 1 })
	f.Engines["worker-0"].SetStartDelay(time.Hour)
	c := fleet.Client()
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	var mu sync.Mutex
	codes := map[string]int{}
	var work sync.WaitGroup
	for i := range 600 {
		work.Go(func() {
			a, err := sendPrompt(ctx, f, c, i, i%3, fmt.Sprint("silent ", i), 5, false)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			codes[a.code+" "+string(a.ran)]++
		})
	}
	work.Wait()
	if codes[entry.CodeBusy+" no"] < 100 {
		t.Fatalf("600 requests to an engine that doesn't respond: fewer than 100 rejected as busy: %v", codes)
	}
}
