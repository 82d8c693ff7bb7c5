package simulation

import (
	"errors"
	"slices"
	"time"

	"shaletrestle/coord/replication/core"
)

var errFull = errors.New("no space is left")
var errClosed = errors.New("the log takes no entries before a snapshot is saved")

// disk is a simulated disk: what is synced on it, the jobs given and not ended, and what unfinished or failed jobs may have left behind.
type disk struct {
	cluster *cluster
	id      core.MemberID
	first   bool // made for the first start
	gone    bool // wiped

	register core.Register
	snapshot *core.Snapshot
	entries  []core.Entry
	tip      *position // of the state on disk
	closed   bool      // the log takes no entries before a snapshot is saved
	leftover []core.Effect

	jobs     []core.Effect // the first one is under way
	running  bool
	full     int // running faults
	stalled  int
	slowness int // the factor of slow faults
}

func jobToken(job core.Effect) core.Token {
	switch job := job.(type) {
	case core.SaveRegister:
		return job.Token
	case core.AppendEntry:
		return job.Token
	case core.SaveSnapshot:
		return job.Token
	}
	return 0
}

// give queues a job of the process.
func (d *disk) give(p *process, job core.Effect) {
	d.jobs = append(d.jobs, job)
	if !d.running {
		d.begin(p)
	}
}

// begin starts the first job of the queue.
func (d *disk) begin(p *process) {
	if len(d.jobs) == 0 || p.dead {
		return
	}
	d.running = true
	c := d.cluster
	sync := c.settings.DiskSync * time.Duration(max(1, d.slowness))
	patience := p.timing.DiskTimeout
	if _, ok := d.jobs[0].(core.SaveSnapshot); ok {
		sync *= 3
		patience = p.timing.SnapshotTimeout
	}
	token := jobToken(d.jobs[0])
	c.after(c.between(sync/4, sync), func() { d.end(p, token) })
	c.after(patience, func() {
		if !p.dead && d.running && jobToken(d.jobs[0]) == token {
			p.take(happening{kind: diskHappening, event: core.DiskStalled{Token: token}})
		}
	})
}

// end finishes the job under way, unless the disk stalls.
func (d *disk) end(p *process, token core.Token) {
	if p.dead {
		return
	}
	if d.stalled > 0 {
		d.cluster.after(d.cluster.between(10*time.Millisecond, 100*time.Millisecond), func() { d.end(p, token) })
		return
	}
	job := d.jobs[0]
	d.jobs = d.jobs[1:]
	d.running = false
	err := d.carryOut(job)
	p.take(happening{kind: diskHappening, event: core.DiskDone{Token: token, Err: err}, next: func() {
		if !d.running {
			d.begin(p)
		}
	}})
}

// carryOut does a job whole, or fails.
func (d *disk) carryOut(job core.Effect) error {
	entry, isEntry := job.(core.AppendEntry)
	if isEntry && d.closed {
		return errClosed
	}
	if isEntry && !entry.Entry.Follows(d.position()) {
		d.cluster.monitor.fail("disk %d is told to append entry %d after position %d", d.id, entry.Entry.Index, d.position().Index)
	}
	if d.full > 0 {
		d.leaveBehind(job)
		return errFull
	}
	if save, ok := job.(core.SaveSnapshot); ok {
		d.cluster.monitor.stateSaved(d, save)
	}
	d.apply(job)
	return nil
}

// leaveBehind keeps a job that failed: its writes may be found after a restart.
func (d *disk) leaveBehind(job core.Effect) {
	if _, ok := job.(core.SaveRegister); !ok {
		d.closed = true
	}
	d.leftover = append(d.leftover, job)
}

// apply makes a job's effect last.
func (d *disk) apply(job core.Effect) {
	switch job := job.(type) {
	case core.SaveRegister:
		d.cluster.monitor.registerSaved(d, job.Register)
		d.register = job.Register.Clone()
		d.dropLeftover(func(e core.Effect) bool { _, same := e.(core.SaveRegister); return same })
	case core.AppendEntry:
		d.entries = append(d.entries, job.Entry)
		d.tip = d.cluster.history.after(d.tip, job.Entry.Data)
	case core.SaveSnapshot:
		snapshot := job.Snapshot
		d.snapshot = &snapshot
		d.entries = slices.Clone(job.Tail)
		d.closed = false
		d.tip = d.cluster.history.ofSnapshot(snapshot.Data)
		for _, entry := range job.Tail {
			d.tip = d.cluster.history.after(d.tip, entry.Data)
		}
		d.dropLeftover(func(e core.Effect) bool { _, other := e.(core.SaveRegister); return !other })
	}
}

func (d *disk) dropLeftover(drop func(core.Effect) bool) {
	d.leftover = slices.DeleteFunc(d.leftover, drop)
}

// position is the core's position of the state on disk.
func (d *disk) position() core.Position {
	if len(d.entries) > 0 {
		return d.entries[len(d.entries)-1].Position()
	}
	if d.snapshot != nil {
		return d.snapshot.Position
	}
	return core.Position{}
}

// stop ends the jobs of a process that died. If only the process died, the job under way may have been done. If power was lost, each job that was not synced may be there or not, by itself.
func (d *disk) stop(powerLost bool) {
	jobs := d.jobs
	d.jobs = nil
	d.running = false
	if !powerLost && len(jobs) > 1 {
		jobs = jobs[:1]
	}
	uncertain := append(d.leftover, jobs...)
	d.leftover = nil
	for _, job := range uncertain {
		if d.cluster.chance(0.5) { // missing, or torn and thereby cut away
			continue
		}
		d.applyUncertain(job)
	}
}

// applyUncertain lets a job have taken effect after all, as far as the files before it allow.
func (d *disk) applyUncertain(job core.Effect) {
	if entry, ok := job.(core.AppendEntry); ok {
		if d.snapshot == nil || !entry.Entry.Follows(d.position()) {
			return
		}
	}
	d.apply(job)
}

// load is what a process finds on the disk.
func (d *disk) load() core.Stored {
	open := d.snapshot != nil && !d.closed && d.cluster.chance(0.8)
	d.closed = !open
	return core.Stored{
		Register:   d.register.Clone(),
		Snapshot:   d.snapshot,
		Entries:    slices.Clone(d.entries),
		Appendable: open,
	}
}
