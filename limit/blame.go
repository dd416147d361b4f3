package limit

import "time"

const (
	// BlameCount is how many endpoints a request may break before it is refused.
	BlameCount = 3
	// blameGap is the least time between two breaks that count: endpoints that go down together,
	// or a link that resets, take the same request along several times at once.
	blameGap = time.Second
	// blameSpan is how long a break counts. A crashed endpoint is back after some seconds, and
	// a caller that resends has done so by then.
	blameSpan = time.Minute
	// BlameTime is how long a request is refused after its last break.
	BlameTime = time.Minute
	// maxBlamed bounds the requests remembered; the oldest go first.
	maxBlamed = 4096
)

// Blame finds requests that crash the endpoints that run them, from the answers that broke off
// under them. It answers the pattern of one request that comes again at any entry and takes
// down one endpoint after another, with all that runs beside it. It is not safe for concurrent use.
type Blame struct {
	list map[string]blamed
}

// blamed is one request, known by its print.
type blamed struct {
	breaks  int
	last    time.Duration
	refused time.Duration
}

// NewBlame returns an empty record.
func NewBlame() *Blame { return &Blame{list: map[string]blamed{}} }

// Broke notes that an endpoint broke off under a request; now counts from any fixed moment.
// It reports whether the request is refused from now on.
func (b *Blame) Broke(print string, now time.Duration) bool {
	p, known := b.list[print]
	switch {
	case known && now-p.last < blameGap:
		return p.refused > now
	case known && now-p.last > blameSpan:
		p = blamed{}
	case !known && len(b.list) >= maxBlamed:
		b.trim(now)
	}
	p.breaks++
	p.last = now
	if p.breaks >= BlameCount {
		p.refused = now + BlameTime
	}
	b.list[print] = p
	return p.refused > now
}

// Refused returns the prints that are refused now.
func (b *Blame) Refused(now time.Duration) []string {
	var prints []string
	for print, p := range b.list {
		if p.refused > now {
			prints = append(prints, print)
		}
	}
	return prints
}

// trim forgets what no longer counts, and the oldest if that is nothing.
func (b *Blame) trim(now time.Duration) {
	oldest := ""
	for print, p := range b.list {
		if now-p.last > blameSpan && p.refused <= now {
			delete(b.list, print)
			continue
		}
		if oldest == "" || p.last < b.list[oldest].last || p.last == b.list[oldest].last && print < oldest {
			oldest = print
		}
	}
	if len(b.list) >= maxBlamed {
		delete(b.list, oldest)
	}
}
