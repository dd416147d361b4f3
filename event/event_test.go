package event_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"egretshunt/check"
	"egretshunt/event"
)

var update = flag.Bool("update", false, "regenerate docs/EVENTS.md")

func page() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEach log line carries `event`, the number of its kind. Numbers are stable.\nThis page is generated from the code: `go test ./event -update`.\n\n| number | name | level | meaning |\n| --- | --- | --- | --- |\n")
	for _, k := range event.All() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", k.Number, k.Name, k.Level, k.Text)
	}
	b.WriteString("\n## Fields\n\nA name has one meaning in all events. Each line begins with `ts`, `node`, `event`, `name` and `level`.\n\n| field | meaning |\n| --- | --- |\n")
	for _, f := range event.Fields() {
		fmt.Fprintf(&b, "| %s | %s |\n", f.Name, f.Text)
	}
	return b.String()
}

func TestCatalogue(t *testing.T) {
	const path = "../docs/EVENTS.md"
	if *update {
		check.NoError(t, os.WriteFile(path, []byte(page()), 0o644))
	}
	text, err := os.ReadFile(path)
	check.NoError(t, err)
	check.Equal(t, path+"; regenerate it with -update", string(text), page())
}

func TestSecretsRedacted(t *testing.T) {
	var out bytes.Buffer
	event.New(event.Config{Out: &out, Node: "n"}).Emit(event.Started, "secret", "hunter2", "place", "north")
	if strings.Contains(out.String(), "hunter2") || !strings.Contains(out.String(), "place=north") {
		t.Fatalf("line: %s", out.String())
	}
}
