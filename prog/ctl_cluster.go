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

// auditArgs filter the audit trail.
type auditArgs struct {
	Table string `arg:"--table" help:"routes, pools, unknown or suspects"`
	Name  string `arg:"--name" help:"name of a row"`
	Who   string `arg:"--who" help:"name of an operator"`
	Since string `arg:"--since" help:"earliest time, as 2026-12-04T00:00:00Z"`
	Limit int    `arg:"--limit" default:"50" help:"how many records"`
}

func (f *auditArgs) run(a *ctlArgs, out io.Writer) error {
	q := url.Values{"table": {f.Table}, "name": {f.Name}, "who": {f.Who}, "since": {f.Since}, "limit": {strconv.Itoa(f.Limit)}}
	if a.JSON {
		return a.sendAndPrint(getRequest("/audit", q), out)
	}
	var records []table.Record
	if err := a.roundTrip(getRequest("/audit", q), &records); err != nil {
		return err
	}
	for _, r := range records {
		outcome := fmt.Sprintf("revision %d", r.Rev)
		if r.Code != "" {
			outcome = "refused, " + r.Code + ": " + r.Text
		}
		fmt.Fprintf(out, "%6d %s %s from %s: %s %s/%s over version %d: %s\n",
			r.Seq, r.At.Format("2006-01-02T15:04:05Z07:00"), r.Who, r.From, r.Op, r.Table, r.Name, r.Base, outcome)
	}
	return nil
}

// memberArgs change the control VMs.
type memberArgs struct {
	Add     *addArgs     `arg:"subcommand:add" help:"bring in a control VM"`
	Remove  *nameArgs    `arg:"subcommand:remove" help:"take a control VM out"`
	Replace *replaceArgs `arg:"subcommand:replace" help:"bring in a control VM in place of a lost one"`
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

// unknownArgs deal with requests of unknown outcome.
type unknownArgs struct {
	List   *noArgs     `arg:"subcommand:list" help:"list them"`
	Settle *settleArgs `arg:"subcommand:settle" help:"record what became of one"`
}

type settleArgs struct {
	Account string `arg:"positional,required"`
	Key     string `arg:"positional,required" help:"idempotency key"`
	Verdict string `arg:"positional,required" help:"done, or free when it certainly did not run"`
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

// suspectArgs deal with requests that crash endpoints.
type suspectArgs struct {
	List  *noArgs    `arg:"subcommand:list" help:"list them"`
	Clear *clearArgs `arg:"subcommand:pardon" help:"let one run again"`
}

type clearArgs struct {
	Account string `arg:"positional,required"`
	Print   string `arg:"positional,required" help:"fingerprint, as list shows it"`
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
		state := "runs alone"
		if !p.Refused.IsZero() {
			state = "refused until " + p.Refused.Format("15:04:05Z07:00")
		}
		fmt.Fprintf(out, "%s %s: part of %d crashes, %d of them beside others; %s\n", p.Account, p.Print, p.Crashes, p.Shared, state)
	}
	return nil
}

// whyArgs ask an entry where a request went.
type whyArgs struct {
	Ops netip.AddrPort `arg:"positional,required" help:"metrics address of the entry that served the request"`
	ID  string         `arg:"positional,required" help:"X-Request-Id of the answer; --key is the account's own"`
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
		return Failed.Wrap(err, "reach %s", w.Ops)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Failed.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return Rejected.New("%s", data)
	}
	return a.print(out, data)
}
