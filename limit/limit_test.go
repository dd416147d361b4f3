package limit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egretshunt/check"
	"egretshunt/limit"
)

var start = time.Unix(1_000_000, 0)

func ExampleBucket() {
	b := limit.NewBucket(2, 1)
	_, first := b.Take(start)
	wait, second := b.Take(start)
	fmt.Println(first, second, wait)
	// Output: true false 500ms
}

func TestBudgetBoundsRetryStorm(t *testing.T) {
	b := limit.NewRetryBudget(0.1)
	sent := 0
	for range 1000 {
		b.Earn()
		sent++
		for b.Spend() {
			sent++
		}
	}
	if sent > 1200 {
		t.Fatalf("1000 requests that all fail made %d attempts, want at most 1200", sent)
	}
}

func TestQueueOrder(t *testing.T) {
	push := func(q *limit.Queue[string], account string, rank uint32, name string) *limit.Item[string] {
		return q.Push(&limit.Item[string]{Account: account, Rank: rank, Cost: 10, Value: name})
	}
	pop := func(q *limit.Queue[string]) string {
		it, ok := q.Pop()
		if !ok {
			return ""
		}
		return it.Value
	}
	t.Run("lower rank first", func(t *testing.T) {
		q := limit.NewQueue[string](10)
		push(q, "a", 1, "draft")
		push(q, "a", 0, "counter")
		check.Equal(t, "first", pop(q), "counter")
	})
	t.Run("a burst of one account does not delay another", func(t *testing.T) {
		q := limit.NewQueue[string](100)
		for i := range 50 {
			push(q, "large", 1, fmt.Sprint("large", i))
		}
		push(q, "small", 1, "small")
		pop(q)
		check.Equal(t, "second", pop(q), "small")
	})
	t.Run("a full queue rejects the last in order", func(t *testing.T) {
		q := limit.NewQueue[string](2)
		push(q, "a", 2, "batch")
		push(q, "a", 1, "normal")
		rejected := push(q, "b", 0, "urgent")
		check.Equal(t, "rejected", rejected.Value, "batch")
		rejected = push(q, "b", 2, "more batch")
		check.Equal(t, "rejected", rejected.Value, "more batch")
	})
}

// TestQueueProperties checks that no item is lost or served twice and that ranks are respected.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := limit.NewQueue[int](8)
		queued := map[int]*limit.Item[int]{}
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				n++
				it := &limit.Item[int]{
					Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
					Rank:    rapid.Uint32Range(0, 2).Draw(t, "rank"), Cost: rapid.Float64Range(0, 100).Draw(t, "cost"), Value: n,
				}
				queued[n] = it
				if rejected := q.Push(it); rejected != nil {
					delete(queued, rejected.Value)
				}
			},
			"pop": func(t *rapid.T) {
				it, ok := q.Pop()
				if ok != (len(queued) > 0) {
					t.Fatalf("Pop returned ok = %v with %d items queued", ok, len(queued))
				}
				if !ok {
					return
				}
				delete(queued, it.Value)
				for _, other := range queued {
					if other.Rank < it.Rank {
						t.Fatalf("item of rank %d was popped before one of rank %d", it.Rank, other.Rank)
					}
				}
			},
			"remove": func(t *rapid.T) {
				for v, it := range queued {
					if !q.Remove(it) || q.Remove(it) {
						t.Fatal("Remove must succeed exactly once per item")
					}
					delete(queued, v)
					return
				}
			},
			"": func(t *rapid.T) { check.Equal(t, "length", q.Len(), len(queued)) },
		})
	})
}

func TestSuspectsQuarantine(t *testing.T) {
	crash := func(s *limit.Suspects, id string, fingerprints ...string) *limit.Suspects {
		next, _ := s.Apply(limit.Command{Op: limit.OpCrash, Account: "a", Fingerprints: fingerprints, Crash: id, At: start})
		return next
	}
	judge := func(s *limit.Suspects, fingerprint string) limit.Verdict {
		v, _ := s.Check("a", fingerprint, start)
		return v
	}
	t.Run("two crashes quarantine, duplicate reports count once", func(t *testing.T) {
		s := crash(limit.NewSuspects(), "1", "bad", "unrelated")
		s = crash(s, "1", "bad", "unrelated")
		check.Equal(t, "after one crash", judge(s, "bad"), limit.RunIsolated)
		check.Equal(t, "unrelated request after one crash", judge(s, "unrelated"), limit.RunIsolated)
		s = crash(s, "2", "bad")
		check.Equal(t, "after two crashes", judge(s, "bad"), limit.Refuse)
		check.Equal(t, "unrelated request", judge(s, "unrelated"), limit.RunIsolated)
		v, _ := s.Check("b", "bad", start)
		check.Equal(t, "same content of another account", v, limit.Run)
	})
	t.Run("two crashes beside other requests do not quarantine", func(t *testing.T) {
		s := crash(crash(limit.NewSuspects(), "1", "x", "y"), "2", "x", "z")
		check.Equal(t, "x", judge(s, "x"), limit.RunIsolated)
	})
	t.Run("one isolated run at a time, success clears", func(t *testing.T) {
		s := crash(limit.NewSuspects(), "1", "x", "y")
		s, first := s.Apply(limit.Command{Op: limit.OpIsolatedRun, Account: "a", Fingerprints: []string{"x"}, Holder: "h", At: start})
		s, second := s.Apply(limit.Command{Op: limit.OpIsolatedRun, Account: "a", Fingerprints: []string{"x"}, Holder: "i", At: start})
		check.Equal(t, "verdicts on two isolated runs", []limit.Verdict{first, second}, []limit.Verdict{limit.RunIsolated, limit.WaitForIsolatedRun})
		s, _ = s.Apply(limit.Command{Op: limit.OpClear, Account: "a", Fingerprints: []string{"x"}, Holder: "h", At: start})
		check.Equal(t, "cleared", judge(s, "x"), limit.Run)
	})
	t.Run("quarantine ends by an isolated run or by an operator, not by time", func(t *testing.T) {
		s := crash(crash(limit.NewSuspects(), "1", "x"), "2", "x")
		after := start.Add(limit.QuarantineTime + time.Second)
		// Other crashes meanwhile don't drop the record.
		s, _ = s.Apply(limit.Command{Op: limit.OpCrash, Account: "a", Fingerprints: []string{"y"}, Crash: "3", At: after})
		v, _ := s.Check("a", "x", after)
		check.Equal(t, "after the quarantine", v, limit.RunIsolated)
		s, _ = s.Apply(limit.Command{Op: limit.OpIsolatedRun, Account: "a", Fingerprints: []string{"x"}, Holder: "h", At: after})
		again, _ := s.Apply(limit.Command{Op: limit.OpCrash, Account: "a", Fingerprints: []string{"x"}, Crash: "4", At: after})
		v, _ = again.Check("a", "x", after.Add(limit.QuarantineTime+time.Second))
		check.Equal(t, "after a crash in the isolated run", v, limit.Refuse)
		cleared, _ := s.Apply(limit.Command{Op: limit.OpClear, Account: "a", Fingerprints: []string{"x"}, Holder: "h", At: after})
		check.Equal(t, "after a complete isolated run", judge(cleared, "x"), limit.Run)
		s, _ = s.Apply(limit.Command{Op: limit.OpOperatorClear, Account: "a", Fingerprints: []string{"x"}, At: start})
		check.Equal(t, "cleared by an operator", judge(s, "x"), limit.Run)
	})
}
