package block_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egretshunt/block"
	"egretshunt/check"
)

var start = time.Unix(1_000_000, 0)

func name(s string) block.Name {
	var n block.Name
	copy(n[:], s)
	return n
}

func seal(t check.T, x *block.Index, account, label string, bytes int64) block.Ref {
	t.Helper()
	return sealAt(t, x, account, label, bytes, start)
}

func sealAt(t check.T, x *block.Index, account, label string, bytes int64, at time.Time) block.Ref {
	t.Helper()
	r, _, err := x.Reserve(account, name(label), bytes, 0, at)
	check.NoError(t, err)
	check.NoError(t, x.Begin(r))
	check.NoError(t, x.Seal(r, 1, at))
	return r
}

func TestChainNamesDifferByScope(t *testing.T) {
	prompt := bytes.Repeat([]byte("history "), 2*block.TextBytes/8)
	base := block.Scope{Account: "a", Model: "m", Adapter: "x", Version: "v1"}
	baseChain := block.Chain([]byte("key"), base, prompt)
	check.Equal(t, "blocks", len(baseChain), 2)
	others := map[string][]block.Name{}
	for field, s := range map[string]block.Scope{
		"account": {Account: "b", Model: "m", Adapter: "x", Version: "v1"},
		"model":   {Account: "a", Model: "n", Adapter: "x", Version: "v1"},
		"adapter": {Account: "a", Model: "m", Adapter: "y", Version: "v1"},
		"version": {Account: "a", Model: "m", Adapter: "x", Version: "v2"},
		// The same characters, split differently between account and model.
		"shifted": {Account: "am", Model: "", Adapter: "x", Version: "v1"},
	} {
		others[field] = block.Chain([]byte("key"), s, prompt)
	}
	others["key"] = block.Chain([]byte("other key"), base, prompt)
	for field, other := range others {
		for i := range other {
			if other[i] == baseChain[i] {
				t.Errorf("another %s gives the same name", field)
			}
		}
	}
	longer := block.Chain([]byte("key"), base, append(bytes.Clone(prompt), "more"...))
	check.Equal(t, "prefix", longer[0] == baseChain[0] && longer[1] == baseChain[1], true)
}

func TestBlockLifecycle(t *testing.T) {
	x := block.NewIndex(block.Config{Capacity: 100})
	t.Run("only sealed blocks can be pinned", func(t *testing.T) {
		r, _, err := x.Reserve("a", name("p"), 10, 0, start)
		check.NoError(t, err)
		_, err = x.Pin("a", name("p"), start)
		check.Kind(t, err, block.NotFound)
		check.NoError(t, x.Begin(r))
		_, err = x.Pin("a", name("p"), start)
		check.Kind(t, err, block.NotFound)
		check.NoError(t, x.Seal(r, 1, start))
		_, err = x.Pin("a", name("p"), start)
		check.NoError(t, err)
	})
	t.Run("another account can not pin the block", func(t *testing.T) {
		_, err := x.Pin("b", name("p"), start)
		check.Kind(t, err, block.WrongAccount)
	})
	t.Run("a block freed while pinned is released by the last unpin", func(t *testing.T) {
		b, err := x.Pin("a", name("p"), start)
		check.NoError(t, err)
		check.Equal(t, "free now", x.Free(b.Ref), false)
		_, err = x.Pin("a", name("p"), start)
		check.Kind(t, err, block.NotFound)
		check.Equal(t, "first unpin", x.Unpin(b.Ref), false)
		check.Equal(t, "last unpin", x.Unpin(b.Ref), true)
	})
	t.Run("a late seal of an earlier incarnation fails", func(t *testing.T) {
		old, _, err := x.Reserve("a", name("g"), 10, 0, start)
		check.NoError(t, err)
		x.Abort(old)
		fresh, _, err := x.Reserve("a", name("g"), 10, 0, start)
		check.NoError(t, err)
		check.NoError(t, x.Begin(fresh))
		check.Kind(t, x.Seal(old, 1, start), block.NotFound)
	})
}

func TestAccountShares(t *testing.T) {
	x := block.NewIndex(block.Config{Capacity: 100, MaxShare: 0.5})
	seal(t, x, "small", "s1", 10)
	seal(t, x, "small", "s2", 10)
	for i := range 100 {
		seal(t, x, "large", fmt.Sprint("l", i), 10)
	}
	check.Equal(t, "small account's blocks are kept", x.Has("small", name("s1")) && x.Has("small", name("s2")), true)
	t.Run("no room when all blocks are pinned", func(t *testing.T) {
		y := block.NewIndex(block.Config{Capacity: 10})
		seal(t, y, "a", "x", 10)
		_, err := y.Pin("a", name("x"), start)
		check.NoError(t, err)
		_, _, err = y.Reserve("a", name("y"), 10, 0, start)
		check.Kind(t, err, block.Full)
	})
}

// TestIndexAgainstModel compares the index with a map of the blocks reserved, sealed, pinned and freed.
func TestIndexAgainstModel(t *testing.T) {
	type model struct {
		ref    block.Ref
		owner  string
		sealed bool
		pins   int
	}
	rapid.Check(t, func(t *rapid.T) {
		x := block.NewIndex(block.Config{Capacity: 50, MaxShare: 0.6})
		blocks := map[block.Name]*model{}
		freePending := map[block.Ref]int{}
		pick := func(t *rapid.T) block.Name {
			return name(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g"}).Draw(t, "block"))
		}
		account := func(t *rapid.T) string { return rapid.SampledFrom([]string{"x", "y"}).Draw(t, "account") }
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				n, caller := pick(t), account(t)
				now = now.Add(time.Second)
				ref, freed, err := x.Reserve(caller, n, int64(rapid.IntRange(1, 20).Draw(t, "bytes")), 0, now)
				for _, f := range freed {
					m := blocks[f.Name]
					if m == nil || m.ref != f || m.pins > 0 || !m.sealed {
						t.Fatalf("evicted %v, model %+v", f, m)
					}
					delete(blocks, f.Name)
				}
				if err == nil {
					blocks[n] = &model{ref: ref, owner: caller}
				}
			},
			"seal": func(t *rapid.T) {
				n := pick(t)
				if m := blocks[n]; m != nil && !m.sealed {
					check.NoError(t, x.Begin(m.ref))
					check.NoError(t, x.Seal(m.ref, 1, now))
					m.sealed = true
				}
			},
			"pin": func(t *rapid.T) {
				n, caller := pick(t), account(t)
				b, err := x.Pin(caller, n, now)
				m := blocks[n]
				if want := m != nil && m.sealed && m.owner == caller; (err == nil) != want {
					t.Fatalf("pin by %s gave %v, model %+v", caller, err, m)
				}
				if err == nil {
					check.Equal(t, "incarnation", b.Gen, m.ref.Gen)
					m.pins++
				}
			},
			"unpin": func(t *rapid.T) {
				n := pick(t)
				if m := blocks[n]; m != nil && m.pins > 0 {
					m.pins--
					check.Equal(t, "freed", x.Unpin(m.ref), false)
				}
			},
			"free": func(t *rapid.T) {
				n := pick(t)
				m := blocks[n]
				if m == nil {
					return
				}
				check.Equal(t, "freed at once", x.Free(m.ref), m.pins == 0)
				if m.pins > 0 {
					freePending[m.ref] = m.pins
				}
				delete(blocks, n)
				for ref, pins := range freePending {
					for i := range pins {
						check.Equal(t, "last unpin frees", x.Unpin(ref), i == pins-1)
					}
					delete(freePending, ref)
				}
			},
			"": func(t *rapid.T) {
				if used, _, count := x.Usage("x"); used > 50 || count != len(blocks) {
					t.Fatalf("%d bytes and %d blocks, want %d", used, count, len(blocks))
				}
			},
		})
	})
}

func TestGDSFBeatsLRU(t *testing.T) {
	// In each round, 10 recurring histories are read twice in a row and 15 new ones once.
	hits := func(p block.Policy) int {
		x := block.NewIndex(block.Config{Capacity: 200, MaxShare: 1, Policy: p})
		n, now := 0, start
		read := func(label string) {
			now = now.Add(time.Second)
			if b, err := x.Pin("a", name(label), now); err == nil {
				x.Unpin(b.Ref)
				n++
				return
			}
			sealAt(t, x, "a", label, 10, now)
		}
		for round := range 50 {
			for i := range 10 {
				read(fmt.Sprint("recurring", i))
				read(fmt.Sprint("recurring", i))
			}
			for i := range 15 {
				read(fmt.Sprint("once", round, ".", i))
			}
		}
		return n
	}
	gdsf, lru := hits(block.GDSF), hits(block.LRU)
	t.Logf("hits in 1000 reads of recurring histories: GDSF %d, LRU %d", gdsf, lru)
	if gdsf <= lru {
		t.Fatalf("GDSF hits %d times, LRU %d", gdsf, lru)
	}
}
