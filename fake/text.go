package fake

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
)

// Text returns the tokens that an Engine generates for a prompt. They are a function of the
// prompt, so that a test can tell one prompt's response from another's.
func Text(prompt string, tokens int) []string {
	sum := sha256.Sum256([]byte(prompt))
	prefix := hex.EncodeToString(sum[:4])
	out := make([]string, tokens)
	for i := range out {
		out[i] = fmt.Sprintf("%s.%d ", prefix, i)
	}
	return out
}

type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c completionRequest) promptText() string {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

// KV returns the exported bytes of a KV block, which are a function of its name.
func KV(name string, size int) []byte {
	out := make([]byte, size)
	seed := sha256.Sum256([]byte(name))
	x := binary.LittleEndian.Uint64(seed[:])
	for i := range out {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		out[i] = byte(x)
	}
	return out
}
