package ctrl

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"egretshunt/value"
	"egretshunt/wire"
)

// Lease is how long a node may use its tables after control last confirmed that they are fresh.
const Lease = 4 * time.Second

// Roster records the revision that each downstream node has installed, and until when a node that
// has not installed a revision may still act on an older one.
//
// A node's freshness never outlasts that of the node it received it from. A relay reports every
// node behind it to its upstream; when one of them is gone, it sends a complete report, from which
// the upstream removes the nodes that are missing.
type Roster struct {
	lease time.Duration
	// id identifies this roster to downstream nodes, so that they send a complete report to a new one.
	id uint64

	// mu guards the fields below.
	mu sync.Mutex
	// reports holds the latest report of each incarnation of a node, one for each relay it came through.
	reports map[reportPath]report
	// grantedAt is when each direct downstream node was last notified that it is fresh.
	grantedAt map[string]time.Time
	// removed is set if a report was removed that the upstream may still count.
	removed bool
	// news is signalled when reports wait to be sent upstream, and when the upstream has accepted some.
	news *notifier
}

// reportPath is the path by which one incarnation of a node is reached; via is the relay, or "" for
// a direct downstream node.
type reportPath struct {
	node        string
	incarnation uint64
	via         string
}

// report is the latest report of a node on one path.
type report struct {
	ack *wire.Ack
	at  time.Time
	// sent is false while the report must still be sent upstream.
	sent bool
	// incarnation and seq are those of the pull that carried the report.
	incarnation, seq uint64
	// freshUntil is when the freshness granted to or by an earlier incarnation has expired; zero
	// while it may be renewed.
	freshUntil time.Time
	// confirmed is set once the upstream has acknowledged a report of this path.
	confirmed bool
}

// NewRoster returns an empty roster.
func NewRoster(lease time.Duration) *Roster {
	return &Roster{lease: lease, id: rand.Uint64() | 1, reports: map[reportPath]report{}, grantedAt: map[string]time.Time{}, news: newNotifier()}
}

// pathOf returns the path of a report in a pull. An earlier incarnation of the downstream node,
// which another relay reported to it, counts as a node behind it.
func pathOf(pull *wire.Pull, a *wire.Ack) reportPath {
	p := reportPath{node: a.GetNode(), incarnation: a.GetLife()}
	if a.GetNode() != pull.GetNode() || a.GetLife() != pull.GetLife() {
		p.via = pull.GetNode()
	}
	return p
}

// RecordPull records the reports in the pull of a direct downstream node.
func (r *Roster) RecordPull(pull *wire.Pull, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeDeparted(pull, now)
	notify := r.removed
	for _, a := range pull.GetAcks() {
		p := pathOf(pull, a)
		old, ok := r.reports[p]
		if ok && a.GetSeq() < old.ack.GetSeq() {
			// Pulls on several streams may arrive out of order; the later report wins.
			continue
		}
		unchanged := ok && old.sent && equalAck(old.ack, a)
		r.reports[p] = report{ack: a, at: now, sent: unchanged, confirmed: old.confirmed, incarnation: pull.GetLife(), seq: max(pull.GetSeq(), old.seq)}
		notify = notify || !unchanged
	}
	if notify {
		r.news.announce()
	}
}

// removeDeparted removes the nodes that a downstream node's pull shows to be gone: immediately
// those that a complete report of a relay no longer lists, and after a lease those that an earlier
// incarnation of the downstream node reported or granted freshness to. The caller holds mu.
func (r *Roster) removeDeparted(pull *wire.Pull, now time.Time) {
	from := pull.GetNode()
	for p, rep := range r.reports {
		if p.via != from && (p.via != "" || p.node != from) {
			continue
		}
		switch {
		case rep.incarnation != pull.GetLife():
			if rep.freshUntil.IsZero() {
				rep.freshUntil = now.Add(r.lease)
				r.reports[p] = rep
			}
		case pull.GetWhole() && p.via == from && rep.seq < pull.GetSeq():
			r.remove(p)
		}
	}
}

// remove removes a report. The caller holds mu.
func (r *Roster) remove(p reportPath) {
	delete(r.reports, p)
	r.removed = true
}

func equalAck(a, b *wire.Ack) bool {
	x, y := a.GetLoad(), b.GetLoad()
	return a.GetRev() == b.GetRev() && a.GetLife() == b.GetLife() && x.GetBoot() == y.GetBoot() && x.GetVersion() == y.GetVersion() &&
		x.GetLoading() == y.GetLoading() && x.GetLeaving() == y.GetLeaving() && x.GetDown() == y.GetDown()
}

// RecordGrant records that a direct downstream node was notified at now that it is fresh.
func (r *Roster) RecordGrant(node string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grantedAt[node] = now
}

// live reports whether the node on a path may still use the tables that it has. The caller holds mu.
func (r *Roster) live(p reportPath, now time.Time) bool {
	if freshUntil := r.reports[p].freshUntil; !freshUntil.IsZero() {
		return now.Before(freshUntil)
	}
	granter := p.via
	if granter == "" {
		granter = p.node
	}
	return now.Sub(r.grantedAt[granter]) <= r.lease
}

// Lagging returns the registered or reported nodes that may still act on a revision older than rev.
// Since is when this process began to keep the roster as leader: until a lease has passed from then,
// registered nodes that have not reported yet are included, as they may act on an older one.
func (r *Roster) Lagging(rev uint64, registered map[string]NodeRegistration, since, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	behind := value.Set[string]{}
	reported := value.Set[string]{}
	highestRevs := r.highestRevs()
	for p := range r.reports {
		reported.Add(p.node)
		if highestRevs[incarnation{p.node, p.incarnation}] < rev && r.live(p, now) {
			behind.Add(p.node)
		}
	}
	if now.Sub(since) <= r.lease {
		for name := range registered {
			if !reported.Has(name) {
				behind.Add(name)
			}
		}
	}
	return behind.Sorted()
}

// incarnation is one incarnation of a node's process.
type incarnation struct {
	node string
	id   uint64
}

// highestRevs returns the highest revision that each incarnation has reported on any path. Within one
// incarnation the installed revision never decreases, so an old report on another path is
// superseded. The caller holds mu.
func (r *Roster) highestRevs() map[incarnation]uint64 {
	revs := map[incarnation]uint64{}
	for p, rep := range r.reports {
		n := incarnation{p.node, p.incarnation}
		revs[n] = max(revs[n], rep.ack.GetRev())
	}
	return revs
}

// Pending returns the reports that have not been sent upstream and marks them as sent. With all set,
// or after a report was removed, it returns every report that has not expired, and complete is
// true.
func (r *Roster) Pending(now time.Time, all bool) (acks []*wire.Ack, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, rep := range r.reports {
		if r.expired(p, rep, now) {
			r.remove(p)
		}
	}
	complete = all || r.removed
	r.removed = false
	for p, rep := range r.reports {
		if rep.sent && !complete {
			continue
		}
		rep.sent = true
		r.reports[p] = rep
		acks = append(acks, rep.ack)
	}
	slices.SortFunc(acks, func(a, b *wire.Ack) int { return strings.Compare(a.GetNode(), b.GetNode()) })
	return acks, complete
}

// expired reports whether the node on a path is gone. A recent report is kept although nothing was
// granted yet. The caller holds mu.
func (r *Roster) expired(p reportPath, rep report, now time.Time) bool {
	return !r.live(p, now) && now.Sub(rep.at) > r.lease
}

// pending reports whether Pending would return anything.
func (r *Roster) pending(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, rep := range r.reports {
		if !rep.sent || r.expired(p, rep, now) {
			return true
		}
	}
	return r.removed
}

// RecordDelivery records whether the upstream acknowledged a pull that carried the acks.
func (r *Roster) RecordDelivery(acks []*wire.Ack, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delivered := map[incarnation]bool{}
	for _, a := range acks {
		delivered[incarnation{a.GetNode(), a.GetLife()}] = true
	}
	for p, rep := range r.reports {
		if !delivered[incarnation{p.node, p.incarnation}] {
			continue
		}
		rep.confirmed = rep.confirmed || ok
		// A report that could not be delivered is sent again.
		rep.sent = rep.sent && ok
		r.reports[p] = rep
	}
	if len(acks) > 0 {
		r.news.announce()
	}
}

// ResetConfirmed records that the upstream has changed to one that has received no reports.
func (r *Roster) ResetConfirmed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, rep := range r.reports {
		rep.confirmed, rep.sent = false, false
		r.reports[p] = rep
	}
}

// AwaitConfirmed waits until the upstream has acknowledged every report in the pull.
func (r *Roster) AwaitConfirmed(ctx context.Context, pull *wire.Pull) error {
	for {
		news := r.news.wait()
		if r.confirmed(pull) {
			return nil
		}
		select {
		case <-news:
		case <-ctx.Done():
			return Unreachable.Wrap(ctx.Err(), "wait for the upstream to acknowledge reports")
		}
	}
}

func (r *Roster) confirmed(pull *wire.Pull) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range pull.GetAcks() {
		if rep, ok := r.reports[pathOf(pull, a)]; ok && !rep.confirmed {
			return false
		}
	}
	return true
}

// RemoveStale removes paths that are not live and whose last report is over ten leases old.
func (r *Roster) RemoveStale(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, rep := range r.reports {
		if !r.live(p, now) && now.Sub(rep.at) > 10*r.lease {
			r.remove(p)
		}
	}
}

// NodeReport is the state of one node, for operators and for the owner of commands to engines.
type NodeReport struct {
	Node     string     `json:"node"`
	Role     string     `json:"role"`
	Place    string     `json:"place"`
	Rev      uint64     `json:"rev"`
	Via      string     `json:"via,omitempty"`
	Endpoint string     `json:"endpoint,omitempty"`
	Life     uint64     `json:"life"`
	Live     bool       `json:"live"`
	At       time.Time  `json:"at"`
	Load     *wire.Load `json:"load,omitempty"`
}

// NodeReports returns the latest report of each node, sorted by name.
func (r *Roster) NodeReports(now time.Time) []NodeReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := map[string]NodeReport{}
	for p, rep := range r.reports {
		e := NodeReport{
			Node: p.node, Role: rep.ack.GetRole(), Place: rep.ack.GetPlace(), Rev: rep.ack.GetRev(), Via: p.via,
			Endpoint: rep.ack.GetEndpoint(), Life: rep.ack.GetLife(), Live: r.live(p, now), At: rep.at, Load: rep.ack.GetLoad(),
		}
		// A relay forwards a node's report only when it changes; it stays valid while the relay is live.
		if p.via != "" && e.Live {
			e.At = r.grantedAt[p.via]
		}
		if old, ok := latest[p.node]; !ok || e.At.After(old.At) {
			latest[p.node] = e
		}
	}
	all := make([]NodeReport, 0, len(latest))
	for _, e := range latest {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Node < all[j].Node })
	return all
}
