package body_test

import (
	"fmt"
	"testing"

	"egretshunt/body"
	"egretshunt/check"
)

func ExampleTracker() {
	t := body.NewTracker("application/json", true)
	fmt.Fprint(t, `{"parts": [1, 2`)
	fmt.Println(t.Open())
	fmt.Fprint(t, `]}`)
	fmt.Println(t.Open())
	// Output:
	// true
	// false
}

func TestEvents(t *testing.T) {
	for _, c := range []struct {
		text string
		end  int
		open bool
	}{
		{"", 0, false},
		{"data: a\n\n", 9, false},
		{"data: a\r\n\r\n", 11, false},
		{"data: a\r\r", 9, false},
		{"data: a\n\r\n", 10, false},
		{"data: a\r\n\n", 10, false},
		{"data: a\n\ndata: b", 9, true},
		{"data: a\n\ndata: b\n", 9, true},
		{"data: a\n\ndata: b\r\n", 9, true},
		{"data: a\n\n: comment\n", 9, false},
		{"data: a\n\n: comm", 9, true},
		{": comment\ndata: a\n", 0, true},
		{"data: a\n: comment\n", 0, true},
		{"\n\n", 2, false},
	} {
		t.Run(fmt.Sprintf("%q", c.text), func(t *testing.T) {
			check.Equal(t, "end", body.NewEvents().Scan([]byte(c.text)), c.end)
			// The same bytes one at a time.
			e, end := body.NewEvents(), 0
			for i := range len(c.text) {
				if e.Scan([]byte{c.text[i]}) > 0 {
					end = i + 1
				}
			}
			check.Equal(t, "end, byte by byte", end, c.end)
			check.Equal(t, "open", e.Open(), c.open)
		})
	}
}

func TestTracker(t *testing.T) {
	for _, c := range []struct {
		kind, text string
		untilClose bool
		open       bool
	}{
		{"application/json", `{"a":"}"}`, true, false},
		{"application/json", `{"a":"\"}`, true, true},
		{"application/json", `[1,[2]`, true, true},
		{"application/json", `[1,[2]`, false, false},
		{"application/json", ` `, true, true},
		{"application/json", `1`, true, false},
		{"Application/Vnd.X+JSON; charset=utf-8", `{`, true, true},
		{"application/x-ndjson", "", true, false},
		{"application/x-ndjson", "{}\n{", true, true},
		{"text/event-stream", "data: a\n", true, true},
		{"text/event-stream", "data: a\n", false, true},
		{"text/plain", "{", true, false},
		{"", "{", true, false},
	} {
		t.Run(fmt.Sprintf("%s %q", c.kind, c.text), func(t *testing.T) {
			tracker := body.NewTracker(c.kind, c.untilClose)
			for i := range len(c.text) {
				_, err := tracker.Write([]byte{c.text[i]})
				check.NoError(t, err)
			}
			check.Equal(t, "open", tracker.Open(), c.open)
		})
	}
}

// FuzzEvents checks that the end of the last event doesn't depend on how the stream is split.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: a\r\n\r\n: c\rid: 1\r\rdata"), 3)
	f.Add([]byte("\n\r\n\ndata: b\n"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		size = max(size%16, 1)
		whole, pieces := body.NewEvents(), body.NewEvents()
		want, got := whole.Scan(stream), 0
		for at := 0; at < len(stream); at += size {
			if end := pieces.Scan(stream[at:min(at+size, len(stream))]); end > 0 {
				got = at + end
			}
		}
		check.Equal(t, "end", got, want)
		check.Equal(t, "open", pieces.Open(), whole.Open())
		rest := body.NewEvents()
		rest.Scan(stream[want:])
		check.Equal(t, "open after the last event", rest.Open(), whole.Open())
	})
}

func TestStatusLine(t *testing.T) {
	for text, want := range map[string]int{
		"": -1, "HTTP/1.1 200 OK": 0, "data: a\nHTTP/1.0 500": 8, "data: a\rHTTP/1.1 500\r\n": 8, "data: HTTP/1.1 200": -1, "HTTP/1.1 20": -1,
		"HTTP/1.1 OK!": -1, "HTTP/1.1  200": -1, "HTTP/2 200\nHTTP/1.1 x\nHTTP/1.1 404": 22,
	} {
		check.Equal(t, text, body.StatusLine([]byte(text), 0), want)
	}
	check.Equal(t, "from a later position", body.StatusLine([]byte("HTTP/1.1 200\nHTTP/1.1 404"), 1), 13)
}
