package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"egretshunt/check"
)

// startCopyingService starts a service that writes its last response once more in front of the next one on each
// connection, and returns its address. respond returns the status and body of a response.
func startCopyingService(t testing.TB, respond func(r *http.Request) (status int, body string)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in, last := bufio.NewReader(c), ""
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					status, body := respond(r)
					text := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
					if _, err := io.WriteString(c, last+text); err != nil {
						return
					}
					last = text
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestEarlierResponseWrittenAgain guards against an earlier response that a service writes once more and that is taken for
// that of the next call: that call's caller would get another's booking, or a refusal of what ran.
func TestEarlierResponseWrittenAgain(t *testing.T) {
	for name, first := range map[string]int{"booked": 201, "refused": 503} {
		t.Run(name, func(t *testing.T) {
			statuses := map[string]int{"/jobs/a": first, "/jobs/b": 201, "/jobs/c": 201}
			s := NewService(startCopyingService(t, func(r *http.Request) (int, string) { return statuses[r.URL.Path], r.URL.Path }))
			for _, path := range []string{"/jobs/a", "/jobs/b", "/jobs/c"} {
				r, err := s.Run(t.Context(), Call{ID: path, Method: http.MethodPost, Path: path, Body: []byte("x"), AtMostOnce: true})
				check.NoError(t, err)
				body, err := io.ReadAll(r.Body)
				check.NoError(t, err)
				check.NoError(t, r.Body.Close())
				check.Equal(t, "response", string(body), path)
				check.Equal(t, "status", r.Status, statuses[path])
			}
		})
	}
}

// TestEarlierOutcomeWrittenAgain guards against a booking that runs twice, since the outcome of another, which never ran,
// was taken for its own.
func TestEarlierOutcomeWrittenAgain(t *testing.T) {
	s := NewService(startCopyingService(t, func(r *http.Request) (int, string) {
		if r.URL.Path == "/outcome/ran" {
			return 200, "{}"
		}
		return 404, ""
	}))
	for _, key := range []string{"never", "ran", "never"} {
		ran, _, err := s.Outcome(t.Context(), "/outcome/"+key)
		check.NoError(t, err)
		check.Equal(t, key, ran, key == "ran")
	}
}

// A service that is asked to close the connection may leave out the length of its response.
func TestCallsDontAskForClose(t *testing.T) {
	asked := make(chan bool, 1)
	s := NewService(startCopyingService(t, func(r *http.Request) (int, string) {
		asked <- r.Close
		return 200, ""
	}))
	_, err := s.Health(t.Context())
	check.NoError(t, err)
	check.Equal(t, "asked to close", <-asked, false)
}

// BenchmarkServiceCall measures one call of a service on the same VM.
func BenchmarkServiceCall(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(b, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	s := NewService(netip.MustParseAddrPort(l.Addr().String()))
	for b.Loop() {
		r, err := s.Run(b.Context(), Call{ID: "a", Method: http.MethodPost, Path: "/", Body: []byte("x"), AtMostOnce: true})
		check.NoError(b, err)
		_, err = io.Copy(io.Discard, r.Body)
		check.NoError(b, err)
		check.NoError(b, r.Body.Close())
	}
}
