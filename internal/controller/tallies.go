package controller

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"shaletrestle/coord/counter"
	"shaletrestle/coord/rpc"
	"shaletrestle/coord/wait"
	"shaletrestle/internal/adminapi"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/settings"
)

const (
	// tallyCandidatesInterval is the time between two looks at which other controllers there are.
	tallyCandidatesInterval = 500 * time.Millisecond
	// tallyMemoryShare is the part of limits.memory_mb from which on additions are rejected.
	tallyMemoryShare = 0.2
	// tallyFlushTimeout is how long a shutdown waits until others hold what this process holds.
	tallyFlushTimeout = 1500 * time.Millisecond
	// tallyReplyTimeout bounds the wait for the reply to another controller, which waits for a disk.
	tallyReplyTimeout = time.Second
)

// Answers to calls on tallies that are not carried out.
var (
	errTallyRejected = errkind.New(errkind.Unavailable, "not added: too few disks can be reached, or no room is left")
	errTallyUnclear  = errkind.New(errkind.DeadlineExceeded, "it is not known yet whether this was added")
	errTallyConflict = errkind.New(errkind.InvalidInput, "this replica_id was added with another actor")
	errTallyUnknown  = errkind.New(errkind.Unavailable, "totals are not known here yet")
)

// CounterStore is the disk of a member that keeps counters; [shaletrestle/coord/counter/store.Store] is one. Its methods
// are called one at a time.
type CounterStore interface {
	// Load returns what the disk contained when it was opened.
	Load() counter.Stored
	// Append adds runs, and that the member has totals, synced when it returns without an error.
	Append(runs []counter.Run, complete bool) error
	// Rewrite puts runs, which are everything, and whether the member has totals, in place of what was written before.
	Rewrite(all []counter.Run, complete bool) error
}

// tallies drives the counters of this process: it carries out what the core asks for. It is an [adminapi.TallyState].
type tallies struct {
	ctx        context.Context
	log        *slog.Logger
	settings   *settings.Settings
	pool       *rpc.Pool // channels of its own: a late reply closes one
	store      CounterStore
	startedAt  time.Time
	candidates func() []counter.Candidate
	writes     chan counter.Write
	merge      mergeWatch // of the goroutine of run

	mu        sync.Mutex // guards the following
	core      *counter.Core
	lastToken counter.Token
	adds      map[counter.Token]chan counter.AddResult
	replies   map[counter.Token]chan counter.Message
	results   map[counter.AddResult]int64 // how many additions ended so
	diskFails int64
}

var _ adminapi.TallyState = (*tallies)(nil)

// newTallies makes the counters of a controller. Without a store it only knows which others have them.
func newTallies(c *Controller, store CounterStore, policy counter.Policy, domain func(zone string) string) *tallies {
	env := c.settings
	self := c.member.Self()
	t := &tallies{
		ctx:       c.ctx,
		log:       c.log.With("part", "tallies"),
		settings:  env,
		pool:      rpc.NewPool(c.ctx, c.peers, nil),
		store:     store,
		startedAt: time.Now(),
		writes:    make(chan counter.Write, 1), // the core has one under way
		adds:      map[counter.Token]chan counter.AddResult{},
		replies:   map[counter.Token]chan counter.Message{},
		results:   map[counter.AddResult]int64{},
	}
	config := counter.Config{
		Self:     counter.Member{ID: self.ID, Address: self.Address, Domain: domain(self.Zone)},
		Origin:   newOrigin(),
		HasDisk:  store != nil,
		Policy:   policy,
		MaxBytes: int(env.Limits.MemoryMB * tallyMemoryShare * (1 << 20)),
	}
	if store != nil {
		config.Stored = store.Load()
		config.Bootstrap = env.Bootstrap && len(config.Stored.Runs) == 0
	}
	t.core = counter.New(config)
	t.candidates = func() []counter.Candidate { return c.tallyCandidates(domain) }
	return t
}

// newOrigin is a random origin.
func newOrigin() counter.Origin {
	var random [8]byte
	_, _ = rand.Read(random[:])                                      // never returns an error
	return counter.Origin(binary.LittleEndian.Uint64(random[:]) | 1) // never zero, which names none
}

// tallyCandidates are the other controllers that may exist: those of the newest view, which have disks, those known to the
// replication, and the seeds.
func (c *Controller) tallyCandidates(domain func(zone string) string) []counter.Candidate {
	var candidates []counter.Candidate
	add := func(member rpc.Member, hasDisk bool) {
		for i := range candidates {
			if candidates[i].Address == member.Address {
				return
			}
		}
		candidates = append(candidates, counter.Candidate{
			Member:  counter.Member{ID: member.ID, Address: member.Address, Domain: domain(member.Zone)},
			HasDisk: hasDisk,
		})
	}
	if view := c.member.View(); view != nil {
		for _, member := range append(view.Replicas(), view.Witnesses...) {
			add(rpc.Member{ID: uint64(member.ID), Address: member.Address, Zone: member.Zone}, true)
		}
	}
	for _, member := range c.member.Members() {
		add(member, false)
	}
	for _, address := range c.settings.SeedMembers() {
		add(rpc.Member{Address: address}, false)
	}
	return candidates
}

// run drives the core until the context ends.
func (t *tallies) run() {
	go t.writeDisk()
	lookedAt := time.Time{}
	wait.Every(t.ctx, counter.TickInterval, func() bool {
		if now := time.Now(); now.Sub(lookedAt) >= tallyCandidatesInterval {
			lookedAt = now
			t.step(counter.MembersChanged{Candidates: t.candidates()})
			t.checkMerged(now)
		}
		t.step(counter.Tick{})
		return true
	})
}

// step gives the core an event and begins what it asks for.
func (t *tallies) step(event counter.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stepLocked(event)
}

func (t *tallies) stepLocked(event counter.Event) {
	for _, effect := range t.core.Step(time.Since(t.startedAt), event) {
		switch effect := effect.(type) {
		case counter.Send:
			go t.call(effect)
		case counter.Write:
			t.writes <- effect
		case counter.Reply:
			t.replies[effect.Token] <- effect.Message
			delete(t.replies, effect.Token)
		case counter.Added:
			t.results[effect.Result]++
			t.adds[effect.Token] <- effect.Result
			delete(t.adds, effect.Token)
		}
	}
}

// call sends a message to another controller and gives the core its reply.
func (t *tallies) call(send counter.Send) {
	timeout := counter.CallTimeout
	if _, isPing := send.Message.(counter.Ping); isPing {
		timeout = counter.PingTimeout
	}
	end := counter.Answered{Address: send.Address, Request: send.Message}
	envelope := &rpc.Message{Kind: rpc.Counters, Body: counter.Encode(send.Message)}
	reply, err := t.pool.Call(send.Address, envelope, timeout)
	if err == nil {
		end.Reply, err = counter.Decode(reply.Body)
	}
	if err != nil {
		end.Reply = nil
		end.Refused = errors.Is(err, syscall.ECONNREFUSED)
	}
	t.step(end)
}

// writeDisk carries out the core's writes until the context ends.
func (t *tallies) writeDisk() {
	for {
		select {
		case write := <-t.writes:
			save := t.store.Append
			if write.Rewrite {
				save = t.store.Rewrite
			}
			err := save(write.Runs, write.Complete)
			t.noteWrite(err)
			t.step(counter.DiskDone{Err: err})
		case <-t.ctx.Done():
			return
		}
	}
}

// noteWrite counts writes that failed, and logs the first in a row.
func (t *tallies) noteWrite(err error) {
	if err == nil {
		return
	}
	t.mu.Lock()
	t.diskFails++
	first := t.diskFails == 1
	t.mu.Unlock()
	if first {
		t.log.Warn("tallies not written, will be tried again", "error", err.Error())
	}
}

// handle answers a message of another controller; nil if it can't be read.
func (t *tallies) handle(envelope *rpc.Message) *rpc.Message {
	message, err := counter.Decode(envelope.Body)
	if err != nil || envelope.Call == 0 {
		t.log.Warn("message on tallies cannot be read", "from", envelope.From.Address)
		return nil
	}
	done := make(chan counter.Message, 1)
	t.mu.Lock()
	t.lastToken++
	t.replies[t.lastToken] = done
	t.stepLocked(counter.Received{Token: t.lastToken, Message: message})
	t.mu.Unlock()
	timer := time.NewTimer(tallyReplyTimeout)
	defer timer.Stop()
	select {
	case reply := <-done:
		answer := envelope.Reply(true)
		answer.Body = counter.Encode(reply)
		return answer
	case <-timer.C:
	case <-t.ctx.Done():
	}
	return nil
}

// AddToTally makes one addition. The core ends it in time.
func (t *tallies) AddToTally(addition counter.Addition) (adminapi.TallyAnswer, error) {
	done := make(chan counter.AddResult, 1)
	t.mu.Lock()
	t.lastToken++
	t.adds[t.lastToken] = done
	t.stepLocked(counter.AddRequested{Token: t.lastToken, Addition: addition})
	t.mu.Unlock()
	select {
	case result := <-done:
		return t.answerOf(result)
	case <-t.ctx.Done():
		return adminapi.TallyAnswer{}, errTallyUnclear
	}
}

func (t *tallies) answerOf(result counter.AddResult) (adminapi.TallyAnswer, error) {
	switch result {
	case counter.AddAcknowledged:
		return adminapi.TallyAnswer{}, nil
	case counter.AddConflict:
		return adminapi.TallyAnswer{}, errTallyConflict
	case counter.NotAdded:
		return adminapi.TallyAnswer{}, errTallyRejected
	case counter.AddElsewhere:
		return t.elsewhere()
	default:
		return adminapi.TallyAnswer{}, errTallyUnclear
	}
}

// elsewhere points to another controller; the error is Unavailable if none is known.
func (t *tallies) elsewhere() (adminapi.TallyAnswer, error) {
	t.mu.Lock()
	address := t.core.Nearest()
	t.mu.Unlock()
	if address == "" {
		return adminapi.TallyAnswer{}, errTallyUnknown
	}
	return adminapi.TallyAnswer{Redirect: t.settings.ControlAddress(address)}, nil
}

// Tally gives the total of a tally, or points to another controller that has it.
func (t *tallies) Tally(name string) (adminapi.TallyAnswer, error) {
	t.mu.Lock()
	total, known := t.core.Total(name)
	t.mu.Unlock()
	if !known {
		return t.elsewhere()
	}
	return adminapi.TallyAnswer{Total: total}, nil
}

// leave stops additions and waits until the others that can be reached hold what this process holds, for a bounded time.
func (t *tallies) leave() {
	t.step(counter.Leaving{})
	end := time.Now().Add(tallyFlushTimeout)
	for time.Now().Before(end) {
		t.mu.Lock()
		flushed := t.core.IsFlushed()
		t.mu.Unlock()
		if flushed || !wait.Sleep(t.ctx, counter.TickInterval) {
			return
		}
	}
	t.log.Warn("shut down with tallies that others may not have")
}
