package prog

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"
)

// traceArgs are the arguments of trace, which shows one request's path through the logs of several processes.
type traceArgs struct {
	ID     string        `arg:"positional,required" placeholder:"ID" help:"ID of the request"`
	Files  []string      `arg:"positional,required" placeholder:"FILE" help:"log files of the processes, in any order"`
	Window time.Duration `arg:"--near" default:"2s" help:"how long before and after the request state changes of the processes are shown"`
}

// logLine is a line of a process's log. Matched is true if it is about the request.
type logLine struct {
	at      time.Time
	text    string
	matched bool
}

// stateEvent matches log lines of events that change what a process assumes about itself or
// others, such as leadership, tables, stores and endpoints.
var stateEvent = regexp.MustCompile(`\bname=(elected|deposed|installed|stale|fresh|listed|listbad|storeup|storedown|unfit|fit|started|stopping|reloaded|ordered|dropped)\b`)

// timestamp matches the time of a log line.
var timestamp = regexp.MustCompile(`\bts=(\S+)`)

// run merges the log files by time and prints the request's lines, marked with ">", and the
// state changes around them.
func (a *traceArgs) run(out io.Writer) error {
	var lines []logLine
	for _, name := range a.Files {
		file, err := os.Open(name)
		if err != nil {
			return Failed.Wrap(err, "open log")
		}
		found, err := readLog(file, a.ID)
		file.Close()
		if err != nil {
			return Failed.Wrap(err, "read log %s", name)
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(x, y logLine) int { return x.at.Compare(y.at) })
	var first, last time.Time
	for _, l := range lines {
		if !l.matched {
			continue
		}
		if first.IsZero() {
			first = l.at
		}
		last = l.at
	}
	if first.IsZero() {
		return Failed.New("no log line has the request ID %s", a.ID)
	}
	for _, l := range lines {
		switch {
		case l.matched:
			fmt.Fprintln(out, ">", l.text)
		case l.at.After(first.Add(-a.Window)) && l.at.Before(last.Add(a.Window)):
			fmt.Fprintln(out, " ", l.text)
		}
	}
	return nil
}

// readLog returns the log lines about the request and those of state changes.
func readLog(in io.Reader, id string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		text := scanner.Text()
		matched := slices.Contains(strings.Fields(text), "id="+id)
		if !matched && !stateEvent.MatchString(text) {
			continue
		}
		stamp := timestamp.FindStringSubmatch(text)
		if stamp == nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, stamp[1])
		if err != nil {
			continue
		}
		lines = append(lines, logLine{at, text, matched})
	}
	return lines, scanner.Err()
}
