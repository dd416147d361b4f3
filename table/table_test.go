package table_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"egretshunt/check"
	"egretshunt/table"
)

func newPool(name, place string) *table.Pool {
	return &table.Pool{
		Name: name, Place: place, Kind: table.Model, Model: "m", Version: "v1",
		Endpoints: []table.Endpoint{{Name: name + "-1", Addr: netip.MustParseAddrPort("127.0.0.1:9")}},
	}
}

func encode(t check.T, row any) json.RawMessage {
	t.Helper()
	b, err := json.Marshal(row)
	check.NoError(t, err)
	return b
}

func putPool(t check.T, s *table.State, id string, base uint64, p *table.Pool) table.Result {
	t.Helper()
	return s.Apply(table.Change{ID: id, Table: "pools", Name: p.Name, Op: table.Put, Base: base, Body: encode(t, p)})
}

func putRoute(t check.T, s *table.State, id string, base uint64, r *table.Route) table.Result {
	t.Helper()
	return s.Apply(table.Change{ID: id, Table: "routes", Name: r.Name, Op: table.Put, Base: base, Body: encode(t, r)})
}

func TestApply(t *testing.T) {
	s := table.NewState()
	first := putPool(t, s, "1", 0, newPool("p", "here"))
	check.Equal(t, "first change", first.Code, "")
	t.Run("a concurrent change with the same base conflicts and returns the row", func(t *testing.T) {
		got := putPool(t, s, "2", 0, newPool("p", "there"))
		check.Equal(t, "code", got.Code, table.CodeConflict)
		check.Equal(t, "row", string(got.Row), string(first.Row))
	})
	t.Run("a resent change returns the first result", func(t *testing.T) {
		check.Equal(t, "accepted change", putPool(t, s, "1", 0, newPool("p", "here")), first)
		check.Equal(t, "rejected change", putPool(t, s, "2", 0, newPool("p", "there")).Code, table.CodeConflict)
	})
	t.Run("a change id used for another change", func(t *testing.T) {
		check.Equal(t, "code", putPool(t, s, "1", 0, newPool("q", "here")).Code, table.CodeReused)
	})
	t.Run("a dry run gives the result that applying would give", func(t *testing.T) {
		for id, p := range map[string]*table.Pool{"1": newPool("p", "here"), "2": newPool("p", "there"), "new": newPool("new", "here")} {
			for _, name := range []string{p.Name, "q"} {
				p.Name = name
				c := table.Change{ID: id, Table: "pools", Name: name, Op: table.Put, Body: encode(t, p)}
				dry := s.DryRun(c)
				check.Equal(t, "result of "+id, dry, s.Apply(c))
			}
		}
	})
	t.Run("rows inconsistent with other rows", func(t *testing.T) {
		for want, r := range map[string]*table.Route{
			"there is no pool nowhere": {Name: "r", Account: "a", Target: "m", Pools: []string{"nowhere"}},
			"serves model m, not x":    {Name: "r", Account: "a", Target: "x", Pools: []string{"p"}},
			"not among the route's":    {Name: "r", Account: "a", Target: "m", Pools: []string{"p"}, Places: []string{"there"}},
		} {
			got := putRoute(t, s, want, 0, r)
			check.Equal(t, "code", got.Code, table.CodeInconsistent)
			if !contains(got.Text, want) {
				t.Errorf("text %q does not contain %q", got.Text, want)
			}
		}
	})
	t.Run("a pool that a route needs can not be deleted or moved", func(t *testing.T) {
		check.Equal(t, "route", putRoute(t, s, "r", 0, &table.Route{Name: "r", Account: "a", Target: "m", Pools: []string{"p"}, Places: []string{"here"}}).Code, "")
		deleted := s.Apply(table.Change{ID: "d", Table: "pools", Name: "p", Op: table.Delete, Base: first.Rev})
		check.Equal(t, "delete", deleted.Code, table.CodeInconsistent)
		check.Equal(t, "move to another data centre", putPool(t, s, "m", first.Rev, newPool("p", "there")).Code, table.CodeInconsistent)
	})
	t.Run("unknown key", func(t *testing.T) {
		got := s.Apply(table.Change{ID: "k", Table: "pools", Name: "z", Op: table.Put, Body: json.RawMessage(`{"colour":1}`)})
		check.Equal(t, "code", got.Code, table.CodeInvalid)
	})
	t.Run("the audit trail includes rejected changes", func(t *testing.T) {
		var codes []string
		for _, r := range s.Audit() {
			codes = append(codes, r.Code)
		}
		check.Equal(t, "first codes", codes[:2], []string{"", table.CodeConflict})
	})
}

func contains(text, substring string) bool {
	for i := 0; i+len(substring) <= len(text); i++ {
		if text[i:i+len(substring)] == substring {
			return true
		}
	}
	return false
}

// TestStateAgainstModel applies and resends changes, restores the state from its snapshot and
// updates a follower by deltas. It compares both with a map of versions.
func TestStateAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := table.NewState()
		follower := table.Empty()
		model := map[string]uint64{}
		results := map[string]table.Result{}
		changes := map[string]table.Change{}
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				base := model[name]
				if rapid.Bool().Draw(t, "stale") {
					base += uint64(rapid.IntRange(1, 3).Draw(t, "off"))
				}
				n++
				c := table.Change{ID: fmt.Sprint(n), Table: "pools", Name: name, Op: table.Put, Base: base, Body: encode(t, newPool(name, "here"))}
				if base > 0 && rapid.Bool().Draw(t, "delete") {
					c.Op, c.Body = table.Delete, nil
				}
				got := s.Apply(c)
				if want := base == model[name]; (got.Code == "") != want {
					t.Fatalf("change of version %d with base %d returned %+v", model[name], base, got)
				}
				if got.Code == "" {
					model[name] = got.Rev
					if c.Op == table.Delete {
						model[name] = 0
					}
				}
				results[c.ID], changes[c.ID] = got, c
			},
			"resend": func(t *rapid.T) {
				if n == 0 {
					return
				}
				id := fmt.Sprint(rapid.IntRange(1, n).Draw(t, "id"))
				check.Equal(t, "result of a resent change", s.Apply(changes[id]), results[id])
			},
			"restart": func(t *rapid.T) {
				data, err := json.Marshal(s)
				check.NoError(t, err)
				s = table.NewState()
				check.NoError(t, json.Unmarshal(data, s))
			},
			"follow": func(t *rapid.T) {
				next, err := follower.Install(s.Tables().Since(follower.Rev))
				check.NoError(t, err)
				follower = next
			},
			"old delta": func(t *rapid.T) {
				d := s.Tables().Since(uint64(rapid.IntRange(0, 5).Draw(t, "from")))
				d.To = uint64(rapid.IntRange(0, int(follower.Rev)).Draw(t, "to"))
				next, err := follower.Install(d)
				check.NoError(t, err)
				if next != follower {
					t.Fatalf("revision %d replaced revision %d", d.To, follower.Rev)
				}
			},
			"": func(t *rapid.T) {
				for name, version := range model {
					p, ok := s.Tables().Pools[name]
					if ok != (version > 0) || (ok && p.Rev != version) {
						t.Fatalf("pool %s is %+v, want version %d", name, p, version)
					}
				}
				if follower.Rev == s.Tables().Rev {
					check.Equal(t, "follower's rows", len(follower.Pools), len(s.Tables().Pools))
				}
			},
		})
	})
}

func BenchmarkFind(b *testing.B) {
	s := table.NewState()
	putPool(b, s, "p", 0, newPool("p", "here"))
	for i := range 20_000 {
		putRoute(b, s, fmt.Sprint(i), 0, &table.Route{Name: fmt.Sprintf("r%d", i), Account: fmt.Sprintf("a%d", i), Target: "m", Pools: []string{"p"}})
		if i > 2000 {
			break
		}
	}
	t := s.Tables()
	b.ReportAllocs()
	for b.Loop() {
		t.Find("a1000", "m")
	}
}
