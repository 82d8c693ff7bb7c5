// Command controller keeps the control state and tells the routers.
package main

import (
	"shaletrestle/coord/replication"
	"shaletrestle/coord/replication/store"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/controller"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/task"
)

func main() {
	settings.Main("controller", "Keeps configuration and evacuations, reads the platform's list and tells the routers.", settings.Need{Control: true}, func(sc *task.Scope, e *settings.Settings) (settings.Daemon, error) {
		if !e.HasDisk() {
			return controller.New(sc, controller.Plan{Env: e, Net: rpc.TCP{}, Store: replication.NewNoDisk()})
		}
		st, err := store.Open(store.OSFiles{}, e.DataDir, e.Bootstrap, e.SeedMembers()...)
		if err != nil {
			return nil, err
		}
		if n := st.Note(); n != "" {
			sc.Part("replication").Log().Error("the disk was damaged and is joined anew, empty", "why", n)
		}
		if n := st.Cut(); n > 0 {
			sc.Part("replication").Log().Warn("torn tail cut at its last whole record", "bytes", n)
		}
		return controller.New(sc, controller.Plan{Env: e, Net: rpc.TCP{}, Store: st})
	})
}
