// Command gatehouse carries the traffic.
package main

import (
	"shaletrestle/coord/rpc"
	"shaletrestle/gatehouse"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/task"
	"shaletrestle/internal/upstream"
)

func main() {
	settings.Main("gatehouse", "Carries clients' requests to model replicas.", settings.Need{Front: true}, func(sc *task.Scope, e *settings.Env) (settings.Daemon, error) {
		return gatehouse.New(sc, gatehouse.Plan{Env: e, Net: rpc.TCP{}, Dialer: upstream.TCP{}}), nil
	})
}
