package daemon

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"log/slog"
	"os"
	"runtime/debug"

	"shaletrestle/internal/metrics"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/version"
)

// FileVariable names the environment variable that holds the path of the settings file ("What a process is told" in
// the deploy page).
const FileVariable = "SHALETRESTLE_NODE_FILE"

// Exit codes of a program.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

const (
	// gcPercent is the growth of the heap, in percent, before the collector runs, whatever GOGC says.
	gcPercent = 100
	// softMemoryShare is the part of limits.memory_mb that the collector keeps the heap within; a process over the
	// whole of it is killed.
	softMemoryShare = 0.8
	// programBytes is what a program's own pages take beside what the collector manages.
	programBytes = 16 << 20
)

// Daemon is a long-running program.
type Daemon interface {
	// Run serves until the program's context ends. An error says that it could not begin.
	Run() error
	// Shutdown hands over what the program has; it may take the grace that the settings give. The context ends after it.
	Shutdown()
	// Reload takes new settings, which are valid.
	Reload(*settings.Settings)
}

// Program says what a command runs.
type Program struct {
	Name        string
	Description string // a sentence for the help
	Roles       settings.Roles
	// Build makes the daemon, as soon as it can. The context ends all its work.
	Build func(ctx context.Context, log *slog.Logger, env *settings.Settings) (Daemon, error)
}

// Main runs a program with the command line and the environment of this process. It never returns; the exit code is 0,
// 1 after an error, or 2 if the command line is wrong.
func Main(program Program) { os.Exit(run(program, os.Stdout, os.Stderr)) }

func run(program Program, stdout, stderr io.Writer) int {
	signals := notifySignals() // first of all: by default, SIGHUP ends a process
	options, err := parseOptions(program)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, program.Name+":", err)
		return exitUsage
	}
	if options.file == "" {
		_, _ = fmt.Fprintf(stderr, "%s: %s is not set\n", program.Name, FileVariable)
		return exitError
	}
	if !validLongWork(options.longWork) {
		_, _ = fmt.Fprintln(stderr, program.Name+": --long-work takes on, off or always")
		return exitUsage
	}
	start := &startup{options: options, signals: signals}
	ended, err := start.awaitSettings(program.Name, stderr)
	if ended != nil {
		return exitOK
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, program.Name+":", err)
		return exitError
	}
	if options.checkOnly {
		_, _ = fmt.Fprintln(stdout, "the settings are fine")
		return exitOK
	}
	return serve(program, start, stderr)
}

// serve runs the daemon until it ends.
func serve(program Program, start *startup, stderr io.Writer) int {
	output := newLogWriter(stderr)
	defer output.Close()
	stdlog.SetOutput(output) // for libraries: net/http
	handler := slog.NewTextHandler(output, &slog.HandlerOptions{Level: start.options.logLevel})
	log := slog.New(handler).With("program", program.Name)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	env := start.settings
	log.Info("starting", "version", version.Number, "pid", os.Getpid(), "node", env.NodeName, "bootstrap", env.Bootstrap,
		"memory_mb", env.Limits.MemoryMB, "max_fds", env.Limits.MaxFds)
	if unknown := env.UnknownContracts(); len(unknown) > 0 {
		log.Warn("contracts in force that this version does not know", "contracts", unknown)
	}
	limitMemory(env)
	result, received := start.awaitBuilt(beginBuild(ctx, log, program, env))
	if received != nil {
		log.Info("ended while starting", "signal", received.String(), "uptime_ms", metrics.Uptime().Milliseconds())
		return exitOK
	}
	if result.err != nil {
		log.Error("cannot start", "error", result.err.Error(), "uptime_ms", metrics.Uptime().Milliseconds())
		return exitError
	}
	go newReloader(cancel, log, result.daemon, start).run(ctx) // it ends with the context, at the latest with the process
	if err := result.daemon.Run(); err != nil {
		log.Error("ended with an error", "error", err.Error(), "uptime_ms", metrics.Uptime().Milliseconds())
		return exitError
	}
	log.Info("ended", "uptime_ms", metrics.Uptime().Milliseconds())
	return exitOK
}

// softMemoryLimit is what the collector keeps its memory within, so that the process stays within the granted bytes.
func softMemoryLimit(granted float64) int64 {
	return int64(max(granted*softMemoryShare-programBytes, granted/2))
}

// limitMemory sets the collector's bounds for the memory that the settings grant.
func limitMemory(env *settings.Settings) {
	granted := env.Limits.MemoryMB * (1 << 20)
	debug.SetMemoryLimit(softMemoryLimit(granted))
	debug.SetGCPercent(gcPercent)
}
