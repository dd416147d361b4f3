package pass

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"egretshunt/board"
	"egretshunt/clock"
	"egretshunt/ctrl"
	"egretshunt/event"
	"egretshunt/route"
)

const (
	// maxControlWait bounds how long a request waits for data from control; controlPollInterval
	// is how often it checks meanwhile.
	maxControlWait      = time.Second
	controlPollInterval = 10 * time.Millisecond
	// maxCatalogWait is how long after its first prompt an entry lets prompts wait for the
	// catalogue; the leader needs two calls to each store to build it.
	maxCatalogWait = 300 * time.Millisecond
)

// admitWhenReady admits a request. It waits briefly if only data from control is missing: after
// a restart, or while another control VM becomes leader, that data arrives within a second.
//
// This covers a simultaneous restart of all processes while clients keep sending requests.
func (e *Entry) admitWhenReady(ctx context.Context, c *Call) (*job, *failure) {
	until := c.Arrived.Add(maxControlWait)
	if c.ClientTimeout > 0 {
		until = c.Arrived.Add(min(maxControlWait, c.ClientTimeout/3))
	}
	for {
		j, f := e.admit(c)
		now := time.Now()
		waitsForControl := f != nil && (f.reason == reasonNoTables || f.reason == reasonStale) && now.Before(until)
		if !waitsForControl && (f != nil || !e.shouldAwaitCatalog(j, now)) {
			return j, f
		}
		select {
		case <-time.After(controlPollInterval):
		case <-ctx.Done():
			return j, f
		}
	}
}

// shouldAwaitCatalog reports whether a prompt should wait for the catalogue of cached parts.
// Without it, an entry that has just started would have the engines recompute everything that
// stores hold.
func (e *Entry) shouldAwaitCatalog(j *job, now time.Time) bool {
	if !j.route.NamesPromptParts || len(j.call.Parts) == 0 || e.config.View.EngineClock(clock.Now()) > 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.firstPromptAt.IsZero() {
		e.firstPromptAt = now
	}
	return now.Sub(e.firstPromptAt) < maxCatalogWait
}

// deadline returns when a request of a route must be answered.
func deadline(r *board.Route, c *Call) time.Time {
	wait := r.Timeout
	if c.ClientTimeout > 0 && c.ClientTimeout < wait {
		wait = c.ClientTimeout
	}
	return c.Arrived.Add(wait - responseMargin)
}

// Deadline returns when a request must be answered; it isn't known without a route.
func (e *Entry) Deadline(c *Call) (at time.Time, known bool) {
	set := e.admission.tables().set
	if set == nil {
		return time.Time{}, false
	}
	r := set.Match(c.Host, c.Path)
	if r == nil {
		return time.Time{}, false
	}
	return deadline(r, c), true
}

// admit judges a request by the tables in force, and resolves its route, account, pool and deadline.
func (e *Entry) admit(c *Call) (*job, *failure) {
	j := &job{call: c, step: stageAdmission, tables: e.admission.tables()}
	switch t := j.tables; {
	case t.set == nil && t.expired == reasonUnreadable:
		return j, refuse(t.expired, staleRetryAfter)
	case t.set == nil || e.list() == nil:
		return j, refuse(reasonNoTables, staleRetryAfter)
	}
	if f := j.authorize(e.admission.config.MaxDenialAge); f != nil {
		return j, f
	}
	if j.homes.bound && len(j.homes.regions) == 0 {
		return j, refuse(reasonHomes, homesRetryAfter)
	}
	j.pool = j.route.Pick(route.UniformHash(j.originID()))
	j.deadline = deadline(j.route, c)
	if last := e.lastDeadline.Load(); last != nil && j.deadline.After(*last) {
		return j, refuse(reasonStopping, stoppingRetryAfter)
	}
	e.mu.Lock()
	e.retryBudget(j.pool).CountRequest(time.Now())
	e.mu.Unlock()
	return j, nil
}

// authorize finds the route and the account of a request, and returns a failure unless its tables allow it. maxDenialAge is that of
// AdmissionConfig.
func (j *job) authorize(maxDenialAge time.Duration) *failure {
	t, key := j.tables, j.call.APIKey
	if t.expired != "" && key != "" {
		// The key may have been revoked since the last update. A route that needs no key by these tables may need one now, or be
		// hidden by a newer one that does.
		return refuse(t.expired, staleRetryAfter)
	}
	// A newer table set may allow what this one doesn't; undecided is why that isn't known.
	undecided := t.expired
	if undecided == "" && maxDenialAge > 0 && t.age > maxDenialAge {
		undecided = reasonStale
	}
	j.route = t.set.Match(j.call.Host, j.call.Path)
	switch {
	case j.route == nil && undecided != "":
		return refuse(undecided, staleRetryAfter)
	case j.route == nil:
		return &failure{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	j.rank, j.homes = j.route.Rank, homesOf(j.route, nil)
	if !t.set.RequireKeys || j.route.Public {
		return nil
	}
	a := t.set.Account(key)
	switch {
	case a == nil && undecided != "":
		return refuse(undecided, staleRetryAfter)
	case a == nil:
		return &failure{status: http.StatusUnauthorized, reason: reasonKey}
	}
	j.account, j.isolated, j.rank, j.homes = a.Name, a.Isolated, a.Rank.Or(j.route.Rank), homesOf(j.route, a)
	return nil
}

// AdmissionConfig holds the parameters of an Admission.
type AdmissionConfig struct {
	// View returns the latest view with its age. In production it is a *ctrl.Feed.
	View interface{ Snapshot() ctrl.Snapshot }
	// Decode parses a serialized table set.
	Decode func(body []byte) (*board.Set, error)
	// MaxDenialAge is how old the tables may be, since control last confirmed them, when a request is denied for good; older
	// ones reject it for now. Zero means that the lease alone counts.
	MaxDenialAge time.Duration
	Events       *event.Log
}

// Admission decides by the table set in force whether requests may run. It has no goroutine and reads no clock but that of its view.
type Admission struct {
	config AdmissionConfig
	// set is the decoded table set in force.
	set atomic.Pointer[decodedSet]
	// decoding is held while a table set is decoded.
	decoding sync.Mutex
}

// NewAdmission returns an Admission without a table set.
func NewAdmission(c AdmissionConfig) *Admission {
	if c.Events == nil {
		c.Events = event.Discard()
	}
	return &Admission{config: c}
}

// Admits reports whether a request may run by the tables in force now. Whether an endpoint can take it is another question.
func (a *Admission) Admits(c *Call) bool {
	j := &job{call: c, tables: a.tables()}
	return j.tables.set != nil && j.authorize(a.config.MaxDenialAge) == nil
}

// tables is the table set in force at an entry, and how current it was when it was read.
type tables struct {
	// set is nil before the first.
	set *board.Set
	// age is the time since control last confirmed the entry's view.
	age time.Duration
	// expired is why the set may be out of date, as the reason of a failure; "" while the lease lasts.
	expired string
}

// decodedSet is a table set with the document it was decoded from.
type decodedSet struct {
	document *ctrl.TableSetDocument
	set      *board.Set
	// unreadable is set if the document can't be decoded; set is that of an earlier one then, or nil.
	unreadable bool
}

// tables returns the table set in force.
func (a *Admission) tables() tables {
	s := a.config.View.Snapshot()
	t := tables{age: s.Age}
	if !s.Fresh {
		t.expired = reasonStale
	}
	if s.View.Set == nil {
		return t
	}
	d := a.decode(s.View.Set)
	if t.set = d.set; d.unreadable {
		// Control has confirmed the document, not the set before it.
		t.expired = reasonUnreadable
	}
	return t
}

// decode returns the table set of a document, or of a newer one.
func (a *Admission) decode(doc *ctrl.TableSetDocument) *decodedSet {
	if d := a.set.Load(); d != nil && d.document == doc {
		return d
	}
	a.decoding.Lock()
	defer a.decoding.Unlock()
	d := a.set.Load()
	if d != nil && (d.document == doc || d.document.Number >= doc.Number) {
		return d
	}
	next := &decodedSet{document: doc}
	var err error
	if next.set, err = a.config.Decode(doc.Body); err != nil {
		// Control validates each set before it is accepted, but may run another build.
		a.config.Events.Emit(event.Fault, "set", doc.Number, "err", err)
		next.set, next.unreadable = nil, true
		if d != nil {
			next.set = d.set
		}
	}
	a.set.Store(next)
	return next
}
