package pass_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"egretshunt/block"
	"egretshunt/board"
	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/origin"
	"egretshunt/pass"
)

// kindsOfRequests are paths of a route of each kind.
var kindsOfRequests = []string{"/safe/x", "/once/x", "/stream/x", "/resume/x", "/public/x"}

// placesOf are the places of a fixture's endpoints, storesOf the addresses of its stores by place. Nobody knows the region of d.
var (
	placesOf = []string{"a", "a", "b", "d"}
	storesOf = map[string]netip.AddrPort{
		"a": netip.MustParseAddrPort("10.1.0.1:80"), "b": netip.MustParseAddrPort("10.1.0.2:80"), "d": netip.MustParseAddrPort("10.1.0.3:80"),
	}
	// delaysOf make some stores worse than others.
	delaysOf  = map[string]time.Duration{"b": 20 * time.Millisecond}
	regionsOf = map[string]string{"a": "north", "b": "south"}
)

// newPlacedFixture returns a fixture whose endpoints are at several places; change changes its tables.
func newPlacedFixture(t *testing.T, change func(*board.Draft), responses ...func(*pass.Send) (*pass.Reply, error)) *fixture {
	t.Helper()
	draft := fixtureDraft()
	draft.Pools[0].Engine.Bandwidth = 100e9
	for place, at := range storesOf {
		draft.Pools = append(draft.Pools, board.Pool{Name: "s" + place, Store: &board.Store{Addr: at, Place: place, Tokens: 90000, Bandwidth: 100e9, Delay: delaysOf[place]}})
	}
	if change != nil {
		change(&draft)
	}
	set, err := board.New(draft)
	check.NoError(t, err)
	fx := newFixtureWith(t, pass.Config{
		RolloutTimeout: time.Hour, RegionOf: func(place string) string { return regionsOf[place] },
		Decode: func([]byte) (*board.Set, error) { return set, nil },
	}, responses...)
	fx.place(placesOf...)
	return fx
}

// place sets the places of the endpoints, in a new list.
func (fx *fixture) place(places ...string) {
	next := &member.List{Endpoints: append([]member.Endpoint(nil), fx.feed.list.Endpoints...)}
	for i, place := range places {
		next.Endpoints[i].Place = place
	}
	fx.feed.list = next.Index()
}

// buildByPlace makes the places the builds of the endpoints there, so that the feed is told where streams are placed.
func (fx *fixture) buildByPlace() {
	for i := range fx.feed.list.Endpoints {
		fx.feed.list.Endpoints[i].Build = fx.feed.list.Endpoints[i].Place
	}
}

// evacuate makes places evacuated, all others not.
func (fx *fixture) evacuate(places ...string) { fx.feed.view = evacuated(fx.feed.view, places...) }

func evacuated(v *ctrl.View, places ...string) *ctrl.View {
	next := *v
	next.Places = nil
	for _, place := range places {
		next.Places = append(next.Places, ctrl.PlaceState{Place: place, Evacuated: true})
	}
	return &next
}

// repeat sends different requests of one kind and returns how many got each status.
func (fx *fixture) repeat(path string, times int) map[int]int {
	statuses := map[int]int{}
	for i := range times {
		got, _ := fx.call(path, "k", func(c *pass.Call) {
			c.ID = fmt.Sprint(path, i)
			if len(c.Parts) > 0 {
				c.Parts[1].ID = fmt.Sprint("subject-", i)
			}
		})
		statuses[got.Code]++
	}
	return statuses
}

// checkPlaces checks that each attempt was at one of some places, and that there were some.
func (fx *fixture) checkPlaces(t *testing.T, allowed ...string) {
	t.Helper()
	fx.backend.mu.Lock()
	defer fx.backend.mu.Unlock()
	check.Equal(t, "there are attempts", len(fx.backend.sends) > 0, true)
	for _, s := range fx.backend.sends {
		if !strings.Contains(strings.Join(allowed, ","), s.To.Place) {
			t.Errorf("%s was sent to %s in %s, want one of %v", s.Call.Path, s.To.ID, s.To.Place, allowed)
		}
	}
}

// checkRejected checks that a response says that the request hasn't run, and why.
func checkRejected(t *testing.T, got *httptest.ResponseRecorder, why string) {
	t.Helper()
	check.Equal(t, "status", got.Code, 503)
	check.Equal(t, "body", strings.TrimSpace(got.Body.String()), fmt.Sprintf(`{"error":%q}`, why))
	check.Equal(t, "Retry-After", got.Header().Get("Retry-After") != "", true)
}

// Guards against anything new that is sent to an evacuated place, whatever the attempt before came to, and against a
// response of the others that isn't served.
func TestEvacuatedPlaceGetsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		first  func(*pass.Send) (*pass.Reply, error)
		change func(fx *fixture)
	}{
		"first attempts": {respondWith(200, eventA), func(*fixture) {}},
		"not sent":       {notSent, func(*fixture) {}},
		"not run":        {notRun(503, ""), func(*fixture) {}},
		"the others are ejected or down": {respondWith(200, eventA), func(fx *fixture) {
			fx.feed.list.Endpoints[2].Down, fx.feed.list.Endpoints[3].Down = true, true
		}},
	} {
		for _, path := range kindsOfRequests {
			t.Run(name+path, func(t *testing.T) {
				fx := newPlacedFixture(t, nil, c.first, respondWith(200, eventA))
				fx.buildByPlace()
				c.change(fx)
				fx.evacuate("a")
				check.Equal(t, "statuses", fx.repeat(path, 12), map[int]int{200: 12})
				fx.checkPlaces(t, "b", "d")
				// The check at the sending end isn't needed.
				check.Equal(t, "placed there", slices.Contains(fx.feed.started, origin.Build{Pool: "p", Name: "a"}), false)
			})
		}
	}
	t.Run("lost", func(t *testing.T) {
		fx := newPlacedFixture(t, nil, lost, respondWith(200, "ok"))
		fx.backend.life = member.Running
		fx.place("b", "b", "b", "a")
		fx.evacuate("a")
		check.Equal(t, "statuses", fx.repeat("/safe/x", 12), map[int]int{200: 12})
		fx.checkPlaces(t, "b")
	})
	t.Run("after the end", func(t *testing.T) {
		fx := newPlacedFixture(t, nil, respondWith(200, eventA))
		fx.evacuate("a", "b")
		fx.repeat("/once/x", 12)
		fx.checkPlaces(t, "d")
		fx.evacuate()
		fx.repeat("/once/x", 60)
		check.Equal(t, "the places are used again", fx.backend.countSends("w0", 12) > 0 && fx.backend.countSends("w2", 12) > 0, true)
	})
}

// Guards against a stream, begun in a place that is evacuated meanwhile, that goes on there after a break; its client may resume it, too.
func TestStreamLeavesEvacuatedPlace(t *testing.T) {
	var fx *fixture
	fx = newPlacedFixture(t, nil, func(s *pass.Send) (*pass.Reply, error) {
		fx.evacuate(s.To.Place)
		return respondTruncated(eventA + "id: 2")(s)
	}, respondWith(200, eventB))
	fx.place("a", "b", "c", "d")
	got, _ := fx.call("/resume/x", "k")
	check.Equal(t, "body", got.Body.String(), eventA+eventB)
	first, second := fx.backend.sends[0], fx.backend.sends[1]
	check.Equal(t, "last event of the first attempt", second.LastEventID, "1")
	check.Equal(t, "same place", first.To.Place == second.To.Place, false)

	fx = newPlacedFixture(t, nil, respondWith(200, eventB))
	fx.feed.origins = map[origin.Key]origin.Build{origin.KeyOf("a", "first"): {Pool: "p"}}
	fx.evacuate("a", "d")
	for range 12 {
		got, _ = fx.call("/resume/x", "k", resuming("first"))
		check.Equal(t, "status of a client's resumption", got.Code, 200)
	}
	fx.checkPlaces(t, "b")
}

// Guards against a running request that ends with the evacuation of its place, and against requests that are sent there because no other
// endpoint is left.
func TestRunningRequestCompletesInEvacuatedPlace(t *testing.T) {
	for _, path := range kindsOfRequests {
		t.Run(path, func(t *testing.T) {
			reader, writer := io.Pipe()
			began := make(chan struct{})
			fx := newPlacedFixture(t, nil, func(*pass.Send) (*pass.Reply, error) {
				close(began)
				return &pass.Reply{Status: 200, Sealed: true, Header: http.Header{}, Body: reader}, nil
			}, respondWith(200, eventA))
			fx.feed.viewFunc = func() func() *ctrl.View {
				open, closed := fx.feed.view, evacuated(fx.feed.view, "a", "b", "d")
				return func() *ctrl.View {
					select {
					case <-began:
						return closed
					default:
						return open
					}
				}
			}()
			done := make(chan *httptest.ResponseRecorder, 1)
			go func() {
				got, _ := fx.call(path, "k")
				done <- got
			}()
			<-began
			got, _ := fx.call(path, "k")
			checkRejected(t, got, "evacuated")
			_, err := io.WriteString(writer, eventA+eventB)
			check.NoError(t, err)
			writer.Close()
			check.Equal(t, "body", (<-done).Body.String(), eventA+eventB)
			check.Equal(t, "sends", len(fx.backend.sends), 1)
		})
	}
}

// Guards against an evacuation that the list which an entry reads by itself undoes.
func TestOwnListKeepsEvacuation(t *testing.T) {
	fx := newPlacedFixture(t, nil)
	own := fx.feed.list
	backend := &scriptedBackend{responses: []func(*pass.Send) (*pass.Reply, error){respondWith(200, eventA)}}
	set, err := board.New(fixtureDraft())
	check.NoError(t, err)
	var reads atomic.Int64
	var view atomic.Pointer[ctrl.View]
	view.Store(evacuated(fx.feed.view, "a"))
	silent := &feed{viewFunc: view.Load, age: time.Minute, rates: fx.feed.rates, permits: fx.feed.permits, where: fx.feed.where}
	entry := pass.New(pass.Config{
		View: silent, Backend: backend, Decode: func([]byte) (*board.Set, error) { return set, nil }, RolloutTimeout: time.Hour,
		Fallback: func(context.Context) ([]member.Endpoint, error) {
			reads.Add(1)
			return own.Endpoints, nil
		},
		RetryLimiter: limit.RetryLimiterConfig{Ratio: 0.2, Slack: 20, Window: 10 * time.Second},
	})
	defer entry.Close()
	check.Eventually(t, "the entry has read the list", func() bool {
		_, ready := entry.Ready()
		return reads.Load() > 0 && ready
	})
	alone := &fixture{entry: entry, feed: silent, backend: backend}
	for _, path := range kindsOfRequests {
		check.Equal(t, "statuses", alone.repeat(path, 12), map[int]int{200: 12})
	}
	alone.checkPlaces(t, "b", "d")
	view.Store(evacuated(fx.feed.view, "a", "b", "d"))
	got, _ := alone.call("/once/x", "k")
	checkRejected(t, got, "evacuated")
}

// Guards against a request that is sent although its place was evacuated after it was placed, at this entry or while its backend connects,
// and against counting that against the endpoint.
func TestEvacuationBetweenPlacementAndSend(t *testing.T) {
	t.Run("before the backend has it", func(t *testing.T) {
		fx := newPlacedFixture(t, nil, respondWith(200, eventA))
		fx.place("a", "b", "c", "d")
		fx.buildByPlace()
		for i := range 40 {
			fx.evacuate()
			closed := ""
			fx.feed.beginFunc = func(s origin.Start) {
				if closed == "" {
					closed = s.Build.Name
					fx.evacuate(closed)
				}
			}
			got, _ := fx.call("/resume/x", "k", func(c *pass.Call) { c.ID, c.Parts = fmt.Sprint(i), nil })
			check.Equal(t, "status", got.Code, 200)
			check.Equal(t, "sent to the evacuated place", fx.backend.sends[i].To.Place == closed, false)
		}
		check.Equal(t, "sends", len(fx.backend.sends), 40)
		check.Equal(t, "ejected", len(fx.entry.Ejected()), 0)
		check.Equal(t, "outstanding work", fx.entry.OutstandingTokens(), map[string]int{})
	})
	t.Run("while the backend connects", func(t *testing.T) {
		var fx *fixture
		attempts := 0
		fx = newPlacedFixture(t, nil, func(s *pass.Send) (*pass.Reply, error) {
			if attempts++; attempts%2 == 0 {
				return respondWith(200, "ok")(s)
			}
			check.Equal(t, "allowed before", s.Allowed(), true)
			fx.evacuate(s.To.Place)
			check.Equal(t, "allowed after", s.Allowed(), false)
			return nil, pass.Withheld.New("evacuated")
		})
		for i := range 40 {
			fx.evacuate()
			check.Equal(t, fmt.Sprint("statuses ", i), fx.repeat("/once/x", 1), map[int]int{200: 1})
		}
		check.Equal(t, "attempts", attempts, 80)
		check.Equal(t, "ejected", len(fx.entry.Ejected()), 0)
	})
}

// Guards against cached parts whose only copy is in an evacuated place: they are read from there, and new ones are saved elsewhere.
func TestPartsOfEvacuatedPlace(t *testing.T) {
	fx := newPlacedFixture(t, nil, respondWith(200, eventA))
	fx.feed.where[block.PartName(block.Salt(3, ""), "subject")] = []block.Holder{{Store: storesOf["a"], Tokens: 8000}}
	fx.evacuate("a")
	fx.call("/stream/x", "k")
	s := fx.backend.sends[0]
	check.Equal(t, "fetched from", s.FetchFrom[1], storesOf["a"])
	for i := range 20 {
		fx.call("/stream/x", "k", func(c *pass.Call) { c.Parts[1].ID = fmt.Sprint("new-", i) })
	}
	saved := 0
	for _, s := range fx.backend.sends {
		for _, at := range s.SaveTo {
			check.Equal(t, "saved to the evacuated place", at == storesOf["a"], false)
			if at.IsValid() {
				saved++
			}
		}
	}
	check.Equal(t, "parts are saved", saved > 0, true)
}

// Guards against admission that counts the capacity of evacuated endpoints: requests beyond the others' must be rejected, with the time after
// which these have room.
func TestAdmissionCountsRemainingCapacity(t *testing.T) {
	for _, places := range [][]string{nil, {"a"}} {
		fx := newPlacedFixture(t, nil, respondWith(200, eventA))
		for _, id := range []string{"w2", "w3"} {
			for level := range limit.UrgencyLevels {
				fx.feed.others[fmt.Sprintf("%s/%d", id, level)] = 1 << 20
			}
		}
		fx.evacuate(places...)
		got, _ := fx.call("/stream/x", "k")
		check.Equal(t, fmt.Sprint("a prompt beyond the capacity without ", places, " is sent"), got.Code == 200, len(places) == 0)
	}
	fx := newPlacedFixture(t, nil, func(s *pass.Send) (*pass.Reply, error) {
		reply, err := notRun(503, "")(s)
		reply.RetryAfter = 9 * time.Second
		return reply, err
	})
	fx.evacuate("a")
	got, _ := fx.call("/once/x", "k")
	check.Equal(t, "status where all that are left are full", got.Code, 503)
	after := got.Header().Get("Retry-After")
	check.Equal(t, "Retry-After counts those that are left: "+after, strings.HasPrefix(after, "8.") || strings.HasPrefix(after, "9."), true)
}
