package limit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// PermitTime is how long a permit may be used.
	PermitTime = time.Second
	// issueInterval is the time of which an issuer keeps unclaimed permits: entries ask for them that often at least.
	issueInterval = 300 * time.Millisecond
	// minNamedRate is the least rate at which an endpoint gets requests, in requests a second: only an answer shows that its limit
	// has changed.
	minNamedRate = 0.25
	// maxNamedRate is the highest rate that is a limit, in requests a second.
	maxNamedRate = 1e6
	// endedNoticeTime is how long the end of a limit is remembered, so that others who knew the limit learn of it.
	endedNoticeTime = 10 * time.Second
)

// EndpointRun identifies one incarnation of an endpoint.
type EndpointRun struct {
	ID   string
	Born int64
}

func (r EndpointRun) compare(other EndpointRun) int {
	return cmp.Or(strings.Compare(r.ID, other.ID), cmp.Compare(r.Born, other.Born))
}

// NamedRate is what an answer of an endpoint says of the requests that it takes from all entries together.
type NamedRate struct {
	// Rate is in requests a second; without Named the answer names no limit.
	Rate  float64
	Named bool
	// At is when the answer arrived; for one that names no limit, when its request was sent: it says nothing of a limit
	// that another answer named meanwhile.
	At time.Duration
}

// ParseRate reads a limit from the text of an answer, in requests a second. An error is of type Malformed.
func ParseRate(text string) (rate float64, err error) {
	rate, err = strconv.ParseFloat(text, 64)
	switch {
	case err != nil:
		return 0, Malformed.Wrap(err, "read limit %q", text)
	case !(rate >= 0) || math.IsInf(rate, 1):
		return 0, Malformed.New("limit %q is no number of requests a second", text)
	}
	return rate, nil
}

// NamedRates keeps the newest limit of each endpoint that has named one. It is not safe for concurrent use.
type NamedRates struct{ newest map[EndpointRun]NamedRate }

// NewNamedRates returns an empty collection.
func NewNamedRates() *NamedRates { return &NamedRates{newest: map[EndpointRun]NamedRate{}} }

// Observe records an answer and reports whether the endpoint's limit changed.
func (n *NamedRates) Observe(run EndpointRun, r NamedRate) (changed bool) {
	old, known := n.newest[run]
	if r.Named {
		r.Rate = min(max(r.Rate, minNamedRate), maxNamedRate)
	}
	if math.IsNaN(r.Rate) || !known && !r.Named || known && r.At < old.At {
		return false
	}
	n.newest[run] = r
	return old.Named != r.Named || old.Rate != r.Rate
}

// Rate returns the limit that an endpoint has named.
func (n *NamedRates) Rate(run EndpointRun) (rate float64, named bool) {
	r := n.newest[run]
	return r.Rate, r.Named
}

// Forget drops what was learned of an endpoint until then.
func (n *NamedRates) Forget(run EndpointRun, until time.Duration) {
	if n.newest[run].At <= until {
		delete(n.newest, run)
	}
}

// Keep drops the endpoints that aren't listed any more, and limits that have ended a while ago.
func (n *NamedRates) Keep(listed func(EndpointRun) bool, now time.Duration) {
	maps.DeleteFunc(n.newest, func(run EndpointRun, r NamedRate) bool {
		return !listed(run) || !r.Named && now-r.At > endedNoticeTime
	})
}

// All returns all endpoints known, sorted, with their newest limits.
func (n *NamedRates) All() []EndpointRun {
	return slices.SortedFunc(maps.Keys(n.newest), EndpointRun.compare)
}

// Newest returns the newest answer recorded of an endpoint.
func (n *NamedRates) Newest(run EndpointRun) NamedRate { return n.newest[run] }

// Len returns the number of endpoints known.
func (n *NamedRates) Len() int { return len(n.newest) }

// PermitWant is an entry's demand for endpoints that have named limits, of one pool.
type PermitWant struct {
	// Count is how many requests would be sent; Waiting of them wait for a permit.
	Count, Waiting int
	// Runs are the endpoints that may get them.
	Runs []EndpointRun
}

// PermitIssuer issues the permits to send requests to endpoints that have named limits. One issuer serves all entries.
//
// The load pattern is many entries that each send a little to an overloaded endpoint, more in sum than it takes. A rate
// divided among them would be wasted by those without demand; permits go to those that have requests. In any time
// the permits that may be used are at most those of that time, of PermitTime and of issueInterval before it, and one.
// PermitIssuer is not safe for concurrent use.
type PermitIssuer struct{ budgets map[EndpointRun]*permitBudget }

type permitBudget struct {
	rate, left float64
	updatedAt  time.Duration
}

// NewPermitIssuer returns an issuer that knows no limits.
func NewPermitIssuer() *PermitIssuer { return &PermitIssuer{budgets: map[EndpointRun]*permitBudget{}} }

func (b *permitBudget) advance(now time.Duration) {
	if now > b.updatedAt {
		b.left = min(b.left+b.rate*(now-b.updatedAt).Seconds(), 1+b.rate*issueInterval.Seconds())
		b.updatedAt = now
	}
}

// SetRate sets the limit of an endpoint. A new one begins without permits: others may be in use still.
func (p *PermitIssuer) SetRate(run EndpointRun, rate float64, now time.Duration) {
	b, ok := p.budgets[run]
	if !ok {
		b = &permitBudget{updatedAt: now}
		p.budgets[run] = b
	}
	b.advance(now)
	b.rate = rate
}

// Remove ends the limit of an endpoint.
func (p *PermitIssuer) Remove(run EndpointRun) { delete(p.budgets, run) }

// Available returns how many permits can be issued now for the endpoints of a want, up to its count.
func (p *PermitIssuer) Available(w PermitWant, now time.Duration) int {
	n := 0
	for _, run := range w.Runs {
		if b := p.budgets[run]; b != nil {
			b.advance(now)
			n += int(b.left)
		}
	}
	return min(n, w.Count)
}

// Issue issues permits for a want, for the endpoints with most left first.
func (p *PermitIssuer) Issue(w PermitWant, now time.Duration) map[EndpointRun]int {
	issued := map[EndpointRun]int{}
	for range w.Count {
		var best *permitBudget
		var at EndpointRun
		for _, run := range w.Runs {
			b := p.budgets[run]
			if b == nil {
				continue
			}
			b.advance(now)
			if b.left >= 1 && (best == nil || b.left > best.left) {
				best, at = b, run
			}
		}
		if best == nil {
			break
		}
		best.left--
		issued[at]++
	}
	return issued
}

// NextPermit returns after what time a permit for an endpoint can be issued; zero if one can be now or the endpoint has no limit.
func (p *PermitIssuer) NextPermit(run EndpointRun, now time.Duration) time.Duration {
	b := p.budgets[run]
	if b == nil {
		return 0
	}
	b.advance(now)
	if b.left >= 1 {
		return 0
	}
	return time.Duration(math.Ceil((1 - b.left) / b.rate * float64(time.Second)))
}

// Turn is an entry's place among all entries. While no issuer can be reached, entry Index of Count entries may send a request to
// an endpoint with a limit when its turn comes, by a clock that all of them share.
type Turn struct {
	Index, Count int
	// Half is set if only each second turn is used, at a time of every other entry.
	Half bool
	// Clock is the shared time when the entry's own time is zero.
	Clock time.Duration
}

// next returns when the first turn after a moment comes, by the entry's own time, at an endpoint with a rate.
func (t Turn) next(rate float64, after time.Duration) time.Duration {
	slot := time.Duration(float64(time.Second) / rate)
	period := slot * time.Duration(max(t.Count, 1))
	shared := after + t.Clock
	round := (shared - slot*time.Duration(t.Index)) / period
	next := round*period + slot*time.Duration(t.Index)
	for next <= shared {
		next += period
	}
	if t.Half && (int64((next-slot*time.Duration(t.Index))/period)+int64(t.Index))%2 != 0 {
		next += period
	}
	return next - t.Clock
}

// Permits are an entry's permits to send requests to endpoints with limits. It is not safe for concurrent use.
type Permits struct {
	until map[EndpointRun][]time.Duration
	// turnAt is when this entry's turn comes next, without an issuer.
	turnAt map[EndpointRun]time.Duration
}

// NewPermits returns no permits.
func NewPermits() *Permits {
	return &Permits{until: map[EndpointRun][]time.Duration{}, turnAt: map[EndpointRun]time.Duration{}}
}

// Add adds permits that were issued at a time.
func (p *Permits) Add(run EndpointRun, n int, issuedAt time.Duration) {
	for range n {
		p.until[run] = append(p.until[run], issuedAt+PermitTime)
	}
}

// Count returns the permits for an endpoint that may be used at now.
func (p *Permits) Count(run EndpointRun, now time.Duration) int {
	p.until[run] = slices.DeleteFunc(p.until[run], func(until time.Duration) bool { return until <= now })
	if len(p.until[run]) == 0 {
		delete(p.until, run)
	}
	return len(p.until[run])
}

// Take uses one permit for an endpoint, if there is one.
func (p *Permits) Take(run EndpointRun, now time.Duration) bool {
	if p.Count(run, now) == 0 {
		return false
	}
	p.until[run] = p.until[run][1:]
	return true
}

// TakeTurns adds the permits of this entry's turns that have come by now, while no issuer can be reached. A turn that isn't used
// within the slot of its endpoint is lost.
func (p *Permits) TakeTurns(run EndpointRun, rate float64, t Turn, now time.Duration) {
	at, ok := p.turnAt[run]
	if !ok {
		p.turnAt[run] = t.next(rate, now)
		return
	}
	if now < at {
		return
	}
	slot := time.Duration(float64(time.Second) / rate)
	p.until[run] = append(p.until[run], at+max(slot, minTurnTime))
	p.turnAt[run] = t.next(rate, now)
}

// minTurnTime is the least time in which a turn may be used: waiting requests are woken that often.
const minTurnTime = 20 * time.Millisecond

// EndTurns ends the turns once an issuer can be reached again.
func (p *Permits) EndTurns() { clear(p.turnAt) }

// Keep drops the permits for endpoints without a limit.
func (p *Permits) Keep(limited func(EndpointRun) bool) {
	maps.DeleteFunc(p.until, func(run EndpointRun, _ []time.Duration) bool { return !limited(run) })
	maps.DeleteFunc(p.turnAt, func(run EndpointRun, _ time.Duration) bool { return !limited(run) })
}
