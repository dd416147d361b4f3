package pass

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/board"
	"egretshunt/clock"
	"egretshunt/event"
	"egretshunt/route"
)

const (
	// staleRetry is when callers should come back while control can't be reached.
	staleRetry = 500 * time.Millisecond
	// fullRetry is when callers should come back if nothing better is known.
	fullRetry = 200 * time.Millisecond
	// awaitTime is how long a request waits for control's word at most, awaitStep how often it looks.
	awaitTime = time.Second
	awaitStep = 10 * time.Millisecond
	// catalogWait is how long after its first prompt an entry lets prompts wait for the catalogue;
	// the leader needs two calls to each store for it.
	catalogWait = 300 * time.Millisecond
	// leastLeft is the time below which an endpoint is not asked any more.
	leastLeft = 5 * time.Millisecond
	// answerMargin is how much before its time-out a request gets its final answer.
	answerMargin = 5 * time.Millisecond
)

// job is one request on its way.
type job struct {
	call    *Call
	set     *board.Set
	route   *board.Route
	pool    string
	account string
	// isolated accounts share no kept context.
	isolated bool
	rank     int
	deadline time.Time

	// tried holds the endpoints that were asked.
	tried []string
	// runs counts attempts that may have run.
	runs int
	// refusals counts endpoints that said they have not run it.
	refusals int
	// offered is set once an attempt has reached an endpoint.
	offered bool
	// first is when the first byte of the answer came; zero before.
	first time.Time
	// fetched and computed are the prompt's tokens by where they were expected.
	fetched, saved int
	version        uint64
	// level is the urgency given to the engine, expected the predicted time to the first token.
	level    int
	expected time.Duration
}

// Serve answers one call on w.
func (e *Entry) Serve(ctx context.Context, c *Call, w http.ResponseWriter) {
	e.open.Add(1)
	defer e.open.Add(-1)
	j, f := e.await(ctx, c)
	if f != nil {
		e.settle(j, f)
		f.write(w)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if f = e.dispatch(ctx, j, w); f != nil {
		e.settle(j, f)
		f.write(w)
	}
}

// await admits a call, waiting a little where only control's word is missing: after a
// restart, or while another control VM takes the lead, that comes within a second.
//
// It answers the pattern of all processes starting anew with callers already there.
func (e *Entry) await(ctx context.Context, c *Call) (*job, *failure) {
	until := c.Arrived.Add(awaitTime)
	if c.Wait > 0 {
		until = c.Arrived.Add(min(awaitTime, c.Wait/3))
	}
	for {
		j, f := e.admit(c)
		now := time.Now()
		waitsForControl := f != nil && (f.why == whyNoTables || f.why == whyStale) && now.Before(until)
		if !waitsForControl && (f != nil || !e.lacksCatalog(j, now)) {
			return j, f
		}
		select {
		case <-time.After(awaitStep):
		case <-ctx.Done():
			return j, f
		}
	}
}

// lacksCatalog reports whether a prompt should wait for the catalogue: an entry that has just
// started would otherwise have the engines compute all that stores hold.
func (e *Entry) lacksCatalog(j *job, now time.Time) bool {
	if !j.route.Prompts || len(j.call.Parts) == 0 || e.config.View.EngineClock(clock.Now()) > 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.firstPrompt.IsZero() {
		e.firstPrompt = now
	}
	return now.Sub(e.firstPrompt) < catalogWait
}

// admit finds what the tables say of a call.
func (e *Entry) admit(c *Call) (*job, *failure) {
	j := &job{call: c}
	if j.set = e.current(); j.set == nil || e.list() == nil {
		return j, refuse(whyNoTables, staleRetry)
	}
	fresh := e.config.View.Fresh()
	if j.route = j.set.Match(c.Host, c.Path); j.route == nil {
		if !fresh {
			return j, refuse(whyStale, staleRetry)
		}
		return j, &failure{status: http.StatusNotFound, why: whyNoRoute}
	}
	j.rank = j.route.Rank
	if j.set.Keyed && !j.route.Public {
		a := j.set.Account(c.Key)
		switch {
		case !fresh:
			// The key may have been withdrawn meanwhile.
			return j, refuse(whyStale, staleRetry)
		case a == nil:
			return j, &failure{status: http.StatusUnauthorized, why: whyKey}
		}
		j.account, j.isolated, j.rank = a.Name, a.Isolated, a.Rank.Or(j.route.Rank)
	}
	j.pool = j.route.Pick(route.Draw(c.ID))
	wait := j.route.Timeout
	if c.Wait > 0 && c.Wait < wait {
		wait = c.Wait
	}
	j.deadline = c.Arrived.Add(wait - answerMargin)
	e.mu.Lock()
	e.budget(j.pool).Request(time.Now())
	e.mu.Unlock()
	return j, nil
}

// dispatch makes attempts until one has answered; the failure, if any, is still to be written.
func (e *Entry) dispatch(ctx context.Context, j *job, w http.ResponseWriter) *failure {
	out := newRelay(w, j.route.Kind == board.Stream)
	for {
		if out.begun && ctx.Err() != nil {
			return e.broken(j, out)
		}
		to, f := e.next(j)
		if f != nil {
			if out.begun {
				return e.broken(j, out)
			}
			return f
		}
		next, f := e.attempt(ctx, j, to, out)
		if !next {
			return f
		}
	}
}

// next chooses where the request goes, unless it must go nowhere any more.
func (e *Entry) next(j *job) (*choice, *failure) {
	if left := e.config.View.Refuses(j.print); left > 0 {
		return nil, j.giveUp(whyCrashes, left)
	}
	return e.place(j)
}

// print names what the request asks for, the same at each entry and each time it comes.
func (j *job) print() string {
	h := sha256.New()
	for _, part := range []string{j.account, j.call.Method, j.call.Target} {
		fmt.Fprintf(h, "%d:%s,", len(part), part)
	}
	h.Write(j.call.Body)
	return hex.EncodeToString(h.Sum(nil)[:printBytes])
}

// printBytes is the length of a print before it is written as text: enough that two requests
// don't share one by chance.
const printBytes = 16

// broken ends an answer that has begun and can't be finished.
func (e *Entry) broken(j *job, out *relay) *failure {
	e.config.Events.Emit(event.Cut, "id", j.call.ID, "route", j.route.Name, "tried", len(j.tried), "last", out.last, "bytes", out.sent)
	e.meters.outcome(j.route.Name, "cut")
	out.abort()
	return nil
}

// settle logs and counts a request that ends by an answer of the entry's own.
func (e *Entry) settle(j *job, f *failure) {
	route := "none"
	if j.route != nil {
		route = j.route.Name
	}
	kind, outcome := event.Failed, "failed"
	switch {
	case f.notRun():
		kind, outcome = event.TurnedAway, "refused"
	case f.status < http.StatusInternalServerError:
		kind, outcome = event.Denied, "denied"
	}
	number := uint64(0)
	if j.set != nil {
		number = j.set.Number
	}
	e.config.Events.Emit(kind, "id", j.call.ID, "route", route, "pool", j.pool, "account", j.account, "status", f.status, "why", f.why,
		"set", number, "age", e.config.View.Age().Milliseconds(), "tried", len(j.tried), "ran", ranText(j),
		"took", time.Since(j.call.Arrived).Milliseconds(), "after", f.after.Milliseconds())
	e.meters.outcome(route, outcome)
	e.meters.refusal(f.why)
}

func ranText(j *job) string {
	if j.runs > 0 {
		return "unknown"
	}
	return "no"
}

// giveUp chooses the final answer of a request that no endpoint has answered.
func (j *job) giveUp(why string, after time.Duration) *failure {
	switch {
	case j.runs == 0:
		return refuse(why, after)
	case why == whyTimeout:
		return &failure{status: http.StatusGatewayTimeout, why: why}
	}
	return &failure{status: http.StatusBadGateway, why: why}
}

// isNotSent reports whether an attempt never reached its endpoint.
func isNotSent(err error) bool { return errorx.IsOfType(err, NotSent) }
