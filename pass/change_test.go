package pass_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"egretshunt/board"
	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/pass"
)

// tableChanges are changes of a table set.
var tableChanges = map[string]func(d *board.Draft){
	"none":              func(*board.Draft) {},
	"routes removed":    func(d *board.Draft) { d.Routes = nil },
	"pool dropped":      func(d *board.Draft) { d.Routes, d.Pools = nil, nil },
	"accounts removed":  func(d *board.Draft) { d.Accounts = nil },
	"accounts renamed":  func(d *board.Draft) { d.Accounts[0].Name = "b" },
	"no keys required":  func(d *board.Draft) { d.Accounts, d.RequireKeys = nil, false },
	"limits shortened":  func(d *board.Draft) { d.Limits = board.Limits{Header: 1, Body: 1, HeaderTimeout: 1, IdleTimeout: 1} },
	"timeout shortened": eachRoute(func(r *board.Route) { r.Timeout = time.Millisecond }),
	"timeout lengthened": eachRoute(func(r *board.Route) {
		r.Timeout = time.Hour
	}),
	"goal and patience":  eachRoute(func(r *board.Route) { r.Goal, r.Patience = 1, 1 }),
	"one attempt":        eachRoute(func(r *board.Route) { r.Attempts = 1 }),
	"none is resumable":  eachRoute(func(r *board.Route) { r.Resumable = false }),
	"all run once":       eachRoute(func(r *board.Route) { r.Kind = board.AtMostOnce }),
	"all are streams":    eachRoute(func(r *board.Route) { r.Kind, r.Resumable = board.Stream, true }),
	"other ranks":        eachRoute(func(r *board.Route) { r.Rank = 9 }),
	"parts aren't named": eachRoute(func(r *board.Route) { r.NamesPromptParts = false }),
	"moved": func(d *board.Draft) {
		d.Pools = append(d.Pools, board.Pool{Name: "q"})
		eachRoute(func(r *board.Route) { r.Split = []board.WeightedPool{{Pool: "q", Weight: 1}} })(d)
	},
	"split": func(d *board.Draft) {
		d.Pools = append(d.Pools, board.Pool{Name: "q"})
		eachRoute(func(r *board.Route) { r.Split = []board.WeightedPool{{Pool: "q", Weight: 99}, {Pool: "p", Weight: 1}} })(d)
	},
	"no longer an engine": func(d *board.Draft) { d.Pools[0].Engine = nil },
	"a store":             func(d *board.Draft) { d.Pools = append(d.Pools, board.Pool{Name: "s", Store: &board.Store{Tokens: 1}}) },
}

func eachRoute(change func(r *board.Route)) func(d *board.Draft) {
	return func(d *board.Draft) {
		for i := range d.Routes {
			change(&d.Routes[i])
		}
	}
}

// viewChanges are other changes of what an entry knows; at is the index of the endpoint that has the request.
var viewChanges = map[string]func(w *changingView, at int){
	"none":               func(*changingView, int) {},
	"control is silent":  func(w *changingView, _ int) { w.stale.Store(true) },
	"endpoint left":      func(w *changingView, at int) { w.nextList.Endpoints = slices.Delete(w.nextList.Endpoints, at, at+1) },
	"endpoint drains":    func(w *changingView, at int) { w.nextList.Endpoints[at].Draining = true },
	"endpoint is down":   func(w *changingView, at int) { w.nextList.Endpoints[at].Down = true },
	"endpoint restarted": func(w *changingView, at int) { w.nextList.Endpoints[at].Born = 7 },
	"address taken over": func(w *changingView, at int) { w.nextList.Endpoints[at].ID, w.nextList.Endpoints[at].Pool = "w9", "q" },
}

// changingView is a feed whose tables and list change once.
type changingView struct {
	*feed
	changed, stale atomic.Bool
	next           *ctrl.View
	nextList       *member.List
	// onDecode is called if it isn't nil when a set is about to be decoded, onSnapshot before each snapshot.
	onDecode, onSnapshot func()
}

// View implements pass.View.
func (w *changingView) View() *ctrl.View {
	if w.changed.Load() {
		return w.next
	}
	return w.feed.View()
}

// List implements pass.View.
func (w *changingView) List() *member.List {
	if w.changed.Load() {
		return w.nextList
	}
	return w.feed.List()
}

// Snapshot implements pass.View. It reads the lease first, so that the view is the one that the lease is of, or a newer one.
func (w *changingView) Snapshot() ctrl.Snapshot {
	if w.onSnapshot != nil {
		w.onSnapshot()
	}
	fresh := !w.stale.Load()
	return ctrl.Snapshot{View: w.View(), Age: w.Age(), Fresh: fresh}
}

// TestChangeDropsRequests guards against requests that end without their answer because tables or endpoints change while they are served.
func TestChangeDropsRequests(t *testing.T) {
	t.Run("tables", func(t *testing.T) {
		for name, change := range tableChanges {
			t.Run(name, func(t *testing.T) { serveBesideChange(t, change, viewChanges["none"]) })
		}
	})
	t.Run("view", func(t *testing.T) {
		for name, change := range viewChanges {
			t.Run(name, func(t *testing.T) { serveBesideChange(t, func(*board.Draft) {}, change) })
		}
	})
}

// serveBesideChange serves requests at several stages while a change takes place. Each must get a response as without it.
func serveBesideChange(t *testing.T, change func(d *board.Draft), changeView func(w *changingView, at int)) {
	t.Helper()
	type reply = func(context.Context, *pass.Send) (*pass.Reply, error)
	whole := func(body string) reply {
		return func(_ context.Context, s *pass.Send) (*pass.Reply, error) { return respondWith(200, body)(s) }
	}
	broken := func(context.Context, *pass.Send) (*pass.Reply, error) { return lost(nil) }
	rejected := func(_ context.Context, s *pass.Send) (*pass.Reply, error) { return notRun(503, "")(s) }
	long := strings.Repeat("x", 300<<10)
	for name, c := range map[string]struct {
		path string
		// first is the response of the first attempt, whose body goes on with rest after the change; then that of the second.
		first       reply
		body, rest  string
		then        reply
		limited     bool
		status      int
		want        string
		beforeFirst bool
	}{
		"sent":                     {path: "/once/x", first: whole("ok"), beforeFirst: true, status: 200, want: "ok"},
		"buffered":                 {path: "/once/x", body: "half", rest: "half", status: 200, want: "halfhalf"},
		"long body":                {path: "/once/x", body: long, rest: "end", status: 200, want: long + "end"},
		"stream not begun":         {path: "/stream/x", first: whole(eventA), beforeFirst: true, status: 200, want: eventA},
		"stream begun":             {path: "/stream/x", body: eventA, rest: eventB, status: 200, want: eventA + eventB},
		"between attempts":         {path: "/safe/x", first: broken, beforeFirst: true, then: whole("ok"), status: 200, want: "ok"},
		"after a rejection":        {path: "/once/x", first: rejected, beforeFirst: true, then: whole("ok"), status: 200, want: "ok"},
		"waits for a permit":       {path: "/once/x", limited: true, first: whole("ok"), status: 200, want: "ok"},
		"resumed within an answer": {path: "/resume/x", body: eventA, rest: "id: 2\nda", then: whole(eventB), status: 200, want: eventA + eventB},
	} {
		t.Run(name, func(t *testing.T) {
			waits, changed := make(chan struct{}, 8), make(chan struct{})
			var sends, sentTo atomic.Int64
			backend := backendFunc(func(ctx context.Context, s *pass.Send) (*pass.Reply, error) {
				n := sends.Add(1)
				if n == 1 {
					at, err := strconv.Atoi(strings.TrimPrefix(s.To.ID, "w"))
					check.NoError(t, err)
					sentTo.Store(int64(at))
				}
				switch {
				case n > 1:
					return c.then(ctx, s)
				case c.beforeFirst:
					waits <- struct{}{}
					<-changed
				case c.first == nil:
					body := &heldBody{ctx, c.body, c.rest, waits, changed}
					r := &pass.Reply{Status: 200, Sealed: true, Header: http.Header{}, Body: body}
					if c.then != nil {
						r.Body = io.NopCloser(truncatedBody{body})
					}
					return r, nil
				}
				return c.first(ctx, s)
			})
			draft := fixtureDraft()
			before, err := board.New(draft)
			check.NoError(t, err)
			draft = fixtureDraft()
			draft.Number = 2
			change(&draft)
			after, err := board.New(draft)
			check.NoError(t, err)
			view := &changingView{next: &ctrl.View{Set: &ctrl.TableSetDocument{Number: 2, Body: []byte("2")}}}
			fx := newFixtureWith(t, pass.Config{Backend: backend, View: view, Decode: func(body []byte) (*board.Set, error) {
				if len(body) > 0 {
					return after, nil
				}
				return before, nil
			}})
			view.nextList = &member.List{Endpoints: slices.Clone(fx.feed.list.Endpoints)}
			if c.limited {
				limitAll(fx)
			}
			type result struct {
				status    int
				body, end string
			}
			answered, at := make(chan result, 1), fx.serveAddr(t)
			go func() {
				status, body, end := readResponse(t, at, "1.1", c.path)
				answered <- result{status, body, end}
			}()
			if c.limited {
				check.Eventually(t, "it waits", func() bool { return len(fx.entry.PermitWants()) > 0 })
			} else {
				<-waits
			}
			changeView(view, int(sentTo.Load()))
			view.nextList.Index()
			view.changed.Store(true)
			// Another request makes the entry decode the new set.
			fx.call("/public/y", "", func(c *pass.Call) { c.ClientTimeout = 20 * time.Millisecond; c.Path = "/none/" })
			if c.limited {
				for _, to := range fx.feed.list.Endpoints {
					fx.feed.permit(limit.EndpointRun{ID: to.ID, Born: to.Born}, 4)
				}
			}
			close(changed)
			got := <-answered
			check.Equal(t, "response", []any{got.status, got.end, len(got.body)}, []any{c.status, endCounted, len(c.want)})
			check.Equal(t, "body", got.body == c.want, true)
		})
	}
}

// TestDecodingHoldsUpResponses guards against responses that waited while a request decoded a table set that had just arrived.
func TestDecodingHoldsUpResponses(t *testing.T) {
	held, release := make(chan struct{}), make(chan struct{})
	decoding, decoded := make(chan struct{}), make(chan struct{})
	set, err := board.New(fixtureDraft())
	check.NoError(t, err)
	var decodes atomic.Int64
	decode := func([]byte) (*board.Set, error) {
		if decodes.Add(1) == 2 {
			close(decoding)
			<-decoded
		}
		return set, nil
	}
	fx := newFixtureWith(t, pass.Config{Decode: decode}, func(s *pass.Send) (*pass.Reply, error) {
		close(held)
		<-release
		return respondWith(200, "first")(s)
	}, respondWith(200, "second"))
	var view atomic.Pointer[ctrl.View]
	view.Store(fx.feed.view)
	fx.feed.viewFunc = view.Load
	endDecoding := sync.OnceFunc(func() { close(decoded) })
	t.Cleanup(endDecoding)
	first, second := make(chan int, 1), make(chan int, 1)
	go func() {
		got, _ := fx.call("/once/x", "k")
		first <- got.Code
	}()
	<-held
	view.Store(&ctrl.View{Set: &ctrl.TableSetDocument{Number: 2}})
	go func() {
		got, _ := fx.call("/safe/x", "k")
		second <- got.Code
	}()
	<-decoding
	close(release)
	check.Eventually(t, "the first request is answered", func() bool { return len(first) == 1 })
	endDecoding()
	check.Equal(t, "statuses", []int{<-first, <-second}, []int{200, 200})
}
