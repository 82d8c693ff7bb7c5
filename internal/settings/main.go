package settings

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
)

// Exit codes of a program.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// Daemon is what a program runs with its settings.
type Daemon interface {
	Run() error
	Shutdown()
	Reload(*Settings)
}

// Main is the command line that the daemons share. It never returns.
func Main(name, description string, need Need, build func(context.Context, *slog.Logger, *Settings) (Daemon, error)) {
	os.Exit(run(name, description, need, build))
}

func run(name, description string, need Need, build func(context.Context, *slog.Logger, *Settings) (Daemon, error)) int {
	options, err := parseOptions(name, description, need)
	if err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		return exitUsage
	}
	if options.file == "" {
		fmt.Fprintf(os.Stderr, "%s: %s is not set\n", name, FileVariable)
		return exitError
	}
	if !validLongWork(options.longWork) {
		fmt.Fprintln(os.Stderr, name+": --long-work takes on, off or always")
		return exitUsage
	}
	env, err := options.load()
	if err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		return exitError
	}
	if options.checkOnly {
		fmt.Println("the settings are fine")
		return exitOK
	}
	return serve(name, options, env, build)
}

// serve runs the daemon until it ends.
func serve(name string, options *options, env *Settings, build func(context.Context, *slog.Logger, *Settings) (Daemon, error)) int {
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: options.logLevel})
	log := slog.New(handler)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	daemonLog := log.With("program", name)
	limitMemory(env)
	daemon, err := build(ctx, daemonLog, env)
	if err != nil {
		log.Error("can't start", "part", name, "err", err.Error())
		return exitError
	}
	reloader := newReloader(ctx, cancel, daemonLog, daemon, options)
	go reloader.run()
	if err := daemon.Run(); err != nil {
		log.Error("ended", "part", name, "err", err.Error())
		return exitError
	}
	return exitOK
}

// limitMemory sets the collector's bounds for the memory that the settings grant.
func limitMemory(env *Settings) {
	granted := env.Limits.MemoryMB * (1 << 20)
	debug.SetMemoryLimit(int64(granted * softMemory))
	debug.SetGCPercent(collectAt)
}
