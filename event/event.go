// Package event writes the numbered log events that docs/EVENTS.md lists.
//
// Every event is declared once in catalogue.go. The package owns the catalogue
// and the encoding; it does not own where the lines go.
package event

import (
	"io"
	"sort"
	"strings"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"
)

// UnknownLevel reports a level that does not exist.
var UnknownLevel = errorx.NewNamespace("event").NewType("badlevel")

// Kind is one entry of the catalogue.
type Kind struct {
	// Number is stable for ever; a retired number is not used again.
	Number int
	// Name is one word.
	Name string
	// Level is one of debug, info, warn, error.
	Level string
	// Text tells an operator what happened and what to do.
	Text string
}

var catalogue = map[int]Kind{}

func declare(number int, name, level, text string) Kind {
	k := Kind{Number: number, Name: name, Level: level, Text: text}
	if _, taken := catalogue[number]; taken {
		panic("event: number declared twice: " + name)
	}
	catalogue[number] = k
	return k
}

// All returns the catalogue in order of number.
func All() []Kind {
	kinds := make([]Kind, 0, len(catalogue))
	for _, k := range catalogue {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(i, j int) bool { return kinds[i].Number < kinds[j].Number })
	return kinds
}

// Log writes events of one process.
type Log struct {
	out log.Logger
	// queue is set for a log that never waits for its reader.
	queue *queue
	// minRank is the rank of the lowest level written.
	minRank int
}

// levelRanks ranks the levelRanks of kinds.
var levelRanks = map[string]int{"debug": 0, "info": 1, "warn": 2, "error": 3}

// Level checks the name of a level.
func Level(name string) error {
	if _, ok := levelRanks[name]; !ok {
		return UnknownLevel.New("there is no level %q; want debug, info, warn or error", name)
	}
	return nil
}

// DefaultQueue is how many lines wait for a slow reader where nothing else is set: some
// seconds of a busy entry.
const DefaultQueue = 4096

// Config constructs a Log.
type Config struct {
	// Out receives the lines; nil discards them.
	Out io.Writer
	// Node names the process in each line.
	Node string
	// JSON selects JSON lines in place of logfmt.
	JSON bool
	// Queue bounds the lines that wait for a slow reader; further ones are dropped and
	// counted, first those below warn. Zero writes each line at once.
	Queue int
	// Level is the lowest level written; "" writes all.
	Level string
}

// New returns a log that writes to c.Out.
func New(c Config) *Log {
	if c.Out == nil {
		return &Log{out: log.NewNopLogger()}
	}
	if c.Queue == 0 {
		return &Log{out: c.logger(log.NewSyncWriter(c.Out)), minRank: levelRanks[c.Level]}
	}
	q := newQueue(c.Out, c.Queue)
	l := &Log{out: c.logger(q), queue: q, minRank: levelRanks[c.Level]}
	// What tells of dropped lines must not be dropped with them.
	q.start(&Log{out: c.logger(c.Out)})
	return l
}

// logger returns a logger in the format of c that writes to w.
func (c Config) logger(w io.Writer) log.Logger {
	l := log.NewLogfmtLogger(w)
	if c.JSON {
		l = log.NewJSONLogger(w)
	}
	return log.With(l, "ts", log.DefaultTimestampUTC, "node", c.Node)
}

// Close writes what still waits, for at most a moment.
func (l *Log) Close() {
	if l.queue != nil {
		l.queue.close()
	}
}

// Lost returns how many lines were dropped.
func (l *Log) Lost() uint64 {
	if l.queue == nil {
		return 0
	}
	return l.queue.dropped()
}

// Discard returns a log that writes nothing.
func Discard() *Log { return New(Config{}) }

// Emit writes one event with its key and value pairs. Values under keys that name
// a secret are replaced.
func (l *Log) Emit(k Kind, pairs ...any) {
	if rank := levelRanks[k.Level]; rank < l.minRank || l.queue != nil && rank < levelRanks["warn"] && l.queue.dropsInfo() {
		return
	}
	line := make([]any, 0, len(pairs)+6)
	line = append(line, "event", k.Number, "name", k.Name, "level", k.Level)
	for i := 0; i+1 < len(pairs); i += 2 {
		key, _ := pairs[i].(string)
		line = append(line, key, redact(key, pairs[i+1]))
	}
	// A log line that can't be written has nowhere else to go.
	_ = l.out.Log(line...)
}

func redact(key string, v any) any {
	switch strings.ToLower(key) {
	case "secret", "bearer", "authorization", "password", "token":
		return "[redacted]"
	}
	if err, ok := v.(error); ok && err != nil {
		return err.Error()
	}
	return v
}
