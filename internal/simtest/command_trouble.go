package simtest

import (
	"strings"
	"time"
)

// troubleCommands bring trouble over machines and links.
var troubleCommands = map[string]command{
	"cut":         cutLinks,
	"heal":        healLinks,
	"kill":        killProcesses,
	"power":       powerOff,
	"wipe":        wipeProcesses,
	"freeze":      freeze,
	"thaw":        thaw,
	"reset_conns": resetConnections,
	"slow":        slowMachines,
	"disk":        setDisk,
	"zone_down":   loseZone,
	"answers":     loseAnswers,
}

// slowUsual is how many times slower a slowed machine runs.
const slowUsual = 5

// cut h1 h2,h3 oneway=true
func cutLinks(s *Script, a args) error {
	from := s.w.process(a.at(0))
	for _, name := range strings.Split(a.at(1), ",") {
		to := s.w.process(name)
		s.w.Net.Cut(from.ip, to.ip)
		if a.kv["oneway"] == "" {
			s.w.Net.Cut(to.ip, from.ip)
		}
		s.w.setOngoing(linkCut, name, true)
	}
	s.w.setOngoing(linkCut, a.at(0), true)
	return nil
}

// heal: all cuts end
func healLinks(s *Script, _ args) error {
	s.w.Net.Heal()
	s.w.endOngoing(linkCut)
	return nil
}

// kill h1 h2
func killProcesses(s *Script, a args) error {
	for _, name := range a.pos {
		s.w.Kill(name, false)
	}
	return nil
}

// power h1 h2: their machines lose power
func powerOff(s *Script, a args) error {
	for _, name := range a.pos {
		s.w.Kill(name, true)
	}
	return nil
}

// wipe h1: killed, and its disk is empty
func wipeProcesses(s *Script, a args) error {
	for _, name := range a.pos {
		s.w.Kill(name, false)
		s.w.Wipe(name)
	}
	return nil
}

// freeze g1 h2: nothing of them goes on but their timers: what they send, read, write to disk or accept waits for the thaw
func freeze(s *Script, a args) error {
	for _, name := range a.pos {
		s.w.Freeze(name, true)
	}
	return nil
}

// thaw g1 h2
func thaw(s *Script, a args) error {
	for _, name := range a.pos {
		s.w.Freeze(name, false)
	}
	return nil
}

// reset_conns g1 h2: all connections of their machines are reset, those they made and those they took
func resetConnections(s *Script, a args) error {
	for _, name := range a.pos {
		s.w.Net.ResetAll(s.w.process(name).ip)
		s.w.troubled(name)
	}
	return nil
}

// slow g1 x=5: its machine runs so many times slower; x=1 ends it
func slowMachines(s *Script, a args) error {
	factor := a.num("x", slowUsual)
	for _, name := range a.pos {
		s.w.process(name).slow.Store(int64(factor))
		s.w.setOngoing(machineSlow, name, factor > 1)
	}
	return nil
}

// disk h1 ok|full|stall|slow
func setDisk(s *Script, a args) error {
	s.w.process(a.at(0)).disk.Fault(a.at(1))
	s.w.setOngoing(diskIll, a.at(0), a.at(1) != "ok")
	return nil
}

// zone_down a: all machines and replicas of a zone lose power
func loseZone(s *Script, a args) error {
	for _, name := range s.w.living() {
		if s.w.process(name).zone == a.at(0) {
			s.w.Kill(name, true)
		}
	}
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	for _, r := range s.w.replicas {
		if r.zone == a.at(0) {
			s.w.Net.Kill(r.ip, true)
			r.state, r.since = "gone", time.Now()
		}
	}
	return nil
}

// answers lost=50: so many in a hundred of the answers to the operator get lost on their way; 0 ends that
func loseAnswers(s *Script, a args) error {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	s.w.operator.lost = a.num("lost", 0)
	return nil
}
