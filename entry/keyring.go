package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"sync/atomic"
)

// Keyring maps hashes of callers' API keys to accounts. It is safe for concurrent use.
type Keyring struct {
	// accounts maps key hashes to accounts. A stored map is never modified.
	accounts atomic.Pointer[map[string]string]
}

// NewKeyring returns a keyring that maps the given key hashes to their accounts.
func NewKeyring(accounts map[string]string) *Keyring {
	k := &Keyring{}
	k.Replace(accounts)
	return k
}

// Replace atomically replaces all keys.
func (k *Keyring) Replace(accounts map[string]string) { k.accounts.Store(&accounts) }

// HashKey returns the hash that stands for a key in the settings file: SHA-256 in hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Account returns the account of the bearer key in an Authorization header. Looking
// keys up by hash leaks no timing information about how much of a wrong key matched.
func (k *Keyring) Account(authorization string) (string, bool) {
	scheme, key, ok := strings.Cut(authorization, " ")
	if !ok || !strings.EqualFold(scheme, "bearer") {
		return "", false
	}
	account, ok := (*k.accounts.Load())[HashKey(strings.TrimSpace(key))]
	return account, ok
}
