package limit

import (
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// maxTurnValidity is the longest time for which a turn may be used, and minTurnValidity the shortest: waiting requests are
	// woken every 20 ms.
	maxTurnValidity = 250 * time.Millisecond
	minTurnValidity = 50 * time.Millisecond
	// turnTolerance is by how much a turn may come early after the one before, as the estimate of the shared time changes.
	turnTolerance = 50 * time.Millisecond
	// staleEntries is the ratio of the entries that there are to those that some of them know, up to which the bound holds.
	staleEntries = 1.5
	// lateRequests is how many requests that were delayed on their way the bound leaves room for, if it allows several.
	lateRequests = 2
	// minColdRate and maxColdRate bound the rate of turns at one endpoint, a second; there are none below.
	minColdRate, maxColdRate = 1e-3, 1e6

	// RosterTime is how long an entry counts for turns after its last sync: one without contact to control still sends.
	RosterTime = 10 * time.Second
	// RosterDelay is how long a new leader assigns no turns: it doesn't know all entries yet.
	RosterDelay = 3 * time.Second
	// rosterPause is the time without a sync after which a leader must have been cut off: each entry syncs several times a second.
	rosterPause = 2 * time.Second

	// rosterCheck is how often entries without contact are dropped.
	rosterCheck = 100 * time.Millisecond

	// MaxListAge is the age of a list from which all endpoints with a bound count as cold.
	MaxListAge = 2 * time.Second
	// restartNotice is the remaining coldness up to which a further restart is told at once: longer than entries go without a sync.
	restartNotice = 500 * time.Millisecond
	// evacuatedColdTime is how long after the end of their data centre's evacuation endpoints count as cold.
	evacuatedColdTime = 3 * time.Second
)

// ColdBound is how many requests a cold endpoint may receive from all entries together: in any second at most Rate x Excess + Slack.
// Without a positive Rate there is no bound.
type ColdBound struct {
	// Rate is in requests a second.
	Rate, Excess, Slack float64
}

// Bounded reports whether there is a bound.
func (b ColdBound) Bounded() bool { return b.Rate > 0 }

// Most returns the most requests that an endpoint may receive in any second.
func (b ColdBound) Most() float64 { return max(b.Rate, 0)*max(b.Excess, 0) + max(b.Slack, 0) }

// ColdPace is how often there are turns at a cold endpoint, and for how long each may be used.
type ColdPace struct {
	// Rate is in turns a second of all entries together; zero means that nothing is sent.
	Rate     float64
	Validity time.Duration
}

// Pace returns the pace of turns with which the bound holds.
//
// In any second the turns that may be used are those of 1 s + Validity. Entries that count fewer entries than there are use up to
// staleEntries times as many. What the bound allows beyond the rate is divided between the two: an Excess of 1.5 and a Slack of 5 give
// turns of 0.1 s at 20 requests a second.
func (b ColdBound) Pace() ColdPace {
	most := math.Floor(b.Most())
	if b.Rate < minColdRate || most < 1 {
		return ColdPace{}
	}
	rate := min(b.Rate, maxColdRate)
	usable := max(most-lateRequests, min(most, 1)) / staleEntries
	validity := min(max(usable/rate-1, minTurnValidity.Seconds()), maxTurnValidity.Seconds())
	return ColdPace{Rate: min(rate, usable/(1+validity)), Validity: time.Duration(validity * float64(time.Second))}
}

// After returns the turn of an entry that hasn't heard from control for some time. Once another leader may have given its turns to others, it
// uses each second one: however many entries are without contact, all together send half as much again at most.
func (t Turn) After(silence time.Duration) Turn {
	t.Half = silence > RosterDelay
	return t
}

// at returns the turn of the same entry at an endpoint. Endpoints have their turns at different times, so that those of one entry
// don't all come at once.
func (t Turn) at(id string) Turn {
	h := fnv.New32a()
	h.Write([]byte(id))
	if t.Count > 0 {
		t.Index = (t.Index + int(h.Sum32()%uint32(t.Count))) % t.Count
	}
	return t
}

// period returns the time between two turns of one entry.
func (t Turn) period(rate float64) time.Duration {
	period := time.Duration(float64(time.Second)/rate) * time.Duration(max(t.Count, 1))
	if t.Half {
		period *= 2
	}
	return period
}

// ColdTurns are the turns of one entry at cold endpoints, which send no more in sum than the endpoints' pace.
//
// The load pattern is endpoints that start again while all entries have requests: they look idle, and would get more than
// they can take until they crash. A turn costs no message, and goes on without control.
// ColdTurns is not safe for concurrent use.
type ColdTurns struct {
	// began is when this entry began: turns before that may have been used by its former process.
	began time.Duration
	used  map[string]time.Duration
}

// NewColdTurns returns the turns of an entry that begins now.
func NewColdTurns(now time.Duration) *ColdTurns {
	return &ColdTurns{began: now, used: map[string]time.Duration{}}
}

// first returns the first turn at an endpoint that isn't used or lost.
func (c *ColdTurns) first(id string, p ColdPace, t Turn, now time.Duration) time.Duration {
	after := max(now-p.Validity, c.began)
	if used, ok := c.used[id]; ok {
		// Whenever entries come or go, all turns move. No entry has more of them for that, also while many come one by one. The estimate of
		// the shared time changes a little meanwhile.
		whole := t
		whole.Half = false
		period := whole.period(p.Rate)
		after = max(after, used+period-min(period/2, turnTolerance))
	}
	return t.at(id).next(p.Rate, after)
}

// Count returns how many requests may be sent now to a cold endpoint.
func (c *ColdTurns) Count(id string, p ColdPace, t Turn, now time.Duration) int {
	if p.Rate <= 0 || t.Count <= 0 {
		return 0
	}
	first := c.first(id, p, t, now)
	if first > now {
		return 0
	}
	return 1 + int((now-first)/max(t.period(p.Rate), 1))
}

// Take uses one of the turns that Count counts, the oldest.
func (c *ColdTurns) Take(id string, p ColdPace, t Turn, now time.Duration) bool {
	if c.Count(id, p, t, now) == 0 {
		return false
	}
	c.used[id] = c.first(id, p, t, now)
	return true
}

// Next returns in what time the first turn comes that can be used, and the time between turns; false if there is none.
func (c *ColdTurns) Next(id string, p ColdPace, t Turn, now time.Duration) (next TurnTimes, ok bool) {
	if p.Rate <= 0 || t.Count <= 0 {
		return TurnTimes{}, false
	}
	return TurnTimes{First: max(c.first(id, p, t, now)-now, 0), Period: t.period(p.Rate)}, true
}

// Keep drops the turns at endpoints that aren't listed any more.
func (c *ColdTurns) Keep(listed func(id string) bool) {
	for id := range c.used {
		if !listed(id) {
			delete(c.used, id)
		}
	}
}

// TurnTimes is when an entry's turns at one endpoint come: the first in some time, and then one in each period.
type TurnTimes struct{ First, Period time.Duration }

// TurnWait returns in what time a request gets a turn before which ahead others get one each, up to a longest time.
func TurnWait(turns []TurnTimes, ahead int, longest time.Duration) time.Duration {
	const step = 5 * time.Millisecond
	n := sort.Search(int(longest/step), func(i int) bool {
		within, count := time.Duration(i)*step, 0
		for _, t := range turns {
			if t.First <= within {
				count += 1 + int((within-t.First)/max(t.Period, 1))
			}
		}
		return count > ahead
	})
	return min(time.Duration(n)*step, longest)
}

// ColdSigns is what an entry knows of whether an endpoint with a bound is cold. All times are of the entry's own clock.
type ColdSigns struct {
	// Until is until when the list, or control, says that the endpoint is cold.
	Until time.Duration
	// LostAt is when this entry last saw that the endpoint's process had ended; zero if it hasn't.
	LostAt time.Duration
	// ListedAt is when the list was read from the platform, ListLag how old it may have been then.
	ListedAt, ListLag time.Duration
}

// Cold reports whether the endpoint counts as cold at a time, and until when; zero if that isn't known.
func (s ColdSigns) Cold(now time.Duration) (until time.Duration, cold bool) {
	switch {
	case now-s.ListedAt > MaxListAge, s.LostAt != 0 && s.ListedAt <= s.LostAt+s.ListLag:
		return 0, true
	}
	return s.Until, now < s.Until
}

// ColdAfterEvacuation returns for how much longer endpoints count as cold whose data centre's evacuation ended some time ago: they may
// have been without requests for long.
func ColdAfterEvacuation(endedFor time.Duration) time.Duration {
	return min(max(evacuatedColdTime-endedFor, 0), evacuatedColdTime)
}

// ListedRun is an incarnation of an endpoint as the list shows it: cold for WarmupLeft, and for ColdTime after its start.
type ListedRun struct {
	EndpointRun
	WarmupLeft, ColdTime time.Duration
}

// ColdRun is an incarnation that is cold for some time yet.
type ColdRun struct {
	EndpointRun
	Left time.Duration
}

// Warmups is what a leader knows of cold endpoints. It is not safe for concurrent use.
type Warmups struct {
	// known is set once a list was read: which of its incarnations are new isn't known.
	known bool
	runs  map[string]warmup
	// cold holds the IDs of those that may be cold: few of many, which each sync asks for.
	cold map[string]bool
}

// warmup is until when an endpoint is cold: as the list says, since its incarnation is new, and since it was seen to have restarted.
type warmup struct {
	born                     int64
	listed, fresh, restarted time.Duration
}

func (w warmup) until() time.Duration { return max(w.listed, w.fresh, w.restarted) }

// NewWarmups returns the knowledge of a leader that has seen no list.
func NewWarmups() *Warmups { return &Warmups{runs: map[string]warmup{}, cold: map[string]bool{}} }

// List records a list that was read by a call at a time.
func (w *Warmups) List(runs []ListedRun, askedAt, now time.Duration) {
	next := make(map[string]warmup, len(runs))
	clear(w.cold)
	for _, r := range runs {
		was, known := w.runs[r.ID]
		if known && was.born != r.Born || !known && w.known {
			was = warmup{fresh: now + r.ColdTime}
		}
		was.born, was.listed = r.Born, 0
		if r.WarmupLeft > 0 {
			was.listed = askedAt + r.WarmupLeft
		}
		if next[r.ID] = was; was.until() > now {
			w.cold[r.ID] = true
		}
	}
	w.runs, w.known = next, true
}

// Restart records that an endpoint's process has ended, and reports whether entries must learn of it at once: they don't know it, or what they
// know is about to expire. It counts until coldTime has passed, or the list shows another incarnation.
func (w *Warmups) Restart(id string, coldTime, now time.Duration) (news bool) {
	r, ok := w.runs[id]
	if !ok || coldTime <= 0 {
		return false
	}
	news = r.until()-now <= restartNotice
	r.restarted = now + coldTime
	w.runs[id], w.cold[id] = r, true
	return news
}

// Recover records that an endpoint that had seemed to end is the same process as before.
func (w *Warmups) Recover(id string) {
	if r, ok := w.runs[id]; ok {
		r.restarted = 0
		w.runs[id] = r
	}
}

// Cold returns the incarnations that are cold.
func (w *Warmups) Cold(now time.Duration) []ColdRun {
	var cold []ColdRun
	for id := range w.cold {
		r := w.runs[id]
		left := r.until() - now
		if left <= 0 {
			delete(w.cold, id)
			continue
		}
		cold = append(cold, ColdRun{EndpointRun{id, r.born}, left})
	}
	return cold
}

// Roster is the entries that have turns, as a leader knows them. An entry keeps its place while others come and go, so that their turns
// don't move. It is not safe for concurrent use.
type Roster struct {
	// beganAt is when the leader last began to learn of entries, heardAt when it last heard from one.
	beganAt, heardAt time.Duration
	entries          map[string]*rosterEntry
	// count is the number of places; zero if they are to be assigned anew. checkedAt is when entries were last dropped.
	count     int
	checkedAt time.Duration
}

// rosterEntry is one entry; its place is -1 before it has one.
type rosterEntry struct {
	seenAt time.Duration
	place  int
}

// NewRoster returns the roster of a leader whose term began at a time.
func NewRoster(beganAt time.Duration) *Roster {
	return &Roster{beganAt: beganAt, heardAt: beganAt, entries: map[string]*rosterEntry{}}
}

// Record records that an entry is in contact. A leader that heard from nobody for some time was cut off or frozen, and begins anew.
func (r *Roster) Record(entry string, now time.Duration) {
	if now-r.heardAt > rosterPause {
		r.beganAt = now
	}
	r.heardAt = now
	e, ok := r.entries[entry]
	if !ok {
		e = &rosterEntry{place: -1}
		r.entries[entry], r.count = e, 0
	}
	e.seenAt = now
}

// Turn returns the place of an entry in contact among the entries that count. Count is zero while that isn't known.
func (r *Roster) Turn(entry string, now time.Duration) (t Turn) {
	e := r.entries[entry]
	if e == nil || now-r.beganAt < RosterDelay {
		return Turn{}
	}
	if now-r.checkedAt > rosterCheck {
		r.checkedAt = now
		maps.DeleteFunc(r.entries, func(_ string, e *rosterEntry) bool {
			gone := now-e.seenAt > RosterTime
			if gone {
				r.count = 0
			}
			return gone
		})
	}
	if r.count == 0 {
		r.assign()
		r.count = turnPlaces(r.places())
	}
	return Turn{Index: e.place, Count: r.count}
}

// assign gives places to all that have none, and others to all once many have gone.
func (r *Roster) assign() {
	names := slices.Sorted(maps.Keys(r.entries))
	moved := r.places() > turnPlaces(len(names))
	free := 0
	taken := map[int]bool{}
	for _, e := range r.entries {
		taken[e.place] = !moved
	}
	for _, name := range names {
		if e := r.entries[name]; moved || e.place < 0 {
			for taken[free] {
				free++
			}
			e.place = free
			free++
		}
	}
}

// places returns the number of places up to the last that is taken.
func (r *Roster) places() int {
	n := 0
	for _, e := range r.entries {
		n = max(n, e.place+1)
	}
	return n
}

// turnPlaces returns how many places there are for some entries: up to an eighth more, so that the turns of all don't move for each that
// is added.
func turnPlaces(entries int) int {
	step := 1
	for 16*step < entries {
		step *= 2
	}
	return (entries + step - 1) / step * step
}

// maxTurnClockAge is how long the best estimate of the shared time counts: clocks drift.
const maxTurnClockAge = 10 * time.Second

// TurnClock estimates the shared time of turns from messages of one leader. What delays a message makes the time in it old, so that
// the one that took least counts. The zero value knows nothing.
type TurnClock struct {
	term   uint64
	offset time.Duration
	at     time.Duration
}

// Observe records the shared time in a message that arrived now, of a leader's term, and returns the shared time when the own time is
// zero.
func (c *TurnClock) Observe(term uint64, shared, now time.Duration) time.Duration {
	if offset := shared - now; term != c.term || offset > c.offset || now-c.at > maxTurnClockAge {
		*c = TurnClock{term, offset, now}
	}
	return c.offset
}
