// Command controller is one member of the control plane: it replicates the configuration and the evacuations, answers the
// operator, and pushes updates to the routers.
package main

import (
	"context"
	"log/slog"

	"shaletrestle/coord/replication"
	"shaletrestle/coord/replication/store"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/controller"
	"shaletrestle/internal/daemon"
	"shaletrestle/internal/settings"
)

func main() {
	daemon.Main(daemon.Program{
		Name:        "controller",
		Description: "Keeps configuration and evacuations, reads the platform's list and pushes updates to the routers.",
		Roles:       settings.Roles{Control: true},
		Build:       build,
	})
}

// build makes a controller with the disk that the settings give it, or with none.
func build(ctx context.Context, log *slog.Logger, env *settings.Settings) (daemon.Daemon, error) {
	if !env.HasDisk() {
		return controller.New(ctx, log, controller.Options{Settings: env, Net: rpc.TCP{}, Store: replication.NewNoDisk()})
	}
	disk, err := store.Open(store.OSFiles{}, env.DataDir, store.Options{Bootstrap: env.Bootstrap, Seeds: env.SeedMembers()})
	if err != nil {
		return nil, err
	}
	diskLog := log.With("part", "replication")
	if damage := disk.Damage(); damage != "" {
		diskLog.Error("disk damaged, joining anew with an empty one", "reason", damage)
	}
	if cut := disk.TruncatedBytes(); cut > 0 {
		diskLog.Warn("torn tail of the log truncated", "bytes", cut)
	}
	logDisk(diskLog, disk)
	return controller.New(ctx, log, controller.Options{Settings: env, Net: rpc.TCP{}, Store: disk})
}

// logDisk says what was read from the disk.
func logDisk(log *slog.Logger, disk *store.Store) {
	id, bootstrap := disk.Identity()
	loaded := disk.Load()
	log.Info("disk read", "disk_id", id, "made_at_bootstrap", bootstrap, "has_state", loaded.Snapshot != nil, "entries", len(loaded.Entries))
}
