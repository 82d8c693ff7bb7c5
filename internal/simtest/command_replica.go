package simtest

import (
	"fmt"
	"strings"
	"time"
)

// replicaCommands put replicas and the platform up and change what they do.
var replicaCommands = map[string]command{
	"replica":  addReplica,
	"state":    setReplicaState,
	"reuse":    reuseAddress,
	"does":     setBehaviour,
	"health":   setHealth,
	"cold":     setCold,
	"flap":     flap,
	"forgets":  forgetIdle,
	"resets":   resetSome,
	"blackout": blackOut,
	"platform": setPlatform,
}

// replica r1 pool=svc zone=a cold=0 slots=8
func addReplica(s *Script, a args) error {
	r := s.w.AddReplica(a.at(0), a.kv["pool"], fmt.Sprintf("10.7.0.%d", len(s.w.replicas)+1), a.kv["zone"])
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cold = float64(a.num("cold", 0))
	r.slots = a.num("slots", usualSlots)
	return nil
}

// state r1 draining|gone|ready
func setReplicaState(s *Script, a args) error {
	s.w.SetState(a.at(0), a.at(1))
	return nil
}

// reuse r1 r9: another replica answers at r1's address
func reuseAddress(s *Script, a args) error {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	s.w.replicas[a.at(0)].ID = a.at(1)
	return nil
}

// does r1,r2 ok|full|cut|... work=20ms only=/n/ part=45 from=g1: a part in a hundred, or one caller's only
func setBehaviour(s *Script, a args) error {
	from := ""
	if p := s.w.process(a.kv["from"]); p != nil {
		from = p.ip
	}
	for _, id := range strings.Split(a.at(0), ",") {
		r := s.w.replicas[id]
		r.mu.Lock()
		r.how = behaviour(a.at(1))
		r.work = a.span("work", r.work)
		r.only = a.kv["only"]
		r.part = a.num("part", 100)
		r.from = from
		r.mu.Unlock()
	}
	return nil
}

// health r1 ill|well: what its health answer says, whatever it does
func setHealth(s *Script, a args) error {
	r := s.w.replicas[a.at(0)]
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ill = a.at(1) == "ill"
	return nil
}

// cold m3 0: what the list says of how long it stays cold
func setCold(s *Script, a args) error {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	s.w.replicas[a.at(0)].cold = float64(mustInt(a.at(1)))
	return nil
}

// flap r1 gap=700ms for=5s: it goes down and up by turns
func flap(s *Script, a args) error {
	r := s.w.replicas[a.at(0)]
	end := time.Now().Add(a.span("for", time.Second))
	half := a.span("gap", time.Second) / 2
	s.bg.Add(1)
	go func() {
		defer s.bg.Done()
		for time.Now().Before(end) {
			r.Down()
			time.Sleep(half)
			r.Up()
			time.Sleep(half)
		}
	}()
	return nil
}

// forgets r1 2s: it forgets connections idle longer, without a word; 0s ends that
func forgetIdle(s *Script, a args) error {
	d, err := time.ParseDuration(a.at(1))
	if err != nil {
		return err
	}
	s.w.Net.Forget(s.w.replicas[a.at(0)].ip, d)
	return nil
}

// resets r1 each=2: every so manieth connection to it is reset
func resetSome(s *Script, a args) error {
	s.w.Net.Reset(s.w.replicas[a.at(0)].ip, a.num("each", 2))
	return nil
}

// blackout r1: its machine goes dark
func blackOut(s *Script, a args) error {
	s.w.Net.Kill(s.w.replicas[a.at(0)].ip, true)
	return nil
}

// platform down|empty|up
func setPlatform(s *Script, a args) error {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	s.w.platform.set(a.at(0))
	return nil
}
