package ctrl

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"egretshunt/block"
	"egretshunt/clock"
	"egretshunt/event"
	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/tally"
	"egretshunt/value"
	"egretshunt/wire"
)

// pendingSync is a sync whose response hasn't come.
type pendingSync struct {
	request *wire.Sync
	// began is when the sync was begun, by the clock of the lease.
	began    time.Duration
	evidence crashEvidence
	// work is the work that the sync reports.
	work []tally.Amount
}

// exchange sends one sync to a control VM and installs the response. fresh reports whether the control VM leads; the
// response of one that does not only updates the members and the leader's address.
func (f *Feed) exchange(s *wire.Stream, to netip.AddrPort, hold time.Duration) (fresh bool, err error) {
	p := f.beginSync(hold)
	s.SetDeadline(time.Now().Add(hold + syncTimeout))
	if err := s.Send(&wire.Frame{Body: &wire.Frame_Sync{Sync: p.request}}); err != nil {
		return false, err
	}
	frame, err := s.Recv()
	if err != nil {
		return false, err
	}
	reply := frame.GetSynced()
	if reply == nil {
		return false, Malformed.New("the response to a sync is not a synced frame")
	}
	return f.endSync(p, to, reply)
}

// beginSync returns a sync that control may hold for a time.
func (f *Feed) beginSync(hold time.Duration) pendingSync {
	// Before anything that the sync tells: the response confirms no later moment.
	p := pendingSync{began: f.config.Now()}
	used := f.drain(&f.used)
	p.evidence = f.crashes.unconfirmed()
	req := &wire.Sync{
		Node: f.config.Node, Place: f.config.Place, View: f.View().Rev, List: f.listRev, Kept: f.catalogRev, Life: f.incarnation,
		HoldMs: uint32(hold.Milliseconds()), Used: used, Verdicts: f.crashes.verdictsHash(), Shared: true, Coldrev: f.cold.rev + 1,
	}
	req.Edition, req.Names = f.sums.Known()
	p.evidence.encode(req, f.crashes.run)
	if f.config.Bad != nil {
		req.Bad = f.config.Bad()
	}
	if f.config.Heard != nil {
		req.Heard = f.config.Heard()
	}
	if f.config.Work != nil {
		for name, tokens := range f.config.Work() {
			p.work = append(p.work, tally.Amount{Name: name, Value: uint32((tokens + WorkUnitTokens - 1) / WorkUnitTokens)})
		}
		req.Work = encodeWork(p.work)
	}
	var wants []limit.PermitWant
	if f.config.Wants != nil && f.rates.limited.Load() {
		wants = f.config.Wants()
	}
	f.rates.encode(req, wants)
	p.request = req
	return p
}

// endSync installs the response of a control VM to a sync; see exchange for what it returns.
func (f *Feed) endSync(p pendingSync, to netip.AddrPort, reply *wire.Synced) (fresh bool, err error) {
	f.updateMembers(reply)
	if !reply.GetFresh() {
		return false, nil
	}
	if reply.GetCounted() {
		f.crashes.confirm(p.evidence)
	}
	held, age := time.Duration(reply.GetHeldMs())*time.Millisecond, time.Duration(reply.GetAgeMs())*time.Millisecond
	// The leader's state was current when the hold ended. That was at began plus held or later, so
	// the earliest such moment counts.
	current := p.began + held
	// Requests that are placed by the targets of a new view need it.
	if c := newTargetClock(reply, current); c != nil {
		f.targetClock.Store(c)
	}
	// An endpoint that has become cold must not be sent to by the list that shows its new incarnation.
	f.cold.install(reply, current)
	if err := f.install(reply, p.work); err != nil {
		f.rejectSync(to, reply, err)
		return false, err
	}
	f.confirmed.Store(&confirmedView{f.View(), current - age})
	f.syncedWith.Store(&to)
	return true, nil
}

// rejectSync makes the next sync ask for a whole, since a response may have been installed in part.
func (f *Feed) rejectSync(from netip.AddrPort, reply *wire.Synced, err error) {
	f.incarnation, f.listRev, f.catalogRev = 0, 0, 0
	f.config.Events.Emit(event.SyncUnreadable, "leader", from, "list", reply.GetListrev(), "err", err)
}

// updateMembers records the leader and the members, which any control VM may report.
func (f *Feed) updateMembers(reply *wire.Synced) {
	if leader, err := netip.ParseAddrPort(reply.GetLeader()); err == nil && !reply.GetFresh() {
		f.leader = leader
	}
	if len(reply.GetMembers()) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = value.SetOf(reply.GetMembers()...)
}

// install installs a response; own is the work that the sync reported.
func (f *Feed) install(reply *wire.Synced, own []tally.Amount) error {
	// Before the tables, without which a new entry serves nothing.
	f.crashes.install(reply)
	if len(reply.GetView()) > 0 {
		v := &View{Suspects: limit.NewSuspects()}
		if err := unpack(reply.GetView(), v); err != nil {
			return err
		}
		if former := f.View(); v.Rev > former.Rev {
			f.confirmed.Store(&confirmedView{v, f.confirmed.Load().at})
			reportPlaces(f.config.Events, former, v)
			number := uint64(0)
			if v.Set != nil {
				number = v.Set.Number
			}
			f.config.Events.Emit(event.TablesInstalled, "view", v.Rev, "set", number, "leader", reply.GetLeader())
			f.changed.announce()
		}
	}
	if len(reply.GetList()) > 0 {
		l := &member.List{}
		if err := unpack(reply.GetList(), l); err != nil {
			return err
		}
		f.list.Store(l.Index())
		f.listRev = l.Rev
		f.changed.announce()
	} else if reply.GetLife() != f.incarnation {
		// The list revision belongs to the former incarnation of the leader's state.
		f.listRev = 0
	}
	if err := f.installChanges(reply); err != nil {
		return err
	}
	f.incarnation = reply.GetLife()
	if ms := reply.GetClockMs(); ms != 0 {
		f.engineClock.Store(ms - clock.Now().Milliseconds())
	}
	f.entries.Store(int64(reply.GetEntries()))
	if us := reply.GetGroupUs(); us != 0 {
		f.groupClock.Store(us*int64(time.Microsecond) - int64(clock.Now()))
	}
	f.rates.install(reply, f.isListed)
	f.reportAtSeveralBuilds()
	return f.installWork(reply, own)
}

// installChanges applies the changes of the catalogue.
func (f *Feed) installChanges(reply *wire.Synced) error {
	all := reply.GetAll() || reply.GetLife() != f.incarnation
	if reply.GetChanges() != nil {
		changes, err := decodeChanges(reply.GetChanges())
		if err != nil {
			return err
		}
		if err := f.catalog.Install(changes, reply.GetKeptrev(), all); err != nil {
			return err
		}
		f.catalogRev = reply.GetKeptrev()
		return nil
	}
	var changes []block.CatalogChange
	if len(reply.GetKept()) > 0 {
		if err := unpack(reply.GetKept(), &changes); err != nil {
			return err
		}
	}
	if len(changes) > 0 || all {
		f.catalog.InstallDecoded(changes, reply.GetKeptrev(), all)
		f.catalogRev = reply.GetKeptrev()
	}
	return nil
}

// installWork publishes the work of the other entries.
func (f *Feed) installWork(reply *wire.Synced, own []tally.Amount) error {
	if reply.GetSums() == nil {
		f.otherWork.Store(tally.SnapshotOf(rand.Uint64()|1, decodeAmounts(reply.GetWork())))
		return nil
	}
	others, err := f.sums.Install(decodeSums(reply.GetSums()), own)
	if err != nil {
		return err
	}
	f.otherWork.Store(others)
	return nil
}
