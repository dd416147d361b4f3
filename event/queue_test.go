package event_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"egretshunt/check"
	"egretshunt/event"
)

// stuck is a reader that has stopped reading until it is freed.
type stuck struct {
	free chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func (s *stuck) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

func TestStuckReaderHoldsNobodyUp(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
	l := event.New(event.Config{Out: out, Node: "n", Queue: 16})
	for i := range 1000 {
		l.Emit(event.Served, "id", i)
	}
	check.Equal(t, "dropped", l.Lost() > 900, true)
	close(out.free)
	check.Soon(t, "the count of dropped lines is told", func() bool { return strings.Contains(out.text(), "name=dropped") })
	l.Close()
}

func TestQueueWritesAllOnClose(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
	close(out.free)
	l := event.New(event.Config{Out: out, Node: "n", Queue: 64})
	for i := range 50 {
		l.Emit(event.Served, "id", i)
	}
	l.Close()
	check.Equal(t, "lines", strings.Count(out.text(), "\n"), 50)
}
