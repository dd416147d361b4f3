package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/wire"
)

// TestErrorEventStandsByItself guards against the text of an error that clients take for a part of an event, or of content that
// is no stream of events.
func TestErrorEventStandsByItself(t *testing.T) {
	const event = "data: a\n\n"
	for name, c := range map[string]struct {
		contentType, body string
		tells             bool
	}{
		"between events":      {"text/event-stream", event, true},
		"inside an event":     {"text/event-stream", event + "data: b", false},
		"inside a line":       {"text/event-stream", event + "da", false},
		"between lines":       {"text/event-stream", event + "data: b\n", false},
		"after a comment":     {"text/event-stream; charset=utf-8", event + ": wait\n", true},
		"JSON":                {"application/json", `{"a":`, false},
		"text without a type": {"", "text", false},
	} {
		t.Run(name, func(t *testing.T) {
			rec := httptest.NewRecorder()
			s := newResponseSink(rec, true, time.Minute)
			head := &wire.Head{Status: http.StatusOK}
			if c.contentType != "" {
				head.Headers = []*wire.Header{{Name: "Content-Type", Value: c.contentType}}
			}
			s.setHead(head)
			check.NoError(t, s.write([]byte(c.body)))
			func() {
				defer func() { check.Equal(t, "aborted", recover() == http.ErrAbortHandler, true) }()
				s.abort(newFailure(http.StatusBadGateway, CodeResponseCut, Unknown, "the endpoint ended"))
			}()
			rest, ok := strings.CutPrefix(rec.Body.String(), c.body)
			check.Equal(t, "begins with what the endpoint wrote", ok, true)
			check.Equal(t, "tells the error", rest != "", c.tells)
		})
	}
}
