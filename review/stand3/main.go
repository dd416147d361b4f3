// Command stand3 runs case 11 of the review: it starts the programs of the deploy file as processes on loopback
// addresses, with stand-ins for the platform, the workers, the clients and the operator, and checks one rule by what these
// have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases holds the cases by name.
var cases = map[string]func(s *site, trouble bool) (broken bool, err error){
	"outside": runOutside,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	run, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(play(run, os.Args[2], os.Args[3]))
}

// play runs a case and returns the exit code.
func play(run func(s *site, trouble bool) (bool, error), program, recordPath string) (code int) {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	s, err := newSite(program, r)
	if err != nil {
		r.line("can't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	// The machine may be slow, but no case goes on for longer than this.
	watchdog := time.AfterFunc(115*time.Second, func() {
		r.line("can't run: the case takes too long")
		s.close()
		r.close()
		os.Exit(2)
	})
	defer watchdog.Stop()
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-ends
		s.close()
		os.Exit(2)
	}()
	broken, err := run(s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.line("can't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		r.line("result: the rule is broken")
		return 1
	}
	r.line("result: the rule holds")
	return 0
}
