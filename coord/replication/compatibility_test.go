package replication

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/recordedtest"
	"shaletrestle/coord/replication/core"
)

// sequence gives values that differ from all others it gave.
type sequence struct{ last uint64 }

func (n *sequence) next() uint64 {
	n.last++
	return 0x5000 + n.last
}

func (n *sequence) member() core.Member {
	id := n.next()
	return core.Member{ID: core.MemberID(id), Address: fmt.Sprintf("10.0.0.1:%d", id), Zone: fmt.Sprint("zone-", id)}
}

func (n *sequence) position() core.Position {
	return core.Position{Index: core.Index(n.next()), Digest: core.Digest(n.next())}
}

func (n *sequence) view() core.View {
	return core.View{
		Epoch:     core.Epoch(n.next()),
		Ballot:    core.Ballot(n.next()),
		Witnesses: []core.Member{n.member(), n.member()},
		Primary:   n.member(),
		Backups:   []core.Member{n.member(), n.member()},
		Base:      n.position(),
	}
}

func (n *sequence) viewPointer() *core.View {
	view := n.view()
	return &view
}

func (n *sequence) envelope() core.Envelope {
	return core.Envelope{From: n.member(), To: core.MemberID(n.next()), ToAddress: fmt.Sprint("10.0.0.2:", n.next())}
}

// status sets one flag of a status.
func (n *sequence) status(flag int) core.Status {
	return core.Status{Writable: flag == 0, Relay: flag == 1, Leaving: flag == 2, BootstrapDisk: flag == 3, Position: n.position()}
}

func (n *sequence) tag() core.StateTag {
	return core.StateTag{Epoch: core.Epoch(n.next()), Ballot: core.Ballot(n.next())}
}

func (n *sequence) epoch() core.Epoch   { return core.Epoch(n.next()) }
func (n *sequence) ballot() core.Ballot { return core.Ballot(n.next()) }

// recordedMessages are messages of each type with all their fields set.
func recordedMessages() []core.Message {
	n := &sequence{}
	entry := core.Entry{Index: core.Index(n.next()), Epoch: n.epoch(), Ballot: n.ballot(), Previous: core.Digest(n.next()), Data: []byte("entry")}
	return []core.Message{
		core.Hello{Envelope: n.envelope(), Status: n.status(0), View: n.viewPointer()},
		core.HelloReply{Envelope: n.envelope(), Status: n.status(1), View: n.viewPointer(), Members: []core.Member{n.member(), n.member()}},
		core.Heartbeat{Envelope: n.envelope(), View: n.viewPointer(), Members: []core.Member{n.member()}},
		core.HeartbeatReply{Envelope: n.envelope(), Epoch: n.epoch(), Joined: true, Status: n.status(2), View: n.viewPointer()},
		core.Prepare{Envelope: n.envelope(), Base: n.view(), Ballot: n.ballot()},
		core.PrepareReply{
			Envelope: n.envelope(), Epoch: n.epoch(), Ballot: n.ballot(), Rejection: core.HigherPromise, Promised: n.ballot(),
			AcceptedBallot: n.ballot(), Accepted: n.viewPointer(), View: n.viewPointer(), Status: n.status(3),
		},
		core.Accept{Envelope: n.envelope(), Base: n.view(), Ballot: n.ballot(), Proposal: n.view()},
		core.AcceptReply{Envelope: n.envelope(), Epoch: n.epoch(), Ballot: n.ballot(), Rejection: core.NewerView, Promised: n.ballot(), View: n.viewPointer()},
		core.Install{Envelope: n.envelope(), View: n.view()},
		core.InstallReply{Envelope: n.envelope(), Epoch: n.epoch(), Ballot: n.ballot(), Rejection: core.DiskFailed, View: n.viewPointer()},
		core.SnapshotChunk{
			Envelope: n.envelope(), Tag: n.tag(), Base: n.viewPointer(), Since: n.position(), Position: n.position(),
			Size: int64(n.next()), StreamDigest: core.Digest(n.next()), Offset: int64(n.next()), Data: []byte("part"),
		},
		core.SnapshotChunkReply{
			Envelope: n.envelope(), Tag: n.tag(), StreamDigest: core.Digest(n.next()), Received: int64(n.next()), Complete: true,
			Rejection: core.Busy, DiskPosition: n.position(), View: n.viewPointer(),
		},
		core.Append{Envelope: n.envelope(), Entry: entry},
		core.AppendReply{
			Envelope: n.envelope(), Epoch: n.epoch(), Ballot: n.ballot(), Index: core.Index(n.next()), Rejection: core.DivergedHistory,
			DiskPosition: n.position(), View: n.viewPointer(),
		},
		core.Confirm{Envelope: n.envelope(), Epoch: n.epoch(), Ballot: n.ballot(), Round: n.next()},
		core.ConfirmReply{Envelope: n.envelope(), Epoch: n.epoch(), Ballot: n.ballot(), Round: n.next(), Rejection: core.UnknownView, View: n.viewPointer()},
		core.Yield{Envelope: n.envelope(), Epoch: n.epoch(), Ballot: n.ballot()},
		core.YieldReply{Envelope: n.envelope(), Epoch: n.epoch(), Rejection: core.Unavailable},
		core.LeaveRequest{Envelope: n.envelope(), Status: n.status(0)},
		core.LeaveRequestReply{Envelope: n.envelope(), Rejection: core.NoReplacement, View: n.viewPointer()},
	}
}

// TestMessage_RecordedBytes_ReadAndWrittenAsBefore pins the form of the messages that running members of an earlier
// version send and expect.
func TestMessage_RecordedBytes_ReadAndWrittenAsBefore(t *testing.T) {
	recording := recordedtest.Open(t, "testdata/messages.txt")
	types := map[string]bool{}
	for i, message := range recordedMessages() {
		got, err := decodeMessage(recording.Same(fmt.Sprintf("%02d", i), encodeMessage(message)))
		require.NoError(t, err, "%T", message)
		require.Equal(t, message, got)
		types[fmt.Sprintf("%T", message)] = true
	}
	for _, like := range everyMessage {
		require.True(t, types[fmt.Sprintf("%T", like)], "%T", like)
		// The optional parts left out.
		bare := reflect.New(reflect.TypeOf(like)).Elem().Interface().(core.Message)
		name := fmt.Sprintf("bare-%02d", bodyNumber(bare))
		got, err := decodeMessage(recording.Same(name, encodeMessage(bare)))
		require.NoError(t, err, name)
		require.Equal(t, bare, got)
	}
}

// bodyNumber is the number of a message's body on the wire.
func bodyNumber(message core.Message) int { return int(encodeBody(message).Type) }

// TestRejection_RecordedNumbers_Unchanged pins the numbers that stand for rejections in messages.
func TestRejection_RecordedNumbers_Unchanged(t *testing.T) {
	for number, rejection := range []core.Rejection{
		core.Granted, core.WrongDisk, core.NoDisk, core.NewerView, core.UnknownView, core.NotJoined, core.MissingEntries,
		core.DuplicateEntry, core.DivergedHistory, core.HigherPromise, core.NotWitness, core.Unavailable, core.Busy, core.DiskFailed,
		core.NotPrimary, core.NoReplacement,
	} {
		require.Equal(t, number, int(rejection), rejection.String())
	}
}
