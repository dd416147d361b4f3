package prog

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"egretshunt/check"
)

func TestTraceMergesByTime(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		check.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	entry := write("entry", `ts=2026-01-01T00:00:05.2Z node=e event=310 name=turnedaway id=r1 why="control can't be reached"
ts=2026-01-01T00:00:05.1Z node=e event=308 name=served id=r2
ts=2026-01-01T00:00:04.9Z node=e event=206 name=stale age=4000
ts=2026-01-01T00:00:59Z node=e event=207 name=fresh
not a log line
`)
	control := write("control", "ts=2026-01-01T00:00:05Z node=c event=200 name=elected term=2\n")
	var out bytes.Buffer
	check.NoError(t, (&traceArgs{ID: "r1", Files: []string{entry, control}, Window: 2e9}).run(&out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	check.Equal(t, "lines", len(lines), 3)
	for i, want := range []string{"name=stale", "name=elected", "name=turnedaway"} {
		check.Equal(t, want, strings.Contains(lines[i], want), true)
	}
	check.Kind(t, (&traceArgs{ID: "r9", Files: []string{entry}}).run(&out), Failed)
}
