// Command router serves clients: it routes their requests to model replicas.
package main

import (
	"context"
	"log/slog"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/daemon"
	"shaletrestle/internal/router"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/upstream"
)

func main() {
	daemon.Main(daemon.Program{
		Name:        "router",
		Description: "Carries clients' requests to model replicas.",
		Roles:       settings.Roles{Frontend: true},
		Build: func(ctx context.Context, log *slog.Logger, env *settings.Settings) (daemon.Daemon, error) {
			return router.New(ctx, log, router.Options{Settings: env, Net: rpc.TCP{}, Dialer: upstream.TCP{}}), nil
		},
	})
}
