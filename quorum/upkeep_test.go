package quorum_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egretshunt/check"
	"egretshunt/quorum"
)

// eachTolerance runs a test on groups that bear one loss and two.
func eachTolerance(t *testing.T, test func(t *testing.T, s *simulation)) {
	for _, tolerance := range []int{1, 2} {
		t.Run(fmt.Sprint("tolerance ", tolerance), func(t *testing.T) { test(t, newSimulation(t, 1, tolerance)) })
	}
}

// TestGroupRecoversFromOverlappingDisruptions draws two series of disruptions, of which one replaces VMs. After calm each
// running VM must be a voter, and the group must bear the losses that it is to tolerate.
func TestGroupRecoversFromOverlappingDisruptions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 2).Draw(t, "tolerance"))
		s.series(s.replaceOne, 2*time.Second)
		s.series(s.disturbOne, 8*time.Second)
		for n := 0; s.now < disruptedTime; n++ {
			s.run(500 * time.Millisecond)
			if id, ok := s.leader(); ok {
				s.propose(id, fmt.Sprint("p", n))
				if n%20 == 0 {
					s.compact(id)
				}
			}
		}
		s.waitCalm()
		s.checkCalm()
	})
}

// TestFrozenMemberIsReplacedAndReturns guards against a group that counts a VM that is gone and leaves out one that runs:
// a frozen VM gave way to a new one, was never told, and the one that had left stayed.
func TestFrozenMemberIsReplacedAndReturns(t *testing.T) {
	eachTolerance(t, func(t *testing.T, s *simulation) {
		_, others := s.roles(t)
		s.freeze(others[0], 4*time.Second)
		s.run(2 * time.Second)
		s.startSuccessor(others[1], 0)
		s.run(5 * time.Second)
		s.note("%s leaves", others[1].id)
		s.leave(others[1])
		s.waitCalm()
		s.checkCalm()
	})
}

// TestDepartureOfReplacedMember guards against a group that can't bear a loss for some seconds after a planned
// replacement: the VM that had left still counted towards the majority.
func TestDepartureOfReplacedMember(t *testing.T) {
	eachTolerance(t, func(t *testing.T, s *simulation) {
		old := s.present()[0]
		s.startSuccessor(old, 0)
		s.leaveWhenCaughtUp(old)
		for !old.gone {
			s.run(tickInterval)
		}
		for _, v := range s.present()[:s.tolerance] {
			s.wipe(v, time.Second)
		}
		s.waitCalm()
		s.checkCalm()
	})
}

// TestSuccessorReplacesSilentVoter guards against a successor that becomes a voter beside the VM that is gone: a majority
// of four needs all three that run, and the next freeze stops the group.
func TestSuccessorReplacesSilentVoter(t *testing.T) {
	eachTolerance(t, func(t *testing.T, s *simulation) {
		leader, others := s.roles(t)
		s.leave(others[0])
		s.startSuccessor(others[0], time.Second)
		for until := s.now + catchUp; s.now < until; {
			s.run(tickInterval)
			if voters := s.members[leader].core.Members().Voters; len(voters) > s.options.Upkeep.Voters {
				t.Fatalf("%d voters, want at most %d", len(voters), s.options.Upkeep.Voters)
			}
		}
		s.checkCalm()
	})
}

// TestNewLeaderWaitsForVoters guards against a leader that has just been elected, counts all voters as present, and makes a
// successor a voter beside the one that is gone.
func TestNewLeaderWaitsForVoters(t *testing.T) {
	eachTolerance(t, func(t *testing.T, s *simulation) {
		leader, others := s.roles(t)
		s.leave(others[0])
		s.startSuccessor(others[0], 0)
		s.crash(leader)
		s.hold(s.find(leader), 100*time.Millisecond, func() { s.start(leader, s.initial) })
		for until := s.now + recoverTime; s.now < until; {
			s.run(tickInterval)
			for _, v := range s.present() {
				if voters := s.members[v.id].core.Members().Voters; len(voters) > s.options.Upkeep.Voters {
					t.Fatalf("%s counts %d voters, want at most %d", v.id, len(voters), s.options.Upkeep.Voters)
				}
			}
		}
		s.checkCalm()
	})
}

// TestLeavingMemberLetsGoneOneGoFirst guards against a group that removes a member which stops, perhaps only to restart, while
// one that is gone for good stays.
func TestLeavingMemberLetsGoneOneGoFirst(t *testing.T) {
	s := newSimulation(t, 1, 1)
	leader, others := s.roles(t)
	s.startSuccessor(others[0], 0)
	s.run(catchUp)
	s.leave(others[1])
	// The leader has noticed, and doesn't know yet whether it comes back.
	s.run(time.Second)
	s.stop(others[0], s.now+stopTime)
	for !others[0].gone {
		s.run(tickInterval)
	}
	members := s.members[leader].core.Members()
	check.Equal(t, "the one that is gone counts", members.HasVoter(others[1].id), false)
	check.Equal(t, "the one that has stopped counts", members.HasVoter(others[0].id), true)
}

// TestLearnerGivesWay guards against a learner that is gone and keeps others from joining: one at the same address whose disk is
// lost once more, or one that is silent.
func TestLearnerGivesWay(t *testing.T) {
	newcomer := quorum.Member{ID: "new", Addr: netip.MustParseAddrPort("10.0.0.99:1")}
	for name, c := range map[string]struct {
		silence time.Duration
		addr    netip.AddrPort
		removed bool
	}{
		"just joined":             {0, newcomer.Addr, false},
		"silent for a second":     {time.Second, newcomer.Addr, false},
		"silent for longer":       {2 * time.Second, newcomer.Addr, true},
		"newcomer at its address": {0, netip.MustParseAddrPort("10.0.0.98:1"), true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 1, 1)
			id, _ := s.roles(t)
			leader := s.members[id].core
			// Nothing runs as this learner.
			check.NoError(t, leader.Join(s.now, quorum.Member{ID: "learner", Addr: netip.MustParseAddrPort("10.0.0.98:1")}))
			s.run(200 * time.Millisecond)
			if c.silence > 0 {
				s.run(c.silence)
			}
			check.Kind(t, leader.Join(s.now, quorum.Member{ID: newcomer.ID, Addr: c.addr}), quorum.Busy)
			s.run(200 * time.Millisecond)
			_, stays := leader.Members().Find("learner")
			check.Equal(t, "was removed", !stays, c.removed)
			if c.removed {
				check.NoError(t, leader.Join(s.now, quorum.Member{ID: newcomer.ID, Addr: c.addr}))
			}
		})
	}
}
