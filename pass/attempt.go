package pass

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/board"
	"egretshunt/event"
	"egretshunt/member"
)

// Outcomes of an attempt that did not produce the client's response.
const (
	outcomeNotSent       = "not sent"
	outcomeWithheld      = "withheld"
	outcomeNotRun        = "not run"
	outcomeOtherEndpoint = "another endpoint answers there"
	outcomeOtherWeights  = "other weights"
	outcomeLost          = "lost"
	outcomeBrokenOff     = "broken off"
	outcomeFailed        = "failed"
	outcomeTimeout       = "no answer in time"
	outcomeClientClosed  = "caller left"
	outcomeNoRoom        = "no memory"
)

const (
	// minFullTime is the shortest time for which an endpoint that reported itself full gets no
	// requests. It applies if the endpoint sent no Retry-After time.
	minFullTime = 100 * time.Millisecond
	// maxBufferedBytes bounds a non-streaming response that is buffered until complete, in
	// bytes.
	maxBufferedBytes = 256 << 10
)

// attempt sends the request to one endpoint. It returns true if another attempt should follow.
func (e *Entry) attempt(ctx context.Context, j *job, c *placement, out *relay) (retry bool, f *failure) {
	to := c.to
	e.beginStream(j, to)
	send := e.newSend(j, c, out.lastEventID)
	watch := e.watchSilence(j, to)
	send.Silent = watch.isGivenUp
	send.Connected = func(took time.Duration) { e.recordConnect(to, took) }
	e.config.Events.Emit(event.Placed, "id", j.call.ID, "route", j.route.Name, "endpoint", to.ID, "tried", len(j.tried), "urgency", c.urgency,
		"expected", c.predictedFirstToken.Milliseconds(), "ahead", c.tokensAhead, "compute", c.computeTokens, "moved", c.fetchTokens, "weights", c.version,
		"required", j.required, "behind", c.behind.Milliseconds(), "build", to.Build, "resumes", j.call.Resumes, "away", string(c.away))
	e.meters.away(c.away)
	began := time.Now()
	out.first = func() { e.settleFirstToken(j, c, time.Since(began), true) }
	out.onData = func() {
		j.heardAt = time.Now()
		e.recordResponse(to)
	}
	j.attemptAt, j.heardAt, j.attemptBegun, j.attemptResumed, j.ending = began, began, false, false, nil
	out.begun = func() { e.recordBegun(j) }
	resumes := j.resumes() || out.lastEventID != ""
	out.onEvent = func() { j.attemptResumed = resumes }
	if j.isResumable() {
		out.bind = func() error { return e.bindStream(ctx, j) }
	}
	defer e.settleFirstToken(j, c, 0, false)
	defer e.releaseMemory(j, c)
	reply, err := e.send(ctx, j, send)
	j.givenUp = err != nil && watch.givenUp.Load()
	if err != nil {
		return e.handleSendError(ctx, j, to, out, err, began)
	}
	defer reply.Body.Close()
	j.mayHaveReached, j.heardAt, j.ending = true, time.Now(), reply.Ending
	e.recordRunning(to)
	e.recordRate(j, to, reply, began)
	if reply.Leaving {
		e.recordLeaving(to)
	}
	if reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests {
		e.recordFull(to, reply)
	}
	if reply.NotRun {
		return e.handleNotRun(j, to, reply, out, send)
	}
	j.possibleRuns++
	e.mu.Lock()
	e.endpointState(to).observeVersion(j.call.Model, reply.Version, began)
	e.mu.Unlock()
	success := reply.Status >= 200 && reply.Status < 300
	if success && !reply.Sealed {
		e.endAttempt(to, true, began)
		e.recordUnanswered(j, to)
		return e.retry(ctx, j, to, out, outcomeFailed, reasonUnsigned, reply.Status)
	}
	if out.headerSent && !out.continuesWith(reply) {
		e.endAttempt(to, true, began)
		return e.retry(ctx, j, to, out, outcomeFailed, reasonLost, reply.Status)
	}
	if !success && j.route.Kind == board.Idempotent && reply.Status >= http.StatusInternalServerError && len(j.tried) < j.route.Attempts {
		e.endAttempt(to, true, began)
		if e.allowRetry(j.pool) {
			e.recordAttempt(j, to, outcomeFailed, "again", reply.Status)
			return true, nil
		}
		return e.relayReply(ctx, j, to, reply, out, began, true)
	}
	return e.relayReply(ctx, j, to, reply, out, began, false)
}

// endOf returns why a request's context has ended; nil if it hasn't. The timer of a deadline that is over may not
// have fired yet: a response that is lost meanwhile is late, and shows nothing about its endpoint.
func endOf(ctx context.Context) error {
	if context.Cause(ctx) == errEnding {
		return context.DeadlineExceeded
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if at, ok := ctx.Deadline(); ok && !time.Now().Before(at) {
		return context.DeadlineExceeded
	}
	return nil
}

// releaseMemory releases the engine memory reserved for an attempt.
func (e *Entry) releaseMemory(j *job, c *placement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.endpointState(c.to)
	s.memoryTokens = max(s.memoryTokens-j.maxMemoryTokens(), 0)
}

// relayReply passes the response to the client. ended reports whether endAttempt was already
// called.
func (e *Entry) relayReply(ctx context.Context, j *job, to *member.Endpoint, reply *Reply, out *relay, began time.Time, ended bool) (bool, *failure) {
	err := out.copy(reply, &j.firstByteAt)
	failed := err != nil || reply.Status >= http.StatusInternalServerError && j.route.Kind != board.Idempotent
	if !ended {
		if endOf(ctx) == context.Canceled || out.clientGone || errorx.IsOfType(err, NoRoom) {
			e.endAttemptUnscored(to)
		} else {
			e.endAttempt(to, failed, began)
		}
	}
	switch {
	case err == nil:
		if reply.Status < http.StatusInternalServerError && !reply.UntilClose {
			e.recordSound(j.fingerprints())
		}
		e.recordServed(j, to, reply, out)
		return false, nil
	case out.clientGone || endOf(ctx) == context.Canceled:
		e.recordUnanswered(j, to)
		e.recordClientClosed(j, to, out)
		out.abort()
		return false, nil
	case endOf(ctx) != nil:
		e.recordUnanswered(j, to)
		e.recordAttempt(j, to, outcomeTimeout, "end", reply.Status)
		if out.headerSent {
			return false, e.cutResponse(j, out)
		}
		return false, j.finalFailure(reasonTimeout, 0)
	}
	if errorx.IsOfType(err, NoRoom) {
		// Another endpoint's response would have no more room.
		e.recordUnanswered(j, to)
		e.recordAttempt(j, to, outcomeNoRoom, "end", reply.Status)
		if out.headerSent {
			return false, e.cutResponse(j, out)
		}
		return false, &failure{status: http.StatusBadGateway, reason: reasonNoRoom}
	}
	outcome := outcomeLost
	if errorx.IsOfType(err, BrokenOff) {
		outcome = outcomeBrokenOff
	}
	return e.retry(ctx, j, to, out, outcome, reasonLost, reply.Status)
}

// retry decides whether another attempt follows one that may have run.
func (e *Entry) retry(ctx context.Context, j *job, to *member.Endpoint, out *relay, outcome, reason string, status int) (bool, *failure) {
	endangers := false
	if outcome == outcomeLost || outcome == outcomeBrokenOff {
		e.recordLost(to)
		endangers = e.recordBrokenRun(ctx, j, to) && !e.canLoseMore(j.pool, to, j.homes)
	}
	if out.isContinuable() && (j.givenUp || !endangers && j.route.Repeatable() && j.possibleRuns < j.route.Attempts && e.allowRetry(j.pool)) {
		e.recordAttempt(j, to, outcome, "again", status)
		return true, nil
	}
	e.recordAttempt(j, to, outcome, "end", status)
	if out.headerSent {
		return false, e.cutResponse(j, out)
	}
	return false, &failure{status: http.StatusBadGateway, reason: reason}
}

// handleSendError handles an attempt that returned no response.
func (e *Entry) handleSendError(ctx context.Context, j *job, to *member.Endpoint, out *relay, err error, began time.Time) (bool, *failure) {
	if errorx.IsOfType(err, Withheld) {
		return e.handleWithheld(ctx, j, to, out)
	}
	if errorx.IsOfType(err, Ended) {
		e.endAttemptUnscored(to)
		e.recordLost(to)
		// It may be tried again by a turn.
		j.tried = j.tried[:len(j.tried)-1]
		e.recordAttempt(j, to, outcomeNotSent, "again", 0)
		return true, nil
	}
	if isNotSent(err) {
		if endOf(ctx) != nil {
			e.endAttemptUnscored(to)
		} else {
			e.endAttempt(to, true, began)
			e.recordEnded(to)
		}
		if errorx.IsOfType(err, Refused) {
			e.recordRestart(to)
		}
		e.recordAttempt(j, to, outcomeNotSent, "again", 0)
		if endOf(ctx) == context.Canceled {
			e.recordClientClosed(j, to, out)
			return false, nil
		}
		return true, nil
	}
	j.possibleRuns++
	j.mayHaveReached = true
	if endOf(ctx) != nil {
		e.recordUnanswered(j, to)
	}
	switch endOf(ctx) {
	case context.Canceled:
		e.endAttemptUnscored(to)
		e.recordClientClosed(j, to, out)
		if out.headerSent {
			out.abort()
		}
		return false, nil
	case context.DeadlineExceeded:
		e.endAttempt(to, true, began)
		e.recordAttempt(j, to, outcomeTimeout, "end", 0)
		if out.headerSent {
			return false, e.cutResponse(j, out)
		}
		return false, &failure{status: http.StatusGatewayTimeout, reason: reasonTimeout}
	}
	e.endAttempt(to, true, began)
	return e.retry(ctx, j, to, out, outcomeLost, reasonLost, 0)
}

// handleNotRun handles a response by which the endpoint reports that it has not run the request.
func (e *Entry) handleNotRun(j *job, to *member.Endpoint, reply *Reply, out *relay, send *Send) (bool, *failure) {
	// The body carries no information; reading it allows the connection to be reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, maxBufferedBytes))
	now := time.Now()
	outcome := outcomeNotRun
	e.mu.Lock()
	s := e.endpointState(to)
	s.inFlight--
	s.health.RecordNoOutcome()
	switch {
	case reply.Status == http.StatusMisdirectedRequest && reply.OtherEndpoint == "":
		outcome = outcomeOtherWeights
		s.correctVersion(j.call.Model, send.Version, reply.Version, e.config.View.View().Weights[j.call.Model].Version, now)
		// The endpoint is the right one: it may be tried again with its new weights.
		j.tried = j.tried[:len(j.tried)-1]
	case reply.Status == http.StatusMisdirectedRequest:
		outcome = outcomeOtherEndpoint
		s.replaced = true
	}
	e.mu.Unlock()
	if j.refusals++; j.refusals > maxRefusals || !e.allowRetry(j.pool) {
		e.recordAttempt(j, to, outcome, "end", reply.Status)
		if out.headerSent {
			return false, e.cutResponse(j, out)
		}
		e.mu.Lock()
		wait := e.timeUntilFree(j, now)
		e.mu.Unlock()
		return false, j.finalFailure(reasonFull, wait)
	}
	e.recordAttempt(j, to, outcome, "again", reply.Status)
	return true, nil
}

// maxRefusals bounds how often one request is sent on after an endpoint did not run it.
const maxRefusals = 2

// correctVersion updates the expected weights of an endpoint after it has refused a version.
func (s *endpointState) correctVersion(model string, requested, reported, target uint64, now time.Time) {
	switch {
	case reported > 0:
		s.observeVersion(model, reported, now)
	case target != requested && target > 0:
		s.observeVersion(model, target, now)
	default:
		delete(s.versions, model)
	}
}

// endAttempt records the end of an attempt and its result for outlier detection.
func (e *Entry) endAttempt(to *member.Endpoint, failed bool, began time.Time) {
	now := time.Now()
	e.mu.Lock()
	s := e.endpointState(to)
	s.inFlight--
	healthy := s.health.Fit(now)
	ejected := s.health.RecordOutcome(now, failed)
	recovered := !healthy && s.health.Fit(now)
	e.mu.Unlock()
	switch {
	case ejected:
		e.config.Events.Emit(event.Unfit, "endpoint", to.ID, "pool", to.Pool, "spent", now.Sub(began).Milliseconds())
	case recovered:
		e.config.Events.Emit(event.Fit, "endpoint", to.ID, "pool", to.Pool)
	}
}

// endAttemptUnscored records the end of an attempt whose result says nothing about its endpoint.
func (e *Entry) endAttemptUnscored(to *member.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.endpointState(to)
	s.inFlight--
	s.health.RecordNoOutcome()
}

// recordClientLeft ends a request whose client has left between attempts.
func (e *Entry) recordClientLeft(j *job, out *relay) {
	e.recordClientClosed(j, &member.Endpoint{}, out)
	out.abort()
}

func (e *Entry) recordClientClosed(j *job, to *member.Endpoint, out *relay) {
	j.clientLeft = true
	why, first := "connection closed", int64(-1)
	switch {
	case out.clientGone && e.ending.Err() != nil:
		why = "the process ends"
	case out.clientGone:
		why = "write failed"
	}
	if !j.firstByteAt.IsZero() {
		first = j.firstByteAt.Sub(j.call.Arrived).Milliseconds()
	}
	e.config.Events.Emit(event.ClientClosed, "id", j.call.ID, "route", j.route.Name, "endpoint", to.ID, "why", why, "took", time.Since(j.call.Arrived).Milliseconds(),
		"first", first, "last", out.lastEventID, "bytes", out.sentBytes, "expected", j.predictedFirstToken.Milliseconds(), "urgency", j.urgency, "print", j.fingerprint())
	e.meters.outcome(j.route.Name, "left")
}

func (e *Entry) recordAttempt(j *job, to *member.Endpoint, outcome, next string, status int) {
	j.lastOutcome = outcome
	fingerprint, parts := "", ""
	switch outcome {
	case outcomeLost, outcomeBrokenOff, outcomeTimeout, outcomeFailed:
		fingerprint, parts = j.fingerprint(), partIDs(j.call.Shared())
	}
	e.config.Events.Emit(event.Attempted, "id", j.call.ID, "route", j.route.Name, "pool", to.Pool, "endpoint", to.ID, "outcome", outcome,
		"status", status, "next", next, "tried", len(j.tried), "left", time.Until(j.deadline).Milliseconds(), "print", fingerprint,
		"begun", !j.firstByteAt.IsZero(), "parts", parts, "end", j.ending)
	e.meters.attempt(to.Pool, outcome)
}

// maxLoggedParts bounds the parts of a prompt in one log line.
const maxLoggedParts = 8

// partIDs returns the IDs of parts, separated by commas.
func partIDs(parts []Part) string {
	ids := make([]string, 0, maxLoggedParts)
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, p.ID)
	}
	return strings.Join(ids, ",")
}

func (e *Entry) recordServed(j *job, to *member.Endpoint, reply *Reply, out *relay) {
	j.stream.completed = true
	first := j.firstByteAt.Sub(j.call.Arrived)
	e.config.Events.Emit(event.Served, "id", j.call.ID, "route", j.route.Name, "account", j.account, "set", j.tables.set.Number, "age", j.tables.age.Milliseconds(), "endpoint", to.ID, "status", reply.Status, "tried", len(j.tried),
		"first", first.Milliseconds(), "took", time.Since(j.call.Arrived).Milliseconds(), "fetched", j.fetched, "saved", j.saved, "weights", j.version, "urgency", j.urgency, "expected", j.predictedFirstToken.Milliseconds(),
		"unsized", reply.UntilClose, "rest", out.openBytes, "end", reply.Ending)
	e.recordFlow(j, to, out.sentBytes)
	e.meters.outcome(j.route.Name, "served")
	e.meters.first(j.route.Kind.String(), first)
	e.meters.predicted(j.route.Kind.String(), first, j.predictedFirstToken)
}
