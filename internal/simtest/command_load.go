package simtest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// loadCommands are the clients'.
var loadCommands = map[string]command{
	"load":               {startLoad, "router rate for path once body keys prefix budget"},
	"request":            {sendRequests, "router n within path once body keys prefix budget expect"},
	"idle":               {requestAfterIdle, "router n for path once"},
	"idle_in_background": {requestAfterIdleInBackground, "router n for path once"},
}

// usualRate is the requests a second of a load that names no other.
const usualRate = 50

// startLoad is the command "load router=router-1 path=/i/x rate=50 for=2s once=true keys=20".
func startLoad(s *Script, a args) error {
	rate := a.number("rate", usualRate)
	count := int(a.duration("for", time.Second)/time.Second) * rate
	gap := time.Second / time.Duration(rate)
	routers := a.list("router")
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		var wg sync.WaitGroup
		for i := range count {
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.countOutcome(s.requestOnce(routers[i%len(routers)], i, a))
			}()
			time.Sleep(gap)
		}
		wg.Wait()
	}()
	return nil
}

// sendRequests is the command "request router=router-1 path=/i/x expect=200 within=500ms n=3".
func sendRequests(s *Script, a args) error {
	for i := range a.number("n", 1) {
		o := s.requestOnce(a.options["router"], i, a)
		if !a.isExpected(o.Status) {
			return fmt.Errorf("%s got %d after %v: %.80s", o.ID, o.Status, o.Took, o.Body)
		}
		if d := a.duration("within", 0); d > 0 && o.Took > d {
			return fmt.Errorf("%s took %v", o.ID, o.Took)
		}
	}
	return nil
}

func (s *Script) requestOnce(router string, i int, a args) Outcome {
	return s.sim.requestWith(s.sim.client("10.8.0.1"), clientRequest{
		router: router,
		path:   a.options["path"],
		prefix: prefixOf(a, i),
		once:   a.options["once"] != "",
		size:   a.number("body", 0),
		budget: a.duration("budget", usualBudget),
	})
}

// requestAfterIdle is the command "idle router=router-1 path=/i/x for=4s n=3": a client asks, lets its connection rest and asks again on the same one
func requestAfterIdle(s *Script, a args) error {
	var made atomic.Int64
	c := s.sim.keepAliveClient("10.8.0.4", &made)
	defer c.CloseIdleConnections()
	for i := range a.number("n", 2) {
		if i > 0 {
			time.Sleep(a.duration("for", time.Second))
		}
		o := s.sim.requestWith(c, clientRequest{router: a.options["router"], path: a.options["path"], once: a.options["once"] != "", budget: usualBudget})
		if o.Status != http.StatusOK {
			return fmt.Errorf("%s got %d after its rest", o.ID, o.Status)
		}
		if made.Load() > 1 {
			s.sim.AddViolation(RuleIdle, "%s found its connection closed after %v", o.ID, a.duration("for", time.Second))
			return nil
		}
	}
	return nil
}

// requestAfterIdleInBackground is the command "idle_in_background router=router-1 path=/i/x for=20s": the same in the background, with one connection that is open before what follows
func requestAfterIdleInBackground(s *Script, a args) error {
	a.options["n"] = "2"
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		if err := requestAfterIdle(s, a); err != nil {
			s.sim.AddViolation(RuleIdle, "%v", err)
		}
	}()
	time.Sleep(poll)
	return nil
}

func prefixOf(a args, i int) string {
	if a.options["prefix"] == "" && a.options["keys"] == "" {
		return ""
	}
	if n := a.number("keys", 0); n > 0 {
		return fmt.Sprintf("%x:64,%x:64", i%n+1, 0xf000+i)
	}
	return strings.ReplaceAll(a.options["prefix"], ";", ",") + fmt.Sprintf(",%x:64", 0xf000+i)
}

func (s *Script) countOutcome(o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Status == http.StatusOK {
		s.served++
	} else {
		s.failed[o.Status]++
	}
}
