package simtest

import (
	"fmt"
	"strings"
	"time"
)

// fleetCommands put machines up and take them down in order.
var fleetCommands = map[string]command{
	"fleet":          {startFleet, "controllers routers zones losses down"},
	"long_work":      {allowLongWork, ""},
	"start":          {startProcesses, ""},
	"add":            {addMachine, "zone disk"},
	"seeds":          {setSeeds, ""},
	"shutdown":       {shutdown, ""},
	"reload":         {reload, ""},
	"wait":           {wait, ""},
	"connected_only": {judgeConnectedOnly, ""},
	"accept_price":   {acceptPrices, ""},
}

// startFleet is the command "fleet controllers=3 routers=2 zones=a,b,c losses=1 down=controller-4": controllers lie in the zones by turns, the first three are the seeds; the losses are those to be borne; some don't come up
func startFleet(s *Script, a args) error {
	sim := s.sim
	if a.options["zones"] != "" {
		sim.zones = a.list("zones")
	}
	sim.losses = a.number("losses", 1)
	sim.coreSize = a.number("controllers", 3)
	var controllers, routers []string
	for i := range sim.coreSize {
		name := controllerName(i + 1)
		sim.Add(name, fmt.Sprintf("10.%d.0.1", i+1), sim.zones[i%len(sim.zones)])
		controllers = append(controllers, name)
	}
	for i := range a.number("routers", 2) {
		name := routerName(i + 1)
		sim.Add(name, fmt.Sprintf("10.%d.1.%d", i%len(sim.zones)+1, i+1), sim.zones[i%len(sim.zones)])
		routers = append(routers, name)
	}
	sim.Seeds(controllers[:min(3, len(controllers))]...)
	for _, name := range append(controllers, routers...) {
		if strings.Contains(","+a.options["down"]+",", ","+name+",") {
			continue
		}
		if err := sim.Start(name); err != nil {
			return err
		}
	}
	return nil
}

// allowLongWork is the command "long_work": long work between nodes is on: handed to any neighbour that has room
func allowLongWork(s *Script, _ args) error {
	s.sim.extraSettings = "long_work: {enabled: true, patient: 4, heavy: 1, always: true, other_zones: true}\n"
	return nil
}

// startProcesses is the command "start router-1 controller-2".
func startProcesses(s *Script, a args) error {
	for _, name := range a.arguments {
		if err := s.sim.Start(name); err != nil {
			return err
		}
	}
	return nil
}

// addMachine is the command "add controller-4 zone=a disk=no": a new machine at a new address, told of the living seeds
func addMachine(s *Script, a args) error {
	p := s.sim.Add(a.argument(0), fmt.Sprintf("10.5.0.%d", len(s.sim.processes)+1), a.options["zone"])
	p.firstStart, p.relay = false, a.options["disk"] == "no"
	return nil
}

// setSeeds is the command "seeds controller-1 controller-4 controller-5": what processes are told of from now on
func setSeeds(s *Script, a args) error {
	s.sim.Seeds(a.arguments...)
	return nil
}

// shutdown is the command "shutdown router-1": SIGTERM, until it has ended
func shutdown(s *Script, a args) error {
	s.sim.Shutdown(a.argument(0))
	return nil
}

// reload is the command "reload router-1 router-2": SIGHUP, with the seeds of the moment
func reload(s *Script, a args) error {
	for _, name := range a.arguments {
		if err := s.sim.Reload(name); err != nil {
			return err
		}
	}
	return nil
}

// wait is the command "wait 2s".
func wait(_ *Script, a args) error {
	d, err := time.ParseDuration(a.argument(0))
	if err != nil {
		return err
	}
	time.Sleep(d)
	return nil
}

// judgeConnectedOnly is the command "connected_only": rules with a time bound apply only to connected machines
func judgeConnectedOnly(s *Script, _ args) error {
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	s.sim.connectedOnly = true
	return nil
}

// acceptPrices is the command "accept_price PRICE-FREE-REFUSAL": the scenario knowingly pays these prices; rules can't be paid for
func acceptPrices(s *Script, a args) error {
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	for _, name := range a.arguments {
		if !strings.HasPrefix(name, "PRICE-") {
			return fmt.Errorf("%s is no price", name)
		}
		s.sim.acceptedPrices[Rule(name)] = true
	}
	return nil
}
