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

// table returns the table set in force, or nil.
func (r *reign) table(last *board.Set) *board.Set {
	doc := r.node.View().Set
	if doc == nil || last != nil && last.Number == doc.Number {
		return last
	}
	set, err := r.chief.config.Decode(doc.Body)
	if err != nil {
		r.chief.config.Events.Emit(event.Fault, "set", doc.Number, "err", err)
		return last
	}
	return set
}

// stores follows each store of the tables.
func (r *reign) stores(ctx context.Context) {
	var set *board.Set
	followed := map[string]context.CancelFunc{}
	var running sync.WaitGroup
	defer running.Wait()
	for {
		changed := r.node.Changed()
		set = r.table(set)
		if set != nil {
			named := map[string]bool{}
			for _, p := range set.Stores() {
				if !p.Store.Managed {
					continue
				}
				key := p.Store.Addr.String()
				named[key] = true
				if _, ok := followed[key]; ok {
					continue
				}
				sub, cancel := context.WithCancel(ctx)
				followed[key] = cancel
				running.Go(func() { r.store(sub, p.Store) })
			}
			for key, cancel := range followed {
				if !named[key] {
					cancel()
					delete(followed, key)
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

// store follows one store until ctx ends.
func (r *reign) store(ctx context.Context, s *board.Store) {
	shelf := block.NewShelf(block.ShelfConfig{Store: s.Addr, Tokens: s.Tokens, Quiet: quietTime, Reuse: r.chief.config.Reuse}, r.began)
	defer func() { r.Keep(shelf.Lose()) }()
	var next int64
	looked := clock.Now()
	measured := looked
	for ctx.Err() == nil {
		if !r.leads() {
			r.rest(ctx)
			continue
		}
		var err error
		if !shelf.Known() {
			next, err = r.fill(ctx, s, shelf)
		} else {
			next, err = r.follow(ctx, s, shelf, next)
		}
		if err != nil {
			if shelf.Known() && ctx.Err() == nil {
				r.chief.config.Events.Emit(event.StoreDown, "store", s.Addr, "err", err)
			}
			r.Keep(shelf.Lose())
			r.rest(ctx)
			continue
		}
		now := clock.Now()
		if open, changed := shelf.Opens(now); changed {
			state := block.Closed
			if open {
				state = block.Opened
			}
			r.Keep([]block.Part{{Store: s.Addr, Tokens: state}})
			tokens, capacity := shelf.Held()
			r.chief.config.Events.Emit(event.StoreUp, "store", s.Addr, "epoch", shelf.Epoch(), "tokens", tokens, "capacity", capacity, "open", open)
		}
		if now-looked >= withdrawTime {
			looked = now
			r.Keep(shelf.Withdraw(now, r.current(), r.Used()))
			r.free(ctx, s, shelf, shelf.Free(now))
		}
		if now-measured >= roomTime {
			measured = now
			r.measure(ctx, s, shelf)
		}
	}
}

// measure compares what a store holds with what is known of it, and looks for what is not.
func (r *reign) measure(ctx context.Context, s *board.Store, shelf *block.Shelf) {
	call, cancel := context.WithTimeout(ctx, outsideTime)
	defer cancel()
	room, err := r.chief.config.Outside.Room(call, s)
	if err != nil {
		// The next wait for changes shows whether the store is gone.
		r.chief.config.Events.Emit(event.OrderBad, "store", s.Addr, "duty", "room", "err", err)
		return
	}
	if !shelf.Use(room.Tokens, clock.Now()) {
		return
	}
	h, err := r.chief.config.Outside.Held(call, s)
	if err != nil || h.Epoch != shelf.Epoch() {
		return
	}
	now := clock.Now()
	var lost []block.Event
	for _, part := range h.Parts {
		lost = append(lost, block.Event{Held: part})
	}
	r.Keep(shelf.Take(lost, now))
	r.free(ctx, s, shelf, shelf.Unfinished(h.Unfinished, now))
}

func (r *reign) rest(ctx context.Context) {
	select {
	case <-time.After(storePause):
	case <-ctx.Done():
	}
}

// fill reads all that a store holds, and the engines' clock where it is not known yet:
// without it no transfer can be bounded, and after a restart nothing kept would be used
// until the first changes come.
func (r *reign) fill(ctx context.Context, s *board.Store, shelf *block.Shelf) (next int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, outsideTime)
	defer cancel()
	if r.engineClock.Load() == 0 {
		room, err := r.chief.config.Outside.Room(ctx, s)
		if err != nil {
			return 0, err
		}
		if room.Clock > 0 {
			r.SetEngineClock(room.Clock)
		}
	}
	h, err := r.chief.config.Outside.Held(ctx, s)
	if err != nil {
		return 0, err
	}
	r.Keep(shelf.Fill(h.Epoch, h.Parts, clock.Now()))
	return h.Next, nil
}

// follow waits for changes of a store.
func (r *reign) follow(ctx context.Context, s *board.Store, shelf *block.Shelf, since int64) (next int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, changesTime)
	defer cancel()
	got, err := r.chief.config.Outside.Changes(ctx, s.Addr, since)
	if err != nil {
		return since, err
	}
	if got.Clock > 0 {
		r.SetEngineClock(got.Clock)
	}
	if got.Lost || got.Epoch != shelf.Epoch() {
		r.Keep(shelf.Lose())
		return 0, nil
	}
	r.Keep(shelf.Take(got.Events, clock.Now()))
	return got.Next, nil
}

// current returns a test for parts that may still be asked for: those made under weights
// that some engine has or is to have.
func (r *reign) current() func(name string) bool {
	live := map[string]bool{}
	if l := r.List(); l != nil {
		for _, e := range l.Endpoints {
			for _, v := range e.Weights {
				live[block.Salt(v, "")] = true
			}
		}
	}
	for _, w := range r.node.View().Weights {
		live[block.Salt(w.Version, "")] = true
	}
	return func(name string) bool {
		salt, _, _ := strings.Cut(name, "/")
		weights, _, _ := strings.Cut(salt, ".")
		return live[weights]
	}
}

// free frees parts that nobody reads any more.
func (r *reign) free(ctx context.Context, s *board.Store, shelf *block.Shelf, names []string) {
	ahead := r.engineClock.Load()
	if len(names) == 0 || ahead == 0 || !r.leads() {
		return
	}
	names = names[:min(len(names), maxFree)]
	ctx, cancel := context.WithTimeout(ctx, outsideTime)
	defer cancel()
	// A later leader lists the store anew; nothing of this reign may be carried out after that.
	until := ahead + (clock.Now() + freeSpan).Milliseconds()
	if err := r.chief.config.Outside.Free(ctx, s, shelf.Epoch(), until, names); err != nil {
		r.chief.config.Events.Emit(event.StoreDown, "store", s.Addr, "duty", "free", "err", err)
		return
	}
	shelf.Freed(names)
	for _, name := range names {
		r.Forget(name)
	}
	r.chief.config.Events.Emit(event.Freed, "store", s.Addr, "count", len(names))
}
