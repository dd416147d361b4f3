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
	"egretshunt/conns"
	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/member"
)

const (
	// staleRetryAfter is the Retry-After time while control is unreachable.
	staleRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the Retry-After time of an entry that is being stopped: others can be asked at once.
	stoppingRetryAfter = 10 * time.Millisecond
	// fullRetryAfter is the Retry-After time if no better estimate is available.
	fullRetryAfter = 200 * time.Millisecond
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
		e.meters.expired(j.tables.expired)
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
