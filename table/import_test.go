package table_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"egretshunt/check"
	"egretshunt/table"
)

// drawRow draws a row for an import; most rows fit the others.
func drawRow(t *rapid.T, i int) table.ImportRow {
	pick := func(label string, values ...any) any { return rapid.SampledFrom(values).Draw(t, label) }
	name := pick("name", "a", "b", "c", fmt.Sprintf("n%d", i))
	row := map[string]any{"name": name, "rev": 7}
	r := table.ImportRow{Table: "pools", Name: name.(string)}
	if rapid.Bool().Draw(t, "route") {
		r.Table = "routes"
		row["account"], row["target"] = pick("account", "x", "y", "z", ""), pick("target", "m", "s", "t")
		row["pools"], row["stores"] = pick("pools", []string{"a"}, []string{"b", "a"}, []string{}, []string{"none"}), pick("stores", nil, []string{"c"})
		row["retry"], row["places"], row["limits"] = pick("retry", 0, 0.5, 2), pick("places", nil, []string{"north"}), pick("limits", nil, map[string]any{"rate": -1})
	} else {
		row["place"], row["kind"] = pick("place", "north", "north", "south", "NORTH"), pick("kind", "service", "service", "model", "store", "odd")
		row["model"], row["version"] = pick("model", "m", ""), "v1"
		row["endpoints"] = pick("endpoints", nil, []any{map[string]any{"name": "e", "addr": "10.0.0.1:80"}}, []any{map[string]any{"name": "e", "addr": "10.0.0.1:0"}})
	}
	if rapid.IntRange(0, 9).Draw(t, "unknown key") == 0 {
		row["colour"] = 1
	}
	body, err := json.Marshal(row)
	check.NoError(t, err)
	r.Body = body
	return r
}

// TestImportAcceptsWhatControlAccepts draws imports over drawn tables: the check accepts exactly the rows that the
// replicated state accepts, for the same reasons, and ends at the same tables.
func TestImportAcceptsWhatControlAccepts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := table.NewState()
		apply := func(row table.ImportRow, base uint64) table.Result {
			return state.Apply(table.Change{Table: row.Table, Name: row.Name, Op: table.Put, Base: base, Body: row.Body})
		}
		for i := range rapid.IntRange(0, 6).Draw(t, "rows in force") {
			row := drawRow(t, i)
			apply(row, 0)
		}
		inForce := state.Tables()
		var rows []table.ImportRow
		for i := range rapid.IntRange(0, 8).Draw(t, "rows") {
			rows = append(rows, drawRow(t, i))
		}
		next, problems := inForce.Import(rows)
		for i, row := range rows {
			base := uint64(0)
			if r, ok := inForce.Routes[row.Name]; ok && row.Table == "routes" {
				base = r.Rev
			}
			if p, ok := inForce.Pools[row.Name]; ok && row.Table == "pools" {
				base = p.Rev
			}
			result := apply(row, base)
			first := ""
			if p := problems[i]; len(p) > 0 {
				first = p[0].Text()
			}
			check.Equal(t, "reason for "+string(row.Body), first, result.Text)
			check.Equal(t, "accepted", len(problems[i]) == 0, result.Code == "")
		}
		check.Equal(t, "revision", next.Rev, state.Tables().Rev)
		check.Equal(t, "routes", next.Routes, state.Tables().Routes)
		check.Equal(t, "pools", next.Pools, state.Tables().Pools)
	})
}

// TestImportNamesEveryProblem guards against a check that names only the first problem of a row.
func TestImportNamesEveryProblem(t *testing.T) {
	_, problems := table.Empty().Import([]table.ImportRow{
		{Table: "pools", Name: "P", Body: json.RawMessage(`{"place":"","kind":"odd","endpoints":[{"name":"e","addr":"10.0.0.1:0"},{"name":"e","addr":"10.0.0.1:1"}]}`)},
		{Table: "routes", Name: "r", Body: json.RawMessage(`{"account":"A","target":"t","pools":["p","q"],"class":"odd","retry":2}`)},
		{Table: "routes", Name: "r", Body: json.RawMessage(`{"colour":1}`)},
	})
	fields := map[int][]string{}
	for i, found := range problems {
		for _, p := range found {
			fields[i] = append(fields[i], p.Field)
		}
	}
	check.Equal(t, "fields", fields, map[int][]string{
		0: {"name", "place", "kind", "endpoints[0].addr", "endpoints[1].name"},
		1: {"account", "class", "retry", "pools[0]", "pools[1]"},
		2: {""},
	})
}
