package pass

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// relay gives an endpoint's answer to the caller: plain answers once they are whole, events
// as they come, each whole.
type relay struct {
	w      http.ResponseWriter
	stream bool
	// begun is set once the head has gone out.
	begun bool
	// last is the identity of the last event that went out.
	last string
	sent int
	// gone is set when the caller takes no more bytes.
	gone bool
	// first is called with each answer's first event, came with all bytes of answers.
	first, came func()
}

func newRelay(w http.ResponseWriter, stream bool) *relay { return &relay{w: w, stream: stream} }

// head sends status and headers.
func (r *relay) head(reply *Reply) {
	if r.begun {
		return
	}
	r.begun = true
	h := r.w.Header()
	for name, values := range reply.Header {
		h[name] = values
	}
	if reply.Header.Get("Content-Type") == "" {
		// Nothing is guessed from the body.
		h["Content-Type"] = nil
	}
	r.w.WriteHeader(reply.Status)
}

// copy passes one answer on. First is set when its first bytes come.
func (r *relay) copy(reply *Reply, first *time.Time) error {
	if r.stream && reply.Status < 300 {
		return r.events(reply, first)
	}
	return r.whole(reply, first)
}

// whole passes a plain answer on once it has come to its end, if it is not too long for that.
func (r *relay) whole(reply *Reply, first *time.Time) error {
	head, err := io.ReadAll(io.LimitReader(reply.Body, maxWhole))
	if err != nil {
		return err
	}
	*first = time.Now()
	r.hear()
	if len(head) < maxWhole {
		r.w.Header().Set("Content-Length", strconv.Itoa(len(head)))
		r.head(reply)
		return r.write(head)
	}
	r.head(reply)
	if err := r.write(head); err != nil {
		return err
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := reply.Body.Read(buf)
		if n > 0 {
			if failed := r.write(buf[:n]); failed != nil {
				return failed
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// eventEnd parts events.
var eventEnd = []byte("\n\n")

// events passes whole events on as they come.
func (r *relay) events(reply *Reply, first *time.Time) error {
	var held []byte
	buf := make([]byte, 4<<10)
	came := false
	for {
		n, err := reply.Body.Read(buf)
		held = append(held, buf[:n]...)
		if n > 0 {
			r.hear()
		}
		if n > 0 && !came && r.first != nil {
			came = true
			r.first()
		}
		if end := bytes.LastIndex(held, eventEnd); end >= 0 {
			end += len(eventEnd)
			if first.IsZero() {
				*first = time.Now()
			}
			r.head(reply)
			if failed := r.write(held[:end]); failed != nil {
				return failed
			}
			r.remember(held[:end])
			held = append(held[:0], held[end:]...)
		}
		if errors.Is(err, io.EOF) {
			if first.IsZero() {
				*first = time.Now()
			}
			r.head(reply)
			return r.write(held)
		}
		if err != nil {
			return err
		}
	}
}

// hear tells that the endpoint answers.
func (r *relay) hear() {
	if r.came != nil {
		r.came()
	}
}

// remember finds the identity of the last event of some whole ones.
func (r *relay) remember(events []byte) {
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			r.last = string(bytes.TrimSpace(id))
		}
	}
}

func (r *relay) write(data []byte) error {
	if len(data) > 0 {
		n, err := r.w.Write(data)
		r.sent += n
		if err != nil {
			r.gone = true
			return err
		}
	}
	if r.stream {
		if err := http.NewResponseController(r.w).Flush(); err != nil {
			r.gone = true
			return err
		}
	}
	return nil
}

// abort breaks the connection, so that the answer does not look complete.
func (r *relay) abort() { panic(http.ErrAbortHandler) }
