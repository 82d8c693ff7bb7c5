package emulator

import (
	"strings"

	"shaletrestle/coord/replication/store"
	"shaletrestle/internal/controller"
	"shaletrestle/internal/router"
	"shaletrestle/internal/settings"
	"shaletrestle/internal/task"
)

// The roles of daemons; a daemon's name begins with its role.
const (
	roleController = "controller"
	roleRouter     = "router"
)

// daemon is one process of the fleet, run in this one from a settings file of its
// own.
type daemon struct {
	name    string
	file    string // of the settings
	zone    string
	ip      string
	network *network
	scope   *task.Scope // nil: it does not run
	program settings.Daemon
	done    chan error
}

// start reads the settings file and runs the daemon that its name tells, with the
// real packages, in this process.
func (d *daemon) start(scope *task.Scope, network *network) error {
	isController := strings.HasPrefix(d.name, roleController)
	env, err := settings.LoadFile(d.file, settings.Need{Front: !isController, Control: isController})
	if err != nil {
		return err
	}
	d.network = network
	d.scope = scope.Part(d.name)
	if isController {
		d.program, err = d.newController(env)
		if err != nil {
			return err
		}
	} else {
		d.program = router.New(d.scope, router.Plan{Env: env, Net: network, Dialer: network})
	}
	d.done = make(chan error, 1)
	go func() { d.done <- d.program.Run() }()
	return nil
}

func (d *daemon) newController(env *settings.Settings) (settings.Daemon, error) {
	disk, err := store.Open(store.OSFiles{}, env.DataDir, env.Bootstrap, env.SeedMembers()...)
	if err != nil {
		return nil, err
	}
	program, err := controller.New(d.scope, controller.Plan{Env: env, Net: d.network, Store: disk})
	if err != nil {
		return nil, err
	}
	return program, nil
}

// stop ends a daemon without notice to the others and waits for its end.
func (d *daemon) stop() {
	if d.scope == nil {
		return
	}
	d.scope.Stop()
	<-d.done
	d.scope = nil
}
