package simtest

import (
	"fmt"
	"strings"
	"time"
)

// fleetCommands put machines up and take them down in order.
var fleetCommands = map[string]command{
	"fleet":         putFleetUp,
	"long":          allowLongWork,
	"start":         startProcesses,
	"add":           addMachine,
	"seeds":         setSeeds,
	"leave":         leaveInOrder,
	"reload":        reload,
	"wait":          wait,
	"in_touch_only": judgeInTouchOnly,
	"pays":          declarePrices,
}

// fleet houses=3 gates=2 zones=a,b,c losses=1 down=h4: controllers lie in the zones by turns, the first three are the seeds; the losses are those to be borne; some don't come up
func putFleetUp(s *Script, a args) error {
	w := s.w
	if a.kv["zones"] != "" {
		w.zones = a.list("zones")
	}
	w.losses = a.num("losses", 1)
	w.coreSize = a.num("houses", 3)
	var controllers, routers []string
	for i := range w.coreSize {
		name := fmt.Sprintf("h%d", i+1)
		w.Add(name, fmt.Sprintf("10.%d.0.1", i+1), w.zones[i%len(w.zones)])
		controllers = append(controllers, name)
	}
	for i := range a.num("gates", 2) {
		name := fmt.Sprintf("g%d", i+1)
		w.Add(name, fmt.Sprintf("10.%d.1.%d", i%len(w.zones)+1, i+1), w.zones[i%len(w.zones)])
		routers = append(routers, name)
	}
	w.Seeds(controllers[:min(3, len(controllers))]...)
	for _, name := range append(controllers, routers...) {
		if strings.Contains(","+a.kv["down"]+",", ","+name+",") {
			continue
		}
		if err := w.Start(name); err != nil {
			return err
		}
	}
	return nil
}

// long: long work between nodes is on: handed to any neighbour that has room
func allowLongWork(s *Script, _ args) error {
	s.w.more = "long_work: {enabled: true, patient: 4, heavy: 1, always: true, other_zones: true}\n"
	return nil
}

// start g1 h2
func startProcesses(s *Script, a args) error {
	for _, name := range a.pos {
		if err := s.w.Start(name); err != nil {
			return err
		}
	}
	return nil
}

// add h4 zone=a disk=no: a new machine at a new address, told of the living seeds
func addMachine(s *Script, a args) error {
	p := s.w.Add(a.at(0), fmt.Sprintf("10.5.0.%d", len(s.w.procs)+1), a.kv["zone"])
	p.first, p.relay = false, a.kv["disk"] == "no"
	return nil
}

// seeds h1 h4 h5: what processes are told of from now on
func setSeeds(s *Script, a args) error {
	s.w.Seeds(a.pos...)
	return nil
}

// leave g1: SIGTERM, until it has ended
func leaveInOrder(s *Script, a args) error {
	s.w.Leave(a.at(0))
	return nil
}

// reload g1 g2: SIGHUP, with the seeds of the moment
func reload(s *Script, a args) error {
	for _, name := range a.pos {
		if err := s.w.Reload(name); err != nil {
			return err
		}
	}
	return nil
}

// wait 2s
func wait(_ *Script, a args) error {
	d, err := time.ParseDuration(a.at(0))
	if err != nil {
		return err
	}
	time.Sleep(d)
	return nil
}

// in_touch_only: rules with a time bound don't hold machines that are out of touch
func judgeInTouchOnly(s *Script, _ args) error {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	s.w.inTouchOnly = true
	return nil
}

// pays PRICE-FREE-REFUSAL: the scenario knowingly pays these prices; rules can't be paid for
func declarePrices(s *Script, a args) error {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	for _, name := range a.pos {
		if !strings.HasPrefix(name, "PRICE-") {
			return fmt.Errorf("%s is no price", name)
		}
		s.w.paid[Rule(name)] = true
	}
	return nil
}
