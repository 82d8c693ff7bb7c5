package replication

import (
	"github.com/cockroachdb/errors"
	flatbuffers "github.com/google/flatbuffers/go"

	"shaletrestle/coord/replication/core"
	fb "shaletrestle/coord/replication/replicationfb"
)

// Bounds on what is read: damaged bytes must not make a process allocate more than a few times their size.
const (
	maxMembers      = 256 // members in one list; groups have some tens at most
	maxAddressBytes = 256 // bytes of an address or of a zone's name
	minMessageBytes = 8   // bytes
)

// decodeMessage reads a message; bytes that are none give an error, never a panic. Data in the result shares the bytes given.
func decodeMessage(data []byte) (message core.Message, err error) {
	defer func() {
		if r := recover(); r != nil {
			message = nil
			err = errors.Wrapf(ErrInvalidMessage, "%v", r)
		}
	}()
	if len(data) < minMessageBytes {
		return nil, errors.Wrapf(ErrInvalidMessage, "%d bytes", len(data))
	}
	table := fb.GetRootAsMessage(data, 0)
	var body flatbuffers.Table
	if !table.Body(&body) {
		return nil, errors.Wrap(ErrInvalidMessage, "no body")
	}
	var d decoder
	envelope := core.Envelope{
		From:      d.member(table.From(nil)),
		To:        core.MemberID(table.To()),
		ToAddress: d.text(table.ToAddress()),
	}
	message = d.request(table.BodyType(), body, envelope)
	if message == nil {
		message = d.reply(table.BodyType(), body, envelope)
	}
	if message == nil || d.invalid {
		return nil, errors.Wrapf(ErrInvalidMessage, "body of type %d", table.BodyType())
	}
	return message, nil
}

// decoder reads tables; bad is set once something is over its bound or missing.
type decoder struct{ invalid bool }

func (d *decoder) request(kind fb.Body, body flatbuffers.Table, envelope core.Envelope) core.Message {
	switch kind {
	case fb.BodyHello:
		var t fb.Hello
		t.Init(body.Bytes, body.Pos)
		return core.Hello{Envelope: envelope, Status: d.status(t.Status(nil)), View: d.view(t.View(nil))}
	case fb.BodyHeartbeat:
		var t fb.Heartbeat
		t.Init(body.Bytes, body.Pos)
		return core.Heartbeat{Envelope: envelope, View: d.view(t.View(nil)), Members: d.members(t.MembersLength(), t.Members)}
	case fb.BodyPrepare:
		var t fb.Prepare
		t.Init(body.Bytes, body.Pos)
		return core.Prepare{Envelope: envelope, Base: d.needView(t.Base(nil)), Ballot: core.Ballot(t.Ballot())}
	case fb.BodyAccept:
		var t fb.Accept
		t.Init(body.Bytes, body.Pos)
		return core.Accept{
			Envelope: envelope,
			Base:     d.needView(t.Base(nil)),
			Ballot:   core.Ballot(t.Ballot()),
			Proposal: d.needView(t.Proposal(nil)),
		}
	case fb.BodyInstall:
		var t fb.Install
		t.Init(body.Bytes, body.Pos)
		return core.Install{Envelope: envelope, View: d.needView(t.View(nil))}
	case fb.BodySnapshotPart:
		var t fb.SnapshotPart
		t.Init(body.Bytes, body.Pos)
		return d.snapshotPart(&t, envelope)
	case fb.BodyAppend:
		var t fb.Append
		t.Init(body.Bytes, body.Pos)
		return core.Append{Envelope: envelope, Entry: d.entry(t.Entry(nil))}
	case fb.BodyConfirm:
		var t fb.Confirm
		t.Init(body.Bytes, body.Pos)
		return core.Confirm{Envelope: envelope, Epoch: core.Epoch(t.Epoch()), Ballot: core.Ballot(t.Ballot()), Round: t.Round()}
	case fb.BodyYield:
		var t fb.Yield
		t.Init(body.Bytes, body.Pos)
		return core.Yield{Envelope: envelope, Epoch: core.Epoch(t.Epoch()), Ballot: core.Ballot(t.Ballot())}
	case fb.BodyLeaveRequest:
		var t fb.LeaveRequest
		t.Init(body.Bytes, body.Pos)
		return core.LeaveRequest{Envelope: envelope, Status: d.status(t.Status(nil))}
	}
	return nil
}

func (d *decoder) reply(kind fb.Body, body flatbuffers.Table, envelope core.Envelope) core.Message {
	switch kind {
	case fb.BodyHelloReply:
		var t fb.HelloReply
		t.Init(body.Bytes, body.Pos)
		return core.HelloReply{
			Envelope: envelope,
			Status:   d.status(t.Status(nil)),
			View:     d.view(t.View(nil)),
			Members:  d.members(t.MembersLength(), t.Members),
		}
	case fb.BodyHeartbeatReply:
		var t fb.HeartbeatReply
		t.Init(body.Bytes, body.Pos)
		return core.HeartbeatReply{
			Envelope: envelope,
			Epoch:    core.Epoch(t.Epoch()),
			Joined:   t.Joined(),
			Status:   d.status(t.Status(nil)),
			View:     d.view(t.View(nil)),
		}
	case fb.BodyPrepareReply:
		var t fb.PrepareReply
		t.Init(body.Bytes, body.Pos)
		return d.prepareReply(&t, envelope)
	case fb.BodySnapshotPartReply:
		var t fb.SnapshotPartReply
		t.Init(body.Bytes, body.Pos)
		return d.snapshotPartReply(&t, envelope)
	case fb.BodyAppendReply:
		var t fb.AppendReply
		t.Init(body.Bytes, body.Pos)
		return d.appendReply(&t, envelope)
	}
	return d.shortReply(kind, body, envelope)
}

func (d *decoder) shortReply(kind fb.Body, body flatbuffers.Table, envelope core.Envelope) core.Message {
	switch kind {
	case fb.BodyAcceptReply:
		var t fb.AcceptReply
		t.Init(body.Bytes, body.Pos)
		return core.AcceptReply{
			Envelope:  envelope,
			Epoch:     core.Epoch(t.Epoch()),
			Ballot:    core.Ballot(t.Ballot()),
			Rejection: core.Rejection(t.Refusal()),
			Promised:  core.Ballot(t.Promised()),
			View:      d.view(t.View(nil)),
		}
	case fb.BodyInstallReply:
		var t fb.InstallReply
		t.Init(body.Bytes, body.Pos)
		return core.InstallReply{
			Envelope:  envelope,
			Epoch:     core.Epoch(t.Epoch()),
			Ballot:    core.Ballot(t.Ballot()),
			Rejection: core.Rejection(t.Refusal()),
			View:      d.view(t.View(nil)),
		}
	case fb.BodyConfirmReply:
		var t fb.ConfirmReply
		t.Init(body.Bytes, body.Pos)
		return core.ConfirmReply{
			Envelope:  envelope,
			Epoch:     core.Epoch(t.Epoch()),
			Ballot:    core.Ballot(t.Ballot()),
			Round:     t.Round(),
			Rejection: core.Rejection(t.Refusal()),
			View:      d.view(t.View(nil)),
		}
	case fb.BodyYieldReply:
		var t fb.YieldReply
		t.Init(body.Bytes, body.Pos)
		return core.YieldReply{Envelope: envelope, Epoch: core.Epoch(t.Epoch()), Rejection: core.Rejection(t.Refusal())}
	case fb.BodyLeaveRequestReply:
		var t fb.LeaveRequestReply
		t.Init(body.Bytes, body.Pos)
		return core.LeaveRequestReply{Envelope: envelope, Rejection: core.Rejection(t.Refusal()), View: d.view(t.View(nil))}
	}
	return nil
}

func (d *decoder) snapshotPart(t *fb.SnapshotPart, envelope core.Envelope) core.Message {
	return core.SnapshotChunk{
		Envelope:     envelope,
		Tag:          d.tag(t.Tag(nil)),
		Base:         d.view(t.Base(nil)),
		Since:        d.position(t.Since(nil)),
		Position:     d.position(t.Position(nil)),
		Size:         t.Size(),
		StreamDigest: core.Digest(t.Stream()),
		Offset:       t.Offset(),
		Data:         t.DataBytes(),
	}
}

func (d *decoder) snapshotPartReply(t *fb.SnapshotPartReply, envelope core.Envelope) core.Message {
	return core.SnapshotChunkReply{
		Envelope:     envelope,
		Tag:          d.tag(t.Tag(nil)),
		StreamDigest: core.Digest(t.Stream()),
		Received:     t.Received(),
		Complete:     t.Complete(),
		Rejection:    core.Rejection(t.Refusal()),
		DiskPosition: d.position(t.Held(nil)),
		View:         d.view(t.View(nil)),
	}
}

func (d *decoder) prepareReply(t *fb.PrepareReply, envelope core.Envelope) core.Message {
	return core.PrepareReply{
		Envelope:       envelope,
		Epoch:          core.Epoch(t.Epoch()),
		Ballot:         core.Ballot(t.Ballot()),
		Rejection:      core.Rejection(t.Refusal()),
		Promised:       core.Ballot(t.Promised()),
		AcceptedBallot: core.Ballot(t.AcceptedBallot()),
		Accepted:       d.view(t.Accepted(nil)),
		View:           d.view(t.View(nil)),
		Status:         d.status(t.Status(nil)),
	}
}

func (d *decoder) appendReply(t *fb.AppendReply, envelope core.Envelope) core.Message {
	return core.AppendReply{
		Envelope:     envelope,
		Epoch:        core.Epoch(t.Epoch()),
		Ballot:       core.Ballot(t.Ballot()),
		Index:        core.Index(t.Index()),
		Rejection:    core.Rejection(t.Refusal()),
		DiskPosition: d.position(t.Held(nil)),
		View:         d.view(t.View(nil)),
	}
}

func (d *decoder) text(b []byte) string {
	if len(b) > maxAddressBytes {
		d.invalid = true
		return ""
	}
	return string(b)
}

func (d *decoder) member(t *fb.Member) core.Member {
	if t == nil {
		return core.Member{}
	}
	return core.Member{ID: core.MemberID(t.Id()), Address: d.text(t.Address()), Zone: d.text(t.Zone())}
}

func (d *decoder) members(length int, at func(*fb.Member, int) bool) []core.Member {
	if length > maxMembers {
		d.invalid = true
		return nil
	}
	var members []core.Member
	for i := range length {
		var t fb.Member
		if at(&t, i) {
			members = append(members, d.member(&t))
		}
	}
	return members
}

func (d *decoder) position(t *fb.Position) core.Position {
	if t == nil {
		return core.Position{}
	}
	return core.Position{Index: core.Index(t.Index()), Digest: core.Digest(t.Digest())}
}

func (d *decoder) tag(t *fb.StateTag) core.StateTag {
	if t == nil {
		return core.StateTag{}
	}
	return core.StateTag{Epoch: core.Epoch(t.Epoch()), Ballot: core.Ballot(t.Ballot())}
}

func (d *decoder) status(t *fb.Status) core.Status {
	if t == nil {
		return core.Status{}
	}
	return core.Status{
		Writable:      t.Fit(),
		Relay:         t.Relay(),
		Leaving:       t.Leaving(),
		BootstrapDisk: t.FirstDisk(),
		Position:      d.position(t.Position(nil)),
	}
}

func (d *decoder) view(t *fb.View) *core.View {
	if t == nil {
		return nil
	}
	return &core.View{
		Epoch:     core.Epoch(t.Epoch()),
		Ballot:    core.Ballot(t.Ballot()),
		Witnesses: d.members(t.WitnessesLength(), t.Witnesses),
		Primary:   d.member(t.Primary(nil)),
		Backups:   d.members(t.BackupsLength(), t.Backups),
		Base:      d.position(t.Base(nil)),
	}
}

// needView reads a view that a message can't do without.
func (d *decoder) needView(t *fb.View) core.View {
	view := d.view(t)
	if view == nil {
		d.invalid = true
		return core.View{}
	}
	return *view
}

func (d *decoder) entry(t *fb.Entry) core.Entry {
	if t == nil {
		d.invalid = true
		return core.Entry{}
	}
	return core.Entry{
		Index:    core.Index(t.Index()),
		Epoch:    core.Epoch(t.Epoch()),
		Ballot:   core.Ballot(t.Ballot()),
		Previous: core.Digest(t.Previous()),
		Data:     t.DataBytes(),
	}
}
