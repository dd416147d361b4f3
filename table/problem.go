package table

import "encoding/json"

// Problem is a reason for which a row is rejected.
type Problem struct {
	// Field is the path of the value in the row, such as endpoints[2].addr; empty for the whole row.
	Field string
	// Err is of type Invalid, Inconsistent or Conflict.
	Err error
}

// Text returns the reason without the name of the error's type, as control sends it to operators.
func (p Problem) Text() string { return errorText(p.Err) }

type problems []Problem

// maxProblems bounds the problems of one row: a row of the largest size that the administration API accepts could have
// 100,000, and each error holds a stack trace.
const maxProblems = 100

func (p problems) full() bool { return len(p) >= maxProblems }

// add adds an error, unless it is nil.
func (p *problems) add(field string, err error) {
	if err != nil {
		*p = append(*p, Problem{field, err})
	}
}

func (p *problems) checkName(field, what, name string) {
	if !namePattern.MatchString(name) {
		p.add(field, Invalid.New("%s %q: want 1 to 63 of a-z, 0-9, dot, dash, underscore, beginning with a letter or digit", what, name))
	}
}

// firstError returns the first error, or nil.
func firstError(p []Problem) error {
	if len(p) == 0 {
		return nil
	}
	return p[0].Err
}

// ImportRow is one row of an import, as JSON.
type ImportRow struct {
	// Table is pools or routes.
	Table, Name string
	Body        json.RawMessage
}

// Import checks puts of rows in their order, each based on the version that the row has in t, as ctl import sends them.
// It returns the tables with all rows that are accepted, and the problems of the others by index.
func (t *Tables) Import(rows []ImportRow) (*Tables, map[int][]Problem) {
	next := t.clone()
	found := map[int][]Problem{}
	for i, row := range rows {
		c := Change{Table: row.Table, Name: row.Name, Op: Put, Base: t.rowVersion(row.Table, row.Name), Body: row.Body}
		if err := next.checkBase(c); err != nil {
			found[i] = []Problem{{"name", err}}
			continue
		}
		next.Rev++
		if p := next.put(c); len(p) > 0 {
			next.Rev--
			found[i] = p
		}
	}
	return next, found
}
