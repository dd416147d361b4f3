package conns_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/conns"
	"egretshunt/limit"
)

// TestReadBody guards against bodies that are held beyond their bounds, and against sound ones that get none of the memory.
func TestReadBody(t *testing.T) {
	const most = 1 << 20
	for name, c := range map[string]struct {
		large       int64
		pause, time time.Duration
		// sent is how much is sent of the body, announced of how much; below zero means chunks.
		sent, announced int
		status          int
	}{
		"whole":                         {most, time.Minute, time.Minute, most, most, 200},
		"whole in chunks":               {4 * most, time.Minute, time.Minute, most, -1, 200},
		"none":                          {most, time.Minute, time.Minute, 0, 0, 200},
		"announced over the limit":      {most, time.Minute, time.Minute, 0, most + 1, 413},
		"over the limit in chunks":      {4 * most, time.Minute, time.Minute, most + 1, -1, 413},
		"no room":                       {most / 2, time.Minute, time.Minute, most, most, 503},
		"stopped":                       {most, time.Millisecond, time.Minute, most / 2, most, 408},
		"later than it may take in all": {most, time.Minute, time.Millisecond, most / 2, most, 408},
	} {
		t.Run(name, func(t *testing.T) {
			budget := limit.NewBudget(limit.BudgetConfig{Large: c.large})
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				data, hold, failure := conns.ReadBody(w, r, conns.BodyConfig{Budget: budget, Max: most, Pause: c.pause, Time: c.time})
				defer hold.Release()
				if failure != nil {
					http.Error(w, failure.Text, failure.Status)
				} else if len(data) != c.sent {
					t.Errorf("%d bytes of the body were read, want %d", len(data), c.sent)
				}
			}))
			defer s.Close()
			source, end := io.Pipe()
			defer end.Close()
			go func() {
				_, _ = io.Copy(end, strings.NewReader(strings.Repeat("x", c.sent)))
				if c.announced < 0 || c.sent == c.announced {
					end.Close()
				}
			}()
			r, err := http.NewRequest(http.MethodPut, s.URL, source)
			check.NoError(t, err)
			if r.ContentLength = int64(c.announced); c.announced == 0 {
				r.Body = http.NoBody
			}
			got, err := http.DefaultClient.Do(r)
			check.NoError(t, err)
			got.Body.Close()
			check.Equal(t, "status", got.StatusCode, c.status)
			check.Eventually(t, "nothing is held", func() bool { return budget.Bytes() == 0 })
		})
	}
}

// TestStoppedBodyGivesWay guards against bodies that stop and keep others out.
func TestStoppedBodyGivesWay(t *testing.T) {
	const size = 256 << 10
	now := make(chan time.Duration, 1)
	now <- 0
	clock := func() time.Duration {
		n := <-now
		now <- n
		return n
	}
	budget := limit.NewBudget(limit.BudgetConfig{Large: size, Now: clock})
	statuses := make(chan int, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, hold, failure := conns.ReadBody(w, r, conns.BodyConfig{Budget: budget, Max: size})
		defer hold.Release()
		if failure == nil {
			failure = &conns.BodyFailure{Status: http.StatusOK}
		}
		statuses <- failure.Status
		w.WriteHeader(failure.Status)
	}))
	defer s.Close()
	stopped, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
	check.NoError(t, err)
	defer stopped.Close()
	_, err = io.WriteString(stopped, "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 262144\r\n\r\n"+strings.Repeat("x", size-1))
	check.NoError(t, err)
	check.Eventually(t, "its memory is held", func() bool { return budget.Bytes() >= size })
	// Its last bytes may still be read after that, at any time.
	check.Eventually(t, "another one gets the memory", func() bool {
		now <- <-now + 2*limit.BodyPatience
		got, err := http.Post(s.URL, "", strings.NewReader(strings.Repeat("x", size)))
		check.NoError(t, err)
		got.Body.Close()
		return got.StatusCode == http.StatusOK
	})
	check.Eventually(t, "the one that stopped gets 408", func() bool { return <-statuses == http.StatusRequestTimeout })
}

// TestPort guards against ports that read bodies which nobody wants, or keep connections open beyond their bound.
func TestPort(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })}
	conns.ServePort(s, l, conns.PortConfig{Conns: 3})
	defer s.Close()
	url := "http://" + l.Addr().String()
	ended := make(chan struct{}, 9)
	for range 9 {
		c, err := net.Dial("tcp", l.Addr().String())
		check.NoError(t, err)
		defer c.Close()
		go func() {
			_, _ = c.Read(make([]byte, 1))
			ended <- struct{}{}
		}()
	}
	// One address may have two of three connections.
	for range 7 {
		<-ended
	}
	got, err := http.Get(url)
	check.NoError(t, err)
	got.Body.Close()
	check.Equal(t, "status and end of the connection", []any{got.StatusCode, got.Close}, []any{http.StatusOK, true})
	source, end := io.Pipe()
	defer end.Close()
	got, err = http.Post(url, "", source)
	check.NoError(t, err)
	got.Body.Close()
	check.Equal(t, "status of a body without end", got.StatusCode, http.StatusRequestEntityTooLarge)
}
