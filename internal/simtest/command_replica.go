package simtest

import (
	"fmt"
	"strings"
	"time"
)

// replicaCommands put replicas and the platform up and change what they do.
var replicaCommands = map[string]command{
	"replica":           {addReplica, "pool zone warmup slots"},
	"state":             {setReplicaState, ""},
	"reuse_address":     {reuseAddress, ""},
	"behaviour":         {setBehaviour, "work path percent from"},
	"pace":              {setPace, "events gap"},
	"health":            {setHealth, ""},
	"warmup":            {setWarmup, ""},
	"flap":              {flap, "gap for"},
	"drop_idle":         {dropIdleConnections, ""},
	"reset_some":        {resetSome, "every"},
	"replica_power_off": {powerOffReplica, ""},
	"platform":          {setPlatform, ""},
}

// addReplica is the command "replica r1 pool=svc zone=a warmup=0 slots=8".
func addReplica(s *Script, a args) error {
	r := s.sim.AddReplica(a.argument(0), a.options["pool"], fmt.Sprintf("10.7.0.%d", len(s.sim.replicas)+1), a.options["zone"])
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warmupLeftMs = float64(a.number("warmup", 0))
	r.slots = a.number("slots", usualSlots)
	return nil
}

// setReplicaState is the command "state r1 draining|gone|ready".
func setReplicaState(s *Script, a args) error {
	s.sim.SetState(a.argument(0), a.argument(1))
	return nil
}

// reuseAddress is the command "reuse_address r1 r9": another replica answers at r1's address
func reuseAddress(s *Script, a args) error {
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	s.sim.replicas[a.argument(0)].ID = a.argument(1)
	return nil
}

// setBehaviour is the command "behaviour r1,r2 ok|full|cut|... work=20ms path=/n/ percent=45 from=router-1": a part in a hundred, or one caller's only
func setBehaviour(s *Script, a args) error {
	from := ""
	if p := s.sim.process(a.options["from"]); p != nil {
		from = p.ip
	}
	for _, id := range strings.Split(a.argument(0), ",") {
		r := s.sim.replicas[id]
		r.mu.Lock()
		r.behaviour = behaviour(a.argument(1))
		r.workTime = a.duration("work", r.workTime)
		r.slowPath = a.options["path"]
		r.percent = a.number("percent", 100)
		r.from = from
		r.mu.Unlock()
	}
	return nil
}

// setPace is the command "pace m1 events=60 gap=100ms": how long its streams are, and the time between two events
func setPace(s *Script, a args) error {
	r := s.sim.replicas[a.argument(0)]
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = a.number("events", usualEvents)
	r.eventGap = a.duration("gap", usualWork)
	return nil
}

// setHealth is the command "health r1 unhealthy|well": what its health answer says, whatever it does
func setHealth(s *Script, a args) error {
	r := s.sim.replicas[a.argument(0)]
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unhealthy = a.argument(1) == "unhealthy"
	return nil
}

// setWarmup is the command "warmup m3 0": what the list says of how long it stays cold
func setWarmup(s *Script, a args) error {
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	s.sim.replicas[a.argument(0)].warmupLeftMs = float64(numberOf(a.argument(1)))
	return nil
}

// flap is the command "flap r1 gap=700ms for=5s": it goes down and up by turns
func flap(s *Script, a args) error {
	r := s.sim.replicas[a.argument(0)]
	end := time.Now().Add(a.duration("for", time.Second))
	half := a.duration("gap", time.Second) / 2
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		for time.Now().Before(end) {
			r.Down()
			time.Sleep(half)
			r.Up()
			time.Sleep(half)
		}
	}()
	return nil
}

// dropIdleConnections is the command "drop_idle r1 2s": it forgets connections idle longer, silently; 0s ends that
func dropIdleConnections(s *Script, a args) error {
	d, err := time.ParseDuration(a.argument(1))
	if err != nil {
		return err
	}
	s.sim.Network.DropIdle(s.sim.replicas[a.argument(0)].ip, d)
	return nil
}

// resetSome is the command "reset_some r1 every=2": every so manieth connection to it is reset
func resetSome(s *Script, a args) error {
	s.sim.Network.ResetSome(s.sim.replicas[a.argument(0)].ip, a.number("every", 2))
	return nil
}

// powerOffReplica is the command "replica_power_off r1": its machine goes dark
func powerOffReplica(s *Script, a args) error {
	s.sim.Network.PowerOff(s.sim.replicas[a.argument(0)].ip)
	return nil
}

// setPlatform is the command "platform down|empty|up".
func setPlatform(s *Script, a args) error {
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	s.sim.platform.set(a.argument(0))
	return nil
}
