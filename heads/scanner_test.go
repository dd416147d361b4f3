package heads_test

import (
	"fmt"
	"strings"
	"testing"

	"egretshunt/check"
	"egretshunt/fake"
	"egretshunt/heads"
)

func ExampleScanner() {
	var s heads.Scanner
	fmt.Println(s.Scan([]byte("HTTP/1.1 200 OK\r\nContent")))
	fmt.Println(s.Scan([]byte(" Length: 2\r\n\r\nok")))
	// Output:
	// <nil>
	// heads.malformed: a response's head has the field "Content Length" with the value " 2"
}

// scan scans a text in pieces of a size.
func scan(text string, size int) error {
	var s heads.Scanner
	for at := 0; at < len(text); at += size {
		if err := s.Scan([]byte(text[at:min(at+size, len(text))])); err != nil {
			return err
		}
	}
	return nil
}

// checkScan fails the test unless a text is sound, or malformed, whatever the pieces in which it comes.
func checkScan(t *testing.T, name, text string, sound bool) {
	t.Helper()
	for _, size := range []int{1, 2, 7, len(text)} {
		if err := scan(text, size); (err == nil) != sound {
			t.Errorf("%s: %q in pieces of %d: %v, want sound %v", name, text, size, err, sound)
		}
	}
}

func TestHeads(t *testing.T) {
	const lines = "Date: now\r\n"
	for name, text := range fake.BadStatuses(lines) {
		checkScan(t, name, text, false)
	}
	for name, text := range fake.BadFields(lines) {
		checkScan(t, name, text, false)
	}
	for name, text := range fake.UnusualStatuses(lines) {
		checkScan(t, name, text, true)
	}
	for name, text := range fake.UnusualFields(lines, "a\tb\xff") {
		checkScan(t, name, text, true)
	}
}

// TestBytes checks each byte of a name and a value against the grammar: token, and field-content of RFC 9110, section 5.
func TestBytes(t *testing.T) {
	const others = "!#$%&'*+-.^_`|~"
	for b := range 256 {
		c := byte(b)
		letter := c|0x20 >= 'a' && c|0x20 <= 'z' || c >= '0' && c <= '9'
		inName := c < 0x80 && (letter || strings.IndexByte(others, c) >= 0)
		// A colon ends a name, a line feed ends a line and begins one without a colon.
		checkScan(t, "name", "HTTP/1.1 200 OK\r\nX"+string([]byte{c})+"Y: a\r\n\r\n", inName || c == ':')
		checkScan(t, "value", "HTTP/1.1 200 OK\r\nX: a"+string([]byte{c})+"b\r\n\r\n", c >= 0x20 && c != 0x7f || c == '\t')
	}
}

// FuzzScanner checks that the verdict on a head doesn't depend on how it is split.
func FuzzScanner(f *testing.F) {
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", 3)
	f.Add("HTTP/1.0 200\nTransfer-Encoding: chunked\n\n", 1)
	f.Fuzz(func(t *testing.T, text string, size int) {
		size = max(size%16, 1)
		check.Equal(t, "sound", scan(text, size) == nil, scan(text, max(len(text), 1)) == nil)
	})
}
