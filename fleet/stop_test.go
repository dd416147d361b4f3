package fleet_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/fleet"
)

// dialEntry returns a connection to the first entry.
func dialEntry(t *testing.T, f *fleet.Fleet) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(f.URL(0), "http://"))
	check.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	check.NoError(t, c.SetDeadline(time.Now().Add(60*time.Second)))
	return c, bufio.NewReader(c)
}

// status returns the status of the next complete response, zero if there is none.
func status(in *bufio.Reader) int {
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return 0
	}
	return r.StatusCode
}

// TestStopDropsRequests guards against requests that an entry was reading, or that were open at the end of its time, when it was
// stopped, and whose connections it closed without an answer.
func TestStopDropsRequests(t *testing.T) {
	t.Parallel()
	f := startFleet(t, nil)
	const head, rest = "GET /v1/models HTTP/1.1\r\nHost: a\r\nAuthori", "zation: Bearer none\r\n\r\n"
	reading, in := dialEntry(t, f)
	_, err := io.WriteString(reading, head)
	check.NoError(t, err)
	for _, s := range f.Services {
		s.SetHang(true)
	}
	held := make(chan int, 1)
	go func() {
		r, err := f.Send(t.Context(), fleet.Client(), 0, 0, http.MethodGet, "/svc/"+f.Shape.Service+"/status", nil, "")
		if err != nil {
			held <- 0
			return
		}
		defer r.Body.Close()
		held <- r.StatusCode
	}()
	check.Eventually(t, "at an endpoint", func() bool {
		calls := 0
		for _, s := range f.Services {
			calls += s.Calls()
		}
		return calls > 0
	})
	stopped := make(chan int, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		stopped <- f.StopGracefully(ctx, f.Entries[0])
	}()
	check.Eventually(t, "takes no connections", func() bool {
		c, err := net.Dial("tcp", strings.TrimPrefix(f.URL(0), "http://"))
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	_, err = io.WriteString(reading, rest)
	check.NoError(t, err)
	t.Run("headers being read", func(t *testing.T) { check.Equal(t, "status", status(in), http.StatusUnauthorized) })
	t.Run("at an endpoint at the end of the time", func(t *testing.T) { check.Equal(t, "status", <-held, http.StatusServiceUnavailable) })
	check.Equal(t, "cut off", <-stopped, 0)
}
