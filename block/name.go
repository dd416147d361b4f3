// Package block names cached KV blocks, manages their lifecycle and indexes the prompt
// parts that external stores and engines hold.
//
// It owns chain names, the states reserved, writing, sealed and freed, pins, generations,
// account shares and eviction. It holds no data: package store moves the bytes between
// memory, disk and network. On a request's path, the agent looks up the chain of the
// prompt to find which blocks it can reuse, and the entry looks up holders in the Catalog
// that the leader publishes.
package block

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

const (
	// Tokens is the number of tokens in one block.
	Tokens = 1000
	// TextBytes is the number of bytes of prompt text in one block.
	TextBytes = 4 * Tokens
)

// Name identifies one block by its content, all content before it, and its Scope.
type Name [32]byte

// String returns the name in hexadecimal.
func (n Name) String() string { return hex.EncodeToString(n[:]) }

// ParseName converts raw to a Name; ok is false if raw has the wrong length.
func ParseName(raw []byte) (n Name, ok bool) {
	if len(raw) != len(n) {
		return n, false
	}
	copy(n[:], raw)
	return n, true
}

// Scope is the account and the model weights that a chain of blocks belongs to.
type Scope struct {
	Account, Model, Adapter, Version string
}

// Chain returns the names of the complete blocks of a prompt, in order. Each name is a
// keyed hash over the scope and all text up to the block's end, so that another account,
// model, adapter or weights version can't produce the same name.
func Chain(key []byte, s Scope, prompt []byte) []Name {
	mac := hmac.New(sha256.New, key)
	for _, field := range []string{s.Account, s.Model, s.Adapter, s.Version} {
		var n [4]byte
		binary.LittleEndian.PutUint32(n[:], uint32(len(field)))
		mac.Write(n[:])
		mac.Write([]byte(field))
	}
	var last Name
	mac.Sum(last[:0])
	names := make([]Name, 0, len(prompt)/TextBytes)
	for offset := 0; offset+TextBytes <= len(prompt); offset += TextBytes {
		mac.Reset()
		mac.Write(last[:])
		mac.Write(prompt[offset : offset+TextBytes])
		mac.Sum(last[:0])
		names = append(names, last)
	}
	return names
}

// RootHash returns a cheap hash of account, target and the first block of a prompt. Requests
// that continue the same history share it. It decides where to look for blocks, never
// which block is read.
func RootHash(account, target string, prompt []byte) uint64 {
	h := sha256.New()
	h.Write([]byte(account))
	h.Write([]byte{0})
	h.Write([]byte(target))
	h.Write([]byte{0})
	h.Write(prompt[:min(len(prompt), TextBytes)])
	var sum [32]byte
	h.Sum(sum[:0])
	return binary.LittleEndian.Uint64(sum[:])
}
