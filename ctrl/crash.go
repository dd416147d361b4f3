package ctrl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"egretshunt/clock"
	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/value"
	"egretshunt/wire"
)

const (
	// maxCountWait bounds how long a sync that reports crashes waits until they are replicated. The
	// entry repeats what has not been by then: a stalled disk must not cost it its lease.
	maxCountWait = 200 * time.Millisecond
	// maxCrashReports is the largest number of crashes in one sync, to bound its size when many
	// endpoints crash. Further ones are dropped and logged.
	maxCrashReports = 256
)

// countCrashes replicates the crashes and completed runs that an entry reports and returns whether
// all are counted.
func (h *Hub) countCrashes(ctx context.Context, req *wire.Sync) bool {
	if len(req.GetCrashes()) == 0 && len(req.GetCompleted()) == 0 {
		return true
	}
	command := &limit.CrashCommand{Entry: req.GetNode(), Completed: req.GetCompleted()}
	for _, c := range req.GetCrashes() {
		command.Reports = append(command.Reports, decodeCrash(req, c))
	}
	ctx, cancel := context.WithTimeout(ctx, maxCountWait)
	defer cancel()
	if err := h.crashes.record(ctx, command); err != nil {
		h.events.Emit(event.CrashUncounted, "entry", req.GetNode(), "count", len(command.Reports), "err", err)
		return false
	}
	crashes := h.node.Crashes()
	v := crashes.Verdicts(h.node.groupNow())
	quarantined := value.SetOf(append(v.Refused, v.Trial...)...)
	for _, r := range command.Reports {
		h.events.Emit(event.CrashCounted, "print", r.Fingerprint, "endpoint", r.Endpoint, "entry", req.GetNode(), "part", r.Part, "resumed", r.Resumed, "count", crashes.Crashes(r.Fingerprint),
			"spent", r.Age.Milliseconds(), "waited", r.Ended.Milliseconds(), "term", h.node.Status().Term)
		if quarantined.Has(r.Fingerprint) {
			h.events.Emit(event.Quarantined, "print", r.Fingerprint)
		}
	}
	for _, fingerprint := range command.Completed {
		h.events.Emit(event.CrashesCleared, "print", fingerprint, "entry", req.GetNode())
	}
	return true
}

// decodeCrash decodes a crash that an entry reports. An entry of a former version doesn't date the end.
func decodeCrash(req *wire.Sync, c *wire.Crash) limit.CrashReport {
	r := limit.CrashReport{
		ID: c.GetId(), Fingerprint: c.GetPrint(), Endpoint: c.GetEndpoint(), Born: c.GetBorn(), Wide: c.GetWide(), Part: c.GetPart(), Resumed: c.GetResumed(),
		Age: time.Duration(c.GetAgeMs()) * time.Millisecond,
	}
	if req.GetClock() != "" {
		micros := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
		r.Clock, r.Start = req.GetClock(), micros(c.GetSentUs())
		r.Age, r.Ended = micros(req.GetClockUs()-c.GetSentUs()), micros(req.GetClockUs()-c.GetEndedUs())
	}
	return r
}

// addCrashVerdicts adds the crash verdicts to the reply to an entry, unless it holds them. One entry
// at a time may run a request that is due for a trial; all others refuse it.
func (ls *LeaderState) addCrashVerdicts(reply *wire.Synced, req *wire.Sync) {
	now := ls.hub.node.groupNow()
	all := ls.hub.node.Crashes().Verdicts(now)
	v := limit.CrashVerdicts{Refused: all.Refused, Watched: all.Watched, Parts: all.Parts}
	entries := ls.entryNames()
	if ls.hub.now()-ls.beganAt < entryTTL {
		// Others than those known may have leave for a trial from the former leader.
		entries = nil
	}
	for _, fingerprint := range all.Trial {
		if entry, ok := limit.TrialEntry(fingerprint, entries, now).Get(); ok && entry == req.GetNode() {
			v.Trial = append(v.Trial, fingerprint)
		} else {
			v.Refused = append(v.Refused, fingerprint)
		}
	}
	if reply.Verdicts = v.Hash(); reply.Verdicts != req.GetVerdicts() {
		reply.Refused, reply.Trial, reply.Watched, reply.Parts = v.Refused, v.Trial, v.Watched, v.Parts
	}
}

// entryNames returns the names of the entries that sync, sorted.
func (ls *LeaderState) entryNames() []string {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return slices.Sorted(maps.Keys(ls.entries))
}

// crashGuard is an entry's part of the attribution of crashes to requests: what it has to report,
// and what control has quarantined.
type crashGuard struct {
	node string
	// run names this run of the process.
	run    string
	events *event.Log
	// verdicts is nil while control has none. reporting is set while reports are unconfirmed.
	verdicts  atomic.Pointer[crashVerdicts]
	reporting atomic.Bool

	// mu guards the rest. reports and completed hold what control hasn't confirmed as counted;
	// seen is the number of crashes so far, dropped that of reports left out since the last
	// confirmation.
	mu        sync.Mutex
	reports   []datedCrash
	completed value.Set[string]
	seen      uint64
	dropped   int
	// trials holds when this entry last ran a quarantined request, by fingerprint.
	trials map[string]time.Duration
}

// crashVerdicts are the fingerprints of the requests that this entry must refuse, of those of which
// it may start one run, of those that one more crash would quarantine, and of the parts of prompts that were
// present at crashes. It is immutable.
type crashVerdicts struct {
	refused, trial, watched, parts value.Set[string]
	hash                           uint64
}

func (v *crashVerdicts) refuses(fingerprint string) bool {
	return v != nil && v.refused.Has(fingerprint)
}
func (v *crashVerdicts) allowsTrial(fingerprint string) bool {
	return v != nil && v.trial.Has(fingerprint)
}
func (v *crashVerdicts) watches(fingerprint string) bool {
	return v != nil && v.watched.Has(fingerprint)
}
func (v *crashVerdicts) watchesPart(fingerprint string) bool {
	return v != nil && v.parts.Has(fingerprint)
}

// datedCrash is a report with when the attempt began and ended, by clock.Now.
type datedCrash struct {
	limit.CrashReport
	sent, ended time.Duration
}

// crashEvidence is what one sync reports: ends of endpoints, and the fingerprints of completed runs.
type crashEvidence struct {
	reports   []datedCrash
	completed []string
}

func newCrashGuard(node string, events *event.Log) *crashGuard {
	return &crashGuard{node: node, run: fmt.Sprintf("%s/%x", node, time.Now().UnixNano()), events: events, completed: value.SetOf[string](), trials: map[string]time.Duration{}}
}

// encode adds the evidence to a sync that is sent now.
func (e crashEvidence) encode(req *wire.Sync, run string) {
	now := clock.Now()
	if len(e.reports) > 0 {
		req.Clock, req.ClockUs = run, now.Microseconds()
	}
	for _, c := range e.reports {
		req.Crashes = append(req.Crashes, &wire.Crash{
			Id: c.ID, Print: c.Fingerprint, Endpoint: c.Endpoint, Born: c.Born, Wide: c.Wide, Part: c.Part, Resumed: c.Resumed,
			AgeMs: uint32((now - c.sent).Milliseconds()), SentUs: c.sent.Microseconds(), EndedUs: c.ended.Microseconds(),
		})
	}
	req.Completed = e.completed
}

func (g *crashGuard) unconfirmed() crashEvidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	return crashEvidence{slices.Clone(g.reports), g.completed.Sorted()}
}

// confirm drops what control has counted.
func (g *crashGuard) confirm(e crashEvidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	counted := value.SetOf[string]()
	for _, r := range e.reports {
		counted.Add(r.ID)
	}
	g.dropReports(func(r datedCrash) bool { return counted.Has(r.ID) })
	for _, fingerprint := range e.completed {
		g.completed.Remove(fingerprint)
	}
	if g.dropped > 0 {
		g.events.Emit(event.CrashUncounted, "entry", g.node, "count", g.dropped, "why", "too many at once")
		g.dropped = 0
	}
}

// dropReports removes reports. The caller holds mu.
func (g *crashGuard) dropReports(drop func(datedCrash) bool) {
	g.reports = slices.DeleteFunc(g.reports, drop)
	g.reporting.Store(len(g.reports) > 0)
}

// verdictsHash identifies the verdicts that this entry holds; zero means none.
func (g *crashGuard) verdictsHash() uint64 {
	if v := g.verdicts.Load(); v != nil {
		return v.hash
	}
	return 0
}

// install replaces the verdicts by those of a reply.
func (g *crashGuard) install(reply *wire.Synced) {
	switch hash := reply.GetVerdicts(); hash {
	case g.verdictsHash():
	case 0:
		g.verdicts.Store(nil)
	default:
		g.verdicts.Store(&crashVerdicts{value.SetOf(reply.GetRefused()...), value.SetOf(reply.GetTrial()...), value.SetOf(reply.GetWatched()...), value.SetOf(reply.GetParts()...), hash})
	}
}

// RecordCrash records that an incarnation of an endpoint ended while it ran a request. Syncs report it until
// control has counted it. The report needs no ID and no clock; its Age and Ended are as of now.
func (f *Feed) RecordCrash(r limit.CrashReport) {
	g := f.crashes
	now := clock.Now()
	c := datedCrash{r, now - max(r.Age, r.Ended), now - r.Ended}
	c.Clock, c.Start = g.run, c.sent
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Part {
		same := func(old datedCrash) bool {
			return old.Fingerprint == r.Fingerprint && old.Endpoint == r.Endpoint && old.Born == r.Born
		}
		if i := slices.IndexFunc(g.reports, same); i >= 0 {
			// Many prompts in flight at one endpoint share a part; the latest of them tells most.
			if c.sent > g.reports[i].sent {
				c.ID = g.reports[i].ID
				g.reports[i] = c
			}
			return
		}
	}
	if len(g.reports) >= maxCrashReports {
		g.dropped++
		return
	}
	g.seen++
	c.ID = fmt.Sprintf("%s/%d", g.run, g.seen)
	g.reports = append(g.reports, c)
	g.reporting.Store(true)
}

// isReported reports whether control hasn't confirmed a report on a request or part. The caller holds mu.
func (g *crashGuard) isReported(fingerprint string) bool {
	return slices.ContainsFunc(g.reports, func(r datedCrash) bool { return r.Fingerprint == fingerprint })
}

// unconfirmedCount returns how many crashes of a request reports show that control hasn't confirmed, counted as
// control does. Those on parts don't count: only control knows which part explains the ends. The caller holds mu.
func (g *crashGuard) unconfirmedCount(fingerprint string) int {
	var reports []limit.CrashReport
	for _, r := range g.reports {
		if r.Fingerprint == fingerprint && !r.Part {
			r.Age, r.Ended = -r.sent, -r.ended
			reports = append(reports, r.CrashReport)
		}
	}
	return limit.CountInSequence(reports)
}

// RecordCompletion records that an endpoint has run the request with this fingerprint to the end, or has
// begun to respond to a prompt with this part. The function fingerprint is called only if there are verdicts on any request.
func (f *Feed) RecordCompletion(fingerprint func() string) {
	g := f.crashes
	v := g.verdicts.Load()
	if v == nil && !g.reporting.Load() {
		return
	}
	name := fingerprint()
	g.mu.Lock()
	defer g.mu.Unlock()
	if v.refuses(name) || v.allowsTrial(name) || v.watches(name) || v.watchesPart(name) || g.isReported(name) {
		// Control may have counted some of the reports.
		g.completed.Add(name)
		g.dropReports(func(r datedCrash) bool { return r.Fingerprint == name })
	}
}

// RejectedFor returns after what time a client may send the request with this fingerprint again
// that is rejected because endpoints ended while they ran it; zero means that it may run now. It is CrashRetryAfter if control
// has quarantined the request. If control might, once it has counted what this entry reports, it is UncountedRetryAfter:
// only control knows whether something else explains those ends. The function fingerprint is called only if there are verdicts or
// unconfirmed reports on any request.
func (f *Feed) RejectedFor(fingerprint func() string) time.Duration {
	g := f.crashes
	v := g.verdicts.Load()
	if v == nil && !g.reporting.Load() {
		return 0
	}
	name := fingerprint()
	g.mu.Lock()
	defer g.mu.Unlock()
	unconfirmed := g.unconfirmedCount(name)
	switch {
	case v.refuses(name):
		return limit.CrashRetryAfter
	case unconfirmed > 0 && (v.allowsTrial(name) || v.watches(name)) || unconfirmed >= limit.MaxAttributedCrashes:
		return limit.UncountedRetryAfter
	case v.allowsTrial(name) && !g.startTrial(name):
		return limit.CrashRetryAfter
	}
	return 0
}

// IsSuspected reports whether endpoints ended while they ran the request with this fingerprint, so that one more end would
// quarantine it, or may: control hasn't counted what this entry reports, and other entries may report more. The function
// fingerprint is called as by RejectedFor.
func (f *Feed) IsSuspected(fingerprint func() string) bool {
	g := f.crashes
	v := g.verdicts.Load()
	if v == nil && !g.reporting.Load() {
		return false
	}
	name := fingerprint()
	g.mu.Lock()
	defer g.mu.Unlock()
	return v.watches(name) || v.allowsTrial(name) || g.unconfirmedCount(name) > 0
}

// startTrial reports whether a quarantined request may run here as a trial, and records the run. The
// caller holds mu.
func (g *crashGuard) startTrial(fingerprint string) bool {
	now := clock.Now()
	maps.DeleteFunc(g.trials, func(_ string, at time.Duration) bool { return now-at >= limit.TrialInterval })
	if _, ran := g.trials[fingerprint]; ran {
		return false
	}
	g.trials[fingerprint] = now
	g.events.Emit(event.CrashTrial, "print", fingerprint)
	return true
}
