package prog

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"

	"egretshunt/entry"
)

// keyArgs are the arguments of key, which generates a key, or hashes a given one.
type keyArgs struct {
	Key string `arg:"positional" placeholder:"KEY" help:"key to hash; if left out, a key is generated"`
}

// keySizeBytes is the length of a generated key before its base64 encoding.
const keySizeBytes = 24

func (a *keyArgs) run(out io.Writer) error {
	if a.Key == "" {
		raw := make([]byte, keySizeBytes)
		if _, err := rand.Read(raw); err != nil {
			return Failed.Wrap(err, "generate key")
		}
		a.Key = base64.RawURLEncoding.EncodeToString(raw)
		fmt.Fprintf(out, "key  %s\n", a.Key)
	}
	fmt.Fprintf(out, "hash %s\n", entry.HashKey(a.Key))
	return nil
}
