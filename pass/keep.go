package pass

import (
	"net/netip"
	"slices"
	"time"

	"egretshunt/block"
	"egretshunt/board"
	"egretshunt/member"
	"egretshunt/route"
)

// whereAll returns the holders of each shared part under a salt.
func (e *Entry) whereAll(salt string, version uint64, shared []Part) [][]block.Holder {
	held := make([][]block.Holder, len(shared))
	if version == 0 || e.config.Policy == Storeless {
		return held
	}
	for i, p := range shared {
		name := block.PartName(salt, p.ID)
		held[i] = e.config.View.Where(name)
		e.config.View.Use(name)
	}
	return held
}

// source describes a holder to the decision; it reports false where the address is neither
// a store nor an engine that can be relied on.
func (e *Entry) source(at netip.AddrPort, set *board.Set, list *member.List, place string, bandwidth float64) (route.Source, bool) {
	for _, p := range set.Stores() {
		if s := p.Store; s.Addr == at {
			return route.Source{Bandwidth: s.Bandwidth, Delay: s.Delay, Far: s.Place != place, Queued: e.queued(at)}, true
		}
	}
	engine := list.At(at)
	if engine == nil || engine.Loading || engine.Down || !e.seat(engine).grade.Fit(time.Now()) {
		return route.Source{}, false
	}
	return route.Source{Bandwidth: bandwidth, Delay: engineDelay, Far: engine.Place != place, Queued: e.queued(at), Risky: true}, true
}

// queued returns the tokens that are to be read from a source, as far as is known.
func (e *Entry) queued(at netip.AddrPort) int {
	return e.links[at] + e.config.View.Others(at.String())
}

// engineDelay is what reading from another engine takes beside the transfer.
const engineDelay = 5 * time.Millisecond

// saltOf keeps apart the kept context of versions of the weights and of isolated accounts.
func saltOf(version uint64, j *job) string {
	if j.isolated {
		return block.Salt(version, j.account)
	}
	return block.Salt(version, "")
}

// link adds the tokens that a choice reads to its sources' links, or takes them off; the
// caller holds mu.
func (e *Entry) link(c *choice, sign int) {
	for i, at := range c.fetch {
		if !at.IsValid() || c.found[i] {
			continue
		}
		if e.links[at] += sign * c.tokens[i]; e.links[at] <= 0 {
			delete(e.links, at)
		}
	}
}

// save names the stores to save shared parts to that lie in none.
func (e *Entry) save(j *job, s *Send, now time.Time) {
	stores := j.set.Stores()
	s.Save = make([]netip.AddrPort, len(j.call.Parts))
	for i, p := range j.call.Shared() {
		name := block.PartName(s.Salt, p.ID)
		if slices.ContainsFunc(e.config.View.Where(name), func(h block.Holder) bool { return isStore(h.Store, stores) }) {
			continue
		}
		if at, ok := e.claimSave(name, stores, now); ok {
			s.Save[i] = at
			j.saved += p.Tokens
		}
	}
}

func isStore(at netip.AddrPort, stores []*board.Pool) bool {
	return slices.ContainsFunc(stores, func(p *board.Pool) bool { return p.Store.Addr == at })
}

// claimSave returns the store that a new part is saved to, among those that take any; none
// while another request has been told to save it. A part that did not appear where it was
// saved is tried elsewhere.
func (e *Entry) claimSave(name string, stores []*board.Pool, now time.Time) (netip.AddrPort, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.saving[name]
	if now.Before(old.until) {
		return netip.AddrPort{}, false
	}
	var shelves []route.Shelf
	var addrs []netip.AddrPort
	for _, p := range stores {
		if e.config.View.Open(p.Store.Addr) && !slices.Contains(old.tried, p.Store.Addr) {
			shelves = append(shelves, route.Shelf{ID: p.Name, Capacity: p.Store.Tokens, Bandwidth: p.Store.Bandwidth})
			addrs = append(addrs, p.Store.Addr)
		}
	}
	at := route.Home(name, shelves)
	if at < 0 {
		delete(e.saving, name)
		return netip.AddrPort{}, false
	}
	e.saving[name] = saving{until: now.Add(savingTime), tried: append(slices.Clone(old.tried), addrs[at])}
	return addrs[at], true
}
