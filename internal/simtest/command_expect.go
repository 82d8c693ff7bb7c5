package simtest

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"shaletrestle/coord/replication/core"
)

// expectCommands hold what is seen against what a scenario expects.
var expectCommands = map[string]command{
	"page":      expectOnPage,
	"keys":      expectKeys,
	"suspected": expectSuspected,
	"ready":     expectReady,
	"shares":    expectShares,
	"served":    expectServed,
	"got":       expectGot,
	"chart":     expectView,
	"primary":   expectPrimary,
	"calls":     expectCalls,
}

// Pauses between two looks.
const (
	quickLook = 50 * time.Millisecond
	look      = 100 * time.Millisecond
)

// viewWait is how long a view may take to come.
const viewWait = 3 * time.Second

// noMost stands for no upper bound.
const noMost = 1 << 30

// page g1 run_elsewhere min=3 max=9: a count of the state page's section on long work
func expectOnPage(s *Script, a args) error {
	r, err := s.w.client("10.8.0.2").Get("http://" + s.w.process(a.at(0)).ip + ":7003/")
	if err != nil {
		return err
	}
	defer r.Body.Close()
	var p struct {
		Long map[string]any `json:"long_work"`
	}
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		return err
	}
	name := a.at(1)
	n, ok := p.Long[name].(float64)
	if !ok || int(n) < a.num("min", 0) || int(n) > a.num("max", noMost) {
		return fmt.Errorf("%s is %v", name, p.Long[name])
	}
	return nil
}

// keys 20: as many affinity keys were split between services, each held to one
func expectKeys(s *Script, a args) error {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	services := map[string]bool{}
	for _, service := range s.w.keys {
		services[service] = true
	}
	if len(s.w.keys) != mustInt(a.at(0)) || len(services) != 2 {
		return fmt.Errorf("%v", s.w.keys)
	}
	return nil
}

// suspected r1 at=g1,g6 within=2s: these routers hold it under suspicion; no=1: they don't
func expectSuspected(s *Script, a args) error {
	return until(a.span("within", time.Second), quickLook, func() error {
		for _, name := range a.list("at") {
			health := s.w.process(name).gate.Health()
			if health[a.at(0)].Suspected == (a.kv["no"] != "") {
				return fmt.Errorf("%s holds %v", name, health)
			}
		}
		return nil
	})
}

// ready g1 g2 are=no within=3s: all of them come to answer so
func expectReady(s *Script, a args) error {
	want := a.kv["are"] != "no"
	for _, name := range a.pos {
		err := until(a.span("within", 0), look, func() error {
			if s.w.Ready(name) != want {
				return fmt.Errorf("%s does not", name)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// shares 6 g1 g2 within=4s: by these routers the shares are made for so many
func expectShares(s *Script, a args) error {
	for _, name := range a.pos[1:] {
		err := until(a.span("within", 0), look, func() error {
			if n := s.w.Shares(name); n != mustInt(a.at(0)) {
				return fmt.Errorf("%s says %d", name, n)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// served 95: at least so many in a hundred of the load were served
func expectServed(s *Script, a args) error {
	s.bg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.good
	for _, n := range s.bad {
		all += n
	}
	if all == 0 || s.good*100 < all*mustInt(a.at(0)) {
		return fmt.Errorf("%d of %d served, others %v", s.good, all, s.bad)
	}
	s.good, s.bad = 0, map[int]int{}
	return nil
}

// got r1 min=3 max=9: requests that a replica ran
func expectGot(s *Script, a args) error {
	r := s.w.replicas[a.at(0)]
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.got < a.num("min", 0) || r.got > a.num("max", noMost) {
		return fmt.Errorf("it ran %d", r.got)
	}
	r.got = 0
	return nil
}

// chart copies=3 witnesses=5 none=h7 within=3s: what the primary's view holds; none names a controller that must not be in it
func expectView(s *Script, a args) error {
	return until(a.span("within", viewWait), quickLook, func() error {
		why := fmt.Errorf("nobody is primary")
		for _, name := range s.w.living() {
			p := s.w.process(name)
			if p.house == nil || !p.house.IsActivePrimary() {
				continue
			}
			why = s.checkView(p.house.View(), a)
			if why == nil {
				return nil
			}
		}
		return why
	})
}

func (s *Script) checkView(view *core.View, a args) error {
	copies, witnesses := view.Replicas(), view.Witnesses
	if name := a.kv["none"]; name != "" {
		unwanted := func(m core.Member) bool { return strings.HasPrefix(m.Address, s.w.process(name).ip+":") }
		if slices.ContainsFunc(copies, unwanted) || slices.ContainsFunc(witnesses, unwanted) {
			return fmt.Errorf("%s is in it", name)
		}
	}
	if len(copies) != a.num("copies", len(copies)) || len(witnesses) != a.num("witnesses", len(witnesses)) {
		return fmt.Errorf("%d copies, %d witnesses", len(copies), len(witnesses))
	}
	return nil
}

// primary not=h1 is=h2 within=3s: exactly one member is primary
func expectPrimary(s *Script, a args) error {
	return until(a.span("within", viewWait), quickLook, func() error {
		var on []string
		for _, name := range s.w.living() {
			p := s.w.process(name)
			if p.house != nil && p.house.IsActivePrimary() {
				on = append(on, name)
			}
		}
		if len(on) != 1 || on[0] == a.kv["not"] || a.kv["is"] != "" && a.kv["is"] != on[0] {
			return fmt.Errorf("primaries %v", on)
		}
		return nil
	})
}

// calls max=20: the platform was asked so often since the last time
func expectCalls(s *Script, a args) error {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	calls := s.w.platform.calls
	if calls > a.num("max", noMost) || calls < a.num("min", 0) {
		return fmt.Errorf("%d calls", calls)
	}
	s.w.platform.calls = 0
	return nil
}
