// Package body tells what the end of an HTTP response's body shows. A body with a length or chunks that
// ends is complete, unless it is a stream that ends inside an event. A body that has neither ends with its
// connection, whether it is complete or not; its content may show that it was broken off.
package body

import (
	"bytes"
	"mime"
	"net/http"
	"slices"
	"strings"
)

// IsUntilClose reports whether the body of a response that was read from a connection has neither a length
// nor chunks.
func IsUntilClose(r *http.Response) bool {
	return r.Body != http.NoBody && r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// IsEvents reports whether a content type is that of a stream of events.
func IsEvents(contentType string) bool { return mediaType(contentType) == "text/event-stream" }

// IsSameType reports whether two content types are the same but for their parameters.
func IsSameType(a, b string) bool { return mediaType(a) == mediaType(b) }

// mediaType returns a content type without its parameters, in lower case.
func mediaType(contentType string) string {
	t, _, err := mime.ParseMediaType(contentType)
	if err != nil {
		t, _, _ = strings.Cut(contentType, ";")
	}
	return strings.ToLower(strings.TrimSpace(t))
}

// Tracker follows a body as it arrives.
type Tracker struct{ content content }

// content follows the bytes of one content type; open reports whether they can't be all of a body.
type content interface {
	write(p []byte)
	open() bool
}

// NewTracker returns a tracker for a body of the content type; untilClose says that it has neither a length
// nor chunks.
func NewTracker(contentType string, untilClose bool) *Tracker {
	t := mediaType(contentType)
	switch {
	case IsEvents(contentType):
		return &Tracker{NewEvents()}
	case !untilClose:
	case t == "application/json" || strings.HasSuffix(t, "+json"):
		return &Tracker{&jsonText{required: true}}
	case t == "application/x-ndjson" || t == "application/jsonl":
		return &Tracker{&jsonText{}}
	}
	return &Tracker{anything{}}
}

// Write implements io.Writer; it returns no error.
func (t *Tracker) Write(p []byte) (int, error) {
	t.content.write(p)
	return len(p), nil
}

// Open reports whether the bytes so far can't be all of the body.
func (t *Tracker) Open() bool { return t.content.open() }

// anything is content of which no end shows that it was broken off.
type anything struct{}

func (anything) write([]byte) {}
func (anything) open() bool   { return false }

// Events follows a stream of events. Each event ends with an empty line; lines end with LF, CR or both.
type Events struct {
	// event is set while an event has begun and not ended. Comments, which are lines that begin with a
	// colon, begin none.
	event bool
	// newLine is set between lines, afterCR after a CR, and ended after the last byte of an event.
	newLine, afterCR, ended bool
}

// NewEvents returns the state before a stream.
func NewEvents() *Events { return &Events{newLine: true} }

// Scan follows the next bytes of the stream and returns the position after the last event that ended in
// them, or zero.
func (e *Events) Scan(p []byte) (end int) {
	for i, c := range p {
		secondHalf := e.afterCR && c == '\n'
		e.afterCR = c == '\r'
		switch {
		case secondHalf:
		case c == '\n' || c == '\r':
			e.ended = e.newLine
			if e.ended {
				e.event = false
			}
			e.newLine = true
		default:
			e.event = e.event || e.newLine && c != ':'
			e.newLine, e.ended = false, false
		}
		if e.ended {
			end = i + 1
		}
	}
	return end
}

// Open reports whether the stream is inside an event or a line.
func (e *Events) Open() bool { return e.event || !e.newLine }

// LastEventEnd returns the position after the last event that ends in a stream's beginning; zero if none does.
func LastEventEnd(p []byte) int { return NewEvents().Scan(p) }

// StatusLineLength is the length of what StatusLine looks for.
const StatusLineLength = len("HTTP/1.1 200")

// StatusLine returns the position, from the given one on, of a line that begins like the head of a response, such as
// "HTTP/1.1 200", or -1. No line of an event does.
func StatusLine(p []byte, from int) int {
	for at := from; ; at++ {
		i := bytes.Index(p[at:], []byte("HTTP/1."))
		if i < 0 {
			return -1
		}
		at += i
		if (at == 0 || p[at-1] == '\n' || p[at-1] == '\r') && isStatusLine(p[at:]) {
			return at
		}
	}
}

// isStatusLine reports whether p begins with a version of HTTP and a status.
func isStatusLine(p []byte) bool {
	const version = len("HTTP/1.1")
	if len(p) < StatusLineLength || p[version] != ' ' {
		return false
	}
	return !slices.ContainsFunc(p[version+1:StatusLineLength], func(c byte) bool { return c < '0' || c > '9' })
}

func (e *Events) write(p []byte) { e.Scan(p) }
func (e *Events) open() bool     { return e.Open() }

// jsonText follows the nesting of JSON values.
type jsonText struct {
	// required is set if the text must hold a value.
	required                bool
	depth                   int
	begun, inText, escaping bool
}

func (j *jsonText) write(p []byte) {
	for _, c := range p {
		switch {
		case j.escaping:
			j.escaping = false
		case j.inText && c == '\\':
			j.escaping = true
		case c == '"':
			j.inText = !j.inText
		case j.inText:
		case c == '{' || c == '[':
			j.depth++
		case c == '}' || c == ']':
			j.depth--
		}
		j.begun = j.begun || c > ' '
	}
}

func (j *jsonText) open() bool { return j.inText || j.depth > 0 || j.required && !j.begun }
