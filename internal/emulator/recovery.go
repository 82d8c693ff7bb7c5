package emulator

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"shaletrestle/coord/wait"
)

// measureTarget measures the fleet of the target size, and how long it takes to come
// back from losses.
func measureTarget(ctx context.Context, log *slog.Logger, start newCell, output Output) ([]Point, error) {
	return measureFleetAndRecovery(ctx, log, targetSize, start, output, measurementWindow)
}

// measureFiveControllers is the same with five controllers for the same zones, as on
// five machines that are set aside for them.
func measureFiveControllers(ctx context.Context, log *slog.Logger, start newCell, output Output) ([]Point, error) {
	size := targetSize
	size.Controllers = 5
	size.Zones = targetSize.Controllers
	return measureFleetAndRecovery(ctx, log, size, start, output, measurementWindow)
}

// measureFleetAndRecovery measures a fleet in use, then its recovery from several losses.
func measureFleetAndRecovery(ctx context.Context, log *slog.Logger, size fleetSize, start newCell, output Output, window time.Duration) ([]Point, error) {
	startedAt := time.Now()
	fleet, err := newHollowFleet(ctx, log, size, start, window)
	if err != nil {
		return nil, err
	}
	defer fleet.close()
	startTime := time.Since(startedAt)
	measured, err := fleet.measure()
	if err != nil {
		return nil, err
	}
	measured.setMillis("start_of_everything_ms", startTime)
	output.printf("aim: %v", measured.text())
	if err := fleet.measureRebuilds(measured, output); err != nil {
		return nil, err
	}
	took, err := fleet.losePrimary()
	if err != nil {
		return nil, err
	}
	measured.setMillis("order_taken_after_primary_lost_ms", took)
	output.printf("aim: a change was accepted %.0f ms after the primary's process was ended", milliseconds(took))
	return []Point{{X: float64(size.Nodes), Size: &size, Values: measured}}, nil
}

// loss is a part of a fleet that is lost at once.
type loss struct {
	name        string
	routers     []*daemon
	controllers []int // by index
}

// measureRebuilds adds how long a node, a zone and a region take to come back.
func (f *hollowFleet) measureRebuilds(measured values, output Output) error {
	zone, err := f.zoneWithoutPrimary()
	if err != nil {
		return err
	}
	region := []int{zone, zone - 1, zone - 2}
	region = slices.DeleteFunc(region, func(z int) bool { return z < 0 }) // of three controllers the last may be primary
	losses := []loss{
		{name: "one_node", routers: f.routers[:1]},
		f.lossOfZones("zone", zone),
		f.lossOfZones("region", region...),
	}
	for _, lost := range losses {
		took, err := f.rebuild(lost)
		if err != nil {
			return err
		}
		measured.setMillis("rebuild_"+lost.name+"_ms", took)
		output.printf("aim: %s (%d nodes, %d controllers) rebuilt in %.0f ms",
			lost.name, len(lost.routers), len(lost.controllers), milliseconds(took))
	}
	return nil
}

// zoneWithoutPrimary is the last zone that has a controller, or the one before it if
// the primary is there: the loss of the primary is measured by itself. It is given
// as the index of the zone's controller.
func (f *hollowFleet) zoneWithoutPrimary() (int, error) {
	roles, err := f.awaitPrimary()
	if err != nil {
		return 0, err
	}
	last := len(f.controllers) - 1
	if roles[rolePrimary] == last {
		return last - 1, nil
	}
	return last, nil
}

// lossOfZones is the loss of everything in the zones of some controllers.
func (f *hollowFleet) lossOfZones(name string, controllers ...int) loss {
	lost := loss{name: name, controllers: controllers}
	for _, i := range controllers {
		for _, router := range f.routers {
			if router.zone == f.controllers[i].zone {
				lost.routers = append(lost.routers, router)
			}
		}
	}
	return lost
}

// rebuild ends nodes and controllers, starts them again and gives the time from their
// start until all nodes are ready. The disks are kept.
func (f *hollowFleet) rebuild(lost loss) (time.Duration, error) {
	if err := f.commandCell(f.nodeCell, commandStop, lost.routers); err != nil {
		return 0, err
	}
	for _, i := range lost.controllers {
		if err := f.commandController(i, commandStop); err != nil {
			return 0, err
		}
	}
	if !wait.Sleep(f.ctx, f.window/2) {
		return 0, errInterrupted
	}
	start := time.Now()
	for _, i := range lost.controllers {
		if err := f.writeSettings(f.controllers[i], false); err != nil {
			return 0, err
		}
		if err := f.commandController(i, commandStart); err != nil {
			return 0, err
		}
	}
	if err := f.commandCell(f.nodeCell, commandStart, lost.routers); err != nil {
		return 0, err
	}
	if err := f.awaitRouters(lost.routers); err != nil {
		return 0, err
	}
	return time.Since(start), nil
}

// losePrimary ends the primary's process and gives the time until a change is accepted
// again.
func (f *hollowFleet) losePrimary() (time.Duration, error) {
	if !wait.Sleep(f.ctx, f.window/2) {
		return 0, errInterrupted
	}
	roles, err := f.awaitPrimary()
	if err != nil {
		return 0, err
	}
	if err := f.commandController(roles[rolePrimary], commandStop); err != nil {
		return 0, err
	}
	start := time.Now()
	_, err = f.changeRoute(0, 30000)
	return time.Since(start), err
}
