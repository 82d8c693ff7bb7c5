package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	_ "shaletrestle/internal/daemon/hangup" // SIGHUP is ignored until notifySignals
)

// fileCheckInterval is how often the settings file is looked at: it may change without a signal.
const fileCheckInterval = 2 * time.Second

// signalsKept is how many signals wait while the program starts, or while a reload or Shutdown runs.
const signalsKept = 16

// reloader reacts to signals and to changes of the settings file. Only run uses its fields.
type reloader struct {
	cancel  context.CancelFunc // ends the daemon
	log     *slog.Logger
	daemon  Daemon
	options *options
	signals <-chan os.Signal
	loaded  string // the stamp of the file that was read last
}

func newReloader(cancel context.CancelFunc, log *slog.Logger, daemon Daemon, start *startup) *reloader {
	return &reloader{
		cancel:  cancel,
		log:     log.With("part", "settings"),
		daemon:  daemon,
		options: start.options,
		signals: start.signals,
		loaded:  start.stamp,
	}
}

// notifySignals has the signals that a program knows sent to a channel. A broken pipe is an error of the write, on standard
// output and error too, where it would end the process.
func notifySignals() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, signalsKept)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// run reacts until a signal ends the program or the context ends.
func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case received := <-r.signals:
			if received == syscall.SIGHUP {
				r.reload()
				continue
			}
			r.log.Info("shutting down", "signal", received.String())
			r.daemon.Shutdown()
			r.cancel()
			return
		case <-time.After(fileCheckInterval):
			if fileStamp(r.options.file) != r.loaded {
				r.reload()
			}
		case <-ctx.Done():
			return
		}
	}
}

// reload gives the daemon the file's settings; invalid ones are not applied.
func (r *reloader) reload() {
	r.loaded = fileStamp(r.options.file) // before reading: a change in between is seen at the next check
	env, err := r.options.load()
	if err != nil {
		r.log.Error("invalid settings not applied", "file", r.options.file, "error", err.Error())
		return
	}
	r.log.Info("settings reloaded", "file", r.options.file)
	r.daemon.Reload(env)
}

// fileStamp is a text that changes when the file does; "none" if there is no file.
func fileStamp(file string) string {
	info, err := os.Stat(file)
	if err != nil {
		return "none"
	}
	return fmt.Sprint(info.Size(), info.ModTime().UnixNano())
}
