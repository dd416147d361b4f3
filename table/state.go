package table

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// MaxResults is how many change ids are kept with their results.
	MaxResults = 4096
	// MaxAudit is how many audit records are kept in memory and in snapshots.
	MaxAudit = 4096
)

// Operations of a change.
const (
	Put    = "put"
	Delete = "delete"
)

// Change is an operator's request to change one row. An ID identifies one change: resending
// it with the same content returns the first result.
type Change struct {
	ID       string          `json:"id"`
	Table    string          `json:"table"`
	Name     string          `json:"name"`
	Op       string          `json:"op"`
	Base     uint64          `json:"base"`
	Body     json.RawMessage `json:"body,omitempty"`
	Operator string          `json:"who"`
	From     string          `json:"from"`
	// At is the proposer's wall-clock time; it is recorded, never compared.
	At time.Time `json:"at"`
}

// Result is the outcome of a change. Code is empty if the change was accepted.
type Result struct {
	Rev  uint64 `json:"rev,omitempty"`
	Code string `json:"code,omitempty"`
	Text string `json:"text,omitempty"`
	// Row is the row after the change, or the unchanged row if the change was rejected; empty
	// if there is none.
	Row json.RawMessage `json:"row,omitempty"`
}

// Codes of rejected changes.
const (
	CodeInvalid      = "invalid"
	CodeInconsistent = "unjoined"
	CodeConflict     = "conflict"
	CodeReused       = "reused"
)

// AuditRecord is one line of the audit trail.
type AuditRecord struct {
	Seq      uint64          `json:"seq"`
	At       time.Time       `json:"at"`
	Operator string          `json:"who"`
	From     string          `json:"from"`
	ID       string          `json:"id"`
	Table    string          `json:"table"`
	Name     string          `json:"name"`
	Op       string          `json:"op"`
	Base     uint64          `json:"base"`
	Before   json.RawMessage `json:"before,omitempty"`
	After    json.RawMessage `json:"after,omitempty"`
	Code     string          `json:"code,omitempty"`
	Text     string          `json:"text,omitempty"`
	Rev      uint64          `json:"rev,omitempty"`
}

type pastResult struct {
	Fingerprint string `json:"print"`
	Result      Result `json:"result"`
}

// State is the replicated state of both tables. It is not safe for concurrent use, but the
// Tables that it returns are immutable and may be read from any goroutine.
type State struct {
	tables  *Tables
	results map[string]pastResult
	// resultOrder holds the change ids in results, oldest first.
	resultOrder []string
	audit       []AuditRecord
	auditSeq    uint64
}

// NewState returns the state of a new system.
func NewState() *State {
	return &State{tables: Empty(), results: map[string]pastResult{}}
}

// Tables returns the current snapshot.
func (s *State) Tables() *Tables { return s.tables }

// Audit returns the audit records in memory, oldest first. The caller must not modify them.
func (s *State) Audit() []AuditRecord { return s.audit }

// Apply applies one change. For an id that was applied before, it returns the first result.
func (s *State) Apply(c Change) Result {
	fingerprint := c.fingerprint()
	if previous, ok := s.previousResult(c.ID, fingerprint); ok {
		return previous
	}
	before := s.row(c.Table, c.Name)
	next, err := s.tables.withChange(c)
	var result Result
	if err != nil {
		result = Result{Code: errorCode(err), Text: errorText(err), Row: before}
	} else {
		s.tables = next
		result = Result{Rev: next.Rev, Row: s.row(c.Table, c.Name)}
	}
	s.rememberResult(c, fingerprint, result)
	s.recordAudit(c, before, result)
	return result
}

// previousResult returns the result of a change whose id was used before.
func (s *State) previousResult(id, fingerprint string) (Result, bool) {
	previous, ok := s.results[id]
	switch {
	case !ok || id == "":
		return Result{}, false
	case previous.Fingerprint == fingerprint:
		return previous.Result, true
	}
	return Result{Code: CodeReused, Text: "change id " + id + " was used for another change"}, true
}

// DryRun returns the result that Apply would give, without changing the state.
func (s *State) DryRun(c Change) Result {
	if previous, ok := s.previousResult(c.ID, c.fingerprint()); ok {
		return previous
	}
	next, err := s.tables.withChange(c)
	if err != nil {
		return Result{Code: errorCode(err), Text: errorText(err), Row: s.row(c.Table, c.Name)}
	}
	candidate := State{tables: next}
	return Result{Rev: next.Rev, Row: candidate.row(c.Table, c.Name)}
}

// AppendAudit appends a record to the audit trail. It is exported for changes of state outside the
// tables, such as the settlement of a claim.
func (s *State) AppendAudit(r AuditRecord) {
	s.auditSeq++
	r.Seq = s.auditSeq
	s.audit = append(s.audit, r)
	if len(s.audit) > MaxAudit {
		s.audit = append([]AuditRecord(nil), s.audit[len(s.audit)-MaxAudit:]...)
	}
}

func (s *State) recordAudit(c Change, before json.RawMessage, result Result) {
	r := AuditRecord{
		At: c.At, Operator: c.Operator, From: c.From, ID: c.ID, Table: c.Table, Name: c.Name, Op: c.Op, Base: c.Base,
		Before: before, After: result.Row, Code: result.Code, Text: result.Text, Rev: result.Rev,
	}
	if result.Code != "" {
		r.After = c.Body
	}
	s.AppendAudit(r)
}

func (s *State) rememberResult(c Change, fingerprint string, result Result) {
	if c.ID == "" {
		return
	}
	s.results[c.ID] = pastResult{Fingerprint: fingerprint, Result: result}
	s.resultOrder = append(s.resultOrder, c.ID)
	if len(s.resultOrder) > MaxResults {
		delete(s.results, s.resultOrder[0])
		s.resultOrder = append([]string(nil), s.resultOrder[1:]...)
	}
}

func (s *State) row(table, name string) json.RawMessage {
	var row any
	if r, ok := s.tables.Routes[name]; ok && table == "routes" {
		row = r
	}
	if p, ok := s.tables.Pools[name]; ok && table == "pools" {
		row = p
	}
	if row == nil {
		return nil
	}
	// Encoding can't fail: rows hold only values that JSON can represent.
	body, _ := json.Marshal(row)
	return body
}

// fingerprint returns a fingerprint of the change's content; it leaves out the sender and the time.
func (c Change) fingerprint() string {
	h := sha256.New()
	body := bytes.Buffer{}
	if json.Compact(&body, c.Body) != nil {
		body.Write(c.Body)
	}
	for _, field := range []string{c.Table, c.Name, c.Op, body.String()} {
		h.Write([]byte(field))
		h.Write([]byte{0})
	}
	var base [8]byte
	for i := range base {
		base[i] = byte(c.Base >> (8 * i))
	}
	h.Write(base[:])
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// withChange returns a copy of the tables with the change applied.
func (t *Tables) withChange(c Change) (*Tables, error) {
	if c.Table != "routes" && c.Table != "pools" {
		return nil, Invalid.New("there is no table %q; want routes or pools", c.Table)
	}
	if err := t.checkBase(c); err != nil {
		return nil, err
	}
	next := t.clone()
	next.Rev++
	switch c.Op {
	case Put:
		return next, next.applyPut(c)
	case Delete:
		return next, next.applyDelete(c)
	}
	return nil, Invalid.New("there is no operation %q; want put or delete", c.Op)
}

// checkBase checks that the change is based on the current version of its row.
func (t *Tables) checkBase(c Change) error {
	if current := t.rowVersion(c.Table, c.Name); current != c.Base {
		return Conflict.New("%s %s has version %d, not %d", c.Table, c.Name, current, c.Base)
	}
	return nil
}

func (t *Tables) rowVersion(table, name string) uint64 {
	if r, ok := t.Routes[name]; ok && table == "routes" {
		return r.Rev
	}
	if p, ok := t.Pools[name]; ok && table == "pools" {
		return p.Rev
	}
	return 0
}

func (t *Tables) applyPut(c Change) error { return firstError(t.put(c)) }

// put applies a put in place and returns no problems, or leaves the tables unchanged and returns all of them.
func (t *Tables) put(c Change) []Problem {
	if c.Table == "pools" {
		p := &Pool{}
		if err := decodeStrict(c.Body, p); err != nil {
			return []Problem{{Err: err}}
		}
		p.Name, p.Rev = c.Name, t.Rev
		found := problems(p.Problems())
		found.add("name", t.checkPoolUsers(p.Name, p))
		if len(found) == 0 {
			t.Pools[p.Name] = p
		}
		return found
	}
	r := &Route{}
	if err := decodeStrict(c.Body, r); err != nil {
		return []Problem{{Err: err}}
	}
	r.Name, r.Rev = c.Name, t.Rev
	found := append(r.Problems(), t.checkRouteRefs(r)...)
	if len(found) == 0 {
		t.setRoute(r)
	}
	return found
}

func (t *Tables) applyDelete(c Change) error {
	if c.Base == 0 {
		return Conflict.New("%s %s does not exist", c.Table, c.Name)
	}
	if c.Table == "pools" {
		if err := t.checkPoolUsers(c.Name, nil); err != nil {
			return err
		}
	}
	t.deleteRow(c.Table, c.Name)
	t.markDeleted(Gone{Table: c.Table, Name: c.Name, Rev: t.Rev})
	return nil
}

func decodeStrict(body []byte, dst any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		return Invalid.Wrap(err, "read row")
	}
	return nil
}

func errorCode(err error) string {
	switch {
	case errorx.IsOfType(err, Conflict):
		return CodeConflict
	case errorx.IsOfType(err, Inconsistent):
		return CodeInconsistent
	}
	return CodeInvalid
}

// errorText returns the error message without the name of the error type.
func errorText(err error) string {
	if e := errorx.Cast(err); e != nil && e.Cause() == nil {
		return e.Message()
	}
	return err.Error()
}

type stateJSON struct {
	Tables  *Tables               `json:"tables"`
	Results map[string]pastResult `json:"results"`
	Order   []string              `json:"order"`
	Audit   []AuditRecord         `json:"audit"`
	Seq     uint64                `json:"seq"`
}

// MarshalJSON encodes the whole state for a snapshot of the replicated log.
func (s *State) MarshalJSON() ([]byte, error) {
	return json.Marshal(stateJSON{s.tables, s.results, s.resultOrder, s.audit, s.auditSeq})
}

// UnmarshalJSON replaces the state by the decoded snapshot.
func (s *State) UnmarshalJSON(data []byte) error {
	v := stateJSON{Tables: Empty(), Results: map[string]pastResult{}}
	if err := json.Unmarshal(data, &v); err != nil {
		return Invalid.Wrap(err, "read table state")
	}
	if v.Results == nil {
		v.Results = map[string]pastResult{}
	}
	*s = State{tables: cmp.Or(v.Tables, Empty()), results: v.Results, resultOrder: v.Order, audit: v.Audit, auditSeq: v.Seq}
	return nil
}
