package distribution

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/atomic"

	"shaletrestle/coord/deflate"
	"shaletrestle/coord/invariant"
	"shaletrestle/coord/rpc"
	"shaletrestle/coord/wait"
)

// Sink is where a follower puts updates: a *Cursor or a *Feed.
type Sink interface {
	// Restore takes a snapshot from a parent that says whether it is current. On an error the sink is left as it was;
	// the error is ErrStale for a snapshot that is older than what is here.
	Restore(at Position, snapshot []byte, current bool) error
	// Apply applies the next change; one that was applied before is skipped. False means that a snapshot, or what is
	// missing, must come first.
	Apply(at Position, change []byte) bool
	// MarkContact records that the parent says now that it is current.
	MarkContact()
	// Position is that of the newest update taken, the zero Position if none was.
	Position() Position
	// ResumeFrom is the position after which to ask a parent for changes; the zero Position if a snapshot is needed.
	ResumeFrom() Position

	// restoreFrom is Restore for a snapshot that leaves out parts that are here. The error is also ErrInvalidSnapshot.
	restoreFrom(at Position, partial *partialSnapshot, current bool) error
	// adoptAt takes the position of a parent whose state has the digest offered; errOtherContent if the one here has another.
	adoptAt(at Position, offered digest, current bool) error
	// partsHere lists the parts of the state; nil if it has none.
	partsHere() manifest
}

// Follower keeps a sink up to date from one parent at a time. It acknowledges each update and heartbeat.
type Follower struct {
	options     FollowerOptions
	parent      atomic.String               // address followed now; empty: none
	channel     atomic.Pointer[rpc.Channel] // the newest, perhaps closed; nil: none yet
	redirected  atomic.Bool                 // it was sent to a nearer parent: that happens once
	redialNow   atomic.Bool                 // the next parent is dialled without a pause
	refused     atomic.Int64                // updates that were not as they should be
	wholeWanted atomic.Bool                 // a snapshot in parts was refused: the next one is asked for as one

	mu           sync.Mutex
	acknowledged acknowledgement // guarded by mu: what was acknowledged last
	highest      Position        // guarded by mu: that the sink was seen at
}

// FollowerOptions configure a follower.
type FollowerOptions struct {
	// Net reaches the parents. Required.
	Net rpc.Net
	// Sink takes the updates; a *Cursor at the end of the tree, a *Feed in a relay. Required.
	Sink Sink
	// Self is how the follower names itself to its parent.
	Self rpc.Member
	// NextParent names the address to follow next, given the one that was followed or dialled last ("" at first).
	// An empty result means that none is known; it is asked again soon. Required.
	NextParent func(failed string) string
	// EndFollowers makes the follower a relay: it lists the end followers below this process, which are forwarded
	// to the parent. nil: this is an end follower.
	EndFollowers func() []rpc.Member
	// AckBody gives the body of an acknowledgement that is about to be sent, or nil for none. It is called with the
	// follower locked and must not call its methods. nil: acknowledgements have no body.
	AckBody func() []byte
	// OnNearer takes parents that are nearer than the one followed, which sends this follower to them because it has no
	// state yet. That happens once at most; NextParent is asked next. nil: this follower stays where it is.
	OnNearer func(parents []rpc.Member)
	// OnMessage takes the parent's messages that are no updates, one at a time. nil: they are dropped.
	OnMessage func(*rpc.Message)
	// Log takes lines on updates that can't be used. nil: nothing is logged.
	Log *slog.Logger
	// Invariants takes violations of InvariantUpdateOrder. nil: they are not recorded.
	Invariants *invariant.Recorder
}

// InvariantUpdateOrder is that the position of a follower's sink never goes back, over all its parents.
const InvariantUpdateOrder invariant.Name = "update_order"

// NewFollower makes a follower, which does nothing until Run.
func NewFollower(options FollowerOptions) *Follower {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	options.Log = options.Log.With("part", "distribution")
	return &Follower{options: options}
}

// Self is how this follower names itself to its parent.
func (f *Follower) Self() rpc.Member { return f.options.Self }

// ParentAddress is the address of the parent followed now, empty if there is none.
func (f *Follower) ParentAddress() string { return f.parent.Load() }

// Disconnect closes the channel to the parent followed now, if there is one; Run then follows the next.
func (f *Follower) Disconnect() {
	if channel := f.channel.Load(); channel != nil {
		channel.Close()
	}
}

// Run follows one parent after another until the context ends. It is called once.
func (f *Follower) Run(ctx context.Context) {
	failed := ""
	for ctx.Err() == nil {
		address := f.options.NextParent(failed)
		if address != "" {
			f.follow(ctx, address)
			f.parent.Store("")
		}
		failed = address
		pause := reconnectDelay
		if f.redialNow.Swap(false) {
			pause = 0
		}
		if address == "" {
			pause = noParentDelay
		}
		if !wait.Sleep(ctx, pause) {
			return
		}
	}
}

func (f *Follower) role() role {
	if f.options.EndFollowers != nil {
		return roleRelay
	}
	return roleEnd
}

// receive takes one message of the parent; one that can't be followed any longer is left.
func (f *Follower) receive(channel *rpc.Channel, message *rpc.Message) {
	if message.Kind != rpc.Update {
		if f.options.OnMessage != nil {
			f.options.OnMessage(message)
		}
		return
	}
	if form(message.Text) == formNearer {
		f.leaveForNearer(message.Members)
		channel.Close()
		return
	}
	err := f.apply(message)
	f.checkOrder()
	switch {
	case errors.Is(err, errOtherContent) && message.OK:
		f.subscribe(channel)
	case err != nil || !message.OK:
		channel.Close()
	default:
		f.ack(channel, false)
	}
}

// subscribe asks a parent for updates, and says which parts of the state are here: none, before the first update.
func (f *Follower) subscribe(channel *rpc.Channel) {
	var have manifest
	if !f.wholeWanted.Load() {
		have = f.options.Sink.partsHere()
	}
	if have != nil && f.options.Sink.Position() == (Position{}) {
		have = manifest{}
	}
	message := subscribeMessage(f.options.Self, f.options.Sink.ResumeFrom(), f.role(), have)
	message.OK = f.options.OnNearer != nil && !f.redirected.Load()
	channel.Send(message)
}

// leaveForNearer takes the parents that this follower is sent to.
func (f *Follower) leaveForNearer(parents []rpc.Member) {
	if f.options.OnNearer == nil || f.redirected.Swap(true) {
		return
	}
	f.options.OnNearer(parents)
	f.redialNow.Store(true)
}

// Refused is how many updates were refused because they were damaged, too large or of an unknown form.
func (f *Follower) Refused() int64 { return f.refused.Load() }

// checkOrder checks that the sink has not gone back. The position is read under the lock: the readers of an old and a new
// channel may overlap.
func (f *Follower) checkOrder() {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.options.Sink.Position()
	if at.Before(f.highest) {
		f.options.Invariants.Violated(InvariantUpdateOrder,
			"highest_epoch", f.highest.Epoch, "highest_number", f.highest.Number, "epoch", at.Epoch, "number", at.Number)
		return
	}
	f.highest = at
}

// follow follows one parent until its channel ends or is silent.
func (f *Follower) follow(ctx context.Context, address string) {
	connection, err := f.options.Net.Dial(address, rpc.DialTimeout)
	if err != nil {
		return
	}
	channel := rpc.Open(ctx, connection, func(channel *rpc.Channel, message *rpc.Message) *rpc.Message {
		f.receive(channel, message)
		return nil
	})
	defer channel.Close()
	f.channel.Store(channel)
	f.parent.Store(address)
	f.subscribe(channel)
	timeout := time.After(updateTimeout)
	for {
		select {
		case <-channel.Done():
			return
		case <-ctx.Done():
			return
		case <-timeout:
			if channel.IdleTime() >= updateTimeout {
				return
			}
			timeout = time.After(updateTimeout - channel.IdleTime())
		}
	}
}

// Send sends a message to the parent followed now and reports whether it was queued: false if there is no parent or its
// channel has closed.
func (f *Follower) Send(message *rpc.Message) bool {
	channel := f.channel.Load()
	return channel != nil && channel.Send(message)
}

// Call asks the parent followed now and waits for its answer, no longer than the timeout. The error is ErrNoParent if
// none was followed yet, else one of rpc.Channel.Call.
func (f *Follower) Call(message *rpc.Message, timeout time.Duration) (*rpc.Message, error) {
	channel := f.channel.Load()
	if channel == nil {
		return nil, errors.WithStack(ErrNoParent)
	}
	return channel.Call(message, timeout)
}

// ReportProgress acknowledges again if that says something new: a relay's followers have moved on or are others, or
// there is an AckBody. It does nothing before the first parent was reached.
func (f *Follower) ReportProgress() {
	if channel := f.channel.Load(); channel != nil {
		f.ack(channel, true)
	}
}

// acker is a sink with followers of its own: its Acked is the number that all of them have taken.
type acker interface{ Acked() uint64 }

// acknowledgement is what the parent on a channel was sent last.
type acknowledgement struct {
	channel   *rpc.Channel
	at        Position     // the number that all below this process have taken
	followers []rpc.Member // a relay's end followers, in order
}

// ack acknowledges; with ifMoved only if that says something new. A relay's followers are listed only if they differ from
// those listed on this channel before: otherwise each heartbeat of each follower would send the list up the tree.
func (f *Follower) ack(channel *rpc.Channel, ifMoved bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := f.options.Sink.Position()
	below := own
	if sink, ok := f.options.Sink.(acker); ok {
		below.Number = sink.Acked()
	}
	message := ackMessage(f.options.Self, own, below.Number)
	previous := f.acknowledged
	f.acknowledged = acknowledgement{channel: channel, at: below}
	if f.options.EndFollowers != nil {
		f.acknowledged.followers = sortedMembers(f.options.EndFollowers())
		if previous.channel != channel || !slices.Equal(previous.followers, f.acknowledged.followers) {
			message.Text, message.Members = followersListed, f.acknowledged.followers
		}
	}
	if f.options.AckBody != nil {
		message.Body = f.options.AckBody()
	}
	moved := previous.channel != channel || previous.at != below
	if ifMoved && !moved && message.Text == "" && len(message.Body) == 0 {
		return
	}
	channel.Send(message)
}

func sortedMembers(members []rpc.Member) []rpc.Member {
	slices.SortFunc(members, func(a, b rpc.Member) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Address, b.Address), cmp.Compare(a.Zone, b.Zone))
	})
	return members
}

// apply puts one update into the sink. After an error the parent can't be followed any longer, but for errOtherContent.
func (f *Follower) apply(message *rpc.Message) error {
	sink := f.options.Sink
	at := positionOf(message)
	here := sink.Position()
	switch form(message.Text) {
	case formSnapshot:
		return f.restored(at, len(message.Body), sink.Restore(at, message.Body, message.OK))
	case formParts:
		return f.restoreParts(at, message)
	case formOffer:
		return f.adopt(at, message)
	case formWait:
		if at.Epoch < here.Epoch {
			return errors.WithStack(errDoesNotFollow)
		}
		return nil
	case formHeartbeat:
		if !message.OK || at.Epoch != here.Epoch || at.Number > here.Number {
			return errors.WithStack(errDoesNotFollow)
		}
		sink.MarkContact()
		return nil
	case formCompressed:
		change, err := deflate.Decompress(message.Body, decodedLimitBytes)
		if err != nil {
			return f.refuseChange(at, len(message.Body), err)
		}
		return f.applyChange(at, change)
	case formChange:
		return f.applyChange(at, message.Body)
	}
	return f.refuseChange(at, len(message.Body), errors.Wrapf(ErrInvalidSnapshot, "update of form %q", message.Text))
}

// restoreParts puts a snapshot into the sink that leaves out what is here.
func (f *Follower) restoreParts(at Position, message *rpc.Message) error {
	partial, err := decodePartialSnapshot(message.Body)
	if err == nil {
		err = f.options.Sink.restoreFrom(at, partial, message.OK)
	}
	return f.restored(at, len(message.Body), err)
}

// adopt takes the position of an offer if the state here is the one offered.
func (f *Follower) adopt(at Position, message *rpc.Message) error {
	if len(message.Body) != digestBytes {
		return f.refuseState(at, len(message.Body), errors.Wrap(ErrInvalidSnapshot, "offer without a digest"))
	}
	return f.options.Sink.adoptAt(at, digest(message.Body), message.OK)
}

// restored ends the taking of a snapshot. One that is older than what is here is usual after a change of parents; any other
// that can't be used is refused, and asked for as one next time.
func (f *Follower) restored(at Position, size int, err error) error {
	switch {
	case err == nil:
		f.wholeWanted.Store(false)
	case !errors.Is(err, ErrStale):
		f.wholeWanted.Store(true)
		return f.refuseState(at, size, err)
	}
	return err
}

// refuseChange counts and logs a change that is not as it should be, and returns why.
func (f *Follower) refuseChange(at Position, size int, err error) error {
	f.refused.Inc()
	f.options.Log.Error("cannot apply received update", "parent", f.parent.Load(), "epoch", at.Epoch, "number", at.Number, "bytes", size, "error", err.Error())
	return err
}

// refuseState is refuseChange for a snapshot or an offer of one.
func (f *Follower) refuseState(at Position, size int, err error) error {
	f.refused.Inc()
	f.options.Log.Error("cannot restore snapshot", "parent", f.parent.Load(), "epoch", at.Epoch, "number", at.Number, "bytes", size, "error", err.Error())
	return err
}

// applyChange puts a change into the sink. One that does not follow is usual, as after a change of parents; one that
// follows and can't be applied is not.
func (f *Follower) applyChange(at Position, body []byte) error {
	sink := f.options.Sink
	if sink.Apply(at, body) {
		return nil
	}
	err := errors.WithStack(errDoesNotFollow)
	if here := sink.Position(); here.Epoch == at.Epoch && here.Number+1 == at.Number {
		return f.refuseChange(at, len(body), err)
	}
	return err
}
