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

	"egretshunt/ctrl"
	"egretshunt/event"
	"egretshunt/ledger"
	"egretshunt/limit"
	"egretshunt/table"
	"egretshunt/wire"
)

// What a refusal says of whether the request ran.
const (
	ranNo      = "no"
	ranYes     = "yes"
	ranUnknown = "unknown"
)

// Codes of a refusal.
const (
	codeLeaving  = "leaving"
	codeUnlawful = "unlawful"
	codeStale    = "stale"
	codeBusy     = "busy"
	codeLoading  = "loading"
	codeDown     = "down"
	codeCrash    = "crash"
	codeBoot     = "boot"
	codeRevoked  = "revoked"
	codeRepeated = "repeated"
	codeSuspect  = "suspect"
	codeGone     = "gone"
	codeBroken   = "broken"
	codeLate     = "late"
	codeCancel   = "cancelled"
)

// callerKey begins a key that a caller chose; the endpoint knows it without that.
const callerKey = "k:"

// patience is how long an agent waits to catch up with an entry's newer tables.
const patience = 300 * time.Millisecond

func refusal(code, ran, text string) *wire.Refuse {
	return &wire.Refuse{Code: code, Ran: ran, Text: text}
}

// offer takes one request, runs it and relays the answer.
func (a *Agent) offer(ctx context.Context, s *wire.Stream, o *wire.Offer, rev uint64) {
	deadline := time.Now().Add(time.Duration(o.GetBudgetMs()) * time.Millisecond)
	if r := a.admit(ctx, o, rev); r != nil {
		a.refuse(s, r)
		return
	}
	runCtx, cancel := context.WithDeadline(a.ctx, deadline)
	x := newExchange(o, cancel)
	gone := make(chan struct{})
	a.running.Go(func() { a.listen(s, x, gone) })
	if r := a.start(runCtx, gone, o, x, deadline); r != nil {
		cancel()
		a.refuse(s, r)
		return
	}
	a.mu.Lock()
	a.exchanges[x.id] = x
	a.mu.Unlock()
	a.Accepted.Add(1)
	if o.GetOnce() && s.Send(&wire.Frame{Body: &wire.Frame_Accept{Accept: &wire.Accept{Boot: a.boot}}}) != nil {
		// Nobody waits for the answer, and nothing has begun: the attempt is taken back.
		a.book.undo(keyOf(o), o.GetAttempt())
		a.slots.leave(x.tokens, false)
		x.fail(refusal(codeCancel, ranNo, "the entry went away before the request was accepted"))
		cancel()
		return
	}
	a.running.Go(func() {
		defer cancel()
		a.run(runCtx, o, x)
	})
	a.relay(ctx, s, x, 0)
}

func keyOf(o *wire.Offer) ledger.Key { return ledger.Key{Account: o.GetAccount(), Key: o.GetKey()} }

func (a *Agent) refuse(s *wire.Stream, r *wire.Refuse) {
	a.Refused.Add(1)
	tokens, _, _ := a.slots.load()
	r.Queue, r.Boot = uint64(tokens), a.boot
	// An entry that is gone has no use for the refusal.
	_ = s.Send(&wire.Frame{Body: &wire.Frame_Refuse{Refuse: r}})
}

// admit checks the offer against what this agent knows itself.
func (a *Agent) admit(ctx context.Context, o *wire.Offer, rev uint64) *wire.Refuse {
	if a.leaving.Load() {
		return refusal(codeLeaving, ranNo, "the endpoint leaves")
	}
	if o.GetBoot() != "" && o.GetBoot() != a.boot {
		return refusal(codeBoot, ranNo, "the offer was meant for an earlier incarnation of the agent")
	}
	if o.GetOnce() && (o.GetBoot() == "" || o.GetKey() == "" && o.GetAttempt() != 0) {
		return refusal(codeUnlawful, ranNo, "non-idempotent work must name the agent's incarnation")
	}
	a.catchUp(ctx, rev)
	if r := a.lawful(o); r != nil {
		return r
	}
	if r := a.ready(); r != nil {
		return r
	}
	if r := a.suspicion(o); r != nil {
		return r
	}
	ahead := a.slots.ahead(o.GetAccount(), o.GetClass())
	wait := time.Duration((ahead + float64(o.GetSize())) / a.prefillRate() * float64(time.Second))
	if budget := time.Duration(o.GetBudgetMs()) * time.Millisecond; wait > budget {
		r := refusal(codeBusy, ranNo, "the expected wait is longer than the request may take")
		r.RetryMs = uint32((wait - budget).Milliseconds()) + 1
		return r
	}
	return nil
}

// catchUp waits a moment for tables as new as the entry's.
func (a *Agent) catchUp(ctx context.Context, rev uint64) {
	f := a.config.Follow
	if f == nil {
		return
	}
	timer := time.NewTimer(patience)
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

// lawful checks the offer against the agent's own tables.
func (a *Agent) lawful(o *wire.Offer) *wire.Refuse {
	if a.config.Follow == nil {
		return nil
	}
	t := a.tables()
	r, ok := t.Find(o.GetAccount(), o.GetTarget())
	if !ok || r.Name != o.GetRoute() || !slices.Contains(r.Pools, a.config.Pool) {
		return refusal(codeUnlawful, ranNo, "no route leads this account here")
	}
	if !a.config.Follow.Fresh(time.Now()) && r.Stale != table.StaleServe {
		return refusal(codeStale, ranNo, "the agent's tables may be out of date")
	}
	p, ok := t.Pools[a.config.Pool]
	if !ok {
		return refusal(codeUnlawful, ranNo, "the pool is gone")
	}
	e, ok := p.Endpoint(a.config.Endpoint)
	if !ok {
		return refusal(codeUnlawful, ranNo, "the endpoint is not in the pool")
	}
	if p.Drain || e.Drain || a.config.Follow.View().Leaves(e.Name) {
		return refusal(codeLeaving, ranNo, "the endpoint is drained")
	}
	return nil
}

// ready reports whether the endpoint can take work now.
func (a *Agent) ready() *wire.Refuse {
	a.engine.Lock()
	defer a.engine.Unlock()
	switch {
	case !a.answered:
		return refusal(codeDown, ranNo, "the endpoint does not answer")
	case a.loading != "":
		return refusal(codeLoading, ranNo, "the endpoint loads weights")
	}
	return nil
}

// suspicion refuses a request that has to run alone and was not offered so.
func (a *Agent) suspicion(o *wire.Offer) *wire.Refuse {
	if a.config.Follow == nil || o.GetAlone() {
		return nil
	}
	verdict, _ := a.config.Follow.View().Suspects.Judge(o.GetAccount(), o.GetPrint(), time.Now())
	if verdict == limit.Run {
		return nil
	}
	return refusal(codeSuspect, ranNo, "the request was in flight when an endpoint crashed")
}

// start waits for a slot and records acceptance; nothing has run when it refuses.
func (a *Agent) start(ctx context.Context, gone <-chan struct{}, o *wire.Offer, x *exchange, deadline time.Time) *wire.Refuse {
	wait, stop := context.WithCancel(ctx)
	defer stop()
	a.running.Go(func() {
		select {
		case <-gone:
			stop()
		case <-wait.Done():
		}
	})
	if !a.slots.enter(wait, o.GetAccount(), o.GetClass(), x.tokens, deadline, o.GetAlone()) {
		return refusal(codeBusy, ranNo, "the request got no turn in time")
	}
	// The tables may have changed while the request waited.
	r := a.lawful(o)
	if r == nil {
		r = a.ready()
	}
	if r == nil && o.GetOnce() && o.GetKey() != "" {
		r = a.acceptOnce(o, x)
	}
	if r != nil {
		a.slots.leave(x.tokens, false)
	}
	return r
}

func (a *Agent) acceptOnce(o *wire.Offer, x *exchange) *wire.Refuse {
	ok, repeated := a.book.accept(keyOf(o), o.GetAttempt(), x, time.Now())
	switch {
	case repeated:
		a.Repeated.Add(1)
		return refusal(codeRepeated, ranUnknown, "this attempt was accepted before")
	case !ok:
		a.Revoked.Add(1)
		return refusal(codeRevoked, ranNo, "this attempt was revoked")
	}
	return nil
}

// listen hears whether the caller goes away, or only the connection.
func (a *Agent) listen(s *wire.Stream, x *exchange, gone chan struct{}) {
	defer close(gone)
	for {
		f, err := s.Recv()
		if err != nil {
			return
		}
		if f.GetCancel() != nil && !x.once {
			x.fail(refusal(codeCancel, ranUnknown, "the caller went away"))
			x.cancel()
			return
		}
	}
}

// relay sends the answer from offset on.
func (a *Agent) relay(ctx context.Context, s *wire.Stream, x *exchange, offset uint64) {
	x.attach()
	defer func() { x.detach(time.Now()) }()
	headSent := offset > 0
	for {
		frames := x.next(ctx, offset, headSent)
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

// resume goes on with an answer whose connection was lost.
func (a *Agent) resume(ctx context.Context, s *wire.Stream, r *wire.Resume) {
	a.mu.Lock()
	x, ok := a.exchanges[r.GetId()]
	a.mu.Unlock()
	if !ok {
		a.refuse(s, refusal(codeGone, ranUnknown, "the answer is not kept here"))
		return
	}
	a.Resumed.Add(1)
	a.config.Events.Emit(event.Resumed, "id", r.GetId(), "offset", r.GetOffset())
	a.running.Go(func() { a.listen(s, x, make(chan struct{})) })
	a.relay(ctx, s, x, r.GetOffset())
}

// run hands the request to the endpoint and copies the answer into the exchange.
func (a *Agent) run(ctx context.Context, o *wire.Offer, x *exchange) {
	began := time.Now()
	answered := false
	defer func() { a.slots.leave(x.tokens, answered) }()
	call := a.callOf(o)
	if a.config.Kind != table.Model {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, a.config.CallTime)
		defer stop()
	}
	reply, use, err := a.begin(ctx, o, call)
	if err != nil {
		x.fail(a.broken(ctx, o, x, err))
		return
	}
	defer reply.Body.Close()
	answered = true
	a.slots.answered(x.tokens)
	a.learnRate(use.computed, time.Since(began))
	x.begin(reply.Status, reply.Headers)
	if err := copyBody(ctx, x, reply); err != nil {
		x.fail(a.broken(ctx, o, x, err))
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
		Rank: o.GetClass(), Once: o.GetOnce(), Headers: http.Header{},
	}
	for _, h := range o.GetHeaders() {
		c.Headers.Add(h.GetName(), h.GetValue())
	}
	return c
}

func copyBody(ctx context.Context, x *exchange, reply *Reply) error {
	buf := make([]byte, pieceSize)
	total := int64(0)
	for {
		n, err := reply.Body.Read(buf)
		total += int64(n)
		if n > 0 {
			if werr := x.write(ctx, buf[:n], total == reply.Length); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return Broken.Wrap(err, "read answer")
		}
	}
}

// broken turns a failed run into what the entry is told, and reports a crash.
func (a *Agent) broken(ctx context.Context, o *wire.Offer, x *exchange, err error) *wire.Refuse {
	if errorx.IsOfType(err, Down) {
		if o.GetOnce() && o.GetKey() != "" {
			a.book.undo(keyOf(o), o.GetAttempt())
		}
		return refusal(codeDown, ranNo, "the endpoint could not be reached")
	}
	if ctx.Err() != nil {
		return refusal(codeLate, ranUnknown, "the request took longer than it may, or its caller went away")
	}
	if a.crashed(ctx, x) {
		return refusal(codeCrash, ranUnknown, "the endpoint crashed while it ran the request")
	}
	return refusal(codeBroken, ranUnknown, "the endpoint broke off its answer")
}

// crashed finds out whether the endpoint's process is gone, and tells control
// what was in flight before anybody can send it again.
func (a *Agent) crashed(ctx context.Context, x *exchange) bool {
	a.engine.Lock()
	before := a.health.Boot
	a.engine.Unlock()
	a.check(ctx)
	a.engine.Lock()
	gone := !a.answered || (before != "" && a.health.Boot != before)
	a.engine.Unlock()
	if !gone {
		return false
	}
	prints, accounts := a.inFlight(x)
	crash := a.boot + "/" + before
	if before == "" {
		crash = x.id
	}
	a.Crashes.Add(1)
	a.config.Events.Emit(event.Crash, "endpoint", a.config.Endpoint, "requests", len(prints), "id", x.id)
	if a.config.Control == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(a.ctx, 3*time.Second)
	defer cancel()
	// An unreachable control plane leaves the request unsuspected; the next crash tells again.
	_, _ = a.config.Control.Propose(ctx, ctrl.Command{Suspect: &limit.Command{
		Op: limit.OpCrash, Crash: crash, Prints: prints, Accounts: accounts,
	}})
	return true
}

// inFlight lists what runs on the endpoint, x first.
func (a *Agent) inFlight(x *exchange) (prints, accounts []string) {
	prints, accounts = []string{x.print}, []string{x.account}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, other := range a.exchanges {
		if other != x && !other.over() && other.print != "" && !slices.Contains(prints, other.print) {
			prints = append(prints, other.print)
			accounts = append(accounts, other.account)
		}
	}
	return prints, accounts
}

// clear tells control that a suspect ran alone without harm.
func (a *Agent) clear(o *wire.Offer) {
	if a.config.Control == nil {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, 3*time.Second)
	defer cancel()
	_, _ = a.config.Control.Propose(ctx, ctrl.Command{Suspect: &limit.Command{
		Op: limit.OpClear, Account: o.GetAccount(), Prints: []string{o.GetPrint()}, Holder: o.GetId(),
	}})
}

// revoke answers what became of an attempt, and keeps it from starting if it has not.
func (a *Agent) revoke(ctx context.Context, s *wire.Stream, r *wire.Revoke) {
	v := a.verdict(ctx, r)
	_ = s.Send(&wire.Frame{Body: &wire.Frame_Verdict{Verdict: v}})
}

func (a *Agent) verdict(ctx context.Context, r *wire.Revoke) *wire.Verdict {
	k := ledger.Key{Account: r.GetAccount(), Key: r.GetKey()}
	if r.GetBoot() == a.boot {
		v := a.book.judge(k, r.GetAttempt(), time.Now())
		if v.GetState() != verdictLost {
			return v
		}
	}
	return a.lookup(ctx, k)
}

// lookup asks the service itself, where its pool names a way to.
func (a *Agent) lookup(ctx context.Context, k ledger.Key) *wire.Verdict {
	lost := &wire.Verdict{State: verdictLost}
	finder, ok := a.config.Backend.(Finder)
	p, known := a.tables().Pools[a.config.Pool]
	key, named := strings.CutPrefix(k.Key, callerKey)
	if !ok || !known || p.Lookup == "" || !named {
		return lost
	}
	ctx, cancel := context.WithTimeout(ctx, a.config.CallTime)
	defer cancel()
	ran, reply, err := finder.Outcome(ctx, strings.ReplaceAll(p.Lookup, "KEY", url.PathEscape(key)))
	if err != nil {
		return lost
	}
	if !ran {
		// A call of the former incarnation may still be on its way through the service.
		if time.Since(a.started) < a.config.CallTime {
			return lost
		}
		return &wire.Verdict{State: verdictNever}
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(io.LimitReader(reply.Body, window))
	if err != nil {
		return lost
	}
	return &wire.Verdict{State: verdictDone, Head: &wire.Head{Status: uint32(reply.Status)}, Body: body}
}

func isGone(err error) bool { return errorx.IsOfType(err, Gone) }
