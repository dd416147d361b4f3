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
	// enginePublishInterval is how often changes in the engines' memory are published.
	enginePublishInterval = 100 * time.Millisecond
	// engineRetryDelay is the delay after a failed call to an engine; engineFirstRetryDelay is the
	// delay after the first of several failures.
	engineRetryDelay      = 500 * time.Millisecond
	engineFirstRetryDelay = 30 * time.Millisecond
	// engineChangesTimeout is the timeout of a call that waits for changes in an engine: the time for
	// which the engine holds the call and some decoding steps of a busy engine.
	engineChangesTimeout = 900 * time.Millisecond
	// engineUpdateBuffer is the capacity of the channel of engine updates.
	engineUpdateBuffer = 64
)

// engineUpdate is one response of an engine, or an unanswered call; reset says that the cached parts
// recorded for the engine are no longer valid.
type engineUpdate struct {
	addr       netip.AddrPort
	events     []block.PartEvent
	reset      bool
	unanswered bool
}

// watchEngines tracks the cached KV blocks in the memory of the engines and publishes those that
// requests share.
func (lt *leaderTerm) watchEngines(ctx context.Context) {
	known := block.NewEngineIndex()
	updates := make(chan engineUpdate, engineUpdateBuffer)
	watches := map[netip.AddrPort]context.CancelFunc{}
	unanswered := map[string]int{}
	var running sync.WaitGroup
	defer running.Wait()
	t := time.NewTicker(enginePublishInterval)
	defer t.Stop()
	for {
		select {
		case u := <-updates:
			if u.reset {
				known.RemoveEngine(u.addr)
			}
			known.ApplyEvents(u.addr, u.events)
			lt.recordResponse(unanswered, u)
			continue
		case <-t.C:
		case <-ctx.Done():
			return
		}
		known.MarkShared(lt.TakeRecentlyUsed())
		lt.UpdateCatalog(known.Flush())
		present := map[netip.AddrPort]bool{}
		if l := lt.List(); l != nil {
			for _, e := range l.Endpoints {
				if len(e.Weights) > 0 {
					present[e.Addr] = true
				}
			}
		}
		for addr := range present {
			if _, ok := watches[addr]; ok {
				continue
			}
			watchCtx, cancel := context.WithCancel(ctx)
			watches[addr] = cancel
			unanswered[addr.String()] = 0
			running.Go(func() { lt.watchEngine(watchCtx, addr, updates) })
		}
		for addr, cancel := range watches {
			if !present[addr] {
				cancel()
				delete(watches, addr)
				delete(unanswered, addr.String())
				known.RemoveEngine(addr)
			}
		}
	}
}

// recordResponse counts consecutive unanswered calls to each engine and publishes the endpoints when the
// set of unresponsive engines changes.
func (lt *leaderTerm) recordResponse(unanswered map[string]int, u engineUpdate) {
	key := u.addr.String()
	if _, ok := unanswered[key]; !ok {
		return
	}
	unanswered[key]++
	if !u.unanswered {
		unanswered[key] = 0
	}
	unresponsive := member.Silent(unanswered)
	lt.termMu.Lock()
	unchanged := maps.Equal(unresponsive, lt.unresponsive)
	lt.unresponsive = unresponsive
	lt.termMu.Unlock()
	if unchanged {
		return
	}
	lt.tasks.config.Events.Emit(event.Silent, "endpoints", strings.Join(unresponsive.Sorted(), ","), "of", len(unanswered))
	lt.publishEndpoints()
}

// watchEngine reads the changes of one engine until ctx ends.
func (lt *leaderTerm) watchEngine(ctx context.Context, addr netip.AddrPort, updates chan<- engineUpdate) {
	var epoch, since int64
	failures := 0
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, engineChangesTimeout)
		got, err := lt.tasks.config.Platform.Changes(callCtx, addr, since)
		cancel()
		u := engineUpdate{addr: addr, reset: err != nil && failures == 0, unanswered: err != nil}
		recovered := failures > 0 && err == nil
		// An engine that a new leader first couldn't reach may answer as another process than the one that it had before.
		same := recovered && epoch != 0 && epoch == got.Epoch
		failures++
		if err == nil {
			failures = 0
			u.events, u.reset = got.Events, epoch != 0 && epoch != got.Epoch
			if u.reset {
				// The request gave a position of the former process.
				u.events, got.Next = nil, 0
			}
			epoch, since = got.Epoch, got.Next
			if got.Clock > 0 {
				lt.SetEngineClock(got.Clock)
			}
		}
		lt.recordProcess(addr, signOf(err, err == nil && u.reset, same))
		if u.reset || u.unanswered || recovered || len(u.events) > 0 {
			select {
			case updates <- u:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			since = 0
			pause := engineRetryDelay
			if failures == 1 {
				pause = engineFirstRetryDelay
			}
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
		}
	}
}
