package core

import (
	"log/slog"
)

type jobKind uint8

const (
	registerJob     jobKind = iota + 1
	ownAppendJob            // an entry of this primary's own
	backupAppendJob         // an entry of the primary's
	compactionJob           // a snapshot in place of a grown log
	repairJob               // a snapshot in place of a broken log
	transferJob             // state that was received
)

// diskJob is a job that has not ended. Only the fields of its kind are set.
type diskJob struct {
	token    Token
	kind     jobKind
	epoch    Epoch  // register: of the view saved
	promised Ballot // register: saved
	replies  []Message
	entry    Entry
	reply    AppendReply
	received receivedState
}

// diskQueue holds the jobs that have not ended, in their order.
type diskQueue struct {
	last    Token
	jobs    []diskJob
	stalled bool
}

// add names a job and puts it last.
func (q *diskQueue) add(job diskJob) Token {
	q.last++
	job.token = q.last
	q.jobs = append(q.jobs, job)
	return job.token
}

// changesState reports whether a job is queued whose end changes the replicated state on disk.
func (q *diskQueue) changesState() bool {
	for _, job := range q.jobs {
		switch job.kind {
		case ownAppendJob, backupAppendJob, repairJob, transferJob:
			return true
		}
	}
	return false
}

func (c *Core) saveSnapshot(job diskJob, snapshot Snapshot, tail []Entry) {
	token := c.disk.add(job)
	c.emit(SaveSnapshot{Token: token, Snapshot: snapshot, Tail: tail})
}

func (c *Core) appendEntry(job diskJob) {
	token := c.disk.add(job)
	c.emit(AppendEntry{Token: token, Entry: job.entry})
}

// diskDone ends the job that is first in the queue; one with another token is unknown.
func (c *Core) diskDone(event DiskDone) {
	if len(c.disk.jobs) == 0 || c.disk.jobs[0].token != event.Token {
		return
	}
	job := c.disk.jobs[0]
	c.disk.jobs = c.disk.jobs[1:]
	c.disk.stalled = false
	if event.Err != nil {
		c.log(slog.LevelWarn, "disk write failed", slog.String("error", event.Err.Error()))
	}
	switch job.kind {
	case registerJob:
		c.registerSaved(job, event.Err)
	case ownAppendJob:
		c.ownAppendDone(job, event.Err)
	case backupAppendJob:
		c.backupAppendDone(job, event.Err)
	case compactionJob:
		c.compactionDone(event.Err)
	case repairJob:
		c.repairDone(event.Err)
	case transferJob:
		c.transferDone(job, event.Err)
	}
}

// diskStalled takes this member out of the replicas until the disk ends the job.
func (c *Core) diskStalled(event DiskStalled) {
	if len(c.disk.jobs) == 0 || c.disk.jobs[0].token != event.Token {
		return
	}
	c.disk.stalled = true
	c.state.joined = StateTag{}
	c.log(slog.LevelWarn, "disk stalled")
	c.stepDownForDisk()
}

// compactionDone marks the log as broken if the snapshot could not be saved: what it holds is on disk still, but nothing can be appended.
func (c *Core) compactionDone(err error) {
	if err == nil {
		return
	}
	c.state.logBroken = true
	c.state.joined = StateTag{}
	c.stepDownForDisk()
}

// stepDownForDisk lets another member take over from a primary whose disk takes no writes.
func (c *Core) stepDownForDisk() {
	view := c.register.View
	if !c.isPrimary {
		return
	}
	c.stopBeingPrimary(OwnDiskFailed)
	c.startYielding(view)
}
