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

// Lease is how long a node may trust its tables after control last said that they are fresh.
const Lease = 4 * time.Second

// Roster knows which revision each downstream node has installed, and until when
// a node that has not installed it may still act on an older one.
//
// A node's freshness never outlives that of the process it got it from. A relay
// tells its upstream of every node behind it; whenever one is gone, it tells
// everything again, so that what it no longer names is gone upstream too.
type Roster struct {
	lease time.Duration
	// id tells downstreams that they speak to another roster, which knows nothing yet.
	id uint64

	// mu guards the rest.
	mu sync.Mutex
	// seen holds the latest report of each run of a node, one for each process it came through.
	seen map[path]report
	// granted is when each direct downstream was last told that it is fresh.
	granted map[string]time.Time
	// dropped is set when a report was let go that the upstream may still count.
	dropped bool
	// news is announced when reports wait for the upstream, and when it took some.
	news *notice
}

// path is one way by which one run of a node is reached; via is "" for direct ones.
type path struct {
	node string
	life uint64
	via  string
}

// report is the latest word of a node on one path.
type report struct {
	ack *wire.Ack
	at  time.Time
	// sent is false while the report must still go upstream.
	sent bool
	// life and seq are those of the pull that carried the report.
	life, seq uint64
	// until is when freshness given by or to an earlier run has surely run out; zero while it may be renewed.
	until time.Time
	// proven is true once the upstream has answered a report of this path.
	proven bool
}

// NewRoster returns a roster that knows nobody.
func NewRoster(lease time.Duration) *Roster {
	return &Roster{lease: lease, id: rand.Uint64() | 1, seen: map[path]report{}, granted: map[string]time.Time{}, news: newNotice()}
}

// pathOf returns the path of a report that came with a pull. An earlier run of the
// downstream itself, which another relay told it of, is behind it like any other.
func pathOf(pull *wire.Pull, a *wire.Ack) path {
	p := path{node: a.GetNode(), life: a.GetLife()}
	if a.GetNode() != pull.GetNode() || a.GetLife() != pull.GetLife() {
		p.via = pull.GetNode()
	}
	return p
}

// Note takes the acks of a direct downstream's pull.
func (r *Roster) Note(pull *wire.Pull, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(pull, now)
	fresh := r.dropped
	for _, a := range pull.GetAcks() {
		p := pathOf(pull, a)
		old, ok := r.seen[p]
		if ok && a.GetSeq() < old.ack.GetSeq() {
			// Streams overtake each other; the later word stands.
			continue
		}
		same := ok && old.sent && equalAck(old.ack, a)
		r.seen[p] = report{ack: a, at: now, sent: same, proven: old.proven, life: pull.GetLife(), seq: max(pull.GetSeq(), old.seq)}
		fresh = fresh || !same
	}
	if fresh {
		r.news.announce()
	}
}

// forget lets go what a downstream's pull shows to be gone: at once what a relay
// no longer names, and after a lease what an earlier run of the downstream had, or
// had told others to be fresh. The caller holds mu.
func (r *Roster) forget(pull *wire.Pull, now time.Time) {
	from := pull.GetNode()
	for p, rep := range r.seen {
		if p.via != from && (p.via != "" || p.node != from) {
			continue
		}
		switch {
		case rep.life != pull.GetLife():
			if rep.until.IsZero() {
				rep.until = now.Add(r.lease)
				r.seen[p] = rep
			}
		case pull.GetWhole() && p.via == from && rep.seq < pull.GetSeq():
			r.drop(p)
		}
	}
}

// drop lets a report go. The caller holds mu.
func (r *Roster) drop(p path) {
	delete(r.seen, p)
	r.dropped = true
}

func equalAck(a, b *wire.Ack) bool {
	x, y := a.GetLoad(), b.GetLoad()
	return a.GetRev() == b.GetRev() && a.GetLife() == b.GetLife() && x.GetBoot() == y.GetBoot() && x.GetVersion() == y.GetVersion() &&
		x.GetLoading() == y.GetLoading() && x.GetLeaving() == y.GetLeaving() && x.GetDown() == y.GetDown()
}

// Grant notes that a direct downstream was told at now that it is fresh.
func (r *Roster) Grant(node string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.granted[node] = now
}

// live reports whether a node on a path may still trust what it has.
func (r *Roster) live(p path, now time.Time) bool {
	if until := r.seen[p].until; !until.IsZero() {
		return now.Before(until)
	}
	giver := p.via
	if giver == "" {
		giver = p.node
	}
	return now.Sub(r.granted[giver]) <= r.lease
}

// Lagging returns the nodes, of those registered, that may still act on a
// revision older than rev. Since is when this process began to keep the roster
// as leader: before a lease has passed, a node not heard may be such a one.
func (r *Roster) Lagging(rev uint64, registered map[string]Joined, since, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	behind := value.Set[string]{}
	heard := value.Set[string]{}
	reached := r.reached()
	for p := range r.seen {
		heard.Add(p.node)
		if reached[life{p.node, p.life}] < rev && r.live(p, now) {
			behind.Add(p.node)
		}
	}
	if now.Sub(since) <= r.lease {
		for name := range registered {
			if !heard.Has(name) {
				behind.Add(name)
			}
		}
	}
	return behind.Sorted()
}

// life is one run of a node's process.
type life struct {
	node string
	id   uint64
}

// reached returns the highest revision that each life has reported on any path:
// within one life the installed revision never falls, so that an old report on
// another path says nothing against it. The caller holds mu.
func (r *Roster) reached() map[life]uint64 {
	top := map[life]uint64{}
	for p, rep := range r.seen {
		l := life{p.node, p.life}
		top[l] = max(top[l], rep.ack.GetRev())
	}
	return top
}

// Pending returns the reports that the upstream has not been told; with all set, or
// when something is gone, every live report, and whole is true.
func (r *Roster) Pending(now time.Time, all bool) (acks []*wire.Ack, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, rep := range r.seen {
		if r.expired(p, rep, now) {
			r.drop(p)
		}
	}
	whole = all || r.dropped
	r.dropped = false
	for p, rep := range r.seen {
		if rep.sent && !whole {
			continue
		}
		rep.sent = true
		r.seen[p] = rep
		acks = append(acks, rep.ack)
	}
	slices.SortFunc(acks, func(a, b *wire.Ack) int { return strings.Compare(a.GetNode(), b.GetNode()) })
	return acks, whole
}

// expired reports whether a path is gone; a report that came moments ago is not,
// though nothing was granted yet. The caller holds mu.
func (r *Roster) expired(p path, rep report, now time.Time) bool {
	return !r.live(p, now) && now.Sub(rep.at) > r.lease
}

// pending reports whether Pending would return anything.
func (r *Roster) pending(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, rep := range r.seen {
		if !rep.sent || r.expired(p, rep, now) {
			return true
		}
	}
	return r.dropped
}

// Took notes whether the upstream answered a pull that carried the acks.
func (r *Roster) Took(acks []*wire.Ack, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	carried := map[life]bool{}
	for _, a := range acks {
		carried[life{a.GetNode(), a.GetLife()}] = true
	}
	for p, rep := range r.seen {
		if !carried[life{p.node, p.life}] {
			continue
		}
		rep.proven = rep.proven || ok
		// What could not be sent is sent again.
		rep.sent = rep.sent && ok
		r.seen[p] = rep
	}
	if len(acks) > 0 {
		r.news.announce()
	}
}

// Unprove notes that the upstream is another one, which knows nothing yet.
func (r *Roster) Unprove() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, rep := range r.seen {
		rep.proven, rep.sent = false, false
		r.seen[p] = rep
	}
}

// Await waits until the upstream knows of every path that the pull has told of.
func (r *Roster) Await(ctx context.Context, pull *wire.Pull) error {
	for {
		news := r.news.wait()
		if r.proven(pull) {
			return nil
		}
		select {
		case <-news:
		case <-ctx.Done():
			return Unreachable.Wrap(ctx.Err(), "wait for the upstream to take reports")
		}
	}
}

func (r *Roster) proven(pull *wire.Pull) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range pull.GetAcks() {
		if rep, ok := r.seen[pathOf(pull, a)]; ok && !rep.proven {
			return false
		}
	}
	return true
}

// Prune forgets paths that have not been live for long.
func (r *Roster) Prune(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, rep := range r.seen {
		if !r.live(p, now) && now.Sub(rep.at) > 10*r.lease {
			r.drop(p)
		}
	}
}

// Entry describes one node to operators and to the owner of orders.
type Entry struct {
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

// Entries returns the latest report of each node, sorted by name.
func (r *Roster) Entries(now time.Time) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := map[string]Entry{}
	for p, rep := range r.seen {
		e := Entry{
			Node: p.node, Role: rep.ack.GetRole(), Place: rep.ack.GetPlace(), Rev: rep.ack.GetRev(), Via: p.via,
			Endpoint: rep.ack.GetEndpoint(), Life: rep.ack.GetLife(), Live: r.live(p, now), At: rep.at, Load: rep.ack.GetLoad(),
		}
		// A relay repeats a child's report only when it changes; while the relay lives, the report stands.
		if p.via != "" && e.Live {
			e.At = r.granted[p.via]
		}
		if old, ok := latest[p.node]; !ok || e.At.After(old.At) {
			latest[p.node] = e
		}
	}
	all := make([]Entry, 0, len(latest))
	for _, e := range latest {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Node < all[j].Node })
	return all
}
