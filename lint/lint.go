// Package lint finds what is valid but probably wrong in a table set or in the project's own tables, and says what
// replacing one version by another will do.
//
// It owns the findings and how a report prints, the rules (setRules and rowRules), the comparison of two versions and the
// lines of a document's values. Errors are found by the packages that reject them, board and table, so a report lists
// exactly what control rejects. It performs no I/O.
package lint

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

// Level is the severity of a finding.
type Level string

// Levels of findings.
const (
	// Error findings are reasons for which control rejects the document.
	Error Level = "error"
	// Warning findings are valid but have no effect or contradict each other.
	Warning Level = "warning"
)

// Finding is one error or warning.
type Finding struct {
	Level Level `json:"level"`
	// Line is the line in the document, from 1; zero if it isn't known.
	Line int `json:"line,omitempty"`
	// Field is the path of the value, such as Routes[3].Host; empty for the whole document.
	Field string `json:"field,omitempty"`
	Text  string `json:"text"`
}

// Change is one difference between the version in force and the document.
type Change struct {
	// Line is the line in the document; zero for what the document no longer has.
	Line int `json:"line,omitempty"`
	// Field is the path in the document; empty for what it no longer has.
	Field string `json:"field,omitempty"`
	// Text says what differs.
	Text string `json:"text"`
	// Effect says what the change will do; empty if the difference says it.
	Effect string `json:"effect,omitempty"`
}

// Report is the result of a check.
type Report struct {
	// File is the name of the document, Kind what it holds.
	File     string    `json:"file"`
	Kind     string    `json:"kind"`
	Findings []Finding `json:"findings"`
	Changes  []Change  `json:"changes"`
	// Compared is true if the document was compared with the version in force.
	Compared bool `json:"compared"`
}

// Count returns the number of findings of a level.
func (r *Report) Count(l Level) int {
	n := 0
	for _, f := range r.Findings {
		if f.Level == l {
			n++
		}
	}
	return n
}

// Sort sorts the findings and changes by line; those of the whole document come first.
func (r *Report) Sort() {
	slices.SortStableFunc(r.Findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	slices.SortStableFunc(r.Changes, func(a, b Change) int { return cmp.Compare(a.Line, b.Line) })
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(out io.Writer) error {
	whole := *r
	// Empty lists are printed as such, not as null.
	whole.Findings, whole.Changes = append([]Finding{}, r.Findings...), append([]Change{}, r.Changes...)
	e := json.NewEncoder(out)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(whole)
}

// WriteText writes a line for each finding and each change, and one with their number.
func (r *Report) WriteText(out io.Writer) error {
	for _, f := range r.Findings {
		fmt.Fprintf(out, "%s: %s: %s%s\n", r.at(f.Line), f.Level, field(f.Field), oneLine(f.Text))
	}
	for _, c := range r.Changes {
		effect := ""
		if c.Effect != "" {
			effect = "; " + c.Effect
		}
		fmt.Fprintf(out, "%s: change: %s%s\n", r.at(c.Line), field(c.Field), oneLine(c.Text+effect))
	}
	state := "valid"
	if n := r.Count(Error); n > 0 {
		state = "invalid, " + count(n, "error")
	}
	if n := r.Count(Warning); n > 0 {
		state += ", " + count(n, "warning")
	}
	if r.Compared {
		state += ", " + count(len(r.Changes), "change")
	}
	_, err := fmt.Fprintf(out, "%s: %s (%s)\n", r.File, state, r.Kind)
	return err
}

func (r *Report) at(line int) string {
	if line == 0 {
		return r.File
	}
	return fmt.Sprintf("%s:%d", r.File, line)
}

// oneLine escapes control characters, which names in a document may have, so that each finding has a line of its own and
// terminals run no commands.
func oneLine(text string) string {
	if !strings.ContainsFunc(text, unicode.IsControl) {
		return text
	}
	quoted := strconv.Quote(text)
	return quoted[1 : len(quoted)-1]
}

// count returns a number of things, such as 2 errors.
func count(n int, noun string) string {
	if n != 1 {
		noun += "s"
	}
	return fmt.Sprintf("%d %s", n, noun)
}

func field(path string) string {
	if path == "" {
		return ""
	}
	return path + ": "
}
