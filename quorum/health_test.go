package quorum

import (
	"net/netip"
	"testing"
	"time"

	"egretshunt/check"
)

func newTestLeader(t *testing.T, silent map[ID]time.Duration, learners ...Learner) *Core {
	t.Helper()
	m := Members{Learners: learners}
	for _, id := range []ID{"a", "b", "c"} {
		m.Voters = append(m.Voters, Member{ID: id, Addr: netip.MustParseAddrPort("10.0.0." + map[ID]string{"a": "1", "b": "2", "c": "3"}[id] + ":1")})
	}
	c, err := New(Options{ID: "a", Members: m})
	check.NoError(t, err)
	c.role, c.progress = Leader, map[ID]*progress{}
	for _, x := range m.All() {
		if x.ID != "a" {
			c.progress[x.ID] = &progress{ackedSentAt: 100*time.Second - silent[x.ID]}
		}
	}
	return c
}

func TestNewcomerReplacesVoter(t *testing.T) {
	fresh := Member{ID: "d", Addr: netip.MustParseAddrPort("10.0.0.9:1")}
	wiped := Member{ID: "b#1", Addr: netip.MustParseAddrPort("10.0.0.2:1")}
	now, maxSilence := 100*time.Second, time.Second
	check.Equal(t, "voter at the same address lost its disk", newTestLeader(t, nil).VoterToReplace(now, wiped, 3, maxSilence), ID("b"))
	check.Equal(t, "no silent voter", newTestLeader(t, nil).VoterToReplace(now, fresh, 3, maxSilence), ID(""))
	check.Equal(t, "longest silent voter", newTestLeader(t, map[ID]time.Duration{"b": 2 * time.Second, "c": 5 * time.Second}).VoterToReplace(now, fresh, 3, maxSilence), ID("c"))
	check.Equal(t, "fewer voters than wanted", newTestLeader(t, map[ID]time.Duration{"c": 5 * time.Second}).VoterToReplace(now, fresh, 5, maxSilence), ID(""))
}

func TestSurplusMemberIsRemoved(t *testing.T) {
	now, maxSilence := 100*time.Second, 3*time.Second
	gone := map[ID]time.Duration{"c": 9 * time.Second}
	check.Equal(t, "as many voters as wanted", newTestLeader(t, gone).MemberToRemove(now, 3, maxSilence), ID(""))
	check.Equal(t, "one voter more than wanted", newTestLeader(t, gone).MemberToRemove(now, 2, maxSilence), ID("c"))
	check.Equal(t, "no silent voter", newTestLeader(t, nil).MemberToRemove(now, 2, maxSilence), ID(""))
	stuck := Learner{Member: Member{ID: "d"}}
	check.Equal(t, "silent learner blocks other additions", newTestLeader(t, map[ID]time.Duration{"d": 9 * time.Second}, stuck).MemberToRemove(now, 3, maxSilence), ID("d"))
}
