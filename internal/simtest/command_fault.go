package simtest

import (
	"strings"
	"time"
)

// faultCommands cause faults of machines and links.
var faultCommands = map[string]command{
	"partition":         {partitionLinks, "oneway"},
	"heal":              {healLinks, ""},
	"kill":              {killProcesses, ""},
	"power_off":         {powerOff, ""},
	"wipe":              {wipeProcesses, ""},
	"freeze":            {freeze, ""},
	"thaw":              {thaw, ""},
	"reset_connections": {resetConnections, ""},
	"slow":              {slowMachines, "factor"},
	"disk":              {setDisk, ""},
	"zone_power_off":    {loseZone, ""},
	"lose_answers":      {loseAnswers, "percent"},
}

// slowUsual is how many times slower a slowed machine runs.
const slowUsual = 5

// partitionLinks is the command "partition controller-1 controller-2,controller-3 oneway=true".
func partitionLinks(s *Script, a args) error {
	from := s.sim.process(a.word(0))
	for _, name := range strings.Split(a.word(1), ",") {
		to := s.sim.process(name)
		s.sim.Network.Partition(from.ip, to.ip)
		if a.options["oneway"] == "" {
			s.sim.Network.Partition(to.ip, from.ip)
		}
		s.sim.setLasting(faultPartition, name, true)
	}
	s.sim.setLasting(faultPartition, a.word(0), true)
	return nil
}

// healLinks is the command "heal": all cuts end
func healLinks(s *Script, _ args) error {
	s.sim.Network.Heal()
	s.sim.endLasting(faultPartition)
	return nil
}

// killProcesses is the command "kill controller-1 controller-2".
func killProcesses(s *Script, a args) error {
	for _, name := range a.words {
		s.sim.Kill(name, false)
	}
	return nil
}

// powerOff is the command "power_off controller-1 controller-2": their machines lose power
func powerOff(s *Script, a args) error {
	for _, name := range a.words {
		s.sim.Kill(name, true)
	}
	return nil
}

// wipeProcesses is the command "wipe controller-1": killed, and its disk is empty
func wipeProcesses(s *Script, a args) error {
	for _, name := range a.words {
		s.sim.Kill(name, false)
		s.sim.Wipe(name)
	}
	return nil
}

// freeze is the command "freeze router-1 controller-2": nothing of them goes on but their timers: what they send, read, write to disk or accept waits for the thaw
func freeze(s *Script, a args) error {
	for _, name := range a.words {
		s.sim.Freeze(name, true)
	}
	return nil
}

// thaw is the command "thaw router-1 controller-2".
func thaw(s *Script, a args) error {
	for _, name := range a.words {
		s.sim.Freeze(name, false)
	}
	return nil
}

// resetConnections is the command "reset_connections router-1 controller-2": all connections of their machines are reset, those they made and those they took
func resetConnections(s *Script, a args) error {
	for _, name := range a.words {
		s.sim.Network.ResetAll(s.sim.process(name).ip)
		s.sim.addFault(name)
	}
	return nil
}

// slowMachines is the command "slow router-1 factor=5": its machine runs so many times slower; x=1 ends it
func slowMachines(s *Script, a args) error {
	factor := a.number("factor", slowUsual)
	for _, name := range a.words {
		s.sim.process(name).slowdown.Store(int64(factor))
		s.sim.setLasting(faultSlowMachine, name, factor > 1)
	}
	return nil
}

// setDisk is the command "disk controller-1 ok|full|stall|slow".
func setDisk(s *Script, a args) error {
	s.sim.process(a.word(0)).disk.Fault(a.word(1))
	s.sim.setLasting(faultDisk, a.word(0), a.word(1) != "ok")
	return nil
}

// loseZone is the command "zone_power_off a": all machines and replicas of a zone lose power
func loseZone(s *Script, a args) error {
	for _, name := range s.sim.running() {
		if s.sim.process(name).zone == a.word(0) {
			s.sim.Kill(name, true)
		}
	}
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	for _, r := range s.sim.replicas {
		if r.zone == a.word(0) {
			s.sim.Network.Kill(r.ip, true)
			r.state, r.since = "gone", time.Now()
		}
	}
	return nil
}

// loseAnswers is the command "lose_answers percent=50": so many in a hundred of the answers to the operator get lost on their way; 0 ends that
func loseAnswers(s *Script, a args) error {
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	s.sim.operator.lost = a.number("percent", 0)
	return nil
}
