package agent

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/fake"
)

// TestCutHeadIsNoResponse guards against a head that its endpoint broke off and that is taken for a response, wherever it ends
// and however the connection does.
func TestCutHeadIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n",
		"with chunks":   "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"neither":       "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
		"behind a 103":  "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		for ending, end := range fake.CutEnds {
			for _, once := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, at most once %v", name, ending, once), func(t *testing.T) {
					t.Parallel()
					for cut := range len(head) {
						e, err := fake.NewCutServer(fake.CutConfig{Text: head[:cut], End: end})
						check.NoError(t, err)
						ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
						got, err := NewService(e.Addr).Run(ctx, Call{ID: "r1", Method: http.MethodPost, Path: "/x", Body: []byte("content"), AtMostOnce: once})
						if err == nil {
							t.Errorf("cut after %d of %d bytes: status %d", cut, len(head), got.Status)
							got.Body.Close()
						}
						cancel()
						e.Close()
					}
				})
			}
		}
	}
}
