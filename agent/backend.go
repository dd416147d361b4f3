// Package agent stands beside one endpoint and has the last word on what reaches it.
//
// It owns the check of every offer against its own tables, the queue before the
// endpoint, the record of accepted and revoked non-idempotent work, the relay of
// answers, crash detection, the fence before orders, and the reuse of kept blocks.
// Entries send it offers over wire; it calls the endpoint through Backend.
package agent

import (
	"context"
	"io"
	"net/http"

	"github.com/joomcode/errorx"

	"egretshunt/block"
)

var (
	namespace = errorx.NewNamespace("agent")
	// Unreachable reports an endpoint that can't be reached.
	Unreachable = namespace.NewType("down")
	// Interrupted reports an endpoint that broke off in the middle.
	Interrupted = namespace.NewType("broken")
	// Rejected reports an order or a block that the endpoint did not take.
	Rejected = namespace.NewType("refused")
	// NotFound reports a block that the endpoint no longer holds.
	NotFound = namespace.NewType("gone")
)

// Call is one request to an endpoint.
type Call struct {
	ID      string
	Account string
	Method  string
	Path    string
	Headers http.Header
	Body    []byte
	// Urgency is the urgency, 0 first.
	Urgency uint32
	// AtMostOnce marks a call that must not be repeated by any layer below.
	AtMostOnce bool
	// Chain names the blocks of the prompt; Version is the weight version they belong to.
	Chain   []block.Name
	Version string
}

// Response is the beginning of an answer; its Body must be closed.
type Response struct {
	Status  int
	Headers http.Header
	// Length is the length of the body where it is known, else -1.
	Length int64
	Body   io.ReadCloser
}

// Health identifies the running incarnation of an endpoint.
type Health struct {
	Incarnation string `json:"boot"`
	Version     string `json:"version"`
}

// Backend is what every endpoint can do.
type Backend interface {
	// Run sends the call once. An error of type Down means that nothing was sent.
	Run(ctx context.Context, c Call) (*Response, error)
	Health(ctx context.Context) (Health, error)
}

// CacheEvent tells that a block came into or left an engine's prefix cache.
type CacheEvent struct {
	Seq  uint64 `json:"seq"`
	Op   string `json:"op"`
	Name string `json:"name"`
}

// CacheEvents is what an engine published after some sequence number.
type CacheEvents struct {
	Incarnation string       `json:"boot"`
	Last        uint64       `json:"last"`
	Events      []CacheEvent `json:"events"`
}

// Engine is a model engine.
type Engine interface {
	Backend
	// Warm fills the prefix cache with the prompt and generates nothing.
	Warm(ctx context.Context, c Call, prompt []byte) error
	Events(ctx context.Context, since uint64) (CacheEvents, error)
	// Export returns the bytes of a cached block.
	Export(ctx context.Context, name block.Name) ([]byte, error)
	Import(ctx context.Context, name block.Name, data []byte) error
	// Load makes the engine load a weight version; it returns once that is done.
	Load(ctx context.Context, epoch uint64, version string) error
}

// OutcomeFinder is a service that can be asked what became of an idempotency key.
type OutcomeFinder interface {
	// Outcome reports whether the call under key took effect.
	Outcome(ctx context.Context, path string) (ran bool, answer *Response, err error)
}
