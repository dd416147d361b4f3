package prog

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"egretshunt/conf"
	"egretshunt/node"
)

// runArgs start one process.
type runArgs struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"settings file, for example samples/caroni/entry-0.toml"`
}

// errTime is how often a process looks whether it can still do its work.
const errTime = 200 * time.Millisecond

// run serves until TERM or INT; HUP reads keys again.
func (a *runArgs) run(section string, errs io.Writer) error {
	s, err := conf.Load(a.File)
	if err != nil {
		return err
	}
	if !hasSection(s, section) {
		return conf.Invalid.New("%s: there is no [%s] section for this command", a.File, section)
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	p, err := node.Start(s, errs)
	if err != nil {
		return err
	}
	if err := await(p, signals); err != nil {
		p.Kill()
		return Failed.Wrap(err, "go on")
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace(s))
	defer cancel()
	if n := p.Stop(ctx); n > 0 {
		return &cutError{n}
	}
	return nil
}

func hasSection(s *conf.Settings, name string) bool {
	switch name {
	case "entry":
		return s.Entry != nil
	case "member":
		return s.Member != nil
	case "agent":
		return s.Agent != nil
	}
	return s.Store != nil
}

// await returns nil when the process is asked to stop, or why it can't go on.
func await(p *node.Process, signals <-chan os.Signal) error {
	t := time.NewTicker(errTime)
	defer t.Stop()
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return nil
			}
			// A file that can't be read is an event; the former keys stay in use.
			_ = p.Reload()
		case <-t.C:
			if err := p.Err(); err != nil {
				return err
			}
		}
	}
}

// defaultGrace bounds the shutdown of processes that serve nobody.
const defaultGrace = 10 * time.Second

func grace(s *conf.Settings) time.Duration {
	switch {
	case s.Entry != nil:
		return s.Entry.Grace.Duration
	case s.Agent != nil:
		return s.Agent.Grace.Duration
	}
	return defaultGrace
}
