package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"sync/atomic"
)

// Keyring knows callers' keys by their hashes. It is safe for concurrent use.
type Keyring struct {
	// accounts maps a hash to an account; a published map is immutable.
	accounts atomic.Pointer[map[string]string]
}

// NewKeyring returns a keyring of the given hashes and their accounts.
func NewKeyring(accounts map[string]string) *Keyring {
	k := &Keyring{}
	k.Replace(accounts)
	return k
}

// Replace changes all keys at once.
func (k *Keyring) Replace(accounts map[string]string) { k.accounts.Store(&accounts) }

// HashKey returns what a settings file holds for a key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Account returns whose key an Authorization header carries. The look-up by hash
// tells nothing about how much of a wrong key was right.
func (k *Keyring) Account(authorization string) (string, bool) {
	scheme, key, ok := strings.Cut(authorization, " ")
	if !ok || !strings.EqualFold(scheme, "bearer") {
		return "", false
	}
	account, ok := (*k.accounts.Load())[HashKey(strings.TrimSpace(key))]
	return account, ok
}
