// Package wire carries typed messages between the processes of the system.
//
// It owns connections (TLS with pinned keys, yamux streams), framing and
// reconnection. It does not know what a message means: entry, agent, store and
// ctrl give frames their meaning.
package wire

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// MaxFrame is the largest frame accepted, in bytes.
const MaxFrame = 32 << 20

var (
	namespace = errorx.NewNamespace("wire")
	// BadKey reports a secret that is unusable or not shared by the peer.
	BadKey = namespace.NewType("badkey")
	// Lost reports a connection that could not be made or broke.
	Lost = namespace.NewType("lost")
	// Closed reports that this process has closed its connections for good.
	Closed = Lost.NewSubtype("closed")
	// Malformed reports a frame that can't be decoded.
	Malformed = namespace.NewType("malformed")
	// Late reports a deadline that passed while sending or receiving.
	Late = namespace.NewType("late")
)

// Clock stamps outgoing frames with a revision and hears of the peers' ones.
type Clock interface {
	// Rev returns the installed table revision.
	Rev() uint64
	// Heard tells that a peer has installed rev.
	Heard(rev uint64)
}

// NoRevision is a Clock that has no revision.
type NoRevision struct{}

// Rev returns zero.
func (NoRevision) Rev() uint64 { return 0 }

// Heard does nothing.
func (NoRevision) Heard(uint64) {}

// Stream is one two-way exchange of frames. One goroutine may send while another receives.
type Stream struct {
	conn      net.Conn
	reader    *bufio.Reader
	revisions Clock

	// mu guards writes to conn.
	mu sync.Mutex
}

func newStream(conn net.Conn, revisions Clock) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReaderSize(conn, 2048), revisions: revisions}
}

// Send writes frames in one piece; it waits while the peer reads slowly.
func (s *Stream) Send(frames ...*Frame) error {
	buf := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buf)
	out := (*buf)[:0]
	rev := s.revisions.Rev()
	for _, f := range frames {
		f.Rev = rev
		var err error
		out = protowire.AppendVarint(out, uint64(proto.Size(f)))
		if out, err = (proto.MarshalOptions{UseCachedSize: true}).MarshalAppend(out, f); err != nil {
			return Malformed.Wrap(err, "write frame")
		}
	}
	*buf = out[:0]
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.conn.Write(out); err != nil {
		return wrapError(err, "send frame")
	}
	return nil
}

// bufferPool are reused by all streams.
var bufferPool = sync.Pool{New: func() any { return new([]byte) }}

// Recv reads the next frame. io.EOF means that the peer closed the stream cleanly.
func (s *Stream) Recv() (*Frame, error) {
	f := &Frame{}
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrame}.UnmarshalFrom(s.reader, f)
	if errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	if err != nil {
		return nil, wrapError(err, "receive frame")
	}
	s.revisions.Heard(f.GetRev())
	return f, nil
}

// SetDeadline bounds all later sends and receives; the zero time removes the bound.
func (s *Stream) SetDeadline(t time.Time) {
	// yamux never fails to set a deadline on an open stream, and a closed one reports it on use.
	_ = s.conn.SetDeadline(t)
}

// Abort ends the stream and wakes whoever sends or receives on it: Close alone
// waits for what the peer still has to say.
func (s *Stream) Abort() {
	s.SetDeadline(time.Unix(1, 0))
	// A stream that is closed already needs nothing more.
	_ = s.conn.Close()
}

// Close ends the stream for both sides.
func (s *Stream) Close() error { return s.conn.Close() }

func wrapError(err error, operation string) error {
	var tooLarge *protodelim.SizeTooLargeError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) || isTimeout(err):
		return Late.Wrap(err, "%s", operation)
	case errors.As(err, &tooLarge):
		return Malformed.Wrap(err, "%s", operation)
	case isConnectionError(err):
		return Lost.Wrap(err, "%s", operation)
	}
	return Malformed.Wrap(err, "%s", operation)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
