// Package pass forwards client requests unchanged to endpoints that have no agent, and relays
// the responses byte for byte.
//
// It owns the request path from admission to the final response: account and route lookup,
// admission control, attempts and retries, streaming, and the entry's own error responses.
// Package route decides on the endpoint and on the cached prompt parts to reuse; package limit
// bounds queueing and retries. The protocol of the endpoints belongs to a Backend. The server
// that read a request from the network passes it in as a Call.
package pass

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/limit"
	"egretshunt/member"
	"egretshunt/value"
)

var (
	namespace = errorx.NewNamespace("pass")
	// NotSent is the type of errors of attempts of which no byte reached the endpoint.
	NotSent = namespace.NewType("notsent")
	// Refused is the subtype of NotSent for endpoints at whose address nothing listens.
	Refused = NotSent.NewSubtype("refused")
	// Withheld is the subtype of NotSent for requests that may not be sent to the endpoint any more.
	Withheld = NotSent.NewSubtype("withheld")
	// Ended is the subtype of NotSent for endpoints whose process may have ended since the last request, where Send.SameProcess is set.
	Ended = NotSent.NewSubtype("ended")
	// Lost is the type of errors of attempts that may have run and whose response did not
	// arrive completely.
	Lost = namespace.NewType("lost")
	// BrokenOff is the subtype of Lost for bodies whose content or endpoint shows that the endpoint broke
	// them off, though their connection ended as after a complete one.
	BrokenOff = Lost.NewSubtype("brokenoff")
	// NoRoom is the type of errors of responses for which the entry has no memory. They say nothing of the endpoint.
	NoRoom = namespace.NewType("noroom")
)

// Part is one part of a prompt. Requests that share parts share their cached KV blocks.
type Part struct {
	ID     string
	Tokens int
}

// Call is one client request as received. A client's own retry is another Call.
type Call struct {
	// ID is unique to this attempt of the client.
	ID string
	// Host and Path select the route. Target is the path with its query as received.
	Host, Method, Path, Target string
	// Header holds the headers that are forwarded to the endpoint.
	Header http.Header
	Body   []byte
	// Held counts Body under the entry's budget, until the request ends; nil counts nothing. It is given up with a response that isn't read.
	Held *limit.Hold
	// APIKey is the client's API key. It is never forwarded.
	APIKey string
	// Arrived is when the request was read, or, with ArrivalKnown, when it arrived, ClientTimeout how long the client
	// waits from its arrival on. Zero ClientTimeout means no limit.
	Arrived       time.Time
	ArrivalKnown  bool
	ClientTimeout time.Duration
	// Left reports whether the client has closed its connection, even if ctx isn't canceled yet; nil
	// means that only ctx tells.
	Left func() bool
	// LastEventID is the ID of the last event that a resuming client has received.
	LastEventID string
	// Resumes is the ID of the client attempt that brought the first event of the stream that a resuming client goes on with.
	Resumes string
	// Model, Parts and MaxOutputTokens describe a prompt. The last part is the request's own,
	// MaxOutputTokens the most tokens it may generate.
	Model           string
	Parts           []Part
	MaxOutputTokens int
}

// Tokens returns the prompt's length in tokens.
func (c *Call) Tokens() int {
	n := 0
	for _, p := range c.Parts {
		n += p.Tokens
	}
	return n
}

// Shared returns the parts that other requests may share.
func (c *Call) Shared() []Part { return c.Parts[:max(len(c.Parts)-1, 0)] }

// Send is the request of one attempt at an endpoint.
type Send struct {
	Call    *Call
	To      *member.Endpoint
	Account string
	// TimeLeft is how long the endpoint may work on the request.
	TimeLeft time.Duration
	// Urgency is the urgency of the request at the endpoint; 0 is the most urgent.
	Urgency int
	// Version is the version of the weights that must run the prompt; zero means any.
	Version uint64
	// Salt separates prefix caches that must not be shared.
	Salt string
	// FetchFrom and SaveTo hold for each part the source to fetch it from and the store to save it
	// to; an invalid address means none.
	FetchFrom, SaveTo []netip.AddrPort
	// FetchDeadlineMs is the deadline of fetches on the engines' clock, in milliseconds.
	FetchDeadlineMs int64
	// LastEventID is the ID of the last event that the client has received.
	LastEventID string
	// SameProcess is set if the request isn't to be sent once a connection shows that the endpoint's process has ended: another one there
	// is cold.
	SameProcess bool
	// Silent is called if the endpoint takes nothing more of the request for some time before it responds; acknowledges says whether it still
	// acknowledges what it has taken. It returns whether the attempt is to be given up, as lost: another follows. It may be nil.
	Silent func(acknowledges bool) (giveUp bool)
	// Allowed reports whether the request may still be sent to the endpoint. The backend asks before the first byte, and returns an error
	// of type Withheld if it may not. It may be nil.
	Allowed func() bool
	// Connected is called with the time that a new connection to the endpoint took, if the attempt needed one. It may be nil.
	Connected func(took time.Duration)
}

// Reply is an endpoint's response.
type Reply struct {
	Status int
	// Header holds the headers that are relayed to the client.
	Header http.Header
	// Sealed reports whether the endpoint sealed the response. A success without a seal counts
	// as a failure.
	Sealed bool
	// NotRun reports that the endpoint has not run the request and won't.
	NotRun bool
	// OtherEndpoint is the ID of the endpoint that now uses the address instead of the intended
	// one; "" if the intended one responded.
	OtherEndpoint string
	// Version is the version of the weights that produced the response; zero if unknown.
	Version uint64
	// Leaving reports that the endpoint is about to stop and wants no further requests.
	Leaving bool
	// RetryAfter is the Retry-After time that the endpoint sent; zero if none.
	RetryAfter time.Duration
	// Limit is the limit that the response names for the requests a second of all entries together. BadLimit is its text if it can't be
	// read.
	Limit    value.Option[float64]
	BadLimit string
	// UntilClose reports that the body has neither a length nor chunks and ends with its connection.
	UntilClose bool
	// Ending is what was learned of the endpoint at the end of a body with UntilClose; it is set by the read that returns the end, and nil if
	// nothing is learned there.
	Ending *Ending
	// Body ends with io.EOF only if the response is complete; with UntilClose, only if the endpoint is known to run after its end.
	// Closing it earlier cancels the request.
	Body io.ReadCloser
}

// Ending is what is known of an endpoint when a response ended with its connection.
type Ending struct {
	Life member.Life
	// Quiet is the time between the last data and the end, Took how long it took to learn Life.
	Quiet, Took time.Duration
}

// String returns what log lines give: the endpoint's life, and the times in milliseconds. It is empty for a response that hasn't ended.
func (e *Ending) String() string {
	if e == nil || e.Took == 0 {
		return ""
	}
	return fmt.Sprintf("%v, quiet %d, learned in %d", e.Life, e.Quiet.Milliseconds(), e.Took.Milliseconds())
}

// Backend implements the protocol of the endpoints.
type Backend interface {
	// Send makes one attempt and returns once the status and headers of the response have
	// arrived. Its errors are of type NotSent or Lost. When ctx ends, the request is cancelled.
	Send(ctx context.Context, s *Send) (*Reply, error)
	// Probe reports whether the endpoint's process runs, as far as can be learned at once. It is used after a
	// response has been lost.
	Probe(ctx context.Context, to *member.Endpoint) member.Life
}
