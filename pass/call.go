// Package pass carries any caller's request unchanged to an endpoint that has no agent
// beside it, and the endpoint's answer back byte for byte.
//
// It owns the way of such a request: account, route, admission, the attempts at
// endpoints, the answer or the refusal. Which endpoint and which kept context is route's
// decision, how much may wait or be repeated limit's. It speaks no endpoint's protocol:
// a Backend does, and whoever read the request from the network hands it in as a Call.
package pass

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"egretshunt/member"
)

var (
	namespace = errorx.NewNamespace("pass")
	// NotSent reports an attempt of which no byte reached the endpoint.
	NotSent = namespace.NewType("notsent")
	// Lost reports an attempt that may have run and whose answer did not come whole.
	Lost = namespace.NewType("lost")
)

// Part is one part of a prompt; requests that share parts share their kept context.
type Part struct {
	ID     string
	Tokens int
}

// Call is one client attempt as its caller sent it.
type Call struct {
	// ID is unique to the attempt.
	ID string
	// Host and Path select the route; Target is the path with its query as sent.
	Host, Method, Path, Target string
	// Header holds what goes on to the endpoint.
	Header http.Header
	Body   []byte
	// Key is the caller's secret; it never goes on.
	Key string
	// Arrived is when the request was read, Wait how long the caller waits from then on; zero
	// Wait means no limit.
	Arrived time.Time
	Wait    time.Duration
	// After is the last event that a resuming caller has received.
	After string
	// Model, Parts and Output describe a prompt; the last part is the request's own.
	Model  string
	Parts  []Part
	Output int
}

// Tokens returns the length of the prompt.
func (c *Call) Tokens() int {
	n := 0
	for _, p := range c.Parts {
		n += p.Tokens
	}
	return n
}

// Shared returns the parts that other requests may share.
func (c *Call) Shared() []Part { return c.Parts[:max(len(c.Parts)-1, 0)] }

// Send is one attempt at an endpoint.
type Send struct {
	Call    *Call
	To      *member.Endpoint
	Account string
	// Left is how long the endpoint may work.
	Left time.Duration
	// Rank orders requests at the endpoint; 0 is the most urgent.
	Rank int
	// Version is the version of the weights that must run the prompt; zero asks for none.
	Version uint64
	// Salt keeps apart what must not share kept context.
	Salt string
	// Fetch and Save name a store for each part; an invalid address means none.
	Fetch, Save []netip.AddrPort
	// Until is when, on the engines' clock in milliseconds, a fetch must have ended.
	Until int64
	// After is the last event that the caller has.
	After string
}

// Reply is an endpoint's answer.
type Reply struct {
	Status int
	// Header holds what goes back to the caller.
	Header http.Header
	// Signed says that the endpoint vouches for the answer; a success without it counts as none.
	Signed bool
	// NotRun says that the endpoint has not run the request and will not.
	NotRun bool
	// Other is the endpoint that has the address in place of the one addressed; "" when it is that one.
	Other string
	// Version is the version of the weights that answered; zero when unknown.
	Version uint64
	// Wait is how long the endpoint asks callers to stay away; zero when it does not say.
	Wait time.Duration
	// Body ends with io.EOF only if it came whole. Closing it earlier breaks the request off.
	Body io.ReadCloser
}

// Backend speaks to endpoints.
type Backend interface {
	// Send makes one attempt and returns once the answer's head has come. Its errors are of
	// type NotSent or Lost. When ctx ends, the request is broken off.
	Send(ctx context.Context, s *Send) (*Reply, error)
}
