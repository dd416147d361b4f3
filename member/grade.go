package member

import (
	"time"

	"egretshunt/value"
)

const (
	// gradeWindow is how many of the latest outcomes are judged.
	gradeWindow = 16
	// gradeAge is how long an outcome counts.
	gradeAge = 6 * time.Second
	// gradeLeast is how many failures it takes at least.
	gradeLeast = 3
	// gradeShare is the share of failures above which an endpoint is unfit; plain services fail
	// some requests by nature.
	gradeShare = 0.34
	// gradeBan is how long an unfit endpoint gets no work before it is tried again.
	gradeBan = 1500 * time.Millisecond
	// gradeMaxBan bounds the time, which doubles with each failed trial.
	gradeMaxBan = 6 * time.Second
)

// Grade judges an endpoint by what became of the requests sent to it, whatever its health
// check says. The zero value is an endpoint never used. Not safe for concurrent use.
//
// It answers the pattern of endpoints that fail or swallow part of their work while they
// look healthy.
type Grade struct {
	outcomes [gradeWindow]outcome
	next     int
	ban      time.Duration
	until    time.Time
	trial    bool
}

type outcome struct {
	at   time.Time
	fail bool
}

// Note takes what became of one request and reports whether the endpoint was found unfit by it.
func (g *Grade) Note(now time.Time, fail bool) bool {
	g.outcomes[g.next] = outcome{now, fail}
	g.next = (g.next + 1) % gradeWindow
	if g.trial {
		g.trial = false
		if fail {
			g.exclude(now)
			return true
		}
		g.ban = 0
		g.outcomes = [gradeWindow]outcome{}
		return false
	}
	if !fail || now.Before(g.until) {
		return false
	}
	fails, all := 0, 0
	for _, o := range g.outcomes {
		if o.at.IsZero() || now.Sub(o.at) > gradeAge {
			continue
		}
		all++
		if o.fail {
			fails++
		}
	}
	if fails < gradeLeast || float64(fails) < gradeShare*float64(all) {
		return false
	}
	g.exclude(now)
	return true
}

func (g *Grade) exclude(now time.Time) {
	g.ban = min(max(2*g.ban, gradeBan), gradeMaxBan)
	g.until = now.Add(g.ban)
}

// Fit reports whether the endpoint may get work; an unfit one gets a single request as a
// trial each time its ban ends.
func (g *Grade) Fit(now time.Time) bool {
	return g.ban == 0 || now.After(g.until) && !g.trial
}

// Drop notes that a request ended without telling anything, as when its caller left.
func (g *Grade) Drop() { g.trial = false }

// Sent notes that a request goes to the endpoint.
func (g *Grade) Sent(now time.Time) {
	if g.ban > 0 && now.After(g.until) {
		g.trial = true
	}
}

// condemnVotes is how many entries must judge an endpoint unfit for all others to believe it.
const condemnVotes = 2

// Condemned reports whether an endpoint that some of the entries judge unfit is taken to be
// so by all: a single one may be cut off from it.
//
// It answers the pattern of endpoints that fall silent: each entry would lose requests to
// them until it had found out by itself.
func Condemned(votes, entries int) bool {
	return votes >= condemnVotes && 3*votes >= entries
}

// silentCalls is how many calls in a row an endpoint leaves unanswered before it is believed
// to be silent: one may be lost on the way.
const silentCalls = 2

// Silent lists the endpoints that answer nobody, given how many calls in a row each of those
// followed has left unanswered. With more than half of them silent the caller is taken to be
// the one that is cut off.
//
// It answers the pattern of engines that lose power: their connections hang, and each entry
// would send them work until its own requests had timed out.
func Silent(missed map[string]int) value.Set[string] {
	silent := value.SetOf[string]()
	for k, n := range missed {
		if n >= silentCalls {
			silent.Add(k)
		}
	}
	if 2*len(silent) > len(missed) {
		return value.SetOf[string]()
	}
	return silent
}
