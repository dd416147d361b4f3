package drill

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"egretshunt/entry"
	"egretshunt/table"
)

// callResult is the outcome of one request as its caller saw it. failed means that no
// readable response arrived; complete, that a response arrived without being cut short.
type callResult struct {
	status   int
	code     string
	ran      entry.Ran
	text     string
	complete bool
	failed   bool
}

func (d *drill) send(ctx context.Context, c *http.Client, entryIndex, account int, method, path string, body []byte, key string) (*http.Response, callResult) {
	resp, err := d.fleet.Send(ctx, c, entryIndex, account, method, path, body, key)
	if err != nil {
		return nil, callResult{failed: true}
	}
	a := callResult{status: resp.StatusCode}
	if resp.StatusCode < 300 {
		return resp, a
	}
	defer resp.Body.Close()
	var refusal struct {
		Error struct {
			Code string    `json:"code"`
			Ran  entry.Ran `json:"ran"`
		} `json:"error"`
	}
	if json.NewDecoder(resp.Body).Decode(&refusal) != nil {
		return nil, callResult{failed: true}
	}
	a.code, a.ran = refusal.Error.Code, refusal.Error.Ran
	if a.ran == entry.No {
		d.mu.Lock()
		d.report.Refusals++
		d.mu.Unlock()
	}
	return nil, a
}

// sendPrompt sends a prompt and compares the response with the expected text.
func (d *drill) sendPrompt(ctx context.Context, c *http.Client, entryIndex, account int, text string, tokens int, stream bool) callResult {
	body, _ := json.Marshal(map[string]any{"model": d.config.Shape.Model, "prompt": text, "max_tokens": tokens, "stream": stream})
	began := time.Now()
	resp, a := d.send(context.WithoutCancel(ctx), c, entryIndex, account, http.MethodPost, "/v1/completions", body, "")
	d.mu.Lock()
	d.report.Prompts++
	d.mu.Unlock()
	if resp == nil {
		return a
	}
	defer resp.Body.Close()
	if stream {
		d.readEvents(resp.Body, &a, began)
	} else {
		readBody(resp.Body, &a)
	}
	// A response may be cut short when its endpoint fails, but must not look complete.
	d.check(completeResponses, !a.complete || a.text == expectedText(text, tokens), "a wrong response of %d bytes looked complete", len(a.text))
	prefix := expectedText(text, 1)[:8]
	d.check(accountIsolation, a.text == "" || a.text[:min(8, len(a.text))] == prefix[:min(8, len(a.text))], "account %d got %.30q", account, a.text)
	return a
}

func (d *drill) readEvents(body io.Reader, a *callResult, began time.Time) {
	var text strings.Builder
	done := false
	last := time.Time{}
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			done = done || data == "[DONE]"
			var got struct {
				Choices []struct {
					Text string `json:"text"`
				} `json:"choices"`
			}
			if json.Unmarshal([]byte(data), &got) == nil && len(got.Choices) == 1 {
				text.WriteString(got.Choices[0].Text)
				last = d.recordToken(began, last)
			}
		}
		if err != nil {
			a.text, a.complete = text.String(), done && err == io.EOF
			return
		}
	}
}

// recordToken records the time to the first token, or the gap since the previous one.
// It returns the current time.
func (d *drill) recordToken(began, last time.Time) time.Time {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if last.IsZero() {
		d.firstTokenTimes = append(d.firstTokenTimes, now.Sub(began))
	} else {
		d.tokenGaps = append(d.tokenGaps, now.Sub(last))
	}
	return now
}

func readBody(body io.Reader, a *callResult) {
	data, err := io.ReadAll(body)
	var got struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err == nil && json.Unmarshal(data, &got) == nil && len(got.Choices) == 1 {
		a.text, a.complete = got.Choices[0].Text, true
	}
}

// requestSheet reads a job sheet from the service and checks that it is the requested one.
func (d *drill) requestSheet(ctx context.Context, c *http.Client, entryIndex, account, n int) {
	path := fmt.Sprintf("/sheet/%d-%d", account, n)
	resp, a := d.send(context.WithoutCancel(ctx), c, entryIndex, account, http.MethodGet, "/svc/"+d.config.Shape.Service+path, nil, "")
	if resp == nil {
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	d.check(completeResponses, err != nil || strings.Contains(string(data), path), "look-up of %s got %d %.60q", path, a.status, data)
}

// requestUnrouted requests a model that the account has no route for.
func (d *drill) requestUnrouted(ctx context.Context, c *http.Client, entryIndex, account int) {
	resp, a := d.send(ctx, c, entryIndex, account, http.MethodPost, "/v1/completions", []byte(`{"model":"another","prompt":"x"}`), "")
	if resp != nil {
		resp.Body.Close()
	}
	d.check(accountIsolation, a.failed || a.status >= 400, "a model without a route answered %d", a.status)
}

// bookingRecord holds the results that callers received for one idempotency key.
type bookingRecord struct {
	results []callResult
	history []porcupine.Operation
}

// maxBookingAttempts bounds how often a booking is sent.
const maxBookingAttempts = 5

// sendBooking sends one booking, each time through a random entry, until it succeeds or
// maxBookingAttempts is reached.
func (d *drill) sendBooking(ctx context.Context, c *http.Client, r *rand.Rand, account int, key string) {
	for range maxBookingAttempts {
		call := time.Now()
		resp, a := d.send(context.WithoutCancel(ctx), c, r.IntN(len(d.fleet.Entries)), account, http.MethodPost, "/svc/"+d.config.Shape.Service+"/jobs", []byte("a crew for "+key), key)
		if resp != nil {
			data, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			a.failed = err != nil
			d.check(completeResponses, err != nil || strings.Contains(string(data), key), "booking %s got %.80q", key, data)
		}
		d.recordBooking(key, a, call)
		if !a.failed && a.status < 300 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (d *drill) recordBooking(key string, a callResult, call time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.bookings[key]
	if b == nil {
		b = &bookingRecord{}
		d.bookings[key] = b
		d.report.Bookings++
	}
	b.results = append(b.results, a)
	b.history = append(b.history, porcupine.Operation{Output: a, Call: int64(call.Sub(d.began)), Return: int64(time.Since(d.began))})
}

// checkBookings compares the results that callers received with the executions that the
// services counted.
func (d *drill) checkBookings() {
	runs := map[string]int{}
	for _, s := range d.fleet.Services {
		for key, n := range s.EffectCounts() {
			runs[key] += n
		}
	}
	for key, b := range d.bookings {
		n := runs[key]
		d.check(atMostOnce, n <= 1, "%s ran %d times", key, n)
		d.check(atMostOnce, porcupine.CheckOperations(bookingModel.ToModel(), b.history), "%s: the history is not that of one booking", key)
		allRefused, done := true, false
		for _, a := range b.results {
			allRefused = allRefused && !a.failed && a.ran == entry.No
			done = done || (!a.failed && a.status < 300)
		}
		if allRefused {
			d.check(accurateRefusals, n == 0, "%s ran %d times; all callers were told that it did not", key, n)
		}
		if done {
			d.check(completeResponses, n == 1, "%s was answered and ran %d times", key, n)
		}
	}
}

// bookingModel is the linearizability model of one key, which may take effect once; its
// state is whether it has.
var bookingModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, _, out any) []any {
		ran, a := state.(bool), out.(callResult)
		switch {
		case a.failed || a.ran == entry.Unknown:
			return []any{ran, true}
		case a.status < 300 || a.ran == entry.Yes:
			return []any{true}
		}
		return []any{ran}
	},
}

// runOperator acts as one of two operators who edit the same row concurrently.
func (d *drill) runOperator(ctx context.Context, id int) {
	base := uint64(0)
	for n := 0; ctx.Err() == nil; n++ {
		call := time.Now()
		row := &table.Pool{Name: "contested", Place: "north", Kind: table.Service, Lookup: fmt.Sprintf("/%d-%d", id, n), Endpoints: []table.Endpoint{}}
		opCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 30*time.Second)
		rev, conflict, err := d.fleet.PutExpectingConflict(opCtx, "contested", base, row, fmt.Sprintf("race-%d-%d-%d", d.config.Seed, id, n))
		if err != nil {
			cancel()
			d.check(configInForce, false, "operator %d got no answer: %v", id, err)
			return
		}
		d.recordRowChange(id, base, rev, !conflict, call)
		if !conflict && n%4 == 0 {
			accepted := time.Now()
			err := d.fleet.AwaitRevision(opCtx, rev)
			d.check(configInForce, err == nil, "revision %d: %v", rev, err)
			d.mu.Lock()
			d.inForceTimes = append(d.inForceTimes, time.Since(accepted))
			d.mu.Unlock()
		}
		cancel()
		base = rev
		time.Sleep(20 * time.Millisecond)
	}
}

// rowChange is the outcome of one conditional write to the contested row: the version it
// was based on and the version that the row has afterwards.
type rowChange struct {
	base, version uint64
	accepted      bool
}

func (d *drill) recordRowChange(id int, base, version uint64, ok bool, call time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rowChanges = append(d.rowChanges, porcupine.Operation{
		ClientId: id, Output: rowChange{base, version, ok}, Call: int64(call.Sub(d.began)), Return: int64(time.Since(d.began)),
	})
}

var rowModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, _, out any) (bool, any) {
		version, change := state.(uint64), out.(rowChange)
		if change.accepted {
			return change.base == version && change.version > version, change.version
		}
		return change.base != version && change.version == version, version
	},
}

func (d *drill) checkRowChanges() {
	d.check(configInForce, porcupine.CheckOperations(rowModel, d.rowChanges), "the %d changes of the contested row are not linearizable", len(d.rowChanges))
}

// watchRevisions polls the revision of every process, which must never decrease.
func (d *drill) watchRevisions(ctx context.Context) {
	for ctx.Err() == nil {
		for _, name := range d.fleet.Names() {
			p := d.fleet.Proc(name)
			if p == nil {
				// A process without a data directory starts again from revision 0.
				if d.fleet.Settings(name).Data == "" {
					d.lastRevs[name] = 0
				}
				continue
			}
			rev := p.Rev()
			if d.fleet.Settings(name).Data != "" || d.lastRevs[name] <= rev {
				d.check(configInForce, rev >= d.lastRevs[name], "%s went from revision %d to %d", name, d.lastRevs[name], rev)
			}
			d.lastRevs[name] = rev
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (d *drill) setLatencies() {
	r := d.report
	r.FirstTokenP50, r.FirstTokenP95 = percentileMS(d.firstTokenTimes, 0.5), percentileMS(d.firstTokenTimes, 0.95)
	r.TokenGapP95, r.InForceP95 = percentileMS(d.tokenGaps, 0.95), percentileMS(d.inForceTimes, 0.95)
}

func percentileMS(times []time.Duration, share float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return float64(times[min(len(times)-1, int(float64(len(times))*share))].Microseconds()) / 1000
}
