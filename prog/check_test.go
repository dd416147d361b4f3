package prog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"egretshunt/admin"
	"egretshunt/check"
	"egretshunt/conf"
	"egretshunt/lint"
)

const (
	inForceSet = "../platform/testdata/inforce.json"
	nextSet    = "../platform/testdata/next.json"
	tablesFile = "../samples/caroni/tables.toml"
)

// runCheck runs check and returns its exit code and what it printed.
func runCheck(args ...string) (code int, out, stderr string) {
	var o, e bytes.Buffer
	code = Main(append([]string{"check"}, args...), &o, &e)
	return code, o.String(), e.String()
}

// replaced writes a file with a text replaced and returns its path.
func replaced(t *testing.T, path, from, to string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	check.NoError(t, err)
	check.Equal(t, "has "+from, bytes.Contains(text, []byte(from)), true)
	out := filepath.Join(t.TempDir(), filepath.Base(path))
	check.NoError(t, os.WriteFile(out, []byte(strings.Replace(string(text), from, to, 1)), 0o600))
	return out
}

// TestCheckExitCodes guards against a check that tells a script less than what it prints.
func TestCheckExitCodes(t *testing.T) {
	const settings = "../samples/caroni/entry-0.toml"
	for name, c := range map[string]struct {
		args []string
		code int
		want string
	}{
		"valid settings":      {[]string{settings}, 0, ": valid (settings of node entry-0 in north)"},
		"invalid settings":    {[]string{replaced(t, settings, "place", "plaze")}, 1, ": error: plaze: unknown key"},
		"missing setting":     {[]string{replaced(t, settings, "place", "plaze")}, 1, ": error: place: place is missing: it names the data centre"},
		"no TOML":             {[]string{replaced(t, settings, "node", "node node")}, 1, "entry-0.toml:"},
		"valid set":           {[]string{inForceSet}, 0, ": valid (table set)"},
		"set with warnings":   {[]string{nextSet}, 2, "next.json:3: warning: "},
		"set cut short":       {[]string{replaced(t, inForceSet, "}]}", "")}, 1, "inforce.json:10: error: read configuration: unexpected end of JSON input"},
		"changed set":         {[]string{"--against", inForceSet, nextSet}, 2, "account t2 is removed; requests with 1 of its keys lose access"},
		"same set":            {[]string{"--against", inForceSet, inForceSet}, 0, ": valid, 0 changes (table set)"},
		"valid tables":        {[]string{tablesFile}, 0, ": valid (tables)"},
		"tables with a fault": {[]string{replaced(t, tablesFile, `kind = "store"`, `kind = "stor"`)}, 1, "tables.toml:72: error: pools[2].kind: pool stores: kind \"stor\""},
		"unknown key":         {[]string{replaced(t, tablesFile, `lookup`, `lockup`)}, 1, "tables.toml:55: error: pools.lockup: unknown key"},
		"tables, a warning":   {[]string{replaced(t, tablesFile, "/KEY", "/")}, 2, "tables.toml:55: warning: pools[1].lookup: "},
		"changed tables":      {[]string{"--against", tablesFile, replaced(t, tablesFile, `version = "v1"`, `version = "v2"`)}, 0, "tables.toml:8: change: pools[0].version: pool workers: \"v1\" → \"v2\"; its engines load these weights"},
		"no file":             {[]string{"none.json"}, 1, ""},
		"no keys":             {[]string{"--keys", tablesFile, tablesFile}, 1, ""},
		"no settings":         {[]string{"--settings", inForceSet, inForceSet}, 1, ""},
		"nothing in force":    {[]string{"--against", "none.json", inForceSet}, 1, ""},
		"settings compared":   {[]string{"--against", settings, settings}, 2, ""},
		"two in force":        {[]string{"--against", inForceSet, "--control", "127.0.0.1:1", nextSet}, 2, ""},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, stderr := runCheck(c.args...)
			check.Equal(t, "code, after "+out+stderr, code, c.code)
			check.Equal(t, "prints "+c.want+": "+out, strings.Contains(out, c.want), true)
			check.Equal(t, "a failure of the command is told apart by its output", out == "", stderr != "")
		})
	}
}

func TestCheckJSON(t *testing.T) {
	code, out, _ := runCheck("--json", "--against", inForceSet, nextSet)
	check.Equal(t, "code", code, 2)
	var r lint.Report
	check.NoError(t, json.Unmarshal([]byte(out), &r))
	check.Equal(t, "warnings", r.Count(lint.Warning), len(r.Findings))
	check.Equal(t, "changes are there", len(r.Changes) > 10 && r.Compared, true)
	_, out, _ = runCheck("--json", inForceSet)
	check.Equal(t, "empty lists", strings.Contains(out, `"findings": []`) && strings.Contains(out, `"changes": []`), true)
}

// TestCheckAgainstControl compares with versions in force that a control VM serves.
func TestCheckAgainstControl(t *testing.T) {
	set, err := os.ReadFile(inForceSet)
	check.NoError(t, err)
	text, err := os.ReadFile(tablesFile)
	check.NoError(t, err)
	export, _, err := decodeTables(text)
	check.NoError(t, err)
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != "/admin/v1/tables":
			_, _ = w.Write(set)
		case r.Header.Get("Authorization") != "Bearer sesame":
			w.WriteHeader(http.StatusUnauthorized)
			_ = json.NewEncoder(w).Encode(admin.ErrorResponse{Code: admin.CodeBadKey})
		default:
			_ = json.NewEncoder(w).Encode(export)
		}
	}))
	defer control.Close()
	addr := control.Listener.Addr().String()
	code, out, _ := runCheck("--control", addr, nextSet)
	check.Equal(t, "code", code, 2)
	check.Equal(t, "changes of the set", strings.Contains(out, "17 changes"), true)
	code, out, stderr := runCheck("--control", addr, "--key", "sesame", tablesFile)
	check.Equal(t, "code, after "+stderr, code, 0)
	check.Equal(t, "no changes of the tables", strings.Contains(out, "0 changes"), true)
	code, _, _ = runCheck("--control", addr, "--key", "other", tablesFile)
	check.Equal(t, "refused by control", code, exitRejected)
}

// TestCheckTablesWithKeys guards against a route that no client can use, as its account has no key.
func TestCheckTablesWithKeys(t *testing.T) {
	keys := "../samples/caroni/keys.toml"
	accounts, err := conf.LoadKeys(keys)
	check.NoError(t, err)
	var account string
	for _, a := range accounts {
		account = a
	}
	code, out, _ := runCheck("--keys", keys, tablesFile)
	check.Equal(t, "all accounts have keys: "+out, code, 0)
	code, out, _ = runCheck("--keys", keys, replaced(t, tablesFile, `account = "`+account+`"`, `account = "nobody"`))
	check.Equal(t, "code", code, 2)
	check.Equal(t, out, strings.Contains(out, "account nobody has no key"), true)
}

// TestCheckTablesAsJSON guards against an export in JSON that is read otherwise than one in TOML.
func TestCheckTablesAsJSON(t *testing.T) {
	text, err := os.ReadFile(tablesFile)
	check.NoError(t, err)
	export, _, err := decodeTables(text)
	check.NoError(t, err)
	write := func(name string) string {
		data, err := json.MarshalIndent(export, "", " ")
		check.NoError(t, err)
		path := filepath.Join(t.TempDir(), name)
		check.NoError(t, os.WriteFile(path, data, 0o600))
		return path
	}
	valid := write("tables.json")
	code, out, _ := runCheck("--against", tablesFile, valid)
	check.Equal(t, "code", code, 0)
	check.Equal(t, out, strings.Contains(out, "valid, 0 changes"), true)
	code, out, _ = runCheck(replaced(t, valid, `"kind": "store"`, `"colour": 1, "kind": "store"`))
	check.Equal(t, "code", code, 1)
	check.Equal(t, out, strings.Contains(out, "unknown field \"colour\""), true)
	code, out, _ = runCheck(replaced(t, valid, `"kind": "store"`, `"kind": 5`))
	check.Equal(t, "code", code, 1)
	check.Equal(t, out, strings.Contains(out, "error: pools[2]"), true)
}

// TestCheckExplainsImports: what an import changes, and what it leaves.
func TestCheckExplainsImports(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"drained":      {"addr = \"10.20.1.1:7000\"", "addr = \"10.20.1.1:7000\"\ndrain = true", "change: pools[0].endpoints: pool workers: worker-0: drain false → true"},
		"moved":        {"name = \"worker-9\"", "name = \"worker-10\"", "worker-10 (10.20.1.10:7000) is new; worker-9 is removed; requests go to the endpoints listed only"},
		"pools change": {`pools = ["workers"]`, `pools = ["workers", "workers"]`, "is listed before; it isn't tried again"},
		"route stays":  {`name = "member-0-planner"`, `name = "renamed"`, "error: routes[0].target: route renamed: route member-0-planner already leads account"},
	} {
		t.Run(name, func(t *testing.T) {
			_, out, stderr := runCheck("--against", tablesFile, replaced(t, tablesFile, c.from, c.to))
			check.Equal(t, out+stderr, strings.Contains(out, c.want), true)
		})
	}
}

// BenchmarkCheckExport checks 10,000 routes of an export against a version in which all of them differ.
func BenchmarkCheckExport(b *testing.B) {
	write := func(name, retry string) string {
		var t strings.Builder
		t.WriteString("[[pools]]\nname = \"p\"\nplace = \"north\"\nkind = \"service\"\n[[pools.endpoints]]\nname = \"e\"\naddr = \"10.0.0.1:80\"\n")
		for i := range 10_000 {
			fmt.Fprintf(&t, "[[routes]]\nname = \"r%d\"\naccount = \"a%d\"\ntarget = \"s\"\npools = [\"p\"]\nretry = %s\n", i, i, retry)
		}
		path := filepath.Join(b.TempDir(), name)
		check.NoError(b, os.WriteFile(path, []byte(t.String()), 0o600))
		return path
	}
	before, after, invalid := write("before.toml", "0.1"), write("after.toml", "0.2"), write("invalid.toml", "2.0")
	for name, args := range map[string][]string{"valid": {after}, "changed": {"--against", before, after}, "invalid": {invalid}} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if code, out, stderr := runCheck(args...); (code != 0) != (name == "invalid") {
					b.Fatal(code, len(out), stderr)
				}
			}
		})
	}
}
