package conf

import (
	"bufio"
	"os"
	"regexp"
	"strings"

	"github.com/BurntSushi/toml"

	"egretshunt/value"
)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// LoadKeys reads a file of the clients' API keys, account = ["hash", ...], and maps
// each hash to its account.
func LoadKeys(path string) (map[string]string, error) {
	var file map[string][]string
	if _, err := toml.DecodeFile(path, &file); err != nil {
		return nil, Unreadable.Wrap(err, "read keys")
	}
	accounts := map[string]string{}
	for account, hashes := range file {
		for _, h := range hashes {
			if !hashPattern.MatchString(h) {
				return nil, Invalid.New("%s: account %s: a key is not 64 hexadecimal digits; the file must hold hashes of keys, see egretshunt key", path, account)
			}
			if other, found := accounts[h]; found && other != account {
				return nil, Invalid.New("%s: accounts %s and %s have the same key", path, account, other)
			}
			accounts[h] = account
		}
	}
	return accounts, nil
}

// Roles of an operator.
const (
	Viewer   = "viewer"
	Operator = "operator"
)

// OperatorRecord is the record of one operator.
type OperatorRecord struct {
	Name string `toml:"name"`
	Hash string `toml:"hash"`
	Role string `toml:"role"`
	// Accounts limits the operator to viewing and editing the routes of these accounts. If empty,
	// there is no limit.
	Accounts []string `toml:"accounts"`
}

// CanAccess reports whether the operator may view and edit the table rows of an account.
func (p OperatorRecord) CanAccess(account string) bool {
	return len(p.Accounts) == 0 || value.SetOf(p.Accounts...).Has(account)
}

// LoadOperators reads a file of [[operator]] tables and returns the operators by key hash.
func LoadOperators(path string) (map[string]OperatorRecord, error) {
	var file struct {
		Operator []OperatorRecord `toml:"operator"`
	}
	meta, err := toml.DecodeFile(path, &file)
	if err != nil {
		return nil, Unreadable.Wrap(err, "read operators")
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, Invalid.New("%s: unknown key: %s", path, unknown[0])
	}
	operators := map[string]OperatorRecord{}
	for _, p := range file.Operator {
		switch {
		case p.Name == "" || !hashPattern.MatchString(p.Hash):
			return nil, Invalid.New("%s: operator %q needs a name and a hash of 64 hexadecimal digits", path, p.Name)
		case p.Role != Viewer && p.Role != Operator:
			return nil, Invalid.New("%s: operator %s: role must be viewer or operator", path, p.Name)
		}
		operators[p.Hash] = p
	}
	return operators, nil
}

// LoadSecrets reads shared secrets, one per line. It ignores blank lines and lines that begin with #.
func LoadSecrets(path string) ([]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, Unreadable.Wrap(err, "read secrets")
	}
	defer f.Close()
	var secrets []string
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if line := strings.TrimSpace(lines.Text()); line != "" && !strings.HasPrefix(line, "#") {
			secrets = append(secrets, line)
		}
	}
	if len(secrets) == 0 {
		return nil, Invalid.New("%s contains no secret", path)
	}
	return secrets, nil
}
