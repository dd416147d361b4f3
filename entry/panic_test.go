package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"egretshunt/check"
	"egretshunt/event"
)

// TestPanicEndsRequestWithoutAnswer guards against requests whose handler panicked: their connection was closed without an answer.
func TestPanicEndsRequestWithoutAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		handle func(w http.ResponseWriter)
		status int
	}{
		"before the response":             {func(http.ResponseWriter) { panic("an index out of range") }, http.StatusBadGateway},
		"a status that net/http rejects":  {func(w http.ResponseWriter) { w.WriteHeader(99) }, http.StatusBadGateway},
		"aborted before the response":     {func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, 0},
		"within the response, it is cut":  {func(w http.ResponseWriter) { io.WriteString(w, "half"); panic("an index out of range") }, 0},
		"none, the response is unchanged": {func(w http.ResponseWriter) { w.WriteHeader(http.StatusTeapot) }, http.StatusTeapot},
	} {
		t.Run(name, func(t *testing.T) {
			e := &Entry{config: Config{Events: event.Discard()}}
			s := httptest.NewServer(e.ensureAnswer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.handle(w) })))
			defer s.Close()
			status := 0
			if r, err := http.Get(s.URL); err == nil {
				if _, err = io.ReadAll(r.Body); err == nil {
					status = r.StatusCode
				}
				r.Body.Close()
			}
			check.Equal(t, "status", status, c.status)
		})
	}
}
