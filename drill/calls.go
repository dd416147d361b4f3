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

// answer is what a caller saw.
type answer struct {
	status int
	code   string
	ran    entry.Ran
	text   string
	whole  bool
	lost   bool
}

func (d *drill) send(ctx context.Context, c *http.Client, e, account int, method, path string, body []byte, key string) (*http.Response, answer) {
	resp, err := d.fleet.Call(ctx, c, e, account, method, path, body, key)
	if err != nil {
		return nil, answer{lost: true}
	}
	a := answer{status: resp.StatusCode}
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
		return nil, answer{lost: true}
	}
	a.code, a.ran = refusal.Error.Code, refusal.Error.Ran
	if a.ran == entry.No {
		d.mu.Lock()
		d.report.Refusals++
		d.mu.Unlock()
	}
	return nil, a
}

// prompt sends a prompt and checks the answer to the letter.
func (d *drill) prompt(ctx context.Context, c *http.Client, e, account int, text string, tokens int, stream bool) answer {
	body, _ := json.Marshal(map[string]any{"model": d.config.Shape.Model, "prompt": text, "max_tokens": tokens, "stream": stream})
	began := time.Now()
	resp, a := d.send(context.WithoutCancel(ctx), c, e, account, http.MethodPost, "/v1/completions", body, "")
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
	// A cut answer is allowed when its endpoint died, but must not look whole.
	d.check(wholeAnswers, !a.whole || a.text == wanted(text, tokens), "%d letters came as the whole answer", len(a.text))
	mine := wanted(text, 1)[:8]
	d.check(ownAccount, a.text == "" || a.text[:min(8, len(a.text))] == mine[:min(8, len(a.text))], "account %d got %.30q", account, a.text)
	return a
}

func (d *drill) readEvents(body io.Reader, a *answer, began time.Time) {
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
				last = d.noteToken(began, last)
			}
		}
		if err != nil {
			a.text, a.whole = text.String(), done && err == io.EOF
			return
		}
	}
}

// noteToken measures the first token and the gaps.
func (d *drill) noteToken(began, last time.Time) time.Time {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if last.IsZero() {
		d.firsts = append(d.firsts, now.Sub(began))
	} else {
		d.gaps = append(d.gaps, now.Sub(last))
	}
	return now
}

func readBody(body io.Reader, a *answer) {
	data, err := io.ReadAll(body)
	var got struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err == nil && json.Unmarshal(data, &got) == nil && len(got.Choices) == 1 {
		a.text, a.whole = got.Choices[0].Text, true
	}
}

// lookup reads a job sheet.
func (d *drill) lookup(ctx context.Context, c *http.Client, e, account, n int) {
	path := fmt.Sprintf("/sheet/%d-%d", account, n)
	resp, a := d.send(context.WithoutCancel(ctx), c, e, account, http.MethodGet, "/svc/"+d.config.Shape.Service+path, nil, "")
	if resp == nil {
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	d.check(wholeAnswers, err != nil || strings.Contains(string(data), path), "look-up of %s got %d %.60q", path, a.status, data)
}

// trespass asks for what no route allows.
func (d *drill) trespass(ctx context.Context, c *http.Client, e, account int) {
	resp, a := d.send(ctx, c, e, account, http.MethodPost, "/v1/completions", []byte(`{"model":"another","prompt":"x"}`), "")
	if resp != nil {
		resp.Body.Close()
	}
	d.check(ownAccount, a.lost || a.status >= 400, "a model without a route answered %d", a.status)
}

// booking is all that callers were told of one key.
type booking struct {
	answers []answer
	history []porcupine.Operation
}

// maxResends bounds how often a booking is sent again.
const maxResends = 5

// book sends one booking again until it is answered for good, through changing entries.
func (d *drill) book(ctx context.Context, c *http.Client, r *rand.Rand, account int, key string) {
	for range maxResends {
		call := time.Now()
		resp, a := d.send(context.WithoutCancel(ctx), c, r.IntN(len(d.fleet.Entries)), account, http.MethodPost, "/svc/"+d.config.Shape.Service+"/jobs", []byte("a crew for "+key), key)
		if resp != nil {
			data, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			a.lost = err != nil
			d.check(wholeAnswers, err != nil || strings.Contains(string(data), key), "booking %s got %.80q", key, data)
		}
		d.noteBooking(key, a, call)
		if !a.lost && a.status < 300 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (d *drill) noteBooking(key string, a answer, call time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.bookings[key]
	if b == nil {
		b = &booking{}
		d.bookings[key] = b
		d.report.Bookings++
	}
	b.answers = append(b.answers, a)
	b.history = append(b.history, porcupine.Operation{Output: a, Call: int64(call.Sub(d.began)), Return: int64(time.Since(d.began))})
}

// judgeBookings compares what callers were told with what the services counted.
func (d *drill) judgeBookings() {
	runs := map[string]int{}
	for _, s := range d.fleet.Services {
		for key, n := range s.Runs() {
			runs[key] += n
		}
	}
	for key, b := range d.bookings {
		n := runs[key]
		d.check(atMostOnce, n <= 1, "%s ran %d times", key, n)
		d.check(atMostOnce, porcupine.CheckOperations(bookingModel.ToModel(), b.history), "%s: the history is not that of one booking", key)
		allNo, done := true, false
		for _, a := range b.answers {
			allNo = allNo && !a.lost && a.ran == entry.No
			done = done || (!a.lost && a.status < 300)
		}
		if allNo {
			d.check(trueRefusals, n == 0, "%s ran %d times; all callers were told that it did not", key, n)
		}
		if done {
			d.check(wholeAnswers, n == 1, "%s was answered and ran %d times", key, n)
		}
	}
}

// bookingModel lets a key take effect once; its state is whether it has.
var bookingModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, _, out any) []any {
		ran, a := state.(bool), out.(answer)
		switch {
		case a.lost || a.ran == entry.Unknown:
			return []any{ran, true}
		case a.status < 300 || a.ran == entry.Yes:
			return []any{true}
		}
		return []any{ran}
	},
}

// operate is one of two operators who race for the same row.
func (d *drill) operate(ctx context.Context, id int) {
	base := uint64(0)
	for n := 0; ctx.Err() == nil; n++ {
		call := time.Now()
		row := &table.Pool{Name: "contested", Place: "north", Kind: table.Service, Lookup: fmt.Sprintf("/%d-%d", id, n), Endpoints: []table.Endpoint{}}
		each, cancel := context.WithTimeout(context.WithoutCancel(ctx), 30*time.Second)
		rev, conflict, err := d.fleet.Race(each, "contested", base, row, fmt.Sprintf("race-%d-%d-%d", d.config.Seed, id, n))
		if err != nil {
			cancel()
			d.check(inForce, false, "operator %d got no answer: %v", id, err)
			return
		}
		d.noteRow(id, base, rev, !conflict, call)
		if !conflict && n%4 == 0 {
			accepted := time.Now()
			err := d.fleet.Await(each, rev)
			d.check(inForce, err == nil, "revision %d: %v", rev, err)
			d.mu.Lock()
			d.forces = append(d.forces, time.Since(accepted))
			d.mu.Unlock()
		}
		cancel()
		base = rev
		time.Sleep(20 * time.Millisecond)
	}
}

// rowOp is one change of the contested row.
type rowOp struct {
	base, version uint64
	ok            bool
}

func (d *drill) noteRow(id int, base, version uint64, ok bool, call time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rows = append(d.rows, porcupine.Operation{
		ClientId: id, Output: rowOp{base, version, ok}, Call: int64(call.Sub(d.began)), Return: int64(time.Since(d.began)),
	})
}

var rowModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, _, out any) (bool, any) {
		version, o := state.(uint64), out.(rowOp)
		if o.ok {
			return o.base == version && o.version > version, o.version
		}
		return o.base != version && o.version == version, version
	},
}

func (d *drill) judgeRows() {
	d.check(inForce, porcupine.CheckOperations(rowModel, d.rows), "the %d changes of the contested row are not linearizable", len(d.rows))
}

// watch looks at every process's revision again and again; it must never fall.
func (d *drill) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, name := range d.fleet.Names() {
			p := d.fleet.Proc(name)
			if p == nil {
				// A process without a disk begins anew.
				if d.fleet.Settings(name).Data == "" {
					d.revs[name] = 0
				}
				continue
			}
			rev := p.Rev()
			if d.fleet.Settings(name).Data != "" || d.revs[name] <= rev {
				d.check(inForce, rev >= d.revs[name], "%s went from revision %d to %d", name, d.revs[name], rev)
			}
			d.revs[name] = rev
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (d *drill) measures() {
	r := d.report
	r.First50, r.First95 = at(d.firsts, 0.5), at(d.firsts, 0.95)
	r.Gap95, r.Force95 = at(d.gaps, 0.95), at(d.forces, 0.95)
}

func at(times []time.Duration, share float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return float64(times[min(len(times)-1, int(float64(len(times))*share))].Microseconds()) / 1000
}
