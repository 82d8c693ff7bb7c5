// Command emulator emulates what the fleet serves, on loopback addresses, and loads and measures it.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"shaletrestle/internal/version"

	"github.com/integrii/flaggy"

	"shaletrestle/internal/emulator"
	"shaletrestle/internal/errkind"
)

// Exit codes.
const (
	fine        = 0
	notAll      = 1 // something was not served, or could not be done
	badUse      = 2 // the experiment or the command line is wrong, or could not be put up
	interrupted = 130
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run is main without the process around it.
func run(args []string, out, errs io.Writer) int {
	p := flaggy.NewParser("emulator")
	p.Description = "Emulates replicas, the platform's list, the operator and clients on loopback addresses, starts real daemons beside them in this process, loads them and measures. Exit code 0: all was served, 1: not all, 2: could not be done as asked, 130: interrupted."
	p.Version = version.Number
	p.ShowHelpOnUnexpected = false
	var file, lines, plots string
	verbose := false
	p.Bool(&verbose, "v", "verbose", "the daemons' logs on standard error")
	demo := flaggy.NewSubcommand("demo")
	demo.Description = "Start a small fleet, send a few hundred requests, print what came of them."
	exp := flaggy.NewSubcommand("run")
	exp.Description = "Run an experiment file (docs/emulator.md)."
	exp.AddPositionalValue(&file, "file", 1, true, "the experiment")
	for _, c := range []*flaggy.Subcommand{demo, exp} {
		c.String(&lines, "j", "json", "file for the results as JSON lines")
		c.String(&plots, "p", "plots", "folder for plots (SVG and PNG)")
		p.AttachSubcommand(c, 1)
	}
	dir, names := "docs/capacity", []string{}
	slopes := flaggy.NewSubcommand("slopes")
	slopes.Description = "Grow one quantity of a fleet of hollow nodes at a time and write what it costs as JSON."
	slopes.String(&dir, "o", "out", "folder for the data")
	slopes.StringSlice(&names, "s", "series", "only these; may be given more than once: "+strings.Join(emulator.SeriesNames(), ", "))
	p.AttachSubcommand(slopes, 1)
	held := flaggy.NewSubcommand("cell")
	held.Description = "Hold daemons for slopes; told what to do on standard input."
	held.Hidden = true
	p.AttachSubcommand(held, 1)
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(errs, "emulator:", err)
		return badUse
	}
	level := slog.LevelError + 1
	if verbose {
		level = slog.LevelInfo
	}
	log := slog.New(slog.NewTextHandler(errs, &slog.HandlerOptions{Level: level}))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if held.Used { // it ends with its input; whoever started it hears the signals
		signal.Ignore(syscall.SIGINT)
		if err := emulator.Cell(ctx, log, os.Stdin, out); err != nil {
			fmt.Fprintln(errs, "emulator:", err)
			return notAll
		}
		return fine
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(stop)
	go func() {
		select {
		case <-stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	switch {
	case demo.Used:
		x, err := emulator.Demo()
		return experiment(ctx, log, x, err, lines, plots, out, errs)
	case exp.Used:
		x, err := emulator.Load(file)
		return experiment(ctx, log, x, err, lines, plots, out, errs)
	}
	if slopes.Used {
		err := emulator.Slopes(ctx, log, names, dir, emulator.Output{Progress: out})
		return said(ctx, err, errs)
	}
	fmt.Fprintln(errs, "emulator: name a subcommand: demo, run or slopes; --help tells more")
	return badUse
}

func experiment(ctx context.Context, log *slog.Logger, x *emulator.Experiment, err error, lines, plots string, out, errs io.Writer) int {
	if err != nil {
		fmt.Fprintln(errs, "emulator:", err)
		return badUse
	}
	o := emulator.Output{Progress: out, Plots: plots}
	if lines != "" {
		f, err := os.Create(lines)
		if err != nil {
			fmt.Fprintln(errs, "emulator:", err)
			return badUse
		}
		defer func() { _ = f.Close() }()
		o.Lines = f
	}
	s, err := emulator.Run(ctx, log, x, o)
	if err != nil {
		return said(ctx, err, errs)
	}
	if err := s.Write(out); err != nil {
		fmt.Fprintln(errs, "emulator:", err)
		return notAll
	}
	switch {
	case s.Interrupted:
		return interrupted
	case !s.IsComplete():
		return notAll
	}
	return fine
}

// said prints an error and gives the exit code that belongs to it.
func said(ctx context.Context, err error, errs io.Writer) int {
	switch k := errkind.KindOf(err); {
	case err == nil:
		return fine
	case ctx.Err() != nil:
		fmt.Fprintln(errs, "emulator: interrupted")
		return interrupted
	case k == errkind.InvalidSettings || k == errkind.Unavailable:
		fmt.Fprintln(errs, "emulator:", err)
		return badUse
	}
	fmt.Fprintln(errs, "emulator:", err)
	return notAll
}
