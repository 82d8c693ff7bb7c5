// Command router carries the traffic.
package main

import (
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/router"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/task"
	"shaletrestle/internal/upstream"
)

func main() {
	settings.Main("router", "Carries clients' requests to model replicas.", settings.Need{Front: true}, func(sc *task.Scope, e *settings.Settings) (settings.Daemon, error) {
		return router.New(sc, router.Plan{Env: e, Net: rpc.TCP{}, Dialer: upstream.TCP{}}), nil
	})
}
