package pass_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"egretshunt/block"
	"egretshunt/board"
	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/pass"
)

// scriptedBackend returns the responses in order and repeats the last one.
type scriptedBackend struct {
	mu        sync.Mutex
	responses []func(s *pass.Send) (*pass.Reply, error)
	sends     []*pass.Send
	// life is what endpoints show after a lost response; Unknown counts as Ended.
	life member.Life
}

// Probe implements pass.Backend.
func (b *scriptedBackend) Probe(context.Context, *member.Endpoint) member.Life { return b.life }

// Send implements pass.Backend.
func (b *scriptedBackend) Send(_ context.Context, s *pass.Send) (*pass.Reply, error) {
	b.mu.Lock()
	respond := b.responses[min(len(b.sends), len(b.responses)-1)]
	b.sends = append(b.sends, s)
	b.mu.Unlock()
	return respond(s)
}

// truncatedBody ends with an error in place of io.EOF.
type truncatedBody struct{ io.Reader }

func (c truncatedBody) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = pass.Lost.New("cut")
	}
	return n, err
}

func respondWith(status int, body string) func(*pass.Send) (*pass.Reply, error) {
	return func(*pass.Send) (*pass.Reply, error) {
		return &pass.Reply{Status: status, Sealed: true, Header: http.Header{"Seal": {"s"}}, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

func respondTruncated(body string) func(*pass.Send) (*pass.Reply, error) {
	return func(*pass.Send) (*pass.Reply, error) {
		return &pass.Reply{Status: 200, Sealed: true, Header: http.Header{}, Body: io.NopCloser(truncatedBody{strings.NewReader(body)})}, nil
	}
}

func notRun(status int, other string) func(*pass.Send) (*pass.Reply, error) {
	return func(*pass.Send) (*pass.Reply, error) {
		return &pass.Reply{Status: status, NotRun: true, OtherEndpoint: other, Header: http.Header{}, Body: http.NoBody}, nil
	}
}

func lost(*pass.Send) (*pass.Reply, error)    { return nil, pass.Lost.New("reset") }
func notSent(*pass.Send) (*pass.Reply, error) { return nil, pass.NotSent.New("refused") }

func unsigned(s *pass.Send) (*pass.Reply, error) {
	r, err := respondWith(200, "forged")(s)
	r.Sealed = false
	return r, err
}

const (
	eventA = "id: 1\ndata: a\n\n"
	eventB = "id: 2\ndata: b\n\n"
)

// fixture is one entry with a fake feed and backend.
type fixture struct {
	entry   *pass.Entry
	feed    *feed
	backend *scriptedBackend
}

func newFixture(t *testing.T, responses ...func(*pass.Send) (*pass.Reply, error)) *fixture {
	t.Helper()
	return newFixtureWith(t, pass.Config{RolloutTimeout: time.Hour}, responses...)
}

// fixtureDraft returns a fixture's tables.
func fixtureDraft() board.Draft {
	ranks := map[string]int{"/once/": 1}
	route := func(prefix string, kind board.Kind, attempts int) board.Route {
		return board.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Attempts: attempts, Timeout: 10 * time.Second, Goal: time.Second,
			Patience: 2 * time.Second, Split: []board.WeightedPool{{Pool: "p", Weight: 1}}, Resumable: prefix == "/resume/",
			NamesPromptParts: kind == board.Stream, Public: prefix == "/public/", Rank: ranks[prefix],
		}
	}
	return board.Draft{
		Number: 1, RequireKeys: true, Pools: []board.Pool{{Name: "p", Engine: &board.Engine{Tokens: 90000, TokenBytes: 1000}}},
		Accounts: []board.Account{{Name: "a", Keys: []string{"k", "k-secret"}}, {Name: "iso", Keys: []string{"i"}, Isolated: true}},
		Routes: []board.Route{
			route("/safe/", board.Idempotent, 2), route("/once/", board.AtMostOnce, 1), route("/stream/", board.Stream, 1),
			route("/resume/", board.Stream, 2), route("/public/", board.Idempotent, 1), route("/urgent/", board.AtMostOnce, 1),
		},
	}
}

// newFixtureWith is newFixture with some of the entry's configuration set.
func newFixtureWith(t *testing.T, c pass.Config, responses ...func(*pass.Send) (*pass.Reply, error)) *fixture {
	t.Helper()
	set, err := board.New(fixtureDraft())
	check.NoError(t, err)
	var endpoints []member.Endpoint
	for i := range 4 {
		endpoints = append(endpoints, member.Endpoint{
			ID: fmt.Sprint("w", i), Pool: "p", Addr: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i+1)), Weights: map[string]uint64{"m": 3},
		})
	}
	fx := &fixture{backend: &scriptedBackend{responses: responses}, feed: &feed{
		view: &ctrl.View{Set: &ctrl.TableSetDocument{Number: 1}}, list: (&member.List{Endpoints: endpoints}).Index(),
		others: map[string]int{}, where: map[string][]block.Holder{},
		rates: map[limit.EndpointRun]float64{}, permits: map[limit.EndpointRun]int{},
	}}
	if changing, ok := c.View.(*changingView); ok {
		changing.feed = fx.feed
	} else {
		c.View = fx.feed
	}
	if c.Backend == nil {
		c.Backend = fx.backend
	}
	if c.Decode == nil {
		c.Decode = func([]byte) (*board.Set, error) { return set, nil }
	}
	c.RetryLimiter = limit.RetryLimiterConfig{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
	fx.entry = pass.New(c)
	t.Cleanup(fx.entry.Close)
	return fx
}

// call sends one request and returns the response; aborted reports whether the connection was
// closed early.
func (fx *fixture) call(path, key string, change ...func(*pass.Call)) (got *httptest.ResponseRecorder, aborted bool) {
	c := &pass.Call{ID: "id-" + path, Host: "h", Method: http.MethodPost, Path: path, Target: path, Header: http.Header{}, APIKey: key, Arrived: time.Now(), ClientTimeout: 5 * time.Second}
	if strings.Contains(path, "stream") || strings.Contains(path, "resume") {
		c.Model, c.Parts = "m", []pass.Part{{ID: "sys", Tokens: 500}, {ID: "subject", Tokens: 8000}, {ID: "own", Tokens: 300}}
	}
	for _, f := range change {
		f(c)
	}
	return fx.serve(context.Background(), c)
}

// serve serves one request as a server does, and returns as call does.
func (fx *fixture) serve(ctx context.Context, c *pass.Call) (got *httptest.ResponseRecorder, aborted bool) {
	got = httptest.NewRecorder()
	defer func() {
		if r := recover(); r != nil {
			aborted = r == http.ErrAbortHandler
		}
	}()
	fx.entry.Serve(ctx, c, got)
	return got, false
}

func TestResponseByAttemptOutcome(t *testing.T) {
	type responder = func(*pass.Send) (*pass.Reply, error)
	for name, c := range map[string]struct {
		path      string
		responses []responder
		status    int
		body      string
		sends     int
	}{
		"response relayed":                               {"/once/x", []responder{respondWith(200, "ok")}, 200, "ok", 1},
		"endpoint's error is relayed":                    {"/once/x", []responder{respondWith(500, "bad")}, 500, "bad", 1},
		"error, safe":                                    {"/safe/x", []responder{respondWith(500, "bad"), respondWith(200, "ok")}, 200, "ok", 2},
		"two errors, safe":                               {"/safe/x", []responder{respondWith(500, "bad")}, 500, "bad", 2},
		"lost, safe":                                     {"/safe/x", []responder{lost, respondWith(200, "ok")}, 200, "ok", 2},
		"lost, at most once":                             {"/once/x", []responder{lost, respondWith(200, "twice")}, 502, "", 1},
		"lost stream, not resumable":                     {"/stream/x", []responder{lost, respondWith(200, eventA)}, 502, "", 1},
		"lost stream, resumable":                         {"/resume/x", []responder{lost, respondWith(200, eventA)}, 200, eventA, 2},
		"not sent, at most once":                         {"/once/x", []responder{notSent, notSent, respondWith(200, "ok")}, 200, "ok", 3},
		"not run, at most once":                          {"/once/x", []responder{notRun(503, ""), respondWith(200, "ok")}, 200, "ok", 2},
		"another endpoint at address":                    {"/once/x", []responder{notRun(421, "w9"), respondWith(200, "ok")}, 200, "ok", 2},
		"not run by any endpoint":                        {"/once/x", []responder{notRun(503, "")}, 503, "", 3},
		"unsigned success, at most once":                 {"/once/x", []responder{unsigned, respondWith(200, "twice")}, 502, "", 1},
		"unsigned success, safe":                         {"/safe/x", []responder{unsigned, respondWith(200, "ok")}, 200, "ok", 2},
		"truncated response, at most once":               {"/once/x", []responder{respondTruncated("half"), respondWith(200, "twice")}, 502, "", 1},
		"truncated response, safe":                       {"/safe/x", []responder{respondTruncated("half"), respondWith(200, "ok")}, 200, "ok", 2},
		"stream truncated before first event":            {"/stream/x", []responder{respondTruncated("id: 1\nda")}, 502, "", 1},
		"resumable stream, truncated before first event": {"/resume/x", []responder{respondTruncated("id: 1\nda"), respondWith(200, eventA)}, 200, eventA, 2},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, c.responses...)
			got, aborted := fx.call(c.path, "k")
			check.Equal(t, "aborted", aborted, false)
			check.Equal(t, "status", got.Code, c.status)
			if c.body != "" {
				check.Equal(t, "body", got.Body.String(), c.body)
			}
			check.Equal(t, "sends", len(fx.backend.sends), c.sends)
			check.Equal(t, "Retry-After", got.Header().Get("Retry-After") != "", c.status == 503)
		})
	}
}

func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	fx := newFixture(t, respondTruncated(eventA+"id: 2\ndata: ha"), respondWith(200, eventB))
	got, aborted := fx.call("/resume/x", "k")
	check.Equal(t, "aborted", aborted, false)
	check.Equal(t, "body", got.Body.String(), eventA+eventB)
	check.Equal(t, "last event ID of second attempt", fx.backend.sends[1].LastEventID, "1")
	check.Equal(t, "second attempt on another endpoint", fx.backend.sends[0].To.ID != fx.backend.sends[1].To.ID, true)
}

func TestTruncatedStreamAbortsConnection(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		fx := newFixture(t, respondTruncated(eventA))
		got, aborted := fx.call(path, "k")
		check.Equal(t, "aborted", aborted, true)
		check.Equal(t, "complete events were relayed", strings.HasPrefix(got.Body.String(), eventA), true)
	}
}

// endlessBody repeats a text without end until ctx ends, and counts the bytes read.
type endlessBody struct {
	ctx  context.Context
	text string
	read atomic.Int64
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.ctx.Err() != nil {
		return 0, pass.Lost.New("cancelled")
	}
	n := copy(p, b.text)
	b.read.Add(int64(n))
	return n, nil
}

func (b *endlessBody) Close() error { return nil }

// An endpoint may send bytes without end that are no events. The entry must not collect them.
func TestEndlessEventIsCut(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	body := &endlessBody{ctx: ctx, text: "data: no end "}
	fx := newFixture(t, func(*pass.Send) (*pass.Reply, error) {
		return &pass.Reply{Status: 200, Sealed: true, Header: http.Header{}, Body: body}, nil
	})
	got, _ := fx.call("/stream/x", "k")
	check.Equal(t, "status", got.Code, 502)
	check.Equal(t, "bytes read are bounded", body.read.Load() < 4<<20, true)
}

// A body without end is passed on until the deadline, and then cut so that it doesn't look complete.
func TestEndlessBodyIsCutAtDeadline(t *testing.T) {
	for _, path := range []string{"/once/x", "/stream/x"} {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		body := &endlessBody{ctx: ctx, text: strings.Repeat(eventA, 100)}
		fx := newFixture(t, func(*pass.Send) (*pass.Reply, error) {
			return &pass.Reply{Status: 200, Sealed: true, Header: http.Header{}, Body: body}, nil
		})
		_, aborted := fx.call(path, "k")
		check.Equal(t, "aborted", aborted, true)
	}
}

func TestAccountsAndRoutes(t *testing.T) {
	for name, c := range map[string]struct {
		path, key string
		stale     bool
		status    int
	}{
		"known key":           {"/once/x", "k", false, 200},
		"unknown key":         {"/once/x", "z", false, 401},
		"no key":              {"/once/x", "", false, 401},
		"no route":            {"/none/x", "k", false, 404},
		"public route":        {"/public/x", "", false, 200},
		"stale, known key":    {"/once/x", "k", true, 503},
		"stale, unknown key":  {"/once/x", "z", true, 503},
		"stale, no route":     {"/none/x", "k", true, 503},
		"stale, public route": {"/public/x", "", true, 200},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, respondWith(200, "ok"))
			fx.feed.stale = c.stale
			got, _ := fx.call(c.path, c.key)
			check.Equal(t, "status", got.Code, c.status)
			check.Equal(t, "sent", len(fx.backend.sends) > 0, c.status == 200)
		})
	}
}

func TestRequestBeforeFirstTableSet(t *testing.T) {
	fx := newFixture(t, respondWith(200, "ok"))
	fx.feed.view = &ctrl.View{}
	got, _ := fx.call("/once/x", "k")
	check.Equal(t, "status", got.Code, 503)
	_, ready := fx.entry.Ready()
	check.Equal(t, "ready", ready, false)
}

// After a simultaneous restart of all processes, requests of waiting clients must wait for the
// table set.
func TestRequestWaitsForTableSet(t *testing.T) {
	fx := newFixture(t, respondWith(200, "ok"))
	complete := fx.feed.view
	var reads atomic.Int64
	fx.feed.viewFunc = func() *ctrl.View {
		if reads.Add(1) < 5 {
			return &ctrl.View{}
		}
		return complete
	}
	got, _ := fx.call("/once/x", "k")
	check.Equal(t, "status", got.Code, 200)
}

// The table set arrives a moment before the endpoint list; requests that wait must not fail in
// between.
func TestRequestWaitsForEndpoints(t *testing.T) {
	fx := newFixture(t, respondWith(200, "ok"))
	complete := fx.feed.list
	var reads atomic.Int64
	fx.feed.listFunc = func() *member.List {
		if reads.Add(1) < 5 {
			return nil
		}
		return complete
	}
	got, _ := fx.call("/once/x", "k")
	check.Equal(t, "status", got.Code, 200)
}

// Guards against counts of outstanding work that never return to zero: if they only grew, all
// requests would be rejected in the end.
func TestOutstandingWorkReturnsToZero(t *testing.T) {
	for name, respond := range map[string]func(*pass.Send) (*pass.Reply, error){
		"response relayed": respondWith(200, eventA), "lost": lost, "truncated": respondTruncated(eventA), "not run": notRun(503, ""), "not sent": notSent, "unsigned": unsigned,
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, respond)
			for i := range 10 {
				fx.call("/resume/x", "k", func(c *pass.Call) { c.ID = fmt.Sprint(i) })
			}
			check.Equal(t, "outstanding work", fx.entry.OutstandingTokens(), map[string]int{})
			check.Equal(t, "requests in progress", fx.entry.InFlight(), int64(0))
		})
	}
}
