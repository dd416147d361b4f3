package ctrl_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/check"
	"egretshunt/ctrl"
	"egretshunt/fake"
	"egretshunt/quorum"
	"egretshunt/table"
)

// network carries messages between the members of a test and spoils them.
type network struct {
	// mu guards the rest.
	mu     sync.Mutex
	nodes  map[quorum.ID]*ctrl.Node
	isolated    map[quorum.ID]bool
	loss   float64
	random *rand.Rand
}

// port is one member's end of the network.
type port struct {
	net  *network
	from quorum.ID
}

// Send implements ctrl.Transport.
func (p port) Send(to quorum.Member, m quorum.Message) {
	n := p.net
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.nodes[to.ID]
	if target == nil || n.isolated[p.from] != n.isolated[to.ID] || n.random.Float64() < n.loss {
		return
	}
	if n.loss > 0 && n.random.Float64() < n.loss {
		// Comes twice, and the second time late.
		go func() {
			time.Sleep(3 * time.Millisecond)
			target.Deliver(m)
		}()
	}
	target.Deliver(m)
}

// cluster is a control group on fake disks.
type cluster struct {
	t       *testing.T
	net     *network
	members quorum.Members
	disks   map[quorum.ID]*fake.Disk
	wallOffset    time.Duration
	compactSize int64
	// acceptedProposals counts the proposals of change that a leader took.
	acceptedProposals atomic.Int64
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{
		t: t, disks: map[quorum.ID]*fake.Disk{}, compactSize: 1 << 20,
		net: &network{nodes: map[quorum.ID]*ctrl.Node{}, isolated: map[quorum.ID]bool{}, random: rand.New(rand.NewPCG(1, 2))},
	}
	for i := range n {
		c.members.Voters = append(c.members.Voters, quorum.Member{ID: quorum.ID(fmt.Sprintf("c%d", i)), Addr: netip.MustParseAddrPort("127.0.0.1:1")})
	}
	for _, m := range c.members.Voters {
		c.disks[m.ID] = fake.NewDisk()
		c.start(m.ID)
	}
	t.Cleanup(func() {
		for _, id := range c.ids() {
			c.kill(id)
		}
	})
	return c
}

func (c *cluster) ids() []quorum.ID {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	var ids []quorum.ID
	for _, m := range c.members.Voters {
		if c.net.nodes[m.ID] != nil {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func (c *cluster) start(id quorum.ID) {
	c.t.Helper()
	c.startWithMembers(id, c.members)
}

// startWithMembers starts a member that takes members for the group while its disk tells of none.
func (c *cluster) startWithMembers(id quorum.ID, members quorum.Members) {
	c.t.Helper()
	n, err := ctrl.NewNode(ctrl.NodeConfig{
		ID: id, Members: members, FS: c.disks[id], Transport: port{c.net, id}, CompactBytes: c.compactSize,
		Election: 100 * time.Millisecond, Beat: 20 * time.Millisecond,
		WallClock: func() time.Time { return time.Now().Add(c.wallOffset) },
	})
	check.Good(c.t, err)
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.net.nodes[id] = n
}

// kill ends a member; what its disk had not synced is lost.
func (c *cluster) kill(id quorum.ID) {
	c.net.mu.Lock()
	n := c.net.nodes[id]
	delete(c.net.nodes, id)
	c.net.mu.Unlock()
	if n != nil {
		n.Close()
		c.disks[id].Restart(7)
	}
}

func (c *cluster) node(id quorum.ID) *ctrl.Node {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	return c.net.nodes[id]
}

func (c *cluster) setIsolated(id quorum.ID, cut bool) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.net.isolated[id] = cut
}

func (c *cluster) setLoss(loss float64) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.net.loss = loss
}

// leader waits for a member that leads with a lease.
func (c *cluster) leader() quorum.ID {
	c.t.Helper()
	var found quorum.ID
	check.Soon(c.t, "a leader", func() bool {
		for _, id := range c.ids() {
			if n := c.node(id); n != nil {
				if _, ok := n.Leads(); ok {
					found = id
					return true
				}
			}
		}
		return false
	})
	return found
}

// change sends a change to one member after another until it is answered.
func (c *cluster) change(ctx context.Context, ch table.Change) (table.Result, bool) {
	for ctx.Err() == nil {
		for _, id := range c.ids() {
			n := c.node(id)
			if n == nil {
				continue
			}
			try, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			r, err := n.Propose(try, ctrl.Command{Change: &ch})
			cancel()
			if !errorx.IsOfType(err, ctrl.NotLeader) {
				c.acceptedProposals.Add(1)
			}
			if err == nil {
				return *r.Change, true
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	return table.Result{}, false
}

func poolChange(id, name string, base uint64, place string) table.Change {
	body, _ := json.Marshal(table.Pool{Name: name, Place: place, Kind: table.Service, Endpoints: []table.Endpoint{}})
	return table.Change{ID: id, Table: "pools", Name: name, Op: table.Put, Base: base, Body: body, Who: "test"}
}

func (c *cluster) mustChange(ch table.Change) table.Result {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), 60*time.Second)
	defer cancel()
	r, ok := c.change(ctx, ch)
	if !ok {
		c.t.Fatalf("change %s got no answer", ch.ID)
	}
	return r
}

func decode(data []byte, into any) error { return json.Unmarshal(data, into) }
