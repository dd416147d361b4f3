package pass_test

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"egretshunt/block"
	"egretshunt/board"
	"egretshunt/check"
	"egretshunt/member"
	"egretshunt/origin"
	"egretshunt/pass"
)

// bind binds all routes and accounts of a draft to regions.
func bind(routes, accounts []string) func(*board.Draft) {
	return func(d *board.Draft) {
		for i := range d.Routes {
			d.Routes[i].Regions = routes
		}
		for i := range d.Accounts {
			d.Accounts[i].Regions = accounts
		}
	}
}

// Guards against requests that leave their regions, whatever the attempt before came to, or that are rejected though an endpoint in them runs.
func TestRequestsStayInTheirHomes(t *testing.T) {
	for name, c := range map[string]struct {
		routes, accounts []string
		places           []string
	}{
		"route":              {[]string{"north"}, nil, []string{"a"}},
		"account":            {nil, []string{"south"}, []string{"b"}},
		"both":               {[]string{"north", "south", "west"}, []string{"west", "south"}, []string{"b"}},
		"several":            {[]string{"south", "north"}, nil, []string{"a", "b"}},
		"neither":            {nil, nil, []string{"a", "b", "d"}},
		"with no known name": {[]string{"", "north"}, nil, []string{"a"}},
	} {
		for first, respond := range map[string]func(*pass.Send) (*pass.Reply, error){"first attempts": respondWith(200, eventA), "not sent": notSent, "not run": notRun(503, "")} {
			for _, path := range kindsOfRequests {
				t.Run(name+"/"+first+path, func(t *testing.T) {
					fx := newPlacedFixture(t, bind(c.routes, c.accounts), respond, respondWith(200, eventA))
					fx.place("a", "a", "b", "b")
					fx.feed.list.Endpoints = append(fx.feed.list.Endpoints, fx.feed.list.Endpoints[3])
					fx.feed.list.Endpoints[4].ID, fx.feed.list.Endpoints[4].Place = "w4", "d"
					fx.feed.list.Index()
					fx.buildByPlace()
					places := c.places
					if path == "/public/x" && c.accounts != nil {
						// It has no account.
						places = []string{"a", "b", "d"}
						if c.routes != nil {
							places = []string{"a", "b"}
						}
					}
					check.Equal(t, "statuses", fx.repeat(path, 12), map[int]int{200: 12})
					fx.checkPlaces(t, places...)
					for _, b := range fx.feed.started {
						check.Equal(t, "placed in "+b.Name, slices.Contains(places, b.Name), true)
					}
				})
			}
		}
	}
}

// Guards against a stream that goes on outside its homes after a break, or where its client resumes it.
func TestResumedStreamStaysInItsHomes(t *testing.T) {
	fx := newPlacedFixture(t, bind([]string{"north"}, nil), respondTruncated(eventA+"id: 2"), respondWith(200, eventB))
	fx.backend.life = member.Running
	got, _ := fx.call("/resume/x", "k")
	check.Equal(t, "body", got.Body.String(), eventA+eventB)
	fx.feed.origins = map[origin.Key]origin.Build{origin.KeyOf("a", "first"): {Pool: "p"}}
	for range 12 {
		got, _ = fx.call("/resume/x", "k", resuming("first"))
		check.Equal(t, "status of a client's resumption", got.Code, 200)
	}
	fx.checkPlaces(t, "a")
}

// Guards against endpoints elsewhere that are used because all in the homes are down, ejected, evacuated or don't exist.
func TestNothingIsLeftInTheHomes(t *testing.T) {
	north := bind([]string{"north"}, nil)
	for _, path := range kindsOfRequests {
		t.Run("down"+path, func(t *testing.T) {
			fx := newPlacedFixture(t, north, respondWith(200, eventA))
			fx.feed.list.Endpoints[0].Down, fx.feed.list.Endpoints[1].Down = true, true
			check.Equal(t, "statuses", fx.repeat(path, 12), map[int]int{200: 12})
			fx.checkPlaces(t, "a")
		})
		for name, c := range map[string]struct {
			change func(*board.Draft)
			adapt  func(fx *fixture)
			reason string
		}{
			"empty intersection":              {bind([]string{"north"}, []string{"south"}), func(*fixture) {}, "homes"},
			"empty intersection, none listed": {bind([]string{"north"}, []string{"south"}), func(fx *fixture) { fx.feed.list = (&member.List{}).Index() }, "homes"},
			"none there":                      {bind([]string{"west"}, nil), func(*fixture) {}, "homes"},
			"no known region":                 {north, func(fx *fixture) { fx.place("d", "d", "", "d") }, "homes"},
			"evacuated":                       {north, func(fx *fixture) { fx.evacuate("a") }, "evacuated"},
		} {
			if strings.HasPrefix(name, "empty") && path == "/public/x" {
				continue
			}
			t.Run(name+path, func(t *testing.T) {
				fx := newPlacedFixture(t, c.change, respondWith(200, eventA))
				c.adapt(fx)
				got, _ := fx.call(path, "k")
				checkRejected(t, got, c.reason)
				check.Equal(t, "sends", len(fx.backend.sends), 0)
			})
		}
	}
}

// Guards against cached parts of a bound prompt that are fetched from, saved to or shared with other regions.
func TestPartsStayInTheirHomes(t *testing.T) {
	salt := block.SaltWithin(block.Salt(3, ""), []string{"south"})
	check.Equal(t, "salt", salt, "w3.!south")
	south := bind([]string{"south"}, nil)
	unbound := newPlacedFixture(t, nil, respondWith(200, eventA))
	for _, c := range []struct {
		name    string
		holders []netip.AddrPort
		fetched netip.AddrPort
	}{
		{"a store elsewhere", []netip.AddrPort{storesOf["a"]}, netip.AddrPort{}},
		{"a store without a region", []netip.AddrPort{storesOf["d"]}, netip.AddrPort{}},
		{"an engine elsewhere", []netip.AddrPort{unbound.feed.list.Endpoints[0].Addr}, netip.AddrPort{}},
		{"stores there and elsewhere", []netip.AddrPort{storesOf["a"], storesOf["b"], storesOf["d"]}, storesOf["b"]},
	} {
		t.Run(c.name, func(t *testing.T) {
			fx := newPlacedFixture(t, south, respondWith(200, eventA))
			for _, at := range c.holders {
				for _, s := range []string{salt, block.Salt(3, "")} {
					name := block.PartName(s, "subject")
					fx.feed.where[name] = append(fx.feed.where[name], block.Holder{Store: at, Tokens: 8000})
				}
			}
			got, _ := fx.call("/stream/x", "k")
			check.Equal(t, "status", got.Code, 200)
			s := fx.backend.sends[0]
			check.Equal(t, "place", s.To.Place, "b")
			check.Equal(t, "salt", s.Salt, salt)
			check.Equal(t, "fetched from", s.FetchFrom[1], c.fetched)
		})
	}
	t.Run("saved", func(t *testing.T) {
		fx := newPlacedFixture(t, south, respondWith(200, eventA))
		saved := 0
		for i := range 30 {
			fx.call("/stream/x", "k", func(c *pass.Call) { c.Parts[1].ID = fmt.Sprint("new-", i) })
			if at := fx.backend.sends[i].SaveTo[1]; at.IsValid() {
				saved++
				check.Equal(t, "saved to", at, storesOf["b"])
			}
		}
		check.Equal(t, "saved parts", saved, 30)
	})
}

// Guards against a sending end that trusts the placement: sources and stores in other regions must not leave this process. The list changes between
// placement and sending.
func TestSendingEndKeepsHomes(t *testing.T) {
	fx := newPlacedFixture(t, bind([]string{"south"}, nil), respondWith(200, eventA))
	salt := block.SaltWithin(block.Salt(3, ""), []string{"south"})
	fx.place("a", "b", "b", "b")
	source := fx.feed.list.Endpoints[1].Addr
	fx.feed.where[block.PartName(salt, "subject")] = []block.Holder{{Store: source, Tokens: 8000}}
	fx.feed.list.Endpoints[1].Draining = true
	fx.feed.beginFunc = func(origin.Start) {
		next := &member.List{Endpoints: slices.Clone(fx.feed.list.Endpoints)}
		next.Endpoints[1].Place = "a"
		fx.feed.list = next.Index()
	}
	got, _ := fx.call("/resume/x", "k")
	check.Equal(t, "status", got.Code, 200)
	check.Equal(t, "fetched from", fx.backend.sends[0].FetchFrom[1], netip.AddrPort{})
}

// Guards against a request that ends all endpoints of its homes in a row because its pool has others elsewhere, which the requests that are bound
// likewise can't use; the same holds for those that are left beside an evacuated place.
func TestRetryLeavesHomesServing(t *testing.T) {
	for name, c := range map[string]struct {
		change    func(*board.Draft)
		evacuated []string
	}{"homes": {bind([]string{"north"}, nil), nil}, "evacuated": {nil, []string{"b", "d"}}, "neither": {nil, nil}} {
		t.Run(name, func(t *testing.T) {
			fx := newPlacedFixture(t, c.change, lost)
			fx.evacuate(c.evacuated...)
			got, _ := fx.call("/safe/x", "k")
			check.Equal(t, "status", got.Code, 502)
			check.Equal(t, "it is sent again", len(fx.backend.sends) > 1, name == "neither")
		})
	}
}
