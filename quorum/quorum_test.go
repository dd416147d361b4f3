package quorum_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egretshunt/check"
	"egretshunt/quorum"
)

// step is the time that passes between two turns of a group.
const step = 10 * time.Millisecond

// member is one core with the disk of its VM.
type member struct {
	core     *quorum.Core
	hard     quorum.Hard
	snapshot quorum.Snapshot
	entries  []quorum.Entry
	applied  []string
	down     bool
}

// group runs cores over a network that a test spoils.
type group struct {
	t       rapid.TB
	now     time.Duration
	members map[quorum.ID]*member
	first   quorum.Members
	wire    []quorum.Message
	cut     map[quorum.ID]bool
	// chosen is every command that was committed anywhere, by index: the oracle.
	chosen map[uint64]string
	// leaders holds who led each term.
	leaders map[uint64]quorum.ID
}

func newGroup(t rapid.TB, n int) *group {
	g := &group{t: t, members: map[quorum.ID]*member{}, cut: map[quorum.ID]bool{}, chosen: map[uint64]string{}, leaders: map[uint64]quorum.ID{}}
	for i := range n {
		g.first.Voters = append(g.first.Voters, quorum.Member{ID: quorum.ID(fmt.Sprintf("m%d", i))})
	}
	for _, v := range g.first.Voters {
		g.members[v.ID] = &member{}
		g.boot(v.ID, g.first)
	}
	return g
}

// boot starts a member from its disk.
func (g *group) boot(id quorum.ID, first quorum.Members) {
	m := g.members[id]
	core, err := quorum.New(quorum.Options{ID: id, Members: first, Seed: uint64(len(id)) + uint64(g.now), Hard: m.hard, Snapshot: m.snapshot, Entries: m.entries})
	if err != nil {
		g.t.Fatalf("boot %s: %v", id, err)
	}
	core.Wake(g.now)
	m.core, m.down = core, false
	m.applied = nil
	if len(m.snapshot.Data) > 0 {
		m.applied = decode(m.snapshot.Data)
	}
}

// decode reads the applied commands that a snapshot holds, one a line.
func decode(data []byte) []string {
	return strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
}

// settle carries out what a member has ready, as a driver does.
func (g *group) settle(id quorum.ID) {
	m := g.members[id]
	for {
		r, ok := m.core.Ready()
		if !ok {
			break
		}
		if r.Hard != nil {
			m.hard = *r.Hard
		}
		if r.Snapshot != nil {
			m.snapshot, m.entries = *r.Snapshot, nil
			m.applied = decode(r.Snapshot.Data)
		}
		if len(r.Entries) > 0 {
			keep := r.Entries[0].Index - m.snapshot.Index - 1
			m.entries = append(slices.Clone(m.entries[:keep]), r.Entries...)
		}
		g.wire = append(g.wire, r.Messages...)
		for _, e := range r.Committed {
			g.commit(id, e)
		}
		m.core.Advance(g.now, r)
	}
	g.noteLeader(id)
}

// commit checks an applied entry against everything that was ever committed.
func (g *group) commit(id quorum.ID, e quorum.Entry) {
	what := fmt.Sprintf("%d/%d/%s", e.Kind, e.Term, e.Data)
	if known, ok := g.chosen[e.Index]; ok && known != what {
		g.t.Fatalf("%s applied %q at %d, where %q was committed", id, what, e.Index, known)
	}
	g.chosen[e.Index] = what
	m := g.members[id]
	m.applied = append(m.applied, what)
	if uint64(len(m.applied)) != e.Index {
		g.t.Fatalf("%s applied index %d as its entry %d", id, e.Index, len(m.applied))
	}
}

func (g *group) noteLeader(id quorum.ID) {
	c := g.members[id].core
	if c.Role() != quorum.Leader {
		return
	}
	if other, ok := g.leaders[c.Term()]; ok && other != id {
		g.t.Fatalf("%s and %s both lead term %d", id, other, c.Term())
	}
	g.leaders[c.Term()] = id
}

// tick moves time on for everybody and delivers what keep lets through.
func (g *group) tick(n int, keep func(m quorum.Message) bool) {
	for range n {
		g.now += step
		for _, id := range g.ids() {
			if m := g.members[id]; !m.down {
				m.core.Tick(g.now)
				m.core.Flush(g.now)
				g.settle(id)
			}
		}
		g.deliver(keep)
		g.oneLease()
	}
}

func (g *group) ids() []quorum.ID { return slices.Sorted(maps.Keys(g.members)) }

func (g *group) deliver(keep func(m quorum.Message) bool) {
	out := g.wire
	g.wire = nil
	for _, m := range out {
		to, ok := g.members[m.To]
		if !ok || to.down || g.cut[m.From] != g.cut[m.To] || (keep != nil && !keep(m)) {
			continue
		}
		to.core.Step(g.now, m)
		to.core.Flush(g.now)
		g.settle(m.To)
	}
}

// oneLease checks that no two members may answer fresh reads at once.
func (g *group) oneLease() {
	var holders []quorum.ID
	for _, id := range g.ids() {
		if m := g.members[id]; !m.down && m.core.Lease(g.now) {
			holders = append(holders, id)
		}
	}
	if len(holders) > 1 {
		g.t.Fatalf("%v hold a lease at once", holders)
	}
}

func (g *group) leader() (quorum.ID, bool) {
	for _, id := range g.ids() {
		if m := g.members[id]; !m.down && m.core.Lease(g.now) {
			return id, true
		}
	}
	return "", false
}

func (g *group) mustLead() quorum.ID {
	for range 1000 {
		if id, ok := g.leader(); ok {
			return id
		}
		g.tick(1, nil)
	}
	for _, id := range g.ids() {
		g.t.Logf("%s: down %v, %+v", id, g.members[id].down, g.members[id].core.Status(g.now))
	}
	g.t.Fatalf("nobody leads after %v", g.now)
	return ""
}

func (g *group) propose(id quorum.ID, what string) bool {
	_, _, err := g.members[id].core.Propose([]byte(what))
	if err == nil {
		g.settle(id)
	}
	return err == nil
}

func (g *group) crash(id quorum.ID) { g.members[id].down = true }

func (g *group) compact(id quorum.ID) {
	m := g.members[id]
	var data []byte
	for _, a := range m.applied {
		data = append(append(data, a...), '\n')
	}
	if s, err := m.core.Compact(m.core.Applied(), data); err == nil {
		m.snapshot, m.entries = s, slices.Clone(m.core.Tail())
	}
}

func (g *group) has(what string) bool {
	for _, v := range g.chosen {
		if v == what || (len(v) >= len(what) && v[len(v)-len(what):] == what) {
			return true
		}
	}
	return false
}

func TestElectsAndCommits(t *testing.T) {
	g := newGroup(t, 3)
	id := g.mustLead()
	g.propose(id, "a")
	g.tick(5, nil)
	if !g.has("a") {
		t.Fatal("the command was not committed")
	}
}

func TestCutOffLeaderStepsDown(t *testing.T) {
	g := newGroup(t, 3)
	old := g.mustLead()
	g.cut[old] = true
	g.propose(old, "lost")
	g.tick(300, nil)
	now := g.mustLead()
	if now == old {
		t.Fatal("the cut-off member still leads")
	}
	if g.members[old].core.Role() == quorum.Leader {
		t.Fatal("the cut-off member did not step down")
	}
	term := g.members[now].core.Term()
	g.propose(now, "kept")
	g.tick(20, nil)
	g.cut[old] = false
	g.tick(100, nil)
	if g.has("lost") || !g.has("kept") {
		t.Fatalf("committed: %v", g.chosen)
	}
	if got := g.members[now].core.Term(); got != term {
		t.Fatalf("the healed member forced term %d over %d", got, term)
	}
}

func TestCutOffFollowerDoesNotDisturb(t *testing.T) {
	g := newGroup(t, 3)
	id := g.mustLead()
	var follower quorum.ID
	for _, other := range g.ids() {
		if other != id {
			follower = other
		}
	}
	g.cut[follower] = true
	g.tick(2000, nil)
	g.cut[follower] = false
	g.tick(200, nil)
	if again, _ := g.leader(); again != id || len(g.leaders) != 1 {
		t.Fatalf("leader %s then %s, leaders by term %v", id, again, g.leaders)
	}
}

func TestTwoKilledTogether(t *testing.T) {
	g := newGroup(t, 3)
	id := g.mustLead()
	g.propose(id, "a")
	g.tick(10, nil)
	g.crash("m0")
	g.crash("m1")
	g.tick(300, nil)
	if _, ok := g.leader(); ok {
		t.Fatal("one of three members holds a lease")
	}
	g.boot("m0", g.first)
	g.boot("m1", g.first)
	g.propose(g.mustLead(), "b")
	g.tick(20, nil)
	if !g.has("a") || !g.has("b") {
		t.Fatalf("committed: %v", g.chosen)
	}
}

func TestSecondLossRightAfterRepair(t *testing.T) {
	g := newGroup(t, 3)
	id := g.mustLead()
	for i := range 100 {
		g.propose(id, fmt.Sprintf("c%d", i))
	}
	g.tick(20, nil)
	g.compact(id)
	lost := quorum.ID("m0")
	if lost == id {
		lost = "m1"
	}
	g.crash(lost)
	g.members["new"] = &member{}
	g.boot("new", quorum.Members{Voters: g.first.Voters})
	if err := g.members[id].core.Add(quorum.Member{ID: "new"}, lost); err != nil {
		t.Fatal(err)
	}
	delete(g.members, lost)
	for range 500 {
		g.tick(1, nil)
		if g.members[id].core.Members().Voter("new") {
			break
		}
	}
	members := g.members[id].core.Members()
	if !members.Voter("new") || members.Voter(lost) || len(members.Voters) != 3 {
		t.Fatalf("after the repair: %+v", members)
	}
	g.tick(5, nil)
	g.crash(id)
	next := g.mustLead()
	g.propose(next, "after")
	g.tick(20, nil)
	if !g.has("after") || !g.has("c99") {
		t.Fatal("the second loss lost a committed command, or the group stands still")
	}
}

func TestSnapshotCatchesUp(t *testing.T) {
	g := newGroup(t, 3)
	id := g.mustLead()
	var late quorum.ID
	for _, other := range g.ids() {
		if other != id {
			late = other
		}
	}
	g.crash(late)
	for i := range 2000 {
		g.propose(id, fmt.Sprint(i))
		if i%100 == 0 {
			g.tick(1, nil)
		}
	}
	g.tick(20, nil)
	g.compact(id)
	g.boot(late, g.first)
	g.tick(200, nil)
	if a, b := len(g.members[late].applied), len(g.members[id].applied); a != b {
		t.Fatalf("the late member applied %d of %d", a, b)
	}
}

// TestFuzz drives a group through loss, duplication, reordering, cuts, crashes,
// snapshots and changes of members, and checks every applied entry against all
// that was ever committed, one leader a term and one lease at a time.
func TestFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, 3)
		count := 0
		fresh := 0
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				loss := rapid.IntRange(0, 60).Draw(t, "loss")
				seed := rapid.Uint64().Draw(t, "seed")
				g.tick(rapid.IntRange(1, 120).Draw(t, "ticks"), func(m quorum.Message) bool {
					seed = seed*6364136223846793005 + 1442695040888963407
					switch r := seed >> 33 % 100; {
					case int(r) < loss:
						return false
					case r > 95:
						g.wire = append(g.wire, m)
					case r > 90:
						g.wire = append([]quorum.Message{m}, g.wire...)
						return false
					}
					return true
				})
			},
			"propose": func(t *rapid.T) {
				for _, id := range g.ids() {
					if m := g.members[id]; !m.down && m.core.Role() == quorum.Leader {
						count++
						g.propose(id, fmt.Sprintf("p%d", count))
					}
				}
			},
			"crash": func(t *rapid.T) {
				id := rapid.SampledFrom(g.ids()).Draw(t, "who")
				if !g.members[id].down {
					g.crash(id)
				} else {
					g.boot(id, g.first)
				}
			},
			"cut": func(t *rapid.T) {
				id := rapid.SampledFrom(g.ids()).Draw(t, "who")
				g.cut[id] = !g.cut[id]
			},
			"snapshot": func(t *rapid.T) {
				id := rapid.SampledFrom(g.ids()).Draw(t, "who")
				if !g.members[id].down {
					g.compact(id)
				}
			},
			"replace": func(t *rapid.T) {
				id, ok := g.leader()
				if !ok || len(g.members) > 5 {
					return
				}
				members := g.members[id].core.Members()
				old := rapid.SampledFrom(members.Voters).Draw(t, "old").ID
				fresh++
				name := quorum.ID(fmt.Sprintf("n%d", fresh))
				if g.members[id].core.Add(quorum.Member{ID: name}, old) == nil {
					g.members[name] = &member{}
					g.boot(name, quorum.Members{Voters: members.Voters})
					g.settle(id)
				}
			},
		})
		// Healed, the group must make progress again.
		g.cut = map[quorum.ID]bool{}
		for _, id := range g.ids() {
			if g.members[id].down {
				g.boot(id, g.first)
			}
		}
		g.tick(600, nil)
		g.propose(g.mustLead(), "final")
		g.tick(50, nil)
		if !g.has("final") {
			t.Fatal("the healed group commits nothing")
		}
	})
}

func TestOneReplacementAtATime(t *testing.T) {
	g := newGroup(t, 3)
	id := g.mustLead()
	c := g.members[id].core
	check.Good(t, c.Add(quorum.Member{ID: "n1"}, "m0"))
	g.tick(20, nil)
	// Two learners once took all voters out between them before either was promoted.
	check.Kind(t, c.Add(quorum.Member{ID: "n2"}, "m1"), quorum.Busy)
	check.Good(t, c.Remove("n1"))
	g.tick(20, nil)
	check.Good(t, c.Add(quorum.Member{ID: "n2"}, "m1"))
}
