package replication

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/rpc"
)

const (
	maxQueuedEvents   = 1024 // events that wait for the stepping goroutine
	maxQueuedMessages = 768  // queue length from which messages are dropped: the last quarter is for calls and ends of disk jobs, which are not sent again
)

// Member is one process that takes part in the replication. New makes one and Run runs it.
type Member struct {
	log       *slog.Logger
	config    Config
	self      core.Member
	timing    core.Timing
	startedAt time.Time
	disk      *diskWorker
	calls     calls
	events    chan core.Event
	left      chan core.Left // the result of a Leave; buffered, since its caller may have given up
	stopped   chan struct{}  // closed when the context of Run ends

	mu       sync.Mutex // guards core and lastTick
	core     *core.Core
	lastTick time.Duration

	status atomic.Pointer[status] // as the last step left it
}

// status is what callers ask often, and what they may ask on the stepping goroutine too: reading it takes no lock.
type status struct {
	epoch     core.Epoch
	isPrimary bool
	primary   core.Member // in contact last, at contactAt
	contactAt time.Duration
	view      *core.View // immutable: readers share it
}

// New makes a member from the contents of its store. It reads the store and calls the state machine's Restore and Apply, but sends nothing and starts nothing: Run does.
//
// If the stored state can't be used and the store is a Resetter, the member starts with an empty disk; else the error is core.ErrCorrupt. Other errors are those of Reset.
func New(log *slog.Logger, config Config) (*Member, error) {
	m := &Member{
		log:       log.With("part", "replication"),
		config:    config,
		timing:    core.DefaultTiming(),
		startedAt: time.Now(),
		events:    make(chan core.Event, maxQueuedEvents),
		left:      make(chan core.Left, 1),
		stopped:   make(chan struct{}),
	}
	m.disk = newDiskWorker(config.Store, m.timing, m.post)
	err := m.load()
	if errors.Is(err, core.ErrCorrupt) {
		err = m.resetDisk(err)
	}
	if err != nil {
		return nil, errors.Wrap(err, "stored state")
	}
	m.status.Store(&status{view: m.core.View()})
	return m, nil
}

// load makes the core from the contents of the disk.
func (m *Member) load() error {
	id, bootstrap := m.config.Store.Identity()
	m.self = core.Member{ID: core.MemberID(id), Address: m.config.Address, Zone: m.config.Zone}
	loaded, err := core.New(core.Config{
		Self:              m.self,
		Seeds:             m.config.Seeds,
		BootstrapSeeds:    m.config.Store.BootstrapSeeds(),
		MaxFailures:       m.config.MaxFailures,
		MaxDomainFailures: m.config.MaxDomainFailures,
		FailureDomain:     m.config.FailureDomain,
		Relay:             m.config.Relay,
		Bootstrap:         bootstrap,
		StateMachine:      m.config.StateMachine,
		Timing:            m.timing,
		Limits:            core.DefaultLimits(),
	}, m.config.Store.Load())
	m.core = loaded
	return err
}

// resetDisk makes the disk an empty one with another identity, if its store can do that. The old identity stands for state that can't be used any more: under it the other members would count this disk as a replica or witness that still has that state.
func (m *Member) resetDisk(cause error) error {
	resetter, ok := m.config.Store.(Resetter)
	if !ok {
		return cause
	}
	m.log.Error("stored state unusable, joining anew with an empty disk", "error", cause.Error())
	if err := resetter.Reset(cause.Error()); err != nil {
		return errors.Join(cause, err)
	}
	return m.load()
}

// Run takes part in the replication until the context ends, and returns when the disk job under way has ended too. It is called once.
func (m *Member) Run(ctx context.Context) {
	context.AfterFunc(ctx, func() { close(m.stopped) })
	var disk sync.WaitGroup
	defer disk.Wait()
	disk.Go(func() { m.disk.run(ctx) })
	timer := time.NewTimer(m.step(ctx, core.Started{}))
	defer timer.Stop()
	for {
		var wait time.Duration
		select {
		case event := <-m.events:
			wait = m.step(ctx, event)
		case <-timer.C:
			wait = m.step(ctx, core.Tick{})
		case <-ctx.Done():
			return
		}
		timer.Reset(wait)
	}
}

// now is the time since the member was made, on the steady clock: the clock of the core.
func (m *Member) now() time.Duration { return time.Since(m.startedAt) }

// step lets the core handle one event and performs the effects, all before the next event. It returns the time until the core must be ticked.
func (m *Member) step(ctx context.Context, event core.Event) time.Duration {
	m.checkReceived(event)
	m.mu.Lock()
	now := m.now()
	if _, isTick := event.(core.Tick); isTick {
		m.lastTick = now
	}
	effects := m.core.Step(now, event)
	wake := m.core.NextWake(m.lastTick)
	m.publish()
	m.mu.Unlock()
	for _, effect := range effects {
		m.perform(ctx, effect)
	}
	return max(0, wake-m.now())
}

// publish updates the status after a step. The view is a copy, so it is taken only when its epoch is new. The caller holds mu.
func (m *Member) publish() {
	old := m.status.Load()
	next := status{view: old.view}
	next.epoch, next.isPrimary = m.core.PrimaryEpoch()
	contact := m.core.LastPrimaryContact()
	next.primary, next.contactAt = contact.Primary, contact.At
	if known := m.core.KnownEpoch(); known > 0 && (old.view == nil || old.view.Epoch != known) {
		next.view = m.core.View()
	}
	m.checkView(old.view, next.view)
	if next != *old {
		m.status.Store(&next)
	}
}

// perform carries out one effect. core.LearnedView needs nothing: publish has stored the view already.
func (m *Member) perform(ctx context.Context, effect core.Effect) {
	switch effect := effect.(type) {
	case core.Send:
		m.config.Transport.Send(effect.Address, effect.Message)
	case core.SaveRegister, core.SaveSnapshot, core.AppendEntry:
		m.disk.add(effect)
	case core.Result:
		m.calls.finish(effect)
	case core.BecamePrimary:
		if m.config.OnBecomePrimary != nil {
			m.config.OnBecomePrimary(uint64(effect.Epoch))
		}
	case core.SteppedDown:
		if m.config.OnStepDown != nil {
			m.config.OnStepDown()
		}
	case core.Left:
		select {
		case m.left <- effect:
		default:
		}
	case core.Log:
		m.log.LogAttrs(ctx, effect.Level, effect.Message, effect.Attributes...) //nolint:sloglint // the messages are the core's constants
	}
}

// post gives the core an event that must not be lost.
func (m *Member) post(event core.Event) {
	select {
	case m.events <- event:
	case <-m.stopped:
	}
}

// receive takes a message from another member. If maxQueuedMessages events wait already it is dropped: the core sends again what it still needs.
func (m *Member) receive(message core.Message) {
	if len(m.events) >= maxQueuedMessages {
		return
	}
	m.post(core.Received{Message: message})
}

// Handle takes a message of the kind rpc.Replication, and returns false for any other. A body that cannot be decoded is logged and dropped.
func (m *Member) Handle(channel *rpc.Channel, envelope *rpc.Message) bool {
	if envelope.Kind != rpc.Replication {
		return false
	}
	message, err := decodeMessage(envelope.Body)
	if err != nil {
		m.log.Warn("cannot decode message", "remote", channel.Remote(), "error", err.Error())
		return true
	}
	m.config.Transport.SetChannel(message.Route().From.Address, channel)
	m.receive(message)
	return true
}
