package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"egretshunt/check"
	"egretshunt/entry"
	"egretshunt/fleet"
	"egretshunt/ledger"
)

func TestBookingTakesEffectOnce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	c := fleet.Client()
	t.Run("concurrently through all entries", func(t *testing.T) {
		var mu sync.Mutex
		texts := map[string]int{}
		var work sync.WaitGroup
		for i := range 40 {
			work.Go(func() {
				a, err := sendBooking(t.Context(), f, c, i, 0, "crowd", "one impeller")
				if err != nil || a.status != http.StatusCreated {
					t.Errorf("client %d: response %+v, error %v", i, a, err)
				}
				mu.Lock()
				defer mu.Unlock()
				texts[a.text]++
			})
		}
		work.Wait()
		check.Equal(t, "distinct responses", len(texts), 1)
		check.Equal(t, "effects", effectCount(f, "crowd"), 1)
	})
	t.Run("same key, other body", func(t *testing.T) {
		a, err := sendBooking(t.Context(), f, c, 1, 0, "crowd", "two impellers")
		check.NoError(t, err)
		check.Equal(t, "response", fmt.Sprint(a.status, a.code, a.ran), fmt.Sprint(422, entry.CodeKeyReused, entry.No))
	})
	t.Run("same key, other account", func(t *testing.T) {
		a, err := sendBooking(t.Context(), f, c, 1, 1, "crowd", "one impeller")
		check.NoError(t, err)
		check.Equal(t, "status", a.status, http.StatusCreated)
		check.Equal(t, "effects", effectCount(f, "crowd"), 2)
	})
	t.Run("replay with headers and status", func(t *testing.T) {
		a, err := sendBooking(t.Context(), f, c, 2, 0, "crowd", "one impeller")
		check.NoError(t, err)
		check.Equal(t, "job", a.header.Get("X-Job"), "crowd")
		check.Equal(t, "replayed", a.header.Get("Idempotency-Replayed"), "true")
	})
}

// bookingOp is the outcome of one client's booking in a porcupine history.
type bookingOp struct {
	response
	err bool
}

// bookingModel is the sequential specification of one key: it takes effect at most once, a call
// that reports "not run" has no effect, and a call that succeeds reports the single effect.
var bookingModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, _, out any) []any {
		ran, o := state.(bool), out.(bookingOp)
		switch {
		case o.err || o.ran == entry.Unknown:
			// The booking may have run or not.
			return []any{ran, true}
		case o.status < 300 || o.ran == entry.Yes:
			return []any{true}
		}
		// A rejected call has no effect.
		return []any{ran}
	},
}

// TestBookingsUnderFaults retries bookings through all entries while entries, agents and services
// fail and connections break. By the services' counts, no key may take effect twice, and every
// response must agree with the count.
func TestBookingsUnderFaults(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	var faults sync.WaitGroup
	faults.Go(func() { injectFaults(ctx, t, f) })
	var mu sync.Mutex
	responses := map[string][]response{}
	transportErrors := map[string]int{}
	history := map[string][]porcupine.Operation{}
	testStart := time.Now()
	var work sync.WaitGroup
	const keys, callers = 60, 3
	for k := range keys {
		for n := range callers {
			work.Go(func() {
				time.Sleep(time.Duration(k) * 50 * time.Millisecond)
				key := fmt.Sprintf("job-%d", k)
				c := fleet.Client()
				for attempt := range 4 {
					callStart := time.Now()
					callCtx, cancelCall := context.WithTimeout(t.Context(), 15*time.Second)
					a, err := sendBooking(callCtx, f, c, n+attempt, 0, key, "a crew")
					cancelCall()
					mu.Lock()
					history[key] = append(history[key], porcupine.Operation{
						ClientId: n, Call: int64(callStart.Sub(testStart)), Output: bookingOp{a, err != nil}, Return: int64(time.Since(testStart)),
					})
					if err == nil {
						responses[key] = append(responses[key], a)
					} else {
						transportErrors[fmt.Sprintf("%s %v", f.Entries[(n+attempt)%len(f.Entries)], errors.Unwrap(err))]++
					}
					mu.Unlock()
					if err == nil && a.status < 300 {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	work.Wait()
	cancel()
	faults.Wait()
	completed, notRun := 0, 0
	for key, keyResponses := range responses {
		n := effectCount(f, key)
		if n > 1 {
			t.Errorf("%s took effect %d times: %+v", key, n, keyResponses)
		}
		succeeded, allNotRun := 0, true
		for _, a := range keyResponses {
			if a.status < 300 {
				succeeded++
			}
			allNotRun = allNotRun && a.ran == entry.No
		}
		if succeeded > 0 {
			completed++
			check.Equal(t, key+" took effect", n, 1)
		}
		if allNotRun && len(keyResponses) == len(history[key]) {
			notRun++
			check.Equal(t, key+" took effect although every response says not run", n, 0)
		}
		if porcupine.CheckOperations(bookingModel.ToModel(), history[key]) == false {
			t.Errorf("%s: the history is not linearizable as one booking", key)
		}
	}
	t.Logf("%d keys: %d completed, %d certainly not run; responses: %v, transport errors: %v", keys, completed, notRun, tally(responses), transportErrors)
	if completed < keys/2 {
		t.Errorf("only %d of %d bookings completed; responses: %v, transport errors: %v", completed, keys, tally(responses), transportErrors)
	}
}

// tally counts responses by status, error code and whether they report that the request ran.
func tally(responses map[string][]response) map[string]int {
	counts := map[string]int{}
	for _, keyResponses := range responses {
		for _, a := range keyResponses {
			counts[fmt.Sprint(a.status, " ", a.code, " ", a.ran)]++
		}
	}
	return counts
}

// injectFaults injects one fault after another, in a fixed order, until ctx ends.
func injectFaults(ctx context.Context, t *testing.T, f *fleet.Fleet) {
	pause := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	restart := func(name string) {
		f.Kill(name)
		pause(150 * time.Millisecond)
		if err := f.Run(name); err != nil {
			t.Errorf("restart %s: %v", name, err)
		}
	}
	for i := 0; ctx.Err() == nil; i++ {
		pause(200 * time.Millisecond)
		switch i % 5 {
		case 0:
			f.Proc(f.Entries[i%3]).BreakConnections()
		case 1:
			restart(fmt.Sprintf("helper-%d", i%2))
		case 2:
			restart(f.Entries[(i/5)%3])
		case 3:
			f.Services["helper-0"].SetBreakAfterBooking(true)
			pause(200 * time.Millisecond)
			f.Services["helper-0"].SetBreakAfterBooking(false)
		case 4:
			f.Proc(f.Entries[i%3]).BreakConnections()
		}
	}
}

// TestUnknownIsFollowedUp loses the response of a booking that took effect. The outcome must come
// from the service's look-up, or stay unknown until an operator settles it; the booking must not
// run again.
func TestUnknownIsFollowedUp(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(s *fleet.Shape) { s.Helpers = 1 })
	c := fleet.Client()
	f.Services["helper-0"].SetBreakAfterBooking(true)
	a, err := sendBooking(t.Context(), f, c, 0, 0, "lost", "a part")
	check.NoError(t, err)
	// The service's look-up returns the outcome for the key.
	check.Equal(t, "response", []any{a.status, a.code}, []any{http.StatusOK, ""})
	check.Equal(t, "effects", effectCount(f, "lost"), 1)
	t.Run("without a look-up it stays unknown until settled", func(t *testing.T) {
		p, err := f.Pool(t.Context(), fleet.HelperPool)
		check.NoError(t, err)
		base := p.Rev
		p.Lookup, p.Rev = "", 0
		rev, err := f.Put(t.Context(), "pools", p.Name, base, p)
		check.NoError(t, err)
		check.NoError(t, f.AwaitRevision(t.Context(), rev))
		a, err := sendBooking(t.Context(), f, c, 1, 0, "open", "a part")
		check.NoError(t, err)
		check.Equal(t, "response", fmt.Sprint(a.code, a.ran), fmt.Sprint(entry.CodeOutcomeUnknown, entry.Unknown))
		f.Services["helper-0"].SetBreakAfterBooking(false)
		a, err = sendBooking(t.Context(), f, c, 2, 0, "open", "a part")
		check.NoError(t, err)
		check.Equal(t, "code of the retry", a.code, entry.CodeOutcomeUnknown)
		check.Equal(t, "effects", effectCount(f, "open"), 1)
		var list []ledger.Claim
		check.Eventually(t, "the claim is on the operator's list of unknown outcomes", func() bool {
			return f.Admin(t.Context(), http.MethodGet, "/unknown", nil, &list) == nil && len(list) == 1
		})
		settle := map[string]string{"account": f.Shape.Account(0), "key": "open", "verdict": ledger.Done}
		check.NoError(t, f.Admin(t.Context(), http.MethodPost, "/unknown/settle", settle, nil))
		a, err = sendBooking(t.Context(), f, c, 0, 0, "open", "a part")
		check.NoError(t, err)
		check.Equal(t, "after settling", fmt.Sprint(a.code, a.ran), fmt.Sprint(entry.CodeResponseGone, entry.Yes))
	})
}

// TestRetryStorm makes all services fail and limits how many calls 400 client requests may become;
// unbounded retries would multiply the load of an outage.
func TestRetryStorm(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	c := fleet.Client()
	for _, s := range f.Services {
		s.SetFail(true)
	}
	var work sync.WaitGroup
	for i := range 400 {
		work.Go(func() {
			a, err := sendBooking(t.Context(), f, c, i, i%3, fmt.Sprint("storm", i), "x")
			if err == nil && a.status < 300 {
				t.Errorf("booking %d succeeded at a service that fails every call", i)
			}
		})
	}
	work.Wait()
	calls := 0
	for _, s := range f.Services {
		calls += s.Calls()
	}
	if calls > 480 {
		t.Errorf("400 requests caused %d calls, want at most 480", calls)
	}
}

// TestPoison sends the same prompt 50 times; it crashes the engine that runs it. It must be
// quarantined after at most two crashes, while other prompts are served.
func TestPoison(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	c := fleet.Client()
	poison := "please CRASH-THE-ENGINE now"
	refused := 0
	for i := range 50 {
		a, err := sendPrompt(t.Context(), f, c, i, 0, poison, 5, false)
		check.NoError(t, err)
		if a.code == entry.CodeQuarantined {
			refused++
		}
		b, err := sendPrompt(t.Context(), f, c, i, 1, fmt.Sprint("innocent ", i), 5, false)
		check.NoError(t, err)
		check.Equal(t, fmt.Sprintf("innocent prompt (%d %s)", b.status, b.code), b.text, wantText(fmt.Sprint("innocent ", i), 5))
	}
	crashes := 0
	for _, e := range f.Engines {
		crashes += e.Totals().Crashes
	}
	if crashes == 0 || crashes > 2 {
		t.Errorf("50 requests with the crashing prompt caused %d crashes, want 1 or 2", crashes)
	}
	if refused < 40 {
		t.Errorf("only %d of 50 requests with the crashing prompt were rejected, want at least 40", refused)
	}
}
