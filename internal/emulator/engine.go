package emulator

import (
	"context"
	"sync"
	"time"

	"shaletrestle/coord/wait"
	"shaletrestle/internal/durations"
	"shaletrestle/internal/replicamodel"
)

// engine runs the model of a replica in real time.
type engine struct {
	ctx    context.Context
	start  time.Time // the model's time is counted from here
	wakeup chan struct{}

	mu      sync.Mutex
	model   *replicamodel.Model
	streams map[string]chan replicamodel.Token // by request
}

// newEngine makes an engine for a service; it is slower by a factor than the
// service says. Its owner calls run.
func newEngine(ctx context.Context, service *Service, slower float64) *engine {
	spec := service.Engine
	model := replicamodel.New(replicamodel.Spec{
		Slots:                  service.Slots,
		QueueLimit:             service.Queue,
		StepTime:               durations.FromMilliseconds(spec.StepMs * slower),
		StepTimePerRequest:     durations.FromMilliseconds(spec.StepEachMs * slower),
		PrefillTokensPerSecond: spec.PrefillPerS / slower,
		ChunkTokens:            spec.ChunkTokens,
		MemoryTokens:           spec.MemoryTokens,
	})
	return &engine{
		ctx:     ctx,
		start:   time.Now(),
		wakeup:  make(chan struct{}, 1),
		model:   model,
		streams: map[string]chan replicamodel.Token{},
	}
}

// run makes the steps of the model until the context ends.
func (e *engine) run() {
	for {
		stepEnd, busy := e.nextStep()
		if !busy {
			select {
			case <-e.wakeup:
				continue
			case <-e.ctx.Done():
				return
			}
		}
		if !wait.Sleep(e.ctx, time.Until(e.start.Add(stepEnd))) {
			return
		}
		e.step()
	}
}

func (e *engine) nextStep() (end time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.StepEnd()
}

// step hands out the tokens of a step. A stream has room for all tokens of its
// request.
func (e *engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, token := range e.model.Step() {
		if stream := e.streams[token.RequestID]; stream != nil {
			stream <- token
		}
	}
}

// offer takes a request; its tokens come over the channel. False if the replica is
// full.
func (e *engine) offer(job replicamodel.Job) (<-chan replicamodel.Token, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.model.Offer(time.Since(e.start), job) {
		return nil, false
	}
	stream := make(chan replicamodel.Token, job.OutputTokens+1)
	e.streams[job.ID] = stream
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
	return stream, true
}

// done forgets a request, whether it ended or its caller left.
func (e *engine) done(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Cancel(id)
	delete(e.streams, id)
}

func (e *engine) load() replicamodel.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Load()
}
