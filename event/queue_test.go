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
	l := event.New(event.Config{Out: out, Node: "n", Queue: 128})
	for i := range 50 {
		l.Emit(event.Served, "id", i)
	}
	l.Close()
	check.Equal(t, "lines", strings.Count(out.text(), "\n"), 50)
}

// A reader stalls while requests are served and some refused: refusals are the last to go.
func TestRefusalsOutlastServedLines(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
	l := event.New(event.Config{Out: out, Node: "n", Queue: 64})
	for i := range 1000 {
		l.Emit(event.Served, "id", i)
	}
	for i := range 10 {
		l.Emit(event.TurnedAway, "id", i)
	}
	close(out.free)
	l.Close()
	check.Equal(t, "refusals written", strings.Count(out.text(), "name=turnedaway"), 10)
}

func TestLevelBoundsVolume(t *testing.T) {
	var out bytes.Buffer
	l := event.New(event.Config{Out: &out, Node: "n", Level: "warn"})
	l.Emit(event.Served, "id", 1)
	l.Emit(event.TurnedAway, "id", 2)
	check.Equal(t, "served lines", strings.Count(out.String(), "name=served"), 0)
	check.Equal(t, "refusals", strings.Count(out.String(), "name=turnedaway"), 1)
	check.Equal(t, "an unknown level", event.Level("loud") != nil, true)
}
