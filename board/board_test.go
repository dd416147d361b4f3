package board_test

import (
	"math"
	"testing"
	"time"

	"egretshunt/board"
	"egretshunt/check"
)

func newDraft() board.Draft {
	return board.Draft{
		Number: 3, RequireKeys: true,
		Pools:    []board.Pool{{Name: "a"}, {Name: "b"}},
		Accounts: []board.Account{{Name: "x", Keys: []string{"k1", "k2"}}, {Name: "y", Keys: []string{"k3"}}},
		Routes: []board.Route{
			{Name: "wide", Host: "h.example", Prefix: "/p/", Timeout: time.Second, Split: []board.WeightedPool{{Pool: "a", Weight: 1}}},
			{Name: "deep", Host: "h.example", Prefix: "/p/q/", Timeout: time.Second, Split: []board.WeightedPool{{Pool: "a", Weight: 1}, {Pool: "b", Weight: 3}}},
		},
	}
}

func TestMatchLongestPrefix(t *testing.T) {
	s, err := board.New(newDraft())
	check.NoError(t, err)
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/p/x", "wide"},
		{"H.Example", "/p/q/x", "deep"},
		{"h.example", "/p/q", "wide"},
		{"h.example", "/p", ""},
		{"other.example", "/p/x", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			got := ""
			if r := s.Match(c.host, c.path); r != nil {
				got = r.Name
			}
			check.Equal(t, "route", got, c.want)
		})
	}
}

func TestPickFollowsWeights(t *testing.T) {
	s, err := board.New(newDraft())
	check.NoError(t, err)
	counts := map[string]int{}
	r := s.Match("h.example", "/p/q/")
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	check.Equal(t, "requests by pool", counts, map[string]int{"a": 250, "b": 750})
}

func TestNewRejectsInvalidDraft(t *testing.T) {
	for name, invalidate := range map[string]func(d *board.Draft){
		"unknown pool":                           func(d *board.Draft) { d.Routes[0].Split[0].Pool = "z" },
		"duplicate prefix":                       func(d *board.Draft) { d.Routes[1].Prefix = "/p/" },
		"duplicate prefix, host in another case": func(d *board.Draft) { d.Routes[1].Prefix, d.Routes[1].Host = "/p/", "H.EXAMPLE" },
		"weights sum to zero":                    func(d *board.Draft) { d.Routes[0].Split[0].Weight = 0 },
		"no split":                               func(d *board.Draft) { d.Routes[0].Split = nil },
		"negative weight":                        func(d *board.Draft) { d.Routes[1].Split[0].Weight = -1 },
		"no timeout":                             func(d *board.Draft) { d.Routes[0].Timeout = 0 },
		"shared key":                             func(d *board.Draft) { d.Accounts[1].Keys = []string{"k2"} },
		"prefix without final slash":             func(d *board.Draft) { d.Routes[0].Prefix = "/p" },
		"duplicate pool":                         func(d *board.Draft) { d.Pools[1].Name = "a" },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDraft()
			invalidate(&d)
			_, err := board.New(d)
			check.Kind(t, err, board.Invalid)
		})
	}
}

func TestAccountByKey(t *testing.T) {
	s, err := board.New(newDraft())
	check.NoError(t, err)
	check.Equal(t, "account of the key", s.Account("k2").Name, "x")
	check.Equal(t, "no account for an unknown key", s.Account("k4") == nil, true)
}

// TestWeightsOverflow guards against weights whose sum overflows, so that a valid set is rejected or its pools get no requests.
func TestWeightsOverflow(t *testing.T) {
	for _, weight := range []int{1 << 40, math.MaxInt/2 + 1, math.MaxInt} {
		d := newDraft()
		d.Routes[1].Split = []board.WeightedPool{{Pool: "a", Weight: weight}, {Pool: "b", Weight: weight}, {Pool: "a", Weight: 0}}
		s, err := board.New(d)
		check.NoError(t, err)
		counts := map[string]int{}
		for i := range 1000 {
			counts[s.Match("h.example", "/p/q/").Pick(float64(i)/1000)]++
		}
		check.Equal(t, "requests by pool", counts, map[string]int{"a": 500, "b": 500})
	}
}
