// Command controller keeps the control state and tells the routers.
package main

import (
	"context"
	"log/slog"

	"shaletrestle/coord/replication"
	"shaletrestle/coord/replication/store"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/controller"
	"shaletrestle/internal/settings"
)

func main() {
	settings.Main("controller", "Keeps configuration and evacuations, reads the platform's list and tells the routers.", settings.Need{Control: true}, func(ctx context.Context, log *slog.Logger, e *settings.Settings) (settings.Daemon, error) {
		if !e.HasDisk() {
			return controller.New(ctx, log, controller.Options{Settings: e, Net: rpc.TCP{}, Store: replication.NewNoDisk()})
		}
		st, err := store.Open(store.OSFiles{}, e.DataDir, e.Bootstrap, e.SeedMembers()...)
		if err != nil {
			return nil, err
		}
		if n := st.Damage(); n != "" {
			log.With("part", "replication").Error("the disk was damaged and is joined anew, empty", "why", n)
		}
		if n := st.TruncatedBytes(); n > 0 {
			log.With("part", "replication").Warn("torn tail cut at its last whole record", "bytes", n)
		}
		return controller.New(ctx, log, controller.Options{Settings: e, Net: rpc.TCP{}, Store: st})
	})
}
