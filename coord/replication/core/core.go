package core

import (
	"errors"
	"log/slog"
	"time"
)

// ErrCorrupt is wrapped by errors of New: what the disk has is no consistent state.
var ErrCorrupt = errors.New("the stored state is damaged")

// ErrTooManyPending comes with an Indeterminate result if Limits.MaxPending commands or reads wait already. The command was not begun.
var ErrTooManyPending = errors.New("too many calls wait")

// ErrDeadlineExceeded comes with an Indeterminate result if the deadline passed first.
var ErrDeadlineExceeded = errors.New("the deadline passed")

// Core is one member's part of the protocol. Use New to make one. It is not safe for concurrent use, its read-only methods included: one driver steps it.
type Core struct {
	config Config
	self   Member
	timing Timing
	limits Limits

	now       time.Duration
	startedAt time.Duration
	effects   []Effect
	loopback  []Message // sent to this member by itself; received before Step returns

	register                Register
	registerDirty           bool
	repliesAwaitingRegister []Message // sent once the register is synced

	disk     diskQueue
	state    replicatedState
	incoming *incomingState

	peers              []peer // sorted by id
	lastPrimaryContact time.Duration
	lastPrimary        Member
	lastHeartbeat      time.Duration
	lastHello          time.Duration

	isPrimary            bool
	primaryEpoch         Epoch
	viewChangeDue        bool
	retryAfter           time.Duration // no view change is attempted before
	isolatedSince        time.Duration // no contact with any member since a view change began that failed; never: no such view change
	lastPromiseAt        time.Duration // when a promise was last given to another member
	lastRound            uint64        // of the last ballot, for the epoch after the known view
	change               *viewChange
	toleranceWarnedEpoch Epoch // for which the low tolerance was logged

	commands              []Command
	write                 *pendingWrite
	viewChangesForCommand int // attempted for the command that is first in the queue
	confirm               confirmation

	yielding *yielding
	leaving  *leaving
}

// never is earlier than any time of a run.
const never = -time.Hour

// New makes a core from what its disk has, and restores the state machine from the snapshot. The error wraps ErrCorrupt if the snapshot can't be restored or the entries don't follow it; the disk can then be used only as an empty one under a new MemberID.
func New(config Config, stored Stored) (*Core, error) {
	c := &Core{
		config:   config,
		self:     config.Self,
		timing:   config.Timing,
		limits:   config.Limits,
		register: stored.Register.Clone(),

		lastPromiseAt: never,
		lastHello:     never,
		lastHeartbeat: never,
		isolatedSince: never,
	}
	c.lastRound = ballotRound(max(c.register.Promised, c.register.AcceptedBallot))
	if err := c.loadState(stored); err != nil {
		return nil, err
	}
	return c, nil
}

// Step handles one event and gives the effects, which the caller carries out in their order before the next Step. now is the time since the process started, on a monotonic clock; a now before the one of an earlier Step counts as that one.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	c.effects = nil
	c.advanceClock(now)
	c.handle(event)
	c.settle()
	return c.effects
}

func (c *Core) handle(event Event) {
	switch event := event.(type) {
	case Started:
		c.start()
	case Tick:
		c.tick()
	case Received:
		c.receive(event.Message)
	case DiskDone:
		c.diskDone(event)
	case DiskStalled:
		c.diskStalled(event)
	case Command:
		c.enqueueCommand(event)
	case Read:
		c.enqueueRead(event)
	case Leave:
		c.startLeaving(event)
	}
}

// settle continues with whatever the event made possible, until nothing is left to do.
func (c *Core) settle() {
	for {
		c.startCommands()
		c.startRound()
		if len(c.loopback) == 0 {
			break
		}
		message := c.loopback[0]
		c.loopback = c.loopback[1:]
		c.receive(message)
	}
	c.flushRegister()
}

func (c *Core) start() {
	c.startedAt = c.now
	c.lastPrimaryContact = c.now
	view := c.register.View
	if view != nil && view.Primary.ID == c.self.ID {
		c.lastPrimaryContact = c.now - 2*c.timing.HeartbeatInterval // a primary that restarts proposes at once; the witnesses reject it if it was superseded
	}
	c.sendHello()
	c.considerViewChange()
}

// tick does what is due by the clock.
func (c *Core) tick() {
	c.expireCalls()
	c.tickWrite()
	c.tickConfirmation()
	c.tickViewChange()
	c.tickPrimary()
	c.tickYield()
	c.considerViewChange()
	c.considerHello()
	c.tickLeaving()
	c.forgetPeers()
}

// receive handles a message, and rejects one that was meant for another disk.
func (c *Core) receive(message Message) {
	envelope := message.Route()
	if envelope.From.ID != c.self.ID {
		c.recordContact(envelope.From)
	}
	meant := envelope.To == 0 || envelope.To == c.self.ID
	if !meant {
		c.reject(message, WrongDisk)
		return
	}
	if c.config.Relay && needsDisk(message) {
		c.reject(message, NoDisk)
		return
	}
	if c.receiveRequest(message) {
		return
	}
	c.recordReply(envelope.From)
	c.receiveReply(message)
}

func (c *Core) receiveRequest(message Message) bool {
	switch m := message.(type) {
	case Hello:
		c.onHello(m)
	case Heartbeat:
		c.onHeartbeat(m)
	case Prepare:
		c.onPrepare(m)
	case Accept:
		c.onAccept(m)
	case Install:
		c.onInstall(m)
	case SnapshotChunk:
		c.onSnapshotChunk(m)
	case Append:
		c.onAppend(m)
	case Confirm:
		c.onConfirm(m)
	case Yield:
		c.onYield(m)
	case LeaveRequest:
		c.onLeaveRequest(m)
	default:
		return false
	}
	return true
}

func (c *Core) receiveReply(message Message) {
	switch m := message.(type) {
	case HelloReply:
		c.onHelloReply(m)
	case HeartbeatReply:
		c.onHeartbeatReply(m)
	case PrepareReply:
		c.onPrepareReply(m)
	case AcceptReply:
		c.onAcceptReply(m)
	case InstallReply:
		c.onInstallReply(m)
	case SnapshotChunkReply:
		c.onSnapshotChunkReply(m)
	case AppendReply:
		c.onAppendReply(m)
	case ConfirmReply:
		c.onConfirmReply(m)
	case YieldReply:
		c.onYieldReply(m)
	case LeaveRequestReply:
		c.onLeaveRequestReply(m)
	}
}

func (c *Core) emit(effect Effect) {
	c.effects = append(c.effects, effect)
}

func (c *Core) log(level slog.Level, text string, attributes ...slog.Attr) {
	c.emit(Log{Level: level, Message: text, Attributes: attributes})
}

// envelopeTo addresses a message to a member, at the address of its last contact.
func (c *Core) envelopeTo(member Member) Envelope {
	address := member.Address
	if p := c.peer(member.ID); p != nil {
		address = p.member.Address
	}
	return Envelope{From: c.self, To: member.ID, ToAddress: address}
}

// replyTo addresses the reply to a message.
func (c *Core) replyTo(request Message) Envelope {
	from := request.Route().From
	return Envelope{From: c.self, To: from.ID, ToAddress: from.Address}
}

func (c *Core) send(message Message) {
	envelope := message.Route()
	if envelope.To == c.self.ID {
		c.loopback = append(c.loopback, message)
		return
	}
	c.emit(Send{Address: envelope.ToAddress, Message: message})
}
