package board_test

import (
	"strings"
	"testing"

	"egretshunt/board"
	"egretshunt/check"
)

// TestCheckNamesEveryProblem guards against a check that stops at the first problem, so that an operator finds them one by one.
func TestCheckNamesEveryProblem(t *testing.T) {
	d := newDraft()
	d.Pools[1].Name = "a"
	d.Accounts[0].Name, d.Accounts[1].Keys = "", []string{"", "k1"}
	d.Routes[0] = board.Route{Name: "wide", Prefix: "/p", Split: []board.WeightedPool{{Pool: "z", Weight: -1}}}
	d.Routes[1].Split[1].Weight = -2
	d.Routes = append(d.Routes, d.Routes[1])
	s, problems := board.Check(d)
	check.Equal(t, "no set", s == nil, true)
	var paths []string
	for _, p := range problems {
		paths = append(paths, p.Path)
	}
	check.Equal(t, "paths", strings.Join(paths, " "), "Pools[1].Name Accounts[0].Name Accounts[1].Keys[0] Accounts[1].Keys[1] "+
		"Routes[0].Host Routes[0].Prefix Routes[0].Timeout Routes[0].Split[0].Pool Routes[0].Split[0].Weight Routes[0].Split "+
		"Routes[1].Split[1].Pool Routes[1].Split[1].Weight Routes[1].Split Routes[2].Prefix Routes[2].Split[1].Pool Routes[2].Split[1].Weight Routes[2].Split")
	for _, p := range problems {
		check.Equal(t, "names a key", strings.Contains(p.Text, "k1"), false)
	}
}
