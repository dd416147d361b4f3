// Package ledger decides which non-idempotent request may run.
//
// It owns the claims of requests that carry an idempotency key and the answers
// kept for resends. It is a deterministic state machine without input, output or
// clock: ctrl replicates its commands, entry asks for them, agent enforces them.
package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("ledger")
	// Malformed reports a snapshot that can't be read.
	Malformed = namespace.NewType("malformed")
)

// Key names one non-idempotent request of one account.
type Key struct {
	Account string `json:"account"`
	Key     string `json:"key"`
}

// Shard returns which of n groups holds the key's claim.
func (k Key) Shard(n int) int {
	h := sha256.Sum256([]byte(k.Account + "\x00" + k.Key))
	return int(binary.LittleEndian.Uint64(h[:8]) % uint64(n))
}

// Print returns the fingerprint of a request's content.
func Print(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// States of a claim.
const (
	// Open: one attempt may be running.
	Open = "open"
	// Free: no attempt ran; the next claim may try again.
	Free = "free"
	// Done: it ran once and its answer is known.
	Done = "done"
	// Unknown: it may have run; it is never sent again.
	Unknown = "unknown"
)

// Header is one header of a kept answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Answer is what resends are given.
type Answer struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// Dropped marks a body that was let go to make room; the request did run.
	Dropped bool `json:"dropped,omitempty"`
}

// Claim is the record of one key. Its pointer fields are immutable once set.
type Claim struct {
	Key
	Print    string    `json:"print"`
	State    string    `json:"state"`
	Owner    string    `json:"owner"`
	Nonce    string    `json:"nonce"`
	Attempt  uint32    `json:"attempt"`
	Route    string    `json:"route"`
	Pool     string    `json:"pool"`
	Endpoint string    `json:"endpoint"`
	Boot     string    `json:"boot"`
	Path     string    `json:"path"`
	At       time.Time `json:"at"`
	// Until is when the owner has given up by itself.
	Until  time.Time `json:"until"`
	Answer *Answer   `json:"answer,omitempty"`
}

// Ops of a command.
const (
	OpClaim   = "claim"
	OpMove    = "move"
	OpTake    = "take"
	OpFinish  = "finish"
	OpRelease = "release"
	OpLose    = "lose"
	OpSettle  = "settle"
)

// Command asks for one step of one claim. Every command may be applied twice
// with the effect of once.
type Command struct {
	Op string `json:"op"`
	Claim
	// Dead is set by the leader on a take: the owner's lease has run out.
	Dead bool `json:"dead,omitempty"`
	// Who settles, and with which of Done and Free.
	Who     string `json:"who,omitempty"`
	Verdict string `json:"verdict,omitempty"`
}

// Codes of a reply.
const (
	Granted = "granted"
	Held    = "held"
	Reused  = "reused"
	Stale   = "stale"
	Absent  = "absent"
)

// Reply tells what came of a command and the claim as it is now.
type Reply struct {
	Code  string `json:"code"`
	Claim *Claim `json:"claim,omitempty"`
}

// Config bounds what is kept.
type Config struct {
	// Age is how long a settled claim is kept; a later resend runs anew.
	Age time.Duration
	// Count is how many claims are kept; the oldest settled ones go first.
	Count int
	// Bytes bounds the kept answers; beyond it bodies are dropped, not claims.
	Bytes int
}

// Default bounds.
const (
	DefaultAge   = 24 * time.Hour
	DefaultCount = 200_000
	DefaultBytes = 8 << 20
)

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	config Config
	claims map[Key]*Claim
	// expirable holds keys in the order in which they became Done or Free.
	expirable []Key
	// withBody holds keys whose answers may still have a body, oldest first.
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

// Apply carries out one command.
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
	case OpTake:
		return s.applyTake(c, current)
	case OpFinish:
		return s.applyFinish(c, current)
	case OpRelease:
		return s.close(c, current, Free)
	case OpLose:
		return s.close(c, current, Unknown)
	case OpSettle:
		return s.applySettle(c, current)
	}
	return Reply{Code: Absent}
}

func (s *State) applyClaim(c Command, current *Claim) Reply {
	if current == nil {
		next := c.Claim
		next.State, next.Attempt, next.Answer = Open, 1, nil
		return s.set(&next, Granted)
	}
	if current.Print != c.Print {
		return Reply{Code: Reused, Claim: current}
	}
	if current.State == Open && current.Nonce == c.Nonce {
		return Reply{Code: Granted, Claim: current}
	}
	if current.State != Free {
		return Reply{Code: Held, Claim: current}
	}
	next := c.Claim
	next.State, next.Attempt, next.Answer = Open, current.Attempt+1, nil
	return s.set(&next, Granted)
}

// applyMove points an open claim at another endpoint after an attempt that did not run.
func (s *State) applyMove(c Command, current *Claim) Reply {
	if current.State == Open && current.Nonce == c.Nonce && current.Attempt == c.Attempt+1 && current.Boot == c.Boot && current.Endpoint == c.Endpoint {
		return Reply{Code: Granted, Claim: current}
	}
	if current.State != Open || current.Nonce != c.Nonce || current.Attempt != c.Attempt {
		return Reply{Code: Stale, Claim: current}
	}
	next := *current
	next.Attempt++
	next.Pool, next.Endpoint, next.Boot = c.Pool, c.Endpoint, c.Boot
	return s.set(&next, Granted)
}

// applyTake hands an open claim of a dead owner to another entry, which must then
// learn from the agent what became of the attempt.
func (s *State) applyTake(c Command, current *Claim) Reply {
	if current.State == Open && current.Nonce == c.Nonce {
		return Reply{Code: Granted, Claim: current}
	}
	if current.State != Open || !(c.Dead || c.At.After(current.Until)) {
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
	next.State, next.Answer = Done, c.Answer
	if next.Answer == nil {
		next.Answer = &Answer{Dropped: true}
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
	next.State = to
	return s.set(&next, Granted)
}

// applySettle records an operator's finding about a claim whose outcome is unknown.
func (s *State) applySettle(c Command, current *Claim) Reply {
	if current.State != Unknown {
		return Reply{Code: Held, Claim: current}
	}
	next := *current
	next.State = Free
	if c.Verdict == Done {
		next.State, next.Answer = Done, c.Answer
		if next.Answer == nil {
			next.Answer = &Answer{Dropped: true}
		}
	}
	return s.set(&next, Granted)
}

func (s *State) set(next *Claim, code string) Reply {
	if old := s.claims[next.Key]; old != nil && old.Answer != nil {
		s.bodyBytes -= len(old.Answer.Body)
	}
	s.claims[next.Key] = next
	if next.State == Done || next.State == Free {
		s.expirable = append(s.expirable, next.Key)
	}
	if next.Answer != nil && len(next.Answer.Body) > 0 {
		s.bodyBytes += len(next.Answer.Body)
		s.withBody = append(s.withBody, next.Key)
	}
	s.dropBodies()
	return Reply{Code: code, Claim: next}
}

// dropBodies drops the oldest bodies while the kept answers take too much room.
func (s *State) dropBodies() {
	for s.bodyBytes > s.config.Bytes && len(s.withBody) > 0 {
		k := s.withBody[0]
		s.withBody = s.withBody[1:]
		current := s.claims[k]
		if current == nil || current.Answer == nil || len(current.Answer.Body) == 0 {
			continue
		}
		s.bodyBytes -= len(current.Answer.Body)
		next := *current
		next.Answer = &Answer{Status: current.Answer.Status, Headers: current.Answer.Headers, Dropped: true}
		s.claims[k] = &next
	}
}

// expireClaims forgets settled claims that are too old or too many. Unknown claims stay until settled.
func (s *State) expireClaims(now time.Time) {
	for len(s.expirable) > 0 {
		k := s.expirable[0]
		current := s.claims[k]
		if current == nil || (current.State != Done && current.State != Free) {
			s.expirable = s.expirable[1:]
			continue
		}
		if now.Sub(current.At) <= s.config.Age && len(s.claims) <= s.config.Count {
			return
		}
		s.expirable = s.expirable[1:]
		if current.Answer != nil {
			s.bodyBytes -= len(current.Answer.Body)
		}
		delete(s.claims, k)
	}
}

// Look returns the claim of a key.
func (s *State) Look(k Key) (*Claim, bool) {
	c, ok := s.claims[k]
	return c, ok
}

// Unresolved returns up to limit claims whose outcome is unknown.
func (s *State) Unresolved(limit int) []*Claim {
	var found []*Claim
	for _, c := range s.claims {
		if c.State == Unknown && len(found) < limit {
			found = append(found, c)
		}
	}
	return found
}

// Len returns how many claims are held.
func (s *State) Len() int { return len(s.claims) }

type snapshot struct {
	Claims  []*Claim `json:"claims"`
	Settled []Key    `json:"settled"`
	Bodies  []Key    `json:"bodies"`
}

// MarshalJSON writes the ledger for a snapshot of the replicated log.
func (s *State) MarshalJSON() ([]byte, error) {
	v := snapshot{Settled: s.expirable, Bodies: s.withBody}
	for _, c := range s.claims {
		v.Claims = append(v.Claims, c)
	}
	return json.Marshal(v)
}

// UnmarshalJSON replaces the ledger by a snapshot; its bounds stay.
func (s *State) UnmarshalJSON(data []byte) error {
	var v snapshot
	if err := json.Unmarshal(data, &v); err != nil {
		return Malformed.Wrap(err, "read ledger")
	}
	s.claims = make(map[Key]*Claim, len(v.Claims))
	s.expirable, s.withBody, s.bodyBytes = v.Settled, v.Bodies, 0
	for _, c := range v.Claims {
		s.claims[c.Key] = c
		if c.Answer != nil {
			s.bodyBytes += len(c.Answer.Body)
		}
	}
	return nil
}
