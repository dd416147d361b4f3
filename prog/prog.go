// Package prog implements the commands of the egretshunt binary.
//
// It owns the command line, the exit codes and the printed output. Package node
// assembles the processes that the commands start, and package fleet assembles
// sample deployments.
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
	// Usage is the type of errors in the command line.
	Usage = namespace.NewType("usage")
	// Failed is the type of errors of a command that could not complete.
	Failed = namespace.NewType("failed")
	// Broken is the error type of a drill that found a violated guarantee.
	Broken = namespace.NewType("broken")
	// Rejected is the type of errors for a request that the control plane or an entry rejected.
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
	Entry   *roleArgs    `arg:"subcommand:entry" help:"serve clients' requests"`
	Control *roleArgs    `arg:"subcommand:control" help:"run a control VM, which holds the tables"`
	Agent   *roleArgs    `arg:"subcommand:agent" help:"run the agent of an endpoint"`
	Store   *roleArgs    `arg:"subcommand:store" help:"run a store of KV blocks"`
	Host    *hostArgs    `arg:"subcommand:host" help:"run a role on the consortium's platform"`
	Ctl     *ctlArgs     `arg:"subcommand:ctl" help:"operate a system"`
	Check   *checkArgs   `arg:"subcommand:check" help:"check settings, a table set or an export of tables"`
	Trace   *traceArgs   `arg:"subcommand:trace" help:"show a request's path through the logs of several processes"`
	Key     *keyArgs     `arg:"subcommand:key" help:"generate a key, or hash one"`
	Load    *loadArgs    `arg:"subcommand:load" help:"send synthetic load to entries"`
	Restore *restoreArgs `arg:"subcommand:restore" help:"restore a control VM from a snapshot"`
	Version *versionArgs `arg:"subcommand:version" help:"tell which build this is, as the log's line started does"`
	Demo    *demoArgs    `arg:"subcommand:demo" help:"run a whole deployment in one process"`
}

// Description implements arg.Described.
func (commandLine) Description() string {
	return "egretshunt serves language-model prompts that are continued after long pauses.\n"
}

// Epilogue implements arg.Epilogued.
func (commandLine) Epilogue() string {
	return `Examples:
  egretshunt demo --shape caroni
  egretshunt check samples/caroni/entry-0.toml
  egretshunt check --against inforce.json tableset.json
  egretshunt entry samples/caroni/entry-0.toml
  egretshunt load --entry http://127.0.0.1:8080 --key "$KEY" --rate 20
  egretshunt ctl --admin 127.0.0.1:9001 --key "$KEY" routes list
Exit codes: 0 success, 1 failure or violated guarantee, 2 invalid command line, 3 invalid settings, 4 requests aborted at shutdown, 5 rejected by the control plane.
check exits with 0 if it finds nothing, 1 if it finds errors, 2 if it finds warnings only.`
}

// Main runs the command in argv, without the program's name, and returns the exit code.
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
	case a.Version != nil:
		return a.Version.run(out)
	case a.Demo != nil:
		return a.Demo.run(out)
	}
	p.WriteHelp(out)
	return Usage.New("no command given")
}

// exitCode prints err, if any, and returns the exit code for it.
func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return exitOK
	}
	if found := (*foundError)(nil); errors.As(err, &found) {
		return found.code
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

// abortedError reports the number of requests aborted by a shutdown.
type abortedError struct{ count int }

// Error implements error.
func (e *abortedError) Error() string { return fmt.Sprintf("shutdown aborted %d requests", e.count) }
