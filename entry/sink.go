package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"egretshunt/wire"
)

// maxHeld bounds how much of an unstreamed answer is held back until it is whole, in bytes.
const maxHeld = 1 << 20

// sink writes one answer to its caller. An unstreamed answer is held until it is
// whole, so that a cut one can still become an error or be tried again.
type sink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	stream  bool
	limit   time.Duration

	head  *wire.Head
	held  []byte
	begun bool
	total uint64
	// armed is when the write deadline was last moved.
	armed time.Time
}

func newSink(w http.ResponseWriter, stream bool, limit time.Duration) *sink {
	return &sink{w: w, control: http.NewResponseController(w), stream: stream, limit: limit}
}

// reset forgets an answer of which the caller has seen nothing.
func (s *sink) reset() { s.head, s.held, s.total = nil, nil, 0 }

func (s *sink) setHead(h *wire.Head) {
	if s.head == nil {
		s.head = h
	}
}

// write takes the next bytes of the answer.
func (s *sink) write(p []byte) error {
	s.total += uint64(len(p))
	if !s.stream && !s.begun && len(s.held)+len(p) <= maxHeld {
		s.held = append(s.held, p...)
		return nil
	}
	if !s.begun {
		s.begin(-1)
		if err := s.push(s.held); err != nil {
			return err
		}
		s.held = nil
	}
	return s.push(p)
}

func (s *sink) begin(length int) {
	s.begun = true
	for _, h := range s.head.GetHeaders() {
		if !hopByHop(h.GetName()) {
			s.w.Header().Add(h.GetName(), h.GetValue())
		}
	}
	if length >= 0 {
		s.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	s.w.WriteHeader(int(s.head.GetStatus()))
}

func (s *sink) push(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	// A caller that takes nothing for so long is given up; others do not wait for it.
	if now := time.Now(); now.Sub(s.armed) > s.limit/8 {
		s.armed = now
		_ = s.control.SetWriteDeadline(now.Add(s.limit))
	}
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return s.control.Flush()
}

// finish sends what was held back of a whole answer.
func (s *sink) finish() *Failure {
	if s.begun {
		return nil
	}
	if s.head == nil {
		return fail(http.StatusBadGateway, CodeEndpoint, Unknown, "the endpoint gave no answer")
	}
	s.begin(len(s.held))
	// The caller is gone if this fails; the answer itself is whole.
	_ = s.push(s.held)
	return nil
}

// abort ends an answer that can't become whole. One that has begun is broken off
// so that no client takes it for complete.
func (s *sink) abort(f *Failure) {
	if !s.begun {
		f.write(s.w)
		return
	}
	if s.stream {
		// Tells clients that read events why; without [DONE] and the last chunk the stream stays incomplete.
		_ = s.push(fmt.Appendf(nil, "event: error\ndata: %s\n\n", f.body()))
	}
	panic(http.ErrAbortHandler)
}

func hopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "proxy-authenticate", "proxy-authorization", "content-length":
		return true
	}
	return false
}
