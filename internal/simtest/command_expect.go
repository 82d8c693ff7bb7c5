package simtest

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"shaletrestle/coord/replication/core"
)

// expectCommands compare what is seen with what a scenario expects.
var expectCommands = map[string]command{
	"state_page":     {expectOnPage, "min max"},
	"affinity_keys":  {expectKeys, ""},
	"suspected":      {expectSuspected, "at within no"},
	"ready":          {expectReady, "are within"},
	"fleet_size":     {expectShares, "within"},
	"served":         {expectServed, ""},
	"executed":       {expectGot, "min max"},
	"view":           {expectView, "replicas witnesses without within"},
	"primary":        {expectPrimary, "not is within"},
	"platform_calls": {expectCalls, "min max"},
}

// Pauses between two looks.
const (
	shortPoll = 50 * time.Millisecond
	poll      = 100 * time.Millisecond
)

// viewTimeout is how long a view may take to come.
const viewTimeout = 3 * time.Second

// unbounded stands for no upper bound.
const unbounded = 1 << 30

// expectOnPage is the command "state_page router-1 run_elsewhere min=3 max=9": a count of the state page's section on long work
func expectOnPage(s *Script, a args) error {
	r, err := s.sim.client("10.8.0.2").Get("http://" + s.sim.process(a.argument(0)).ip + ":7003/")
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
	name := a.argument(1)
	n, ok := p.Long[name].(float64)
	if !ok || int(n) < a.number("min", 0) || int(n) > a.number("max", unbounded) {
		return fmt.Errorf("%s is %v", name, p.Long[name])
	}
	return nil
}

// expectKeys is the command "affinity_keys 20": as many affinity keys were split between services, each held to one
func expectKeys(s *Script, a args) error {
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	services := map[string]bool{}
	for _, service := range s.sim.keys {
		services[service] = true
	}
	if len(s.sim.keys) != numberOf(a.argument(0)) || len(services) != 2 {
		return fmt.Errorf("%v", s.sim.keys)
	}
	return nil
}

// expectSuspected is the command "suspected r1 at=router-1,router-6 within=2s": these routers hold it under suspicion; no=1: they don't
func expectSuspected(s *Script, a args) error {
	return pollUntil(a.duration("within", time.Second), shortPoll, func() error {
		for _, name := range a.list("at") {
			health := s.sim.process(name).router.Health()
			if health[a.argument(0)].Suspected == (a.options["no"] != "") {
				return fmt.Errorf("%s holds %v", name, health)
			}
		}
		return nil
	})
}

// expectReady is the command "ready router-1 router-2 are=no within=3s": all of them come to answer so
func expectReady(s *Script, a args) error {
	want := a.options["are"] != "no"
	for _, name := range a.arguments {
		err := pollUntil(a.duration("within", 0), poll, func() error {
			if s.sim.Ready(name) != want {
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

// expectShares is the command "fleet_size 6 router-1 router-2 within=4s": by these routers the shares are made for so many
func expectShares(s *Script, a args) error {
	for _, name := range a.arguments[1:] {
		err := pollUntil(a.duration("within", 0), poll, func() error {
			if n := s.sim.FleetSize(name); n != numberOf(a.argument(0)) {
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

// expectServed is the command "served 95": at least so many in a hundred of the load were served
func expectServed(s *Script, a args) error {
	s.background.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.served
	for _, n := range s.failed {
		all += n
	}
	if all == 0 || s.served*100 < all*numberOf(a.argument(0)) {
		return fmt.Errorf("%d of %d served, others %v", s.served, all, s.failed)
	}
	s.served, s.failed = 0, map[int]int{}
	return nil
}

// expectGot is the command "executed r1 min=3 max=9": requests that a replica ran
func expectGot(s *Script, a args) error {
	r := s.sim.replicas[a.argument(0)]
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.executed < a.number("min", 0) || r.executed > a.number("max", unbounded) {
		return fmt.Errorf("it ran %d", r.executed)
	}
	r.executed = 0
	return nil
}

// expectView is the command "view replicas=3 witnesses=5 without=controller-7 within=3s": what the primary's view holds; without names a controller that must not be in it
func expectView(s *Script, a args) error {
	return pollUntil(a.duration("within", viewTimeout), shortPoll, func() error {
		why := fmt.Errorf("nobody is primary")
		for _, name := range s.sim.running() {
			p := s.sim.process(name)
			if p.controller == nil || !p.controller.IsActivePrimary() {
				continue
			}
			why = s.checkView(p.controller.View(), a)
			if why == nil {
				return nil
			}
		}
		return why
	})
}

func (s *Script) checkView(view *core.View, a args) error {
	replicas, witnesses := view.Replicas(), view.Witnesses
	if name := a.options["without"]; name != "" {
		unwanted := func(m core.Member) bool { return strings.HasPrefix(m.Address, s.sim.process(name).ip+":") }
		if slices.ContainsFunc(replicas, unwanted) || slices.ContainsFunc(witnesses, unwanted) {
			return fmt.Errorf("%s is in it", name)
		}
	}
	if len(replicas) != a.number("replicas", len(replicas)) || len(witnesses) != a.number("witnesses", len(witnesses)) {
		return fmt.Errorf("%d replicas, %d witnesses", len(replicas), len(witnesses))
	}
	return nil
}

// expectPrimary is the command "primary not=controller-1 is=controller-2 within=3s": exactly one member is primary
func expectPrimary(s *Script, a args) error {
	return pollUntil(a.duration("within", viewTimeout), shortPoll, func() error {
		var on []string
		for _, name := range s.sim.running() {
			p := s.sim.process(name)
			if p.controller != nil && p.controller.IsActivePrimary() {
				on = append(on, name)
			}
		}
		if len(on) != 1 || on[0] == a.options["not"] || a.options["is"] != "" && a.options["is"] != on[0] {
			return fmt.Errorf("primaries %v", on)
		}
		return nil
	})
}

// expectCalls is the command "platform_calls max=20": the platform was asked so often since the last time
func expectCalls(s *Script, a args) error {
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	calls := s.sim.platform.calls
	if calls > a.number("max", unbounded) || calls < a.number("min", 0) {
		return fmt.Errorf("%d calls", calls)
	}
	s.sim.platform.calls = 0
	return nil
}
