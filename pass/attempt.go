package pass

import (
	"context"
	"io"
	"net/http"
	"time"

	"egretshunt/board"
	"egretshunt/event"
	"egretshunt/member"
)

// Outcomes of an attempt that did not answer the caller.
const (
	outNotSent = "not sent"
	outNotRun  = "not run"
	outMoved   = "another endpoint answers there"
	outWeights = "other weights"
	outLost    = "lost"
	outFailed  = "failed"
	outTimeout = "no answer in time"
	outLeft    = "caller left"
)

const (
	// fullTime is how long an endpoint that is full gets no more work, if it names no time.
	fullTime = 100 * time.Millisecond
	// maxWhole bounds an answer that is held until it is whole, in bytes.
	maxWhole = 256 << 10
)

// attempt asks one endpoint. It returns true if another attempt should follow.
func (e *Entry) attempt(ctx context.Context, j *job, c *choice, out *relay) (again bool, f *failure) {
	to := c.to
	sent := e.compose(j, c, out.last)
	e.config.Events.Emit(event.Placed, "id", j.call.ID, "route", j.route.Name, "endpoint", to.ID, "tried", len(j.tried), "urgency", c.level,
		"expected", c.first.Milliseconds(), "ahead", c.ahead, "compute", c.compute, "moved", c.moved, "weights", c.version)
	began := time.Now()
	out.first = func() { e.firstCame(j, c, time.Since(began), true) }
	out.came = func() { e.hear(to) }
	defer e.firstCame(j, c, 0, false)
	defer e.unload(j, c)
	reply, err := e.config.Backend.Send(ctx, sent)
	if err != nil {
		return e.unanswered(ctx, j, to, out, err, began)
	}
	defer reply.Body.Close()
	j.offered = true
	if reply.NotRun {
		return e.notRun(j, to, reply, out, sent)
	}
	j.runs++
	e.mu.Lock()
	e.seat(to).learn(j.call.Model, reply.Version, began)
	e.mu.Unlock()
	success := reply.Status >= 200 && reply.Status < 300
	if success && !reply.Signed {
		e.release(to, true, began)
		return e.again(j, to, out, outFailed, whyUnsigned, reply.Status)
	}
	if !success && (out.begun || j.route.Kind == board.Safe && reply.Status >= http.StatusInternalServerError && len(j.tried) < j.route.Attempts) {
		e.release(to, true, began)
		if e.mayRepeat(j.pool) {
			e.note(j, to, outFailed, "again", reply.Status)
			return true, nil
		}
		if out.begun {
			return false, e.broken(j, out)
		}
		return e.copyBack(ctx, j, to, reply, out, began, true)
	}
	return e.copyBack(ctx, j, to, reply, out, began, false)
}

// unload notes that an attempt takes up no memory any more.
func (e *Entry) unload(j *job, c *choice) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.seat(c.to)
	s.memory = max(s.memory-j.size(), 0)
}

// copyBack gives the answer to the caller.
func (e *Entry) copyBack(ctx context.Context, j *job, to *member.Endpoint, reply *Reply, out *relay, began time.Time, released bool) (bool, *failure) {
	err := out.copy(reply, &j.first)
	failed := err != nil || reply.Status >= http.StatusInternalServerError && j.route.Kind != board.Safe
	if !released {
		if ctx.Err() == context.Canceled || out.gone {
			e.leave(to)
		} else {
			e.release(to, failed, began)
		}
	}
	switch {
	case err == nil:
		e.served(j, to, reply)
		return false, nil
	case out.gone || ctx.Err() == context.Canceled:
		e.callerLeft(j, to, out)
		out.abort()
		return false, nil
	case ctx.Err() != nil:
		e.note(j, to, outTimeout, "end", reply.Status)
		if out.begun {
			return false, e.broken(j, out)
		}
		return false, j.giveUp(whyTimeout, 0)
	}
	return e.again(j, to, out, outLost, whyLost, reply.Status)
}

// again decides what follows an attempt that may have run.
func (e *Entry) again(j *job, to *member.Endpoint, out *relay, outcome, why string, status int) (bool, *failure) {
	if outcome == outLost {
		e.config.View.Broke(j.print())
	}
	if j.route.Repeatable() && j.runs < j.route.Attempts && e.mayRepeat(j.pool) {
		e.note(j, to, outcome, "again", status)
		return true, nil
	}
	e.note(j, to, outcome, "end", status)
	if out.begun {
		return false, e.broken(j, out)
	}
	return false, &failure{status: http.StatusBadGateway, why: why}
}

// unanswered follows an attempt that got no answer.
func (e *Entry) unanswered(ctx context.Context, j *job, to *member.Endpoint, out *relay, err error, began time.Time) (bool, *failure) {
	if isNotSent(err) {
		if ctx.Err() != nil {
			e.leave(to)
		} else {
			e.release(to, true, began)
		}
		e.note(j, to, outNotSent, "again", 0)
		if ctx.Err() == context.Canceled {
			e.callerLeft(j, to, out)
			return false, nil
		}
		return true, nil
	}
	j.runs++
	j.offered = true
	switch ctx.Err() {
	case context.Canceled:
		e.leave(to)
		e.callerLeft(j, to, out)
		if out.begun {
			out.abort()
		}
		return false, nil
	case context.DeadlineExceeded:
		e.release(to, true, began)
		e.note(j, to, outTimeout, "end", 0)
		if out.begun {
			return false, e.broken(j, out)
		}
		return false, &failure{status: http.StatusGatewayTimeout, why: whyTimeout}
	}
	e.release(to, true, began)
	return e.again(j, to, out, outLost, whyLost, 0)
}

// notRun follows an attempt that the endpoint says it has not run.
func (e *Entry) notRun(j *job, to *member.Endpoint, reply *Reply, out *relay, sent *Send) (bool, *failure) {
	// The body tells nothing; reading it keeps the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, maxWhole))
	now := time.Now()
	outcome := outNotRun
	e.mu.Lock()
	s := e.seat(to)
	s.flying--
	s.grade.Drop()
	switch {
	case reply.Status == http.StatusMisdirectedRequest && reply.Other == "":
		outcome = outWeights
		s.relearn(j.call.Model, sent.Version, reply.Version, e.config.View.View().Weights[j.call.Model].Version, now)
		// The endpoint itself is right; it may be asked for its new weights.
		j.tried = j.tried[:len(j.tried)-1]
	case reply.Status == http.StatusMisdirectedRequest:
		outcome = outMoved
		s.gone = true
	default:
		s.full = now.Add(max(min(reply.Wait, time.Second), fullTime))
	}
	e.mu.Unlock()
	if j.refusals++; j.refusals > maxRefusals || !e.mayRepeat(j.pool) {
		e.note(j, to, outcome, "end", reply.Status)
		if out.begun {
			return false, e.broken(j, out)
		}
		return false, j.giveUp(whyFull, max(reply.Wait, fullRetry))
	}
	e.note(j, to, outcome, "again", reply.Status)
	return true, nil
}

// maxRefusals bounds how often one request is offered on after an endpoint did not run it.
const maxRefusals = 2

// relearn corrects the belief in an endpoint's weights after it has refused a version.
func (s *seat) relearn(model string, asked, told, named uint64, now time.Time) {
	switch {
	case told > 0:
		s.learn(model, told, now)
	case named != asked && named > 0:
		s.learn(model, named, now)
	default:
		delete(s.versions, model)
	}
}

// release notes the end of an attempt and what became of it.
func (e *Entry) release(to *member.Endpoint, fail bool, began time.Time) {
	now := time.Now()
	e.mu.Lock()
	s := e.seat(to)
	s.flying--
	fit := s.grade.Fit(now)
	found := s.grade.Note(now, fail)
	back := !fit && s.grade.Fit(now)
	e.mu.Unlock()
	switch {
	case found:
		e.config.Events.Emit(event.Unfit, "endpoint", to.ID, "pool", to.Pool, "spent", now.Sub(began).Milliseconds())
	case back:
		e.config.Events.Emit(event.Fit, "endpoint", to.ID, "pool", to.Pool)
	}
}

// leave notes the end of an attempt that tells nothing of its endpoint.
func (e *Entry) leave(to *member.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.seat(to)
	s.flying--
	s.grade.Drop()
}

func (e *Entry) callerLeft(j *job, to *member.Endpoint, out *relay) {
	first := int64(-1)
	if !j.first.IsZero() {
		first = j.first.Sub(j.call.Arrived).Milliseconds()
	}
	e.config.Events.Emit(event.Left, "id", j.call.ID, "route", j.route.Name, "endpoint", to.ID, "took", time.Since(j.call.Arrived).Milliseconds(),
		"first", first, "last", out.last, "bytes", out.sent, "expected", j.expected.Milliseconds(), "urgency", j.level)
	e.meters.outcome(j.route.Name, "left")
}

func (e *Entry) note(j *job, to *member.Endpoint, outcome, next string, status int) {
	e.config.Events.Emit(event.Attempted, "id", j.call.ID, "route", j.route.Name, "pool", to.Pool, "endpoint", to.ID, "outcome", outcome,
		"status", status, "next", next, "tried", len(j.tried), "left", time.Until(j.deadline).Milliseconds())
	e.meters.attempt(to.Pool, outcome)
}

func (e *Entry) served(j *job, to *member.Endpoint, reply *Reply) {
	first := j.first.Sub(j.call.Arrived)
	e.config.Events.Emit(event.Served, "id", j.call.ID, "route", j.route.Name, "endpoint", to.ID, "status", reply.Status, "tried", len(j.tried),
		"first", first.Milliseconds(), "took", time.Since(j.call.Arrived).Milliseconds(), "fetched", j.fetched, "saved", j.saved, "weights", j.version, "urgency", j.level, "expected", j.expected.Milliseconds())
	e.meters.outcome(j.route.Name, "served")
	e.meters.first(j.route.Kind.String(), first)
	e.meters.predicted(j.route.Kind.String(), first, j.expected)
}
