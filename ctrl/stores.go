package ctrl

import (
	"context"
	"strings"
	"sync"
	"time"

	"egretshunt/block"
	"egretshunt/board"
	"egretshunt/clock"
	"egretshunt/event"
)

// tableSet returns the table set in force, or nil before the first. It decodes the set only if its
// number differs from that of last, and returns last if decoding fails.
func (lt *leaderTerm) tableSet(last *board.Set) *board.Set {
	doc := lt.node.View().Set
	if doc == nil || last != nil && last.Number == doc.Number {
		return last
	}
	set, err := lt.tasks.config.Decode(doc.Body)
	if err != nil {
		lt.tasks.config.Events.Emit(event.Fault, "set", doc.Number, "err", err)
		return last
	}
	return set
}

// watchStores tracks the content of each managed store of the current table set.
func (lt *leaderTerm) watchStores(ctx context.Context) {
	var set *board.Set
	watches := map[string]context.CancelFunc{}
	var running sync.WaitGroup
	defer running.Wait()
	for {
		changed := lt.node.Changed()
		set = lt.tableSet(set)
		if set != nil {
			wanted := map[string]bool{}
			for _, p := range set.Stores() {
				if !p.Store.Managed {
					continue
				}
				key := p.Store.Addr.String()
				wanted[key] = true
				if _, ok := watches[key]; ok {
					continue
				}
				watchCtx, cancel := context.WithCancel(ctx)
				watches[key] = cancel
				running.Go(func() { lt.watchStore(watchCtx, p.Store) })
			}
			for key, cancel := range watches {
				if !wanted[key] {
					cancel()
					delete(watches, key)
				}
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// watchStore tracks the content of one store until ctx ends, frees parts in it and publishes the
// changes in the catalogue.
func (lt *leaderTerm) watchStore(ctx context.Context, s *board.Store) {
	index := block.NewStoreIndex(block.StoreIndexConfig{Store: s.Addr, Tokens: s.Tokens, FetchGrace: withdrawGrace, RetainTime: lt.tasks.config.RetainTime}, lt.began)
	defer func() { lt.UpdateCatalog(index.MarkUnreachable()) }()
	var next int64
	lastCheck := clock.Now()
	lastUsage := lastCheck
	for ctx.Err() == nil {
		if !lt.leads() {
			lt.waitStoreRetry(ctx)
			continue
		}
		var err error
		if !index.Synced() {
			next, err = lt.loadContent(ctx, s, index)
		} else {
			next, err = lt.pollChanges(ctx, s, index, next)
		}
		if err != nil {
			if index.Synced() && ctx.Err() == nil {
				lt.tasks.config.Events.Emit(event.StoreDown, "store", s.Addr, "err", err)
			}
			lt.UpdateCatalog(index.MarkUnreachable())
			lt.waitStoreRetry(ctx)
			continue
		}
		now := clock.Now()
		if open, changed := index.UpdateAccepting(now); changed {
			state := block.StoreClosed
			if open {
				state = block.StoreOpen
			}
			lt.UpdateCatalog([]block.CatalogChange{{Store: s.Addr, Tokens: state}})
			tokens, capacity := index.Usage()
			lt.tasks.config.Events.Emit(event.StoreUp, "store", s.Addr, "epoch", index.Epoch(), "tokens", tokens, "capacity", capacity, "open", open)
		}
		if now-lastCheck >= withdrawInterval {
			lastCheck = now
			lt.UpdateCatalog(index.WithdrawParts(now, lt.inUse(), lt.LastUsed(index.Names())))
			lt.freeParts(ctx, s, index, index.FreeableParts(now))
		}
		if now-lastUsage >= usageInterval {
			lastUsage = now
			lt.reconcileUsage(ctx, s, index)
		}
	}
}

// reconcileUsage compares the usage that a store reports with the size of the parts in its index,
// and lists the store again to find missing parts if the difference has lasted.
func (lt *leaderTerm) reconcileUsage(ctx context.Context, s *board.Store, index *block.StoreIndex) {
	callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	room, err := lt.tasks.config.Platform.Usage(callCtx, s)
	if err != nil {
		// The next wait for changes shows whether the store is down.
		lt.tasks.config.Events.Emit(event.CommandFailed, "store", s.Addr, "duty", "room", "err", err)
		return
	}
	if !index.SetUsed(room.Tokens, clock.Now()) {
		return
	}
	h, err := lt.tasks.config.Platform.Held(callCtx, s)
	if err != nil || h.Epoch != index.Epoch() {
		return
	}
	now := clock.Now()
	var missing []block.PartEvent
	for _, part := range h.Parts {
		missing = append(missing, block.PartEvent{Held: part})
	}
	lt.UpdateCatalog(index.ApplyEvents(missing, now))
	lt.freeParts(ctx, s, index, index.Unfinished(h.Unfinished, now))
}

func (lt *leaderTerm) waitStoreRetry(ctx context.Context) {
	select {
	case <-time.After(storeRetryDelay):
	case <-ctx.Done():
	}
}

// loadContent reads the full content of a store, and the engines' clock if it is not known yet:
// without the clock no transfer can be given a time limit, and after a restart no cached part
// would be used until the first changes arrive.
func (lt *leaderTerm) loadContent(ctx context.Context, s *board.Store, index *block.StoreIndex) (next int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if lt.engineClock.Load() == 0 {
		room, err := lt.tasks.config.Platform.Usage(ctx, s)
		if err != nil {
			return 0, err
		}
		if room.Clock > 0 {
			lt.SetEngineClock(room.Clock)
		}
	}
	h, err := lt.tasks.config.Platform.Held(ctx, s)
	if err != nil {
		return 0, err
	}
	lt.UpdateCatalog(index.ApplyListing(h.Epoch, h.Parts, clock.Now()))
	return h.Next, nil
}

// pollChanges waits for changes of a store and applies them to its index. If events are missing
// or the store has restarted, it empties the index, so that the content is loaded again.
func (lt *leaderTerm) pollChanges(ctx context.Context, s *board.Store, index *block.StoreIndex, since int64) (next int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()
	got, err := lt.tasks.config.Platform.Changes(ctx, s.Addr, since)
	if err != nil {
		return since, err
	}
	if got.Clock > 0 {
		lt.SetEngineClock(got.Clock)
	}
	if got.Lost || got.Epoch != index.Epoch() {
		lt.UpdateCatalog(index.MarkUnreachable())
		return 0, nil
	}
	lt.UpdateCatalog(index.ApplyEvents(got.Events, clock.Now()))
	return got.Next, nil
}

// inUse returns a predicate for parts that may still be requested: those computed with weights
// that an engine has loaded or that are the target of a rollout.
func (lt *leaderTerm) inUse() func(name string) bool {
	live := map[string]bool{}
	if l := lt.List(); l != nil {
		for _, e := range l.Endpoints {
			for _, v := range e.Weights {
				live[block.Salt(v, "")] = true
			}
		}
	}
	for _, w := range lt.node.View().Weights {
		live[block.Salt(w.Version, "")] = true
	}
	return func(name string) bool {
		salt, _, _ := strings.Cut(name, "/")
		weights, _, _ := strings.Cut(salt, ".")
		return live[weights]
	}
}

// freeParts frees parts that no entry reads any more.
func (lt *leaderTerm) freeParts(ctx context.Context, s *board.Store, index *block.StoreIndex, names []string) {
	ahead := lt.engineClock.Load()
	if len(names) == 0 || ahead == 0 || !lt.leads() {
		return
	}
	names = names[:min(len(names), maxFreeBatch)]
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	// A later leader lists the store again; no call of this term may be executed after that.
	until := ahead + (clock.Now() + freeWindow).Milliseconds()
	if err := lt.tasks.config.Platform.Free(ctx, s, index.Epoch(), until, names); err != nil {
		lt.tasks.config.Events.Emit(event.StoreDown, "store", s.Addr, "duty", "free", "err", err)
		return
	}
	index.Freed(names)
	for _, name := range names {
		lt.ForgetUse(name)
	}
	lt.tasks.config.Events.Emit(event.Freed, "store", s.Addr, "count", len(names))
}
