package entry

import (
	"net/http/httptest"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/ledger"
	"egretshunt/wire"
)

// badHeads are heads that an agent of a former version may pass on.
var badHeads = map[string]*wire.Head{
	"none": {}, "status 99": {Status: 99}, "status 101": {Status: 101}, "status 1000": {Status: 1000},
	"a blank in a name":  {Status: 200, Headers: []*wire.Header{{Name: "Transfer Encoding", Value: "chunked"}}},
	"no name":            {Status: 200, Headers: []*wire.Header{{Value: "chunked"}}},
	"a line end in text": {Status: 200, Headers: []*wire.Header{{Name: "X-Note", Value: "a\r\nb"}}},
}

// TestBadHeadOfAgentIsNoResponse guards against a head that an agent passes on without a check, and that reaches the caller or ends the
// request's handler.
func TestBadHeadOfAgentIsNoResponse(t *testing.T) {
	for name, head := range badHeads {
		t.Run(name+", repeatable", func(t *testing.T) {
			run, rec := newScriptedRun(t, &scriptedAgent{head: head}, &scriptedAgent{})
			got := run.e.try(t.Context(), run.j, run.j.plan.Targets[0], run.out, attempt{})
			check.Equal(t, "code", got.code, "broken")
			check.Equal(t, "ran", got.ran, Unknown)
			check.Equal(t, "begun", run.out.started, false)
			check.Equal(t, "bytes of the response", rec.Body.Len(), 0)
		})
		t.Run(name+", at most once", func(t *testing.T) {
			first, second := &scriptedAgent{head: head, verdict: &wire.Verdict{State: "done", Head: head, Body: []byte("ok")}}, &scriptedAgent{}
			run, _ := newScriptedRun(t, first, second)
			checkGone(t, run.dispatch(t.Context(), run.j.plan.Targets[0]))
			check.Equal(t, "offers to another endpoint", second.offers.Load(), int64(0))
		})
		t.Run(name+", in a verdict", func(t *testing.T) {
			recorded := ledgerResponse(&wire.Verdict{State: "done", Head: head, Body: []byte("ok")})
			check.Equal(t, "recorded", recorded, &ledger.Response{BodyDropped: true})
		})
		t.Run(name+", recorded", func(t *testing.T) {
			c := &claimRun{e: &Entry{}, j: &job{}, out: newResponseSink(httptest.NewRecorder(), false, time.Minute)}
			recorded := &ledger.Response{Status: int(head.GetStatus()), Body: []byte("ok")}
			for _, h := range head.GetHeaders() {
				recorded.Headers = append(recorded.Headers, ledger.Header{Name: h.GetName(), Value: h.GetValue()})
			}
			f, settled := c.settled(t.Context(), &ledger.Claim{State: ledger.Done, Response: recorded})
			check.Equal(t, "settled", settled, true)
			checkGone(t, f)
		})
	}
}

// TestResponseWithoutHead guards against a response that an agent ends without a head, and that is recorded for resends.
func TestResponseWithoutHead(t *testing.T) {
	run, _ := newScriptedRun(t, &scriptedAgent{noHead: true, verdict: &wire.Verdict{State: "done", Body: []byte("ok")}}, &scriptedAgent{})
	got := run.e.try(t.Context(), run.j, run.j.plan.Targets[0], run.out, run.attempt)
	check.Equal(t, "complete", got.ok, false)
	checkGone(t, run.dispatch(t.Context(), run.j.plan.Targets[0]))
}

// checkGone fails the test unless the failure says that the request has run and that its response isn't kept.
func checkGone(t *testing.T, f *Failure) {
	t.Helper()
	if f == nil {
		t.Fatal("the response counts as whole")
	}
	check.Equal(t, "code", f.Code, CodeResponseGone)
	check.Equal(t, "ran", f.Ran, Yes)
}
