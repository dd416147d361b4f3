package prog

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"

	"egretshunt/admin"
	"egretshunt/ledger"
	"egretshunt/limit"
	"egretshunt/quorum"
	"egretshunt/table"
)

// auditArgs are the filters of audit.
type auditArgs struct {
	Table    string `arg:"--table" help:"routes, pools, unknown, suspects or evacuations"`
	Name     string `arg:"--name" help:"name of a row"`
	Operator string `arg:"--who" help:"name of an operator"`
	Since    string `arg:"--since" help:"earliest time, as 2026-12-04T00:00:00Z"`
	Limit    int    `arg:"--limit" default:"50" help:"maximum number of records"`
}

func (f *auditArgs) run(a *ctlArgs, out io.Writer) error {
	q := url.Values{"table": {f.Table}, "name": {f.Name}, "who": {f.Operator}, "since": {f.Since}, "limit": {strconv.Itoa(f.Limit)}}
	if a.JSON {
		return a.sendAndPrint(getRequest("/audit", q), out)
	}
	var records []table.AuditRecord
	if err := a.roundTrip(getRequest("/audit", q), &records); err != nil {
		return err
	}
	for _, r := range records {
		outcome := fmt.Sprintf("revision %d", r.Rev)
		if r.Code != "" {
			outcome = "rejected, " + r.Code + ": " + r.Text
		}
		fmt.Fprintf(out, "%6d %s %s from %s: %s %s/%s over version %d: %s\n",
			r.Seq, r.At.Format("2006-01-02T15:04:05Z07:00"), r.Operator, r.From, r.Op, r.Table, r.Name, r.Base, outcome)
	}
	return nil
}

// memberArgs are the subcommands that change the membership of the control VMs.
type memberArgs struct {
	Add     *addArgs     `arg:"subcommand:add" help:"add a control VM"`
	Remove  *nameArgs    `arg:"subcommand:remove" help:"remove a control VM"`
	Replace *replaceArgs `arg:"subcommand:replace" help:"replace a lost control VM by a new one"`
}

type addArgs struct {
	ID   string         `arg:"positional,required" help:"node name of the new control VM"`
	Addr netip.AddrPort `arg:"positional,required" help:"its wire address"`
}

type replaceArgs struct {
	Old string `arg:"positional,required" help:"node name of the lost control VM"`
	addArgs
}

func (m *memberArgs) run(a *ctlArgs, out io.Writer) error {
	var body admin.Member
	verb := ""
	switch {
	case m.Add != nil:
		verb, body.ID, body.Addr = "add", quorum.ID(m.Add.ID), m.Add.Addr
	case m.Remove != nil:
		verb, body.ID = "remove", quorum.ID(m.Remove.Name)
	case m.Replace != nil:
		verb, body.ID, body.Addr, body.Replaces = "replace", quorum.ID(m.Replace.ID), m.Replace.Addr, quorum.ID(m.Replace.Old)
	default:
		return a.printStatus(out)
	}
	return a.sendAndPrint(apiRequest{method: http.MethodPost, path: "/members/" + verb, body: body}, out)
}

// unknownArgs are the subcommands for requests of unknown outcome.
type unknownArgs struct {
	List   *noArgs     `arg:"subcommand:list" help:"list these requests"`
	Settle *settleArgs `arg:"subcommand:settle" help:"record the outcome of a request"`
}

type settleArgs struct {
	Account string `arg:"positional,required"`
	Key     string `arg:"positional,required" help:"idempotency key"`
	Verdict string `arg:"positional,required" help:"done, or free if the request certainly did not run"`
}

func (u *unknownArgs) run(a *ctlArgs, out io.Writer) error {
	if s := u.Settle; s != nil {
		return a.sendAndPrint(apiRequest{method: http.MethodPost, path: "/unknown/settle", body: admin.Settle{Account: s.Account, Key: s.Key, Verdict: s.Verdict}}, out)
	}
	if a.JSON {
		return a.sendAndPrint(getRequest("/unknown", nil), out)
	}
	var claims []ledger.Claim
	if err := a.roundTrip(getRequest("/unknown", nil), &claims); err != nil {
		return err
	}
	for _, c := range claims {
		fmt.Fprintf(out, "%s %s: %s on %s since %s\n", c.Account, c.Key.Key, c.Path, c.Endpoint, c.At.Format("2006-01-02T15:04:05Z07:00"))
	}
	return nil
}

// suspectArgs are the subcommands for requests suspected of crashing endpoints.
type suspectArgs struct {
	List  *noArgs    `arg:"subcommand:list" help:"list these requests"`
	Clear *clearArgs `arg:"subcommand:pardon" help:"clear a request so that it may run again"`
}

type clearArgs struct {
	Account string `arg:"positional,required"`
	Print   string `arg:"positional,required" help:"fingerprint, as printed by list"`
}

func (s *suspectArgs) run(a *ctlArgs, out io.Writer) error {
	if p := s.Clear; p != nil {
		return a.sendAndPrint(apiRequest{method: http.MethodPost, path: "/suspects/pardon", body: admin.Clear{Account: p.Account, Print: p.Print}}, out)
	}
	if a.JSON {
		return a.sendAndPrint(getRequest("/suspects", nil), out)
	}
	var suspects []limit.Suspect
	if err := a.roundTrip(getRequest("/suspects", nil), &suspects); err != nil {
		return err
	}
	for _, p := range suspects {
		state := "runs in isolation"
		if !p.RefusedUntil.IsZero() {
			state = "quarantined until " + p.RefusedUntil.Format("15:04:05Z07:00") + ", then runs in isolation"
		}
		fmt.Fprintf(out, "%s %s: in flight at %d crashes, at %d of them beside other requests; %s\n", p.Account, p.Fingerprint, p.Crashes, p.SharedCrashes, state)
	}
	return nil
}

// whyArgs are the arguments of why, which asks an entry how it routed a request.
type whyArgs struct {
	Ops netip.AddrPort `arg:"positional,required" help:"metrics address of the entry that served the request"`
	ID  string         `arg:"positional,required" help:"X-Request-Id of the response; --key must be a key of the request's account"`
}

func (w *whyArgs) run(a *ctlArgs, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.Ops.String()+"/why/"+url.PathEscape(w.ID), nil)
	if err != nil {
		return Usage.New("%v", err)
	}
	req.Header.Set("Authorization", "Bearer "+a.Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Failed.Wrap(err, "send request to %s", w.Ops)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Failed.Wrap(err, "read response")
	}
	if resp.StatusCode != http.StatusOK {
		return Rejected.New("%s", data)
	}
	return a.print(out, data)
}
