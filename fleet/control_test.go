package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/entry"
	"egretshunt/fleet"
	"egretshunt/node"
	"egretshunt/table"
)

// TestLeaving drains an endpoint by the table, by the platform's list and by SIGTERM to its agent.
// Afterwards the endpoint must get no new requests, and no request may be rejected.
func TestLeaving(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	c := fleet.Client()
	checkNoNewWork := func(name string) {
		t.Helper()
		before := f.Engines[name].Totals().Requests
		for i := range 60 {
			text := fmt.Sprint(name, " leaves ", i)
			a, err := sendPrompt(t.Context(), f, c, i, i%3, text, 2, false)
			check.NoError(t, err)
			check.Equal(t, fmt.Sprintf("text (%d %s)", a.status, a.code), a.text, wantText(text, 2))
		}
		check.Equal(t, name+" got new requests", f.Engines[name].Totals().Requests-before, 0)
	}
	t.Run("drained in the table", func(t *testing.T) {
		var got struct {
			Rev uint64 `json:"rev"`
		}
		check.NoError(t, f.Admin(t.Context(), http.MethodPost, "/pools/workers/endpoints/worker-0/drain", nil, &got))
		check.NoError(t, f.AwaitRevision(t.Context(), got.Rev))
		checkNoNewWork("worker-0")
		check.NoError(t, f.Admin(t.Context(), http.MethodPost, "/pools/workers/endpoints/worker-0/undrain", nil, &got))
		check.NoError(t, f.AwaitRevision(t.Context(), got.Rev))
	})
	t.Run("on the platform's list", func(t *testing.T) {
		check.NoError(t, f.WritePlatformList("worker-1"))
		check.Eventually(t, "the agent sees worker-1 as leaving", func() bool {
			v := f.Proc("worker-1").View()
			return v.IsLeaving("worker-1")
		})
		check.Eventually(t, "all entries see worker-1 as leaving", func() bool {
			for _, e := range f.Entries {
				if !f.Proc(e).View().IsLeaving("worker-1") {
					return false
				}
			}
			return true
		})
		checkNoNewWork("worker-1")
		check.NoError(t, f.WritePlatformList())
	})
	t.Run("its agent gets SIGTERM", func(t *testing.T) {
		check.Equal(t, "requests cut off", f.StopGracefully(t.Context(), "worker-2"), 0)
		checkNoNewWork("worker-2")
	})
}

// TestGracefulShutdown stops an agent and an entry gracefully while streams are open; none may be
// cut off.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(s *fleet.Shape) { s.TokenInterval = 10 * time.Millisecond })
	c := fleet.Client()
	var begun, work sync.WaitGroup
	for i := range 24 {
		begun.Add(1)
		work.Go(func() {
			text := fmt.Sprint("stays whole ", i)
			resp, err := f.Send(t.Context(), c, 0, i%3, http.MethodPost, "/v1/completions", promptBody(f.Shape.Model, text, 100, true), "")
			begun.Done()
			if err != nil {
				t.Errorf("stream %d: %v", i, err)
				return
			}
			defer resp.Body.Close()
			if a := readStream(resp, response{}); !a.complete || a.text != wantText(text, 100) {
				t.Errorf("stream %d was cut off or has a wrong text", i)
			}
		})
	}
	begun.Wait()
	check.Equal(t, "requests cut off by the agent", f.StopGracefully(t.Context(), "worker-0"), 0)
	check.Equal(t, "requests cut off by the entry", f.StopGracefully(t.Context(), "entry-0"), 0)
	work.Wait()
}

// TestVersionSwap rolls out a weight version under load: two loads at a time, none twice,
// no response lost, and no engine ever imports another version's bytes.
func TestVersionSwap(t *testing.T) {
	t.Parallel()
	f := startFleet(t, func(s *fleet.Shape) { s.Workers = 5 })
	c := fleet.Client()
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	for n := range 6 {
		clients.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				text := promptHistory(n, i%4)
				a, err := sendPrompt(t.Context(), f, c, i, n%3, text, 3, false)
				if err != nil || a.ran == entry.No {
					// The entry was killed, or has restarted and isn't ready yet; a load balancer would avoid it.
					time.Sleep(20 * time.Millisecond)
					continue
				}
				if a.status != http.StatusOK || (a.complete && a.text != wantText(text, 3)) {
					t.Errorf("during the rollout: status %d, code %q", a.status, a.code)
					return
				}
			}
		})
	}
	p, err := f.Pool(t.Context(), fleet.WorkerPool)
	check.NoError(t, err)
	base := p.Rev
	p.Version, p.Rev = "v2", 0
	_, err = f.Put(t.Context(), "pools", p.Name, base, p)
	check.NoError(t, err)
	// Kills the leader, which issues the commands, during the rollout.
	time.Sleep(600 * time.Millisecond)
	for _, e := range f.Entries {
		if f.Proc(e).IsLeader() {
			f.Kill(e)
			check.NoError(t, f.Run(e))
			break
		}
	}
	check.Eventually(t, "all engines run the new weight version", func() bool {
		for _, e := range f.Engines {
			if e.Version() != "v2" {
				return false
			}
		}
		return true
	})
	cancel()
	clients.Wait()
	for name, e := range f.Engines {
		seen := e.Totals()
		check.Equal(t, name+" accepted commands", seen.Commands, 1)
		check.Equal(t, name+" imports of wrong bytes", seen.CorruptImports, 0)
	}
}

// promptHistory returns the prompt of conversation n, which has a few KV blocks and grows by 4,000
// bytes with each turn.
func promptHistory(n, turn int) string {
	text := ""
	for i := range 8000 + 4000*turn {
		text += string(rune('a' + (n*7+i*i)%26))
	}
	return text
}

// TestReuse checks that a prompt served before is fetched from the store when another worker
// serves it, and that another account can't use the cached blocks.
func TestReuse(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	c := fleet.Client()
	text := promptHistory(1, 2)
	for i := range 3 {
		a, err := sendPrompt(t.Context(), f, c, i, 0, text, 2, false)
		check.NoError(t, err)
		check.Equal(t, "response", []any{a.status, a.code, a.text}, []any{http.StatusOK, "", wantText(text, 2)})
	}
	check.Eventually(t, "the store holds the blocks", func() bool { return f.Proc("store-0").StoreBlocks() >= 4 })
	fetched := func() (n int) {
		for _, e := range f.Engines {
			n += e.Totals().ImportedBlocks
		}
		return n
	}
	// Kills the agents of all engines that served the prompt; the store still has its blocks.
	for name, e := range f.Engines {
		if e.Totals().Requests > 0 {
			f.Kill(name)
		}
	}
	check.Eventually(t, "another worker fetches the blocks", func() bool {
		a, err := sendPrompt(t.Context(), f, c, 0, 0, text, 2, false)
		return err == nil && a.text == wantText(text, 2) && fetched() > 0
	})
	t.Run("another account computes its own blocks", func(t *testing.T) {
		before := fetched()
		a, err := sendPrompt(t.Context(), f, c, 0, 1, text, 2, false)
		check.NoError(t, err)
		check.Equal(t, "text", a.text, wantText(text, 2))
		check.Equal(t, "imported blocks", fetched(), before)
	})
}

// TestStale stops the majority of the control VMs. Strict routes must then reject requests as not
// run, while routes that may serve with stale tables continue.
func TestStale(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	c := fleet.Client()
	var r table.Route
	check.NoError(t, f.Admin(t.Context(), http.MethodGet, "/routes/member-1-planner", nil, &r))
	base := r.Rev
	r.Stale, r.Rev = table.StaleServe, 0
	rev, err := f.Put(t.Context(), "routes", r.Name, base, &r)
	check.NoError(t, err)
	check.NoError(t, f.AwaitRevision(t.Context(), rev))
	f.Kill("entry-1")
	f.Kill("entry-2")
	check.Eventually(t, "the strict route rejects requests", func() bool {
		a, err := sendPrompt(t.Context(), f, c, 0, 0, "strict", 1, false)
		return err == nil && a.code == entry.CodeStale && a.ran == entry.No
	})
	a, err := sendPrompt(t.Context(), f, c, 0, 1, "lenient", 1, false)
	check.NoError(t, err)
	check.Equal(t, "text on the route that serves when stale", a.text, wantText("lenient", 1))
	check.NoError(t, f.Run("entry-1"))
	check.Eventually(t, "the strict route serves again", func() bool {
		a, err := sendPrompt(t.Context(), f, c, 0, 0, "strict again", 1, false)
		return err == nil && a.status == http.StatusOK
	})
}

// TestRestore restores a snapshot into empty data directories. A booking from before it must still
// be known, and a control VM that lost its disk must not start on its own.
func TestRestore(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	c := fleet.Client()
	a, err := sendBooking(t.Context(), f, c, 0, 0, "before", "x")
	check.NoError(t, err)
	check.Equal(t, "booked", a.status, http.StatusCreated)
	var state json.RawMessage
	check.Eventually(t, "a snapshot", func() bool { return f.Admin(t.Context(), http.MethodGet, "/snapshot", nil, &state) == nil })
	for _, e := range f.Entries {
		f.Kill(e)
	}
	for _, e := range f.Entries {
		check.NoError(t, os.RemoveAll(f.Settings(e).Data))
		if err := f.Run(e); err == nil && f.Settings(e).Member.Start != "new" {
			t.Fatal("a control VM that lost its disk started")
		}
		f.Kill(e)
		check.NoError(t, os.RemoveAll(f.Settings(e).Data))
		check.NoError(t, node.Restore(f.Settings(e), state))
		if err := node.Restore(f.Settings(e), state); err == nil {
			t.Fatal("a second restore overwrote the first")
		}
	}
	for _, e := range f.Entries {
		check.NoError(t, f.Run(e))
	}
	check.Eventually(t, "the booking is replayed", func() bool {
		a, err := sendBooking(t.Context(), f, c, 1, 0, "before", "x")
		return err == nil && a.status == http.StatusCreated
	})
	check.Equal(t, "effects", effectCount(f, "before"), 1)
}

// TestLostDisk starts a control VM whose data directory is lost. It must not start, as it could
// vote a second time in a term.
func TestLostDisk(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	f.Kill("entry-2")
	s := *f.Settings("entry-2")
	m := *s.Member
	m.Start = ""
	s.Member = &m
	check.NoError(t, os.RemoveAll(s.Data))
	if p, err := node.Start(&s, nil); err == nil {
		p.Kill()
		t.Fatal("a control VM that lost its state started under its former name")
	}
}

// TestRestartAfterManyChanges restarts a node that missed 500 table changes; it must catch up.
func TestRestartAfterManyChanges(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	f.Kill("worker-2")
	rev := uint64(0)
	for i := range 500 {
		row := &table.Pool{Name: fmt.Sprintf("fill-%d", i%50), Place: "north", Kind: table.Service, Endpoints: []table.Endpoint{}}
		base := uint64(0)
		if i >= 50 {
			old, err := f.Pool(t.Context(), row.Name)
			check.NoError(t, err)
			base = old.Rev
		}
		got, err := f.Put(t.Context(), "pools", row.Name, base, row)
		check.NoError(t, err)
		rev = got
	}
	check.NoError(t, f.Run("worker-2"))
	check.Eventually(t, "the node has caught up", func() bool { return f.Proc("worker-2").Rev() >= rev })
	check.NoError(t, f.AwaitRevision(t.Context(), rev))
}
