package prog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/google/uuid"

	"egretshunt/heads"
)

// ctlArgs are the options and subcommands of ctl, which operates a deployment through its administration API.
type ctlArgs struct {
	Admin   []netip.AddrPort `arg:"--admin,separate,env:EGRETSHUNT_ADMIN" help:"administration address of a control VM; may be repeated, the leader is found among them"`
	Key     string           `arg:"--key,env:EGRETSHUNT_KEY" help:"operator's key"`
	JSON    bool             `arg:"--json" help:"print JSON responses unchanged"`
	Timeout time.Duration    `arg:"--time" default:"15s" help:"how long to retry before giving up"`

	Routes      *tableArgs    `arg:"subcommand:routes" help:"list, show, put, delete routes"`
	Pools       *tableArgs    `arg:"subcommand:pools" help:"list, show, put, delete pools"`
	Drain       *drainArgs    `arg:"subcommand:drain" help:"send no new requests to a pool or endpoint"`
	Undrain     *drainArgs    `arg:"subcommand:undrain" help:"send requests to a pool or endpoint again"`
	Export      *exportArgs   `arg:"subcommand:export" help:"write both tables as TOML"`
	Import      *importArgs   `arg:"subcommand:import" help:"put all rows of a TOML file"`
	Wait        *waitArgs     `arg:"subcommand:wait" help:"wait until a revision is in force"`
	Audit       *auditArgs    `arg:"subcommand:audit" help:"list changes, newest first"`
	Status      *noArgs       `arg:"subcommand:status" help:"show the status of every control VM"`
	Nodes       *noArgs       `arg:"subcommand:nodes" help:"list the nodes and the revisions they have installed"`
	Members     *memberArgs   `arg:"subcommand:members" help:"add, remove or replace a control VM"`
	Unknown     *unknownArgs  `arg:"subcommand:unknown" help:"list or settle requests of unknown outcome"`
	Suspect     *suspectArgs  `arg:"subcommand:suspect" help:"list or clear requests that crash endpoints"`
	Snapshot    *noArgs       `arg:"subcommand:snapshot" help:"write a snapshot of the whole state to standard output"`
	Evacuate    *evacuateArgs `arg:"subcommand:evacuate" help:"send nothing new to the endpoints of a data centre, or do so again"`
	Evacuations *noArgs       `arg:"subcommand:evacuations" help:"list evacuated data centres and those that were lately"`
	Why         *whyArgs      `arg:"subcommand:why" help:"explain how a recent request was routed"`
}

type noArgs struct{}

// Epilogue implements arg.Epilogued.
func (*ctlArgs) Epilogue() string {
	return `Examples:
  egretshunt ctl routes list
  egretshunt ctl pools put workers --base 12 --file workers.json --dry
  egretshunt ctl drain workers worker-3
  egretshunt ctl evacuate north
  egretshunt ctl evacuate north --end
  egretshunt ctl wait 57
  egretshunt ctl members replace c2 c4 10.0.0.9:7000`
}

// apiRequest is a request to the administration API.
type apiRequest struct {
	method, path string
	query        url.Values
	body         any
}

// errorResponse is the response body of a rejected request.
type errorResponse struct {
	Code string          `json:"code"`
	Text string          `json:"text"`
	Row  json.RawMessage `json:"row"`
}

func (a *ctlArgs) run(out io.Writer) error {
	if len(a.Admin) == 0 && a.Why == nil {
		return Usage.New("no control VM given: set --admin or EGRETSHUNT_ADMIN")
	}
	switch {
	case a.Routes != nil:
		return a.Routes.run(a, "routes", out)
	case a.Pools != nil:
		return a.Pools.run(a, "pools", out)
	case a.Drain != nil:
		return a.Drain.run(a, "drain", out)
	case a.Undrain != nil:
		return a.Undrain.run(a, "undrain", out)
	case a.Export != nil:
		return a.Export.run(a, out)
	case a.Import != nil:
		return a.Import.run(a, out)
	case a.Wait != nil:
		return a.Wait.run(a, out)
	case a.Audit != nil:
		return a.Audit.run(a, out)
	case a.Status != nil:
		return a.printStatus(out)
	case a.Nodes != nil:
		return a.nodes(out)
	case a.Members != nil:
		return a.Members.run(a, out)
	case a.Unknown != nil:
		return a.Unknown.run(a, out)
	case a.Suspect != nil:
		return a.Suspect.run(a, out)
	case a.Snapshot != nil:
		return a.writeSnapshot(out)
	case a.Evacuate != nil:
		return a.Evacuate.run(a, out)
	case a.Evacuations != nil:
		return a.listEvacuations(out)
	case a.Why != nil:
		return a.Why.run(a, out)
	}
	return Usage.New("ctl needs a command; see egretshunt ctl --help")
}

// roundTrip sends a request to the control VMs in turn until one sends a final response,
// and decodes it into dest.
func (a *ctlArgs) roundTrip(c apiRequest, dest any) error {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	var lastErr error
	for attempt := 0; ; attempt++ {
		data, final, err := a.roundTripOnce(ctx, a.Admin[attempt%len(a.Admin)], c)
		if err == nil {
			return decodeResponse(data, dest)
		}
		if final {
			return err
		}
		lastErr = err
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return Failed.Wrap(lastErr, "no control VM sent a final response within %s", a.Timeout)
		}
	}
}

func decodeResponse(data []byte, dest any) error {
	switch v := dest.(type) {
	case nil:
		return nil
	case *[]byte:
		*v = data
		return nil
	}
	if err := json.Unmarshal(data, dest); err != nil {
		return Failed.Wrap(err, "decode response")
	}
	return nil
}

// roundTripOnce sends a request to one control VM. Final is false if another control VM,
// or a later attempt, may succeed.
func (a *ctlArgs) roundTripOnce(ctx context.Context, addr netip.AddrPort, c apiRequest) (data []byte, final bool, err error) {
	var body bytes.Buffer
	if c.body != nil {
		if raw, ok := c.body.(json.RawMessage); ok {
			body.Write(raw)
		} else if err := json.NewEncoder(&body).Encode(c.body); err != nil {
			return nil, true, Failed.Wrap(err, "encode body")
		}
	}
	u := url.URL{Scheme: "http", Host: addr.String(), Path: "/admin/v1" + c.path, RawQuery: c.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, c.method, u.String(), &body)
	if err != nil {
		return nil, true, Failed.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+a.Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, false, Failed.Wrap(err, "send request to %s", addr)
	}
	defer resp.Body.Close()
	data, err = io.ReadAll(resp.Body)
	if err != nil {
		return nil, false, Failed.Wrap(err, "read response of %s", addr)
	}
	if err := heads.CheckStatus(resp.StatusCode); err != nil {
		return nil, false, Failed.Wrap(err, "read response of %s", addr)
	}
	if resp.StatusCode < 300 {
		return data, true, nil
	}
	return nil, resp.StatusCode < 500 && resp.StatusCode != http.StatusMisdirectedRequest, rejectionError(resp.StatusCode, data)
}

func rejectionError(status int, data []byte) error {
	var response errorResponse
	if json.Unmarshal(data, &response) != nil || response.Code == "" {
		return Failed.New("status %d: %.200s", status, data)
	}
	text := response.Code + ": " + response.Text
	if len(response.Row) > 0 {
		text += "\nthe row is now: " + string(response.Row)
	}
	return Rejected.New("%s", text)
}

// print writes a response as JSON, indented unless --json is set.
func (a *ctlArgs) print(out io.Writer, data []byte) error {
	if a.JSON {
		_, err := out.Write(append(bytes.TrimSpace(data), '\n'))
		return err
	}
	var b bytes.Buffer
	if err := json.Indent(&b, bytes.TrimSpace(data), "", "  "); err != nil {
		return Failed.Wrap(err, "decode response")
	}
	_, err := fmt.Fprintln(out, b.String())
	return err
}

// sendAndPrint sends a request and prints the response.
func (a *ctlArgs) sendAndPrint(c apiRequest, out io.Writer) error {
	var data []byte
	if err := a.roundTrip(c, &data); err != nil {
		return err
	}
	return a.print(out, data)
}

func getRequest(path string, query url.Values) apiRequest {
	return apiRequest{method: http.MethodGet, path: path, query: query}
}

// printStatus prints the status that each control VM reports, or the error of reading it.
func (a *ctlArgs) printStatus(out io.Writer) error {
	for _, addr := range a.Admin {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		data, _, err := a.roundTripOnce(ctx, addr, getRequest("/status", nil))
		cancel()
		if err != nil {
			fmt.Fprintf(out, "%s: %v\n", addr, err)
			continue
		}
		fmt.Fprintf(out, "%s: %s\n", addr, bytes.TrimSpace(data))
	}
	return nil
}

func (a *ctlArgs) nodes(out io.Writer) error {
	if a.JSON {
		return a.sendAndPrint(getRequest("/nodes", nil), out)
	}
	var nodes []struct {
		Node, Role, Place, Via string
		Rev                    uint64
		Live                   bool
	}
	if err := a.roundTrip(getRequest("/nodes", nil), &nodes); err != nil {
		return err
	}
	for _, n := range nodes {
		state := "fresh"
		if !n.Live {
			state = "silent"
		}
		fmt.Fprintf(out, "%-20s %-8s %-10s revision %-6d %-6s %s\n", n.Node, n.Role, n.Place, n.Rev, state, n.Via)
	}
	return nil
}

func (a *ctlArgs) writeSnapshot(out io.Writer) error {
	var data []byte
	if err := a.roundTrip(getRequest("/snapshot", nil), &data); err != nil {
		return err
	}
	_, err := out.Write(data)
	return err
}

// newID returns an ID for a change. The ID makes a retry after a lost response safe.
func newID() string { return uuid.NewString() }

// readFile reads a file, or standard input if path is "-".
func readFile(path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, Failed.Wrap(err, "read standard input")
		}
		return data, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Failed.Wrap(err, "read file")
	}
	return data, nil
}
