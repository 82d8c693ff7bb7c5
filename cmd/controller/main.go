// Command controller is one member of the control plane: it replicates the configuration and the evacuations, answers the
// operator, and pushes updates to the routers.
package main

import (
	"context"
	"log/slog"

	"shaletrestle/coord/replication"
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
	disk, err := controller.OpenDisk(ctx, log, env)
	if err != nil {
		return nil, err
	}
	options := controller.Options{Settings: env, Net: rpc.TCP{}, Store: disk}
	if env.HasContract(settings.ContractApart) {
		if options.Counters, err = controller.OpenCounters(ctx, log, env); err != nil {
			return nil, err
		}
	}
	return controller.New(ctx, log, options)
}
