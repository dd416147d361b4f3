package ctrl

import (
	"errors"
	"io"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/board"
	"egretshunt/clock"
	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/wire"
)

// Cold is what control says of cold endpoints, as an entry knows it. It is immutable. Times are by clock.Now.
type Cold struct {
	// Turn is the entry's place among all entries; its Count is zero while the entry has never had one.
	Turn limit.Turn
	// ListedAt is when the list of endpoints was read from the platform, or a little earlier; zero before the first list.
	ListedAt time.Duration
	// Until is until when endpoints are cold, by ID.
	Until map[string]time.Duration
}

// coldGuard is an entry's part of the bound on requests to cold endpoints.
type coldGuard struct {
	known atomic.Pointer[Cold]

	// Owned by the syncing goroutine. carried is what former leaders said, which the present one may not know.
	clock   limit.TurnClock
	life    uint64
	rev     uint64
	carried map[string]time.Duration
}

func newColdGuard() *coldGuard {
	g := &coldGuard{}
	g.known.Store(&Cold{})
	return g
}

// Cold returns what control says of cold endpoints. The value is the same until control says something else.
func (f *Feed) Cold() *Cold { return f.cold.known.Load() }

// install takes over the cold endpoints and the turn of a reply. The leader's state was current at a time or later.
func (g *coldGuard) install(reply *wire.Synced, current time.Duration) {
	now, was := clock.Now(), g.known.Load()
	// Within a term the latest estimate is the closest; a new leader sends the list that it has read.
	earliest := was.ListedAt
	if reply.GetLife() != g.life {
		g.life, g.carried, earliest = reply.GetLife(), was.Until, 0
	}
	next := &Cold{Turn: was.Turn, ListedAt: was.ListedAt, Until: make(map[string]time.Duration, len(reply.GetCold()))}
	for id, until := range g.carried {
		if until > now {
			next.Until[id] = until
		}
	}
	for _, c := range reply.GetCold() {
		id := c.GetEndpoint()
		next.Until[id] = max(next.Until[id], now+time.Duration(c.GetLeftMs())*time.Millisecond)
	}
	if ms := reply.GetListageMs(); ms > 0 {
		next.ListedAt = max(earliest, current-time.Duration(ms-1)*time.Millisecond)
	}
	if us := reply.GetGroupUs(); us != 0 {
		offset := g.clock.Observe(reply.GetLife(), time.Duration(us)*time.Microsecond, now)
		if reply.GetSlots() > 0 {
			next.Turn.Index, next.Turn.Count = int(reply.GetSlot()), int(reply.GetSlots())
		}
		if next.Turn.Count > 0 {
			next.Turn.Clock = offset
		}
	}
	g.rev = reply.GetColdrev()
	g.known.Store(next)
}

// coldLeader is a leader's part: what it knows of cold endpoints and of the entries that have turns.
type coldLeader struct {
	// mu guards the rest. rev counts the endpoints that became cold; listedAt is when the list was last read, zero before the first.
	mu       sync.Mutex
	warmups  *limit.Warmups
	roster   *limit.Roster
	rev      uint64
	listedAt time.Duration
	// coldTimes are those of the endpoints with a bound.
	coldTimes map[string]time.Duration
	// cold are the endpoints that were cold when the list was last read.
	cold map[limit.EndpointRun]bool
}

func newColdLeader(beganAt time.Duration) *coldLeader {
	return &coldLeader{warmups: limit.NewWarmups(), roster: limit.NewRoster(beganAt), coldTimes: map[string]time.Duration{}, cold: map[limit.EndpointRun]bool{}}
}

// record records a sync, and turn returns the place of its entry. They take their own lock.
func (c *coldLeader) record(entry string, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roster.Record(entry, now)
}

// hasNews reports whether endpoints have become cold since a sync's revision. Entries that know of no cold endpoints name none.
func (c *coldLeader) hasNews(req *wire.Sync) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return req.GetColdrev() > 0 && c.rev >= req.GetColdrev()
}

// addTo adds the cold endpoints and the entry's turn to a reply.
func (c *coldLeader) addTo(reply *wire.Synced, entry string, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.roster.Turn(entry, now)
	reply.Slot, reply.Slots, reply.Coldrev = uint32(t.Index), uint32(t.Count), c.rev
	if c.listedAt != 0 {
		reply.ListageMs = uint32((now - c.listedAt).Milliseconds()) + 1
	}
	for _, r := range c.warmups.Cold(now) {
		// Rounded up: it must not seem warm too early.
		reply.Cold = append(reply.Cold, &wire.Cold{Endpoint: r.ID, Born: r.Born, LeftMs: uint32(min(r.Left.Milliseconds()+1, maxColdMs))})
	}
}

// maxColdMs bounds the time for which endpoints are said to be cold, in milliseconds: each list extends it.
const maxColdMs = 60_000

// list records a list before it is published, and reports whether further endpoints are cold.
func (c *coldLeader) list(endpoints []member.Endpoint, set *board.Set, askedAt, now time.Duration) (news bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := make([]limit.ListedRun, 0, len(endpoints))
	c.coldTimes = map[string]time.Duration{}
	for _, e := range endpoints {
		r := limit.ListedRun{EndpointRun: limit.EndpointRun{ID: e.ID, Born: e.Born}}
		if p := poolOf(set, e.Pool); p != nil && p.ColdRate > 0 {
			r.WarmupLeft, r.ColdTime = e.WarmupLeft, p.ColdTime
			c.coldTimes[e.ID] = p.ColdTime
		}
		runs = append(runs, r)
	}
	c.warmups.List(runs, askedAt, now)
	cold := map[limit.EndpointRun]bool{}
	for _, r := range c.warmups.Cold(now) {
		cold[r.EndpointRun] = true
		news = news || !c.cold[r.EndpointRun]
	}
	c.cold = cold
	if news {
		c.rev++
	}
	return news
}

// setListed records that the list of a call at a time was published.
func (c *coldLeader) setListed(askedAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listedAt = askedAt
}

func poolOf(set *board.Set, name string) *board.Pool {
	if set == nil {
		return nil
	}
	return set.Pool(name)
}

// restart records that an endpoint's process has ended, or recover that it hasn't; it reports whether that wasn't known.
func (c *coldLeader) restart(id string, now time.Duration) (news bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	coldTime, bounded := c.coldTimes[id]
	if !bounded || !c.warmups.Restart(id, coldTime, now) {
		return false
	}
	c.rev++
	return true
}

func (c *coldLeader) recover(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warmups.Recover(id)
}

// observeCold records what a list says of cold endpoints. set is the table set that was last in force.
func (lt *leaderTerm) observeCold(endpoints []member.Endpoint, set *board.Set, askedAt time.Duration) {
	if lt.cold.list(endpoints, set, askedAt, clock.Now()) {
		lt.hub.changed.announce()
	}
}

// recordProcess records what an answer of an engine, or its failure, says of the engine's process.
func (lt *leaderTerm) recordProcess(at netip.AddrPort, p processSign) {
	l := lt.List()
	if l == nil || p == processUnknown {
		return
	}
	e := l.At(at)
	if e == nil {
		return
	}
	if p == processSame {
		lt.cold.recover(e.ID)
		return
	}
	if lt.cold.restart(e.ID, clock.Now()) {
		lt.tasks.config.Events.Emit(event.ColdSeen, "endpoint", e.ID, "pool", e.Pool, "born", e.Born)
		lt.hub.changed.announce()
	}
}

// processSign is what a call to an engine shows of its process.
type processSign int

const (
	processUnknown processSign = iota
	// processSame is the process that answered before, processEnded one that has ended or was replaced.
	processSame
	processEnded
)

// signOf returns what the outcome of a call shows, whose answer may be of another process than the one before.
func signOf(err error, replaced, same bool) processSign {
	switch {
	case replaced, err != nil && isConnEnd(err):
		return processEnded
	case same:
		return processSame
	}
	return processUnknown
}

// isConnEnd reports whether an error says that a peer refused or ended the connection. A time-out doesn't: the peer may be slow.
func isConnEnd(err error) bool {
	for err != nil {
		if slices.ContainsFunc(connEnds, func(end error) bool { return errors.Is(err, end) }) {
			return true
		}
		// errors.Is doesn't look into causes that an error of another layer hides.
		layer := errorx.Cast(err)
		if layer == nil {
			return false
		}
		err = layer.Cause()
	}
	return false
}

// connEnds are the errors of connections that the peer refused or ended.
var connEnds = []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF}
