package ctrl

import (
	"context"
	"encoding/json"
	"errors"
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
	// Control returns the addresses of the control VMs; it is called again for each proposal.
	Control func() []netip.AddrPort
}

// Client sends proposals to the control VM that leads.
type Client struct {
	config ClientConfig

	// mu guards leader, next and idleStreams.
	mu     sync.Mutex
	leader netip.AddrPort
	// next is where the next proposal begins while no leader is known, after one that found none.
	next netip.AddrPort
	// idleStreams are open streams to the leader without a proposal.
	idleStreams []*wire.Stream
}

// maxIdleStreams bounds the idle streams kept open to the leader.
const maxIdleStreams = 16

// NewClient returns a client that opens its streams on the configured pool.
func NewClient(c ClientConfig) *Client { return &Client{config: c} }

// Propose carries out one command and retries until ctx ends or the pool is closed. Every
// command is idempotent, so a command whose response was lost is sent again. An error of
// type Unreachable or Busy means that the command was not carried out; after one of type
// OutcomeUnknown the outcome is unknown.
func (c *Client) Propose(ctx context.Context, command Command) (Result, error) {
	body, err := json.Marshal(command)
	if err != nil {
		return Result{}, Malformed.Wrap(err, "write command")
	}
	to := c.initialTarget()
	maybeSent, answered := false, false
	outcomeError := func(err error) error {
		if maybeSent {
			return OutcomeUnknown.Wrap(err, "wait for a response from control")
		}
		return Unreachable.Wrap(err, "no control VM leads")
	}
	for attempt := 0; ; attempt++ {
		reply, err := c.sendProposal(ctx, to, body)
		answered = answered || err == nil
		switch {
		case errorx.IsOfType(err, wire.PoolClosed):
			return Result{}, outcomeError(err)
		case err != nil:
			maybeSent = maybeSent || errorx.IsOfType(err, OutcomeUnknown)
			to = c.nextControl(to)
		case reply.GetCode() == "":
			c.setLeader(to)
			return readResult(reply)
		case reply.GetCode() == codeMalformed:
			return Result{}, Malformed.New("control could not read the command: %s", reply.GetText())
		case reply.GetCode() == codeNotLeader:
			to = c.redirectTarget(reply.GetLeader(), to)
		default:
			maybeSent = maybeSent || reply.GetCode() == codeUnsure
		}
		if err := waitBeforeRetry(ctx, attempt); err != nil {
			if !answered && errors.Is(err, context.DeadlineExceeded) {
				c.forgetLeader(to)
			}
			return Result{}, outcomeError(err)
		}
	}
}

// waitBeforeRetry waits 10 ms longer after each attempt, at most 200 ms, and not at all after
// the first.
func waitBeforeRetry(ctx context.Context, attempt int) error {
	if attempt == 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(min(time.Duration(attempt)*10*time.Millisecond, 200*time.Millisecond)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func readResult(reply *wire.Result) (Result, error) {
	var r Result
	if err := json.Unmarshal(reply.GetBody(), &r); err != nil {
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
		return nil, OutcomeUnknown.Wrap(err, "send a proposal")
	}
	frame, err := s.Recv()
	if err != nil || frame.GetResult() == nil {
		s.Close()
		return nil, OutcomeUnknown.New("no response from control")
	}
	c.releaseStream(to, s)
	return frame.GetResult(), nil
}

// acquireStream returns an idle stream if to is the leader, or opens a new one.
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

// forgetLeader lets the next proposal begin at the given control VM: those asked so far may not respond to any.
func (c *Client) forgetLeader(next netip.AddrPort) {
	c.setLeader(netip.AddrPort{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = next
}

func (c *Client) initialTarget() netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader.IsValid() {
		return c.leader
	}
	if c.next.IsValid() {
		return c.next
	}
	return c.controlAt(0)
}

// controlAt returns the control VM at index i of the list, modulo its length.
func (c *Client) controlAt(i int) netip.AddrPort {
	list := c.config.Control()
	if len(list) == 0 {
		return netip.AddrPort{}
	}
	return list[i%len(list)]
}

// nextControl returns the control VM that follows the given one in the list.
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

// Change proposes a table change and returns its result.
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
