package emulator

import (
	"sync"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/replicamodel"
	"shaletrestle/internal/task"
)

// engine runs the model of a replica in real time.
type engine struct {
	sc   *task.Scope
	mu   sync.Mutex
	k    *replicamodel.Model
	born clock.Moment
	wake chan struct{}
	to   map[string]chan replicamodel.Token
}

func newEngine(sc *task.Scope, s *Service, slower float64) *engine {
	e := s.Engine
	step := func(ms float64) clock.Span { return clock.Millis(ms * slower) }
	g := &engine{sc: sc, born: clock.Now(), wake: make(chan struct{}, 1), to: map[string]chan replicamodel.Token{},
		k: replicamodel.New(replicamodel.Spec{Slots: s.Slots, Queue: s.Queue, Step: step(e.StepMs), Each: step(e.EachMs), Prefill: e.Prefill / slower, Chunk: e.Chunk, Memory: e.Memory})}
	go g.run()
	return g
}

func (g *engine) run() {
	for {
		g.mu.Lock()
		at, busy := g.k.Next()
		g.mu.Unlock()
		if !busy {
			select {
			case <-g.wake:
				continue
			case <-g.sc.Done():
				return
			}
		}
		if !clock.Rest(g.sc, clock.Until(g.born.Add(at))) {
			return
		}
		g.mu.Lock()
		for _, t := range g.k.Step() {
			if c := g.to[t.ID]; c != nil {
				c <- t // it has room for all tokens of the request
			}
		}
		g.mu.Unlock()
	}
}

// offer takes a request; its tokens come over the channel. False if the replica is full.
func (g *engine) offer(j replicamodel.Job) (<-chan replicamodel.Token, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.k.Offer(clock.Since(g.born), j) {
		return nil, false
	}
	c := make(chan replicamodel.Token, j.Out+1)
	g.to[j.ID] = c
	select {
	case g.wake <- struct{}{}:
	default:
	}
	return c, true
}

// done forgets a request, whether it ended or its caller left.
func (g *engine) done(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.k.Drop(id)
	delete(g.to, id)
}

func (g *engine) load() replicamodel.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.k.Load()
}
