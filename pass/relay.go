package pass

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"egretshunt/body"
	"egretshunt/limit"
)

// relay writes an endpoint's response to the client: non-streaming responses once they are
// complete, events as they arrive, each one complete.
type relay struct {
	w      http.ResponseWriter
	stream bool
	// headerSent is set once status and headers were sent.
	headerSent bool
	// firstReply is the reply whose status and headers were sent; events is set if its body is a stream of events.
	firstReply *Reply
	events     bool
	// lastEventID is the ID of the last event sent, eventLines the number of lines of events sent.
	lastEventID string
	eventLines  int
	sentBytes   int
	// held counts the bytes that are held back, and the buffer through which others pass.
	held *limit.Hold
	// openBytes is how much of an incomplete event followed the last complete one.
	openBytes int
	// clientGone is set once a write to the client has failed.
	clientGone bool
	// first is called at the first data of each response, begun before its first complete output is sent,
	// onData whenever response data arrives, onEvent after events with an ID were sent.
	first, begun, onData, onEvent func()
	// writing guards the write deadline, whose expiry after the last write would cut the response off: inWrite is set while a write may be
	// aborted, aborted once it was.
	writing          sync.Mutex
	inWrite, aborted bool
	// bind is called before the first event of a response is sent; its error ends the response. Nil means that nothing is to be done.
	bind func() error
}

func newRelay(w http.ResponseWriter, stream bool, budget *limit.Budget) *relay {
	r := &relay{w: w, stream: stream}
	r.held = budget.Hold(limit.UseResponse, r.abortWrite)
	return r
}

// abortWrite ends a write to a client that doesn't read, for others; it reports whether there was one.
func (r *relay) abortWrite(limit.Stage) bool {
	r.writing.Lock()
	defer r.writing.Unlock()
	if !r.inWrite || http.NewResponseController(r.w).SetWriteDeadline(time.Now()) != nil {
		return false
	}
	r.aborted = true
	return true
}

// setInWrite says whether a write may be aborted from now on, and reports whether one was.
func (r *relay) setInWrite(on bool) (aborted bool) {
	r.writing.Lock()
	defer r.writing.Unlock()
	r.inWrite = on
	if on {
		r.held.Wait(limit.Unread)
	} else {
		r.held.Wait(limit.Busy)
	}
	return r.aborted
}

// head sends status and headers.
func (r *relay) head(reply *Reply) {
	if r.headerSent {
		return
	}
	r.headerSent, r.firstReply, r.events = true, reply, r.isEvents(reply)
	h := r.w.Header()
	for name, values := range reply.Header {
		h[name] = values
	}
	if reply.Header.Get("Content-Type") == "" {
		// A nil value keeps net/http from guessing the type from the body.
		h["Content-Type"] = nil
	}
	r.w.WriteHeader(reply.Status)
}

// isEvents reports whether a reply is relayed as a stream of events.
func (r *relay) isEvents(reply *Reply) bool {
	kind := reply.Header.Get("Content-Type")
	return r.stream && reply.Status < 300 && (kind == "" || body.IsEvents(kind))
}

// isContinuable reports whether another attempt may produce the rest of the response. Once data was sent, that takes a
// stream whose last event has an ID to resume from; anything else would mix two responses.
func (r *relay) isContinuable() bool {
	return !r.headerSent || r.events && (r.lastEventID != "" || r.eventLines == 0)
}

// continuesWith reports whether a reply may supply the rest of the response: it has the status and the type of the first.
func (r *relay) continuesWith(reply *Reply) bool {
	return r.isContinuable() && r.isEvents(reply) && reply.Status == r.firstReply.Status && body.IsSameType(reply.Header.Get("Content-Type"), r.firstReply.Header.Get("Content-Type"))
}

// copy relays one response and sets *first when its first bytes arrive. Its errors are of type Lost or NoRoom;
// those of the client are recorded in clientGone.
func (r *relay) copy(reply *Reply, first *time.Time) error {
	defer r.held.Keep(0)
	if r.isEvents(reply) {
		return r.relayEvents(reply, first)
	}
	return r.relayBuffered(reply, first)
}

const (
	// passBytes is the size of the buffer through which the rest of a long response passes, minPassBytes that while memory is short.
	passBytes, minPassBytes = 32 << 10, 4 << 10
	// pieceBytes is how much is written at a time: a client that takes less than that in limit.UnreadPatience counts as one that reads nothing.
	pieceBytes = 8 << 10
)

// relayBuffered relays a non-streaming response once it is complete. A response of at least
// maxBufferedBytes, or of more than the entry may hold, is relayed as it arrives from there on.
func (r *relay) relayBuffered(reply *Reply, first *time.Time) error {
	tracker := body.NewTracker(reply.Header.Get("Content-Type"), reply.UntilClose)
	source := io.TeeReader(reply.Body, tracker)
	head, whole, err := r.held.Read(source, maxBufferedBytes, -1)
	if err != nil {
		return err
	}
	*first = time.Now()
	r.notifyData()
	if whole && tracker.Open() {
		return BrokenOff.New("the body ends after %d bytes, which aren't all of it", len(head))
	}
	r.notifyBegun()
	if whole {
		r.w.Header().Set("Content-Length", strconv.Itoa(len(head)))
		r.head(reply)
		return r.write(head)
	}
	r.head(reply)
	if err := r.write(head); err != nil {
		return err
	}
	head = nil
	size := passBytes
	if !r.held.Keep(size) {
		size = minPassBytes
		r.held.Keep(size)
	}
	buf := make([]byte, size)
	for {
		n, err := source.Read(buf)
		if n > 0 {
			if failed := r.write(buf[:n]); failed != nil {
				return failed
			}
		}
		if errors.Is(err, io.EOF) {
			if tracker.Open() {
				return BrokenOff.New("the body ends after %d bytes, which aren't all of it", r.sentBytes)
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// maxEventBytes bounds one event; more bytes without a separator are no events.
const maxEventBytes = 1 << 20

// relayEvents relays complete events as they arrive.
func (r *relay) relayEvents(reply *Reply, first *time.Time) error {
	var pending []byte
	buf := make([]byte, 4<<10)
	started, continues, formerLines := false, r.headerSent, r.eventLines
	// scanned is how much of pending holds no status line.
	scanned := 0
	events := body.NewEvents()
	for {
		n, err := reply.Body.Read(buf)
		end := events.Scan(buf[:n])
		if end > 0 {
			end += len(pending)
		}
		pending = append(pending, buf[:n]...)
		if at := body.StatusLine(pending, scanned); at >= 0 {
			// The endpoint broke its response off and wrote another one. Only the events before that are relayed.
			end = min(end, body.LastEventEnd(pending[:at]))
			err = BrokenOff.New("the stream holds the head of another response")
		}
		scanned = max(len(pending)-body.StatusLineLength, 0)
		if n > 0 {
			r.notifyData()
		}
		if n > 0 && !started && r.first != nil {
			started = true
			r.first()
		}
		if end > 0 {
			if first.IsZero() {
				*first = time.Now()
			}
			r.notifyBegun()
			if r.bind != nil {
				if failed := r.bind(); failed != nil {
					return failed
				}
				r.bind = nil
			}
			r.head(reply)
			if failed := r.write(pending[:end]); failed != nil {
				return failed
			}
			r.updateLastEventID(pending[:end])
			pending = append(pending[:0], pending[end:]...)
			scanned = max(scanned-end, 0)
		}
		if len(pending) > maxEventBytes {
			return Lost.New("more than %d bytes without the end of an event", maxEventBytes)
		}
		if !r.held.Keep(cap(pending)) {
			return NoRoom.New("%d bytes without the end of an event, while others hold too many", len(pending))
		}
		if errors.Is(err, io.EOF) {
			r.openBytes = len(pending)
			if continues && r.eventLines == formerLines {
				// Nothing shows that the stream was complete where it broke off.
				return BrokenOff.New("a response without an event continued a stream")
			}
			if events.Open() {
				return BrokenOff.New("the stream ends inside an event, after %d bytes of it", len(pending))
			}
			if first.IsZero() {
				*first = time.Now()
			}
			r.head(reply)
			return r.write(pending)
		}
		if err != nil {
			return err
		}
	}
}

// notifyBegun reports the first complete output of a response, once.
func (r *relay) notifyBegun() {
	if r.begun != nil {
		r.begun()
		r.begun = nil
	}
}

// notifyData reports that response data has arrived.
func (r *relay) notifyData() {
	if r.onData != nil {
		r.onData()
	}
}

// updateLastEventID stores the ID of the last event among some complete ones.
func (r *relay) updateLastEventID(events []byte) {
	for line := range bytes.Lines(events) {
		if len(bytes.TrimSpace(line)) > 0 && line[0] != ':' {
			r.eventLines++
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			r.lastEventID = string(bytes.TrimSpace(id))
			if r.onEvent != nil {
				r.onEvent()
			}
		}
	}
}

// write sends data to the client.
func (r *relay) write(data []byte) error {
	r.setInWrite(true)
	err := r.writePieces(data)
	if aborted := r.setInWrite(false); aborted && err == nil {
		r.clientGone = true
		err = os.ErrDeadlineExceeded
	}
	return err
}

func (r *relay) writePieces(data []byte) error {
	for len(data) > 0 {
		n, err := r.w.Write(data[:min(len(data), pieceBytes)])
		r.sentBytes += n
		if err != nil {
			r.clientGone = true
			return err
		}
		data = data[n:]
		r.held.Heard()
	}
	if r.stream {
		if err := http.NewResponseController(r.w).Flush(); err != nil {
			r.clientGone = true
			return err
		}
	}
	return nil
}

// abort closes the connection, so that the response doesn't look complete.
func (r *relay) abort() { panic(http.ErrAbortHandler) }
