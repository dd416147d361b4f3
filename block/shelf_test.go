package block_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"egretshunt/block"
	"egretshunt/check"
)

var storeAddr = netip.MustParseAddrPort("10.0.0.1:80")

func newShelf(tokens int) *block.Shelf {
	return block.NewShelf(block.ShelfConfig{Store: storeAddr, Tokens: tokens, Quiet: 3 * time.Second, Reuse: 20 * time.Second}, 0)
}

func plus(name string, tokens int) block.Event {
	return block.Event{Held: block.Held{Name: name, Tokens: tokens}}
}

func opened(s *block.Shelf, now time.Duration) bool {
	open, _ := s.Opens(now)
	return open
}

func all(string) bool { return true }

// A store that comes back empty must not be written to while entries may still fetch what
// its former run held.
func TestShelfReopensLate(t *testing.T) {
	s := newShelf(10000)
	s.Fill(1, []block.Held{{Name: "w1/a", Tokens: 100}}, 0)
	check.Equal(t, "before a former leader's readers are gone", opened(s, 2*time.Second), false)
	check.Equal(t, "after", opened(s, 3*time.Second), true)
	check.Equal(t, "withdrawn", s.Lose(), []block.Part{{Store: storeAddr}})
	s.Fill(2, nil, 10*time.Second)
	check.Equal(t, "new run, at once", opened(s, 11*time.Second), false)
	check.Equal(t, "new run, later", opened(s, 13*time.Second), true)
}

func TestShelfSameRunOpensAtOnce(t *testing.T) {
	s := newShelf(10000)
	s.Fill(1, nil, 0)
	opened(s, 4*time.Second)
	s.Lose()
	changes := s.Fill(1, []block.Held{{Name: "w1/a", Tokens: 100}}, 5*time.Second)
	check.Equal(t, "published again", changes[1], block.Part{Store: storeAddr, Name: "w1/a", Tokens: 100})
	check.Equal(t, "open", opened(s, 5*time.Second), true)
}

// Found on a day of high load: a store whose known content stayed below the mark took no
// part any more, and all new parts went there for 30 s.
func TestShelfClosesWhileTheLargestPartFits(t *testing.T) {
	s := newShelf(100000)
	s.Fill(1, nil, 0)
	for i := range 9 {
		s.Take([]block.Event{plus(fmt.Sprintf("w1/%d", i), 9600)}, time.Second)
	}
	check.Equal(t, "room for one more only", opened(s, 4*time.Second), false)
}

func TestShelfClosesForUnknownParts(t *testing.T) {
	s := newShelf(100000)
	s.Fill(1, nil, 0)
	s.Take([]block.Event{plus("w1/a", 1600)}, 0)
	check.Equal(t, "open", opened(s, 4*time.Second), true)
	check.Equal(t, "listed at once", s.Use(96000, 5*time.Second), false)
	check.Equal(t, "full of what is not known", opened(s, 5*time.Second), false)
	check.Equal(t, "listed later", s.Use(96000, 10*time.Second), true)
	check.Equal(t, "first listing", s.Unfinished([]string{"w1/x"}, 10*time.Second), []string(nil))
	check.Equal(t, "second listing", s.Unfinished([]string{"w1/x", "w1/y"}, 15*time.Second), []string{"w1/x"})
}

func TestShelfFreesTheLeastRecentlyUsed(t *testing.T) {
	s := newShelf(1000)
	s.Fill(1, nil, 0)
	for i := range 6 {
		s.Take([]block.Event{plus(fmt.Sprintf("w1/%d", i), 160)}, time.Duration(i)*time.Second)
	}
	used := map[string]time.Duration{"w1/0": 30 * time.Second}
	changes := s.Withdraw(40*time.Second, all, used)
	check.Equal(t, "withdrawn", changes, []block.Part{{Store: storeAddr, Name: "w1/1"}})
	check.Equal(t, "a reader may still fetch", s.Free(42*time.Second), []string(nil))
	check.Equal(t, "no reader left", s.Free(43*time.Second), []string{"w1/1"})
	s.Freed([]string{"w1/1"})
	tokens, _ := s.Held()
	check.Equal(t, "held", tokens, 800)
}

func TestShelfKeepsWhatIsInUse(t *testing.T) {
	s := newShelf(1000)
	s.Fill(1, nil, 0)
	for i := range 6 {
		s.Take([]block.Event{plus(fmt.Sprintf("w1/%d", i), 160)}, 0)
	}
	check.Equal(t, "withdrawn", s.Withdraw(10*time.Second, all, nil), []block.Part(nil))
}

func TestShelfDropsReplacedWeights(t *testing.T) {
	s := newShelf(10000)
	s.Fill(1, []block.Held{{Name: "w1/a", Tokens: 100}, {Name: "w2/a", Tokens: 100}}, 0)
	current := func(name string) bool { return name[:2] == "w2" }
	check.Equal(t, "withdrawn", s.Withdraw(time.Second, current, nil), []block.Part{{Store: storeAddr, Name: "w1/a"}})
}

func TestCatalogFollows(t *testing.T) {
	a, b := block.NewCatalog(), block.NewCatalog()
	sync := func() {
		changes, rev, whole := a.Since(b.Rev())
		b.Install(changes, rev, whole)
	}
	a.Apply([]block.Part{{Store: storeAddr, Tokens: block.Opened}, {Store: storeAddr, Name: "w1/a", Tokens: 5}})
	sync()
	check.Equal(t, "held", len(b.Where("w1/a")), 1)
	check.Equal(t, "open", b.Open(storeAddr), true)
	a.Apply([]block.Part{{Store: storeAddr, Name: "w1/b", Tokens: 5}, {Store: storeAddr, Tokens: block.Closed}})
	sync()
	check.Equal(t, "closed", b.Open(storeAddr), false)
	check.Equal(t, "kept", len(b.Where("w1/a")), 1)
	a.Apply([]block.Part{{Store: storeAddr}})
	sync()
	check.Equal(t, "gone", b.Len(), 0)
}

func TestCatalogWholeAfterLag(t *testing.T) {
	a, b := block.NewCatalog(), block.NewCatalog()
	for i := range 40000 {
		a.Apply([]block.Part{{Store: storeAddr, Name: fmt.Sprint(i % 10), Tokens: 1 + i}})
	}
	changes, rev, whole := a.Since(1)
	check.Equal(t, "whole", whole, true)
	b.Install(changes, rev, whole)
	check.Equal(t, "parts", b.Len(), 10)
	check.Equal(t, "rev", b.Rev(), a.Rev())
}

func TestEnginesTellSharedPartsOnly(t *testing.T) {
	e := block.NewEngines()
	e.Take(storeAddr, []block.Event{plus("w1/own", 5), plus("w1/shared", 7)})
	check.Equal(t, "nothing known to be shared", len(e.Flush()), 0)
	e.Share([]string{"w1/shared"})
	check.Equal(t, "told", e.Flush(), []block.Part{{Store: storeAddr, Name: "w1/shared", Tokens: 7}})
	gone := plus("w1/shared", 0)
	gone.Gone = true
	e.Take(storeAddr, []block.Event{gone, gone})
	check.Equal(t, "gone once", e.Flush(), []block.Part{{Store: storeAddr, Name: "w1/shared"}})
	e.Lose(storeAddr)
	check.Equal(t, "engine lost", e.Flush(), []block.Part{{Store: storeAddr}})
}

func TestSaltKeepsApart(t *testing.T) {
	salts := map[string]bool{block.Salt(1, ""): true, block.Salt(2, ""): true, block.Salt(1, "a"): true, block.Salt(1, "a/b"): true, block.Salt(11, ""): true}
	check.Equal(t, "different", len(salts), 5)
}
