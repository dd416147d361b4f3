// Package prog holds the programs of the one binary, a file for each command.
//
// It owns the command line, exit codes and what is printed; the processes
// themselves are assembled in node, sample deployments in fleet.
package prog

import (
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/joomcode/errorx"

	"egretshunt/conf"
)

var (
	namespace = errorx.NewNamespace("prog")
	// Usage reports a command line that makes no sense.
	Usage = namespace.NewType("usage")
	// Failed reports a command that could not do its work.
	Failed = namespace.NewType("failed")
	// Broken reports a promise that a drill found broken.
	Broken = namespace.NewType("broken")
	// Rejected reports a change that control did not accept.
	Rejected = namespace.NewType("refused")
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
	exitAborted  = 4
	exitRejected = 5
)

// commandLine is the whole command line.
type commandLine struct {
	Entry   *roleArgs    `arg:"subcommand:entry" help:"serve callers"`
	Control *roleArgs    `arg:"subcommand:control" help:"keep the tables"`
	Agent   *roleArgs    `arg:"subcommand:agent" help:"stand beside an endpoint"`
	Store   *roleArgs    `arg:"subcommand:store" help:"keep KV blocks"`
	Host    *hostArgs    `arg:"subcommand:host" help:"run a role on the consortium's platform"`
	Ctl     *ctlArgs     `arg:"subcommand:ctl" help:"operate a system"`
	Check   *checkArgs   `arg:"subcommand:check" help:"check a settings file"`
	Trace   *traceArgs   `arg:"subcommand:trace" help:"show a request's way through logs"`
	Key     *keyArgs     `arg:"subcommand:key" help:"make a key, or hash one"`
	Load    *loadArgs    `arg:"subcommand:load" help:"replay load against entries"`
	Restore *restoreArgs `arg:"subcommand:restore" help:"restore a control VM from a snapshot"`
	Demo    *demoArgs    `arg:"subcommand:demo" help:"run a whole deployment here"`
}

// Description implements arg.Described.
func (commandLine) Description() string {
	return "egretshunt serves language-model prompts that come back after long gaps.\n"
}

// Epilogue implements arg.Epilogued.
func (commandLine) Epilogue() string {
	return `Examples:
  egretshunt demo --shape caroni
  egretshunt check samples/caroni/entry-0.toml
  egretshunt entry samples/caroni/entry-0.toml
  egretshunt load --entry http://127.0.0.1:8080 --key "$KEY" --rate 20
  egretshunt ctl --admin 127.0.0.1:9001 --key "$KEY" routes list
Exit codes: 0 done, 1 failed or a promise broke, 2 wrong command line, 3 wrong settings, 4 requests were cut off, 5 refused by control.`
}

// Main runs one command and returns the exit code.
func Main(argv []string, out, stderr io.Writer) int {
	a := &commandLine{}
	p, err := arg.NewParser(arg.Config{Program: "egretshunt", Out: stderr}, a)
	if err != nil {
		fmt.Fprintln(stderr, "egretshunt:", err)
		return exitUsage
	}
	switch err := p.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelpForSubcommand(out, p.SubcommandNames()...)
		return exitOK
	case err != nil:
		fmt.Fprintln(stderr, "egretshunt:", err)
		p.WriteUsageForSubcommand(stderr, p.SubcommandNames()...)
		return exitUsage
	}
	return exitCode(run(a, p, out, stderr), stderr)
}

func run(a *commandLine, p *arg.Parser, out, stderr io.Writer) error {
	switch {
	case a.Entry != nil:
		return a.Entry.run("entry", stderr)
	case a.Control != nil:
		return a.Control.run("member", stderr)
	case a.Agent != nil:
		return a.Agent.run("agent", stderr)
	case a.Store != nil:
		return a.Store.run("store", stderr)
	case a.Host != nil:
		return a.Host.run(out)
	case a.Ctl != nil:
		return a.Ctl.run(out)
	case a.Check != nil:
		return a.Check.run(out)
	case a.Trace != nil:
		return a.Trace.run(out)
	case a.Key != nil:
		return a.Key.run(out)
	case a.Load != nil:
		return a.Load.run(out)
	case a.Restore != nil:
		return a.Restore.run(out)
	case a.Demo != nil:
		return a.Demo.run(out)
	}
	p.WriteHelp(out)
	return Usage.New("no command")
}

// exitCode prints what went wrong and chooses the exit code.
func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "egretshunt:", err)
	var aborted *abortedError
	switch {
	case errors.As(err, &aborted):
		return exitAborted
	case errorx.IsOfType(err, Usage):
		return exitUsage
	case errorx.IsOfType(err, Rejected):
		return exitRejected
	case errorx.IsOfType(err, conf.Invalid) || errorx.IsOfType(err, conf.Unreadable):
		return exitSettings
	}
	return exitFailed
}

// abortedError reports requests that a shutdown cut off.
type abortedError struct{ count int }

// Error implements error.
func (e *abortedError) Error() string { return fmt.Sprintf("%d requests were cut off", e.count) }
