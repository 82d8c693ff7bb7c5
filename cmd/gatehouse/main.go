// Command gatehouse carries the traffic.
package main

import (
	"shaletrestle/coord/rpc"
	"shaletrestle/env"
	"shaletrestle/gatehouse"
	"shaletrestle/internal/task"
	"shaletrestle/internal/upstream"
)

func main() {
	env.Main("gatehouse", "Carries clients' requests to model replicas.", env.Need{Front: true}, func(sc *task.Scope, e *env.Env) (env.Daemon, error) {
		return gatehouse.New(sc, gatehouse.Plan{Env: e, Net: rpc.TCP{}, Dialer: upstream.TCP{}}), nil
	})
}
