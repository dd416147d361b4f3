package fleet_test

import (
	"bytes"
	"net/http"
	"net/netip"
	"testing"

	"egretshunt/check"
	"egretshunt/conf"
	"egretshunt/fleet"
)

const (
	// untrustedMemory and untrustedFds bound each process: fewer descriptors than there are clients of one kind.
	untrustedMemory, untrustedFds = 128 << 20, 400
	// untrustedConns bounds the connections of callers.
	untrustedConns = 100
	// untrustedIdle is how many clients connect and send no whole request.
	untrustedIdle = 700
	// untrustedBodies is how many clients send large bodies, of the largest size that is allowed: together 400 MiB.
	untrustedBodies, untrustedBody = 100, 4 << 20
)

// TestUntrustedClients guards against clients that make a process of the agents' path end, hang or outgrow its VM, at each port that
// it listens on. All cases run against the same processes, whose peaks are those of all cases so far.
func TestUntrustedClients(t *testing.T) {
	check.Alone(t)
	binary, err := fleet.Build(t.Context(), t.TempDir())
	check.NoError(t, err)
	shape := fleet.Tiny()
	account := "Authorization: Bearer " + shape.Key(0) + "\r\n"
	operator := "Authorization: Bearer " + fleet.OperatorKey + "\r\n"
	const prompt = `{"model":"planner","prompt":"x","max_tokens":3}`
	const prompts, jobs, pool = "/v1/completions", "/svc/dispatch/jobs", "/admin/v1/pools/more?base=0"
	f, err := fleet.NewFleet(shape, t.TempDir(), nil)
	check.NoError(t, err)
	for _, name := range f.Names() {
		f.Settings(name).Memory = conf.Memory{Total: untrustedMemory, Conns: untrustedConns}
	}
	for _, name := range f.Entries {
		f.Settings(name).Entry.Body = untrustedBody
	}
	p, err := fleet.StartProcesses(t.Context(), f, binary)
	check.NoError(t, err)
	defer p.Close()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ordinary := func(t *testing.T, from string) {
		t.Helper()
		check.Eventually(t, "a prompt is answered "+from, func() bool {
			a, err := sendPrompt(t.Context(), f, c, 0, 1, from, 3, true)
			return err == nil && a.complete && a.text == wantText(from, 3)
		})
		check.Eventually(t, "a booking is answered "+from, func() bool {
			a, err := sendBooking(t.Context(), f, c, 0, 1, from, "x")
			return err == nil && a.status == http.StatusCreated
		})
		for _, url := range []string{f.AdminURL(0) + "/status", "http://" + f.Settings("entry-0").Ops.Listen.String() + "/metrics"} {
			check.Eventually(t, url+" is answered "+from, func() bool {
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
				check.NoError(t, err)
				r.Header.Set("Authorization", "Bearer "+fleet.OperatorKey)
				got, err := c.Do(r)
				if err != nil {
					return false
				}
				got.Body.Close()
				return got.StatusCode == http.StatusOK
			})
		}
	}
	ordinary(t, "before")
	large, err := f.Send(t.Context(), c, 0, 1, http.MethodPost, prompts, append([]byte(prompt), bytes.Repeat([]byte(" "), untrustedBody-len(prompt))...), "")
	check.NoError(t, err)
	large.Body.Close()
	check.Equal(t, "status of a prompt of the largest size", large.StatusCode, http.StatusOK)
	uses := map[string]*check.Watch{}
	for _, name := range f.Names() {
		uses[name] = check.StartWatch(t, p.PID(name))
	}
	for _, tc := range []struct {
		name, process, port string
		clients             int
		client              check.Client
	}{
		{"whole prompts", "entry-0", "entry", untrustedBodies, check.WholeBody(http.MethodPost, prompts, account, prompt, untrustedBody)},
		{"whole bookings", "entry-0", "entry", untrustedBodies, check.WholeBody(http.MethodPost, jobs, account, "x", untrustedBody)},
		{"prompts one byte short", "entry-0", "entry", untrustedBodies, check.ShortBody(http.MethodPost, prompts, account, untrustedBody)},
		{"prompts in chunks of 64 KiB", "entry-0", "entry", untrustedBodies, check.ChunkedBody(http.MethodPost, prompts, account, untrustedBody-64<<10, 64<<10)},
		{"prompts in chunks of 8 bytes", "entry-0", "entry", untrustedBodies, check.ChunkedBody(http.MethodPost, prompts, account, 1<<20, 8)},
		{"prompts over the limit", "entry-0", "entry", untrustedBodies, check.ShortBody(http.MethodPost, prompts, account, 1<<30)},
		{"bookings one byte short", "entry-0", "entry", untrustedBodies, check.ShortBody(http.MethodPost, jobs, account, untrustedBody)},
		{"small prompts one byte short", "entry-0", "entry", untrustedIdle, check.ShortBody(http.MethodPost, prompts, account, 2)},
		{"silent callers", "entry-0", "entry", untrustedIdle, check.Silent()},
		{"headers of callers that don't end", "entry-0", "entry", untrustedIdle, check.PartialHeader(http.MethodPost, prompts)},
		{"tables one byte short", "entry-0", "admin", untrustedBodies, check.ShortBody(http.MethodPut, pool, operator, untrustedBody)},
		{"silent operators", "entry-0", "admin", untrustedIdle, check.Silent()},
		{"unread responses of the administration API", "entry-0", "admin", untrustedIdle, check.Unread(http.MethodGet, "/admin/v1/tables", operator, 200)},
		{"silent at the metrics port", "entry-0", "ops", untrustedIdle, check.Silent()},
		{"unread metrics", "entry-0", "ops", untrustedIdle, check.Unread(http.MethodGet, "/metrics", "", 200)},
		{"silent at an entry's wire", "entry-0", "wire", untrustedIdle, check.Silent()},
		{"silent at an agent's wire", "worker-0", "wire", untrustedIdle, check.Silent()},
		{"silent at a store's wire", "store-0", "wire", untrustedIdle, check.Silent()},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := f.Settings(tc.process)
			at := map[string]netip.AddrPort{"wire": s.Wire.Listen, "ops": s.Ops.Listen}
			if s.Entry != nil {
				at["entry"], at["admin"] = s.Entry.Listen, s.Member.Admin
			}
			use := uses[tc.process]
			bounds := check.Bounds{Memory: untrustedMemory, Fds: untrustedFds}
			leave := check.Clients(t, tc.clients, at[tc.port], tc.client)
			ordinary(t, "while they stay")
			use.Within(t, "while they stay", bounds)
			leave()
			ordinary(t, "afterwards")
			use.Within(t, "afterwards", bounds)
		})
	}
	for name, use := range uses {
		use.Within(t, name+" at the end", check.Bounds{Memory: untrustedMemory, Fds: untrustedFds})
	}
}
