package emulator

import (
	"context"
	"log/slog"
	"strings"

	"shaletrestle/coord/replication/store"
	"shaletrestle/internal/controller"
	"shaletrestle/internal/router"
	"shaletrestle/internal/settings"
)

// The roles of daemons; a daemon's name begins with its role.
const (
	roleController = "controller"
	roleRouter     = "router"
)

// program is what a process of the fleet runs.
type program interface {
	Run() error // until its context ends
}

// daemon is one process of the fleet, run in this one from a settings file of its
// own.
type daemon struct {
	name    string
	file    string // of the settings
	zone    string
	ip      string
	network *network
	ctx     context.Context // nil: it does not run
	cancel  context.CancelFunc
	log     *slog.Logger
	program program
	done    chan error
}

// start reads the settings file and runs the daemon that its name says, with the
// real packages, in this process.
func (d *daemon) start(ctx context.Context, log *slog.Logger, network *network) error {
	isController := strings.HasPrefix(d.name, roleController)
	env, err := settings.LoadFile(d.file, settings.Roles{Frontend: !isController, Control: isController})
	if err != nil {
		return err
	}
	d.network = network
	d.ctx, d.cancel = context.WithCancel(ctx)
	d.log = log.With("part", d.name)
	if isController {
		d.program, err = d.newController(env)
		if err != nil {
			return err
		}
	} else {
		d.program = router.New(d.ctx, d.log, router.Options{Settings: env, Net: network, Dialer: network})
	}
	d.done = make(chan error, 1)
	go func() { d.done <- d.program.Run() }()
	return nil
}

func (d *daemon) newController(env *settings.Settings) (program, error) {
	disk, err := store.Open(store.OSFiles{}, env.DataDir, store.Options{Bootstrap: env.Bootstrap, Seeds: env.SeedMembers()})
	if err != nil {
		return nil, err
	}
	options := controller.Options{Settings: env, Net: d.network, Store: disk}
	if env.HasContract(settings.ContractApart) {
		if options.Counters, err = controller.OpenCounters(d.ctx, d.log, env); err != nil {
			return nil, err
		}
	}
	program, err := controller.New(d.ctx, d.log, options)
	if err != nil {
		return nil, err
	}
	return program, nil
}

// stop ends a daemon without notice to the others and waits for its end.
func (d *daemon) stop() {
	if d.ctx == nil {
		return
	}
	d.cancel()
	if err := <-d.done; err != nil {
		d.log.Debug("daemon ended", "error", err)
	}
	d.ctx = nil
}
