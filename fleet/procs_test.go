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

// TestProcesses runs a small deployment as operating system processes and kills one of each role
// with SIGKILL in turn. Prompts and bookings must succeed after each kill and each restart.
func TestProcesses(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	dir := t.TempDir()
	binary, err := fleet.Build(ctx, dir)
	check.NoError(t, err)
	f, err := fleet.NewFleet(fleet.Tiny(), dir, nil)
	check.NoError(t, err)
	p, err := fleet.StartProcesses(ctx, f, binary)
	check.NoError(t, err)
	defer p.Close()
	c := fleet.Client()
	checkServing := func(desc string, entry int) {
		t.Helper()
		text := promptHistory(3, 1) + desc
		check.Eventually(t, "a prompt after "+desc, func() bool {
			a, err := sendPrompt(ctx, f, c, entry, 0, text, 3, true)
			return err == nil && a.complete && a.text == wantText(text, 3)
		})
		key := "job " + desc
		check.Eventually(t, "a booking after "+desc, func() bool {
			a, err := sendBooking(ctx, f, c, entry, 0, key, "x")
			return err == nil && a.status == http.StatusCreated
		})
		check.Equal(t, "effects of "+key, effectCount(f, key), 1)
	}
	checkServing("the start", 0)
	for i, name := range []string{"entry-0", "worker-0", "helper-0", "store-0", "entry-1"} {
		check.Equal(t, name+" exit code after SIGKILL", p.SignalAndWait(name, syscall.SIGKILL), -1)
		checkServing("the kill of "+name, 2)
		check.NoError(t, p.Run(name))
		checkServing(fmt.Sprint("the restart of ", name, i), 2)
	}
	t.Run("exit code 0 after SIGTERM", func(t *testing.T) {
		for _, name := range []string{"worker-1", "store-0", "entry-2"} {
			check.Equal(t, name, p.SignalAndWait(name, syscall.SIGTERM), 0)
		}
	})
}
