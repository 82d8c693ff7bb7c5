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
	"load":     load,
	"ask":      ask,
	"rests":    askAfterRest,
	"rests_on": restOn,
}

// usualRate is the requests a second of a load that names no other.
const usualRate = 50

// load gate=g1 path=/i/x rate=50 for=2s once=true keys=20
func load(s *Script, a args) error {
	rate := a.num("rate", usualRate)
	count := int(a.span("for", time.Second)/time.Second) * rate
	gap := time.Second / time.Duration(rate)
	routers := a.list("gate")
	s.bg.Add(1)
	go func() {
		defer s.bg.Done()
		var wg sync.WaitGroup
		for i := range count {
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.note(s.askOnce(routers[i%len(routers)], i, a))
			}()
			time.Sleep(gap)
		}
		wg.Wait()
	}()
	return nil
}

// ask gate=g1 path=/i/x expect=200 within=500ms n=3
func ask(s *Script, a args) error {
	for i := range a.num("n", 1) {
		o := s.askOnce(a.kv["gate"], i, a)
		if !a.allows(o.Status) {
			return fmt.Errorf("%s got %d after %v: %.80s", o.ID, o.Status, o.Took, o.Body)
		}
		if d := a.span("within", 0); d > 0 && o.Took > d {
			return fmt.Errorf("%s took %v", o.ID, o.Took)
		}
	}
	return nil
}

func (s *Script) askOnce(router string, i int, a args) Outcome {
	return s.w.askWith(s.w.client("10.8.0.1"), question{
		router: router,
		path:   a.kv["path"],
		prefix: prefixOf(a, i),
		once:   a.kv["once"] != "",
		size:   a.num("body", 0),
		budget: a.span("budget", usualBudget),
	})
}

// rests gate=g1 path=/i/x for=4s n=3: a client asks, lets its connection rest and asks again on the same one
func askAfterRest(s *Script, a args) error {
	var made atomic.Int64
	c := s.w.clientOf("10.8.0.4", &made)
	defer c.CloseIdleConnections()
	for i := range a.num("n", 2) {
		if i > 0 {
			time.Sleep(a.span("for", time.Second))
		}
		o := s.w.askWith(c, question{router: a.kv["gate"], path: a.kv["path"], once: a.kv["once"] != "", budget: usualBudget})
		if o.Status != http.StatusOK {
			return fmt.Errorf("%s got %d after its rest", o.ID, o.Status)
		}
		if made.Load() > 1 {
			s.w.Broke(RuleIdle, "%s found its connection closed after %v", o.ID, a.span("for", time.Second))
			return nil
		}
	}
	return nil
}

// rests_on gate=g1 path=/i/x for=20s: the same in the background, with one connection that is open before what follows
func restOn(s *Script, a args) error {
	a.kv["n"] = "2"
	s.bg.Add(1)
	go func() {
		defer s.bg.Done()
		if err := askAfterRest(s, a); err != nil {
			s.w.Broke(RuleIdle, "%v", err)
		}
	}()
	time.Sleep(look)
	return nil
}

func prefixOf(a args, i int) string {
	if a.kv["prefix"] == "" && a.kv["keys"] == "" {
		return ""
	}
	if n := a.num("keys", 0); n > 0 {
		return fmt.Sprintf("%x:64,%x:64", i%n+1, 0xf000+i)
	}
	return strings.ReplaceAll(a.kv["prefix"], ";", ",") + fmt.Sprintf(",%x:64", 0xf000+i)
}

func (s *Script) note(o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Status == http.StatusOK {
		s.good++
	} else {
		s.bad[o.Status]++
	}
}
