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

// traceArgs show one request's way through the logs of several processes.
type traceArgs struct {
	ID     string        `arg:"positional,required" placeholder:"ID" help:"identity of the request"`
	Files  []string      `arg:"positional,required" placeholder:"FILE" help:"log files of the processes, in any order"`
	Window time.Duration `arg:"--near" default:"2s" help:"how far around the request changes of belief are shown"`
}

// logLine is one line of a process's log.
type logLine struct {
	at      time.Time
	text    string
	matched bool
}

// stateEvent matches lines that tell what a process began to believe.
var stateEvent = regexp.MustCompile(`\bname=(elected|deposed|installed|stale|fresh|listed|listbad|storeup|storedown|unfit|fit|started|stopping|reloaded|ordered|dropped)\b`)

// timestamp finds a line's time.
var timestamp = regexp.MustCompile(`\bts=(\S+)`)

// run merges the files by time and prints the request's lines and the beliefs around them.
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
		return Failed.New("no line names the request %s", a.ID)
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

// readLog returns the lines that name the request and those that tell of a belief.
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
