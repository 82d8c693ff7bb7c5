package replication

import (
	flatbuffers "github.com/google/flatbuffers/go"

	"shaletrestle/coord/replication/core"
	fb "shaletrestle/coord/replication/replicationfb"
)

// messageOverheadBytes are the bytes of a message besides its data, in most cases.
const messageOverheadBytes = 512

// encodeMessage puts a message into bytes.
func encodeMessage(message core.Message) []byte {
	envelope := message.Route()
	builder := flatbuffers.NewBuilder(messageOverheadBytes + dataSize(message))
	table := fb.MessageT{
		From:      memberTable(envelope.From),
		To:        uint64(envelope.To),
		ToAddress: envelope.ToAddress,
		Body:      bodyTable(message),
	}
	builder.Finish(table.Pack(builder))
	return builder.FinishedBytes()
}

func dataSize(message core.Message) int {
	switch m := message.(type) {
	case core.SnapshotChunk:
		return len(m.Data)
	case core.Append:
		return len(m.Entry.Data)
	}
	return 0
}

func bodyTable(message core.Message) *fb.BodyT {
	if body := requestTable(message); body != nil {
		return body
	}
	return replyTable(message)
}

func requestTable(message core.Message) *fb.BodyT {
	switch m := message.(type) {
	case core.Hello:
		return &fb.BodyT{Type: fb.BodyHello, Value: &fb.HelloT{Status: statusTable(m.Status), View: viewTable(m.View)}}
	case core.Heartbeat:
		return &fb.BodyT{Type: fb.BodyHeartbeat, Value: &fb.HeartbeatT{View: viewTable(m.View), Members: memberTables(m.Members)}}
	case core.Prepare:
		return &fb.BodyT{Type: fb.BodyPrepare, Value: &fb.PrepareT{Base: viewTable(&m.Base), Ballot: uint64(m.Ballot)}}
	case core.Accept:
		return &fb.BodyT{Type: fb.BodyAccept, Value: &fb.AcceptT{
			Base:     viewTable(&m.Base),
			Ballot:   uint64(m.Ballot),
			Proposal: viewTable(&m.Proposal),
		}}
	case core.Install:
		return &fb.BodyT{Type: fb.BodyInstall, Value: &fb.InstallT{View: viewTable(&m.View)}}
	case core.SnapshotChunk:
		return &fb.BodyT{Type: fb.BodySnapshotPart, Value: &fb.SnapshotPartT{
			Tag:      tagTable(m.Tag),
			Base:     viewTable(m.Base),
			Since:    positionTable(m.Since),
			Position: positionTable(m.Position),
			Size:     m.Size,
			Stream:   uint64(m.StreamDigest),
			Offset:   m.Offset,
			Data:     m.Data,
		}}
	case core.Append:
		return &fb.BodyT{Type: fb.BodyAppend, Value: &fb.AppendT{Entry: entryTable(m.Entry)}}
	case core.Confirm:
		return &fb.BodyT{Type: fb.BodyConfirm, Value: &fb.ConfirmT{Epoch: uint64(m.Epoch), Ballot: uint64(m.Ballot), Round: m.Round}}
	case core.Yield:
		return &fb.BodyT{Type: fb.BodyYield, Value: &fb.YieldT{Epoch: uint64(m.Epoch), Ballot: uint64(m.Ballot)}}
	case core.LeaveRequest:
		return &fb.BodyT{Type: fb.BodyLeaveRequest, Value: &fb.LeaveRequestT{Status: statusTable(m.Status)}}
	}
	return nil
}

func replyTable(message core.Message) *fb.BodyT {
	switch m := message.(type) {
	case core.HelloReply:
		return &fb.BodyT{Type: fb.BodyHelloReply, Value: &fb.HelloReplyT{
			Status:  statusTable(m.Status),
			View:    viewTable(m.View),
			Members: memberTables(m.Members),
		}}
	case core.HeartbeatReply:
		return &fb.BodyT{Type: fb.BodyHeartbeatReply, Value: &fb.HeartbeatReplyT{
			Epoch:  uint64(m.Epoch),
			Joined: m.Joined,
			Status: statusTable(m.Status),
			View:   viewTable(m.View),
		}}
	case core.PrepareReply:
		return &fb.BodyT{Type: fb.BodyPrepareReply, Value: prepareReplyTable(m)}
	case core.AcceptReply:
		return &fb.BodyT{Type: fb.BodyAcceptReply, Value: &fb.AcceptReplyT{
			Epoch:    uint64(m.Epoch),
			Ballot:   uint64(m.Ballot),
			Refusal:  byte(m.Rejection),
			Promised: uint64(m.Promised),
			View:     viewTable(m.View),
		}}
	case core.InstallReply:
		return &fb.BodyT{Type: fb.BodyInstallReply, Value: &fb.InstallReplyT{
			Epoch:   uint64(m.Epoch),
			Ballot:  uint64(m.Ballot),
			Refusal: byte(m.Rejection),
			View:    viewTable(m.View),
		}}
	case core.SnapshotChunkReply:
		return &fb.BodyT{Type: fb.BodySnapshotPartReply, Value: snapshotPartReplyTable(m)}
	case core.AppendReply:
		return &fb.BodyT{Type: fb.BodyAppendReply, Value: appendReplyTable(m)}
	case core.ConfirmReply:
		return &fb.BodyT{Type: fb.BodyConfirmReply, Value: &fb.ConfirmReplyT{
			Epoch:   uint64(m.Epoch),
			Ballot:  uint64(m.Ballot),
			Round:   m.Round,
			Refusal: byte(m.Rejection),
			View:    viewTable(m.View),
		}}
	case core.YieldReply:
		return &fb.BodyT{Type: fb.BodyYieldReply, Value: &fb.YieldReplyT{Epoch: uint64(m.Epoch), Refusal: byte(m.Rejection)}}
	case core.LeaveRequestReply:
		return &fb.BodyT{Type: fb.BodyLeaveRequestReply, Value: &fb.LeaveRequestReplyT{Refusal: byte(m.Rejection), View: viewTable(m.View)}}
	}
	return nil
}

func prepareReplyTable(m core.PrepareReply) *fb.PrepareReplyT {
	return &fb.PrepareReplyT{
		Epoch:          uint64(m.Epoch),
		Ballot:         uint64(m.Ballot),
		Refusal:        byte(m.Rejection),
		Promised:       uint64(m.Promised),
		AcceptedBallot: uint64(m.AcceptedBallot),
		Accepted:       viewTable(m.Accepted),
		View:           viewTable(m.View),
		Status:         statusTable(m.Status),
	}
}

func snapshotPartReplyTable(m core.SnapshotChunkReply) *fb.SnapshotPartReplyT {
	return &fb.SnapshotPartReplyT{
		Tag:      tagTable(m.Tag),
		Stream:   uint64(m.StreamDigest),
		Received: m.Received,
		Complete: m.Complete,
		Refusal:  byte(m.Rejection),
		Held:     positionTable(m.DiskPosition),
		View:     viewTable(m.View),
	}
}

func appendReplyTable(m core.AppendReply) *fb.AppendReplyT {
	return &fb.AppendReplyT{
		Epoch:   uint64(m.Epoch),
		Ballot:  uint64(m.Ballot),
		Index:   uint64(m.Index),
		Refusal: byte(m.Rejection),
		Held:    positionTable(m.DiskPosition),
		View:    viewTable(m.View),
	}
}

func memberTable(m core.Member) *fb.MemberT {
	return &fb.MemberT{Id: uint64(m.ID), Address: m.Address, Zone: m.Zone}
}

func memberTables(members []core.Member) []*fb.MemberT {
	tables := make([]*fb.MemberT, len(members))
	for i, member := range members {
		tables[i] = memberTable(member)
	}
	return tables
}

func positionTable(p core.Position) *fb.PositionT {
	return &fb.PositionT{Index: uint64(p.Index), Digest: uint64(p.Digest)}
}

func tagTable(t core.StateTag) *fb.StateTagT {
	return &fb.StateTagT{Epoch: uint64(t.Epoch), Ballot: uint64(t.Ballot)}
}

func statusTable(s core.Status) *fb.StatusT {
	return &fb.StatusT{Fit: s.Writable, Relay: s.Relay, Leaving: s.Leaving, FirstDisk: s.BootstrapDisk, Position: positionTable(s.Position)}
}

func viewTable(v *core.View) *fb.ViewT {
	if v == nil {
		return nil
	}
	return &fb.ViewT{
		Epoch:     uint64(v.Epoch),
		Ballot:    uint64(v.Ballot),
		Witnesses: memberTables(v.Witnesses),
		Primary:   memberTable(v.Primary),
		Backups:   memberTables(v.Backups),
		Base:      positionTable(v.Base),
	}
}

func entryTable(e core.Entry) *fb.EntryT {
	return &fb.EntryT{
		Index:    uint64(e.Index),
		Epoch:    uint64(e.Epoch),
		Ballot:   uint64(e.Ballot),
		Previous: uint64(e.Previous),
		Data:     e.Data,
	}
}
