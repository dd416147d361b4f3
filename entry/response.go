package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"egretshunt/wire"
)

// maxBufferedBytes bounds how much of an unstreamed answer is held back until it is whole, in bytes.
const maxBufferedBytes = 1 << 20

// responseSink writes one answer to its caller. An unstreamed answer is held until it is
// whole, so that a cut one can still become an error or be tried again.
type responseSink struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	stream       bool
	writeTimeout time.Duration

	head     *wire.Head
	buffered []byte
	started  bool
	total    uint64
	// deadlineSetAt is when the write deadline was last moved.
	deadlineSetAt time.Time
}

func newResponseSink(w http.ResponseWriter, stream bool, limit time.Duration) *responseSink {
	return &responseSink{w: w, controller: http.NewResponseController(w), stream: stream, writeTimeout: limit}
}

// reset forgets an answer of which the caller has seen nothing.
func (s *responseSink) reset() { s.head, s.buffered, s.total = nil, nil, 0 }

func (s *responseSink) setHead(h *wire.Head) {
	if s.head == nil {
		s.head = h
	}
}

// write takes the next bytes of the answer.
func (s *responseSink) write(p []byte) error {
	s.total += uint64(len(p))
	if !s.stream && !s.started && len(s.buffered)+len(p) <= maxBufferedBytes {
		s.buffered = append(s.buffered, p...)
		return nil
	}
	if !s.started {
		s.writeHead(-1)
		if err := s.writeNow(s.buffered); err != nil {
			return err
		}
		s.buffered = nil
	}
	return s.writeNow(p)
}

func (s *responseSink) writeHead(length int) {
	s.started = true
	for _, h := range s.head.GetHeaders() {
		if !isHopByHop(h.GetName()) {
			s.w.Header().Add(h.GetName(), h.GetValue())
		}
	}
	if length >= 0 {
		s.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	s.w.WriteHeader(int(s.head.GetStatus()))
}

func (s *responseSink) writeNow(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	// A caller that takes nothing for so long is given up; others do not wait for it.
	if now := time.Now(); now.Sub(s.deadlineSetAt) > s.writeTimeout/8 {
		s.deadlineSetAt = now
		_ = s.controller.SetWriteDeadline(now.Add(s.writeTimeout))
	}
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return s.controller.Flush()
}

// finish sends what was held back of a whole answer.
func (s *responseSink) finish() *Failure {
	if s.started {
		return nil
	}
	if s.head == nil {
		return newFailure(http.StatusBadGateway, CodeEndpointFailed, Unknown, "the endpoint gave no answer")
	}
	s.writeHead(len(s.buffered))
	// The caller is gone if this fails; the answer itself is whole.
	_ = s.writeNow(s.buffered)
	return nil
}

// abort ends an answer that can't become whole. One that has begun is broken off
// so that no client takes it for complete.
func (s *responseSink) abort(f *Failure) {
	if !s.started {
		f.write(s.w)
		return
	}
	if s.stream {
		// Tells clients that read events why; without [DONE] and the last chunk the stream stays incomplete.
		_ = s.writeNow(fmt.Appendf(nil, "event: error\ndata: %s\n\n", f.body()))
	}
	panic(http.ErrAbortHandler)
}

func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "proxy-authenticate", "proxy-authorization", "content-length":
		return true
	}
	return false
}
