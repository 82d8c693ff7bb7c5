// Command router carries the traffic.
package main

import (
	"context"
	"log/slog"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/router"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/upstream"
)

func main() {
	settings.Main("router", "Carries clients' requests to model replicas.", settings.Need{Front: true}, func(ctx context.Context, log *slog.Logger, e *settings.Settings) (settings.Daemon, error) {
		return router.New(ctx, log, router.Options{Settings: e, Net: rpc.TCP{}, Dialer: upstream.TCP{}}), nil
	})
}
