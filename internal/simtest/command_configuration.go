package simtest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// orderTimeout is how long the operator repeats an order.
const orderTimeout = 4 * time.Second

// orderCommands are the operator's.
var orderCommands = map[string]command{
	"put":            {putConfiguration, "rev extra flaw base at within expect"},
	"patch":          {patchConfiguration, "add remove base type timeout target_latency priority pool attempts at within expect"},
	"repeat_last":    {repeatOrder, "at within expect"},
	"stale_orders":   {sendStaleOrders, "at for"},
	"evacuate":       {evacuate, "at within expect"},
	"end_evacuation": {endEvacuation, "at within expect"},
	"race":           {race, "base"},
	"read":           {readBack, "at within"},
}

// putConfiguration is the command "put 5 base=0 expect=200 extra=x flaw=y at=controller-1".
func putConfiguration(s *Script, a args) error {
	body := configurationAt(a.number("rev", numberOf(a.argument(0))), a.options["extra"], a.options["flaw"])
	return s.expectAnswer(order{"PUT", configPath, a.options["base"], body}, a)
}

// patchConfiguration is the command "patch 7 base=5 add=name remove=name expect=200 pool=svc type=idempotent timeout=3000 target_latency=400 priority=1 attempts=2".
func patchConfiguration(s *Script, a args) error {
	upsert, remove := "", ""
	if name := a.options["add"]; name != "" {
		upsert = `,"upsert":{"route_table":[` + routeText(name, a) + `]}`
	}
	if name := a.options["remove"]; name != "" {
		remove = fmt.Sprintf(`,"remove":{"route_table":["r-%s"]}`, name)
	}
	body := fmt.Sprintf(`{"revision":%s%s%s}`, a.argument(0), upsert, remove)
	return s.expectAnswer(order{"PATCH", configPath, a.options["base"], body}, a)
}

// routeText is a route that a patch adds, at the path of its name.
func routeText(name string, a args) string {
	option := func(k, def string) string {
		if a.options[k] != "" {
			return a.options[k]
		}
		return def
	}
	return fmt.Sprintf(`{"name":"r-%s","hostname":"h.example","path_prefix":"/%s/","route_type":"%s","timeout_ms":%s,"target_latency_ms":%s,"priority":%s,"backend_pool":"%s","max_attempts":%s}`,
		name, name, option("type", "idempotent"), option("timeout", "3000"), option("target_latency", "400"), option("priority", "1"), option("pool", "svc"), option("attempts", "2"))
}

// repeatOrder is the command "repeat_last at=controller-1 expect=200": the configuration order that was acknowledged last, once more
func repeatOrder(s *Script, a args) error {
	s.sim.mu.Lock()
	o := s.sim.operator.newest
	s.sim.mu.Unlock()
	if o.method == "" {
		return fmt.Errorf("nothing was acknowledged")
	}
	return s.expectAnswer(o, a)
}

// sendStaleOrders is the command "stale_orders at=controller-1 for=6s": orders on a stale base, several a second, at one node
func sendStaleOrders(s *Script, a args) error {
	const callers, pause, firstRevision = 4, 100 * time.Millisecond, 1000
	end := time.Now().Add(a.duration("for", time.Second))
	for i := range callers {
		s.background.Add(1)
		go func() {
			defer s.background.Done()
			for n := 0; time.Now().Before(end); n++ {
				_, _ = s.sim.Send(a.options["at"], order{"PUT", configPath, "5", configurationAt(firstRevision+10*n+i, "", "")})
				time.Sleep(pause)
			}
		}()
	}
	return nil
}

// evacuate is the command "evacuate a expect=200".
func evacuate(s *Script, a args) error {
	got := s.send(order{method: "POST", path: evacuationPath + a.argument(0)}, a)
	if got == http.StatusOK {
		s.sim.setEvacuated(a.argument(0), time.Now())
	}
	return a.checkStatus(got)
}

// endEvacuation is the command "end_evacuation a expect=200": the evacuation is taken back
func endEvacuation(s *Script, a args) error {
	s.sim.setEvacuated(a.argument(0), time.Time{})
	return a.checkStatus(s.send(order{method: "DELETE", path: evacuationPath + a.argument(0)}, a))
}

// setEvacuated notes since when a zone's replicas are to get nothing more; never for the zero time.
func (sim *Simulation) setEvacuated(zone string, since time.Time) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, r := range sim.replicas {
		if r.zone == zone {
			r.evacuatedAt = since
		}
	}
}

// race is the command "race 7 9 base=5": two orders on one base, exactly one is taken
func race(s *Script, a args) error {
	got := make([]int, 2)
	var wg sync.WaitGroup
	for i := range got {
		wg.Add(1)
		go func() {
			defer wg.Done()
			got[i] = s.sim.SendUntilClear(orderTimeout, order{"PUT", configPath, a.options["base"], configurationAt(numberOf(a.argument(i)), fmt.Sprintf("w%d", i), "")})
		}()
	}
	wg.Wait()
	if got[0]+got[1] != http.StatusOK+http.StatusPreconditionFailed {
		return fmt.Errorf("answers %v", got)
	}
	return nil
}

// readBack is the command "read 5 at=controller-1": the newest configuration as it was sent
func readBack(s *Script, a args) error {
	return pollUntil(a.duration("within", orderTimeout), orderRetryPause, func() error {
		for _, name := range s.sim.controllers() {
			if a.options["at"] != "" && name != a.options["at"] {
				continue
			}
			status, body := s.sim.Send(name, order{method: "GET", path: configPath})
			if status != http.StatusOK {
				continue
			}
			return checkReadBack(a.argument(0), body)
		}
		return fmt.Errorf("nothing was read back")
	})
}

// checkReadBack checks a configuration that was read back against what was sent.
func checkReadBack(revision, body string) error {
	if !strings.HasPrefix(body, `{"revision":`+revision+",") || !strings.Contains(body, `"x_unknown":{"kept":[1,2.50]}`) {
		return wrongAnswerError(fmt.Sprintf("read back %.60s", body))
	}
	return nil
}

// wrongAnswerError is an error that no waiting mends.
type wrongAnswerError string

func (e wrongAnswerError) Error() string { return string(e) }

// expectAnswer carries out one order as its line says and checks the answer.
func (s *Script) expectAnswer(o order, a args) error {
	return a.checkStatus(s.send(o, a))
}

func (s *Script) send(o order, a args) int {
	nodes := a.options["at"]
	if nodes == "" {
		return s.sim.SendUntilClear(a.duration("within", orderTimeout), o)
	}
	if !strings.Contains(nodes, ",") {
		got, _ := s.sim.Send(nodes, o)
		return got
	}
	return s.sendInTurn(o, strings.Split(nodes, ","))
}

// sendInTurn asks nodes in turn until one answers clearly.
func (s *Script) sendInTurn(o order, nodes []string) (got int) {
	for end := time.Now().Add(orderTimeout); time.Now().Before(end); time.Sleep(orderRetryPause / 2) {
		for _, node := range nodes {
			got, _ = s.sim.Send(node, o)
			if got != 0 && got < firstUnclear {
				return got
			}
		}
	}
	return got
}
