package ctrl

import (
	"context"
	"maps"
	"net/netip"
	"strings"
	"sync"
	"time"

	"egretshunt/block"
	"egretshunt/event"
	"egretshunt/member"
)

const (
	// engineTime is how often what lies in engines' memory is published.
	engineTime = 100 * time.Millisecond
	// enginePause is the pause between calls to an engine that fail, engineAgain that after the first.
	enginePause = 500 * time.Millisecond
	engineAgain = 30 * time.Millisecond
	// silenceTime bounds a call that waits for changes in an engine: the time that it is held and
	// some steps of a busy engine.
	silenceTime = 900 * time.Millisecond
	// engineChanges bounds the answers of engines that wait to be taken.
	engineChanges = 64
)

// told is one answer of an engine, or that none came; lost says that what was known of it is void.
type told struct {
	at     netip.AddrPort
	events []block.Event
	lost   bool
	missed bool
}

// engines follows what lies in the memory of the engines.
func (r *reign) engines(ctx context.Context) {
	known := block.NewEngines()
	answers := make(chan told, engineChanges)
	followed := map[netip.AddrPort]context.CancelFunc{}
	missed := map[string]int{}
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
			r.hear(missed, a)
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
			missed[at.String()] = 0
			running.Go(func() { r.engine(sub, at, answers) })
		}
		for at, cancel := range followed {
			if !present[at] {
				cancel()
				delete(followed, at)
				delete(missed, at.String())
				known.Lose(at)
			}
		}
	}
}

// hear counts the calls that an engine leaves unanswered and tells entries which are silent.
func (r *reign) hear(missed map[string]int, a told) {
	key := a.at.String()
	if _, ok := missed[key]; !ok {
		return
	}
	missed[key]++
	if !a.missed {
		missed[key] = 0
	}
	silent := member.Silent(missed)
	r.listMu.Lock()
	same := maps.Equal(silent, r.silent)
	r.silent = silent
	r.listMu.Unlock()
	if same {
		return
	}
	r.chief.config.Events.Emit(event.Silent, "endpoints", strings.Join(silent.Sorted(), ","), "of", len(missed))
	r.publish()
}

// engine follows one engine until ctx ends.
func (r *reign) engine(ctx context.Context, at netip.AddrPort, answers chan<- told) {
	var epoch, since int64
	failing := 0
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, silenceTime)
		got, err := r.chief.config.Outside.Changes(call, at, since)
		cancel()
		a := told{at: at, lost: err != nil && failing == 0, missed: err != nil}
		again := failing > 0 && err == nil
		failing++
		if err == nil {
			failing = 0
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
		if a.lost || a.missed || again || len(a.events) > 0 {
			select {
			case answers <- a:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			since = 0
			pause := enginePause
			if failing == 1 {
				pause = engineAgain
			}
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
		}
	}
}
