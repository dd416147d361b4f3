// Package ledger ensures that a non-idempotent request runs at most once.
//
// It owns the claims of requests that carry an idempotency key and the responses
// stored for retries of such requests. It is a deterministic state machine without I/O
// or clock: entry proposes commands, ctrl replicates them, and agent enforces the claims.
package ledger

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("ledger")
	// Malformed reports a snapshot that can't be decoded.
	Malformed = namespace.NewType("malformed")
)

// Key identifies one non-idempotent request of one client account.
type Key struct {
	Account string `json:"account"`
	Key     string `json:"key"`
}

func (k Key) compare(other Key) int {
	return cmp.Or(strings.Compare(k.Account, other.Account), strings.Compare(k.Key, other.Key))
}

// Shard returns the number of the group, from 0 to n-1, that holds the key's claim.
func (k Key) Shard(n int) int {
	h := sha256.Sum256([]byte(k.Account + "\x00" + k.Key))
	return int(binary.LittleEndian.Uint64(h[:8]) % uint64(n))
}

// Fingerprint returns the fingerprint of a request's content. Each part is hashed with its length,
// so that the same bytes split differently have another fingerprint.
func Fingerprint(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Claim states.
const (
	// Open means that one attempt may be running.
	Open = "open"
	// Free means that no attempt ran; the next claim may try again.
	Free = "free"
	// Done means that the request ran once and its response is known.
	Done = "done"
	// Unknown means that the request may have run; it is not sent again unless the claim is settled as Free.
	Unknown = "unknown"
)

// Header is one header field of a stored response.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Response is the stored response that retries receive.
type Response struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// BodyDropped means that the request ran but its body was discarded to free space, or that no response was given.
	BodyDropped bool `json:"dropped,omitempty"`
}

// Claim is the state of one key. What its pointer fields refer to is immutable once set.
type Claim struct {
	Key
	Fingerprint string    `json:"print"`
	State       string    `json:"state"`
	Owner       string    `json:"owner"`
	Nonce       string    `json:"nonce"`
	Attempt     uint32    `json:"attempt"`
	Route       string    `json:"route"`
	Pool        string    `json:"pool"`
	Endpoint    string    `json:"endpoint"`
	Incarnation string    `json:"boot"`
	Path        string    `json:"path"`
	At          time.Time `json:"at"`
	// Until is the time by which the owner has stopped on its own; later, another entry may take over.
	Until time.Time `json:"until"`
	// EndedAt is when the claim became Done or Free; zero before, and in claims of earlier versions.
	EndedAt  time.Time `json:"ended,omitzero"`
	Response *Response `json:"answer,omitempty"`
}

// Command operations.
const (
	OpClaim       = "claim"
	OpMove        = "move"
	OpTakeOver    = "take"
	OpFinish      = "finish"
	OpRelease     = "release"
	OpMarkUnknown = "lose"
	OpSettle      = "settle"
)

// Command requests one transition of one claim. Applying a command twice has the same
// effect as applying it once.
type Command struct {
	Op string `json:"op"`
	Claim
	// OwnerDead is set by the leader on OpTakeOver if the owner's lease has expired.
	OwnerDead bool `json:"dead,omitempty"`
	// Operator is who settles the claim: an operator, or "agent" if an agent's verdict does.
	// Verdict is the outcome: Done or Free.
	Operator string `json:"who,omitempty"`
	Verdict  string `json:"verdict,omitempty"`
}

// Reply codes.
const (
	Granted   = "granted"
	Held      = "held"
	KeyReused = "reused"
	Stale     = "stale"
	Absent    = "absent"
)

// Reply is the result of a command: a code, and the claim after the command.
type Reply struct {
	Code  string `json:"code"`
	Claim *Claim `json:"claim,omitempty"`
}

// Config limits the stored claims and responses.
type Config struct {
	// Age is how long a claim is kept after it became Done or Free; a later retry runs the request
	// again.
	Age time.Duration
	// Count limits the number of claims; the oldest in state Done or Free are removed first.
	Count int
	// Bytes limits the total size of stored response bodies; beyond it bodies are dropped, not claims.
	Bytes int
}

// Default limits.
const (
	DefaultAge   = 24 * time.Hour
	DefaultCount = 200_000
	DefaultBytes = 8 << 20
)

// State is the replicated state of the ledger. It is not safe for concurrent use.
type State struct {
	config Config
	claims map[Key]*Claim
	// expirable holds keys in the order in which their claims became Done or Free. It may hold
	// keys of claims that were opened again since.
	expirable []Key
	// withBody holds keys whose responses may still have a body, oldest first.
	withBody  []Key
	bodyBytes int
}

// NewState returns an empty ledger.
func NewState(c Config) *State {
	if c.Age == 0 {
		c.Age = DefaultAge
	}
	if c.Count == 0 {
		c.Count = DefaultCount
	}
	if c.Bytes == 0 {
		c.Bytes = DefaultBytes
	}
	return &State{config: c, claims: map[Key]*Claim{}}
}

// Apply executes one command, after removing expired claims as of its time At.
func (s *State) Apply(c Command) Reply {
	s.expireClaims(c.At)
	current, ok := s.claims[c.Key]
	if c.Op == OpClaim {
		return s.applyClaim(c, current)
	}
	if !ok {
		return Reply{Code: Absent}
	}
	switch c.Op {
	case OpMove:
		return s.applyMove(c, current)
	case OpTakeOver:
		return s.applyTake(c, current)
	case OpFinish:
		return s.applyFinish(c, current)
	case OpRelease:
		return s.close(c, current, Free)
	case OpMarkUnknown:
		return s.close(c, current, Unknown)
	case OpSettle:
		return s.applySettle(c, current)
	}
	return Reply{Code: Absent}
}

func (s *State) applyClaim(c Command, current *Claim) Reply {
	if current == nil {
		next := c.Claim
		next.State, next.Attempt, next.Response = Open, 1, nil
		return s.set(&next, Granted)
	}
	if current.Fingerprint != c.Fingerprint {
		return Reply{Code: KeyReused, Claim: current}
	}
	if current.State == Open && current.Nonce == c.Nonce {
		return Reply{Code: Granted, Claim: current}
	}
	if current.State != Free {
		return Reply{Code: Held, Claim: current}
	}
	next := c.Claim
	next.State, next.Attempt, next.Response, next.EndedAt = Open, current.Attempt+1, nil, time.Time{}
	return s.set(&next, Granted)
}

// applyMove moves an open claim to another endpoint after an attempt that did not run.
func (s *State) applyMove(c Command, current *Claim) Reply {
	if current.State == Open && current.Nonce == c.Nonce && current.Attempt == c.Attempt+1 && current.Incarnation == c.Incarnation && current.Endpoint == c.Endpoint {
		return Reply{Code: Granted, Claim: current}
	}
	if current.State != Open || current.Nonce != c.Nonce || current.Attempt != c.Attempt {
		return Reply{Code: Stale, Claim: current}
	}
	next := *current
	next.Attempt++
	next.Pool, next.Endpoint, next.Incarnation = c.Pool, c.Endpoint, c.Incarnation
	return s.set(&next, Granted)
}

// applyTake transfers an open claim to another entry when its owner is dead or past its
// deadline. The new owner must query the agent for the outcome of the attempt.
func (s *State) applyTake(c Command, current *Claim) Reply {
	if current.State == Open && current.Nonce == c.Nonce {
		return Reply{Code: Granted, Claim: current}
	}
	if current.State != Open || !(c.OwnerDead || c.At.After(current.Until)) {
		return Reply{Code: Held, Claim: current}
	}
	next := *current
	next.Owner, next.Nonce, next.Until = c.Owner, c.Nonce, c.Until
	return s.set(&next, Granted)
}

func (s *State) applyFinish(c Command, current *Claim) Reply {
	if current.State == Done {
		return Reply{Code: Granted, Claim: current}
	}
	if current.Attempt != c.Attempt || current.State == Free {
		return Reply{Code: Stale, Claim: current}
	}
	next := *current
	next.State, next.Response, next.EndedAt = Done, c.Response, c.At
	if next.Response == nil {
		next.Response = &Response{BodyDropped: true}
	}
	return s.set(&next, Granted)
}

func (s *State) close(c Command, current *Claim, to string) Reply {
	if current.Attempt != c.Attempt {
		return Reply{Code: Stale, Claim: current}
	}
	if current.State != Open {
		return Reply{Code: Held, Claim: current}
	}
	next := *current
	next.State, next.EndedAt = to, c.At
	return s.set(&next, Granted)
}

// applySettle records the outcome that an operator determined for a claim in state Unknown.
func (s *State) applySettle(c Command, current *Claim) Reply {
	if current.State != Unknown {
		return Reply{Code: Held, Claim: current}
	}
	next := *current
	next.State, next.EndedAt = Free, c.At
	if c.Verdict == Done {
		next.State, next.Response = Done, c.Response
		if next.Response == nil {
			next.Response = &Response{BodyDropped: true}
		}
	}
	return s.set(&next, Granted)
}

func (s *State) set(next *Claim, code string) Reply {
	if old := s.claims[next.Key]; old != nil && old.Response != nil {
		s.bodyBytes -= len(old.Response.Body)
	}
	s.claims[next.Key] = next
	if next.State == Done || next.State == Free {
		s.expirable = append(s.expirable, next.Key)
	}
	if next.Response != nil && len(next.Response.Body) > 0 {
		s.bodyBytes += len(next.Response.Body)
		s.withBody = append(s.withBody, next.Key)
	}
	s.dropBodies()
	return Reply{Code: code, Claim: next}
}

// dropBodies drops the oldest response bodies while their total size exceeds the limit.
func (s *State) dropBodies() {
	for s.bodyBytes > s.config.Bytes && len(s.withBody) > 0 {
		k := s.withBody[0]
		s.withBody = s.withBody[1:]
		current := s.claims[k]
		if current == nil || current.Response == nil || len(current.Response.Body) == 0 {
			continue
		}
		s.bodyBytes -= len(current.Response.Body)
		next := *current
		next.Response = &Response{Status: current.Response.Status, Headers: current.Response.Headers, BodyDropped: true}
		s.claims[k] = &next
	}
}

// expireClaims removes claims in state Done or Free that exceed the age or count limit.
// Unknown claims don't expire: they stay until an outcome is recorded.
func (s *State) expireClaims(now time.Time) {
	for len(s.expirable) > 0 {
		k := s.expirable[0]
		current := s.claims[k]
		if current == nil || (current.State != Done && current.State != Free) {
			s.expirable = s.expirable[1:]
			continue
		}
		if now.Sub(current.endedAt()) <= s.config.Age && len(s.claims) <= s.config.Count {
			return
		}
		s.expirable = s.expirable[1:]
		if current.Response != nil {
			s.bodyBytes -= len(current.Response.Body)
		}
		delete(s.claims, k)
	}
}

func (c *Claim) endedAt() time.Time {
	if c.EndedAt.IsZero() {
		return c.At
	}
	return c.EndedAt
}

// Lookup returns the claim of k, if there is one.
func (s *State) Lookup(k Key) (*Claim, bool) {
	c, ok := s.claims[k]
	return c, ok
}

// Unresolved returns up to limit claims in state Unknown, in no particular order.
func (s *State) Unresolved(limit int) []*Claim {
	var found []*Claim
	for _, c := range s.claims {
		if c.State == Unknown && len(found) < limit {
			found = append(found, c)
		}
	}
	return found
}

// Len returns the number of claims.
func (s *State) Len() int { return len(s.claims) }

type snapshot struct {
	Claims  []*Claim `json:"claims"`
	Settled []Key    `json:"settled"`
	Bodies  []Key    `json:"bodies"`
}

// MarshalJSON encodes the ledger for a snapshot of the replicated log.
func (s *State) MarshalJSON() ([]byte, error) {
	v := snapshot{Settled: s.expirable, Bodies: s.withBody}
	for _, key := range slices.SortedFunc(maps.Keys(s.claims), Key.compare) {
		v.Claims = append(v.Claims, s.claims[key])
	}
	return json.Marshal(v)
}

// UnmarshalJSON replaces the claims by those of a snapshot; the limits stay.
func (s *State) UnmarshalJSON(data []byte) error {
	var v snapshot
	if err := json.Unmarshal(data, &v); err != nil {
		return Malformed.Wrap(err, "decode ledger snapshot")
	}
	s.claims = make(map[Key]*Claim, len(v.Claims))
	s.expirable, s.withBody, s.bodyBytes = v.Settled, v.Bodies, 0
	for _, c := range v.Claims {
		s.claims[c.Key] = c
		if c.Response != nil {
			s.bodyBytes += len(c.Response.Body)
		}
	}
	return nil
}
