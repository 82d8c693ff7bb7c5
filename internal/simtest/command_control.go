package simtest

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// controlCommands are about orders and the machines that take them.
var controlCommands = map[string]command{
	"operators":     {func(s *Script, a args) error { return s.startOperators(a) }, "n for seed from at pause"},
	"flood_reads":   {pressNode, "for from"},
	"operators_end": {func(s *Script, a args) error { return s.endOperators(a) }, "changes evacuations"},
	"changes":       {func(s *Script, a args) error { return s.changeInTurn(numberOf(a.argument(0)), a) }, "from"},
	"repeat_change": {repeatNumbered, "base at within expect"},
	"isolate":       {isolateNode, ""},
}

// pressNode is the command "flood_reads controller-1 for=2s": the operators also read at this node, and send it changes that must be rejected, fifty times a second
func pressNode(s *Script, a args) error {
	ops := s.operators(a)
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		ops.press(a.argument(0), a.duration("for", time.Second))
	}()
	return nil
}

// repeatNumbered is the command "repeat_change patch of base=6 as sent by changes, expect=200".
func repeatNumbered(s *Script, a args) error {
	return s.expectAnswer(order{"PATCH", configPath, a.options["base"], numbered(a.number("base", 0))}, a)
}

// isolateNode is the command "isolate controller-1": nothing goes to it or comes from it, as if it stood still
func isolateNode(s *Script, a args) error {
	s.isolate(a.argument(0))
	s.sim.setLasting(faultPartition, a.argument(0), true)
	return nil
}

func (s *Script) controllers() (names []string) {
	for name, p := range s.sim.processes {
		if isController(name) && !p.relay {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// operators gives the one set of operators of a scenario.
func (s *Script) operators(a args) *operatorSet {
	if s.operatorSet == nil {
		s.operatorSet = newOperatorSet(s.sim, s.controllers(), a.number("from", 5))
	}
	return s.operatorSet
}

// startOperators is the command "operators n=4 for=20s seed=1 from=5 at=controller-1,controller-2 pause=400ms": they change, read and evacuate all the time, from version 5 on
func (s *Script) startOperators(a args) error {
	ops := s.operators(a)
	if at := a.options["at"]; at != "" {
		ops.nodes = strings.Split(at, ",")
	}
	ops.until = time.Now().Add(a.duration("for", 20*time.Second))
	ops.pause = a.duration("pause", 400*time.Millisecond)
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		ops.run(a.number("n", 4), uint64(a.number("seed", 1)))
	}()
	return nil
}

// endOperators changes=20 evacuations=90: their end is judged; at least so many changes were taken, and so many in a hundred of the evacuation orders
func (s *Script) endOperators(a args) error {
	s.background.Wait()
	s.sim.Log.Info("operators ended", "part", "operators", "report", s.operatorSet.report())
	if err := s.operatorSet.judgeEnd(); err != nil {
		return err
	}
	if len(s.operatorSet.accepted) < a.number("changes", 0) {
		return fmt.Errorf("%s", s.operatorSet.report())
	}
	acked := 0
	for _, e := range s.operatorSet.evacuationOutcomes {
		if e.acknowledged {
			acked++
		}
	}
	if acked*100 < len(s.operatorSet.evacuationOutcomes)*a.number("evacuations", 0) {
		return fmt.Errorf("%s", s.operatorSet.report())
	}
	return nil
}

// numbered is the change that leads from one version to the next in the line "changes".
func numbered(base int) string {
	return fmt.Sprintf(`{"revision":%d,"upsert":{"route_table":[{"name":"r-c","hostname":"h.example","path_prefix":"/c/","route_type":"idempotent","timeout_ms":%d,"backend_pool":"svc","max_attempts":2}]}}`, base+1, 1000+base)
}

// changeInTurn 70 from=6: one after the other, each on the one before
func (s *Script) changeInTurn(n int, a args) error {
	from := a.number("from", 5)
	for base := from; base < from+n; base++ {
		if got := s.sim.SendUntilClear(orderTimeout, order{"PATCH", configPath, fmt.Sprint(base), numbered(base)}); got != 200 {
			return fmt.Errorf("the change on %d was answered %d", base, got)
		}
	}
	return nil
}

func (s *Script) isolate(name string) {
	ip := s.sim.process(name).ip
	for _, other := range s.sim.Network.addresses() {
		if other != ip {
			s.sim.Network.Partition(ip, other)
			s.sim.Network.Partition(other, ip)
		}
	}
}
