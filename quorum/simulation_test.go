package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egretshunt/check"
	"egretshunt/quorum"
)

const (
	// catchUp is how long after a VM is back, or a new one has started, it may still count as lost.
	catchUp = 4 * time.Second
	// recoverTime is how long the group may take to recover once more VMs than it must bear have been lost at a time.
	recoverTime = 12 * time.Second
	// joinInterval is how often a VM that may be no member asks to join.
	joinInterval = 300 * time.Millisecond
	// rejoinAfter is the time without a leader after which a VM asks.
	rejoinAfter = time.Second
	// stopTime is the longest time that a VM that leaves waits for its removal.
	stopTime = 6 * time.Second
	// disruptedTime is how long disruptions are drawn.
	disruptedTime = 30 * time.Second
)

// vm is one VM of a simulated group. It goes on under another ID when its disk is lost.
type vm struct {
	id   quorum.ID
	addr netip.AddrPort
	// held is set while a disruption holds the VM; backAt is when the last one ended.
	held   bool
	backAt time.Duration
	gone   bool
	// successor takes the place of a VM that is gone.
	successor *vm
	// started is set once the VM has run for the first time; until then it counts with its predecessor.
	started bool
	// cutIn and cutOut drop the messages to and from the VM: those of peer, or all if peer is empty.
	cutIn, cutOut bool
	peer          quorum.ID
	// delay holds up the VM's messages.
	delay   time.Duration
	askedAt time.Duration
}

// timed is something that happens at a time of the simulation.
type timed struct {
	at time.Duration
	do func()
}

// simulation runs a group of control VMs that maintains its membership by itself.
type simulation struct {
	*cluster
	random *rand.Rand
	vms    []*vm
	// tolerance is how many losses the group must bear.
	tolerance int
	// overloadedAt is when more VMs than that last counted as lost.
	overloadedAt time.Duration
	initial      quorum.Members
	due          []timed
	log          []string
	started      int
}

func newSimulation(t rapid.TB, seed uint64, tolerance int) *simulation {
	s := &simulation{cluster: newCluster(t, 0), random: rand.New(rand.NewPCG(seed, 39)), tolerance: tolerance}
	s.options = quorum.Options{
		ElectionTimeout: 400 * time.Millisecond, HeartbeatInterval: 80 * time.Millisecond,
		Upkeep: quorum.Upkeep{Voters: 2*tolerance + 1, ReplaceAfter: 1500 * time.Millisecond, RemoveAfter: 3 * time.Second},
	}
	for range s.options.Upkeep.Voters {
		v := s.addVM()
		s.initial.Voters = append(s.initial.Voters, quorum.Member{ID: v.id, Addr: v.addr})
	}
	for _, v := range s.vms {
		s.boot(v)
	}
	s.run(catchUp)
	return s
}

func (s *simulation) addVM() *vm {
	s.started++
	v := &vm{id: quorum.ID(fmt.Sprint("m", s.started)), addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(s.started)}), 1)}
	s.vms = append(s.vms, v)
	return v
}

// boot starts a VM with an empty disk.
func (s *simulation) boot(v *vm) {
	s.members[v.id] = &member{}
	s.start(v.id, s.initial)
	v.backAt = s.now
}

func (s *simulation) note(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%.2f ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

func (s *simulation) after(d time.Duration, do func()) {
	s.due = append(s.due, timed{s.now + d, do})
}

// run advances the simulation.
func (s *simulation) run(d time.Duration) {
	for until := s.now + d; s.now < until; {
		due := s.due
		s.due = nil
		for _, x := range due {
			if x.at <= s.now {
				x.do()
			} else {
				s.due = append(s.due, x)
			}
		}
		s.tick(1, s.passes)
		if s.lost() > s.tolerance {
			s.overloadedAt = s.now
		}
		for _, v := range s.vms {
			if s.runs(v) && s.now-v.askedAt >= joinInterval && s.members[v.id].core.NeedsToJoin(s.now, rejoinAfter) {
				v.askedAt = s.now
				s.askLeader(v, func(leader *quorum.Core) error { return leader.Join(s.now, quorum.Member{ID: v.id, Addr: v.addr}) })
			}
		}
	}
}

// runs reports whether a VM runs and isn't frozen.
func (s *simulation) runs(v *vm) bool {
	_, frozen := s.frozen[v.id]
	return !v.gone && !frozen && !s.members[v.id].down
}

// passes reports whether a message arrives at once.
func (s *simulation) passes(m quorum.Message) bool {
	from, to := s.find(m.From), s.find(m.To)
	if from == nil || to == nil || !s.reaches(from, to) {
		return false
	}
	d := max(from.delay, to.delay)
	if d > 0 {
		s.after(d, func() { s.arrive(to, m) })
	}
	return d == 0
}

// arrive delivers a message that was held up.
func (s *simulation) arrive(to *vm, m quorum.Message) {
	if to.id != m.To || !s.runs(to) {
		return
	}
	core := s.members[to.id].core
	core.Step(s.now, m)
	core.Flush(s.now)
	s.processReady(to.id)
}

func (s *simulation) reaches(from, to *vm) bool {
	return !(from.cutOut && (from.peer == "" || from.peer == to.id)) && !(to.cutIn && (to.peer == "" || to.peer == from.id))
}

func (s *simulation) find(id quorum.ID) *vm {
	for _, v := range s.vms {
		if v.id == id && !v.gone {
			return v
		}
	}
	return nil
}

// askLeader calls f with each leader that v reaches and that reaches v.
func (s *simulation) askLeader(v *vm, f func(leader *quorum.Core) error) {
	for _, other := range s.vms {
		if !s.runs(other) || !s.reaches(v, other) || !s.reaches(other, v) {
			continue
		}
		if core := s.members[other.id].core; core.Role() == quorum.Leader {
			// A VM asks again after an error.
			_ = f(core)
			s.processReady(other.id)
		}
	}
}

// present returns the VMs that haven't left.
func (s *simulation) present() []*vm {
	return slices.DeleteFunc(slices.Clone(s.vms), func(v *vm) bool { return v.gone })
}

// roles returns the leader and the other VMs.
func (s *simulation) roles(t *testing.T) (leader quorum.ID, others []*vm) {
	t.Helper()
	leader, ok := s.leader()
	check.Equal(t, "there is a leader", ok, true)
	return leader, slices.DeleteFunc(s.present(), func(v *vm) bool { return v.id == leader })
}

// lost returns how many VMs count as lost: those that a disruption holds or held until catchUp ago, and those that are gone
// until their successors have run for that time.
func (s *simulation) lost() int {
	n := 0
	for _, v := range s.vms {
		switch {
		case v.gone && v.successor != nil && s.unsettled(v.successor):
			n++
		case !v.gone && v.started && s.unsettled(v):
			n++
		}
	}
	return n
}

func (s *simulation) unsettled(v *vm) bool { return v.held || s.now-v.backAt < catchUp }

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// hold marks a VM as disrupted and ends the disruption after a time.
func (s *simulation) hold(v *vm, d time.Duration, end func()) {
	v.held, v.started = true, true
	s.after(d, func() {
		end()
		v.held, v.backAt = false, s.now
		s.note("%s runs", v.id)
	})
}

// free returns the VMs that no disruption holds.
func (s *simulation) free() []*vm {
	return slices.DeleteFunc(s.present(), func(v *vm) bool { return v.held })
}

// bears reports whether the group must bear the loss of the disks of n more VMs now.
func (s *simulation) bears(n int) bool {
	return s.lost()+n <= s.tolerance && (s.overloadedAt == 0 || s.now-s.overloadedAt >= recoverTime)
}

// replaceOne draws a VM whose disk is lost or that leaves for good, if the group must bear that now.
func (s *simulation) replaceOne() {
	free := s.free()
	if !s.bears(1) {
		return
	}
	v := free[s.random.IntN(len(free))]
	kind := []string{"wipe", "replace", "planned"}[s.random.IntN(3)]
	s.note("%s %s", kind, v.id)
	switch kind {
	case "wipe":
		s.wipe(v, s.between(300*time.Millisecond, 6*time.Second))
	case "replace":
		s.leave(v)
		s.startSuccessor(v, s.between(0, 2*time.Second))
	case "planned":
		s.startSuccessor(v, 0)
		s.leaveWhenCaughtUp(v)
	}
}

// disturbOne draws a disruption that no disk is lost by; it may come at any time.
func (s *simulation) disturbOne() {
	free := s.free()
	if len(free) == 0 {
		return
	}
	v := free[s.random.IntN(len(free))]
	kind := []string{"freeze", "freeze", "cut", "cut in", "cut out", "cut from one", "restart", "slow"}[s.random.IntN(8)]
	span := s.between(300*time.Millisecond, 6*time.Second)
	s.note("%s %s for %v", kind, v.id, span)
	switch kind {
	case "freeze":
		s.freeze(v, span)
	case "cut", "cut in", "cut out", "cut from one":
		v.cutIn, v.cutOut = kind != "cut out", kind != "cut in"
		if kind == "cut from one" {
			v.peer = free[s.random.IntN(len(free))].id
		}
		s.hold(v, span, func() { v.cutIn, v.cutOut, v.peer = false, false, "" })
	case "slow":
		v.delay = s.between(20*time.Millisecond, 800*time.Millisecond)
		s.hold(v, span, func() { v.delay = 0 })
	case "restart":
		s.crash(v.id)
		s.hold(v, span, func() { s.start(v.id, s.initial) })
	}
}

// series calls draw after random pauses, up to mostPause, for as long as the disruptions last.
func (s *simulation) series(draw func(), mostPause time.Duration) {
	s.after(s.between(0, mostPause), func() {
		draw()
		if s.now < disruptedTime {
			s.series(draw, mostPause)
		}
	})
}

func (s *simulation) freeze(v *vm, d time.Duration) {
	s.frozen[v.id] = nil
	s.hold(v, d, func() { s.thaw(v) })
}

// thaw lets a VM go on with the messages that arrived meanwhile.
func (s *simulation) thaw(v *vm) {
	s.inFlight = append(s.inFlight, s.frozen[v.id]...)
	delete(s.frozen, v.id)
}

// wipe starts a VM again with an empty disk, and so under another ID.
func (s *simulation) wipe(v *vm, down time.Duration) {
	s.crash(v.id)
	s.hold(v, down, func() {
		delete(s.members, v.id)
		s.started++
		v.id = quorum.ID(fmt.Sprint("m", s.started))
		s.boot(v)
		s.note("it starts as %s", v.id)
	})
}

// leave ends a VM for good.
func (s *simulation) leave(v *vm) {
	s.crash(v.id)
	v.gone = true
}

// startSuccessor starts a new VM with an empty disk, which takes the place of another one, after a time.
func (s *simulation) startSuccessor(of *vm, d time.Duration) {
	v := s.addVM()
	of.successor = v
	s.members[v.id] = &member{down: true}
	s.hold(v, d, func() { s.boot(v) })
	v.started = false
}

// leaveWhenCaughtUp stops a VM for good once its successor has caught up and no disruption holds it.
func (s *simulation) leaveWhenCaughtUp(v *vm) {
	s.after(catchUp, func() {
		if v.held || s.unsettled(v.successor) || !s.bears(0) {
			s.leaveWhenCaughtUp(v)
			return
		}
		s.note("%s is told to stop", v.id)
		v.held = true
		s.stop(v, s.now+stopTime)
	})
}

// stop asks the leader to remove a VM until it does, or until the given time, and then ends the VM for good.
func (s *simulation) stop(v *vm, until time.Duration) {
	s.askLeader(v, func(leader *quorum.Core) error {
		_, err := leader.Leave(s.now, v.id)
		return err
	})
	removed := true
	if leader, ok := s.leader(); ok && len(s.members[leader].core.Members().Voters) <= s.options.Upkeep.Voters {
		until = s.now
	}
	for _, other := range s.vms {
		if s.runs(other) {
			core := s.members[other.id].core
			removed = removed && (core.Role() != quorum.Leader || !core.Status(s.now).Members.HasVoter(v.id))
		}
	}
	if _, ok := s.leader(); (!ok || !removed) && s.now < until {
		s.after(joinInterval/3, func() { s.stop(v, until) })
		return
	}
	s.note("%s leaves", v.id)
	s.leave(v)
	v.held = false
}

// checkCalm fails the test unless each running VM is a voter and the group bears its losses.
func (s *simulation) checkCalm() {
	s.t.Helper()
	leader, ok := s.leader()
	if !ok {
		for _, v := range s.present() {
			core := s.members[v.id].core
			s.note("%s: %+v, latest members %+v", v.id, core.Status(s.now), core.Members())
		}
		s.t.Fatalf("no leader after calm:\n%s", strings.Join(s.log, "\n"))
	}
	core := s.members[leader].core
	for _, v := range s.present() {
		if !core.Members().HasVoter(v.id) {
			s.t.Fatalf("%s runs and is no voter, needs to join: %v; members %+v\n%s", v.id, s.members[v.id].core.NeedsToJoin(s.now, rejoinAfter), core.Members(), strings.Join(s.log, "\n"))
		}
	}
	if spare, _ := core.Spare(s.now, time.Second); spare < s.tolerance {
		s.t.Fatalf("the group bears %d losses, want %d: members %+v\n%s", spare, s.tolerance, core.Members(), strings.Join(s.log, "\n"))
	}
}

// waitCalm runs until no disruption holds a VM, and then for catchUp.
func (s *simulation) waitCalm() {
	for slices.ContainsFunc(s.vms, func(v *vm) bool { return v.held }) || len(s.due) > 0 {
		s.run(tickInterval)
	}
	s.run(catchUp)
}
