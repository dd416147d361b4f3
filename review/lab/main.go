// Command lab runs the scripted cases of the review. It starts the project's own programs as processes on loopback
// addresses and plays the platform, the operator, the servers and the clients itself.
//
//	lab CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With
// TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// limit is the longest time that a case may run.
const limit = 115 * time.Second

// cases are the scripted cases by name.
var cases = map[string]func(l *lab) (int, error){"joined": runJoined, "voters": runVoters, "attempts": runAttempts}

// lab is one run of a case.
type lab struct {
	ctx     context.Context
	trouble bool
	dir     string
	started time.Time
	// net holds the second and third byte of the loopback addresses of this run.
	net [2]byte

	mu        sync.Mutex
	record    *os.File
	processes []*process
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		return cannotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer record.Close()
	pid := os.Getpid()
	l := &lab{ctx: ctx, trouble: os.Getenv("TROUBLE") != "0", dir: dir, started: time.Now(), net: [2]byte{byte(20 + pid>>8%200), byte(pid)}, record: record}
	defer l.killAll()
	code, err := cases[os.Args[1]](l)
	if err != nil {
		l.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	l.note("exit code %d", code)
	return code
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// say is note, also on standard output.
func (l *lab) say(format string, args ...any) {
	l.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// sleep waits; it reports whether the run still has time.
func (l *lab) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-l.ctx.Done():
		return false
	}
}

// ip returns the address of a machine of the run.
func (l *lab) ip(n int) string { return fmt.Sprintf("127.%d.%d.%d", l.net[0], l.net[1], n) }
