package controller

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	counterstore "shaletrestle/coord/counter/store"
	"shaletrestle/coord/replication/store"
	"shaletrestle/coord/wait"
	"shaletrestle/internal/settings"
)

const (
	// directoryRetryInterval is the time between two tries to use the data directory.
	directoryRetryInterval = 100 * time.Millisecond
	// directoryWarnInterval is the time between two log lines about that.
	directoryWarnInterval = 10 * time.Second
)

// OpenDisk opens the store in the data directory of the settings, as soon as no other process uses the directory and the disk
// takes what must be written. The errors are those that don't pass by themselves, and that of the context if it ends first.
func OpenDisk(ctx context.Context, log *slog.Logger, env *settings.Settings) (*store.Store, error) {
	log = log.With("part", "replication")
	if err := retryDirectory(ctx, log, func() error { return lockDirectory(log, env.DataDir) }); err != nil {
		return nil, err
	}
	var disk *store.Store
	err := retryDirectory(ctx, log, func() error {
		var err error
		disk, err = store.Open(store.OSFiles{}, env.DataDir, store.Options{Bootstrap: env.Bootstrap, Seeds: env.SeedMembers()})
		return err
	})
	if err != nil {
		return nil, err
	}
	logDisk(log, disk)
	return disk, nil
}

// OpenCounters opens the store of tallies in the data directory of the settings, which [OpenDisk] has opened. The errors are
// those of OpenDisk.
func OpenCounters(ctx context.Context, log *slog.Logger, env *settings.Settings) (*counterstore.Store, error) {
	log = log.With("part", "tallies")
	var opened *counterstore.Store
	err := retryDirectory(ctx, log, func() error {
		var err error
		opened, err = counterstore.Open(store.OSFiles{}, env.DataDir)
		return err
	})
	if err != nil {
		return nil, err
	}
	if opened.Damaged() {
		log.Error("stored tallies damaged, merging what others hold")
	}
	loaded := opened.Load()
	log.Info("tallies read", "runs", len(loaded.Runs), "complete", loaded.Complete)
	return opened, nil
}

// lockDirectory locks the data directory. A system that has no locks is not waited for.
func lockDirectory(log *slog.Logger, dir string) error {
	err := store.LockDirectory(dir)
	if errors.Is(err, errors.ErrUnsupported) {
		log.Warn("data directory not locked", "error", err.Error())
		return nil
	}
	return err
}

// retryDirectory calls try until it succeeds, fails for good, or the context ends.
func retryDirectory(ctx context.Context, log *slog.Logger, try func() error) error {
	var warnedAt time.Time
	for {
		err := try()
		if err == nil || errors.Is(err, store.ErrOldFormat) {
			return err
		}
		if time.Since(warnedAt) >= directoryWarnInterval {
			warnedAt = time.Now()
			log.Warn("waiting for data directory", "error", err.Error())
		}
		if !wait.Sleep(ctx, directoryRetryInterval) {
			return ctx.Err()
		}
	}
}

// logDisk says what was read from the disk.
func logDisk(log *slog.Logger, disk *store.Store) {
	if damage := disk.Damage(); damage != "" {
		log.Error("disk damaged, joining anew with an empty one", "reason", damage)
	}
	if cut := disk.TruncatedBytes(); cut > 0 {
		log.Warn("torn tail of the log truncated", "bytes", cut)
	}
	id, bootstrap := disk.Identity()
	loaded := disk.Load()
	log.Info("disk read", "disk_id", id, "made_at_bootstrap", bootstrap, "has_state", loaded.Snapshot != nil, "entries", len(loaded.Entries))
}
