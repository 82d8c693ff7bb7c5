package replication

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shaletrestle/coord/replication/core"
)

// diskWorker carries out disk jobs, one after the other, in a goroutine of its own: a disk that stalls delays nothing else.
type diskWorker struct {
	store  Store
	timing core.Timing
	post   func(core.Event) // takes the end of a job; it may block
	ready  chan struct{}    // has a value when jobs wait

	mu   sync.Mutex // guards jobs
	jobs []core.Effect
}

func newDiskWorker(store Store, timing core.Timing, post func(core.Event)) *diskWorker {
	return &diskWorker{store: store, timing: timing, post: post, ready: make(chan struct{}, 1)}
}

// add queues a job; it never blocks.
func (w *diskWorker) add(job core.Effect) {
	w.mu.Lock()
	w.jobs = append(w.jobs, job)
	w.mu.Unlock()
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// take removes the oldest job; false if none waits.
func (w *diskWorker) take() (core.Effect, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.jobs) == 0 {
		return nil, false
	}
	job := w.jobs[0]
	w.jobs = w.jobs[1:]
	return job, true
}

// run carries out jobs until the context ends.
func (w *diskWorker) run(ctx context.Context) {
	for {
		select {
		case <-w.ready:
		case <-ctx.Done():
			return
		}
		for job, ok := w.take(); ok && ctx.Err() == nil; job, ok = w.take() {
			w.execute(job)
		}
	}
}

// execute carries out one job, and posts an event when it takes too long and when it has ended.
func (w *diskWorker) execute(job core.Effect) {
	token, timeout := w.describe(job)
	stalled := time.AfterFunc(timeout, func() { w.post(core.DiskStalled{Token: token}) })
	err := w.save(job)
	stalled.Stop()
	w.post(core.DiskDone{Token: token, Err: err})
}

// describe returns a job's token and the time after which its disk counts as stalled.
func (w *diskWorker) describe(job core.Effect) (core.Token, time.Duration) {
	switch job := job.(type) {
	case core.SaveRegister:
		return job.Token, w.timing.DiskTimeout
	case core.AppendEntry:
		return job.Token, w.timing.DiskTimeout
	case core.SaveSnapshot:
		return job.Token, w.timing.SnapshotTimeout
	}
	return 0, w.timing.DiskTimeout
}

// save carries out a job on the store.
func (w *diskWorker) save(job core.Effect) error {
	switch job := job.(type) {
	case core.SaveRegister:
		return w.store.SaveRegister(job.Register)
	case core.AppendEntry:
		return w.store.Append(job.Entry)
	case core.SaveSnapshot:
		return w.store.SaveSnapshot(job.Snapshot, job.Tail)
	}
	return errors.AssertionFailedf("unknown disk job %T", job)
}
