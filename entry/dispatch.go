package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/ctrl"
	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/route"
	"egretshunt/value"
	"egretshunt/wire"
)

const (
	// maxTries bounds the endpoints that one request is offered to.
	maxTries = 4
	// backOff is the first pause between two tries; it doubles, with jitter.
	backOff = 10 * time.Millisecond
	// controlTime bounds one question to the control plane.
	controlTime = 4 * time.Second
)

// outcome is what became of one offer.
type outcome struct {
	// ok is true when the whole answer is in the sink.
	ok   bool
	code string
	text string
	ran  Ran
	// retry is when the endpoint expects to have room.
	retry time.Duration
	// callerGone is set when the caller took nothing any more.
	callerGone bool
}

// runFree serves a request that may be repeated.
func (e *Entry) runFree(ctx context.Context, j *job, out *sink) *Failure {
	if f := e.judge(ctx, j, false); f != nil {
		return f
	}
	tried := value.Set[string]{}
	last := outcome{code: CodeNone, ran: No}
	for try := 0; try < maxTries; try++ {
		if try > 0 {
			if f := e.beforeRetry(ctx, j, try, last); f != nil {
				return f
			}
		}
		target, choice, ok := e.pick(j, tried)
		if !ok {
			break
		}
		if f := e.tooLate(j, choice); f != nil {
			return f
		}
		tried.Add(target.Name)
		last = e.try(ctx, j, target, out, attempt{})
		if last.ok {
			return nil
		}
		j.ran = worse(j.ran, last.ran)
		if last.callerGone || out.begun || ctx.Err() != nil {
			break
		}
		out.reset()
		if last.code == "crash" || last.code == "suspect" {
			if f := e.judge(ctx, j, true); f != nil {
				return f
			}
		}
	}
	return e.givenUp(ctx, j, last)
}

// tooLate refuses early what would run out of time while it waits.
func (e *Entry) tooLate(j *job, c route.Choice) *Failure {
	left := time.Until(j.deadline)
	if c.First <= left {
		return nil
	}
	return fail(http.StatusServiceUnavailable, CodeBusy, j.ran, "the expected wait is longer than the request may take").after(c.First - left + time.Second)
}

// beforeRetry asks the route's budget and waits a little.
func (e *Entry) beforeRetry(ctx context.Context, j *job, try int, last outcome) *Failure {
	if !unreached(last.code) && !e.mayRetry(j.plan.Route) {
		return e.givenUp(ctx, j, last)
	}
	e.Retries.Add(1)
	e.config.Events.Emit(event.Retried, "id", j.id, "code", last.code, "ran", string(last.ran))
	select {
	case <-time.After(e.jitter(backOff << try)):
		return nil
	case <-ctx.Done():
		return e.givenUp(ctx, j, last)
	}
}

// unreached reports whether an agent refused without troubling its endpoint. Such
// a try adds no load, so that it costs nothing of the retry budget.
func unreached(code string) bool {
	switch code {
	case "leaving", "loading", "down", "boot", "unlawful", "stale", "revoked", "suspect":
		return true
	}
	return false
}

// worse returns the less certain of two findings, where yes is beyond doubt the worst for a repeat.
func worse(a, b Ran) Ran {
	rank := map[Ran]int{No: 0, Unknown: 1, Yes: 2}
	if rank[b] > rank[a] {
		return b
	}
	return a
}

// givenUp turns the last outcome into what the caller is told, at once.
func (e *Entry) givenUp(ctx context.Context, j *job, last outcome) *Failure {
	if ctx.Err() != nil && time.Now().After(j.deadline) {
		return fail(http.StatusGatewayTimeout, CodeLate, j.ran, "the request took longer than its route allows")
	}
	retry := max(last.retry, time.Second)
	switch last.code {
	case CodeNone:
		return fail(http.StatusServiceUnavailable, CodeNone, j.ran, "no endpoint of the route takes work now").after(retry)
	case "busy", "loading", "leaving", "down", "stale", "boot", "unlawful", "revoked", "suspect":
		return fail(http.StatusServiceUnavailable, CodeBusy, j.ran, "the endpoints refused: "+last.text).after(retry)
	case CodeCut:
		return fail(http.StatusBadGateway, CodeCut, j.ran, last.text)
	}
	return fail(http.StatusBadGateway, CodeEndpoint, j.ran, last.text).after(retry)
}

// judge stops requests that crash endpoints, and gets leave for a solitary run of
// one that is suspected. With crashed set, control is asked whatever the local view says.
func (e *Entry) judge(ctx context.Context, j *job, crashed bool) *Failure {
	verdict, p := e.config.Follow.View().Suspects.Judge(j.account, j.print, time.Now())
	if verdict == limit.Run && !crashed {
		return nil
	}
	if verdict != limit.Refuse {
		verdict = e.trial(ctx, j)
	}
	switch verdict {
	case limit.Refuse:
		e.config.Events.Emit(event.Quarantined, "account", j.account, "print", j.print)
		f := fail(http.StatusUnprocessableEntity, CodeQuarantined, j.ran, "this request crashed endpoints and is refused for a while")
		if left := time.Until(p.Refused); left > 0 {
			return f.after(left)
		}
		return f.after(limit.Quarantine)
	case limit.Wait:
		return fail(http.StatusServiceUnavailable, CodeTrial, j.ran, "an equal request that may have crashed an endpoint is being tried alone").after(5 * time.Second)
	case limit.Alone:
		j.alone = true
	}
	return nil
}

func (e *Entry) trial(ctx context.Context, j *job) limit.Verdict {
	ctx, cancel := context.WithTimeout(ctx, controlTime)
	defer cancel()
	r, err := e.config.Control.Propose(ctx, ctrl.Command{Suspect: &limit.Command{
		Op: limit.OpTrial, Account: j.account, Prints: []string{j.print}, Holder: j.id,
	}})
	if err != nil {
		// Without control nobody may run it again.
		return limit.Wait
	}
	return r.Verdict
}

// attempt is the identity of an offer that must not run twice.
type attempt struct {
	key  string
	no   uint32
	boot string
}

// try offers the job to one endpoint and relays the answer into the sink.
func (e *Entry) try(ctx context.Context, j *job, to route.Target, out *sink, a attempt) outcome {
	w := e.peers.of(to)
	began := time.Now()
	w.ship(began, float64(j.size))
	r := &relay{e: e, j: j, to: to, out: out, peer: w, attempt: a, began: began}
	got := r.run(ctx)
	switch {
	case got.ok:
		w.good(time.Now(), 0)
	case got.code == CodeCut && ctx.Err() == nil:
		w.fail(time.Now())
	}
	return got
}

// relay is the state of one offer.
type relay struct {
	e       *Entry
	j       *job
	to      route.Target
	out     *sink
	peer    *peer
	attempt attempt
	began   time.Time

	offset   uint64
	sum      uint32
	accepted bool
	resumes  int
}

// maxResumes bounds the reconnections for one answer.
const maxResumes = 5

func (r *relay) run(ctx context.Context) outcome {
	s, err := r.e.config.Peers.Open(ctx, r.to.Addr)
	if err != nil {
		r.peer.fail(time.Now())
		return outcome{code: "down", text: "the endpoint's agent can't be reached", ran: No}
	}
	first := &wire.Frame{Body: &wire.Frame_Offer{Offer: r.offer()}}
	for {
		got, again := r.stream(ctx, s, first)
		if !again {
			return got
		}
		s, err = r.reconnect(ctx)
		if err != nil {
			return r.cut("the connection to the endpoint was lost")
		}
		first = &wire.Frame{Body: &wire.Frame_Resume{Resume: &wire.Resume{Id: r.j.id, Offset: r.offset}}}
	}
}

func (r *relay) cut(text string) outcome {
	r.e.Cuts.Add(1)
	r.e.config.Events.Emit(event.Cut, "id", r.j.id, "endpoint", r.to.Name, "offset", r.offset)
	return outcome{code: CodeCut, text: text, ran: Unknown}
}

// reconnect opens a new stream to the same agent, with growing pauses.
func (r *relay) reconnect(ctx context.Context) (*wire.Stream, error) {
	r.e.Resumes.Add(1)
	for {
		r.resumes++
		s, err := r.e.config.Peers.Open(ctx, r.to.Addr)
		if err == nil || r.resumes >= maxResumes {
			return s, err
		}
		select {
		case <-time.After(r.e.jitter(backOff << r.resumes)):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (r *relay) offer() *wire.Offer {
	j := r.j
	o := &wire.Offer{
		Id: j.id, Account: j.account, Route: j.plan.Route.Name, Pool: r.to.Pool.Name, Target: j.target,
		Method: j.method, Path: j.path, Body: j.body, Prompt: j.text, Key: r.attempt.key, Attempt: r.attempt.no,
		BudgetMs: uint32(max(time.Until(j.deadline).Milliseconds(), 1)), Class: j.plan.Route.Class.Rank(),
		Boot: r.attempt.boot, Stream: j.stream, Once: j.once, Output: uint32(j.output), Alone: j.alone,
		Print: j.print, Size: uint32(j.size),
	}
	for name, values := range j.headers {
		for _, v := range values {
			o.Headers = append(o.Headers, &wire.Header{Name: name, Value: v})
		}
	}
	return o
}

// stream sends the first frame and takes the answer. It reports whether the
// connection was lost after the agent may have accepted, so that a resume makes sense.
func (r *relay) stream(ctx context.Context, s *wire.Stream, first *wire.Frame) (got outcome, again bool) {
	defer s.Close()
	stop := context.AfterFunc(ctx, func() {
		// The caller is gone or out of time: the agent stops the endpoint.
		_ = s.Send(&wire.Frame{Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{}}})
		s.Abort()
	})
	defer stop()
	if err := s.Send(first); err != nil {
		return r.lost(ctx, err)
	}
	for {
		f, err := s.Recv()
		if err != nil {
			return r.lost(ctx, err)
		}
		got, over, err := r.take(f)
		if err != nil {
			return r.lost(ctx, err)
		}
		if over {
			return got, false
		}
	}
}

// lost decides what a broken stream means.
func (r *relay) lost(ctx context.Context, err error) (outcome, bool) {
	switch {
	case ctx.Err() != nil:
		ran := No
		if r.accepted {
			ran = Unknown
		}
		if !r.accepted && r.j.once {
			ran = Unknown
		}
		return outcome{code: CodeLate, text: "the request was given up", ran: ran}, false
	case errorx.IsOfType(err, callerGone):
		return outcome{code: CodeCut, text: "the caller takes no more of its answer", ran: Yes, callerGone: true}, false
	case r.resumes >= maxResumes:
		return r.cut("the connection to the endpoint was lost again and again"), false
	}
	return outcome{}, true
}

// take handles one frame of the answer.
func (r *relay) take(f *wire.Frame) (got outcome, over bool, err error) {
	switch body := f.GetBody().(type) {
	case *wire.Frame_Accept:
		r.accepted = true
		r.peer.learnBoot(body.Accept.GetBoot())
	case *wire.Frame_Head:
		r.accepted = true
		r.out.setHead(body.Head)
	case *wire.Frame_Piece:
		return outcome{}, false, r.piece(body.Piece)
	case *wire.Frame_End:
		return r.end(body.End)
	case *wire.Frame_Refuse:
		return r.refused(body.Refuse), true, nil
	}
	return outcome{}, false, nil
}

var (
	// callerGone marks a caller that took nothing any more.
	callerGone = errorx.NewNamespace("entry").NewType("callergone")
	// crossed marks a piece that does not belong where it came.
	crossed = errorx.NewNamespace("entry").NewType("crossed")
)

// piece takes the next bytes. What came before is dropped; a gap or another
// request's piece breaks the stream, so that it is resumed at the right place.
func (r *relay) piece(p *wire.Piece) error {
	if p.GetId() != r.j.id {
		return crossed.New("piece of exchange %s came for %s", p.GetId(), r.j.id)
	}
	if p.GetOffset() > r.offset {
		return crossed.New("piece at %d came when %d was due", p.GetOffset(), r.offset)
	}
	skip := r.offset - p.GetOffset()
	if skip >= uint64(len(p.GetData())) {
		return nil
	}
	data := p.GetData()[skip:]
	if r.offset == 0 {
		r.peer.good(time.Now(), 0)
	}
	r.offset += uint64(len(data))
	r.sum = updateSum(r.sum, data)
	if err := r.out.write(data); err != nil {
		return callerGone.Wrap(err, "write answer")
	}
	return nil
}

// end checks that the answer is whole.
func (r *relay) end(end *wire.End) (outcome, bool, error) {
	if end.GetId() != r.j.id || end.GetTotal() != r.offset {
		return outcome{}, false, crossed.New("answer ends at %d, received %d", end.GetTotal(), r.offset)
	}
	if end.GetSum() != r.sum {
		return r.cut("the answer does not match its checksum"), true, nil
	}
	r.e.learn(r.j, r.to.Name, float64(r.j.size))
	return outcome{ok: true, ran: Yes}, true, nil
}

func (r *relay) refused(f *wire.Refuse) outcome {
	r.peer.learnBoot(f.GetBoot())
	if f.GetCode() == "leaving" {
		r.peer.mu.Lock()
		r.peer.state.Leave()
		r.peer.mu.Unlock()
	}
	return outcome{
		code: f.GetCode(), text: f.GetText(), ran: Ran(f.GetRan()),
		retry: time.Duration(f.GetRetryMs()) * time.Millisecond,
	}
}
