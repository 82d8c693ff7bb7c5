package sim

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// controlLine runs the lines that are about orders and the machines that take them; ok is false for others.
func (s *Script) controlLine(cmd string, a args) (ok bool, err error) {
	arg := func(i int) string {
		if i < len(a.pos) {
			return a.pos[i]
		}
		return ""
	}
	switch cmd {
	case "operators": // operators n=4 for=20s seed=1 from=5 at=h1,h2 pause=400ms: they change, read and evacuate all the time, from version 5 on
		return true, s.startOperators(a)
	case "press": // press h1 for=2s: the operators also read at this node, and send it changes that must be refused, fifty times a second
		ops := s.operators(a)
		s.bg.Add(1)
		go func() {
			defer s.bg.Done()
			ops.press(arg(0), a.span("for", time.Second))
		}()
		return true, nil
	case "settled": // settled changes=20 evacuations=90: their end is judged; at least so many changes were taken, and so many in a hundred of the evacuation orders
		return true, s.settled(a)
	case "changes": // changes 70 from=6: one after the other, each on the one before
		return true, s.changes(mustInt(arg(0)), a)
	case "repeat": // repeat patch of base=6 as sent by changes, expect=200
		return true, s.order("PATCH", "/v1/config", a.kv["base"], numbered(a.num("base", 0)), a)
	case "alone": // alone h1: nothing goes to it or comes from it, as if it stood still
		s.isolate(arg(0))
		return true, nil
	}
	return false, nil
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
	ip := s.w.procs[name].ip
	for _, other := range s.w.Net.addresses() {
		if other != ip {
			s.w.Net.Cut(ip, other)
			s.w.Net.Cut(other, ip)
		}
	}
}
