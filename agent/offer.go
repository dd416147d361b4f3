package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/body"
	"egretshunt/clock"
	"egretshunt/event"
	"egretshunt/ledger"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/table"
	"egretshunt/wire"
)

// Values of Refuse.Ran: whether the request ran.
const (
	ranNo      = "no"
	ranYes     = "yes"
	ranUnknown = "unknown"
)

// Values of Refuse.Code.
const (
	codeDraining    = "leaving"
	codeNotAllowed  = "unlawful"
	codeStale       = "stale"
	codeBusy        = "busy"
	codeLoading     = "loading"
	codeDown        = "down"
	codeCrash       = "crash"
	codeIncarnation = "boot"
	codeRevoked     = "revoked"
	codeDuplicate   = "repeated"
	codeQuarantined = "suspect"
	codeGone        = "gone"
	codeEvacuated   = "evacuated"
	codeBroken      = "broken"
	codeTimeout     = "late"
	codeCancel      = "cancelled"
)

// callerKeyPrefix marks an idempotency key chosen by the client; the endpoint knows the key
// without the prefix.
const callerKeyPrefix = "k:"

// catchUpTimeout bounds the wait for tables as new as the entry's.
const catchUpTimeout = 300 * time.Millisecond

func newRefuse(code, ran, text string) *wire.Refuse {
	return &wire.Refuse{Code: code, Ran: ran, Text: text}
}

// serveOffer checks and queues one request, runs it and relays the response.
func (a *Agent) serveOffer(ctx context.Context, s *wire.Stream, o *wire.Offer, rev uint64) {
	deadline := time.Now().Add(time.Duration(o.GetBudgetMs()) * time.Millisecond)
	hold, r := a.holdOffer(o)
	if r == nil {
		r = a.admit(ctx, o, rev)
	}
	if r != nil {
		hold.Release()
		a.sendRefuse(s, r)
		return
	}
	runCtx, cancel := context.WithDeadline(a.ctx, deadline)
	x := newExchange(o, cancel)
	gone := make(chan struct{})
	a.tasks.Go(func() { a.watchCaller(s, x, gone) })
	if r := a.waitAndAccept(runCtx, gone, o, x, deadline); r != nil {
		cancel()
		hold.Release()
		a.sendRefuse(s, r)
		return
	}
	a.mu.Lock()
	a.exchanges[x.id] = x
	a.mu.Unlock()
	a.Accepted.Add(1)
	if o.GetOnce() && s.Send(&wire.Frame{Body: &wire.Frame_Accept{Accept: &wire.Accept{Boot: a.incarnation}}}) != nil {
		// The entry is gone and nothing has been sent to the endpoint, so the acceptance is undone.
		a.attempts.undo(keyOf(o), o.GetAttempt())
		a.slots.freeSlot(x.tokens, false)
		x.fail(newRefuse(codeCancel, ranNo, "the entry went away before the request was accepted"))
		cancel()
		hold.Release()
		return
	}
	a.tasks.Go(func() {
		defer cancel()
		defer hold.Release()
		a.run(runCtx, o, x)
	})
	a.relay(ctx, s, x, 0)
}

func keyOf(o *wire.Offer) ledger.Key { return ledger.Key{Account: o.GetAccount(), Key: o.GetKey()} }

func (a *Agent) sendRefuse(s *wire.Stream, r *wire.Refuse) {
	a.Rejected.Add(1)
	tokens, _, _ := a.slots.load()
	r.Queue, r.Boot = uint64(tokens), a.incarnation
	// A send error is ignored: the entry is gone.
	_ = s.Send(&wire.Frame{Body: &wire.Frame_Refuse{Refuse: r}})
}

// admit checks the offer against the agent's own state; nil means it may be queued.
func (a *Agent) admit(ctx context.Context, o *wire.Offer, rev uint64) *wire.Refuse {
	if a.draining.Load() {
		return newRefuse(codeDraining, ranNo, "the endpoint leaves")
	}
	if o.GetBoot() != "" && o.GetBoot() != a.incarnation {
		return newRefuse(codeIncarnation, ranNo, "the offer was meant for an earlier incarnation of the agent")
	}
	if o.GetOnce() && (o.GetBoot() == "" || o.GetKey() == "" && o.GetAttempt() != 0) {
		return newRefuse(codeNotAllowed, ranNo, "non-idempotent work must name the agent's incarnation")
	}
	a.catchUp(ctx, rev)
	if r := a.checkTables(o); r != nil {
		return r
	}
	if r := a.checkReady(); r != nil {
		return r
	}
	if r := a.checkQuarantine(o); r != nil {
		return r
	}
	tokensAhead := a.slots.tokensAhead(o.GetAccount(), o.GetClass())
	wait := time.Duration((tokensAhead + float64(o.GetSize())) / a.prefillRate() * float64(time.Second))
	_, _, waiting := a.slots.load()
	wait = max(wait, a.pace.waitFor(waiting))
	if budget := time.Duration(o.GetBudgetMs()) * time.Millisecond; wait > budget {
		r := newRefuse(codeBusy, ranNo, "the expected wait is longer than the request may take")
		r.RetryMs = uint32((wait - budget).Milliseconds()) + 1
		return r
	}
	return nil
}

// catchUp waits up to catchUpTimeout for tables as new as the entry's.
func (a *Agent) catchUp(ctx context.Context, rev uint64) {
	f := a.config.Follower
	if f == nil {
		return
	}
	timer := time.NewTimer(catchUpTimeout)
	defer timer.Stop()
	for f.Rev() < rev {
		changed := f.Changed()
		if f.Rev() >= rev {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// checkTables rejects an offer that the agent's own tables don't allow.
func (a *Agent) checkTables(o *wire.Offer) *wire.Refuse {
	if a.config.Follower == nil {
		return nil
	}
	t, fresh := a.config.Follower.Snapshot()
	r, ok := t.Find(o.GetAccount(), o.GetTarget())
	if !ok || r.Name != o.GetRoute() || !slices.Contains(r.Pools, a.config.Pool) {
		return newRefuse(codeNotAllowed, ranNo, "no route leads this account here")
	}
	if !fresh && r.Stale != table.StaleServe {
		return newRefuse(codeStale, ranNo, "the agent's tables may be out of date")
	}
	p, ok := t.Pools[a.config.Pool]
	if !ok {
		return newRefuse(codeNotAllowed, ranNo, "the pool is gone")
	}
	e, ok := p.Endpoint(a.config.Endpoint)
	if !ok {
		return newRefuse(codeNotAllowed, ranNo, "the endpoint is not in the pool")
	}
	if p.Drain || e.Drain || a.config.Follower.View().IsLeaving(e.Name) {
		return newRefuse(codeDraining, ranNo, "the endpoint is drained")
	}
	if a.config.Follower.View().IsEvacuated(p.Place) {
		return newRefuse(codeEvacuated, ranNo, "the data centre is evacuated")
	}
	return nil
}

// checkReady rejects requests while the endpoint is down or loads weights.
func (a *Agent) checkReady() *wire.Refuse {
	a.engine.Lock()
	defer a.engine.Unlock()
	switch {
	case !a.responding:
		return newRefuse(codeDown, ranNo, "the endpoint does not answer")
	case a.loading != "":
		return newRefuse(codeLoading, ranNo, "the endpoint loads weights")
	}
	return nil
}

// checkQuarantine rejects a request that may only run isolated, or not at all, unless it was
// offered as an isolated run.
func (a *Agent) checkQuarantine(o *wire.Offer) *wire.Refuse {
	if a.config.Follower == nil || o.GetAlone() {
		return nil
	}
	suspects := a.config.Follower.View().Suspects
	verdict, _ := suspects.Check(o.GetAccount(), suspects.PrintOf(o.GetAccount(), o.GetPrint(), o.GetParts(), time.Now()), time.Now())
	if verdict == limit.Run {
		return nil
	}
	return newRefuse(codeQuarantined, ranNo, "the request was in flight when an endpoint crashed")
}

// waitAndAccept waits for a slot and records the acceptance. If it returns a rejection, nothing
// has run.
func (a *Agent) waitAndAccept(ctx context.Context, gone <-chan struct{}, o *wire.Offer, x *exchange, deadline time.Time) *wire.Refuse {
	wait, stop := context.WithCancel(ctx)
	defer stop()
	a.tasks.Go(func() {
		select {
		case <-gone:
			stop()
		case <-wait.Done():
		}
	})
	if !a.slots.acquire(wait, o.GetAccount(), o.GetClass(), x.tokens, deadline, o.GetAlone()) {
		return newRefuse(codeBusy, ranNo, "the request got no turn in time")
	}
	// The tables and the endpoint may have changed while the request was queued.
	r := a.checkTables(o)
	if r == nil {
		r = a.checkReady()
	}
	if r == nil && o.GetOnce() && o.GetKey() != "" {
		r = a.acceptAttempt(o, x)
	}
	if r != nil {
		a.slots.freeSlot(x.tokens, false)
	}
	return r
}

func (a *Agent) acceptAttempt(o *wire.Offer, x *exchange) *wire.Refuse {
	ok, repeated := a.attempts.accept(keyOf(o), o.GetAttempt(), x, time.Now())
	switch {
	case repeated:
		a.Duplicates.Add(1)
		return newRefuse(codeDuplicate, ranUnknown, "this attempt was accepted before")
	case !ok:
		a.Revoked.Add(1)
		return newRefuse(codeRevoked, ranNo, "this attempt was revoked")
	}
	return nil
}

// watchCaller reads the stream until it ends, then closes gone, which ends the wait for a slot.
// If the entry reports that the client closed the connection, it cancels the request unless it
// is non-idempotent; a lost stream doesn't cancel a running request.
func (a *Agent) watchCaller(s *wire.Stream, x *exchange, gone chan struct{}) {
	defer close(gone)
	for {
		f, err := s.Recv()
		if err != nil {
			return
		}
		if f.GetCancel() != nil && !x.atMostOnce {
			x.fail(newRefuse(codeCancel, ranUnknown, "the caller went away"))
			x.cancel()
			return
		}
	}
}

// relay sends the response from offset on.
func (a *Agent) relay(ctx context.Context, s *wire.Stream, x *exchange, offset uint64) {
	x.attach()
	defer func() { x.detach(time.Now()) }()
	headSent := offset > 0
	for {
		frames := x.waitFrames(ctx, offset, headSent)
		if len(frames) == 0 || s.Send(frames...) != nil {
			return
		}
		for _, f := range frames {
			switch body := f.GetBody().(type) {
			case *wire.Frame_Head:
				headSent = true
			case *wire.Frame_Piece:
				offset += uint64(len(body.Piece.GetData()))
			default:
				return
			}
		}
	}
}

// serveResume continues a response whose stream was lost.
func (a *Agent) serveResume(ctx context.Context, s *wire.Stream, r *wire.Resume) {
	a.mu.Lock()
	x, ok := a.exchanges[r.GetId()]
	a.mu.Unlock()
	if !ok {
		a.sendRefuse(s, newRefuse(codeGone, ranUnknown, "the answer is not kept here"))
		return
	}
	a.Resumed.Add(1)
	a.config.Events.Emit(event.Resumed, "id", r.GetId(), "offset", r.GetOffset())
	a.tasks.Go(func() { a.watchCaller(s, x, make(chan struct{})) })
	a.relay(ctx, s, x, r.GetOffset())
}

// run sends the request to the endpoint and copies the response into the exchange.
func (a *Agent) run(ctx context.Context, o *wire.Offer, x *exchange) {
	began := time.Now()
	answered := false
	defer func() { a.slots.freeSlot(x.tokens, answered) }()
	call := a.callOf(o)
	if a.config.Kind != table.Model {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, a.config.CallTimeout)
		defer stop()
	}
	x.markSent(began)
	sentAt := clock.Now()
	reply, use, err := a.begin(ctx, o, call)
	if err != nil {
		x.fail(a.classifyFailure(ctx, o, x, err))
		return
	}
	defer reply.Body.Close()
	a.pace.observe(reply.Headers, sentAt, clock.Now())
	answered = true
	a.slots.answered(x.tokens)
	a.updatePrefillRate(use.computed, time.Since(began))
	x.begin(reply)
	if err := a.copyBody(ctx, x, reply); err != nil {
		x.fail(a.classifyFailure(ctx, o, x, err))
		return
	}
	tokens, _, _ := a.slots.load()
	x.finish(&wire.End{
		Reused: uint32(use.reused), Fetched: uint32(use.fetched), Computed: uint32(use.computed),
		Queue: uint64(tokens), Version: use.version,
	})
	if o.GetAlone() {
		a.clear(o)
	}
	a.queueSave(o, use)
}

func (a *Agent) callOf(o *wire.Offer) Call {
	c := Call{
		ID: o.GetId(), Account: o.GetAccount(), Method: o.GetMethod(), Path: o.GetPath(), Body: o.GetBody(),
		Urgency: o.GetClass(), AtMostOnce: o.GetOnce(), Headers: http.Header{},
	}
	for _, h := range o.GetHeaders() {
		c.Headers.Add(h.GetName(), h.GetValue())
	}
	return c
}

func (a *Agent) copyBody(ctx context.Context, x *exchange, reply *Response) error {
	buf := make([]byte, maxPieceBytes)
	total := int64(0)
	tracker := body.NewTracker(reply.Headers.Get("Content-Type"), reply.UntilClose)
	source := io.TeeReader(reply.Body, tracker)
	for {
		n, err := source.Read(buf)
		total += int64(n)
		if n > 0 && total == int64(n) {
			a.clearParts(x.parts)
		}
		if n > 0 {
			if werr := x.write(ctx, buf[:n], total == reply.Length); werr != nil {
				return werr
			}
		}
		switch {
		case err == nil:
		case !errors.Is(err, io.EOF):
			return Interrupted.Wrap(err, "read response body")
		case tracker.Open():
			return Interrupted.New("the body ends after %d bytes, which aren't all of it", total)
		case reply.UntilClose && !a.outlives(ctx):
			return Interrupted.New("the endpoint isn't known to run since its response ended, after %d bytes", total)
		default:
			return nil
		}
	}
}

const (
	// endCheckTime bounds one check whether an endpoint has ended, endProofTime all of them, endCheckPause is the pause between two; the
	// end of a response waits for them, and before that for at most endProofTime until the endpoint takes more of the request.
	endCheckTime  = 200 * time.Millisecond
	endProofTime  = time.Second
	endCheckPause = 10 * time.Millisecond
)

// outlives reports whether the endpoint's process is known to run after the end of a response without length and chunks.
func (a *Agent) outlives(ctx context.Context) bool {
	began := time.Now()
	life := a.lifeOf(ctx)
	for life == member.Unknown && ctx.Err() == nil && time.Since(began) < endProofTime {
		time.Sleep(endCheckPause)
		life = a.lifeOf(ctx)
	}
	return life == member.Running
}

// lifeOf asks the endpoint whether its process still runs.
func (a *Agent) lifeOf(ctx context.Context) member.Life {
	ctx, cancel := context.WithTimeout(ctx, endCheckTime)
	defer cancel()
	a.engine.Lock()
	before := a.health.Incarnation
	a.engine.Unlock()
	now, err := a.config.Backend.Health(ctx)
	switch {
	case errorx.IsOfType(err, Unreachable) || err == nil && before != "" && now.Incarnation != before:
		return member.Ended
	case err == nil:
		return member.Running
	}
	return member.Unknown
}

// classifyFailure turns a failed run into a rejection for the entry, and reports a crash to
// control.
func (a *Agent) classifyFailure(ctx context.Context, o *wire.Offer, x *exchange, err error) *wire.Refuse {
	if errorx.IsOfType(err, Unreachable) {
		if o.GetOnce() && o.GetKey() != "" {
			a.attempts.undo(keyOf(o), o.GetAttempt())
		}
		return newRefuse(codeDown, ranNo, "the endpoint could not be reached")
	}
	if ctx.Err() != nil {
		return newRefuse(codeTimeout, ranUnknown, "the request took longer than it may, or its caller went away")
	}
	if a.checkCrash(ctx, x) {
		return newRefuse(codeCrash, ranUnknown, "the endpoint crashed while it ran the request")
	}
	return newRefuse(codeBroken, ranUnknown, "the endpoint broke off its answer")
}

// serveRevoke sends the outcome of an attempt and keeps it from starting if it hasn't.
func (a *Agent) serveRevoke(ctx context.Context, s *wire.Stream, r *wire.Revoke) {
	v := a.verdictFor(ctx, r)
	_ = s.Send(&wire.Frame{Body: &wire.Frame_Verdict{Verdict: v}})
}

func (a *Agent) verdictFor(ctx context.Context, r *wire.Revoke) *wire.Verdict {
	k := ledger.Key{Account: r.GetAccount(), Key: r.GetKey()}
	if r.GetBoot() == a.incarnation {
		v := a.attempts.outcome(k, r.GetAttempt(), time.Now())
		if v.GetState() != verdictLost {
			return v
		}
	}
	return a.lookUpOutcome(ctx, k)
}

// lookUpOutcome requests the outcome from the service, if its pool has a lookup path.
func (a *Agent) lookUpOutcome(ctx context.Context, k ledger.Key) *wire.Verdict {
	lost := &wire.Verdict{State: verdictLost}
	finder, ok := a.config.Backend.(OutcomeFinder)
	p, known := a.tables().Pools[a.config.Pool]
	key, named := strings.CutPrefix(k.Key, callerKeyPrefix)
	if !ok || !known || p.Lookup == "" || !named {
		return lost
	}
	ctx, cancel := context.WithTimeout(ctx, a.config.CallTimeout)
	defer cancel()
	ran, reply, err := finder.Outcome(ctx, strings.ReplaceAll(p.Lookup, "KEY", url.PathEscape(key)))
	if err != nil {
		return lost
	}
	if !ran {
		// A call sent by the previous incarnation may still be running in the service.
		if time.Since(a.started) < a.config.CallTimeout {
			return lost
		}
		return &wire.Verdict{State: verdictNever}
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(io.LimitReader(reply.Body, readAheadBytes))
	if err != nil || reply.UntilClose && !a.outlives(ctx) {
		return lost
	}
	return &wire.Verdict{State: verdictDone, Head: &wire.Head{Status: uint32(reply.Status)}, Body: data}
}

func isNotFound(err error) bool { return errorx.IsOfType(err, NotFound) }
