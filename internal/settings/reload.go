package settings

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// reloader reacts to signals and to changes of the settings file.
type reloader struct {
	ctx     context.Context
	cancel  context.CancelFunc // ends the daemon
	log     *slog.Logger
	daemon  Daemon
	options *options
	loaded  string // the stamp of the file that was read last
}

func newReloader(ctx context.Context, cancel context.CancelFunc, log *slog.Logger, daemon Daemon, options *options) *reloader {
	return &reloader{
		ctx:     ctx,
		cancel:  cancel,
		log:     log.With("part", "settings"),
		daemon:  daemon,
		options: options,
	}
}

// run reacts until the program is told to end.
func (r *reloader) run() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	r.loaded = fileStamp(r.options.file)
	for {
		select {
		case received := <-signals:
			if received == syscall.SIGHUP {
				r.reload()
				continue
			}
			r.log.Info("leaving")
			r.daemon.Shutdown()
			r.cancel()
			return
		case <-time.After(fileCheckInterval):
			if fileStamp(r.options.file) != r.loaded {
				r.reload()
			}
		case <-r.ctx.Done():
			return
		}
	}
}

// reload gives the daemon the file's settings; bad ones are not applied.
func (r *reloader) reload() {
	r.loaded = fileStamp(r.options.file)
	env, err := r.options.load()
	if err != nil {
		r.log.Error("settings kept as they were", "err", err.Error())
		return
	}
	r.log.Info("settings read again")
	r.daemon.Reload(env)
}

// fileStamp is a text that changes when the file does.
func fileStamp(file string) string {
	info, err := os.Stat(file)
	if err != nil {
		return "none"
	}
	return fmt.Sprint(info.Size(), info.ModTime().UnixNano())
}
