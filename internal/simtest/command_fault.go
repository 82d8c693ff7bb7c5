package simtest

import (
	"strings"
	"time"
)

// faultCommands cause faults of machines and links.
var faultCommands = map[string]command{
	// partition controller-1 controller-2,controller-3 oneway=true
	"partition": {partitionLinks, "oneway"},
	// move_away controller-1 by=3ms: all links of its machine have so much more delay, each way
	"move_away": {moveAway, "by"},
	// heal: all partitions end
	"heal": {healLinks, ""},
	// kill controller-1 controller-2
	"kill": {onEach((*Simulation).Kill), ""},
	// power_off controller-1 controller-2: their machines lose power
	"power_off": {onEach((*Simulation).PowerOff), ""},
	// wipe controller-1: killed, and its disk is empty
	"wipe": {onEach((*Simulation).Wipe), ""},
	// freeze router-1 controller-2: nothing of them goes on but their timers; what they send, read, write to disk or
	// accept waits for the thaw
	"freeze": {onEach((*Simulation).Freeze), ""},
	// thaw router-1 controller-2
	"thaw": {onEach((*Simulation).Thaw), ""},
	// reset_connections router-1 controller-2: all connections of their machines, those they dialled and those they
	// accepted
	"reset_connections": {onEach((*Simulation).ResetConnections), ""},
	// slow router-1 factor=5: its machine runs so many times slower; factor=1 ends it
	"slow": {slowMachines, "factor"},
	// disk controller-1 ok|full|stall|slow
	"disk": {setDisk, ""},
	// zone_power_off a: all machines and replicas of a zone lose power
	"zone_power_off": {powerOffZone, ""},
	// lose_answers percent=50: so many in a hundred of the answers to the operator get lost on their way; 0 ends that
	"lose_answers": {loseAnswers, "percent"},
}

// onEach is a command that does something to each process that it names.
func onEach(do func(sim *Simulation, process string)) func(*Script, args) error {
	return func(s *Script, a args) error {
		for _, name := range a.arguments {
			do(s.sim, name)
		}
		return nil
	}
}

// slowUsual is how many times slower a slowed machine runs.
const slowUsual = 5

func partitionLinks(s *Script, a args) error {
	from := s.sim.process(a.argument(0))
	for _, name := range strings.Split(a.argument(1), ",") {
		to := s.sim.process(name)
		s.sim.Network.Partition(from.ip, to.ip)
		if a.options["oneway"] == "" {
			s.sim.Network.Partition(to.ip, from.ip)
		}
		s.sim.setLasting(faultPartition, name, true)
	}
	s.sim.setLasting(faultPartition, a.argument(0), true)
	return nil
}

func moveAway(s *Script, a args) error {
	by, err := time.ParseDuration(a.options["by"])
	if err != nil {
		return err
	}
	s.sim.Network.MoveAway(s.sim.process(a.argument(0)).ip, by)
	return nil
}

func healLinks(s *Script, _ args) error {
	s.sim.Network.Heal()
	s.sim.endLasting(faultPartition)
	return nil
}

func slowMachines(s *Script, a args) error {
	factor := a.number("factor", slowUsual)
	for _, name := range a.arguments {
		s.sim.process(name).slowdown.Store(int64(factor))
		s.sim.setLasting(faultSlowMachine, name, factor > 1)
	}
	return nil
}

func setDisk(s *Script, a args) error {
	s.sim.process(a.argument(0)).disk.Fault(a.argument(1))
	s.sim.setLasting(faultDisk, a.argument(0), a.argument(1) != "ok")
	return nil
}

func powerOffZone(s *Script, a args) error {
	for _, name := range s.sim.running() {
		if s.sim.process(name).zone == a.argument(0) {
			s.sim.PowerOff(name)
		}
	}
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	for _, r := range s.sim.replicas {
		if r.zone == a.argument(0) {
			s.sim.Network.PowerOff(r.ip)
			r.state, r.since = "gone", time.Now()
		}
	}
	return nil
}

func loseAnswers(s *Script, a args) error {
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	s.sim.operator.lost = a.number("percent", 0)
	return nil
}
