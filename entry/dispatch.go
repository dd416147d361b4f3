package entry

import (
	"cmp"
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
	// maxTries bounds the endpoints that one request is sent to.
	maxTries = 4
	// retryBaseDelay is the upper bound of the first delay between tries. The bound doubles with each
	// try, and the delay is drawn at random below it.
	retryBaseDelay = 10 * time.Millisecond
	// controlTimeout bounds one command to the control plane.
	controlTimeout = 4 * time.Second
)

// outcome is the result of one attempt at an endpoint.
type outcome struct {
	// ok is set when the sink holds the complete response.
	ok   bool
	code string
	text string
	ran  Ran
	// retry is the time until the endpoint expects to have capacity.
	retry time.Duration
	// clientClosed is set when writing to the client failed.
	clientClosed bool
}

// runIdempotent serves a request that is safe to repeat, trying up to maxTries endpoints.
func (e *Entry) runIdempotent(ctx context.Context, j *job, out *responseSink) *Failure {
	if f := e.checkQuarantine(ctx, j, false); f != nil {
		return f
	}
	tried := value.Set[string]{}
	last := outcome{code: CodeNoEndpoint, ran: No}
	for try := 0; try < maxTries; try++ {
		if try > 0 {
			if f := e.waitForRetry(ctx, j, try, last); f != nil {
				return f
			}
		}
		target, choice, ok := e.pickEndpoint(j, tried)
		if !ok {
			break
		}
		if f := e.checkDeadline(j, choice); f != nil {
			return f
		}
		tried.Add(target.Name)
		last = e.try(ctx, j, target, out, attempt{})
		if last.ok {
			return nil
		}
		j.ran = strongerRan(j.ran, last.ran)
		if last.clientClosed || out.started || ctx.Err() != nil {
			break
		}
		out.reset()
		if last.code == "crash" || last.code == "suspect" {
			if f := e.checkQuarantine(ctx, j, true); f != nil {
				return f
			}
		}
	}
	return e.finalFailure(ctx, j, last)
}

// checkDeadline rejects a request early if its predicted wait exceeds its remaining time.
func (e *Entry) checkDeadline(j *job, c route.Choice) *Failure {
	remaining := time.Until(j.deadline)
	if c.First <= remaining {
		return nil
	}
	return newFailure(http.StatusServiceUnavailable, CodeBusy, j.ran, "the expected wait is longer than the request may take").withRetryAfter(c.First - remaining + time.Second)
}

// waitForRetry charges the route's retry budget and waits for a jittered backoff.
func (e *Entry) waitForRetry(ctx context.Context, j *job, try int, last outcome) *Failure {
	if !refusedByAgent(last.code) && !e.spendRetry(j.plan.Route) {
		return e.finalFailure(ctx, j, last)
	}
	e.Retries.Add(1)
	e.config.Events.Emit(event.Retried, "id", j.id, "code", last.code, "ran", string(last.ran))
	select {
	case <-time.After(e.jitter(retryBaseDelay << try)):
		return nil
	case <-ctx.Done():
		return e.finalFailure(ctx, j, last)
	}
}

// refusedByAgent reports whether an agent refused without contacting its endpoint.
// Such a try puts no load on the endpoint, so it isn't charged to the retry budget.
func refusedByAgent(code string) bool {
	switch code {
	case "leaving", "loading", "down", "boot", "unlawful", "stale", "revoked", "suspect", "evacuated":
		return true
	}
	return false
}

// strongerRan returns the stronger of two statements that a request ran, which allows a repeat less:
// Yes is stronger than Unknown, Unknown stronger than No.
func strongerRan(a, b Ran) Ran {
	rank := map[Ran]int{No: 0, Unknown: 1, Yes: 2}
	if rank[b] > rank[a] {
		return b
	}
	return a
}

// finalFailure converts the last outcome into the error response, which the caller gets
// immediately: no further try is made.
func (e *Entry) finalFailure(ctx context.Context, j *job, last outcome) *Failure {
	if ctx.Err() != nil && time.Now().After(j.deadline) {
		return newFailure(http.StatusGatewayTimeout, CodeDeadlineExceeded, j.ran, "the request took longer than its route allows")
	}
	if context.Cause(ctx) == errEnding {
		return newFailure(http.StatusServiceUnavailable, CodeShuttingDown, j.ran, "this entry shuts down").withRetryAfter(time.Second)
	}
	retry := max(last.retry, time.Second)
	switch last.code {
	case CodeNoEndpoint:
		return newFailure(http.StatusServiceUnavailable, CodeNoEndpoint, j.ran, "no endpoint of the route takes work now").withRetryAfter(retry)
	case "busy", "loading", "leaving", "down", "stale", "boot", "unlawful", "revoked", "suspect", "evacuated":
		return newFailure(http.StatusServiceUnavailable, CodeBusy, j.ran, "the endpoints refused: "+last.text).withRetryAfter(retry)
	case CodeResponseCut:
		return newFailure(http.StatusBadGateway, CodeResponseCut, j.ran, last.text)
	}
	return newFailure(http.StatusBadGateway, CodeEndpointFailed, j.ran, last.text).withRetryAfter(retry)
}

// checkQuarantine rejects requests that crashed endpoints, and asks control for an
// isolated run of a suspected one. If crashed is set, control is asked even if the
// local view doesn't list the request as a suspect.
func (e *Entry) checkQuarantine(ctx context.Context, j *job, crashed bool) *Failure {
	suspects := e.config.Follower.View().Suspects
	j.print = suspects.PrintOf(j.account, j.fingerprint, j.parts, time.Now())
	verdict, suspect := suspects.Check(j.account, j.print, time.Now())
	if verdict == limit.Run && !crashed {
		return nil
	}
	if verdict != limit.Refuse {
		verdict = e.requestIsolatedRun(ctx, j)
	}
	switch verdict {
	case limit.Refuse:
		e.config.Events.Emit(event.Quarantined, "account", j.account, "print", j.print)
		f := newFailure(http.StatusUnprocessableEntity, CodeQuarantined, j.ran, "this request crashed endpoints and is refused for a while")
		if remaining := time.Until(suspect.RefusedUntil); remaining > 0 {
			return f.withRetryAfter(remaining)
		}
		return f.withRetryAfter(limit.QuarantineTime)
	case limit.WaitForIsolatedRun:
		return newFailure(http.StatusServiceUnavailable, CodeIsolatedRun, j.ran, "an equal request that may have crashed an endpoint is being tried alone").withRetryAfter(5 * time.Second)
	case limit.RunIsolated:
		j.isolated = true
	}
	return nil
}

func (e *Entry) requestIsolatedRun(ctx context.Context, j *job) limit.Verdict {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	r, err := e.config.Control.Propose(ctx, ctrl.Command{Suspect: &limit.Command{
		Op: limit.OpIsolatedRun, Account: j.account, Fingerprints: []string{j.print}, Holder: j.id,
	}})
	if err != nil {
		// Only control can grant an isolated run, so the request must wait.
		return limit.WaitForIsolatedRun
	}
	return r.Verdict
}

// attempt identifies one attempt at a request that must not run twice.
type attempt struct {
	key         string
	number      uint32
	incarnation string
}

// try sends the job to one endpoint and relays the response into the sink.
func (e *Entry) try(ctx context.Context, j *job, dest route.Target, out *responseSink, a attempt) outcome {
	s := e.endpointStates.stateOf(dest)
	startedAt := time.Now()
	s.recordSent(startedAt, float64(j.promptTokens))
	r := &relay{e: e, j: j, dest: dest, out: out, endpointState: s, attempt: a, startedAt: startedAt}
	result := r.run(ctx)
	switch {
	case result.ok:
		s.recordSuccess(time.Now(), 0)
	case result.code == CodeResponseCut && ctx.Err() == nil:
		s.recordFailure(time.Now())
	}
	return result
}

// relay is the state of one attempt, across reconnections to the same agent.
type relay struct {
	e             *Entry
	j             *job
	dest          route.Target
	out           *responseSink
	endpointState *endpointState
	attempt       attempt
	startedAt     time.Time

	offset   uint64
	checksum uint32
	accepted bool
	resumes  int
}

// maxResumes bounds the reconnections for one response.
const maxResumes = 5

func (r *relay) run(ctx context.Context) outcome {
	s, err := r.e.config.AgentConns.Open(ctx, r.dest.Addr)
	if err != nil {
		r.endpointState.recordFailure(time.Now())
		return outcome{code: "down", text: "the endpoint's agent can't be reached", ran: No}
	}
	first := &wire.Frame{Body: &wire.Frame_Offer{Offer: r.newOffer()}}
	for {
		result, resume := r.receive(ctx, s, first)
		if !resume {
			return result
		}
		s, err = r.reconnect(ctx)
		if err != nil {
			return r.recordCut("the connection to the endpoint was lost")
		}
		first = &wire.Frame{Body: &wire.Frame_Resume{Resume: &wire.Resume{Id: r.j.id, Offset: r.offset}}}
	}
}

func (r *relay) recordCut(text string) outcome {
	r.e.TruncatedResponses.Add(1)
	r.e.config.Events.Emit(event.ResponseCut, "id", r.j.id, "endpoint", r.dest.Name, "offset", r.offset)
	return outcome{code: CodeResponseCut, text: text, ran: Unknown}
}

// reconnect opens a new stream to the same agent, with exponential backoff.
func (r *relay) reconnect(ctx context.Context) (*wire.Stream, error) {
	r.e.Resumes.Add(1)
	for {
		r.resumes++
		s, err := r.e.config.AgentConns.Open(ctx, r.dest.Addr)
		if err == nil || r.resumes >= maxResumes {
			return s, err
		}
		select {
		case <-time.After(r.e.jitter(retryBaseDelay << r.resumes)):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (r *relay) newOffer() *wire.Offer {
	j := r.j
	o := &wire.Offer{
		Id: j.id, Account: j.account, Route: j.plan.Route.Name, Pool: r.dest.Pool.Name, Target: j.target,
		Method: j.method, Path: j.path, Body: j.body, Prompt: j.promptText, Key: r.attempt.key, Attempt: r.attempt.number,
		BudgetMs: uint32(max(time.Until(j.deadline).Milliseconds(), 1)), Class: j.plan.Route.Class.Rank(),
		Boot: r.attempt.incarnation, Stream: j.stream, Once: j.atMostOnce, Output: uint32(j.maxOutputTokens), Alone: j.isolated,
		Print: cmp.Or(j.print, j.fingerprint), Parts: j.parts, Size: uint32(j.promptTokens),
	}
	for name, values := range j.headers {
		for _, v := range values {
			o.Headers = append(o.Headers, &wire.Header{Name: name, Value: v})
		}
	}
	return o
}

// receive sends the first frame and receives the response. It reports whether to
// resume, because the stream broke and the agent may have accepted the request.
func (r *relay) receive(ctx context.Context, s *wire.Stream, first *wire.Frame) (result outcome, resume bool) {
	defer s.Close()
	stop := context.AfterFunc(ctx, func() {
		// The client disconnected or the deadline passed: the agent cancels the call
		// to its endpoint.
		_ = s.Send(&wire.Frame{Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{}}})
		s.Abort()
	})
	defer stop()
	if err := s.Send(first); err != nil {
		return r.handleStreamError(ctx, err)
	}
	for {
		f, err := s.Recv()
		if err != nil {
			return r.handleStreamError(ctx, err)
		}
		result, done, err := r.handleFrame(f)
		if err != nil {
			return r.handleStreamError(ctx, err)
		}
		if done {
			return result, false
		}
	}
}

// handleStreamError decides whether a broken stream ends the attempt or is resumed.
func (r *relay) handleStreamError(ctx context.Context, err error) (outcome, bool) {
	switch {
	case ctx.Err() != nil:
		ran := No
		if r.accepted {
			ran = Unknown
		}
		if !r.accepted && r.j.atMostOnce {
			ran = Unknown
		}
		return outcome{code: CodeDeadlineExceeded, text: "the request was given up", ran: ran}, false
	case errorx.IsOfType(err, clientClosed):
		return outcome{code: CodeResponseCut, text: "the caller takes no more of its answer", ran: Yes, clientClosed: true}, false
	case r.resumes >= maxResumes:
		return r.recordCut("the connection to the endpoint was lost again and again"), false
	}
	return outcome{}, true
}

// handleFrame handles one frame of the response.
func (r *relay) handleFrame(f *wire.Frame) (result outcome, done bool, err error) {
	switch body := f.GetBody().(type) {
	case *wire.Frame_Accept:
		r.accepted = true
		r.endpointState.updateIncarnation(body.Accept.GetBoot())
	case *wire.Frame_Head:
		r.accepted = true
		if checkHead(body.Head) != nil {
			return outcome{code: "broken", text: "the endpoint's answer is malformed", ran: Unknown}, true, nil
		}
		r.out.setHead(body.Head)
	case *wire.Frame_Piece:
		return outcome{}, false, r.handlePiece(body.Piece)
	case *wire.Frame_End:
		return r.end(body.End)
	case *wire.Frame_Refuse:
		return r.handleRefusal(body.Refuse), true, nil
	}
	return outcome{}, false, nil
}

var (
	// clientClosed reports a failed write to the client.
	clientClosed = errorx.NewNamespace("entry").NewType("callergone")
	// misplacedFrame reports a frame of another request or at an unexpected offset.
	misplacedFrame = errorx.NewNamespace("entry").NewType("crossed")
)

// handlePiece writes the next bytes of the response. Bytes that were received before
// are dropped. A gap or a piece of another request is an error that breaks the
// stream, so that it is resumed at the expected offset.
func (r *relay) handlePiece(p *wire.Piece) error {
	if p.GetId() != r.j.id {
		return misplacedFrame.New("received a piece of request %s on the stream of %s", p.GetId(), r.j.id)
	}
	if p.GetOffset() > r.offset {
		return misplacedFrame.New("received a piece at offset %d, expected %d", p.GetOffset(), r.offset)
	}
	skip := r.offset - p.GetOffset()
	if skip >= uint64(len(p.GetData())) {
		return nil
	}
	data := p.GetData()[skip:]
	if r.offset == 0 {
		r.endpointState.recordSuccess(time.Now(), 0)
	}
	r.offset += uint64(len(data))
	r.checksum = updateChecksum(r.checksum, data)
	if err := r.out.write(data); err != nil {
		return clientClosed.Wrap(err, "write response")
	}
	return nil
}

// end checks the length and the checksum of the complete response.
func (r *relay) end(end *wire.End) (outcome, bool, error) {
	if end.GetId() != r.j.id || end.GetTotal() != r.offset {
		return outcome{}, false, misplacedFrame.New("response ends at offset %d, received %d bytes", end.GetTotal(), r.offset)
	}
	if r.out.head == nil {
		return outcome{code: "broken", text: "the endpoint's answer has no status", ran: Unknown}, true, nil
	}
	if end.GetSum() != r.checksum {
		return r.recordCut("the answer does not match its checksum"), true, nil
	}
	r.e.recordHint(r.j, r.dest.Name, float64(r.j.promptTokens))
	return outcome{ok: true, ran: Yes}, true, nil
}

func (r *relay) handleRefusal(f *wire.Refuse) outcome {
	r.endpointState.updateIncarnation(f.GetBoot())
	if f.GetCode() == "leaving" {
		r.endpointState.mu.Lock()
		r.endpointState.health.MarkDraining()
		r.endpointState.mu.Unlock()
	}
	return outcome{
		code: f.GetCode(), text: f.GetText(), ran: Ran(f.GetRan()),
		retry: time.Duration(f.GetRetryMs()) * time.Millisecond,
	}
}
