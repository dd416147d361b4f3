package entry

import (
	"net/http"

	"egretshunt/conns"
	"egretshunt/limit"
)

const (
	// promptFactor is how many times its size the body of a prompt is held: as it came, with its decoded prompt and the text of that, and in an offer.
	promptFactor = 4
	// bookingFactor is the same for calls to services, which aren't decoded.
	bookingFactor = 2
)

// bodyReader reads the body of one request and holds its memory until the request ends.
type bodyReader struct {
	w     http.ResponseWriter
	r     *http.Request
	entry *Entry
	// hold is nil until the body is read.
	hold *limit.Hold
}

// read reads the body, which is held factor times; of more than the budget allows a single body, as much as that.
func (b *bodyReader) read(factor int) ([]byte, *Failure) {
	budget := b.entry.config.Budget
	// The server's ReadTimeout bounds the time in which the body must arrive.
	data, hold, failure := conns.ReadBody(b.w, b.r, conns.BodyConfig{Budget: budget, Max: b.entry.config.MaxBody})
	b.hold = hold
	switch {
	case failure == nil:
	case failure.Status == http.StatusRequestEntityTooLarge:
		return nil, newFailure(failure.Status, CodeTooLarge, No, "the body is larger than this entry takes")
	case failure.Status == http.StatusRequestTimeout:
		return nil, newFailure(failure.Status, CodeTooSlow, No, "the body did not come in time")
	case failure.Status == http.StatusServiceUnavailable:
		return nil, b.noRoom()
	default:
		return nil, newFailure(failure.Status, CodeMalformed, No, failure.Text)
	}
	if !hold.Keep(max(budget.Single(factor*len(data)), cap(data))) {
		hold.Release()
		return nil, b.noRoom()
	}
	return data, nil
}

// noRoom returns the failure of a request for whose body there is no memory.
func (b *bodyReader) noRoom() *Failure {
	return newFailure(http.StatusServiceUnavailable, CodeBusy, No, "this entry has no memory for the body").withRetryAfter(limit.BodyPatience)
}

// release gives the memory of the body back.
func (b *bodyReader) release() {
	if b.hold != nil {
		b.hold.Release()
	}
}
