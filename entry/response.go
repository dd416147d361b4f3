package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"egretshunt/body"
	"egretshunt/heads"
	"egretshunt/limit"
	"egretshunt/wire"
)

// maxBufferedBytes bounds how much of a non-streaming response is buffered, in bytes.
const maxBufferedBytes = 1 << 20

// responseSink writes one response to its client. A non-streaming response is buffered
// until it is complete, so that a truncated one can still be retried or replaced by an
// error.
type responseSink struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	stream       bool
	writeTimeout time.Duration

	head     *wire.Head
	buffered []byte
	// held holds the buffer; a response for which there is no memory is sent as it comes.
	held    *limit.Hold
	started bool
	total   uint64
	// events follows a stream of events; nil for other content.
	events *body.Events
	// deadlineSetAt is when the write deadline was last extended.
	deadlineSetAt time.Time
}

func newResponseSink(w http.ResponseWriter, stream bool, writeTimeout time.Duration) *responseSink {
	return &responseSink{w: w, controller: http.NewResponseController(w), stream: stream, writeTimeout: writeTimeout, held: (*limit.Budget)(nil).Hold(limit.UseResponse, nil)}
}

// reset discards a response of which nothing was sent to the client.
func (s *responseSink) reset() {
	s.head, s.buffered, s.total = nil, nil, 0
	s.held.Keep(0)
}

func (s *responseSink) setHead(h *wire.Head) {
	if s.head == nil {
		s.head = h
	}
}

// write buffers or sends the next bytes of the response.
func (s *responseSink) write(p []byte) error {
	s.total += uint64(len(p))
	if !s.stream && !s.started && len(s.buffered)+len(p) <= maxBufferedBytes && s.held.Keep(2*(len(s.buffered)+len(p))) {
		s.buffered = append(s.buffered, p...)
		return nil
	}
	if !s.started {
		s.writeHead(-1)
		if err := s.writeNow(s.buffered); err != nil {
			return err
		}
		s.buffered = nil
		s.held.Keep(0)
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
	if s.stream && body.IsEvents(s.w.Header().Get("Content-Type")) {
		s.events = body.NewEvents()
	}
	s.w.WriteHeader(int(s.head.GetStatus()))
}

func (s *responseSink) writeNow(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	// Disconnects a client that reads nothing for writeTimeout, so that it doesn't
	// hold resources that others wait for.
	if now := time.Now(); now.Sub(s.deadlineSetAt) > s.writeTimeout/8 {
		s.deadlineSetAt = now
		_ = s.controller.SetWriteDeadline(now.Add(s.writeTimeout))
	}
	if s.events != nil {
		s.events.Scan(p)
	}
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return s.controller.Flush()
}

// finish sends a complete response that is still buffered.
func (s *responseSink) finish() *Failure {
	if s.started {
		return nil
	}
	if s.head == nil {
		return newFailure(http.StatusBadGateway, CodeEndpointFailed, Unknown, "the endpoint gave no answer")
	}
	s.writeHead(len(s.buffered))
	// An error means that the client disconnected; the response itself is complete.
	_ = s.writeNow(s.buffered)
	return nil
}

// abort ends a response that can't be completed. If part of it was sent, the connection
// is aborted so that no client takes the response for complete.
func (s *responseSink) abort(f *Failure) {
	if !s.started {
		f.write(s.w)
		return
	}
	if s.events != nil && !s.events.Open() {
		// Gives the reason to clients that read events. Without [DONE] and the last
		// chunk the stream remains incomplete. Inside an event it would be taken for
		// a part of that.
		_ = s.writeNow(fmt.Appendf(nil, "event: error\ndata: %s\n\n", f.body()))
	}
	panic(http.ErrAbortHandler)
}

// checkHead returns an error unless a caller can be sent the head. Agents of former versions pass on heads that they didn't check.
func checkHead(h *wire.Head) error {
	for _, field := range h.GetHeaders() {
		if err := heads.CheckField(field.GetName(), field.GetValue()); err != nil {
			return err
		}
	}
	return heads.CheckStatus(int(h.GetStatus()))
}

func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "proxy-authenticate", "proxy-authorization", "content-length":
		return true
	}
	return false
}
