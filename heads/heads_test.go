package heads_test

import (
	"fmt"
	"testing"

	"egretshunt/check"
	"egretshunt/heads"
)

func ExampleCheckStatus() {
	fmt.Println(heads.CheckStatus(204))
	fmt.Println(heads.CheckStatus(0))
	// Output:
	// <nil>
	// heads.malformed: a response has status 000, want 200 to 999
}

func TestStatus(t *testing.T) {
	for status, want := range map[int]string{
		-1: "none", 0: "none", 99: "none", 100: "interim", 101: "none", 102: "interim", 199: "interim", 200: "final", 599: "final", 600: "final", 999: "final", 1000: "none",
	} {
		got := "none"
		switch {
		case heads.CheckStatus(status) == nil:
			got = "final"
		case heads.IsInterim(status):
			got = "interim"
		}
		check.Equal(t, fmt.Sprint("status ", status), got, want)
	}
}

// TestJoinedField guards against a head that was broken off and taken for a whole one, and against a sound value that is refused.
func TestJoinedField(t *testing.T) {
	for value, refused := range map[string]bool{
		"HTTP/1.1 503": true, "aHTTP/1.0 200 OK": true, "HTTP/1.1 5HTTP/1.1 503": true, "HTTP/1.1 HTTP/1.1 200": true, "1.1 HTTP/1.HTTP/1.1 200": true,
		"1.1 proxy, HTTP/1.1 other": false, "HTTP/1.1": false, "HTTP/1.1 50": false, "HTTP/2 503": false, "http/1.1 503": false, "": false,
	} {
		t.Run(value, func(t *testing.T) {
			check.Equal(t, "refused", heads.CheckField("X-Note", value) != nil, refused)
			check.Equal(t, "refused as a reason", scan("HTTP/1.1 200 "+value+"\r\n\r\n", 7) != nil, refused)
		})
	}
}
