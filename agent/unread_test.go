package agent

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"egretshunt/check"
	"egretshunt/fake"
)

// TestEndDuringUpload guards against a response without length and chunks that counts as complete because its connection ended while the request was
// still being written: the writer may get the error of a reset, and the reader a plain end.
func TestEndDuringUpload(t *testing.T) {
	const rounds = 30
	for framing, head := range map[string]string{"text": "Content-Type: text/plain\r\n", "events": "Content-Type: text/event-stream\r\n"} {
		for ending, end := range fake.CutEnds {
			for _, size := range []int{20 << 10, 1 << 20, 4 << 20} {
				// An endpoint that closes its half reads the rest of the request.
				whole := ending == "closes its half"
				t.Run(fmt.Sprintf("%s, %s, %d KiB", framing, ending, size>>10), func(t *testing.T) {
					t.Parallel()
					upload := bytes.Repeat([]byte("a"), size)
					for range rounds {
						e, err := fake.NewCutServer(fake.CutConfig{Text: "HTTP/1.1 200 OK\r\n" + head + "\r\n: part\n\n", End: end, Unread: true})
						check.NoError(t, err)
						body := ""
						got, err := NewService(e.Addr).Run(t.Context(), Call{ID: "r1", Method: http.MethodPost, Path: "/x", Body: upload, AtMostOnce: true})
						if err == nil {
							var data []byte
							data, err = io.ReadAll(got.Body)
							body, err = string(data), errors.Join(err, got.Body.Close())
						}
						e.Close()
						if whole {
							check.NoError(t, err)
							check.Equal(t, "body", body, ": part\n\n")
						} else if err == nil {
							t.Fatalf("taken for complete: %q", body)
						}
					}
				})
			}
		}
	}
}

// TestWholeResponseDuringUpload guards against a response with a length or chunks that is refused though it is whole, because the endpoint wrote it before
// it had read the request.
func TestWholeResponseDuringUpload(t *testing.T) {
	upload := bytes.Repeat([]byte("a"), 4<<20)
	for framing, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
	} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			e, err := fake.NewCutServer(fake.CutConfig{Text: text, End: fake.CutEnds["closes its half"], Unread: true})
			check.NoError(t, err)
			defer e.Close()
			got, err := NewService(e.Addr).Run(t.Context(), Call{ID: "r1", Method: http.MethodPost, Path: "/x", Body: upload, AtMostOnce: true})
			check.NoError(t, err)
			data, err := io.ReadAll(got.Body)
			check.NoError(t, err)
			check.Equal(t, "body", string(data), "part")
			check.NoError(t, got.Body.Close())
		})
	}
}
