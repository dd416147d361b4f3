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
	"egretshunt/conns"
	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/route"
)

const (
	// staleRetryAfter is the Retry-After time while control is unreachable.
	staleRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the Retry-After time of an entry that is being stopped: others can be asked at once.
	stoppingRetryAfter = 10 * time.Millisecond
	// fullRetryAfter is the Retry-After time if no better estimate is available.
	fullRetryAfter = 200 * time.Millisecond
	// maxControlWait bounds how long a request waits for data from control; controlPollInterval
	// is how often it checks meanwhile.
	maxControlWait      = time.Second
	controlPollInterval = 10 * time.Millisecond
	// maxCatalogWait is how long after its first prompt an entry lets prompts wait for the
	// catalogue; the leader needs two calls to each store to build it.
	maxCatalogWait = 300 * time.Millisecond
	// minTimeLeft is the least time to the deadline with which an attempt is still made.
	minTimeLeft = 5 * time.Millisecond
	// responseMargin is how long before its timeout a request gets its final response.
	responseMargin = 5 * time.Millisecond
)

// job is the state of one request while it is served.
type job struct {
	call *Call
	// tables is the set that the request is judged by, as it was on admission.
	tables  tables
	route   *board.Route
	pool    string
	account string
	// isolated accounts share no prefix cache with others.
	isolated bool
	// homes are the regions that the request is bound to.
	homes    homes
	rank     int
	deadline time.Time

	// step is the stage but for stageBuffered and stageResponse, which stage tells.
	step string
	// clientLeft is set once the client has been found to have closed its connection.
	clientLeft bool
	// givenUp is set if the latest attempt was given up at a silent endpoint, and its retry is charged.
	givenUp bool
	// lastOutcome is how the last attempt that failed did so; "" if none has.
	lastOutcome string

	// tried holds the IDs of the endpoints already chosen.
	tried []string
	// possibleRuns counts attempts that may have run.
	possibleRuns int
	// refusals counts responses that reported the request as not run.
	refusals int
	// mayHaveReached is set once an attempt has reached an endpoint, or may have.
	mayHaveReached bool
	// attemptAt is when the current attempt was sent, heardAt when data of its response last arrived, or attemptAt;
	// attemptBegun is set once it has had output.
	attemptAt, heardAt time.Time
	attemptBegun       bool
	// attemptResumed is set once the current attempt has resumed a stream: an event followed those that the client has.
	attemptResumed bool
	// firstByteAt is when the first byte of the response arrived; zero before.
	firstByteAt time.Time
	// fetched and saved are the prompt tokens that the last attempt was to fetch and to save.
	fetched, saved int
	version        uint64
	// required is the oldest weights version that was allowed when the request was last to be placed; zero means any.
	required uint64
	// urgency is the urgency level sent to the engine, predictedFirstToken the predicted time to
	// first token.
	urgency             int
	predictedFirstToken time.Duration
	// ending is that of the latest response; nil if that has none.
	ending *Ending
	// stream is what a resumable stream is tied to.
	stream streamOrigin
	// contentHash is the fingerprint once it was needed.
	contentHash string
}

// Serve handles one client request and writes the response to w.
func (e *Entry) Serve(ctx context.Context, c *Call, w http.ResponseWriter) {
	e.open.Add(1)
	defer e.open.Add(-1)
	if !c.ArrivalKnown {
		// Before it was read, the request waited about as long as any work here.
		c.Arrived = c.Arrived.Add(-e.waitForProcessor())
	}
	j, out := &job{call: c, step: stageAdmission}, conns.NewResponse(w)
	defer func() { e.ensureAnswer(j, out, recover()) }()
	w = out
	ctx, end := e.untilEnd(ctx, out)
	defer end()
	j, f := e.admitWhenReady(ctx, c)
	if f != nil {
		e.recordFailure(j, f)
		f.write(w)
		return
	}
	if j.tables.expired != "" {
		e.config.Events.Emit(event.AdmittedExpired, "id", c.ID, "route", j.route.Name, "set", j.tables.set.Number, "age", j.tables.age.Milliseconds(), "why", j.tables.expired)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	defer e.endStream(j)
	if f = e.findOrigin(ctx, j); f == nil {
		f = e.dispatch(ctx, j, w)
	}
	if f != nil {
		e.recordFailure(j, f)
		f.write(w)
	}
}

// admitWhenReady admits a request. It waits briefly if only data from control is missing: after
// a restart, or while another control VM becomes leader, that data arrives within a second.
//
// This covers a simultaneous restart of all processes while clients keep sending requests.
func (e *Entry) admitWhenReady(ctx context.Context, c *Call) (*job, *failure) {
	until := c.Arrived.Add(maxControlWait)
	if c.ClientTimeout > 0 {
		until = c.Arrived.Add(min(maxControlWait, c.ClientTimeout/3))
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

// shouldAwaitCatalog reports whether a prompt should wait for the catalogue of cached parts.
// Without it, an entry that has just started would have the engines recompute everything that
// stores hold.
func (e *Entry) shouldAwaitCatalog(j *job, now time.Time) bool {
	if !j.route.NamesPromptParts || len(j.call.Parts) == 0 || e.config.View.EngineClock(clock.Now()) > 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.firstPromptAt.IsZero() {
		e.firstPromptAt = now
	}
	return now.Sub(e.firstPromptAt) < maxCatalogWait
}

// deadline returns when a request of a route must be answered.
func deadline(r *board.Route, c *Call) time.Time {
	wait := r.Timeout
	if c.ClientTimeout > 0 && c.ClientTimeout < wait {
		wait = c.ClientTimeout
	}
	return c.Arrived.Add(wait - responseMargin)
}

// Deadline returns when a request must be answered; it isn't known without a route.
func (e *Entry) Deadline(c *Call) (at time.Time, known bool) {
	set := e.tables().set
	if set == nil {
		return time.Time{}, false
	}
	r := set.Match(c.Host, c.Path)
	if r == nil {
		return time.Time{}, false
	}
	return deadline(r, c), true
}

// admit resolves the route, account, pool and deadline of a request from the table set.
func (e *Entry) admit(c *Call) (*job, *failure) {
	j := &job{call: c, step: stageAdmission}
	j.tables = e.tables()
	set, expired := j.tables.set, j.tables.expired
	switch {
	case set == nil && expired == reasonUnreadable:
		return j, refuse(expired, staleRetryAfter)
	case set == nil || e.list() == nil:
		return j, refuse(reasonNoTables, staleRetryAfter)
	case expired != "" && c.APIKey != "":
		// The key may have been revoked since the last update. A route that needs no key by these tables may need one now, or be
		// hidden by a newer one that does.
		return j, refuse(expired, staleRetryAfter)
	}
	// A newer table set may allow what this one doesn't.
	undecided := expired
	if undecided == "" && e.config.MaxDenialAge > 0 && j.tables.age > e.config.MaxDenialAge {
		undecided = reasonStale
	}
	j.route = set.Match(c.Host, c.Path)
	switch {
	case j.route == nil && undecided != "":
		return j, refuse(undecided, staleRetryAfter)
	case j.route == nil:
		return j, &failure{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	j.rank = j.route.Rank
	j.homes = homesOf(j.route, nil)
	if set.RequireKeys && !j.route.Public {
		a := set.Account(c.APIKey)
		switch {
		case a == nil && undecided != "":
			return j, refuse(undecided, staleRetryAfter)
		case a == nil:
			return j, &failure{status: http.StatusUnauthorized, reason: reasonKey}
		}
		j.account, j.isolated, j.rank = a.Name, a.Isolated, a.Rank.Or(j.route.Rank)
		j.homes = homesOf(j.route, a)
	}
	if j.homes.bound && len(j.homes.regions) == 0 {
		return j, refuse(reasonHomes, homesRetryAfter)
	}
	j.pool = j.route.Pick(route.UniformHash(j.originID()))
	j.deadline = deadline(j.route, c)
	if last := e.lastDeadline.Load(); last != nil && j.deadline.After(*last) {
		return j, refuse(reasonStopping, stoppingRetryAfter)
	}
	e.mu.Lock()
	e.retryBudget(j.pool).CountRequest(time.Now())
	e.mu.Unlock()
	return j, nil
}

// dispatch makes attempts until one has produced a response. A returned failure is still to be
// written.
func (e *Entry) dispatch(ctx context.Context, j *job, w http.ResponseWriter) *failure {
	out := newRelay(w, j.route.Kind == board.Stream, e.config.Budget)
	defer out.held.Release()
	out.held.Link(j.call.Held)
	for {
		j.step = stagePlacement
		if out.headerSent && endOf(ctx) != nil {
			return e.cutResponse(j, out)
		}
		if j.call.Left != nil && j.call.Left() {
			e.recordClientLeft(j, out)
			return nil
		}
		if context.Cause(ctx) == errEnding {
			return j.finalFailure(reasonTimeout, fullRetryAfter)
		}
		c, f := e.next(ctx, j)
		if f != nil {
			if out.headerSent {
				return e.cutResponse(j, out)
			}
			return f
		}
		j.step = stageSent
		next, f := e.attempt(ctx, j, c, out)
		if !next {
			return f
		}
	}
}

// next chooses the endpoint of the next attempt, unless the request is rejected because it
// crashes endpoints.
func (e *Entry) next(ctx context.Context, j *job) (*placement, *failure) {
	for _, fingerprint := range append(j.fingerprints(), j.partFingerprints()...) {
		switch left := e.config.View.RejectedFor(fingerprint); left {
		case 0:
		case limit.UncountedRetryAfter:
			return nil, j.finalFailure(reasonUncounted, left)
		default:
			return nil, j.finalFailure(reasonCrashes, left)
		}
	}
	if e.endangersPool(j) {
		return nil, j.finalFailure(reasonLastEndpoint, limit.MinRestartTime)
	}
	for permitted := false; ; permitted = true {
		c, f, limited := e.place(j, permitted)
		if !limited {
			return c, f
		}
		if f := e.awaitPermit(ctx, j); f != nil {
			return nil, f
		}
	}
}

// fingerprints returns functions for the fingerprints under which crashes of this request count: of
// what is requested, and then the same without its query. A request that crashes endpoints may come again
// with another query, and may come beside others that differ from it only in the query: their
// completed runs clear the second count, not the first.
func (j *job) fingerprints() []func() string {
	if j.call.Target == j.call.Path {
		return []func() string{j.fingerprint}
	}
	return []func() string{j.fingerprint, func() string { return j.hashContent(j.call.Path) }}
}

// fingerprint returns the fingerprint of what is requested. It is the same at each entry and for
// each repetition.
func (j *job) fingerprint() string {
	if j.contentHash == "" {
		j.contentHash = j.hashContent(j.call.Target)
	}
	return j.contentHash
}

// partFingerprints returns functions for the fingerprints of the prompt's parts that other requests may share,
// under which crashes count that requests of which no two are alike cause by one part.
func (j *job) partFingerprints() []func() string {
	shared := j.call.Shared()
	prints := make([]func() string, 0, len(shared))
	for _, p := range shared[:min(len(shared), maxTrackedParts)] {
		prints = append(prints, func() string { return hashFields([]string{"part", j.call.Model, p.ID}, nil) })
	}
	return prints
}

// maxTrackedParts bounds the parts of one prompt to which crashes are attributed.
const maxTrackedParts = 32

// crashReports returns the reports that an endpoint ended under the current attempt. Prompts whose response
// had begun tell nothing of their parts: a part that crashes endpoints does so before.
func (j *job) crashReports(to *member.Endpoint, now time.Time) []limit.CrashReport {
	var reports []limit.CrashReport
	for i, fingerprint := range j.fingerprints() {
		reports = append(reports, limit.CrashReport{Fingerprint: fingerprint(), Endpoint: to.ID, Born: to.Born, Wide: i > 0, Resumed: j.attemptResumed, Age: now.Sub(j.attemptAt)})
	}
	if j.attemptBegun {
		return reports
	}
	for _, fingerprint := range j.partFingerprints() {
		reports = append(reports, limit.CrashReport{Fingerprint: fingerprint(), Endpoint: to.ID, Born: to.Born, Part: true, Age: now.Sub(j.attemptAt)})
	}
	return reports
}

// hashContent returns the fingerprint of the request with the given target.
func (j *job) hashContent(target string) string {
	return hashFields([]string{j.account, j.call.Method, target}, j.call.Body)
}

// hashFields returns the fingerprint of some fields and a body.
func hashFields(fields []string, body []byte) string {
	h := sha256.New()
	for _, f := range fields {
		fmt.Fprintf(h, "%d:%s,", len(f), f)
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// fingerprintBytes is the length of a fingerprint before hex encoding, long enough that two
// requests don't collide by chance.
const fingerprintBytes = 16

// cutResponse aborts a response that has begun and can't be completed.
func (e *Entry) cutResponse(j *job, out *relay) *failure {
	e.config.Events.Emit(event.ResponseCut, "id", j.call.ID, "route", j.route.Name, "tried", len(j.tried), "last", out.lastEventID, "bytes", out.sentBytes,
		"outcome", j.lastOutcome, "left", time.Until(j.deadline).Milliseconds())
	e.meters.outcome(j.route.Name, "cut")
	out.abort()
	return nil
}

// recordFailure logs and counts a request that ends with a response of the entry's own.
func (e *Entry) recordFailure(j *job, f *failure) {
	route := "none"
	if j.route != nil {
		route = j.route.Name
	}
	kind, outcome := event.RequestFailed, "failed"
	switch {
	case f.notRun():
		kind, outcome = event.RequestRejected, "refused"
	case f.status < http.StatusInternalServerError:
		kind, outcome = event.RequestDenied, "denied"
	}
	number := uint64(0)
	if j.tables.set != nil {
		number = j.tables.set.Number
	}
	e.config.Events.Emit(kind, "id", j.call.ID, "route", route, "pool", j.pool, "account", j.account, "status", f.status, "why", f.reason, "required", j.required,
		"set", number, "age", e.config.View.Age().Milliseconds(), "tried", len(j.tried), "ran", ranText(j),
		"took", time.Since(j.call.Arrived).Milliseconds(), "after", f.retryAfter.Milliseconds(), "resumes", j.call.Resumes, "build", j.stream.build.Or(""))
	e.meters.outcome(route, outcome)
	e.meters.refusal(f.reason)
}

func ranText(j *job) string {
	if j.possibleRuns > 0 {
		return "unknown"
	}
	return "no"
}

// finalFailure returns the final response to a request for which no endpoint has produced one.
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
