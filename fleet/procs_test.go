package fleet_test

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/fleet"
)

// TestProcesses runs a small deployment of real processes and kills -9 one of each
// role in turn while prompts and bookings go on.
func TestProcesses(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	dir := t.TempDir()
	binary, err := fleet.Build(ctx, dir)
	check.Good(t, err)
	f, err := fleet.Plan(fleet.Tiny(), dir, nil)
	check.Good(t, err)
	p, err := fleet.StartProcs(ctx, f, binary)
	check.Good(t, err)
	defer p.Close()
	c := fleet.Client()
	serves := func(what string, entry int) {
		t.Helper()
		text := history(3, 1) + what
		check.Soon(t, "a prompt after "+what, func() bool {
			a, err := ask(ctx, f, c, entry, 0, text, 3, true)
			return err == nil && a.whole && a.text == wantText(text, 3)
		})
		key := "job " + what
		check.Soon(t, "a booking after "+what, func() bool {
			a, err := book(ctx, f, c, entry, 0, key, "x")
			return err == nil && a.status == http.StatusCreated
		})
		check.Equal(t, "effects of "+key, runs(f, key), 1)
	}
	serves("the start", 0)
	for i, name := range []string{"entry-0", "worker-0", "helper-0", "store-0", "entry-1"} {
		check.Equal(t, name+" was killed", p.End(name, syscall.SIGKILL), -1)
		serves("the death of "+name, 2)
		check.Good(t, p.Run(name))
		serves(fmt.Sprint("the return of ", name, i), 2)
	}
	t.Run("TERM ends with exit code 0", func(t *testing.T) {
		for _, name := range []string{"worker-1", "store-0", "entry-2"} {
			check.Equal(t, name, p.End(name, syscall.SIGTERM), 0)
		}
	})
}
