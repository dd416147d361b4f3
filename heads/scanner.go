package heads

import (
	"bytes"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Scanner checks the heads of one response, interim ones and its own, as their bytes arrive. The parser of net/http joins folded lines, so that
// what it returns doesn't show them. The zero Scanner waits for a status line.
type Scanner struct {
	// line is the beginning of a line whose end hasn't arrived.
	line []byte
	// status and version, the digit after "HTTP/1.", are those of the present head; status is zero before its status line.
	status  int
	version byte
	ended   bool
}

// Scan checks the next bytes of a connection up to the end of the response's head; what follows is ignored. Its errors are of type Malformed. Scan keeps
// a line until it has ended: the caller bounds the head.
func (s *Scanner) Scan(p []byte) error {
	for !s.ended {
		line, rest, ok := bytes.Cut(p, []byte("\n"))
		if !ok {
			s.line = append(s.line, line...)
			return nil
		}
		if len(s.line) > 0 {
			line = append(s.line, line...)
			s.line = line[:0]
		}
		if err := s.check(string(bytes.TrimSuffix(line, []byte("\r")))); err != nil {
			return err
		}
		p = rest
	}
	return nil
}

// Ended reports whether the response's head has ended, behind the interim ones.
func (s *Scanner) Ended() bool { return s.ended }

// check checks one line without its end.
func (s *Scanner) check(line string) error {
	switch {
	case s.status == 0:
		return s.checkStatusLine(line)
	case line != "":
		return s.checkField(line)
	case IsInterim(s.status):
		s.status = 0
	default:
		s.ended = true
	}
	return nil
}

func (s *Scanner) checkStatusLine(line string) error {
	const version, statusLength = "HTTP/1.", 3
	rest, ok := strings.CutPrefix(line, version)
	if !ok || len(rest) < len("1 200") || !isDigits(rest[:1]) || rest[1] != ' ' {
		return Malformed.New("a response begins with %.40q, want HTTP/1 and a status", line)
	}
	s.version = rest[0]
	status, reason, hasReason := rest[2:2+statusLength], rest[2+statusLength:], len(rest) > 2+statusLength
	if !isDigits(status) || hasReason && reason[0] != ' ' || !httpguts.ValidHeaderFieldValue(reason) {
		return Malformed.New("a response begins with %.40q, want a status of three digits", line)
	}
	if holdsStatusLine(reason) {
		return Malformed.New("a response begins with %.60q, which goes on with another one", line)
	}
	for _, digit := range []byte(status) {
		s.status = 10*s.status + int(digit-'0')
	}
	if IsInterim(s.status) {
		return nil
	}
	return CheckStatus(s.status)
}

func (s *Scanner) checkField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return Malformed.New("a response's head has the line %.40q, want a field", line)
	}
	// A folded line has a blank or a tab in its name.
	if err := CheckField(name, value); err != nil {
		return err
	}
	if s.version == '0' && strings.EqualFold(name, "Transfer-Encoding") {
		// A response of HTTP/1.0 has no chunks, and the parser would take them for the body.
		return Malformed.New("a response of HTTP/1.0 names the transfer encoding %.40q", value)
	}
	return nil
}

func isDigits(text string) bool {
	return strings.Trim(text, "0123456789") == ""
}
