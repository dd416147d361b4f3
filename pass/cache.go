package pass

import (
	"net/netip"
	"slices"
	"time"

	"egretshunt/block"
	"egretshunt/board"
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

// engineReadDelay is the latency of reading from another engine on top of the transfer time.
const engineReadDelay = 5 * time.Millisecond

// cacheSalt returns the salt that separates the prefix cache by weights version, by account
// for isolated accounts, and by homes.
func cacheSalt(version uint64, j *job) string {
	account := ""
	if j.isolated {
		account = j.account
	}
	if j.homes.bound {
		return block.SaltWithin(block.Salt(version, account), j.homes.regions)
	}
	return block.Salt(version, account)
}

// linkTokensOf returns the tokens that requests of this entry have yet to read from a source. The caller holds mu.
func (e *Entry) linkTokensOf(at netip.AddrPort) *int {
	tokens := e.linkTokens[at]
	if tokens == nil {
		tokens = new(int)
		e.linkTokens[at] = tokens
	}
	return tokens
}

// addLinkTokens adds the tokens that a placement fetches to its sources' links, or with sign -1
// subtracts them. The caller holds mu.
func (e *Entry) addLinkTokens(c *placement, sign int) {
	for i, at := range c.fetchFrom {
		if !at.IsValid() || c.local[i] {
			continue
		}
		tokens := e.linkTokensOf(at)
		*tokens = max(*tokens+sign*c.partTokens[i], 0)
	}
}

// assignSaves assigns a store to each shared part that no store holds.
func (e *Entry) assignSaves(j *job, s *Send, now time.Time) {
	list := e.list()
	if list == nil {
		return
	}
	s.SaveTo = make([]netip.AddrPort, len(j.call.Parts))
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.topologyOf(list, j.tables.set)
	stores := e.savable(j.homes, j.tables.set.Stores())
	for i, p := range j.call.Shared() {
		name := block.PartName(s.Salt, p.ID)
		if t.holdsInStore(e.config.View.Holders(name)) {
			continue
		}
		if at, ok := e.claimSave(name, s.To.Place, stores, now); ok {
			s.SaveTo[i] = at
			j.saved += p.Tokens
		}
	}
}

// claimSave returns the store that a new part is to be saved to by an engine in a place, among those that accept parts.
// It returns false while another request holds the claim to save the part. If the part did not
// appear in the store it was assigned to, it is assigned to another. The caller holds mu.
func (e *Entry) claimSave(name, place string, stores []*board.Pool, now time.Time) (netip.AddrPort, bool) {
	previous := e.pendingSave[name]
	if now.Before(previous.until) {
		return netip.AddrPort{}, false
	}
	candidates, addrs := make([]route.StoreState, 0, len(stores)), make([]netip.AddrPort, 0, len(stores))
	for _, p := range stores {
		if e.config.View.AcceptsParts(p.Store.Addr) && !slices.Contains(previous.triedStores, p.Store.Addr) {
			candidates = append(candidates, route.StoreState{ID: p.Name, Capacity: p.Store.Tokens, Bandwidth: p.Store.Bandwidth, Remote: e.config.KeepsToPlace && p.Store.Place != place})
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
