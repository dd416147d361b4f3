package agent

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/ctrl"
	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/wire"
)

// checkCrash reports whether the endpoint's process is gone. If so, it reports the requests in
// flight to control before any of them can be retried.
func (a *Agent) checkCrash(ctx context.Context, x *exchange) bool {
	a.engine.Lock()
	before := a.health.Incarnation
	a.engine.Unlock()
	err := a.updateHealth(ctx)
	a.engine.Lock()
	// A malformed response shows that the process runs.
	gone := err != nil && !errorx.IsOfType(err, Malformed) || before != "" && a.health.Incarnation != before
	a.engine.Unlock()
	if !gone {
		return false
	}
	fingerprints, accounts := a.inFlight(x)
	detectedAt := time.Now()
	crash := a.incarnation + "/" + before
	if before == "" {
		crash = x.id
	}
	parts := a.partCrashes(x, crash)
	a.Crashes.Add(1)
	a.config.Events.Emit(event.Crash, "endpoint", a.config.Endpoint, "requests", len(fingerprints), "id", x.id)
	if a.config.Control == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(a.ctx, 3*time.Second)
	defer cancel()
	// If control can't be reached, the requests aren't quarantined; the next crash is reported.
	_, _ = a.config.Control.Propose(ctx, ctrl.Command{Suspect: &limit.Command{
		Op: limit.OpCrash, Crash: crash, Fingerprints: fingerprints, Accounts: accounts,
	}})
	waited := time.Since(detectedAt)
	for i := range parts {
		parts[i].Age, parts[i].Ended = parts[i].Age+waited, waited
	}
	if len(parts) > 0 {
		a.proposePartCrashes(ctx, limit.CrashCommand{Reports: parts})
	}
	return true
}

// proposePartCrashes tells control of ends under parts of prompts, or of responses that began.
func (a *Agent) proposePartCrashes(ctx context.Context, c limit.CrashCommand) {
	c.Entry = a.config.Endpoint
	if _, err := a.config.Control.Propose(ctx, ctrl.Command{PartCrashes: &c}); err != nil {
		a.config.Events.Emit(event.CrashUncounted, "entry", c.Entry, "count", len(c.Reports)+len(c.Completed), "err", err)
	}
}

// partCrashes returns the reports that the endpoint ended under the parts of the prompts of which it had not
// begun the response; crash identifies the end.
func (a *Agent) partCrashes(x *exchange, crash string) []limit.CrashReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	reports := map[string]limit.CrashReport{}
	add := func(other *exchange) {
		sentAt, ok := other.awaitsOutput()
		if !ok {
			return
		}
		for _, part := range other.parts {
			r := limit.CrashReport{ID: crash + "/" + part, Fingerprint: part, Endpoint: crash, Part: true, Age: time.Since(sentAt), Account: other.account}
			if old, ok := reports[part]; !ok || r.Age < old.Age {
				reports[part] = r
			}
		}
	}
	add(x)
	for _, other := range a.exchanges {
		if other != x && !other.isDone() {
			add(other)
		}
	}
	return slices.SortedFunc(maps.Values(reports), func(a, b limit.CrashReport) int { return strings.Compare(a.ID, b.ID) })
}

// clearParts reports that the response to a prompt with the parts has begun, if control asks for that.
func (a *Agent) clearParts(parts []string) {
	if a.config.Control == nil || a.config.Follower == nil {
		return
	}
	watched := a.config.Follower.View().Parts
	if len(watched) == 0 {
		return
	}
	begun := slices.DeleteFunc(slices.Clone(parts), func(p string) bool { return !slices.Contains(watched, p) || !a.cleared.take(p, time.Now()) })
	if len(begun) == 0 {
		return
	}
	a.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(a.ctx, 3*time.Second)
		defer cancel()
		a.proposePartCrashes(ctx, limit.CrashCommand{Completed: begun})
	})
}

// inFlight returns the fingerprints and accounts of requests on the endpoint, x first.
func (a *Agent) inFlight(x *exchange) (fingerprints, accounts []string) {
	fingerprints, accounts = []string{x.fingerprint}, []string{x.account}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, other := range a.exchanges {
		if other != x && !other.isDone() && other.fingerprint != "" && !slices.Contains(fingerprints, other.fingerprint) {
			fingerprints = append(fingerprints, other.fingerprint)
			accounts = append(accounts, other.account)
		}
	}
	return fingerprints, accounts
}

// clear reports to control that a quarantined request completed its isolated run without a crash.
func (a *Agent) clear(o *wire.Offer) {
	if a.config.Control == nil {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, 3*time.Second)
	defer cancel()
	_, _ = a.config.Control.Propose(ctx, ctrl.Command{Suspect: &limit.Command{
		Op: limit.OpClear, Account: o.GetAccount(), Fingerprints: []string{o.GetPrint()}, Holder: o.GetId(),
	}})
}

// partReportInterval is the least time between two reports on one part: control needs one, and its view stops listing
// the part only some time later.
const partReportInterval = time.Second

// partReports holds when this agent last reported on each part.
type partReports struct {
	mu sync.Mutex
	at map[string]time.Time
}

// take reports whether a report on a part is due, and records it.
func (p *partReports) take(part string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.at, func(_ string, at time.Time) bool { return now.Sub(at) >= partReportInterval })
	if _, recent := p.at[part]; recent {
		return false
	}
	if p.at == nil {
		p.at = map[string]time.Time{}
	}
	p.at[part] = now
	return true
}
