package pass_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"egretshunt/block"
	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/limit"
	"egretshunt/pass"
)

func TestLeavingAndLoadingEndpointsGetNoWork(t *testing.T) {
	w := newWorld(t, answer(200, "ok"))
	for i := range 3 {
		w.known.list.Endpoints[i].Leaving = i < 2
		w.known.list.Endpoints[i].Loading = i == 2
	}
	for range 20 {
		w.call("/safe/x", "k")
	}
	for _, s := range w.back.sends {
		check.Equal(t, "endpoint", s.To.ID, "w3")
	}
}

func TestPromptCarriesVersionAndSalt(t *testing.T) {
	w := newWorld(t, answer(200, eventA))
	w.call("/stream/x", "k")
	w.call("/stream/x", "i")
	check.Equal(t, "version", w.back.sends[0].Version, uint64(3))
	check.Equal(t, "salt", w.back.sends[0].Salt, block.Salt(3, ""))
	check.Equal(t, "isolated salt", w.back.sends[1].Salt, block.Salt(3, "iso"))
	check.Equal(t, "account", w.back.sends[1].Account, "iso")
}

func TestOtherWeightsAreAskedForAgain(t *testing.T) {
	w := newWorld(t, answer(200, eventA), notRun(421, ""), answer(200, eventA))
	w.call("/stream/x", "k")
	w.known.view = &ctrl.View{Set: w.known.view.Set, Weights: map[string]ctrl.Weights{"m": {Model: "m", Version: 4}}}
	got, _ := w.call("/stream/x", "k")
	check.Equal(t, "status", got.Code, 200)
	check.Equal(t, "versions", []uint64{w.back.sends[1].Version, w.back.sends[2].Version}, []uint64{3, 4})
	check.Equal(t, "same endpoint", w.back.sends[1].To.ID, w.back.sends[2].To.ID)
}

// Engines that are not brought to new weights in time must get no new prompt. One whose
// caller waits longer than there is time left might begin too late.
func TestOldWeightsRunNoPromptThatMayBeginTooLate(t *testing.T) {
	for name, c := range map[string]struct {
		allowed time.Duration
		status  int
	}{
		"time to wait there":     {time.Hour, 200},
		"less than callers wait": {2 * time.Second, 503},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorldWith(t, pass.Config{SwapTime: c.allowed}, answer(200, eventA))
			got, _ := w.call("/stream/x", "k")
			check.Equal(t, "before", got.Code, 200)
			w.known.view = &ctrl.View{Set: w.known.view.Set, Weights: map[string]ctrl.Weights{"m": {Model: "m", Version: 4}}}
			got, _ = w.call("/stream/x", "k")
			check.Equal(t, "just named", got.Code, c.status)
			w.known.list.Endpoints[2].Weights["m"] = 4
			got, _ = w.call("/stream/x", "k")
			check.Equal(t, "one has them", got.Code, 200)
			check.Equal(t, "endpoint", w.back.sends[len(w.back.sends)-1].To.ID, "w2")
		})
	}
}

func TestNewEntryTrustsNoOldWeights(t *testing.T) {
	w := newWorld(t, answer(200, eventA))
	w.known.view = &ctrl.View{Set: w.known.view.Set, Weights: map[string]ctrl.Weights{"m": {Model: "m", Version: 4}}}
	w.known.list.Endpoints[1].Weights["m"] = 4
	w.call("/stream/x", "k")
	check.Equal(t, "endpoint", w.back.sends[0].To.ID, "w1")
}

func TestSubjectGoesWhereItIsHeld(t *testing.T) {
	w := newWorld(t, answer(200, eventA))
	for i := range 4 {
		at := w.known.list.Endpoints[i].Addr
		for _, id := range []string{"sys", "subject"} {
			w.known.where[block.PartName(block.Salt(3, ""), id)] = []block.Holder{{Store: at, Tokens: 8000}}
		}
		w.call("/stream/x", "k")
		check.Equal(t, "endpoint", w.back.sends[i].To.Addr, at)
	}
}

func TestHopelessPromptIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t, answer(200, eventA))
	for i := range 4 {
		for level := range limit.Levels {
			w.known.others[fmt.Sprintf("w%d/%d", i, level)] = 1 << 20
		}
	}
	got, _ := w.call("/stream/x", "k")
	check.Equal(t, "status", got.Code, 503)
	check.Equal(t, "never sent", len(w.back.sends), 0)
	check.Equal(t, "told when to come back", got.Header().Get("Retry-After") != "", true)
}

func TestLatePromptGoesBehindOthers(t *testing.T) {
	w := newWorld(t, answer(200, eventA))
	for i := range 4 {
		w.known.others[fmt.Sprintf("w%d/0", i)] = 50000
	}
	got, _ := w.call("/stream/x", "k")
	check.Equal(t, "status", got.Code, 200)
	check.Equal(t, "level", w.back.sends[0].Rank, limit.Level(0, time.Second, true))
}

func TestEndpointIsTriedOnlyWhileFit(t *testing.T) {
	w := newWorld(t, func(s *pass.Send) (*pass.Reply, error) {
		if s.To.ID == "w0" {
			return lost(s)
		}
		return answer(200, "ok")(s)
	})
	for i := range 60 {
		w.call("/safe/x", "k", func(c *pass.Call) { c.ID = fmt.Sprint(i) })
	}
	bad := 0
	for _, s := range w.back.sends {
		if s.To.ID == "w0" {
			bad++
		}
	}
	check.Equal(t, "few requests are lost", bad <= 4, true)
	check.Equal(t, "told to control", slices.Contains(w.entry.Unfit(), "w0"), true)
}

// All processes start anew with callers already there: prompts wait until it is known what
// is kept, a little while.
func TestFirstPromptsWaitForWhatIsKept(t *testing.T) {
	prompt := func(c *pass.Call) {
		c.Model, c.Parts = "m", []pass.Part{{ID: "shared", Tokens: 9000}, {ID: "own", Tokens: 100}}
	}
	store := netip.MustParseAddrPort("10.0.0.2:80")
	t.Run("known in time", func(t *testing.T) {
		w := newWorld(t, answer(200, eventA))
		w.known.where[block.PartName(block.Salt(3, ""), "shared")] = []block.Holder{{Store: store, Tokens: 9000}}
		w.known.noClock.Store(true)
		time.AfterFunc(50*time.Millisecond, func() { w.known.noClock.Store(false) })
		got, _ := w.call("/resume/x", "k", prompt)
		check.Equal(t, "status", got.Code, 200)
		s := w.back.sends[0]
		check.Equal(t, "reads or has the part", s.To.Addr == store || s.Fetch[0] == store, true)
		check.Equal(t, "bounds the transfer", s.Until > 0, true)
	})
	t.Run("never known", func(t *testing.T) {
		w := newWorld(t, answer(200, eventA))
		w.known.noClock.Store(true)
		got, _ := w.call("/resume/x", "k", prompt)
		check.Equal(t, "served all the same", got.Code, 200)
		got, _ = w.call("/safe/x", "k")
		check.Equal(t, "what is no prompt", got.Code, 200)
	})
}

// Each baseline serves; only the one by affinity keeps a subject together.
func TestPolicies(t *testing.T) {
	for name, spread := range map[string]bool{"": false, "predicted": false, "drawn": true, "leastloaded": true, "affine": false, "storeless": false} {
		t.Run(name, func(t *testing.T) {
			p, err := pass.ParsePolicy(name)
			check.Good(t, err)
			w := newWorldWith(t, pass.Config{Policy: p}, answer(200, eventA))
			used := map[string]bool{}
			for i := range 40 {
				got, _ := w.call("/resume/x", "k", func(c *pass.Call) {
					c.ID, c.Model, c.Parts = fmt.Sprint(i), "m", []pass.Part{{ID: "subject", Tokens: 100}, {ID: fmt.Sprint("own", i), Tokens: 10}}
				})
				check.Equal(t, "status", got.Code, 200)
				s := w.back.sends[len(w.back.sends)-1]
				used[s.To.ID] = true
			}
			check.Equal(t, "spread over all", len(used) == 4, spread)
		})
	}
	_, err := pass.ParsePolicy("guess")
	check.Equal(t, "unknown policy", err != nil, true)
}

// Control has an endpoint as down that still answers: the entry says so.
func TestHeardThoughDown(t *testing.T) {
	w := newWorld(t, answer(200, eventA))
	w.call("/resume/x", "k")
	check.Equal(t, "nothing to tell", len(w.entry.Heard()), 0)
	for i := range w.known.list.Endpoints {
		w.known.list.Endpoints[i].Down = true
	}
	w.call("/resume/x", "k")
	check.Equal(t, "told", w.entry.Heard(), []string{w.back.sends[1].To.ID})
}
