package pass

import (
	"context"
	"time"

	"egretshunt/clock"
	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/route"
)

const (
	// fallbackAge is how long control may be silent before entries read the endpoint list
	// themselves.
	fallbackAge = 1500 * time.Millisecond
	// fallbackTTL is how long a list that the entry read is used while control is silent.
	fallbackTTL = 15 * time.Second
	// listPageSize is the least number of endpoints that one call to the platform's list returns.
	listPageSize = 50
)

type fallbackList struct {
	list *member.List
	at   time.Time
	// askedAt is when the call for it began, by clock.Now.
	askedAt time.Duration
}

// fallbackDue reports whether this entry should read the endpoint list now.
func (e *Entry) fallbackDue(now time.Time) bool {
	// Without tables the entry serves nothing, whatever is listed.
	if e.config.Fallback == nil || e.config.View.View().Set == nil {
		return false
	}
	silence := min(e.config.View.Age(), now.Sub(e.started)) - fallbackAge
	listed := 0
	if list := e.list(); list != nil {
		listed = len(list.Endpoints)
	}
	reads := limit.SharedReads{
		Readers: e.config.View.EntryCount(), CallsPerSecond: e.config.ListCallsPerSecond, Calls: 1 + listed/listPageSize,
		Place: route.UniformHash(e.config.Node),
	}
	var last time.Duration
	if read := e.fallback.Load(); read != nil {
		last = now.Sub(read.at)
	}
	return reads.Due(silence, last, e.fallback.Load() != nil)
}

// refreshFallback reads the endpoint list from the fallback source.
func (e *Entry) refreshFallback(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	askedAt := clock.Now()
	endpoints, err := e.config.Fallback(ctx)
	if err != nil {
		e.config.Events.Emit(event.ListUnreadable, "source", "own", "err", err)
		return
	}
	e.fallback.Store(&fallbackList{list: (&member.List{Endpoints: endpoints}).Index(), at: time.Now(), askedAt: askedAt})
}

// list returns the best available endpoint list: control's, or the entry's own while control is
// silent.
func (e *Entry) list() *member.List {
	fromControl := e.config.View.List()
	fallback := e.fallback.Load()
	if fallback != nil && e.config.View.Age() > fallbackAge && time.Since(fallback.at) < fallbackTTL {
		return fallback.list
	}
	return fromControl
}
