// Package wire transports frames (protobuf messages) between the processes of the system.
//
// It owns connections (TLS with pinned keys, yamux streams), framing and
// reconnection. It does not interpret messages: packages entry, agent, store and
// ctrl define what each frame means.
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

// MaxFrameBytes is the maximum size of a received frame, in bytes.
const MaxFrameBytes = 32 << 20

var (
	namespace = errorx.NewNamespace("wire")
	// BadKey reports an invalid secret, or a peer that does not share a secret with this process.
	BadKey = namespace.NewType("badkey")
	// ConnectionLost reports a connection that broke or could not be established.
	ConnectionLost = namespace.NewType("lost")
	// PoolClosed reports that this process has closed its Pool. A retry can't succeed.
	PoolClosed = ConnectionLost.NewSubtype("closed")
	// Malformed reports a frame that can't be encoded or decoded.
	Malformed = namespace.NewType("malformed")
	// Timeout reports a deadline that expired while sending or receiving.
	Timeout = namespace.NewType("late")
)

// RevisionTracker supplies the table revision for outgoing frames and receives the revisions of the
// peers.
type RevisionTracker interface {
	// Rev returns the installed table revision.
	Rev() uint64
	// ObserveRevision is called with the table revision that a peer has installed.
	ObserveRevision(rev uint64)
}

// NoRevision is a RevisionTracker without a table revision.
type NoRevision struct{}

// Rev returns zero.
func (NoRevision) Rev() uint64 { return 0 }

// ObserveRevision does nothing.
func (NoRevision) ObserveRevision(uint64) {}

// Stream is a bidirectional sequence of frames. One goroutine may send while another receives.
type Stream struct {
	conn      net.Conn
	reader    *bufio.Reader
	revisions RevisionTracker

	// mu guards writes to conn.
	mu sync.Mutex
}

func newStream(conn net.Conn, revisions RevisionTracker) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReaderSize(conn, 2048), revisions: revisions}
}

// Send writes the frames in a single write. It blocks while the peer reads too slowly.
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
			return Malformed.Wrap(err, "encode frame")
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

// bufferPool holds encoding buffers that all streams reuse.
var bufferPool = sync.Pool{New: func() any { return new([]byte) }}

// Recv reads the next frame. It returns io.EOF if the peer closed the stream between two frames.
func (s *Stream) Recv() (*Frame, error) {
	f := &Frame{}
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}.UnmarshalFrom(s.reader, f)
	if errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	if err != nil {
		return nil, wrapError(err, "receive frame")
	}
	s.revisions.ObserveRevision(f.GetRev())
	return f, nil
}

// SetDeadline sets the deadline of all later sends and receives; the zero time removes it.
func (s *Stream) SetDeadline(t time.Time) {
	// yamux never returns an error for an open stream; a closed one returns an error on use.
	_ = s.conn.SetDeadline(t)
}

// SetSendDeadline sets the deadline of all later sends; the zero time removes it.
func (s *Stream) SetSendDeadline(t time.Time) {
	// As in SetDeadline, an error shows on the next use.
	_ = s.conn.SetWriteDeadline(t)
}

// Abort closes the stream and unblocks pending sends and receives. Close alone
// leaves receivers waiting for the rest of what the peer sends.
func (s *Stream) Abort() {
	s.SetDeadline(time.Unix(1, 0))
	// An error means that the stream is already closed.
	_ = s.conn.Close()
}

// Close closes the stream for both sides.
func (s *Stream) Close() error { return s.conn.Close() }

func wrapError(err error, operation string) error {
	var tooLarge *protodelim.SizeTooLargeError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) || isTimeout(err):
		return Timeout.Wrap(err, "%s", operation)
	case errors.As(err, &tooLarge):
		return Malformed.Wrap(err, "%s", operation)
	case isConnectionError(err):
		return ConnectionLost.Wrap(err, "%s", operation)
	}
	return Malformed.Wrap(err, "%s", operation)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
