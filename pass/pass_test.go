package pass_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
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

// known is a fixed knowledge of the system.
type known struct {
	view   *ctrl.View
	list   *member.List
	stale  bool
	others map[string]int
	where  map[string][]block.Holder
	// noClock is set while the engines' clock is not known.
	noClock atomic.Bool
	// late replaces view where it comes later.
	late func() *ctrl.View
	// lists replaces list where it comes later.
	lists func() *member.List

	// mu guards blame, which counts breaks a second apart.
	mu    sync.Mutex
	blame *limit.Blame
	clock time.Duration
}

func (k *known) View() *ctrl.View {
	if k.late != nil {
		return k.late()
	}
	return k.view
}

func (k *known) List() *member.List {
	if k.lists != nil {
		return k.lists()
	}
	return k.list
}

func (k *known) Changed() <-chan struct{}         { return nil }
func (k *known) Fresh() bool                      { return !k.stale }
func (k *known) Age() time.Duration               { return 0 }
func (k *known) Where(part string) []block.Holder { return k.where[part] }
func (k *known) Open(netip.AddrPort) bool         { return true }
func (k *known) Use(string)                       {}

func (k *known) EngineClock(time.Duration) int64 {
	if k.noClock.Load() {
		return 0
	}
	return 1000
}

func (k *known) Broke(prints ...string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.blame == nil {
		k.blame = limit.NewBlame()
	}
	k.clock += time.Second
	for _, print := range prints {
		k.blame.Broke(print, k.clock)
	}
}

func (k *known) Refuses(print func() string) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.blame != nil && slices.Contains(k.blame.Refused(k.clock), print()) {
		return limit.BlameTime
	}
	return 0
}

func (k *known) Others(id string) int { return k.others[id] }
func (k *known) Entries() int         { return 1 }

// script answers attempts in turn; the last answer is repeated.
type script struct {
	mu    sync.Mutex
	turns []func(s *pass.Send) (*pass.Reply, error)
	sends []*pass.Send
}

// Send implements pass.Backend.
func (b *script) Send(_ context.Context, s *pass.Send) (*pass.Reply, error) {
	b.mu.Lock()
	turn := b.turns[min(len(b.sends), len(b.turns)-1)]
	b.sends = append(b.sends, s)
	b.mu.Unlock()
	return turn(s)
}

// cutBody ends with an error in place of io.EOF.
type cutBody struct{ io.Reader }

func (c cutBody) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = pass.Lost.New("cut")
	}
	return n, err
}

func answer(status int, body string) func(*pass.Send) (*pass.Reply, error) {
	return func(*pass.Send) (*pass.Reply, error) {
		return &pass.Reply{Status: status, Signed: true, Header: http.Header{"Seal": {"s"}}, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

func cut(body string) func(*pass.Send) (*pass.Reply, error) {
	return func(*pass.Send) (*pass.Reply, error) {
		return &pass.Reply{Status: 200, Signed: true, Header: http.Header{}, Body: io.NopCloser(cutBody{strings.NewReader(body)})}, nil
	}
}

func notRun(status int, other string) func(*pass.Send) (*pass.Reply, error) {
	return func(*pass.Send) (*pass.Reply, error) {
		return &pass.Reply{Status: status, NotRun: true, Other: other, Header: http.Header{}, Body: http.NoBody}, nil
	}
}

func lost(*pass.Send) (*pass.Reply, error)    { return nil, pass.Lost.New("reset") }
func notSent(*pass.Send) (*pass.Reply, error) { return nil, pass.NotSent.New("refused") }

func unsigned(s *pass.Send) (*pass.Reply, error) {
	r, err := answer(200, "forged")(s)
	r.Signed = false
	return r, err
}

const (
	eventA = "id: 1\ndata: a\n\n"
	eventB = "id: 2\ndata: b\n\n"
)

// world is one entry with its knowledge and its endpoints.
type world struct {
	entry *pass.Entry
	known *known
	back  *script
}

func newWorld(t *testing.T, turns ...func(*pass.Send) (*pass.Reply, error)) *world {
	t.Helper()
	return newWorldWith(t, pass.Config{SwapTime: time.Hour}, turns...)
}

// newWorldWith is newWorld with some of the entry's configuration.
func newWorldWith(t *testing.T, c pass.Config, turns ...func(*pass.Send) (*pass.Reply, error)) *world {
	t.Helper()
	route := func(prefix string, kind board.Kind, attempts int) board.Route {
		return board.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Attempts: attempts, Timeout: 10 * time.Second, Goal: time.Second,
			Patience: 2 * time.Second, Split: []board.Share{{Pool: "p", Weight: 1}}, Resumable: prefix == "/resume/",
			Prompts: kind == board.Stream, Public: prefix == "/public/",
		}
	}
	set, err := board.New(board.Draft{
		Number: 1, Keyed: true, Pools: []board.Pool{{Name: "p", Engine: &board.Engine{Tokens: 90000, TokenBytes: 1000}}},
		Accounts: []board.Account{{Name: "a", Keys: []string{"k", "k-secret"}}, {Name: "iso", Keys: []string{"i"}, Isolated: true}},
		Routes: []board.Route{
			route("/safe/", board.Safe, 2), route("/once/", board.Once, 1), route("/stream/", board.Stream, 1),
			route("/resume/", board.Stream, 2), route("/public/", board.Safe, 1),
		},
	})
	check.Good(t, err)
	var ends []member.Endpoint
	for i := range 4 {
		ends = append(ends, member.Endpoint{
			ID: fmt.Sprint("w", i), Pool: "p", Addr: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i+1)), Weights: map[string]uint64{"m": 3},
		})
	}
	w := &world{back: &script{turns: turns}, known: &known{
		view: &ctrl.View{Set: &ctrl.Document{Number: 1}}, list: (&member.List{Endpoints: ends}).Index(),
		others: map[string]int{}, where: map[string][]block.Holder{},
	}}
	c.View, c.Backend = w.known, w.back
	c.Decode = func([]byte) (*board.Set, error) { return set, nil }
	c.Repeats = limit.RepeatConfig{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
	w.entry = pass.New(c)
	t.Cleanup(w.entry.Close)
	return w
}

// call sends one request and returns the answer; aborted is true where the connection was broken.
func (w *world) call(path, key string, change ...func(*pass.Call)) (got *httptest.ResponseRecorder, aborted bool) {
	c := &pass.Call{ID: "id-" + path, Host: "h", Method: http.MethodPost, Path: path, Target: path, Header: http.Header{}, Key: key, Arrived: time.Now(), Wait: 5 * time.Second}
	if strings.Contains(path, "stream") || strings.Contains(path, "resume") {
		c.Model, c.Parts = "m", []pass.Part{{ID: "sys", Tokens: 500}, {ID: "subject", Tokens: 8000}, {ID: "own", Tokens: 300}}
	}
	for _, f := range change {
		f(c)
	}
	got = httptest.NewRecorder()
	defer func() {
		if r := recover(); r != nil {
			aborted = r == http.ErrAbortHandler
		}
	}()
	w.entry.Serve(context.Background(), c, got)
	return got, false
}

func TestOutcomes(t *testing.T) {
	type turn = func(*pass.Send) (*pass.Reply, error)
	for name, c := range map[string]struct {
		path   string
		turns  []turn
		status int
		body   string
		sends  int
	}{
		"answered":                               {"/once/x", []turn{answer(200, "ok")}, 200, "ok", 1},
		"endpoint's failure goes through":        {"/once/x", []turn{answer(500, "bad")}, 500, "bad", 1},
		"safe failure is tried again":            {"/safe/x", []turn{answer(500, "bad"), answer(200, "ok")}, 200, "ok", 2},
		"safe failure twice":                     {"/safe/x", []turn{answer(500, "bad")}, 500, "bad", 2},
		"lost, safe":                             {"/safe/x", []turn{lost, answer(200, "ok")}, 200, "ok", 2},
		"lost, at most once":                     {"/once/x", []turn{lost, answer(200, "twice")}, 502, "", 1},
		"lost stream, not resumable":             {"/stream/x", []turn{lost, answer(200, eventA)}, 502, "", 1},
		"lost stream, resumable":                 {"/resume/x", []turn{lost, answer(200, eventA)}, 200, eventA, 2},
		"never sent, at most once":               {"/once/x", []turn{notSent, notSent, answer(200, "ok")}, 200, "ok", 3},
		"not run, at most once":                  {"/once/x", []turn{notRun(503, ""), answer(200, "ok")}, 200, "ok", 2},
		"another endpoint at the address":        {"/once/x", []turn{notRun(421, "w9"), answer(200, "ok")}, 200, "ok", 2},
		"nobody runs it":                         {"/once/x", []turn{notRun(503, "")}, 503, "", 3},
		"unsigned success, at most once":         {"/once/x", []turn{unsigned, answer(200, "twice")}, 502, "", 1},
		"unsigned success, safe":                 {"/safe/x", []turn{unsigned, answer(200, "ok")}, 200, "ok", 2},
		"cut plain answer, at most once":         {"/once/x", []turn{cut("half"), answer(200, "twice")}, 502, "", 1},
		"cut plain answer, safe":                 {"/safe/x", []turn{cut("half"), answer(200, "ok")}, 200, "ok", 2},
		"stream cut before its first event":      {"/stream/x", []turn{cut("id: 1\nda")}, 502, "", 1},
		"resumable stream, cut before its first": {"/resume/x", []turn{cut("id: 1\nda"), answer(200, eventA)}, 200, eventA, 2},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, c.turns...)
			got, aborted := w.call(c.path, "k")
			check.Equal(t, "aborted", aborted, false)
			check.Equal(t, "status", got.Code, c.status)
			if c.body != "" {
				check.Equal(t, "body", got.Body.String(), c.body)
			}
			check.Equal(t, "sends", len(w.back.sends), c.sends)
			check.Equal(t, "told when to come back", got.Header().Get("Retry-After") != "", c.status == 503)
		})
	}
}

func TestStreamResumesAfterTheLastWholeEvent(t *testing.T) {
	w := newWorld(t, cut(eventA+"id: 2\ndata: ha"), answer(200, eventB))
	got, aborted := w.call("/resume/x", "k")
	check.Equal(t, "aborted", aborted, false)
	check.Equal(t, "body", got.Body.String(), eventA+eventB)
	check.Equal(t, "resumed after", w.back.sends[1].After, "1")
	check.Equal(t, "elsewhere", w.back.sends[0].To.ID != w.back.sends[1].To.ID, true)
}

func TestCutStreamNeverLooksComplete(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		w := newWorld(t, cut(eventA))
		got, aborted := w.call(path, "k")
		check.Equal(t, "aborted", aborted, true)
		check.Equal(t, "what came whole went out", strings.HasPrefix(got.Body.String(), eventA), true)
	}
}

// A request that crashes what runs it comes again and again: after a few endpoints it is refused
// before it reaches another, whatever else its caller sends.
func TestCrashingRequestIsRefused(t *testing.T) {
	bad := func(c *pass.Call) { c.Body = []byte("bad") }
	w := newWorld(t, lost, cut("half"), lost, answer(200, "ok"))
	for range limit.BlameCount {
		got, _ := w.call("/once/x", "k", bad)
		check.Equal(t, "status", got.Code, 502)
	}
	got, _ := w.call("/once/x", "k", bad)
	check.Equal(t, "status once known", got.Code, 503)
	check.Equal(t, "told when to come back", got.Header().Get("Retry-After"), "60.000")
	check.Equal(t, "sends", len(w.back.sends), limit.BlameCount)
	for what, call := range map[string]func() (*httptest.ResponseRecorder, bool){
		"another body":    func() (*httptest.ResponseRecorder, bool) { return w.call("/once/x", "k") },
		"another path":    func() (*httptest.ResponseRecorder, bool) { return w.call("/once/y", "k", bad) },
		"another account": func() (*httptest.ResponseRecorder, bool) { return w.call("/once/x", "i", bad) },
	} {
		got, _ := call()
		check.Equal(t, what, got.Code, 200)
	}
}

// It is also refused between the attempts of one call.
func TestCrashingRequestIsNotTriedAgain(t *testing.T) {
	w := newWorld(t, lost)
	for range limit.BlameCount {
		w.call("/safe/x", "k")
	}
	check.Equal(t, "sends", len(w.back.sends), limit.BlameCount)
}

func TestTables(t *testing.T) {
	for name, c := range map[string]struct {
		path, key string
		stale     bool
		status    int
	}{
		"known key":               {"/once/x", "k", false, 200},
		"unknown key":             {"/once/x", "z", false, 401},
		"no key":                  {"/once/x", "", false, 401},
		"no route":                {"/none/x", "k", false, 404},
		"public route":            {"/public/x", "", false, 200},
		"stale, known key":        {"/once/x", "k", true, 503},
		"stale, unknown key":      {"/once/x", "z", true, 503},
		"stale, no route":         {"/none/x", "k", true, 503},
		"stale, but public route": {"/public/x", "", true, 200},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, answer(200, "ok"))
			w.known.stale = c.stale
			got, _ := w.call(c.path, c.key)
			check.Equal(t, "status", got.Code, c.status)
			check.Equal(t, "sent", len(w.back.sends) > 0, c.status == 200)
		})
	}
}

func TestNoTablesYet(t *testing.T) {
	w := newWorld(t, answer(200, "ok"))
	w.known.view = &ctrl.View{}
	got, _ := w.call("/once/x", "k")
	check.Equal(t, "status", got.Code, 503)
	_, ready := w.entry.Ready()
	check.Equal(t, "ready", ready, false)
}

// All processes start anew with callers already there: their requests wait for the tables.
func TestRequestWaitsForTables(t *testing.T) {
	w := newWorld(t, answer(200, "ok"))
	full := w.known.view
	var looks atomic.Int64
	w.known.late = func() *ctrl.View {
		if looks.Add(1) < 5 {
			return &ctrl.View{}
		}
		return full
	}
	got, _ := w.call("/once/x", "k")
	check.Equal(t, "status", got.Code, 200)
}

// The tables come a moment before the endpoints; requests that wait must not be lost between.
func TestRequestWaitsForEndpoints(t *testing.T) {
	w := newWorld(t, answer(200, "ok"))
	full := w.known.list
	var looks atomic.Int64
	w.known.lists = func() *member.List {
		if looks.Add(1) < 5 {
			return nil
		}
		return full
	}
	got, _ := w.call("/once/x", "k")
	check.Equal(t, "status", got.Code, 200)
}

// No work under way may be counted for ever: counts that only rise would refuse all.
func TestWorkIsCountedDown(t *testing.T) {
	for name, turn := range map[string]func(*pass.Send) (*pass.Reply, error){
		"answered": answer(200, eventA), "lost": lost, "cut": cut(eventA), "not run": notRun(503, ""), "not sent": notSent, "unsigned": unsigned,
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, turn)
			for i := range 10 {
				w.call("/resume/x", "k", func(c *pass.Call) { c.ID = fmt.Sprint(i) })
			}
			check.Equal(t, "work", w.entry.Work(), map[string]int{})
			check.Equal(t, "open", w.entry.Open(), int64(0))
		})
	}
}
