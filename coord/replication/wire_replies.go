package replication

import (
	"shaletrestle/coord/replication/core"
	fb "shaletrestle/coord/replication/replicationfb"
)

// encodeReply returns nil for a request.
func encodeReply(message core.Message) *fb.BodyT {
	switch m := message.(type) {
	case core.HelloReply:
		return &fb.BodyT{Type: fb.BodyHelloReply, Value: encodeHelloReply(m)}
	case core.HeartbeatReply:
		return &fb.BodyT{Type: fb.BodyHeartbeatReply, Value: encodeHeartbeatReply(m)}
	case core.PrepareReply:
		return &fb.BodyT{Type: fb.BodyPrepareReply, Value: encodePrepareReply(m)}
	case core.AcceptReply:
		return &fb.BodyT{Type: fb.BodyAcceptReply, Value: encodeAcceptReply(m)}
	case core.InstallReply:
		return &fb.BodyT{Type: fb.BodyInstallReply, Value: encodeInstallReply(m)}
	case core.SnapshotChunkReply:
		return &fb.BodyT{Type: fb.BodySnapshotPartReply, Value: encodeSnapshotChunkReply(m)}
	case core.AppendReply:
		return &fb.BodyT{Type: fb.BodyAppendReply, Value: encodeAppendReply(m)}
	case core.ConfirmReply:
		return &fb.BodyT{Type: fb.BodyConfirmReply, Value: encodeConfirmReply(m)}
	case core.YieldReply:
		return &fb.BodyT{Type: fb.BodyYieldReply, Value: &fb.YieldReplyT{Epoch: uint64(m.Epoch), Refusal: byte(m.Rejection)}}
	case core.LeaveRequestReply:
		return &fb.BodyT{Type: fb.BodyLeaveRequestReply, Value: &fb.LeaveRequestReplyT{Refusal: byte(m.Rejection), View: encodeView(m.View)}}
	}
	return nil
}

func encodeHelloReply(m core.HelloReply) *fb.HelloReplyT {
	return &fb.HelloReplyT{Status: encodeStatus(m.Status), View: encodeView(m.View), Members: encodeMembers(m.Members)}
}

func decodeHelloReply(d *decoder, t *fb.HelloReply, envelope core.Envelope) core.Message {
	return core.HelloReply{
		Envelope: envelope,
		Status:   d.status(t.Status(nil)),
		View:     d.view(t.View(nil)),
		Members:  d.members(t.MembersLength(), t.Members),
	}
}

func encodeHeartbeatReply(m core.HeartbeatReply) *fb.HeartbeatReplyT {
	return &fb.HeartbeatReplyT{Epoch: uint64(m.Epoch), Joined: m.Joined, Status: encodeStatus(m.Status), View: encodeView(m.View)}
}

func decodeHeartbeatReply(d *decoder, t *fb.HeartbeatReply, envelope core.Envelope) core.Message {
	return core.HeartbeatReply{
		Envelope: envelope,
		Epoch:    core.Epoch(t.Epoch()),
		Joined:   t.Joined(),
		Status:   d.status(t.Status(nil)),
		View:     d.view(t.View(nil)),
	}
}

func encodePrepareReply(m core.PrepareReply) *fb.PrepareReplyT {
	return &fb.PrepareReplyT{
		Epoch:          uint64(m.Epoch),
		Ballot:         uint64(m.Ballot),
		Refusal:        byte(m.Rejection),
		Promised:       uint64(m.Promised),
		AcceptedBallot: uint64(m.AcceptedBallot),
		Accepted:       encodeView(m.Accepted),
		View:           encodeView(m.View),
		Status:         encodeStatus(m.Status),
	}
}

func decodePrepareReply(d *decoder, t *fb.PrepareReply, envelope core.Envelope) core.Message {
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

func encodeAcceptReply(m core.AcceptReply) *fb.AcceptReplyT {
	return &fb.AcceptReplyT{
		Epoch:    uint64(m.Epoch),
		Ballot:   uint64(m.Ballot),
		Refusal:  byte(m.Rejection),
		Promised: uint64(m.Promised),
		View:     encodeView(m.View),
	}
}

func decodeAcceptReply(d *decoder, t *fb.AcceptReply, envelope core.Envelope) core.Message {
	return core.AcceptReply{
		Envelope:  envelope,
		Epoch:     core.Epoch(t.Epoch()),
		Ballot:    core.Ballot(t.Ballot()),
		Rejection: core.Rejection(t.Refusal()),
		Promised:  core.Ballot(t.Promised()),
		View:      d.view(t.View(nil)),
	}
}

func encodeInstallReply(m core.InstallReply) *fb.InstallReplyT {
	return &fb.InstallReplyT{Epoch: uint64(m.Epoch), Ballot: uint64(m.Ballot), Refusal: byte(m.Rejection), View: encodeView(m.View)}
}

func decodeInstallReply(d *decoder, t *fb.InstallReply, envelope core.Envelope) core.Message {
	return core.InstallReply{
		Envelope:  envelope,
		Epoch:     core.Epoch(t.Epoch()),
		Ballot:    core.Ballot(t.Ballot()),
		Rejection: core.Rejection(t.Refusal()),
		View:      d.view(t.View(nil)),
	}
}

func encodeSnapshotChunkReply(m core.SnapshotChunkReply) *fb.SnapshotPartReplyT {
	return &fb.SnapshotPartReplyT{
		Tag:      encodeTag(m.Tag),
		Stream:   uint64(m.StreamDigest),
		Received: m.Received,
		Complete: m.Complete,
		Refusal:  byte(m.Rejection),
		Held:     encodePosition(m.DiskPosition),
		View:     encodeView(m.View),
	}
}

func decodeSnapshotChunkReply(d *decoder, t *fb.SnapshotPartReply, envelope core.Envelope) core.Message {
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

func encodeAppendReply(m core.AppendReply) *fb.AppendReplyT {
	return &fb.AppendReplyT{
		Epoch:   uint64(m.Epoch),
		Ballot:  uint64(m.Ballot),
		Index:   uint64(m.Index),
		Refusal: byte(m.Rejection),
		Held:    encodePosition(m.DiskPosition),
		View:    encodeView(m.View),
	}
}

func decodeAppendReply(d *decoder, t *fb.AppendReply, envelope core.Envelope) core.Message {
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

func encodeConfirmReply(m core.ConfirmReply) *fb.ConfirmReplyT {
	return &fb.ConfirmReplyT{
		Epoch:   uint64(m.Epoch),
		Ballot:  uint64(m.Ballot),
		Round:   m.Round,
		Refusal: byte(m.Rejection),
		View:    encodeView(m.View),
	}
}

func decodeConfirmReply(d *decoder, t *fb.ConfirmReply, envelope core.Envelope) core.Message {
	return core.ConfirmReply{
		Envelope:  envelope,
		Epoch:     core.Epoch(t.Epoch()),
		Ballot:    core.Ballot(t.Ballot()),
		Round:     t.Round(),
		Rejection: core.Rejection(t.Refusal()),
		View:      d.view(t.View(nil)),
	}
}

func decodeYieldReply(_ *decoder, t *fb.YieldReply, envelope core.Envelope) core.Message {
	return core.YieldReply{Envelope: envelope, Epoch: core.Epoch(t.Epoch()), Rejection: core.Rejection(t.Refusal())}
}

func decodeLeaveRequestReply(d *decoder, t *fb.LeaveRequestReply, envelope core.Envelope) core.Message {
	return core.LeaveRequestReply{Envelope: envelope, Rejection: core.Rejection(t.Refusal()), View: d.view(t.View(nil))}
}
