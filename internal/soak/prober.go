package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"shaletrestle/coord/wait"
)

const (
	probePause = 30 * time.Millisecond
	// applySlack is how long after its acknowledgement a route must be served in a calm time: config_apply_ms, and a second
	// for this machine.
	applySlack = configApplyMs*time.Millisecond + time.Second
)

// addedRouteSet are the routes that acknowledged changes added and that no change was sent to remove.
type addedRouteSet struct {
	mu    sync.Mutex
	acked map[string]time.Time // by marker
}

func (s *addedRouteSet) add(marker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acked == nil {
		s.acked = map[string]time.Time{}
	}
	s.acked[marker] = time.Now()
}

func (s *addedRouteSet) remove(marker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.acked, marker)
}

// acknowledged is when a route was acknowledged; false if it is not there.
func (s *addedRouteSet) acknowledged(marker string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.acked[marker]
	return at, ok
}

// any draws one.
func (s *addedRouteSet) any() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for marker := range s.acked {
		return marker // the order of a map is random enough
	}
	return ""
}

// prober asks routers for routes that were added, and judges which configuration they follow.
type prober struct {
	run    *Run
	random *rand.Rand
	seen   map[string]bool // router, its incarnation and marker: the route was followed there
	sent   int
}

func newProber(run *Run) *prober {
	return &prober{run: run, random: rand.New(rand.NewPCG(run.options.Seed, 77)), seen: map[string]bool{}}
}

func (p *prober) work(ctx context.Context) {
	for ctx.Err() == nil {
		if marker := p.run.routes.any(); marker != "" {
			p.probe(p.run.fleet.routers[p.random.IntN(len(p.run.fleet.routers))], marker)
		}
		wait.Sleep(ctx, probePause)
	}
}

// probe sends one request on an added route to a router.
func (p *prober) probe(router *process, marker string) {
	p.sent++
	life := router.life()
	begun := time.Now()
	status := p.ask(router, marker)
	if status == 0 || life == 0 || life != router.life() {
		return
	}
	p.run.judge.count(fmt.Sprintf("probes answered %d", status))
	acked, there := p.run.routes.acknowledged(marker)
	if !there {
		return // a change that removes it was sent meanwhile
	}
	key := fmt.Sprintf("%s/%d/%s", router.name, life, marker)
	if status != http.StatusNotFound {
		p.seen[key] = p.seen[key] || status == http.StatusOK
		return
	}
	if p.seen[key] {
		p.run.judge.add(RuleBack, "%s answered 404 on the route of change %s, which it had served before", router.name, marker)
	}
	if begun.Sub(acked) > applySlack && p.run.calmSince(begun.Add(-applySlack)) && !p.run.starved(begun.Add(-applySlack)) {
		p.run.judge.add(RuleApply, "%s answered 404 on the route of change %s, %d ms after its acknowledgement", router.name, marker, begun.Sub(acked).Milliseconds())
	}
}

func (p *prober) ask(router *process, marker string) int {
	connection, err := net.DialTimeout("tcp4", address(router.ip, portFront), dialTimeout)
	if err != nil {
		return 0
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(clientBudget))
	id := fmt.Sprintf("probe-%d", p.sent)
	const target = "/added/x"
	p.run.judge.sent(id, false, contentOf(http.MethodPost, target, nil))
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Budget-Ms: %d\r\n%s: %d\r\nContent-Length: 0\r\n\r\n",
		target, addedHost(marker), id, clientBudget.Milliseconds(), headerBudget, clientBudget.Milliseconds())
	if err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
