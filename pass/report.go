package pass

import (
	"context"
	"strconv"
	"time"

	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/member"
)

// Ejected returns the IDs of the endpoints that outlier detection has ejected.
func (e *Entry) Ejected() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ejected []string
	now := time.Now()
	for id, s := range e.endpointStates {
		if !s.health.Fit(now) {
			ejected = append(ejected, id)
		}
	}
	return ejected
}

// recordResponse records that an endpoint sends response data, which is evidence against
// control's report that it is down.
func (e *Entry) recordResponse(to *member.Endpoint) {
	l := e.list()
	if l == nil {
		return
	}
	if now := l.Find(to.ID); now == nil || !now.Down {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endpointState(to).alive = time.Now()
}

// recordUnanswered records a run whose response did not arrive although its endpoint said nothing of
// an end.
func (e *Entry) recordUnanswered(j *job, to *member.Endpoint) { e.addUnanswered(j, to, false) }

// addUnanswered records an unanswered run; broken is set if its connection broke after a silence.
func (e *Entry) addUnanswered(j *job, to *member.Endpoint, broken bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, report := range j.crashReports(to, now) {
		e.unanswered.Add(limit.UnansweredRun{Report: report, At: now, Broken: broken})
	}
}

// recordBegun records that an endpoint has begun to respond to a prompt, so that none of its parts crashes it.
func (e *Entry) recordBegun(j *job) {
	j.attemptBegun = true
	e.recordSound(j.partFingerprints())
}

// recordSound records that an endpoint has run the request with a fingerprint to the end, or has begun to respond to a prompt
// with a part: earlier ends of endpoints don't count against it, neither those that are reported nor those that the list is yet to show.
func (e *Entry) recordSound(fingerprints []func() string) {
	for _, fingerprint := range fingerprints {
		e.config.View.RecordCompletion(fingerprint)
	}
	e.mu.Lock()
	none := e.unanswered.Empty()
	e.mu.Unlock()
	if none {
		return
	}
	names := make([]string, 0, len(fingerprints))
	for _, fingerprint := range fingerprints {
		names = append(names, fingerprint())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range names {
		e.unanswered.Clear(name)
	}
}

// recordBrokenRun records a run whose connection broke. Endpoints also break off responses and go on. One that
// runs and was silent for the time of a restart may be another process than the one that had the request: then only
// the list can show the end.
// ended reports whether the endpoint's process has ended, or may have.
func (e *Entry) recordBrokenRun(ctx context.Context, j *job, to *member.Endpoint) (ended bool) {
	switch e.config.Backend.Probe(ctx, to) {
	case member.Ended:
		e.recordRestart(to)
	case member.Running:
		ended = time.Since(j.heardAt) >= limit.MinRestartTime
		if ended {
			e.addUnanswered(j, to, true)
		}
		return ended
	}
	for _, report := range j.crashReports(to, time.Now()) {
		e.reportCrash(j.call.ID, report)
	}
	e.recordEnded(to)
	return true
}

// reportSilentEnds reports the unanswered runs whose endpoint has ended, by the list.
func (e *Entry) reportSilentEnds(now time.Time) {
	list := e.list()
	if list == nil {
		return
	}
	e.mu.Lock()
	ended := e.unanswered.Ended(now, func(id string) limit.ListedEndpoint {
		at := list.Find(id)
		if at == nil {
			return limit.ListedEndpoint{}
		}
		return limit.ListedEndpoint{Listed: true, Draining: at.Draining, Born: at.Born}
	})
	e.mu.Unlock()
	for _, run := range ended {
		// When the endpoint ended isn't known; the attempt ended when it was given up.
		report := run.Report
		report.Age += now.Sub(run.At)
		report.Ended = now.Sub(run.At)
		e.reportCrash("", report)
	}
}

// reportCrash reports that an endpoint ended while it ran a request; id is empty if the request has
// ended before.
func (e *Entry) reportCrash(id string, r limit.CrashReport) {
	e.config.View.RecordCrash(r)
	e.config.Events.Emit(event.CrashReported, "id", id, "endpoint", r.Endpoint, "born", r.Born, "print", r.Fingerprint, "part", r.Part, "resumed", r.Resumed)
}

// downOverrideTime is how long response data counts against control's report that its endpoint
// is down.
const downOverrideTime = time.Second

// Responding returns the IDs of the endpoints that send responses although control reports them
// down.
func (e *Entry) Responding() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var alive []string
	for id, s := range e.endpointStates {
		if time.Since(s.alive) < downOverrideTime {
			alive = append(alive, id)
		}
	}
	return alive
}

// OutstandingTokens returns the prompt tokens that this entry has outstanding at each endpoint and
// level of urgency, the tokens that its requests occupy in each engine's memory, and those to be
// read over each source's link. The keys are those of workKey and memoryKey, and the source's
// address.
func (e *Entry) OutstandingTokens() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	work := map[string]int{}
	for id, s := range e.endpointStates {
		for level, tokens := range s.pendingTokens {
			if tokens > 0 {
				work[workKey(id, level)] = tokens
			}
		}
	}
	for id, s := range e.endpointStates {
		if s.memoryTokens > 0 {
			work[memoryKey(id)] = s.memoryTokens
		}
	}
	for at, tokens := range e.linkTokens {
		if *tokens > 0 {
			work[at.String()] = *tokens
		}
	}
	return work
}

// backlog returns the prompt tokens that this entry has outstanding at all endpoints.
func (e *Entry) backlog() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := 0
	for _, s := range e.endpointStates {
		for _, tokens := range s.pendingTokens {
			sum += tokens
		}
	}
	return sum
}

// workKey returns the key of an endpoint's outstanding tokens at one level of urgency.
func workKey(id string, level int) string { return id + "/" + strconv.Itoa(level) }

// memorySuffix ends the key of the memory occupied at an endpoint.
const memorySuffix = "/m"

// memoryKey returns the key of the memory occupied at an endpoint.
func memoryKey(id string) string { return id + memorySuffix }

// tokensAhead returns the prompt tokens that an endpoint computes before a request at a level of
// urgency. The caller holds the entry's mu.
func (c *candidate) tokensAhead(level int) int {
	sum := 0
	for l := range level + 1 {
		sum += c.state.pendingTokens[l] + c.others.tokens[l]
	}
	return sum
}
