// Package block names kept KV blocks and keeps their lifecycle.
//
// It owns chain names, the states reserved, writing, sealed and freed, pins,
// generations, account shares and the choice of what to evict. It holds no bytes:
// store moves them between memory, disk and wire.
package block

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

const (
	// Tokens is how many tokens one block covers.
	Tokens = 1000
	// Chars is how many bytes of prompt text one block covers.
	Chars = 4 * Tokens
)

// Name identifies one block: its content, all before it, and who may use it.
type Name [32]byte

// String returns the name in hexadecimal.
func (n Name) String() string { return hex.EncodeToString(n[:]) }

// NameOf returns the name held in raw, if it has the right length.
func NameOf(raw []byte) (n Name, ok bool) {
	if len(raw) != len(n) {
		return n, false
	}
	copy(n[:], raw)
	return n, true
}

// Scope is who and what a chain belongs to.
type Scope struct {
	Account, Model, Adapter, Version string
}

// Chain returns the names of the whole blocks of a prompt, in order. Each name is
// a keyed hash over the scope and all text up to the block's end, so that another
// account, model, adapter or weight version can't arrive at it.
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
	names := make([]Name, 0, len(prompt)/Chars)
	for offset := 0; offset+Chars <= len(prompt); offset += Chars {
		mac.Reset()
		mac.Write(last[:])
		mac.Write(prompt[offset : offset+Chars])
		mac.Sum(last[:0])
		names = append(names, last)
	}
	return names
}

// Root is a cheap hash of account, target and the first block of a prompt; requests
// that return to one history share it. It decides where to look, never what is read.
func Root(account, target string, prompt []byte) uint64 {
	h := sha256.New()
	h.Write([]byte(account))
	h.Write([]byte{0})
	h.Write([]byte(target))
	h.Write([]byte{0})
	h.Write(prompt[:min(len(prompt), Chars)])
	var sum [32]byte
	h.Sum(sum[:0])
	return binary.LittleEndian.Uint64(sum[:])
}
