package entry

import (
	"context"
	"errors"
	"hash/crc32"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/ctrl"
	"egretshunt/event"
	"egretshunt/ledger"
	"egretshunt/route"
	"egretshunt/value"
	"egretshunt/wire"
)

const (
	// callerKeyPrefix and ownKey begin the keys that agents see, so that a caller's key
	// never equals one that an entry made.
	callerKeyPrefix = "k:"
	entryKeyPrefix  = "i:"
	// claimSlack is added to a request's time until its claim may be taken over.
	claimSlack = 5 * time.Second
	// minClaimPoll and maxLook bound the pauses between two looks at a claim in progress.
	minClaimPoll = 20 * time.Millisecond
	maxClaimPoll = 500 * time.Millisecond
	// verdictTimeout bounds one question to an agent.
	verdictTimeout = 2 * time.Second
)

func updateChecksum(sum uint32, p []byte) uint32 { return crc32.Update(sum, crc32.IEEETable, p) }

// runAtMostOnce serves a request that must not run twice.
func (e *Entry) runAtMostOnce(ctx context.Context, j *job, out *responseSink) *Failure {
	out.stream = false
	if f := e.checkQuarantine(ctx, j, false); f != nil {
		return f
	}
	c := &claimRun{e: e, j: j, out: out, tried: value.Set[string]{}}
	target, incarnation, f := c.nextTarget(ctx)
	if f != nil {
		return f
	}
	if j.idempotencyKey == "" {
		c.attempt = attempt{key: entryKeyPrefix + j.id, number: 1, incarnation: incarnation}
		return c.dispatch(ctx, target)
	}
	return c.acquire(ctx, target, incarnation)
}

// claimRun drives one non-idempotent request.
type claimRun struct {
	e       *Entry
	j       *job
	out     *responseSink
	tried   value.Set[string]
	attempt attempt
	tries   int
}

// nextTarget picks an endpoint whose agent's incarnation is known.
func (c *claimRun) nextTarget(ctx context.Context) (route.Target, string, *Failure) {
	for {
		target, choice, ok := c.e.pickEndpoint(c.j, c.tried)
		if !ok {
			return target, "", newFailure(http.StatusServiceUnavailable, CodeNoEndpoint, c.j.ran, "no endpoint of the route takes work now").withRetryAfter(time.Second)
		}
		if f := c.e.checkDeadline(c.j, choice); f != nil {
			return target, "", f
		}
		c.tried.Add(target.Name)
		if incarnation, ok := c.e.endpoints.stateOf(target).incarnation(ctx); ok {
			return target, incarnation, nil
		}
	}
}

// proposeClaim asks the ledger for one step of this request's claim.
func (c *claimRun) proposeClaim(ctx context.Context, op string, target route.Target, incarnation string, response *ledger.Answer) (ledger.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	now := time.Now()
	r, err := c.e.config.Control.Propose(ctx, ctrl.Command{Claim: &ledger.Command{Op: op, Claim: ledger.Claim{
		Key: ledger.Key{Account: c.j.account, Key: c.j.idempotencyKey}, Print: c.j.print, Owner: c.e.config.Owner, Nonce: c.j.id,
		Attempt: c.attempt.number, Route: c.j.plan.Route.Name, Pool: poolName(target), Endpoint: target.Name, Boot: incarnation,
		Path: c.j.path, At: now, Until: now.Add(time.Until(c.j.deadline) + claimSlack), Answer: response,
	}}})
	if err != nil {
		return ledger.Reply{}, err
	}
	if r.Claim == nil {
		return ledger.Reply{}, errors.New("control answered a claim with something else")
	}
	return *r.Claim, nil
}

func poolName(t route.Target) string {
	if t.Pool == nil {
		return ""
	}
	return t.Pool.Name
}

// acquire takes the key, or deals with whoever has it.
func (c *claimRun) acquire(ctx context.Context, target route.Target, incarnation string) *Failure {
	c.e.Claims.Add(1)
	pause := minClaimPoll
	op := ledger.OpClaim
	for {
		r, err := c.proposeClaim(ctx, op, target, incarnation, nil)
		if err != nil {
			return c.controlFailed(err)
		}
		switch r.Code {
		case ledger.Granted:
			if op == ledger.OpTake && r.Claim.State == ledger.Open {
				return c.takeOver(ctx, r.Claim)
			}
			if r.Claim.State == ledger.Open {
				c.attempt = attempt{key: callerKeyPrefix + c.j.idempotencyKey, number: r.Claim.Attempt, incarnation: incarnation}
				return c.dispatch(ctx, target)
			}
		case ledger.Reused:
			return newFailure(http.StatusUnprocessableEntity, CodeReused, No, "the idempotency key was used for another request")
		case ledger.Absent:
			op = ledger.OpClaim
			continue
		}
		if f, done := c.respondIfSettled(ctx, r.Claim); done {
			return f
		}
		op = ledger.OpTake
		if r.Claim.State == ledger.Free {
			op = ledger.OpClaim
		}
		select {
		case <-time.After(pause + c.e.jitter(pause)):
			pause = min(2*pause, maxClaimPoll)
		case <-ctx.Done():
			return newFailure(http.StatusConflict, CodeInProgress, Unknown, "an equal request is still in progress").withRetryAfter(2 * time.Second)
		}
	}
}

// controlFailed answers when the ledger can't be reached. Nothing was offered to any endpoint.
func (c *claimRun) controlFailed(error) *Failure {
	return newFailure(http.StatusServiceUnavailable, CodeControlUnreachable, c.j.ran, "the request could not be claimed, and did not run").withRetryAfter(time.Second)
}

// respondIfSettled answers from a claim that is over; it reports false while it is not.
func (c *claimRun) respondIfSettled(ctx context.Context, held *ledger.Claim) (*Failure, bool) {
	switch held.State {
	case ledger.Done:
		c.e.Replays.Add(1)
		if held.Answer == nil || held.Answer.Dropped {
			return newFailure(http.StatusConflict, CodeAnswer, Yes, "the request has run; its answer is no longer kept"), true
		}
		c.replay(held.Answer)
		return nil, true
	case ledger.Unknown:
		return c.recheckUnknown(ctx, held)
	}
	return nil, false
}

// recheckUnknown asks once more about a claim whose outcome is unknown: the endpoint may
// be back, or its service may tell by the key.
func (c *claimRun) recheckUnknown(ctx context.Context, held *ledger.Claim) (*Failure, bool) {
	c.attempt = attempt{key: callerKeyPrefix + c.j.idempotencyKey, number: held.Attempt, incarnation: held.Boot}
	target, ok := c.e.findEndpoint(held.Pool, held.Endpoint)
	if !ok {
		return c.outcomeUnknown(), true
	}
	v, err := c.e.requestVerdict(ctx, target, c.j.account, c.attempt)
	switch {
	case err != nil || v.GetState() == "lost" || v.GetState() == "running":
		return c.outcomeUnknown(), true
	case v.GetState() == "done":
		a := verdictResponse(v)
		c.recordResponse(a)
		c.replay(a)
		return nil, true
	}
	// It never ran and never will: the key is free again.
	r, err := c.freeKey(ctx)
	if err != nil || r.Code != ledger.Granted {
		return c.outcomeUnknown(), true
	}
	return nil, false
}

func (c *claimRun) freeKey(ctx context.Context) (ledger.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	r, err := c.e.config.Control.Propose(ctx, ctrl.Command{Claim: &ledger.Command{
		Op: ledger.OpSettle, Who: "agent", Verdict: ledger.Free,
		Claim: ledger.Claim{Key: ledger.Key{Account: c.j.account, Key: c.j.idempotencyKey}},
	}})
	if err != nil || r.Claim == nil {
		return ledger.Reply{}, err
	}
	return *r.Claim, nil
}

func (c *claimRun) outcomeUnknown() *Failure {
	return newFailure(http.StatusConflict, CodeOutcome, Unknown, "the request was accepted and its outcome is not known; it is not sent again")
}

// replay gives the kept answer again.
func (c *claimRun) replay(a *ledger.Answer) {
	head := &wire.Head{Status: uint32(a.Status)}
	for _, h := range a.Headers {
		head.Headers = append(head.Headers, &wire.Header{Name: h.Name, Value: h.Value})
	}
	head.Headers = append(head.Headers, &wire.Header{Name: "Idempotency-Replayed", Value: "true"})
	c.out.reset()
	c.out.setHead(head)
	c.out.buffered = a.Body
}

// dispatch offers the attempt, and others while it is certain that none ran.
func (c *claimRun) dispatch(ctx context.Context, target route.Target) *Failure {
	for {
		result := c.e.tryTarget(ctx, c.j, target, c.out, c.attempt)
		if result.ok {
			return c.recordResponse(c.sinkResponse())
		}
		if result.ran != No {
			return c.resolveInDoubt(ctx, target, result)
		}
		c.out.reset()
		f := c.moveOrRelease(ctx, result, &target)
		if f != nil {
			return f
		}
	}
}

// moveOrRelease moves a claim whose attempt certainly did not run to another endpoint, or releases it.
func (c *claimRun) moveOrRelease(ctx context.Context, result outcome, target *route.Target) *Failure {
	c.tries++
	if result.code == "suspect" {
		if f := c.e.checkQuarantine(ctx, c.j, true); f != nil {
			c.release()
			return f
		}
		c.tried.Remove(target.Name)
	}
	if c.tries >= maxTries || ctx.Err() != nil {
		c.release()
		return c.e.finalFailure(ctx, c.j, result)
	}
	if f := c.e.waitForRetry(ctx, c.j, c.tries, result); f != nil {
		c.release()
		return f
	}
	next, incarnation, f := c.nextTarget(ctx)
	if f != nil {
		c.release()
		return f
	}
	*target = next
	if c.j.idempotencyKey == "" {
		c.attempt.number++
		c.attempt.incarnation = incarnation
		return nil
	}
	r, err := c.proposeClaim(ctx, ledger.OpMove, next, incarnation, nil)
	if err != nil {
		return c.controlFailed(err)
	}
	if r.Code != ledger.Granted {
		// Another entry has taken the claim over and answers for it.
		return newFailure(http.StatusConflict, CodeInProgress, c.j.ran, "an equal request is in progress").withRetryAfter(2 * time.Second)
	}
	c.attempt.number, c.attempt.incarnation = r.Claim.Attempt, incarnation
	return nil
}

// release gives the claim back. If control can't be reached, the claim stays open
// and the next resend finds out from the agent that nothing ran.
func (c *claimRun) release() {
	if c.j.idempotencyKey == "" {
		return
	}
	ctx, cancel := context.WithTimeout(c.e.ctx, controlTimeout)
	defer cancel()
	_, _ = c.proposeClaim(ctx, ledger.OpRelease, route.Target{}, c.attempt.incarnation, nil)
}

// sinkResponse returns what the sink holds.
func (c *claimRun) sinkResponse() *ledger.Answer {
	a := &ledger.Answer{Status: int(c.out.head.GetStatus()), Body: c.out.buffered, Dropped: c.out.started}
	for _, h := range c.out.head.GetHeaders() {
		if !isHopByHop(h.GetName()) && h.GetName() != "Date" {
			a.Headers = append(a.Headers, ledger.Header{Name: h.GetName(), Value: h.GetValue()})
		}
	}
	return a
}

// recordResponse makes the answer durable for resends. Should that fail, the caller still
// gets it: the agent keeps it too, for whoever takes the claim over.
func (c *claimRun) recordResponse(a *ledger.Answer) *Failure {
	if c.j.idempotencyKey == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.e.ctx, controlTimeout)
	defer cancel()
	_, _ = c.proposeClaim(ctx, ledger.OpFinish, route.Target{}, c.attempt.incarnation, a)
	return nil
}

// resolveInDoubt asks the agent what became of an attempt whose answer was lost.
func (c *claimRun) resolveInDoubt(ctx context.Context, target route.Target, result outcome) *Failure {
	held := &ledger.Claim{
		Key: ledger.Key{Account: c.j.account, Key: c.j.idempotencyKey}, Attempt: c.attempt.number, Boot: c.attempt.incarnation,
		Pool: poolName(target), Endpoint: target.Name,
	}
	// The question is worth a moment even if the request's own time is up.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(time.Until(c.j.deadline), verdictTimeout))
	defer cancel()
	for try := 0; try < maxResumes; try++ {
		if f, done := c.applyVerdict(ctx, held, target); done {
			return f
		}
		select {
		case <-time.After(c.e.jitter(retryBaseDelay << (try + 3))):
		case <-ctx.Done():
		}
	}
	if c.out.started {
		return newFailure(http.StatusBadGateway, CodeResponseCut, Yes, result.text)
	}
	c.recordUnknown()
	return c.outcomeUnknown()
}

// recordUnknown records that the outcome is unknown.
func (c *claimRun) recordUnknown() {
	c.e.config.Events.Emit(event.Unknown, "id", c.j.id, "account", c.j.account, "key", c.j.idempotencyKey)
	if c.j.idempotencyKey == "" {
		return
	}
	ctx, cancel := context.WithTimeout(c.e.ctx, controlTimeout)
	defer cancel()
	_, _ = c.proposeClaim(ctx, ledger.OpLose, route.Target{}, c.attempt.incarnation, nil)
}

// takeOver finishes what a dead entry began.
func (c *claimRun) takeOver(ctx context.Context, held *ledger.Claim) *Failure {
	c.attempt = attempt{key: callerKeyPrefix + c.j.idempotencyKey, number: held.Attempt, incarnation: held.Boot}
	target, ok := c.e.findEndpoint(held.Pool, held.Endpoint)
	if !ok {
		c.recordUnknown()
		return c.outcomeUnknown()
	}
	for {
		f, done := c.applyVerdict(ctx, held, target)
		if done {
			return f
		}
		if ctx.Err() != nil {
			return newFailure(http.StatusConflict, CodeInProgress, Unknown, "the endpoint that may have run the request can't be asked now").withRetryAfter(2 * time.Second)
		}
		select {
		case <-time.After(maxClaimPoll):
		case <-ctx.Done():
		}
	}
}

// applyVerdict asks the agent for its verdict and acts on it. It reports false while
// the verdict can't be had.
func (c *claimRun) applyVerdict(ctx context.Context, held *ledger.Claim, target route.Target) (*Failure, bool) {
	for {
		v, err := c.e.requestVerdict(ctx, target, c.j.account, c.attempt)
		if err != nil {
			return nil, false
		}
		switch v.GetState() {
		case "never":
			return c.retryRevoked(ctx)
		case "done":
			a := verdictResponse(v)
			f := c.recordResponse(a)
			if a.Dropped {
				return newFailure(http.StatusConflict, CodeAnswer, Yes, "the request has run; its answer is no longer kept"), true
			}
			c.replay(a)
			return f, true
		case "lost":
			c.recordUnknown()
			return c.outcomeUnknown(), true
		}
		select {
		case <-time.After(minClaimPoll * 5):
		case <-ctx.Done():
			return newFailure(http.StatusGatewayTimeout, CodeInProgress, Yes, "the request runs, but longer than its route allows").withRetryAfter(2 * time.Second), true
		}
	}
}

// retryRevoked tries again where there is time, for the agent made sure that the attempt never starts.
func (c *claimRun) retryRevoked(ctx context.Context) (*Failure, bool) {
	var target route.Target
	c.out.reset()
	if f := c.moveOrRelease(ctx, outcome{code: "revoked", text: "the attempt was revoked", ran: No}, &target); f != nil {
		return f, true
	}
	return c.dispatch(ctx, target), true
}

func verdictResponse(v *wire.Verdict) *ledger.Answer {
	a := &ledger.Answer{Status: int(v.GetHead().GetStatus()), Body: v.GetBody(), Dropped: v.GetBody() == nil && v.GetHead() == nil}
	for _, h := range v.GetHead().GetHeaders() {
		if !isHopByHop(h.GetName()) {
			a.Headers = append(a.Headers, ledger.Header{Name: h.GetName(), Value: h.GetValue()})
		}
	}
	return a
}

// findEndpoint returns an endpoint by name from the installed tables, drained or not.
func (e *Entry) findEndpoint(pool, endpoint string) (route.Target, bool) {
	p, ok := e.config.Follow.Tables().Pools[pool]
	if !ok {
		return route.Target{}, false
	}
	ep, ok := p.Endpoint(endpoint)
	return route.Target{Pool: p, Name: endpoint, Addr: ep.Addr}, ok
}

// requestVerdict asks the agent beside an endpoint what became of an attempt.
func (e *Entry) requestVerdict(ctx context.Context, target route.Target, account string, a attempt) (*wire.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	s, err := e.config.Peers.Open(ctx, target.Addr)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	s.SetDeadline(time.Now().Add(verdictTimeout))
	revoke := &wire.Revoke{Account: account, Key: a.key, Attempt: a.number, Boot: a.incarnation, Pool: poolName(target)}
	if err := s.Send(&wire.Frame{Body: &wire.Frame_Revoke{Revoke: revoke}}); err != nil {
		return nil, err
	}
	f, err := s.Recv()
	if err != nil {
		return nil, err
	}
	if f.GetVerdict() == nil {
		return nil, errorx.IllegalState.New("agent answered a revocation with something else")
	}
	return f.GetVerdict(), nil
}
