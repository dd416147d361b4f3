package conf_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"egretshunt/check"
	"egretshunt/conf"
)

var update = flag.Bool("update", false, "regenerate docs/SETTINGS.md")

const validSettings = `
node = "e0"
place = "north"
data = "data/e0"
control = ["127.0.0.1:7000"]
[wire]
listen = "127.0.0.1:7000"
secrets = ["a secret of sixteen letters"]
[entry]
listen = "127.0.0.1:8000"
keys = "keys.toml"
`

func TestParse(t *testing.T) {
	s, err := conf.Parse(validSettings)
	check.NoError(t, err)
	check.Equal(t, "default of entry.open", s.Entry.Open, 4096)
	for _, tc := range []struct{ name, old, new, want string }{
		{"unknown key", "place =", "colour = 1\nplace =", "unknown key: colour"},
		{"missing", `node = "e0"`, "", "node is missing"},
		{"short secret", "a secret of sixteen letters", "short", "wire.secrets[0]"},
		{"not an address", "127.0.0.1:8000", "nowhere", "line"},
		{"negative", `keys = "keys.toml"`, "keys = \"k\"\nopen = -1", "entry.open"},
		{"negative time", `keys = "keys.toml"`, "keys = \"k\"\nwrite = \"-1s\"", "negative"},
		{"no role", "[entry]\nlisten = \"127.0.0.1:8000\"\nkeys = \"keys.toml\"", "", "roles"},
		{"certificate without its private key", `keys = "keys.toml"`, "keys = \"k\"\ncert = \"c\"", "entry.cert"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Replace(validSettings, tc.old, tc.new, 1)
			if _, err := conf.Parse(text); err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("error %v does not contain %q", err, tc.want)
			}
		})
	}
}

// TestDoc fails when docs/SETTINGS.md was not regenerated after a change of the settings.
func TestDoc(t *testing.T) {
	const page = "../docs/SETTINGS.md"
	if *update {
		check.NoError(t, os.WriteFile(page, []byte(conf.Doc()), 0o644))
	}
	text, err := os.ReadFile(page)
	check.NoError(t, err)
	check.Equal(t, page+"; regenerate it with -update", string(text), conf.Doc())
}

func TestSamples(t *testing.T) {
	paths, err := filepath.Glob("../samples/*/*.toml")
	check.NoError(t, err)
	count := 0
	for _, path := range paths {
		switch base := filepath.Base(path); {
		case base == "keys.toml":
			_, err = conf.LoadKeys(path)
		case base == "operators.toml":
			_, err = conf.LoadOperators(path)
		case base == "tables.toml":
			continue
		default:
			_, err = conf.Load(path)
			count++
		}
		check.NoError(t, err)
	}
	if count < 10 {
		t.Fatalf("found only %d sample settings files, want at least 10", count)
	}
}

func TestLoadKeysRejectsPlainKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys.toml")
	check.NoError(t, os.WriteFile(path, []byte(`a = ["plain key"]`), 0o600))
	_, err := conf.LoadKeys(path)
	check.Kind(t, err, conf.Invalid)
	if strings.Contains(err.Error(), "plain key") {
		t.Fatal("the error message contains the plain key")
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Fuzz(func(t *testing.T, text string) {
		if s, err := conf.Parse(text); err == nil && len(s.Validate()) > 0 {
			t.Fatal("Parse accepted settings that Check rejects")
		}
	})
}
