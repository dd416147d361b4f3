package prog

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/BurntSushi/toml"

	"egretshunt/admin"
	"egretshunt/table"
)

// tableArgs are the subcommands for the rows of one table.
type tableArgs struct {
	List   *noArgs     `arg:"subcommand:list" help:"list all rows"`
	Show   *nameArgs   `arg:"subcommand:show" help:"show one row with its version"`
	Put    *putArgs    `arg:"subcommand:put" help:"create or change a row"`
	Delete *deleteArgs `arg:"subcommand:delete" help:"delete a row"`
}

type nameArgs struct {
	Name string `arg:"positional,required"`
}

type putArgs struct {
	Name string `arg:"positional,required"`
	Base uint64 `arg:"--base" help:"version that the change is based on; 0 creates a row"`
	File string `arg:"--file" default:"-" help:"file with the row as JSON; - reads standard input"`
	ID   string `arg:"--id" help:"ID of the change; use the same one to retry safely"`
	Dry  bool   `arg:"--dry" help:"show the result without applying the change"`
	Wait bool   `arg:"--wait" help:"wait until the change is in force"`
}

type deleteArgs struct {
	Name string `arg:"positional,required"`
	Base uint64 `arg:"--base,required" help:"version of the row to delete"`
	ID   string `arg:"--id" help:"ID of the change"`
	Wait bool   `arg:"--wait" help:"wait until the change is in force"`
}

func (r *tableArgs) run(a *ctlArgs, tableName string, out io.Writer) error {
	switch {
	case r.Show != nil:
		return a.sendAndPrint(getRequest("/"+tableName+"/"+url.PathEscape(r.Show.Name), nil), out)
	case r.Put != nil:
		return r.Put.run(a, tableName, out)
	case r.Delete != nil:
		q := url.Values{"base": {strconv.FormatUint(r.Delete.Base, 10)}, "id": {idOrNew(r.Delete.ID)}}
		c := apiRequest{method: http.MethodDelete, path: "/" + tableName + "/" + url.PathEscape(r.Delete.Name), query: q}
		return a.submitChange(c, r.Delete.Wait, out)
	}
	return r.list(a, tableName, out)
}

func idOrNew(id string) string {
	if id == "" {
		return newID()
	}
	return id
}

func (r *tableArgs) list(a *ctlArgs, tableName string, out io.Writer) error {
	if a.JSON {
		return a.sendAndPrint(getRequest("/"+tableName, nil), out)
	}
	if tableName == "pools" {
		var pools []table.Pool
		if err := a.roundTrip(getRequest("/pools", nil), &pools); err != nil {
			return err
		}
		for _, p := range pools {
			fmt.Fprintf(out, "%-24s version %-6d %-8s in %-10s %d endpoints%s\n", p.Name, p.Rev, p.Kind, p.Place, len(p.Endpoints), drainNote(p))
		}
		return nil
	}
	var routes []table.Route
	if err := a.roundTrip(getRequest("/routes", nil), &routes); err != nil {
		return err
	}
	for _, r := range routes {
		fmt.Fprintf(out, "%-28s version %-6d %s -> %s by %v\n", r.Name, r.Rev, r.Account, r.Target, r.Pools)
	}
	return nil
}

func drainNote(p table.Pool) string {
	if p.Drain {
		return ", drained"
	}
	n := 0
	for _, e := range p.Endpoints {
		if e.Drain {
			n++
		}
	}
	if n > 0 {
		return fmt.Sprintf(", %d drained", n)
	}
	return ""
}

func (p *putArgs) run(a *ctlArgs, tableName string, out io.Writer) error {
	body, err := readFile(p.File)
	if err != nil {
		return err
	}
	if !json.Valid(body) {
		return Usage.New("%s is not JSON", p.File)
	}
	path := "/" + tableName + "/" + url.PathEscape(p.Name)
	q := url.Values{"base": {strconv.FormatUint(p.Base, 10)}, "id": {idOrNew(p.ID)}}
	c := apiRequest{method: http.MethodPut, path: path, query: q, body: json.RawMessage(body)}
	if !p.Dry {
		return a.submitChange(c, p.Wait, out)
	}
	q.Set("dry", "true")
	var before json.RawMessage
	if p.Base > 0 {
		if err := a.roundTrip(getRequest(path, nil), &before); err != nil {
			return err
		}
	}
	var after admin.ChangeResponse
	if err := a.roundTrip(c, &after); err != nil {
		return err
	}
	fmt.Fprintf(out, "- %s\n+ %s\n", before, after.Row)
	return nil
}

// submitChange sends a change and prints the revision it got. If wait is set, it then waits
// until that revision is in force.
func (a *ctlArgs) submitChange(c apiRequest, wait bool, out io.Writer) error {
	var response admin.ChangeResponse
	if err := a.roundTrip(c, &response); err != nil {
		return err
	}
	if a.JSON {
		if err := json.NewEncoder(out).Encode(response); err != nil {
			return Failed.Wrap(err, "print response")
		}
	} else {
		fmt.Fprintf(out, "accepted as revision %d (change %s)\n", response.Rev, response.ID)
	}
	if !wait {
		return nil
	}
	return (&waitArgs{Rev: response.Rev}).run(a, out)
}

// drainArgs are the arguments of drain and undrain: a pool, or one endpoint of it.
type drainArgs struct {
	Pool     string `arg:"positional,required"`
	Endpoint string `arg:"positional"`
	Wait     bool   `arg:"--wait" help:"wait until the change is in force"`
}

func (d *drainArgs) run(a *ctlArgs, verb string, out io.Writer) error {
	path := "/pools/" + url.PathEscape(d.Pool)
	if d.Endpoint != "" {
		path += "/endpoints/" + url.PathEscape(d.Endpoint)
	}
	return a.submitChange(apiRequest{method: http.MethodPost, path: path + "/" + verb, query: url.Values{"id": {newID()}}}, d.Wait, out)
}

// waitArgs are the arguments of wait.
type waitArgs struct {
	Rev uint64 `arg:"positional,required" help:"revision to wait for"`
}

// waitPerRequest is how long the leader waits before it responds to one request.
const waitPerRequest = 2 * time.Second

func (w *waitArgs) run(a *ctlArgs, out io.Writer) error {
	deadline := time.Now().Add(a.Timeout)
	for {
		var response admin.WaitResponse
		q := url.Values{"rev": {strconv.FormatUint(w.Rev, 10)}, "time": {waitPerRequest.String()}}
		if err := a.roundTrip(getRequest("/wait", q), &response); err != nil {
			return err
		}
		if response.InForce {
			fmt.Fprintf(out, "revision %d is in force everywhere\n", w.Rev)
			return nil
		}
		if time.Now().After(deadline) {
			return Failed.New("revision %d is not yet in force on: %v", w.Rev, response.Lagging)
		}
	}
}

// exportArgs are the arguments of export, which prints both tables as TOML.
type exportArgs struct{}

func (e *exportArgs) run(a *ctlArgs, out io.Writer) error {
	var tables admin.TableExport
	if err := a.roundTrip(getRequest("/tables", nil), &tables); err != nil {
		return err
	}
	if err := toml.NewEncoder(out).Encode(tables); err != nil {
		return Failed.Wrap(err, "write TOML")
	}
	return nil
}

// importArgs are the arguments of import, which puts all rows of a file. Each change is
// based on the version that the row has when the import starts.
type importArgs struct {
	File string `arg:"positional,required" help:"TOML file in the format of export; - reads standard input"`
}

func (i *importArgs) run(a *ctlArgs, out io.Writer) error {
	data, err := readFile(i.File)
	if err != nil {
		return err
	}
	file, unknown, err := decodeTables(data)
	if err != nil {
		return Usage.New("%s: %v", i.File, err)
	}
	if len(unknown) > 0 {
		return Usage.New("%s: unknown key: %s", i.File, unknown[0])
	}
	var current admin.TableExport
	if err := a.roundTrip(getRequest("/tables", nil), &current); err != nil {
		return err
	}
	versions := map[string]uint64{}
	for _, p := range current.Pools {
		versions["pools/"+p.Name] = p.Rev
	}
	for _, r := range current.Routes {
		versions["routes/"+r.Name] = r.Rev
	}
	// Pools are put first because routes refer to them.
	for _, p := range file.Pools {
		if err := i.put(a, "pools/"+p.Name, versions, p, out); err != nil {
			return err
		}
	}
	for _, r := range file.Routes {
		if err := i.put(a, "routes/"+r.Name, versions, r, out); err != nil {
			return err
		}
	}
	return nil
}

// decodeTables decodes an export as TOML; unknown are the keys that it must not have.
func decodeTables(data []byte) (file admin.TableExport, unknown []string, err error) {
	meta, err := toml.Decode(string(data), &file)
	for _, key := range meta.Undecoded() {
		unknown = append(unknown, key.String())
	}
	return file, unknown, err
}

func (i *importArgs) put(a *ctlArgs, path string, versions map[string]uint64, row any, out io.Writer) error {
	q := url.Values{"base": {strconv.FormatUint(versions[path], 10)}, "id": {newID()}}
	fmt.Fprintf(out, "%s: ", path)
	return a.submitChange(apiRequest{method: http.MethodPut, path: "/" + path, query: q, body: row}, false, out)
}
