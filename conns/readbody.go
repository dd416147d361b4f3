package conns

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"egretshunt/limit"
)

// BodyConfig configures ReadBody. A zero time sets no bound.
type BodyConfig struct {
	// Budget counts the body.
	Budget *limit.Budget
	// Max bounds the body, in bytes.
	Max int64
	// Time is the time in which it must arrive, Pause how long it may pause.
	Time, Pause time.Duration
}

// BodyFailure says why a body wasn't read. Status is 400, 408, 413 or 503.
type BodyFailure struct {
	Status int
	Text   string
}

// rejectedBodyTime bounds how long the rest of a rejected body is taken, so that its client finds the response.
const rejectedBodyTime = 300 * time.Millisecond

// pacedBody is a body with deadlines.
type pacedBody struct {
	source  io.Reader
	control *http.ResponseController
	config  BodyConfig
	// deadline is when the body must have arrived; zero if it may take any time.
	deadline time.Time

	// mu guards the read deadline and the rest. An abort after the end would end the request that then runs.
	mu sync.Mutex
	// aborted is set once the body is given up for others, ended once it is read.
	aborted, ended bool
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	until := b.deadline
	if pause := time.Now().Add(b.config.Pause); b.config.Pause > 0 && (until.IsZero() || pause.Before(until)) {
		until = pause
	}
	if !b.extend(until) {
		return 0, os.ErrDeadlineExceeded
	}
	return b.source.Read(p)
}

// extend sets the read deadline unless it is zero, and reports whether the body may be read further.
func (b *pacedBody) extend(until time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.aborted && !until.IsZero() {
		// An error shows in the read.
		_ = b.control.SetReadDeadline(until)
	}
	return !b.aborted
}

// end ends the reading; until bounds what the server reads from now on, unless it is zero.
func (b *pacedBody) end(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	// An error means that the client is gone.
	_ = b.control.SetReadDeadline(until)
}

// abort ends the reading of the body for others.
func (b *pacedBody) abort(limit.Stage) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return false
	}
	b.aborted = true
	return b.control.SetReadDeadline(time.Now()) == nil
}

// ReadBody reads the body of a request under a budget. The holder of its memory must be released when the request ends, and is also returned with a failure.
// A request whose body wasn't read ends its connection: w has the headers for that and, for status 503, a Retry-After.
func ReadBody(w http.ResponseWriter, r *http.Request, c BodyConfig) (data []byte, hold *limit.Hold, failure *BodyFailure) {
	b := &pacedBody{source: r.Body, control: http.NewResponseController(w), config: c}
	hold = c.Budget.Hold(limit.UseBody, b.abort)
	reject := func(status int, text string) ([]byte, *limit.Hold, *BodyFailure) {
		hold.Release()
		w.Header().Set("Connection", "close")
		if status == http.StatusServiceUnavailable {
			// By then bodies may be aborted that have stopped now.
			w.Header().Set("Retry-After", strconv.Itoa(int(limit.BodyPatience.Seconds())))
		}
		b.end(time.Now().Add(rejectedBodyTime))
		return nil, hold, &BodyFailure{Status: status, Text: text}
	}
	if r.ContentLength > c.Max {
		return reject(http.StatusRequestEntityTooLarge, "the body is too large")
	}
	if r.ContentLength == 0 {
		return nil, hold, nil
	}
	if c.Time > 0 {
		b.deadline = time.Now().Add(c.Time)
	}
	hold.Wait(limit.InBody)
	// One byte more shows a body over the limit.
	data, whole, err := hold.Read(b, c.Max+1, r.ContentLength)
	hold.Wait(limit.Busy)
	// The server now reads from the connection to learn of its end.
	b.end(time.Time{})
	switch {
	case int64(len(data)) > c.Max:
		return reject(http.StatusRequestEntityTooLarge, "the body is too large")
	case errors.Is(err, os.ErrDeadlineExceeded) || hold.Aborted():
		return reject(http.StatusRequestTimeout, "the body didn't arrive in time")
	case err != nil:
		return reject(http.StatusBadRequest, "the body broke off")
	case !whole:
		return reject(http.StatusServiceUnavailable, "no memory for the body")
	}
	return data, hold, nil
}
