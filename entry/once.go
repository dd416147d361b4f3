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
	// callerKey and ownKey begin the keys that agents see, so that a caller's key
	// never equals one that an entry made.
	callerKey = "k:"
	ownKey    = "i:"
	// claimSlack is added to a request's time until its claim may be taken over.
	claimSlack = 5 * time.Second
	// firstLook and maxLook bound the pauses between two looks at a claim in progress.
	firstLook = 20 * time.Millisecond
	maxLook   = 500 * time.Millisecond
	// verdictTime bounds one question to an agent.
	verdictTime = 2 * time.Second
)

func updateSum(sum uint32, p []byte) uint32 { return crc32.Update(sum, crc32.IEEETable, p) }

// runOnce serves a request that must not run twice.
func (e *Entry) runOnce(ctx context.Context, j *job, out *sink) *Failure {
	out.stream = false
	if f := e.judge(ctx, j, false); f != nil {
		return f
	}
	c := &claimed{e: e, j: j, out: out, tried: value.Set[string]{}}
	target, boot, f := c.next(ctx)
	if f != nil {
		return f
	}
	if j.key == "" {
		c.attempt = attempt{key: ownKey + j.id, no: 1, boot: boot}
		return c.dispatch(ctx, target)
	}
	return c.claim(ctx, target, boot)
}

// claimed drives one non-idempotent request.
type claimed struct {
	e       *Entry
	j       *job
	out     *sink
	tried   value.Set[string]
	attempt attempt
	tries   int
}

// next picks an endpoint whose agent's incarnation is known.
func (c *claimed) next(ctx context.Context) (route.Target, string, *Failure) {
	for {
		target, choice, ok := c.e.pick(c.j, c.tried)
		if !ok {
			return target, "", fail(http.StatusServiceUnavailable, CodeNone, c.j.ran, "no endpoint of the route takes work now").after(time.Second)
		}
		if f := c.e.tooLate(c.j, choice); f != nil {
			return target, "", f
		}
		c.tried.Add(target.Name)
		if boot, ok := c.e.peers.of(target).boot(ctx); ok {
			return target, boot, nil
		}
	}
}

// command asks the ledger for one step of this request's claim.
func (c *claimed) command(ctx context.Context, op string, target route.Target, boot string, answer *ledger.Answer) (ledger.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTime)
	defer cancel()
	now := time.Now()
	r, err := c.e.config.Control.Propose(ctx, ctrl.Command{Claim: &ledger.Command{Op: op, Claim: ledger.Claim{
		Key: ledger.Key{Account: c.j.account, Key: c.j.key}, Print: c.j.print, Owner: c.e.config.Owner, Nonce: c.j.id,
		Attempt: c.attempt.no, Route: c.j.plan.Route.Name, Pool: poolName(target), Endpoint: target.Name, Boot: boot,
		Path: c.j.path, At: now, Until: now.Add(time.Until(c.j.deadline) + claimSlack), Answer: answer,
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

// claim takes the key, or deals with whoever has it.
func (c *claimed) claim(ctx context.Context, target route.Target, boot string) *Failure {
	c.e.Claims.Add(1)
	pause := firstLook
	op := ledger.OpClaim
	for {
		r, err := c.command(ctx, op, target, boot, nil)
		if err != nil {
			return c.controlFailed(err)
		}
		switch r.Code {
		case ledger.Granted:
			if op == ledger.OpTake && r.Claim.State == ledger.Open {
				return c.takeOver(ctx, r.Claim)
			}
			if r.Claim.State == ledger.Open {
				c.attempt = attempt{key: callerKey + c.j.key, no: r.Claim.Attempt, boot: boot}
				return c.dispatch(ctx, target)
			}
		case ledger.Reused:
			return fail(http.StatusUnprocessableEntity, CodeReused, No, "the idempotency key was used for another request")
		case ledger.Absent:
			op = ledger.OpClaim
			continue
		}
		if f, settled := c.settled(ctx, r.Claim); settled {
			return f
		}
		op = ledger.OpTake
		if r.Claim.State == ledger.Free {
			op = ledger.OpClaim
		}
		select {
		case <-time.After(pause + c.e.jitter(pause)):
			pause = min(2*pause, maxLook)
		case <-ctx.Done():
			return fail(http.StatusConflict, CodeProgress, Unknown, "an equal request is still in progress").after(2 * time.Second)
		}
	}
}

// controlFailed answers when the ledger can't be reached. Nothing was offered to any endpoint.
func (c *claimed) controlFailed(error) *Failure {
	return fail(http.StatusServiceUnavailable, CodeControl, c.j.ran, "the request could not be claimed, and did not run").after(time.Second)
}

// settled answers from a claim that is over; it reports false while it is not.
func (c *claimed) settled(ctx context.Context, held *ledger.Claim) (*Failure, bool) {
	switch held.State {
	case ledger.Done:
		c.e.Replays.Add(1)
		if held.Answer == nil || held.Answer.Dropped {
			return fail(http.StatusConflict, CodeAnswer, Yes, "the request has run; its answer is no longer kept"), true
		}
		c.replay(held.Answer)
		return nil, true
	case ledger.Unknown:
		return c.followUp(ctx, held)
	}
	return nil, false
}

// followUp asks once more about a claim whose outcome is unknown: the endpoint may
// be back, or its service may tell by the key.
func (c *claimed) followUp(ctx context.Context, held *ledger.Claim) (*Failure, bool) {
	c.attempt = attempt{key: callerKey + c.j.key, no: held.Attempt, boot: held.Boot}
	target, ok := c.e.find(held.Pool, held.Endpoint)
	if !ok {
		return c.unknown(), true
	}
	v, err := c.e.verdict(ctx, target, c.j.account, c.attempt)
	switch {
	case err != nil || v.GetState() == "lost" || v.GetState() == "running":
		return c.unknown(), true
	case v.GetState() == "done":
		a := answerOf(v)
		c.record(a)
		c.replay(a)
		return nil, true
	}
	// It never ran and never will: the key is free again.
	r, err := c.settleFree(ctx)
	if err != nil || r.Code != ledger.Granted {
		return c.unknown(), true
	}
	return nil, false
}

func (c *claimed) settleFree(ctx context.Context) (ledger.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTime)
	defer cancel()
	r, err := c.e.config.Control.Propose(ctx, ctrl.Command{Claim: &ledger.Command{
		Op: ledger.OpSettle, Who: "agent", Verdict: ledger.Free,
		Claim: ledger.Claim{Key: ledger.Key{Account: c.j.account, Key: c.j.key}},
	}})
	if err != nil || r.Claim == nil {
		return ledger.Reply{}, err
	}
	return *r.Claim, nil
}

func (c *claimed) unknown() *Failure {
	return fail(http.StatusConflict, CodeOutcome, Unknown, "the request was accepted and its outcome is not known; it is not sent again")
}

// replay gives the kept answer again.
func (c *claimed) replay(a *ledger.Answer) {
	head := &wire.Head{Status: uint32(a.Status)}
	for _, h := range a.Headers {
		head.Headers = append(head.Headers, &wire.Header{Name: h.Name, Value: h.Value})
	}
	head.Headers = append(head.Headers, &wire.Header{Name: "Idempotency-Replayed", Value: "true"})
	c.out.reset()
	c.out.setHead(head)
	c.out.held = a.Body
}

// dispatch offers the attempt, and others while it is certain that none ran.
func (c *claimed) dispatch(ctx context.Context, target route.Target) *Failure {
	for {
		got := c.e.try(ctx, c.j, target, c.out, c.attempt)
		if got.ok {
			return c.record(c.answer())
		}
		if got.ran != No {
			return c.inDoubt(ctx, target, got)
		}
		c.out.reset()
		f := c.notRun(ctx, got, &target)
		if f != nil {
			return f
		}
	}
}

// notRun moves a claim whose attempt certainly did not run to another endpoint, or releases it.
func (c *claimed) notRun(ctx context.Context, got outcome, target *route.Target) *Failure {
	c.tries++
	if got.code == "suspect" {
		if f := c.e.judge(ctx, c.j, true); f != nil {
			c.release()
			return f
		}
		c.tried.Remove(target.Name)
	}
	if c.tries >= maxTries || ctx.Err() != nil {
		c.release()
		return c.e.givenUp(ctx, c.j, got)
	}
	if f := c.e.beforeRetry(ctx, c.j, c.tries, got); f != nil {
		c.release()
		return f
	}
	next, boot, f := c.next(ctx)
	if f != nil {
		c.release()
		return f
	}
	*target = next
	if c.j.key == "" {
		c.attempt.no++
		c.attempt.boot = boot
		return nil
	}
	r, err := c.command(ctx, ledger.OpMove, next, boot, nil)
	if err != nil {
		return c.controlFailed(err)
	}
	if r.Code != ledger.Granted {
		// Another entry has taken the claim over and answers for it.
		return fail(http.StatusConflict, CodeProgress, c.j.ran, "an equal request is in progress").after(2 * time.Second)
	}
	c.attempt.no, c.attempt.boot = r.Claim.Attempt, boot
	return nil
}

// release gives the claim back. If control can't be reached, the claim stays open
// and the next resend finds out from the agent that nothing ran.
func (c *claimed) release() {
	if c.j.key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(c.e.ctx, controlTime)
	defer cancel()
	_, _ = c.command(ctx, ledger.OpRelease, route.Target{}, c.attempt.boot, nil)
}

// answer returns what the sink holds.
func (c *claimed) answer() *ledger.Answer {
	a := &ledger.Answer{Status: int(c.out.head.GetStatus()), Body: c.out.held, Dropped: c.out.begun}
	for _, h := range c.out.head.GetHeaders() {
		if !hopByHop(h.GetName()) && h.GetName() != "Date" {
			a.Headers = append(a.Headers, ledger.Header{Name: h.GetName(), Value: h.GetValue()})
		}
	}
	return a
}

// record makes the answer durable for resends. Should that fail, the caller still
// gets it: the agent keeps it too, for whoever takes the claim over.
func (c *claimed) record(a *ledger.Answer) *Failure {
	if c.j.key == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.e.ctx, controlTime)
	defer cancel()
	_, _ = c.command(ctx, ledger.OpFinish, route.Target{}, c.attempt.boot, a)
	return nil
}

// inDoubt asks the agent what became of an attempt whose answer was lost.
func (c *claimed) inDoubt(ctx context.Context, target route.Target, got outcome) *Failure {
	held := &ledger.Claim{
		Key: ledger.Key{Account: c.j.account, Key: c.j.key}, Attempt: c.attempt.no, Boot: c.attempt.boot,
		Pool: poolName(target), Endpoint: target.Name,
	}
	// The question is worth a moment even if the request's own time is up.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(time.Until(c.j.deadline), verdictTime))
	defer cancel()
	for try := 0; try < maxResumes; try++ {
		if f, over := c.resolve(ctx, held, target); over {
			return f
		}
		select {
		case <-time.After(c.e.jitter(backOff << (try + 3))):
		case <-ctx.Done():
		}
	}
	if c.out.begun {
		return fail(http.StatusBadGateway, CodeCut, Yes, got.text)
	}
	c.lose()
	return c.unknown()
}

// lose records that the outcome is unknown.
func (c *claimed) lose() {
	c.e.config.Events.Emit(event.Unknown, "id", c.j.id, "account", c.j.account, "key", c.j.key)
	if c.j.key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(c.e.ctx, controlTime)
	defer cancel()
	_, _ = c.command(ctx, ledger.OpLose, route.Target{}, c.attempt.boot, nil)
}

// takeOver finishes what a dead entry began.
func (c *claimed) takeOver(ctx context.Context, held *ledger.Claim) *Failure {
	c.attempt = attempt{key: callerKey + c.j.key, no: held.Attempt, boot: held.Boot}
	target, ok := c.e.find(held.Pool, held.Endpoint)
	if !ok {
		c.lose()
		return c.unknown()
	}
	for {
		f, over := c.resolve(ctx, held, target)
		if over {
			return f
		}
		if ctx.Err() != nil {
			return fail(http.StatusConflict, CodeProgress, Unknown, "the endpoint that may have run the request can't be asked now").after(2 * time.Second)
		}
		select {
		case <-time.After(maxLook):
		case <-ctx.Done():
		}
	}
}

// resolve asks the agent for its verdict and acts on it. It reports false while
// the verdict can't be had.
func (c *claimed) resolve(ctx context.Context, held *ledger.Claim, target route.Target) (*Failure, bool) {
	for {
		v, err := c.e.verdict(ctx, target, c.j.account, c.attempt)
		if err != nil {
			return nil, false
		}
		switch v.GetState() {
		case "never":
			return c.neverRan(ctx)
		case "done":
			a := answerOf(v)
			f := c.record(a)
			if a.Dropped {
				return fail(http.StatusConflict, CodeAnswer, Yes, "the request has run; its answer is no longer kept"), true
			}
			c.replay(a)
			return f, true
		case "lost":
			c.lose()
			return c.unknown(), true
		}
		select {
		case <-time.After(firstLook * 5):
		case <-ctx.Done():
			return fail(http.StatusGatewayTimeout, CodeProgress, Yes, "the request runs, but longer than its route allows").after(2 * time.Second), true
		}
	}
}

// neverRan tries again where there is time, for the agent made sure that the attempt never starts.
func (c *claimed) neverRan(ctx context.Context) (*Failure, bool) {
	var target route.Target
	c.out.reset()
	if f := c.notRun(ctx, outcome{code: "revoked", text: "the attempt was revoked", ran: No}, &target); f != nil {
		return f, true
	}
	return c.dispatch(ctx, target), true
}

func answerOf(v *wire.Verdict) *ledger.Answer {
	a := &ledger.Answer{Status: int(v.GetHead().GetStatus()), Body: v.GetBody(), Dropped: v.GetBody() == nil && v.GetHead() == nil}
	for _, h := range v.GetHead().GetHeaders() {
		if !hopByHop(h.GetName()) {
			a.Headers = append(a.Headers, ledger.Header{Name: h.GetName(), Value: h.GetValue()})
		}
	}
	return a
}

// find returns an endpoint by name from the installed tables, drained or not.
func (e *Entry) find(pool, endpoint string) (route.Target, bool) {
	p, ok := e.config.Follow.Tables().Pools[pool]
	if !ok {
		return route.Target{}, false
	}
	ep, ok := p.Endpoint(endpoint)
	return route.Target{Pool: p, Name: endpoint, Addr: ep.Addr}, ok
}

// verdict asks the agent beside an endpoint what became of an attempt.
func (e *Entry) verdict(ctx context.Context, to route.Target, account string, a attempt) (*wire.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, verdictTime)
	defer cancel()
	s, err := e.config.Peers.Open(ctx, to.Addr)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	s.SetDeadline(time.Now().Add(verdictTime))
	ask := &wire.Revoke{Account: account, Key: a.key, Attempt: a.no, Boot: a.boot, Pool: poolName(to)}
	if err := s.Send(&wire.Frame{Body: &wire.Frame_Revoke{Revoke: ask}}); err != nil {
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
