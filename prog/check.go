package prog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"egretshunt/admin"
	"egretshunt/conf"
	"egretshunt/lint"
	"egretshunt/platform"
	"egretshunt/table"
	"egretshunt/value"
)

// checkArgs are the arguments of check, which checks a settings file, a table set of the platform or an export of the
// project's own tables.
type checkArgs struct {
	File     string         `arg:"positional,required" placeholder:"FILE" help:"settings file, table set (JSON) or export of tables (TOML or JSON); - reads standard input"`
	Against  string         `arg:"--against" placeholder:"FILE" help:"version in force to compare with; - reads standard input"`
	Control  netip.AddrPort `arg:"--control" placeholder:"ADDRESS" help:"operator or administration address of a control VM whose version in force is compared with"`
	Key      string         `arg:"--key,env:EGRETSHUNT_KEY" help:"operator's key, for --control and an export of tables"`
	Settings string         `arg:"--settings" placeholder:"FILE" help:"settings file of a VM on the platform, for what depends on them"`
	Keys     string         `arg:"--keys" placeholder:"FILE" help:"file of the clients' API keys, to find routes of accounts without keys"`
	JSON     bool           `arg:"--json" help:"print the report as JSON"`
	Timeout  time.Duration  `arg:"--time" default:"15s" help:"how long to try to reach control"`
}

// Exit codes of check.
const (
	exitCheckErrors   = 1
	exitCheckWarnings = 2
)

// foundError reports the exit code of a check whose findings have been printed.
type foundError struct{ code int }

// Error implements error.
func (e *foundError) Error() string { return "the check found errors or warnings" }

func (a *checkArgs) run(out io.Writer) error {
	if a.Against != "" && a.Control.IsValid() || a.Against == "-" && a.File == "-" {
		return Usage.New("give one version in force, --against or --control, and one file on standard input")
	}
	text, err := readFile(a.File)
	if err != nil {
		return err
	}
	report, err := a.check(text)
	if err != nil {
		return err
	}
	report.File = a.File
	write := report.WriteText
	if a.JSON {
		write = report.WriteJSON
	}
	if err := write(out); err != nil {
		return Failed.Wrap(err, "print the report")
	}
	switch {
	case report.Count(lint.Error) > 0:
		return &foundError{exitCheckErrors}
	case report.Count(lint.Warning) > 0:
		return &foundError{exitCheckWarnings}
	}
	return nil
}

// check checks the text as what it looks like.
func (a *checkArgs) check(text []byte) (lint.Report, error) {
	isJSON := looksLikeJSON(text)
	switch {
	case isJSON && platform.IsConfiguration(text):
		return a.checkTableSet(text)
	case isJSON || isTableExport(text):
		return a.checkTables(text, isJSON)
	}
	if a.Against != "" || a.Control.IsValid() {
		return lint.Report{}, Usage.New("%s is a settings file; it can't be compared with a version in force", a.File)
	}
	return checkSettings(text), nil
}

// looksLikeJSON reports whether a document is an object in JSON, perhaps after a byte order mark.
func looksLikeJSON(text []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(text, "\ufeff \t\r\n"), []byte("{"))
}

func checkSettings(text []byte) lint.Report {
	report := lint.Report{Kind: "settings"}
	settings, problems := conf.Check(string(text))
	if settings != nil {
		report.Kind = fmt.Sprintf("settings of node %s in %s", settings.Node, settings.Place)
	}
	paths := make([]string, len(problems))
	for i, p := range problems {
		paths[i] = p.Key
	}
	lines := lint.TOMLLines(text, paths)
	for _, p := range problems {
		f := lint.Finding{Level: lint.Error, Line: p.Line, Field: p.Key, Text: strings.TrimPrefix(p.Text, p.Key+": ")}
		if f.Line == 0 {
			f.Line = lines.Line(p.Key)
		}
		report.Findings = append(report.Findings, f)
	}
	report.Sort()
	return report
}

func (a *checkArgs) checkTableSet(text []byte) (lint.Report, error) {
	config := platform.CheckConfig{}
	var err error
	if a.Settings != "" {
		text, err := readFile(a.Settings)
		if err != nil {
			return lint.Report{}, err
		}
		if config.Settings, err = platform.ParseSettings(text); err != nil {
			return lint.Report{}, Failed.Wrap(err, "read %s", a.Settings)
		}
	}
	switch {
	case a.Against != "":
		config.InForce, err = readFile(a.Against)
	case a.Control.IsValid():
		ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
		defer cancel()
		config.InForce, err = platform.FetchTables(ctx, a.Control)
	}
	if err != nil {
		return lint.Report{}, err
	}
	return platform.CheckTables(text, config)
}

// isTableExport reports whether a TOML document is an export of tables rather than settings.
func isTableExport(text []byte) bool {
	var fields map[string]any
	if _, err := toml.Decode(string(text), &fields); err != nil {
		return bytes.Contains(text, []byte("[[pools")) || bytes.Contains(text, []byte("[[routes"))
	}
	return fields["pools"] != nil || fields["routes"] != nil
}

// tableDocument is an export of the project's own tables.
type tableDocument struct {
	text   []byte
	isJSON bool
	rows   []table.ImportRow
	// paths are the rows' paths in the document, such as routes[3].
	paths    []string
	lint     lint.Rows
	findings []lint.Finding
}

func (d *tableDocument) fail(line int, field, format string, args ...any) {
	d.findings = append(d.findings, lint.Finding{Level: lint.Error, Line: line, Field: field, Text: fmt.Sprintf(format, args...)})
}

// readTableDocument decodes an export. Each row is kept as the JSON that ctl import sends to control for it.
func readTableDocument(text []byte, isJSON bool) *tableDocument {
	d := &tableDocument{text: text, isJSON: isJSON}
	if isJSON {
		d.readJSON()
		return d
	}
	file, unknown, err := decodeTables(text)
	if err != nil {
		line, field, reason := 1, "", err.Error()
		if e, ok := errors.AsType[toml.ParseError](err); ok {
			line, field, reason = e.Position.Line, e.LastKey, e.Message
		}
		d.fail(line, field, "%s", reason)
		return d
	}
	for _, key := range unknown {
		d.fail(0, key, "unknown key")
	}
	for i, p := range file.Pools {
		d.addRow("pools", i, p.Name, p)
	}
	for i, r := range file.Routes {
		d.addRow("routes", i, r.Name, r)
	}
	d.lint = lint.Rows{Pools: file.Pools, Routes: file.Routes}
	return d
}

func (d *tableDocument) addRow(name string, i int, rowName string, row any) {
	body, err := json.Marshal(row)
	path := fmt.Sprintf("%s[%d]", name, i)
	if err != nil {
		d.fail(0, path, "%v", err)
		return
	}
	d.rows, d.paths = append(d.rows, table.ImportRow{Table: name, Name: rowName, Body: body}), append(d.paths, path)
}

func (d *tableDocument) readJSON() {
	var file struct {
		Rev           uint64
		Pools, Routes []json.RawMessage
	}
	decoder := json.NewDecoder(bytes.NewReader(d.text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		line := 0
		if e, ok := errors.AsType[*json.SyntaxError](err); ok {
			line = 1 + bytes.Count(d.text[:min(int(e.Offset), len(d.text))], []byte("\n"))
		}
		d.fail(line, "", "%v", err)
		return
	}
	if _, err := decoder.Token(); err != io.EOF {
		d.fail(0, "", "the document goes on after its end")
	}
	// Names and links between rows are read as far as possible; control's own decoding reports what can't be read.
	for i, body := range file.Pools {
		p := &table.Pool{}
		_ = json.Unmarshal(body, p)
		d.lint.Pools = append(d.lint.Pools, p)
		d.addRow("pools", i, p.Name, body)
	}
	for i, body := range file.Routes {
		r := &table.Route{}
		_ = json.Unmarshal(body, r)
		d.lint.Routes = append(d.lint.Routes, r)
		d.addRow("routes", i, r.Name, body)
	}
}

// checkTables checks an export of the project's own tables, as an import on top of those in force.
func (a *checkArgs) checkTables(text []byte, isJSON bool) (lint.Report, error) {
	report := lint.Report{Kind: "tables"}
	d := readTableDocument(text, isJSON)
	inForce, err := a.tablesInForce()
	if err != nil {
		return report, err
	}
	base := inForce
	if base == nil {
		base = table.Empty()
	}
	next, problems := base.Import(d.rows)
	for i, path := range d.paths {
		for _, p := range problems[i] {
			field := strings.TrimSuffix(path+"."+p.Field, ".")
			d.fail(0, field, "%s", p.Text())
		}
	}
	if len(d.findings) == 0 {
		if a.Keys != "" {
			keys, err := conf.LoadKeys(a.Keys)
			if err != nil {
				return report, Failed.Wrap(err, "read the keys")
			}
			d.lint.Accounts = value.Set[string]{}
			for _, account := range keys {
				d.lint.Accounts.Add(account)
			}
		}
		d.findings = lint.Tables(d.lint, next)
		if inForce != nil {
			report.Compared = true
			report.Changes = lint.TableChanges(d.lint, inForce)
		}
	}
	report.Findings = d.findings
	d.setLines(&report)
	return report, nil
}

func (d *tableDocument) setLines(report *lint.Report) {
	var paths []string
	for _, f := range report.Findings {
		paths = append(paths, f.Field)
	}
	for _, c := range report.Changes {
		paths = append(paths, c.Field)
	}
	lines := lint.TOMLLines
	if d.isJSON {
		lines = lint.JSONLines
	}
	at := lines(d.text, paths)
	for i := range report.Findings {
		if f := &report.Findings[i]; f.Line == 0 {
			f.Line = at.Line(f.Field)
		}
	}
	for i := range report.Changes {
		report.Changes[i].Line = at.Line(report.Changes[i].Field)
	}
	report.Sort()
}

// tablesInForce returns the project's own tables that are in force; nil if the command names none.
func (a *checkArgs) tablesInForce() (*table.Tables, error) {
	switch {
	case a.Against != "":
		text, err := readFile(a.Against)
		if err != nil {
			return nil, err
		}
		d := readTableDocument(text, looksLikeJSON(text))
		if len(d.findings) > 0 {
			return nil, Failed.New("%s can't be read: %s", a.Against, d.findings[0].Text)
		}
		return installTables(d.lint.Pools, d.lint.Routes)
	case a.Control.IsValid():
		control := &ctlArgs{Admin: []netip.AddrPort{a.Control}, Key: a.Key, Timeout: a.Timeout}
		var export admin.TableExport
		if err := control.roundTrip(getRequest("/tables", nil), &export); err != nil {
			return nil, err
		}
		return installTables(export.Pools, export.Routes)
	}
	return nil, nil
}

// installTables returns tables with the rows, which control has accepted before. An export as TOML has no versions, so
// rows without one get the first.
func installTables(pools []*table.Pool, routes []*table.Route) (*table.Tables, error) {
	for _, p := range pools {
		p.Rev = max(p.Rev, 1)
	}
	for _, r := range routes {
		r.Rev = max(r.Rev, 1)
	}
	return table.Empty().Install(&table.Delta{To: 1, Full: true, Pools: pools, Routes: routes})
}
