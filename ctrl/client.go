package ctrl

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/table"
	"egretshunt/wire"
)

// ClientConfig constructs a Client.
type ClientConfig struct {
	Pool *wire.Pool
	// Control lists the control VMs; it is asked again for each proposal.
	Control func() []netip.AddrPort
}

// Client proposes commands to whichever control VM leads.
type Client struct {
	config ClientConfig

	// mu guards leader and idle.
	mu     sync.Mutex
	leader netip.AddrPort
	// idleStreams holds streams to the leader that wait for their next proposal.
	idleStreams []*wire.Stream
}

// maxIdleStreams bounds the streams kept open to the leader.
const maxIdleStreams = 16

// NewClient returns a client that knows no leader yet.
func NewClient(c ClientConfig) *Client { return &Client{config: c} }

// Propose carries out one command, asking again until ctx ends or the pool is closed. Each command is
// idempotent, so that an answer that got lost is asked for again. Before sending
// anything, an error of type Unreachable or Busy; later ones leave the fate open
// and are of type Unsure.
func (c *Client) Propose(ctx context.Context, command Command) (Result, error) {
	body, err := json.Marshal(command)
	if err != nil {
		return Result{}, Malformed.Wrap(err, "write command")
	}
	to := c.initialTarget()
	sent := false
	open := func(err error) error {
		if sent {
			return Unsure.Wrap(err, "wait for control")
		}
		return Unreachable.Wrap(err, "no control VM leads")
	}
	for try := 0; ; try++ {
		got, err := c.sendProposal(ctx, to, body)
		switch {
		case errorx.IsOfType(err, wire.Closed):
			return Result{}, open(err)
		case err != nil:
			sent = sent || errorx.IsOfType(err, Unsure)
			to = c.nextControl(to)
		case got.GetCode() == "":
			c.setLeader(to)
			return readResult(got)
		case got.GetCode() == codeMalformed:
			return Result{}, Malformed.New("control could not read the command: %s", got.GetText())
		case got.GetCode() == codeNotLeader:
			to = c.redirectTarget(got.GetLeader(), to)
		default:
			sent = sent || got.GetCode() == codeUnsure
		}
		if err := waitBeforeRetry(ctx, try); err != nil {
			return Result{}, open(err)
		}
	}
}

// waitBeforeRetry waits a little longer with each try.
func waitBeforeRetry(ctx context.Context, try int) error {
	if try == 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(min(time.Duration(try)*10*time.Millisecond, 200*time.Millisecond)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func readResult(got *wire.Result) (Result, error) {
	var r Result
	if err := json.Unmarshal(got.GetBody(), &r); err != nil {
		return r, Malformed.Wrap(err, "read result")
	}
	return r, nil
}

func (c *Client) sendProposal(ctx context.Context, to netip.AddrPort, body []byte) (*wire.Result, error) {
	s, err := c.acquireStream(ctx, to)
	if err != nil {
		return nil, err
	}
	deadline, ok := ctx.Deadline()
	if limit := time.Now().Add(proposeTimeout); !ok || limit.Before(deadline) {
		deadline = limit
	}
	s.SetDeadline(deadline)
	if err := s.Send(&wire.Frame{Body: &wire.Frame_Propose{Propose: &wire.Propose{Command: body}}}); err != nil {
		s.Close()
		return nil, Unsure.Wrap(err, "send a proposal")
	}
	frame, err := s.Recv()
	if err != nil || frame.GetResult() == nil {
		s.Close()
		return nil, Unsure.New("control did not answer")
	}
	c.releaseStream(to, s)
	return frame.GetResult(), nil
}

// acquireStream returns an idle acquireStream to the leader, or opens one.
func (c *Client) acquireStream(ctx context.Context, to netip.AddrPort) (*wire.Stream, error) {
	c.mu.Lock()
	if n := len(c.idleStreams); n > 0 && to == c.leader {
		s := c.idleStreams[n-1]
		c.idleStreams = c.idleStreams[:n-1]
		c.mu.Unlock()
		return s, nil
	}
	c.mu.Unlock()
	return c.config.Pool.Open(ctx, to)
}

func (c *Client) releaseStream(to netip.AddrPort, s *wire.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if to != c.leader || len(c.idleStreams) >= maxIdleStreams {
		s.Close()
		return
	}
	c.idleStreams = append(c.idleStreams, s)
}

func (c *Client) setLeader(leader netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == leader {
		return
	}
	c.leader = leader
	for _, s := range c.idleStreams {
		s.Close()
	}
	c.idleStreams = nil
}

func (c *Client) initialTarget() netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader.IsValid() {
		return c.leader
	}
	return c.controlAt(0)
}

// controlAt returns the controlAt VM at a position of the list, counted round.
func (c *Client) controlAt(i int) netip.AddrPort {
	list := c.config.Control()
	if len(list) == 0 {
		return netip.AddrPort{}
	}
	return list[i%len(list)]
}

// nextControl returns the control VM after the one that did not answer.
func (c *Client) nextControl(after netip.AddrPort) netip.AddrPort {
	return c.controlAt(slices.Index(c.config.Control(), after) + 1)
}

func (c *Client) redirectTarget(leader string, asked netip.AddrPort) netip.AddrPort {
	a, err := netip.ParseAddrPort(leader)
	if err != nil || a == asked {
		return c.nextControl(asked)
	}
	return a
}

// Change carries out a table change.
func (c *Client) Change(ctx context.Context, ch table.Change) (table.Result, error) {
	r, err := c.Propose(ctx, Command{Change: &ch})
	if err != nil {
		return table.Result{}, err
	}
	if r.Change == nil {
		return table.Result{}, Malformed.New("control answered a change with something else")
	}
	return *r.Change, nil
}
