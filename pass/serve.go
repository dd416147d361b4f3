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
	// staleRetryAfter is when callers should come back while control can't be reached.
	staleRetryAfter = 500 * time.Millisecond
	// fullRetryAfter is when callers should come back if nothing better is known.
	fullRetryAfter = 200 * time.Millisecond
	// maxControlWait is how long a request waits for control's word at most, awaitStep how often it looks.
	maxControlWait      = time.Second
	controlPollInterval = 10 * time.Millisecond
	// maxCatalogWait is how long after its first prompt an entry lets prompts wait for the catalogue;
	// the leader needs two calls to each store for it.
	maxCatalogWait = 300 * time.Millisecond
	// minTimeLeft is the time below which an endpoint is not asked any more.
	minTimeLeft = 5 * time.Millisecond
	// responseMargin is how much before its time-out a request gets its final answer.
	responseMargin = 5 * time.Millisecond
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
	// possibleRuns counts attempts that may have run.
	possibleRuns int
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
	j, f := e.admitWhenReady(ctx, c)
	if f != nil {
		e.recordFailure(j, f)
		f.write(w)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if f = e.dispatch(ctx, j, w); f != nil {
		e.recordFailure(j, f)
		f.write(w)
	}
}

// admitWhenReady admits a call, waiting a little where only control's word is missing: after a
// restart, or while another control VM takes the lead, that comes within a second.
//
// It answers the pattern of all processes starting anew with callers already there.
func (e *Entry) admitWhenReady(ctx context.Context, c *Call) (*job, *failure) {
	until := c.Arrived.Add(maxControlWait)
	if c.Wait > 0 {
		until = c.Arrived.Add(min(maxControlWait, c.Wait/3))
	}
	for {
		j, f := e.admit(c)
		now := time.Now()
		waitsForControl := f != nil && (f.reason == reasonNoTables || f.reason == reasonStale) && now.Before(until)
		if !waitsForControl && (f != nil || !e.shouldAwaitCatalog(j, now)) {
			return j, f
		}
		select {
		case <-time.After(controlPollInterval):
		case <-ctx.Done():
			return j, f
		}
	}
}

// shouldAwaitCatalog reports whether a prompt should wait for the catalogue: an entry that has just
// started would otherwise have the engines compute all that stores hold.
func (e *Entry) shouldAwaitCatalog(j *job, now time.Time) bool {
	if !j.route.Prompts || len(j.call.Parts) == 0 || e.config.View.EngineClock(clock.Now()) > 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.firstPromptAt.IsZero() {
		e.firstPromptAt = now
	}
	return now.Sub(e.firstPromptAt) < maxCatalogWait
}

// admit finds what the tables say of a call.
func (e *Entry) admit(c *Call) (*job, *failure) {
	j := &job{call: c}
	if j.set = e.tableSet(); j.set == nil || e.list() == nil {
		return j, refuse(reasonNoTables, staleRetryAfter)
	}
	fresh := e.config.View.Fresh()
	if j.route = j.set.Match(c.Host, c.Path); j.route == nil {
		if !fresh {
			return j, refuse(reasonStale, staleRetryAfter)
		}
		return j, &failure{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	j.rank = j.route.Rank
	if j.set.Keyed && !j.route.Public {
		a := j.set.Account(c.Key)
		switch {
		case !fresh:
			// The key may have been withdrawn meanwhile.
			return j, refuse(reasonStale, staleRetryAfter)
		case a == nil:
			return j, &failure{status: http.StatusUnauthorized, reason: reasonKey}
		}
		j.account, j.isolated, j.rank = a.Name, a.Isolated, a.Rank.Or(j.route.Rank)
	}
	j.pool = j.route.Pick(route.Draw(c.ID))
	wait := j.route.Timeout
	if c.Wait > 0 && c.Wait < wait {
		wait = c.Wait
	}
	j.deadline = c.Arrived.Add(wait - responseMargin)
	e.mu.Lock()
	e.retryBudget(j.pool).Request(time.Now())
	e.mu.Unlock()
	return j, nil
}

// dispatch makes attempts until one has answered; the failure, if any, is still to be written.
func (e *Entry) dispatch(ctx context.Context, j *job, w http.ResponseWriter) *failure {
	out := newRelay(w, j.route.Kind == board.Stream)
	for {
		if out.headerSent && ctx.Err() != nil {
			return e.cutResponse(j, out)
		}
		c, f := e.next(j)
		if f != nil {
			if out.headerSent {
				return e.cutResponse(j, out)
			}
			return f
		}
		next, f := e.attempt(ctx, j, c, out)
		if !next {
			return f
		}
	}
}

// next chooses where the request goes, unless it must go nowhere any more.
func (e *Entry) next(j *job) (*placement, *failure) {
	if left := e.config.View.Refuses(j.print); left > 0 {
		return nil, j.finalFailure(reasonCrashes, left)
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
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// fingerprintBytes is the length of a print before it is written as text: enough that two requests
// don't share one by chance.
const fingerprintBytes = 16

// cutResponse ends an answer that has begun and can't be finished.
func (e *Entry) cutResponse(j *job, out *relay) *failure {
	e.config.Events.Emit(event.Cut, "id", j.call.ID, "route", j.route.Name, "tried", len(j.tried), "last", out.lastEventID, "bytes", out.sentBytes)
	e.meters.outcome(j.route.Name, "cut")
	out.abort()
	return nil
}

// recordFailure logs and counts a request that ends by an answer of the entry's own.
func (e *Entry) recordFailure(j *job, f *failure) {
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
	e.config.Events.Emit(kind, "id", j.call.ID, "route", route, "pool", j.pool, "account", j.account, "status", f.status, "why", f.reason,
		"set", number, "age", e.config.View.Age().Milliseconds(), "tried", len(j.tried), "ran", ranText(j),
		"took", time.Since(j.call.Arrived).Milliseconds(), "after", f.retryAfter.Milliseconds())
	e.meters.outcome(route, outcome)
	e.meters.refusal(f.reason)
}

func ranText(j *job) string {
	if j.possibleRuns > 0 {
		return "unknown"
	}
	return "no"
}

// finalFailure chooses the final answer of a request that no endpoint has answered.
func (j *job) finalFailure(reason string, retryAfter time.Duration) *failure {
	switch {
	case j.possibleRuns == 0:
		return refuse(reason, retryAfter)
	case reason == reasonTimeout:
		return &failure{status: http.StatusGatewayTimeout, reason: reason}
	}
	return &failure{status: http.StatusBadGateway, reason: reason}
}

// isNotSent reports whether an attempt never reached its endpoint.
func isNotSent(err error) bool { return errorx.IsOfType(err, NotSent) }
