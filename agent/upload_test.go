package agent

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"egretshunt/check"
	"egretshunt/fake"
)

// TestEndBeforeRequestArrived guards against a response without length and chunks that counts as complete though its endpoint, which has ended it, takes
// nothing more of a request that the kernel has taken whole.
func TestEndBeforeRequestArrived(t *testing.T) {
	_, err := upload(t, fake.CutConfig{Text: "HTTP/1.1 200 OK\r\n\r\npart", Unread: true, End: func(c *net.TCPConn) {
		_ = c.CloseWrite()
		<-t.Context().Done()
		c.Close()
	}}, 512<<10)
	check.Equal(t, "taken for complete", err == nil, false)
}

// TestEndDuringUpload guards against a response without length and chunks that counts as complete because its connection ended while the request was
// still being written: the writer may get the error of a reset, and the reader a plain end.
func TestEndDuringUpload(t *testing.T) {
	for framing, head := range map[string]string{"text": "Content-Type: text/plain\r\n", "events": "Content-Type: text/event-stream\r\n"} {
		for ending, end := range fake.CutEnds {
			for _, size := range []int{20 << 10, 1 << 20, 4 << 20} {
				// An endpoint that closes its half reads the rest of the request.
				whole := ending == "closes its half"
				t.Run(fmt.Sprintf("%s, %s, %d KiB", framing, ending, size>>10), func(t *testing.T) {
					t.Parallel()
					for range uploadRounds {
						body, err := upload(t, fake.CutConfig{Text: "HTTP/1.1 200 OK\r\n" + head + "\r\n: part\n\n", End: end, Unread: true}, size)
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

// TestWholeResponseDuringUpload guards against a response with a length or chunks that is lost though it is whole, because its endpoint ended the connection
// before it had read the request.
func TestWholeResponseDuringUpload(t *testing.T) {
	for framing, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
	} {
		for ending, end := range fake.CutEnds {
			t.Run(framing+", "+ending, func(t *testing.T) {
				t.Parallel()
				for range uploadRounds {
					body, err := upload(t, fake.CutConfig{Text: text, End: end, Unread: true}, 4<<20)
					check.NoError(t, err)
					check.Equal(t, "body", body, "part")
				}
			})
		}
	}
}

// uploadRounds is how often each case is tried: the order in which writer and reader learn of an end varies.
const uploadRounds = 30

// upload sends a request with a body of a size to an endpoint and returns the body of the response.
func upload(t *testing.T, c fake.CutConfig, size int) (string, error) {
	t.Helper()
	e, err := fake.NewCutServer(c)
	check.NoError(t, err)
	defer e.Close()
	got, err := NewService(e.Addr).Run(t.Context(), Call{ID: "r1", Method: http.MethodPost, Path: "/x", Body: bytes.Repeat([]byte("a"), size), AtMostOnce: true})
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(got.Body)
	return string(data), errors.Join(err, got.Body.Close())
}
