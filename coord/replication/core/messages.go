package core

// Envelope holds the sender and the addressee of a message.
type Envelope struct {
	From      Member
	To        MemberID // 0: whoever lives at the address
	ToAddress string
}

// Route is the envelope of a message.
func (e Envelope) Route() Envelope { return e }

// Message is one of the message types of this file. Messages go one way; a reply is a message too, matched by epoch and ballot and a round, index or offset. So lost, repeated, late and reordered messages do no harm.
type Message interface {
	Route() Envelope
	isMessage()
}

// Status is what a member reports of itself.
type Status struct {
	Writable      bool     // its disk takes writes
	Relay         bool     // it has no disk
	Leaving       bool     // it gives up its roles
	BootstrapDisk bool     // its disk was created at the first start of the group
	Position      Position // of the state on its disk
}

// Hello asks the member at an address for its identity and what it knows. It is the only message without an addressee.
type Hello struct {
	Envelope
	Status Status
	View   *View
}

// HelloReply answers a Hello.
type HelloReply struct {
	Envelope
	Status  Status
	View    *View
	Members []Member // that the replying member heard itself, and it
}

// Heartbeat goes from the primary to all members it knows, every HeartbeatInterval.
type Heartbeat struct {
	Envelope
	View    *View
	Members []Member // that the primary heard itself, and it; nil in most
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	Envelope
	Epoch  Epoch // of the heartbeat
	Joined bool  // the member takes appends of that view
	Status Status
	View   *View // if a newer one is known
}

// Prepare asks a witness to promise to accept nothing under a lower ballot for the epoch after Base (phase 1a of Paxos).
type Prepare struct {
	Envelope
	Base   View
	Ballot Ballot
}

// PrepareReply answers a Prepare (phase 1b). The promise is synced before it is sent.
type PrepareReply struct {
	Envelope
	Epoch          Epoch // Base's and one more
	Ballot         Ballot
	Rejection      Rejection
	Promised       Ballot // if rejected for a higher promise
	AcceptedBallot Ballot
	Accepted       *View // what the witness accepted for that epoch before
	View           *View // if a newer one is known
	Status         Status
}

// Accept asks a witness to accept a view for the epoch after Base (phase 2a).
type Accept struct {
	Envelope
	Base     View
	Ballot   Ballot // of the proposer, which may finish an earlier proposal
	Proposal View
}

// AcceptReply answers an Accept (phase 2b). What was accepted is synced before it is sent.
type AcceptReply struct {
	Envelope
	Epoch     Epoch
	Ballot    Ballot
	Rejection Rejection
	Promised  Ballot
	View      *View
}

// Install gives a new witness a view that was chosen.
type Install struct {
	Envelope
	View View
}

// InstallReply answers an Install. The view is synced before it is sent.
type InstallReply struct {
	Envelope
	Epoch     Epoch
	Ballot    Ballot
	Rejection Rejection
	View      *View
}

// SnapshotChunk is a bounded chunk of the state, given to a member that is to be a replica of the view proposed under Tag. The chunks together are the stream that encodeState writes, or encodeEntries if Since is not zero.
type SnapshotChunk struct {
	Envelope
	Tag          StateTag
	Base         *View    // the view before the proposed one; nil before the first
	Since        Position // the stream holds the entries after this position only; zero: the complete state
	Position     Position // that the complete stream leads to
	Size         int64    // of the stream, in bytes
	StreamDigest Digest   // of the stream: chunks of equal streams belong together, also under another tag
	Offset       int64    // of Data in the stream, in bytes
	Data         []byte
}

// SnapshotChunkReply answers a SnapshotChunk.
type SnapshotChunkReply struct {
	Envelope
	Tag          StateTag
	StreamDigest Digest
	Received     int64 // bytes received from the start of the stream on: the next chunk begins here
	Complete     bool  // the state is complete and synced
	Rejection    Rejection
	DiskPosition Position // of the state on this member's disk
	View         *View    // if a newer one is known
}

// Append gives a backup the next entry of a view.
type Append struct {
	Envelope
	Entry Entry // its epoch and ballot are the view's
}

// AppendReply answers an Append. The entry is synced before it is sent.
type AppendReply struct {
	Envelope
	Epoch        Epoch
	Ballot       Ballot
	Index        Index // of the entry sent
	Rejection    Rejection
	DiskPosition Position // of the state on this member's disk
	View         *View    // if a newer one is known
}

// Confirm asks a witness whether it has accepted no later view.
type Confirm struct {
	Envelope
	Epoch  Epoch
	Ballot Ballot
	Round  uint64
}

// ConfirmReply answers a Confirm.
type ConfirmReply struct {
	Envelope
	Epoch     Epoch
	Ballot    Ballot
	Round     uint64
	Rejection Rejection
	View      *View // if a newer one is known
}

// Yield asks a backup to take over from the primary that sends it.
type Yield struct {
	Envelope
	Epoch  Epoch
	Ballot Ballot
}

// YieldReply answers a Yield.
type YieldReply struct {
	Envelope
	Epoch     Epoch
	Rejection Rejection
}

// LeaveRequest asks the primary for a view in which the sender is neither replica nor witness.
type LeaveRequest struct {
	Envelope
	Status Status
}

// LeaveRequestReply answers a LeaveRequest.
type LeaveRequestReply struct {
	Envelope
	Rejection Rejection
	View      *View
}

func (Hello) isMessage()              {}
func (HelloReply) isMessage()         {}
func (Heartbeat) isMessage()          {}
func (HeartbeatReply) isMessage()     {}
func (Prepare) isMessage()            {}
func (PrepareReply) isMessage()       {}
func (Accept) isMessage()             {}
func (AcceptReply) isMessage()        {}
func (Install) isMessage()            {}
func (InstallReply) isMessage()       {}
func (SnapshotChunk) isMessage()      {}
func (SnapshotChunkReply) isMessage() {}
func (Append) isMessage()             {}
func (AppendReply) isMessage()        {}
func (Confirm) isMessage()            {}
func (ConfirmReply) isMessage()       {}
func (Yield) isMessage()              {}
func (YieldReply) isMessage()         {}
func (LeaveRequest) isMessage()       {}
func (LeaveRequestReply) isMessage()  {}
