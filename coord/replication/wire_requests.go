package replication

import (
	"shaletrestle/coord/replication/core"
	fb "shaletrestle/coord/replication/replicationfb"
)

// encodeRequest returns nil for a reply.
func encodeRequest(message core.Message) *fb.BodyT {
	switch m := message.(type) {
	case core.Hello:
		return &fb.BodyT{Type: fb.BodyHello, Value: &fb.HelloT{Status: encodeStatus(m.Status), View: encodeView(m.View)}}
	case core.Heartbeat:
		return &fb.BodyT{Type: fb.BodyHeartbeat, Value: &fb.HeartbeatT{View: encodeView(m.View), Members: encodeMembers(m.Members)}}
	case core.Prepare:
		return &fb.BodyT{Type: fb.BodyPrepare, Value: &fb.PrepareT{Base: encodeView(&m.Base), Ballot: uint64(m.Ballot)}}
	case core.Accept:
		return &fb.BodyT{Type: fb.BodyAccept, Value: encodeAccept(m)}
	case core.Install:
		return &fb.BodyT{Type: fb.BodyInstall, Value: &fb.InstallT{View: encodeView(&m.View)}}
	case core.SnapshotChunk:
		return &fb.BodyT{Type: fb.BodySnapshotPart, Value: encodeSnapshotChunk(m)}
	case core.Append:
		return &fb.BodyT{Type: fb.BodyAppend, Value: &fb.AppendT{Entry: encodeEntry(m.Entry)}}
	case core.Confirm:
		return &fb.BodyT{Type: fb.BodyConfirm, Value: &fb.ConfirmT{Epoch: uint64(m.Epoch), Ballot: uint64(m.Ballot), Round: m.Round}}
	case core.Yield:
		return &fb.BodyT{Type: fb.BodyYield, Value: &fb.YieldT{Epoch: uint64(m.Epoch), Ballot: uint64(m.Ballot)}}
	case core.LeaveRequest:
		return &fb.BodyT{Type: fb.BodyLeaveRequest, Value: &fb.LeaveRequestT{Status: encodeStatus(m.Status)}}
	}
	return nil
}

func decodeHello(d *decoder, t *fb.Hello, envelope core.Envelope) core.Message {
	return core.Hello{Envelope: envelope, Status: d.status(t.Status(nil)), View: d.view(t.View(nil))}
}

func decodeHeartbeat(d *decoder, t *fb.Heartbeat, envelope core.Envelope) core.Message {
	return core.Heartbeat{Envelope: envelope, View: d.view(t.View(nil)), Members: d.members(t.MembersLength(), t.Members)}
}

func decodePrepare(d *decoder, t *fb.Prepare, envelope core.Envelope) core.Message {
	return core.Prepare{Envelope: envelope, Base: d.requiredView(t.Base(nil)), Ballot: core.Ballot(t.Ballot())}
}

func encodeAccept(m core.Accept) *fb.AcceptT {
	return &fb.AcceptT{Base: encodeView(&m.Base), Ballot: uint64(m.Ballot), Proposal: encodeView(&m.Proposal)}
}

func decodeAccept(d *decoder, t *fb.Accept, envelope core.Envelope) core.Message {
	return core.Accept{
		Envelope: envelope,
		Base:     d.requiredView(t.Base(nil)),
		Ballot:   core.Ballot(t.Ballot()),
		Proposal: d.requiredView(t.Proposal(nil)),
	}
}

func decodeInstall(d *decoder, t *fb.Install, envelope core.Envelope) core.Message {
	return core.Install{Envelope: envelope, View: d.requiredView(t.View(nil))}
}

func encodeSnapshotChunk(m core.SnapshotChunk) *fb.SnapshotPartT {
	return &fb.SnapshotPartT{
		Tag:      encodeTag(m.Tag),
		Base:     encodeView(m.Base),
		Since:    encodePosition(m.Since),
		Position: encodePosition(m.Position),
		Size:     m.Size,
		Stream:   uint64(m.StreamDigest),
		Offset:   m.Offset,
		Data:     m.Data,
	}
}

func decodeSnapshotChunk(d *decoder, t *fb.SnapshotPart, envelope core.Envelope) core.Message {
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

func decodeAppend(d *decoder, t *fb.Append, envelope core.Envelope) core.Message {
	return core.Append{Envelope: envelope, Entry: d.entry(t.Entry(nil))}
}

func decodeConfirm(_ *decoder, t *fb.Confirm, envelope core.Envelope) core.Message {
	return core.Confirm{Envelope: envelope, Epoch: core.Epoch(t.Epoch()), Ballot: core.Ballot(t.Ballot()), Round: t.Round()}
}

func decodeYield(_ *decoder, t *fb.Yield, envelope core.Envelope) core.Message {
	return core.Yield{Envelope: envelope, Epoch: core.Epoch(t.Epoch()), Ballot: core.Ballot(t.Ballot())}
}

func decodeLeaveRequest(d *decoder, t *fb.LeaveRequest, envelope core.Envelope) core.Message {
	return core.LeaveRequest{Envelope: envelope, Status: d.status(t.Status(nil))}
}
