package origin_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/origin"
)

var (
	start        = time.Unix(1000, 0)
	older, newer = origin.Build{Pool: "p", Name: "v1"}, origin.Build{Pool: "p", Name: "v2"}
	other        = origin.Build{Pool: "q", Name: "v1"}
)

func ExampleHistory() {
	var h *origin.History
	h = h.Observe([]origin.Build{{Pool: "p", Name: "v1"}}, start)
	h = h.Observe([]origin.Build{{Pool: "p", Name: "v2"}}, start.Add(time.Minute))
	fmt.Println(h.Possible("p", start.Add(time.Minute)))
	fmt.Println(h.Possible("p", start.Add(time.Minute+origin.MaxAge)))
	// Output:
	// [v1 v2]
	// [v2]
}

func ExampleRegister() {
	r := origin.NewRegister()
	key := origin.KeyOf("account", "attempt-1")
	r.Record(origin.Encode([]origin.Start{{Key: key, Build: origin.Build{Pool: "p", Name: "v2"}}}), start)
	fmt.Println(r.Find(key))
	fmt.Println(r.Find(origin.KeyOf("other account", "attempt-1")))
	// Output:
	// {p v2} true
	// { } false
}

func TestHistory(t *testing.T) {
	later := func(d time.Duration) time.Time { return start.Add(d) }
	var empty *origin.History
	first := empty.Observe([]origin.Build{older, other}, start)
	both := first.Observe([]origin.Build{older, newer, other}, later(time.Second))
	rolled := both.Observe([]origin.Build{newer, other}, later(2*time.Second))
	back := rolled.Observe([]origin.Build{older, other}, later(3*time.Second))
	for _, c := range []struct {
		name    string
		history *origin.History
		at      time.Duration
		want    []string
	}{
		{"nothing was read", empty, 0, nil},
		{"one build", first, time.Hour, []string{"v1"}},
		{"two side by side", both, time.Hour, []string{"v1", "v2"}},
		{"the old one has just left", rolled, 2 * time.Second, []string{"v1", "v2"}},
		{"the old one left long ago", rolled, 2*time.Second + origin.MaxAge, []string{"v2"}},
		{"rolled back", back, 4 * time.Second, []string{"v1", "v2"}},
		{"rolled back long ago", back, 3*time.Second + origin.MaxAge, []string{"v1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			check.Equal(t, "possible builds", c.history.Possible("p", later(c.at)), c.want)
		})
	}
	t.Run("what the list shows", func(t *testing.T) {
		check.Equal(t, "the builds present", rolled.Shows([]origin.Build{other, newer}), true)
		check.Equal(t, "one that has left", rolled.Shows([]origin.Build{other, newer, older}), false)
		check.Equal(t, "one missing", rolled.Shows([]origin.Build{newer}), false)
		check.Equal(t, "one of them has left, and is known", rolled.Has(older), true)
		check.Equal(t, "nothing", empty.Shows(nil), true)
	})
	t.Run("builds that left long ago are dropped", func(t *testing.T) {
		check.Equal(t, "known", rolled.Observe([]origin.Build{newer}, later(time.Hour)).Has(older), false)
	})
}

func record(r *origin.Register, at time.Duration, starts ...origin.Start) {
	r.Record(origin.Encode(starts), start.Add(at))
}

func TestRegister(t *testing.T) {
	a, b := origin.KeyOf("c", "a"), origin.KeyOf("c", "b")
	find := func(t *testing.T, r *origin.Register, key origin.Key, want origin.Build) {
		t.Helper()
		got, ok := r.Find(key)
		check.Equal(t, "known", ok, want != origin.Build{})
		check.Equal(t, "build", got, want)
	}
	t.Run("at the build reported", func(t *testing.T) {
		r := origin.NewRegister()
		record(r, 0, origin.Start{Key: a, Build: older}, origin.Start{Key: b, Build: newer})
		find(t, r, a, older)
		find(t, r, b, newer)
		find(t, r, origin.KeyOf("c", "never reported"), origin.Build{})
	})
	t.Run("reported again", func(t *testing.T) {
		r := origin.NewRegister()
		record(r, 0, origin.Start{Key: a, Build: older})
		record(r, origin.MaxAge, origin.Start{Key: a, Build: older})
		record(r, origin.MaxAge+time.Minute, origin.Start{Key: b, Build: newer})
		find(t, r, a, older)
	})
	t.Run("contradicting reports", func(t *testing.T) {
		r := origin.NewRegister()
		record(r, 0, origin.Start{Key: a, Build: older})
		record(r, time.Minute, origin.Start{Key: a, Build: newer})
		find(t, r, a, origin.Build{})
		record(r, time.Minute, origin.Start{Key: a, Build: older})
		find(t, r, a, origin.Build{})
	})
	t.Run("a later attempt elsewhere", func(t *testing.T) {
		r := origin.NewRegister()
		record(r, 0, origin.Start{Key: a, Build: older, Attempt: 1})
		record(r, time.Minute, origin.Start{Key: a, Build: newer, Attempt: 2})
		find(t, r, a, newer)
		record(r, time.Minute, origin.Start{Key: a, Build: older, Attempt: 1}, origin.Start{Key: a, Build: newer})
		find(t, r, a, newer)
	})
	t.Run("too old", func(t *testing.T) {
		r := origin.NewRegister()
		record(r, 0, origin.Start{Key: a, Build: older})
		record(r, 2*origin.MaxAge, origin.Start{Key: b, Build: older})
		find(t, r, a, origin.Build{})
		check.Equal(t, "starts", r.Len(), 1)
	})
}

// TestRegisterRestores saves and restores a register of many reports.
func TestRegisterRestores(t *testing.T) {
	r, random := origin.NewRegister(), rand.New(rand.NewPCG(1, 2))
	var starts []origin.Start
	for i := range 5000 {
		s := origin.Start{Key: origin.Key(random.Uint64N(4000)), Build: []origin.Build{older, newer, other}[random.IntN(3)], Attempt: uint8(random.IntN(3))}
		starts = append(starts, s)
		record(r, time.Duration(i)*20*time.Millisecond, s)
	}
	data, err := json.Marshal(r)
	check.NoError(t, err)
	restored := origin.NewRegister()
	check.NoError(t, json.Unmarshal(data, restored))
	for _, s := range starts {
		want, known := r.Find(s.Key)
		got, ok := restored.Find(s.Key)
		check.Equal(t, "known", ok, known)
		check.Equal(t, "build", got, want)
	}
	again, err := json.Marshal(restored)
	check.NoError(t, err)
	check.Equal(t, "the same form", string(again), string(data))
}

// FuzzRegister decodes malformed registers.
func FuzzRegister(f *testing.F) {
	r := origin.NewRegister()
	record(r, 0, origin.Start{Key: 1, Build: older}, origin.Start{Key: 2, Build: newer})
	data, err := json.Marshal(r)
	check.NoError(f, err)
	f.Add(data)
	f.Add([]byte(`[{"builds":[],"starts":"AAAAAAAAAAEBAA=="}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := origin.NewRegister()
		if json.Unmarshal(data, r) != nil {
			check.Equal(t, "starts", r.Len(), 0)
		}
		r.Find(1)
		record(r, time.Hour, origin.Start{Key: 1, Build: older})
	})
}
