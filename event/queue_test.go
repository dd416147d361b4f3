package event_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"egretshunt/check"
	"egretshunt/event"
)

// blockedWriter blocks in Write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

func (s *blockedWriter) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.String()
}

func TestBlockedWriterDoesNotBlockEmit(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	l := event.New(event.Config{Out: out, Node: "n", Queue: 16})
	for i := range 1000 {
		l.Emit(event.Served, "id", i)
	}
	check.Equal(t, "dropped", l.Dropped() > 900, true)
	close(out.unblock)
	check.Eventually(t, "the number of dropped lines is reported", func() bool { return strings.Contains(out.text(), "name=dropped") })
	l.Close()
}

func TestQueueWritesAllOnClose(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	close(out.unblock)
	l := event.New(event.Config{Out: out, Node: "n", Queue: 128})
	for i := range 50 {
		l.Emit(event.Served, "id", i)
	}
	l.Close()
	check.Equal(t, "lines", strings.Count(out.text(), "\n"), 50)
}

// A reader stalls while requests are served and some rejected: the queue must not drop the
// rejections (warn) to keep served lines (info).
func TestWarningsKeptWhenQueueFull(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	l := event.New(event.Config{Out: out, Node: "n", Queue: 64})
	for i := range 1000 {
		l.Emit(event.Served, "id", i)
	}
	for i := range 10 {
		l.Emit(event.RequestRejected, "id", i)
	}
	close(out.unblock)
	l.Close()
	check.Equal(t, "rejections written", strings.Count(out.text(), "name=turnedaway"), 10)
}

func TestLevelFiltersEvents(t *testing.T) {
	var out bytes.Buffer
	l := event.New(event.Config{Out: &out, Node: "n", Level: "warn"})
	l.Emit(event.Served, "id", 1)
	l.Emit(event.RequestRejected, "id", 2)
	check.Equal(t, "served lines", strings.Count(out.String(), "name=served"), 0)
	check.Equal(t, "rejections", strings.Count(out.String(), "name=turnedaway"), 1)
	check.Equal(t, "unknown level is an error", event.Level("loud") != nil, true)
}
