package conf

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"egretshunt/value"
)

// SetDefaults sets the default of every unset value that has one.
func (s *Settings) SetDefaults() { applyDefaults(reflect.ValueOf(s).Elem()) }

func applyDefaults(v reflect.Value) {
	t := v.Type()
	for i := range t.NumField() {
		f := v.Field(i)
		if f.Kind() == reflect.Pointer && !f.IsNil() {
			applyDefaults(f.Elem())
			continue
		}
		text, ok := t.Field(i).Tag.Lookup("default")
		if !ok || !f.IsZero() {
			continue
		}
		setDefault(f, text)
	}
}

// setDefault sets f to the default in text, the value of a struct tag of this package.
func setDefault(f reflect.Value, text string) {
	switch p := f.Addr().Interface().(type) {
	case *value.Span:
		if err := p.UnmarshalText([]byte(text)); err != nil {
			panic("conf: invalid default in a struct tag: " + err.Error())
		}
	case *int:
		*p, _ = strconv.Atoi(text)
	case *int64:
		*p, _ = strconv.ParseInt(text, 10, 64)
	case *float64:
		*p, _ = strconv.ParseFloat(text, 64)
	default:
		panic(fmt.Sprintf("conf: defaults are not supported for type %s", f.Type()))
	}
}

// hostDoc describes the settings of the subcommand host, which has no TOML file.
const hostDoc = `
## Environment of ` + "`egretshunt host`" + `

The file that the platform names gives the VM's memory and descriptors, from which the bounds of section ` + "`[memory]`" + ` follow. Connections have 0.4 of the
descriptors beyond 200 at most. The environment may set others:

| variable | sets |
| --- | --- |
| ` + "`EGRETSHUNT_MAX_CONNS`" + ` | memory.conns |
| ` + "`EGRETSHUNT_MAX_CLIENT_CONNS`" + ` | memory.client |
| ` + "`EGRETSHUNT_CLIENT_PERCENT`" + ` | memory.percent |
| ` + "`EGRETSHUNT_SMALL_BYTES`" + ` | memory.small |
| ` + "`EGRETSHUNT_LARGE_BYTES`" + ` | memory.large |
| ` + "`EGRETSHUNT_MAX_HANDSHAKES`" + ` | wire.handshakes |
| ` + "`EGRETSHUNT_PORT_CONNS`" + ` | ops.conns, for each of the operator, readiness and metrics ports; 64 at the operator port if unset |
`

// Doc returns the reference page of the settings as Markdown.
func Doc() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nEach process is configured by one TOML file. A file with unknown keys or invalid values is rejected; `egretshunt check FILE` prints the reasons.\nThis page is generated from the code by `go test ./conf -run Doc -update`.\n")
	writeSection(&b, "", reflect.TypeOf(Settings{}))
	b.WriteString(hostDoc)
	return b.String()
}

func writeSection(b *strings.Builder, name string, t reflect.Type) {
	title := "Top-level keys"
	if name != "" {
		title = "`[" + name + "]`"
	}
	fmt.Fprintf(b, "\n## %s\n\n| key | type | default | meaning |\n| --- | --- | --- | --- |\n", title)
	var subsections []reflect.StructField
	for i := range t.NumField() {
		f := t.Field(i)
		if derefType(f.Type).Kind() == reflect.Struct && derefType(f.Type).PkgPath() == t.PkgPath() {
			subsections = append(subsections, f)
			continue
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", f.Tag.Get("toml"), typeName(f.Type), f.Tag.Get("default"), f.Tag.Get("doc"))
	}
	for _, f := range subsections {
		writeSection(b, f.Tag.Get("toml"), derefType(f.Type))
	}
}

func derefType(t reflect.Type) reflect.Type {
	if t.Kind() == reflect.Pointer {
		return t.Elem()
	}
	return t
}

func typeName(t reflect.Type) string {
	switch t.String() {
	case "netip.AddrPort":
		return "address:port"
	case "[]netip.AddrPort":
		return "list of address:port"
	case "value.Span":
		return "duration"
	case "[]quorum.Member":
		return "list of {id, addr}"
	case "[]string":
		return "list of strings"
	case "string":
		return "string"
	case "bool":
		return "boolean"
	}
	return "number"
}
