// Package agent runs beside one endpoint and makes the final check on every request for it.
//
// It owns the check of offers against its own tables, the queue in front of the
// endpoint, the record of accepted and revoked non-idempotent attempts, the relay of
// responses, crash detection, the fencing check on commands, and the reuse of cached
// KV blocks. Entries send it offers over wire; it calls the endpoint through Backend.
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
	// Unreachable reports that no connection to the endpoint was made, so nothing was sent.
	Unreachable = namespace.NewType("down")
	// Interrupted reports a call that failed after it may have reached the endpoint.
	Interrupted = namespace.NewType("broken")
	// Malformed is the subtype of Interrupted for responses whose head breaks the grammar of HTTP: the endpoint runs.
	Malformed = Interrupted.NewSubtype("malformed")
	// Rejected reports a command, block or short call that was rejected, or a malformed response.
	Rejected = namespace.NewType("refused")
	// NotFound reports a block or path that does not exist.
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
	// Urgency is the priority level; 0 is the most urgent.
	Urgency uint32
	// AtMostOnce marks a call that must not be repeated by any layer below.
	AtMostOnce bool
	// Chain holds the names of the prompt's KV blocks; Version is the weight version they were
	// computed with.
	Chain   []block.Name
	Version string
}

// Response is a response whose body is still to be read; the caller must close Body.
type Response struct {
	Status  int
	Headers http.Header
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// UntilClose reports that the body has neither a length nor chunks and ends with its connection.
	UntilClose bool
	Body       io.ReadCloser
}

// Health identifies an endpoint's incarnation and its loaded weight version.
type Health struct {
	Incarnation string `json:"boot"`
	Version     string `json:"version"`
}

// Backend is implemented by every kind of endpoint.
type Backend interface {
	// Run sends the call once. An error of type Unreachable means that nothing was sent.
	Run(ctx context.Context, c Call) (*Response, error)
	Health(ctx context.Context) (Health, error)
}

// CacheEvent reports that a block was added to or removed from an engine's prefix cache.
type CacheEvent struct {
	Seq  uint64 `json:"seq"`
	Op   string `json:"op"`
	Name string `json:"name"`
}

// CacheEvents holds the events that an engine published after a sequence number.
type CacheEvents struct {
	Incarnation string       `json:"boot"`
	Last        uint64       `json:"last"`
	Events      []CacheEvent `json:"events"`
}

// Engine is a model engine.
type Engine interface {
	Backend
	// Warm prefills the prompt into the prefix cache; its output is discarded.
	Warm(ctx context.Context, c Call, prompt []byte) error
	Events(ctx context.Context, since uint64) (CacheEvents, error)
	// Export returns the bytes of a cached block.
	Export(ctx context.Context, name block.Name) ([]byte, error)
	Import(ctx context.Context, name block.Name, data []byte) error
	// Load makes the engine load a weight version and returns when it is loaded.
	Load(ctx context.Context, epoch uint64, version string) error
}

// OutcomeFinder is a service that can report the outcome of an idempotency key.
type OutcomeFinder interface {
	// Outcome requests path and reports whether the call took effect.
	Outcome(ctx context.Context, path string) (ran bool, answer *Response, err error)
}
