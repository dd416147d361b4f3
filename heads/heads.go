// Package heads checks the heads of HTTP/1 responses against the grammar of RFC 9110 and RFC 9112. The parser of net/http takes more than
// that, such as the status 000, and leaves the rest to its callers.
package heads

import (
	"strings"

	"github.com/joomcode/errorx"
	"golang.org/x/net/http/httpguts"
)

// Malformed is the type of the errors for heads that break the grammar.
var Malformed = errorx.NewNamespace("heads").NewType("malformed")

// The statuses of responses. RFC 9110 leaves 600 to 999 undefined and has clients treat them as server errors: such a response is whole, and
// callers get its status as it is.
const (
	minInterim = 100
	minFinal   = 200
	maxFinal   = 999
	// switchingProtocols ends HTTP on a connection. No request here asks for that.
	switchingProtocols = 101
)

// CheckStatus returns an error of type Malformed unless a final response can have the status.
func CheckStatus(status int) error {
	if status < minFinal || status > maxFinal {
		return Malformed.New("a response has status %03d, want %d to %d", status, minFinal, maxFinal)
	}
	return nil
}

// IsInterim reports whether a status is that of a head before the one of the response.
func IsInterim(status int) bool {
	return status >= minInterim && status < minFinal && status != switchingProtocols
}

// CheckField returns an error of type Malformed unless a head can have a field of that name and value.
func CheckField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return Malformed.New("a response's head has the field %.40q with the value %.40q", name, value)
	}
	if holdsStatusLine(value) {
		return Malformed.New("a response's head was broken off in the field %.40q, and went on with another one: %.60q", name, value)
	}
	return nil
}

// holdsStatusLine reports whether a text holds the beginning of a status line, such as "HTTP/1.1 200": a head that its endpoint broke off there
// and behind which another response came would be taken for one.
func holdsStatusLine(text string) bool {
	const versionAndStatus = len("1 200")
	for {
		_, rest, ok := strings.Cut(text, "HTTP/1.")
		if !ok {
			return false
		}
		if len(rest) >= versionAndStatus && isDigits(rest[:1]) && rest[1] == ' ' && isDigits(rest[2:versionAndStatus]) {
			return true
		}
		text = rest
	}
}
