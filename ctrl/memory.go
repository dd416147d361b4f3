package ctrl

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"egretshunt/block"
)

const (
	// engineTime is how often what lies in engines' memory is published.
	engineTime = 100 * time.Millisecond
	// enginePause is the pause after a call to an engine that failed.
	enginePause = 500 * time.Millisecond
	// engineChanges bounds the answers of engines that wait to be taken.
	engineChanges = 64
)

// told is one answer of an engine; lost says that what was known of it is void.
type told struct {
	at     netip.AddrPort
	events []block.Event
	lost   bool
}

// engines follows what lies in the memory of the engines.
func (r *reign) engines(ctx context.Context) {
	known := block.NewEngines()
	answers := make(chan told, engineChanges)
	followed := map[netip.AddrPort]context.CancelFunc{}
	var running sync.WaitGroup
	defer running.Wait()
	t := time.NewTicker(engineTime)
	defer t.Stop()
	for {
		select {
		case a := <-answers:
			if a.lost {
				known.Lose(a.at)
			}
			known.Take(a.at, a.events)
			continue
		case <-t.C:
		case <-ctx.Done():
			return
		}
		known.Share(r.Shared())
		r.Keep(known.Flush())
		present := map[netip.AddrPort]bool{}
		if l := r.List(); l != nil {
			for _, e := range l.Endpoints {
				if len(e.Weights) > 0 {
					present[e.Addr] = true
				}
			}
		}
		for at := range present {
			if _, ok := followed[at]; ok {
				continue
			}
			sub, cancel := context.WithCancel(ctx)
			followed[at] = cancel
			running.Go(func() { r.engine(sub, at, answers) })
		}
		for at, cancel := range followed {
			if !present[at] {
				cancel()
				delete(followed, at)
				known.Lose(at)
			}
		}
	}
}

// engine follows one engine until ctx ends.
func (r *reign) engine(ctx context.Context, at netip.AddrPort, answers chan<- told) {
	var epoch, since int64
	failing := false
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, changesTime)
		got, err := r.chief.config.Outside.Changes(call, at, since)
		cancel()
		a := told{at: at, lost: err != nil && !failing}
		failing = err != nil
		if err == nil {
			a.events, a.lost = got.Events, epoch != 0 && epoch != got.Epoch
			if a.lost {
				// The answer was asked for from a position of the former run.
				a.events, got.Next = nil, 0
			}
			epoch, since = got.Epoch, got.Next
			if got.Clock > 0 {
				r.SetEngineClock(got.Clock)
			}
		}
		if a.lost || len(a.events) > 0 {
			select {
			case answers <- a:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			since = 0
			select {
			case <-time.After(enginePause):
			case <-ctx.Done():
			}
		}
	}
}
