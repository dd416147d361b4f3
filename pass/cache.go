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

// partHolders returns, for each shared part, the stores and engines that hold it. The salt is the
// prefix of the parts' names.
func (e *Entry) partHolders(salt string, version uint64, shared []Part) [][]block.Holder {
	holders := make([][]block.Holder, len(shared))
	if version == 0 || e.config.Policy == Storeless {
		return holders
	}
	for i, p := range shared {
		name := block.PartName(salt, p.ID)
		holders[i] = e.config.View.Holders(name)
		e.config.View.RecordUse(name)
	}
	return holders
}

// source describes a holder for the fetch-or-compute decision. It returns false if the address
// belongs neither to a store nor to an engine that is loaded and healthy.
func (e *Entry) source(at netip.AddrPort, set *board.Set, list *member.List, place string, bandwidth float64) (route.Source, bool) {
	for _, p := range set.Stores() {
		if s := p.Store; s.Addr == at {
			return route.Source{Bandwidth: s.Bandwidth, Delay: s.Delay, Remote: s.Place != place, QueuedTokens: e.queuedTokens(at)}, true
		}
	}
	engine := list.At(at)
	if engine == nil || engine.Loading || engine.Down || !e.endpointState(engine).health.Fit(time.Now()) {
		return route.Source{}, false
	}
	return route.Source{Bandwidth: bandwidth, Delay: engineReadDelay, Remote: engine.Place != place, QueuedTokens: e.queuedTokens(at), Evictable: true}, true
}

// queuedTokens returns the tokens still to be read from a source by all known requests.
func (e *Entry) queuedTokens(at netip.AddrPort) int {
	return e.linkTokens[at] + e.config.View.OtherEntriesTokens(at.String())
}

// engineReadDelay is the latency of reading from another engine on top of the transfer time.
const engineReadDelay = 5 * time.Millisecond

// cacheSalt returns the salt that separates the prefix cache by weights version, and by account
// for isolated accounts.
func cacheSalt(version uint64, j *job) string {
	if j.isolated {
		return block.Salt(version, j.account)
	}
	return block.Salt(version, "")
}

// addLinkTokens adds the tokens that a placement fetches to its sources' links, or with sign -1
// subtracts them. The caller holds mu.
func (e *Entry) addLinkTokens(c *placement, sign int) {
	for i, at := range c.fetchFrom {
		if !at.IsValid() || c.local[i] {
			continue
		}
		if e.linkTokens[at] += sign * c.partTokens[i]; e.linkTokens[at] <= 0 {
			delete(e.linkTokens, at)
		}
	}
}

// assignSaves assigns a store to each shared part that no store holds.
func (e *Entry) assignSaves(j *job, s *Send, now time.Time) {
	stores := j.set.Stores()
	s.SaveTo = make([]netip.AddrPort, len(j.call.Parts))
	for i, p := range j.call.Shared() {
		name := block.PartName(s.Salt, p.ID)
		if slices.ContainsFunc(e.config.View.Holders(name), func(h block.Holder) bool { return isStore(h.Store, stores) }) {
			continue
		}
		if at, ok := e.claimSave(name, stores, now); ok {
			s.SaveTo[i] = at
			j.saved += p.Tokens
		}
	}
}

func isStore(at netip.AddrPort, stores []*board.Pool) bool {
	return slices.ContainsFunc(stores, func(p *board.Pool) bool { return p.Store.Addr == at })
}

// claimSave returns the store that a new part is to be saved to, among those that accept parts.
// It returns false while another request holds the claim to save the part. If the part did not
// appear in the store it was assigned to, it is assigned to another.
func (e *Entry) claimSave(name string, stores []*board.Pool, now time.Time) (netip.AddrPort, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	previous := e.pendingSave[name]
	if now.Before(previous.until) {
		return netip.AddrPort{}, false
	}
	var candidates []route.StoreState
	var addrs []netip.AddrPort
	for _, p := range stores {
		if e.config.View.AcceptsParts(p.Store.Addr) && !slices.Contains(previous.triedStores, p.Store.Addr) {
			candidates = append(candidates, route.StoreState{ID: p.Name, Capacity: p.Store.Tokens, Bandwidth: p.Store.Bandwidth})
			addrs = append(addrs, p.Store.Addr)
		}
	}
	at := route.StoreForPart(name, candidates)
	if at < 0 {
		delete(e.pendingSave, name)
		return netip.AddrPort{}, false
	}
	e.pendingSave[name] = pendingSave{until: now.Add(saveClaimTime), triedStores: append(slices.Clone(previous.triedStores), addrs[at])}
	return addrs[at], true
}
