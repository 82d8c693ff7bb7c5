package core

// reject replies to a request that this member can't take; a reply to another member is dropped.
func (c *Core) reject(request Message, reason Rejection) {
	back := c.replyTo(request)
	switch m := request.(type) {
	case Heartbeat:
		if m.View != nil {
			c.send(HeartbeatReply{Envelope: back, Epoch: m.View.Epoch, Status: c.status()})
		}
	case Prepare:
		c.send(PrepareReply{Envelope: back, Epoch: m.Base.Epoch + 1, Ballot: m.Ballot, Rejection: reason, Status: c.status()})
	case Accept:
		c.send(AcceptReply{Envelope: back, Epoch: m.Base.Epoch + 1, Ballot: m.Ballot, Rejection: reason})
	case Install:
		c.send(InstallReply{Envelope: back, Epoch: m.View.Epoch, Ballot: m.View.Ballot, Rejection: reason})
	case SnapshotChunk:
		c.send(SnapshotChunkReply{Envelope: back, Tag: m.Tag, StreamDigest: m.StreamDigest, Rejection: reason, DiskPosition: c.state.position})
	case Append:
		c.send(AppendReply{Envelope: back, Epoch: m.Entry.Epoch, Ballot: m.Entry.Ballot, Index: m.Entry.Index, Rejection: reason, DiskPosition: c.state.position})
	case Confirm:
		c.send(ConfirmReply{Envelope: back, Epoch: m.Epoch, Ballot: m.Ballot, Round: m.Round, Rejection: reason})
	case Yield:
		c.send(YieldReply{Envelope: back, Epoch: m.Epoch, Rejection: reason})
	case LeaveRequest:
		c.send(LeaveRequestReply{Envelope: back, Rejection: reason})
	}
}

// rejectedReply is a register's reply with a rejection in place of its grant.
func rejectedReply(reply Message, reason Rejection) Message {
	switch m := reply.(type) {
	case PrepareReply:
		m.Rejection = reason
		return m
	case AcceptReply:
		m.Rejection = reason
		return m
	case InstallReply:
		m.Rejection = reason
		return m
	}
	return reply
}

// needsDisk reports whether only a member with a disk can take a message.
func needsDisk(message Message) bool {
	switch message.(type) {
	case Prepare, Accept, Install, SnapshotChunk, Append, Confirm, Yield:
		return true
	}
	return false
}
