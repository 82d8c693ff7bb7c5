package simtest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// insistUsual is how long the operator repeats an order.
const insistUsual = 4 * time.Second

// orderCommands are the operator's.
var orderCommands = map[string]command{
	"put":      putConfiguration,
	"patch":    patchConfiguration,
	"again":    repeatOrder,
	"pester":   pester,
	"evacuate": evacuate,
	"return":   takeBack,
	"race":     race,
	"read":     readBack,
}

// put 5 base=0 expect=200 extra=x flaw=y at=h1
func putConfiguration(s *Script, a args) error {
	body := setupOf(a.num("rev", mustInt(a.at(0))), a.kv["extra"], a.kv["flaw"])
	return s.order(order{"PUT", "/v1/config", a.kv["base"], body}, a)
}

// patch 7 base=5 add=name remove=name expect=200 service=svc kind=idempotent timeout=3000 aim=400 priority=1 attempts=2
func patchConfiguration(s *Script, a args) error {
	upsert, remove := "", ""
	if name := a.kv["add"]; name != "" {
		upsert = `,"upsert":{"route_table":[` + routeText(name, a) + `]}`
	}
	if name := a.kv["remove"]; name != "" {
		remove = fmt.Sprintf(`,"remove":{"route_table":["r-%s"]}`, name)
	}
	body := fmt.Sprintf(`{"revision":%s%s%s}`, a.at(0), upsert, remove)
	return s.order(order{"PATCH", "/v1/config", a.kv["base"], body}, a)
}

// routeText is a route that a patch adds, at the path of its name.
func routeText(name string, a args) string {
	word := func(k, def string) string {
		if a.kv[k] != "" {
			return a.kv[k]
		}
		return def
	}
	return fmt.Sprintf(`{"name":"r-%s","hostname":"h.example","path_prefix":"/%s/","route_type":"%s","timeout_ms":%s,"target_latency_ms":%s,"priority":%s,"backend_pool":"%s","max_attempts":%s}`,
		name, name, word("kind", "idempotent"), word("timeout", "3000"), word("aim", "400"), word("priority", "1"), word("service", "svc"), word("attempts", "2"))
}

// again at=h1 expect=200: the configuration order that was acknowledged last, once more
func repeatOrder(s *Script, a args) error {
	s.w.mu.Lock()
	o := s.w.operator.newest
	s.w.mu.Unlock()
	if o.method == "" {
		return fmt.Errorf("nothing was acknowledged")
	}
	return s.order(o, a)
}

// pester at=h1 for=6s: orders on a stale base, several a second, at one node
func pester(s *Script, a args) error {
	const callers, pause, firstRevision = 4, 100 * time.Millisecond, 1000
	end := time.Now().Add(a.span("for", time.Second))
	for i := range callers {
		s.bg.Add(1)
		go func() {
			defer s.bg.Done()
			for n := 0; time.Now().Before(end); n++ {
				_, _ = s.w.Order(a.kv["at"], "PUT", "/v1/config", "5", setupOf(firstRevision+10*n+i, "", ""))
				time.Sleep(pause)
			}
		}()
	}
	return nil
}

// evacuate a expect=200
func evacuate(s *Script, a args) error {
	got := s.send(order{method: "POST", path: "/v1/evacuation/" + a.at(0)}, a)
	if got == http.StatusOK {
		s.w.evacuated(a.at(0), time.Now())
	}
	return a.expected(got)
}

// return a expect=200: the evacuation is taken back
func takeBack(s *Script, a args) error {
	s.w.evacuated(a.at(0), time.Time{})
	return a.expected(s.send(order{method: "DELETE", path: "/v1/evacuation/" + a.at(0)}, a))
}

// evacuated notes since when a zone's replicas are to get nothing more; never for the zero time.
func (w *World) evacuated(zone string, since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.replicas {
		if r.zone == zone {
			r.evacAt = since
		}
	}
}

// race 7 9 base=5: two orders on one base, exactly one is taken
func race(s *Script, a args) error {
	got := make([]int, 2)
	var wg sync.WaitGroup
	for i := range got {
		wg.Add(1)
		go func() {
			defer wg.Done()
			got[i] = s.w.Insist(insistUsual, "PUT", "/v1/config", a.kv["base"], setupOf(mustInt(a.at(i)), fmt.Sprintf("w%d", i), ""))
		}()
	}
	wg.Wait()
	if got[0]+got[1] != http.StatusOK+http.StatusPreconditionFailed {
		return fmt.Errorf("answers %v", got)
	}
	return nil
}

// read 5 at=h1: the newest configuration as it was sent
func readBack(s *Script, a args) error {
	return until(a.span("within", insistUsual), orderPause, func() error {
		for _, name := range s.w.controllers() {
			if a.kv["at"] != "" && name != a.kv["at"] {
				continue
			}
			status, body := s.w.Order(name, "GET", "/v1/config", "", "")
			if status != http.StatusOK {
				continue
			}
			return checkReadBack(a.at(0), body)
		}
		return fmt.Errorf("nothing was read back")
	})
}

// checkReadBack holds a configuration that was read back against what was sent.
func checkReadBack(revision, body string) error {
	if !strings.HasPrefix(body, `{"revision":`+revision+",") || !strings.Contains(body, `"x_unknown":{"kept":[1,2.50]}`) {
		return wrongAnswer(fmt.Sprintf("read back %.60s", body))
	}
	return nil
}

// wrongAnswer is an error that no waiting mends.
type wrongAnswer string

func (e wrongAnswer) Error() string { return string(e) }

// order carries out one order as its line says and holds the answer against what is expected.
func (s *Script) order(o order, a args) error {
	return a.expected(s.send(o, a))
}

func (s *Script) send(o order, a args) int {
	nodes := a.kv["at"]
	if nodes == "" {
		return s.w.Insist(a.span("within", insistUsual), o.method, o.path, o.ifMatch, o.body)
	}
	if !strings.Contains(nodes, ",") {
		got, _ := s.w.Order(nodes, o.method, o.path, o.ifMatch, o.body)
		return got
	}
	return s.sendInTurn(o, strings.Split(nodes, ","))
}

// sendInTurn asks nodes in turn until one answers clearly.
func (s *Script) sendInTurn(o order, nodes []string) (got int) {
	for end := time.Now().Add(insistUsual); time.Now().Before(end); time.Sleep(orderPause / 2) {
		for _, node := range nodes {
			got, _ = s.w.Order(node, o.method, o.path, o.ifMatch, o.body)
			if got != 0 && got < clearBelow {
				return got
			}
		}
	}
	return got
}
