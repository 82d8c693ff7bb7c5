package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"syscall"
	"time"

	"shaletrestle/internal/settings"
)

const (
	// settingsTimeout is how long a program that starts waits for settings that are valid: the file may be missing or half
	// written at that moment.
	settingsTimeout = 5 * time.Second
	// settingsRetryInterval is the time between two tries to read them.
	settingsRetryInterval = 50 * time.Millisecond
)

// startup is what a program knows before it is built.
type startup struct {
	options  *options
	settings *settings.Settings
	stamp    string           // of the settings file as it was read; empty: it is to be read again
	signals  <-chan os.Signal // since the start of the process
}

// awaitSettings reads the settings, as soon as they are valid; those that are only to be checked are read once. A signal to end
// ends the wait and is returned.
func (s *startup) awaitSettings(program string, stderr io.Writer) (ended os.Signal, err error) {
	deadline := time.Now().Add(settingsTimeout)
	for waiting := false; ; waiting = true {
		s.stamp = fileStamp(s.options.file) // before reading: a change in between is seen at the first look
		s.settings, err = s.options.load()
		if err == nil || s.options.checkOnly || !time.Now().Before(deadline) {
			return nil, err
		}
		if !waiting {
			_, _ = fmt.Fprintf(stderr, "%s: waiting for valid settings: %v\n", program, err)
		}
		select {
		case received := <-s.signals:
			if received != syscall.SIGHUP {
				return received, nil
			}
		case <-time.After(settingsRetryInterval):
		}
	}
}

// buildResult is what Program.Build gave.
type buildResult struct {
	daemon Daemon
	err    error
}

// beginBuild builds the daemon in a goroutine of its own: that may take as long as what it needs is missing.
func beginBuild(ctx context.Context, log *slog.Logger, program Program, env *settings.Settings) <-chan buildResult {
	built := make(chan buildResult, 1)
	go func() {
		daemon, err := program.Build(ctx, log, env)
		built <- buildResult{daemon, err}
	}()
	return built
}

// awaitBuilt waits until the daemon is built, or until a signal ends it before, which is returned: there is nothing to
// hand over yet. Settings that were changed meanwhile are to be read again.
func (s *startup) awaitBuilt(built <-chan buildResult) (result buildResult, ended os.Signal) {
	for {
		select {
		case received := <-s.signals:
			if received != syscall.SIGHUP {
				return buildResult{}, received
			}
			s.stamp = ""
		case result := <-built:
			return result, nil
		}
	}
}
