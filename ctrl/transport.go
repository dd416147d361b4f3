package ctrl

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"egretshunt/quorum"
	"egretshunt/ring"
	"egretshunt/wire"
)

const (
	// peerQueueSize bounds the messages queued for one member.
	peerQueueSize = 256
	// redialDelay is the delay before the next attempt after a connection failed.
	redialDelay = 100 * time.Millisecond
)

// Peers is the Transport over wire streams: one goroutine and one stream for each member.
type Peers struct {
	pool    *wire.Pool
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	// mu guards out.
	mu  sync.Mutex
	out map[netip.AddrPort]*ring.Ring[quorum.Message]
}

// NewPeers returns a transport that opens streams on pool.
func NewPeers(pool *wire.Pool) *Peers {
	ctx, cancel := context.WithCancel(context.Background())
	return &Peers{pool: pool, ctx: ctx, cancel: cancel, out: map[netip.AddrPort]*ring.Ring[quorum.Message]{}}
}

// Send implements Transport. A message is dropped when the queue is full: the core sends
// again what it needs.
func (p *Peers) Send(to quorum.Member, m quorum.Message) {
	p.mu.Lock()
	out, ok := p.out[to.Addr]
	if !ok {
		out = ring.New[quorum.Message](peerQueueSize)
		p.out[to.Addr] = out
		p.running.Go(func() { p.sendLoop(to.Addr, out) })
	}
	p.mu.Unlock()
	out.Offer(m)
}

// sendLoop sends one member's messages in order.
func (p *Peers) sendLoop(to netip.AddrPort, out *ring.Ring[quorum.Message]) {
	var stream *wire.Stream
	for {
		m, err := out.Pop(p.ctx)
		if err != nil {
			if stream != nil {
				stream.Abort()
			}
			return
		}
		stream, err = p.sendWithRedial(stream, to, m)
		if err != nil {
			// The protocol tolerates lost messages; the core sends again what it needs.
			p.waitRedial()
		}
	}
}

// sendWithRedial sends one message, on a new stream if the present one fails: a vote that is
// lost with its connection costs a whole election. It returns the stream for the next message.
func (p *Peers) sendWithRedial(stream *wire.Stream, to netip.AddrPort, m quorum.Message) (*wire.Stream, error) {
	if stream != nil {
		if err := p.sendOnStream(stream, m); err == nil {
			return stream, nil
		}
		stream.Abort()
	}
	stream, err := p.pool.Open(p.ctx, to)
	if err != nil {
		return nil, err
	}
	p.running.Go(func() { closeWithPeer(stream) })
	if err := p.sendOnStream(stream, m); err != nil {
		stream.Abort()
		return nil, err
	}
	return stream, nil
}

// closeWithPeer closes the stream when the peer closes its side. Sends don't fail then by themselves: messages
// would be accepted until the stream's window is full, and nobody would read them.
func closeWithPeer(s *wire.Stream) {
	// The peer sends no frames on this stream; whatever Recv returns, the stream is of no more use.
	_, _ = s.Recv()
	s.Abort()
}

func (p *Peers) sendOnStream(s *wire.Stream, m quorum.Message) error {
	w, err := encodeMessage(m)
	if err != nil {
		return err
	}
	s.SetSendDeadline(time.Now().Add(wire.WriteTimeout))
	return s.Send(&wire.Frame{Body: &wire.Frame_Raft{Raft: w}})
}

func (p *Peers) waitRedial() {
	select {
	case <-time.After(redialDelay):
	case <-p.ctx.Done():
	}
}

// Close stops sending and waits for all goroutines to end.
func (p *Peers) Close() {
	p.cancel()
	p.running.Wait()
}
