package simtest

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// controlCommands are about orders and the machines that take them.
var controlCommands = map[string]command{
	"operators": func(s *Script, a args) error { return s.startOperators(a) },
	"press":     press,
	"settled":   func(s *Script, a args) error { return s.settled(a) },
	"changes":   func(s *Script, a args) error { return s.changes(mustInt(a.at(0)), a) },
	"repeat":    repeatNumbered,
	"alone":     standAlone,
}

// press h1 for=2s: the operators also read at this node, and send it changes that must be refused, fifty times a second
func press(s *Script, a args) error {
	ops := s.operators(a)
	s.bg.Add(1)
	go func() {
		defer s.bg.Done()
		ops.press(a.at(0), a.span("for", time.Second))
	}()
	return nil
}

// repeat patch of base=6 as sent by changes, expect=200
func repeatNumbered(s *Script, a args) error {
	return s.order(order{"PATCH", "/v1/config", a.kv["base"], numbered(a.num("base", 0))}, a)
}

// alone h1: nothing goes to it or comes from it, as if it stood still
func standAlone(s *Script, a args) error {
	s.isolate(a.at(0))
	s.w.setOngoing(linkCut, a.at(0), true)
	return nil
}

func (s *Script) controllers() (names []string) {
	for name, p := range s.w.procs {
		if strings.HasPrefix(name, "h") && !p.relay {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// operators gives the one set of operators of a scenario.
func (s *Script) operators(a args) *operators {
	if s.ops == nil {
		s.ops = newOperators(s.w, s.controllers(), a.num("from", 5))
	}
	return s.ops
}

// operators n=4 for=20s seed=1 from=5 at=h1,h2 pause=400ms: they change, read and evacuate all the time, from version 5 on
func (s *Script) startOperators(a args) error {
	ops := s.operators(a)
	if at := a.kv["at"]; at != "" {
		ops.nodes = strings.Split(at, ",")
	}
	ops.until = time.Now().Add(a.span("for", 20*time.Second))
	ops.pause = a.span("pause", 400*time.Millisecond)
	s.bg.Add(1)
	go func() {
		defer s.bg.Done()
		ops.run(a.num("n", 4), uint64(a.num("seed", 1)))
	}()
	return nil
}

// settled changes=20 evacuations=90: their end is judged; at least so many changes were taken, and so many in a hundred of the evacuation orders
func (s *Script) settled(a args) error {
	s.bg.Wait()
	s.w.Log.Info(s.ops.report(), "part", "operators")
	if err := s.ops.settle(); err != nil {
		return err
	}
	if len(s.ops.taken) < a.num("changes", 0) {
		return fmt.Errorf("%s", s.ops.report())
	}
	acked := 0
	for _, e := range s.ops.evacs {
		if e.acked {
			acked++
		}
	}
	if acked*100 < len(s.ops.evacs)*a.num("evacuations", 0) {
		return fmt.Errorf("%s", s.ops.report())
	}
	return nil
}

// numbered is the change that leads from one version to the next in the line "changes".
func numbered(base int) string {
	return fmt.Sprintf(`{"revision":%d,"upsert":{"route_table":[{"name":"r-c","hostname":"h.example","path_prefix":"/c/","route_type":"idempotent","timeout_ms":%d,"backend_pool":"svc","max_attempts":2}]}}`, base+1, 1000+base)
}

// changes 70 from=6: one after the other, each on the one before
func (s *Script) changes(n int, a args) error {
	from := a.num("from", 5)
	for base := from; base < from+n; base++ {
		if got := s.w.Insist(4*time.Second, "PATCH", "/v1/config", fmt.Sprint(base), numbered(base)); got != 200 {
			return fmt.Errorf("the change on %d was answered %d", base, got)
		}
	}
	return nil
}

func (s *Script) isolate(name string) {
	ip := s.w.process(name).ip
	for _, other := range s.w.Net.addresses() {
		if other != ip {
			s.w.Net.Cut(ip, other)
			s.w.Net.Cut(other, ip)
		}
	}
}
