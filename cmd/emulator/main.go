// Command emulator emulates what the fleet serves, on loopback addresses, and loads and measures it.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"shaletrestle/internal/emulator"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/version"
)

// exitCode is how the command ended.
type exitCode int

// The exit codes.
const (
	exitOK          exitCode = 0
	exitIncomplete  exitCode = 1 // something was not served, or could not be done
	exitUsage       exitCode = 2 // the experiment or the command line is wrong, or could not be started
	exitInterrupted exitCode = 130
)

// logOff is a level above all that is logged.
const logOff = slog.LevelError + 1

func main() { os.Exit(int(run(os.Args[1:], os.Stdout, os.Stderr))) }

// run is main without the process around it.
func run(args []string, out, errs io.Writer) exitCode {
	c := command{out: out, errs: errs}
	if err := c.parse(args); err != nil {
		return c.fail(exitUsage, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	switch c.subcommand {
	case subcommandDemo:
		return c.experiment(ctx, emulator.Demo)
	case subcommandRun:
		return c.experiment(ctx, func() (*emulator.Experiment, error) { return emulator.Load(c.file) })
	}
	fmt.Fprintln(errs, "emulator: name a subcommand: demo or run; --help tells more")
	return exitUsage
}

// The subcommands.
const (
	subcommandDemo = "demo"
	subcommandRun  = "run"
)

// command is a command line and where its output goes.
type command struct {
	out, errs  io.Writer
	log        *slog.Logger
	subcommand string // empty: none was named
	file       string // of run: the experiment
	lines      string // of demo and run: file for the results as JSON lines; empty: none
	plots      string // of demo and run: folder for plots; empty: none
}

// parse reads the command line.
func (c *command) parse(args []string) error {
	p := flaggy.NewParser("emulator")
	p.Description = "Emulates replicas, the platform's list, the operator and clients on loopback addresses, starts real daemons beside them in this process, loads them and measures. Exit code 0: all was served, 1: not all, 2: could not be done as asked, 130: interrupted."
	p.Version = version.Number
	p.ShowHelpOnUnexpected = false
	verbose := false
	p.Bool(&verbose, "v", "verbose", "the daemons' logs on standard error")
	subcommands := []*flaggy.Subcommand{c.demoCommand(), c.runCommand()}
	for _, s := range subcommands {
		p.AttachSubcommand(s, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		return err
	}
	for _, s := range subcommands {
		if s.Used {
			c.subcommand = s.Name
		}
	}
	level := logOff
	if verbose {
		level = slog.LevelInfo
	}
	c.log = slog.New(slog.NewTextHandler(c.errs, &slog.HandlerOptions{Level: level}))
	return nil
}

func (c *command) demoCommand() *flaggy.Subcommand {
	s := flaggy.NewSubcommand(subcommandDemo)
	s.Description = "Start a small fleet, send a few hundred requests, print the results."
	c.addResultFlags(s)
	return s
}

func (c *command) runCommand() *flaggy.Subcommand {
	s := flaggy.NewSubcommand(subcommandRun)
	s.Description = "Run an experiment file (docs/emulator.md)."
	s.AddPositionalValue(&c.file, "file", 1, true, "the experiment")
	c.addResultFlags(s)
	return s
}

func (c *command) addResultFlags(s *flaggy.Subcommand) {
	s.String(&c.lines, "j", "json", "file for the results as JSON lines")
	s.String(&c.plots, "p", "plots", "folder for plots (SVG and PNG)")
}

// experiment loads an experiment, runs it and prints its summary.
func (c *command) experiment(ctx context.Context, load func() (*emulator.Experiment, error)) exitCode {
	experiment, err := load()
	if err != nil {
		return c.fail(exitUsage, err)
	}
	output := emulator.Output{Progress: c.out, Plots: c.plots}
	if c.lines != "" {
		f, err := os.Create(c.lines)
		if err != nil {
			return c.fail(exitUsage, err)
		}
		defer func() { _ = f.Close() }()
		output.Lines = f
	}
	summary, err := emulator.Run(ctx, c.log, experiment, output)
	if err != nil {
		return c.exitCodeOf(ctx, err)
	}
	if err := summary.Write(c.out); err != nil {
		return c.fail(exitIncomplete, err)
	}
	switch {
	case summary.Interrupted:
		return exitInterrupted
	case !summary.IsComplete():
		return exitIncomplete
	}
	return exitOK
}

// exitCodeOf prints an error, if there is one, and gives the exit code that belongs to it.
func (c *command) exitCodeOf(ctx context.Context, err error) exitCode {
	switch kind := errkind.KindOf(err); {
	case err == nil:
		return exitOK
	case ctx.Err() != nil:
		fmt.Fprintln(c.errs, "emulator: interrupted")
		return exitInterrupted
	case kind == errkind.InvalidSettings || kind == errkind.Unavailable:
		return c.fail(exitUsage, err)
	}
	return c.fail(exitIncomplete, err)
}

// fail prints an error and passes the exit code on.
func (c *command) fail(code exitCode, err error) exitCode {
	fmt.Fprintln(c.errs, "emulator:", err)
	return code
}
