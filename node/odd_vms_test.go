package node

import (
	"os"
	"path/filepath"
	"testing"

	"egretshunt/check"
)

// TestOddVMFailsWholeList guards against a VM of another writer for which no other one is known to be leaving.
func TestOddVMFailsWholeList(t *testing.T) {
	path := filepath.Join(t.TempDir(), "vms.json")
	read := newPlatformListReader(path)
	draining := func(text string) ([]string, error) {
		check.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return read(t.Context())
	}
	for _, odd := range []string{`7`, `null`, `[]`, `"x"`, `{}`, `{"name":7,"state":"leaving"}`, `{"name":"","state":"leaving"}`, `{"state":"leaving"}`, `{"name":"x","state":7}`} {
		got, err := draining(`{"vms":[{"name":"a","state":"leaving"},` + odd + `,{"name":"b","state":"live"},{"name":"c","state":"leaving"}]}`)
		check.NoError(t, err)
		check.Equal(t, "leaving beside "+odd, got, []string{"a", "c"})
	}
}
