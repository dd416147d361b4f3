package fleet_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	"egretshunt/check"
	"egretshunt/conf"
	"egretshunt/entry"
	"egretshunt/fleet"
	"egretshunt/node"
	"egretshunt/quorum"
	"egretshunt/table"
)

// TestReplaceControl replaces a control VM that is lost for good by a new one. The group must then
// survive the loss of another member.
func TestReplaceControl(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	lost := ""
	for _, e := range f.Entries {
		if !f.Proc(e).IsLeader() {
			lost = e
		}
	}
	f.Kill(lost)
	check.NoError(t, os.RemoveAll(f.Settings(lost).Data))
	// The new VM has a new name and the lost one's addresses, which a replacement may reuse.
	s := *f.Settings(lost)
	m := *s.Member
	s.Node, m.Start, s.Member = "entry-new", "join", &m
	m.Members = nil
	for _, e := range f.Entries {
		if e != lost {
			m.Members = append(m.Members, quorum.Member{ID: quorum.ID(e), Addr: f.Settings(e).Wire.Listen})
		}
	}
	p, err := node.Start(&s, nil)
	check.NoError(t, err)
	defer p.Kill()
	body := map[string]any{"id": "entry-new", "addr": s.Wire.Listen, "replaces": lost}
	check.NoError(t, f.Admin(t.Context(), http.MethodPost, "/members/replace", body, nil))
	members := quorum.Members{}
	check.Eventually(t, "the new VM is a voter and the lost one is removed", func() bool {
		var st quorum.Status
		if f.Admin(t.Context(), http.MethodGet, "/status", nil, &st) != nil {
			return false
		}
		members = st.Members
		return members.HasVoter("entry-new") && !members.HasVoter(quorum.ID(lost)) && len(members.Voters) == 3
	})
	t.Run("loss of the leader after the replacement", func(t *testing.T) {
		for _, e := range f.Entries {
			if e != lost && f.Proc(e).IsLeader() {
				f.Kill(e)
			}
		}
		row := &table.Pool{Name: "after", Place: "north", Kind: table.Service, Endpoints: []table.Endpoint{}}
		_, err := f.Put(t.Context(), "pools", row.Name, 0, row)
		check.NoError(t, err)
		var pool table.Pool
		check.NoError(t, f.Admin(t.Context(), http.MethodGet, "/pools/"+fleet.WorkerPool, nil, &pool))
	})
}

// TestOperators checks roles, account scopes and invalid requests at the administration API.
func TestOperators(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	path := f.Settings(f.Entries[0]).Member.Operators
	file := ""
	for _, p := range []conf.OperatorRecord{
		{Name: "demo", Hash: entry.HashKey(fleet.OperatorKey), Role: conf.Operator},
		{Name: "viewer", Hash: entry.HashKey("viewer"), Role: conf.Viewer},
		{Name: "scoped", Hash: entry.HashKey("scoped"), Role: conf.Operator, Accounts: []string{"member-1"}},
	} {
		accounts, _ := json.Marshal(p.Accounts)
		if p.Accounts == nil {
			accounts = []byte("[]")
		}
		file += fmt.Sprintf("[[operator]]\nname = %q\nhash = %q\nrole = %q\naccounts = %s\n", p.Name, p.Hash, p.Role, accounts)
	}
	check.NoError(t, os.WriteFile(path, []byte(file), 0o600))
	// Operators' keys are reloaded without a restart.
	check.NoError(t, f.Proc(f.Entries[0]).Reload())
	route := `{"account":"member-1","target":"planner","pools":["workers"],"class":"batch"}`
	other := `{"account":"member-0","target":"planner","pools":["workers"]}`
	for _, tc := range []struct {
		desc, key, method, path, body string
		status                        int
	}{
		{"no key", "nobody", "GET", "/routes", "", 401},
		{"a viewer may read", "viewer", "GET", "/audit", "", 200},
		{"a viewer may not write", "viewer", "POST", "/pools/workers/drain", "", 403},
		{"a viewer may not take a snapshot", "viewer", "GET", "/snapshot", "", 403},
		{"a scoped operator may not change pools", "scoped", "POST", "/pools/workers/drain", "", 403},
		{"a scoped operator may not write other accounts' routes", "scoped", "PUT", "/routes/new?base=0", other, 403},
		{"a scoped operator does not see other accounts' routes", "scoped", "GET", "/routes/member-0-planner", "", 404},
		{"a scoped operator may not remove members", "scoped", "POST", "/members/remove", `{"id":"entry-1"}`, 403},
		{"a viewer may see evacuations", "viewer", "GET", "/evacuations", "", 200},
		{"a viewer may not evacuate", "viewer", "POST", "/evacuations/north", "", 403},
		{"a scoped operator may not evacuate", "scoped", "POST", "/evacuations/north", "", 403},
		{"a scoped operator may read its account's route", "scoped", "GET", "/routes/member-1-planner", "", 200},
		{"a dry run changes nothing", "scoped", "PUT", "/routes/member-1-planner?dry=true&base=" + fmt.Sprint(routeRev(t, f, "member-1-planner")), route, 200},
		{"a stale base", "scoped", "PUT", "/routes/member-1-planner?base=1", route, 409},
		{"a base that is not a number", "scoped", "PUT", "/routes/member-1-planner?base=x", route, 400},
		{"unknown row", fleet.OperatorKey, "GET", "/pools/none", "", 404},
		{"unknown path", fleet.OperatorKey, "GET", "/none", "", 404},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			req, err := http.NewRequestWithContext(t.Context(), tc.method, f.AdminURL(0)+tc.path, strings.NewReader(tc.body))
			check.NoError(t, err)
			req.Header.Set("Authorization", "Bearer "+tc.key)
			resp, err := http.DefaultClient.Do(req)
			check.NoError(t, err)
			resp.Body.Close()
			check.Equal(t, "status", resp.StatusCode, tc.status)
		})
	}
	check.Equal(t, "version after the dry run", routeRev(t, f, "member-1-planner") < 10, true)
}
