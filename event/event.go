// Package event writes the numbered log events that docs/EVENTS.md lists.
//
// Every event is declared once, in catalogue.go. The package owns the catalogue, the
// encoding of lines and the bounded queue before a slow reader; the caller owns the writer.
// Every process logs through it, also on the request path; with Config.Queue set, Emit doesn't
// block on a slow reader.
package event

import (
	"io"
	"sort"
	"strings"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"
)

// UnknownLevel reports an unknown log level.
var UnknownLevel = errorx.NewNamespace("event").NewType("badlevel")

// Kind is one kind of event in the catalogue.
type Kind struct {
	// Number never changes; a retired number is not reused.
	Number int
	// Name is one word.
	Name string
	// Level is one of debug, info, warn, error.
	Level string
	// Text explains to an operator what happened and what to do.
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

// All returns the catalogue sorted by number.
func All() []Kind {
	kinds := make([]Kind, 0, len(catalogue))
	for _, k := range catalogue {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(i, j int) bool { return kinds[i].Number < kinds[j].Number })
	return kinds
}

// Log writes the events of one process.
type Log struct {
	out log.Logger
	// queue is set for a log that never blocks on its writer.
	queue *queue
	// minRank is the rank of the lowest level written.
	minRank int
}

// levelRanks orders the levels by severity.
var levelRanks = map[string]int{"debug": 0, "info": 1, "warn": 2, "error": 3}

// Level returns an error of type UnknownLevel if name is not a level.
func Level(name string) error {
	if _, ok := levelRanks[name]; !ok {
		return UnknownLevel.New("unknown log level %q: want debug, info, warn or error", name)
	}
	return nil
}

// DefaultQueue is the default of Config.Queue in the settings, in lines: a few seconds of
// a busy entry's log.
const DefaultQueue = 4096

// Config configures a Log.
type Config struct {
	// Out receives the lines; nil discards them.
	Out io.Writer
	// Node names the process in each line.
	Node string
	// JSON selects JSON lines in place of logfmt.
	JSON bool
	// Queue bounds the lines waiting for a slow reader; further lines are dropped and
	// counted, those below warn first. Zero writes each line synchronously.
	Queue int
	// Level is the lowest level written; if empty, all levels are.
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
	// The report of dropped lines bypasses the queue, so that it isn't dropped itself.
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

// Close writes the queued lines, waiting at most flushTimeout.
func (l *Log) Close() {
	if l.queue != nil {
		l.queue.close()
	}
}

// Dropped returns how many lines were dropped.
func (l *Log) Dropped() uint64 {
	if l.queue == nil {
		return 0
	}
	return l.queue.dropped()
}

// Discard returns a log that writes nothing.
func Discard() *Log { return New(Config{}) }

// Emit writes one event with its key-value pairs. Values of keys that name a secret
// are redacted.
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
	// A write error is ignored: there is nowhere else to report it.
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
