package agent

import (
	"context"
	"hash/crc32"
	"sync"
	"time"

	"egretshunt/wire"
)

const (
	// readAheadBytes is how far the endpoint's response is read ahead of the client, in bytes.
	readAheadBytes = 256 << 10
	// resumeTailBytes is how many sent bytes are at least retained for a resume.
	resumeTailBytes = 1 << 20
	// maxPieceBytes bounds the response data in one frame.
	maxPieceBytes = 32 << 10
	// reattachTimeout is how long a response without a reader waits for a resume.
	reattachTimeout = 5 * time.Second
)

// exchange is one accepted request and the response received so far.
type exchange struct {
	id          string
	account     string
	fingerprint string
	parts       []string
	atMostOnce  bool
	isolated    bool
	tokens      float64
	cancel      context.CancelFunc

	// mu guards the fields below; cond is signalled at each change.
	mu   sync.Mutex
	cond *sync.Cond
	head *wire.Head
	// data holds the response body from dataOffset on.
	data       []byte
	dataOffset uint64
	sentOffset uint64
	// sentAt is when the request was sent to the endpoint; zero before.
	sentAt time.Time
	// end is set when the response is complete, failure when it never will be.
	end        *wire.End
	failure    *wire.Refuse
	readers    int
	detachedAt time.Time
	checksum   uint32
}

func newExchange(o *wire.Offer, cancel context.CancelFunc) *exchange {
	x := &exchange{
		id: o.GetId(), account: o.GetAccount(), fingerprint: o.GetPrint(), parts: o.GetParts(), atMostOnce: o.GetOnce(), isolated: o.GetAlone(),
		tokens: float64(o.GetSize()), cancel: cancel,
	}
	x.cond = sync.NewCond(&x.mu)
	return x
}

// markSent records that the request is sent to the endpoint.
func (x *exchange) markSent(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sentAt = now
}

// awaitsOutput reports whether the request was sent and no output has come, and when it was sent.
func (x *exchange) awaitsOutput() (sentAt time.Time, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.sentAt, !x.sentAt.IsZero() && x.dataOffset == 0 && len(x.data) == 0
}

// begin records the response's status and headers. They are sent with the first bytes,
// or with the end of an empty response.
func (x *exchange) begin(r *Response) {
	head := &wire.Head{Status: uint32(r.Status)}
	for name, values := range r.Headers {
		for _, v := range values {
			head.Headers = append(head.Headers, &wire.Header{Name: name, Value: v})
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.head = head
}

// write appends to the response body, and blocks while the reader is more than
// readAheadBytes behind. If last is set, finish follows immediately, so readers aren't
// woken for these bytes alone.
func (x *exchange) write(ctx context.Context, p []byte, last bool) error {
	stop := context.AfterFunc(ctx, x.wakeWaiters)
	defer stop()
	x.mu.Lock()
	defer x.mu.Unlock()
	for x.dataOffset+uint64(len(x.data))-x.sentOffset > readAheadBytes && ctx.Err() == nil {
		x.cond.Wait()
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	x.data = append(x.data, p...)
	x.checksum = crc32.Update(x.checksum, crc32.IEEETable, p)
	if !last {
		x.cond.Broadcast()
	}
	return nil
}

// wakeWaiters wakes all goroutines waiting on cond. It locks mu so that no goroutine
// can miss the signal between testing its condition and waiting.
func (x *exchange) wakeWaiters() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cond.Broadcast()
}

// finish marks the response complete and fills in its length and checksum.
func (x *exchange) finish(end *wire.End) {
	x.mu.Lock()
	defer x.mu.Unlock()
	end.Id, end.Total, end.Sum = x.id, x.dataOffset+uint64(len(x.data)), x.checksum
	x.end = end
	x.cond.Broadcast()
}

// fail marks the response as failed unless it has already ended.
func (x *exchange) fail(r *wire.Refuse) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.end == nil && x.failure == nil {
		x.failure = r
	}
	x.cond.Broadcast()
}

// isDone reports whether the response is complete or has failed.
func (x *exchange) isDone() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.end != nil || x.failure != nil
}

// complete returns the complete response, or false if it isn't complete. Both parts are nil if
// the start of the body is no longer retained.
func (x *exchange) complete() (*wire.Head, []byte, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.end == nil || x.head == nil {
		return nil, nil, false
	}
	if x.dataOffset > 0 {
		return nil, nil, true
	}
	return x.head, x.data, true
}

// waitFrames waits until there is something to send at offset and returns it, with at
// most one piece of the body. It returns nil once ctx is done.
func (x *exchange) waitFrames(ctx context.Context, offset uint64, headSent bool) []*wire.Frame {
	stop := context.AfterFunc(ctx, x.wakeWaiters)
	defer stop()
	x.mu.Lock()
	defer x.mu.Unlock()
	for ctx.Err() == nil {
		if frames := x.readyFrames(offset, headSent); len(frames) > 0 {
			return frames
		}
		x.cond.Wait()
	}
	return nil
}

// readyFrames returns the frames that can be sent now. The caller must hold mu.
func (x *exchange) readyFrames(offset uint64, headSent bool) []*wire.Frame {
	if offset < x.dataOffset {
		return []*wire.Frame{refuseFrame(newRefuse(codeGone, ranYes, "that part of the answer is no longer kept"))}
	}
	var frames []*wire.Frame
	held := x.dataOffset + uint64(len(x.data))
	if offset < held || x.end != nil {
		if !headSent && x.head != nil {
			frames = append(frames, &wire.Frame{Body: &wire.Frame_Head{Head: x.head}})
		}
		if offset < held {
			f := x.cutPiece(offset, held)
			frames = append(frames, f)
			offset += uint64(len(f.GetPiece().GetData()))
		}
	}
	switch {
	case offset < held:
	case x.end != nil:
		frames = append(frames, &wire.Frame{Body: &wire.Frame_End{End: x.end}})
	case x.failure != nil:
		frames = append(frames, refuseFrame(x.failure))
	}
	return frames
}

func refuseFrame(r *wire.Refuse) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Refuse{Refuse: r}}
}

// cutPiece returns the piece at offset and releases data sent long before it. The caller must
// hold mu.
func (x *exchange) cutPiece(offset, held uint64) *wire.Frame {
	n := min(held-offset, maxPieceBytes)
	from := offset - x.dataOffset
	data := append([]byte(nil), x.data[from:from+n]...)
	x.sentOffset = max(x.sentOffset, offset+n)
	if x.sentOffset-x.dataOffset > 2*resumeTailBytes {
		cut := x.sentOffset - x.dataOffset - resumeTailBytes
		x.data = append([]byte(nil), x.data[cut:]...)
		x.dataOffset += cut
	}
	x.cond.Broadcast()
	return &wire.Frame{Body: &wire.Frame_Piece{Piece: &wire.Piece{Id: x.id, Offset: offset, Data: data}}}
}

// attach registers a reader and detach removes it; the request is cancelled if no
// reader attaches again within reattachTimeout.
func (x *exchange) attach() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.readers++
}

func (x *exchange) detach(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.readers--
	x.detachedAt = now
}

// isAbandoned reports whether the exchange has had no reader for longer than reattachTimeout.
func (x *exchange) isAbandoned(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.readers == 0 && !x.detachedAt.IsZero() && now.Sub(x.detachedAt) > reattachTimeout
}
