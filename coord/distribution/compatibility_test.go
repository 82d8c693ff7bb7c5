package distribution

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/recordedtest"
	"shaletrestle/coord/rpc"
)

// TestMessages_RecordedBytes_ReadAndWrittenAsBefore holds the form of what sources and followers of an earlier
// version send and expect.
func TestMessages_RecordedBytes_ReadAndWrittenAsBefore(t *testing.T) {
	recording := recordedtest.Open(t, "testdata/messages.txt")
	at := Position{Epoch: 0x2001, Number: 0x2002}
	self := rpc.Member{ID: 0x2003, Address: "10.0.0.1:7720", Zone: "zone-1"}
	listed := ackMessage(self, Position{0x2001, 0x2004}, 0x2002)
	listed.Text, listed.Body = followersListed, []byte("carried")
	listed.Members = []rpc.Member{{ID: 0x2005, Address: "10.0.0.2:7720", Zone: "zone-2"}}
	for name, message := range map[string]*rpc.Message{
		"change":             changeMessage(at, []byte("change")),
		"snapshot-current":   snapshotMessage(at, true, []byte("snapshot")),
		"snapshot-uncertain": snapshotMessage(at, false, []byte("snapshot")),
		"heartbeat":          stateMessage(formHeartbeat, at, true),
		"heartbeat-refused":  stateMessage(formHeartbeat, at, false),
		"wait":               stateMessage(formWait, at, true),
		"follow-relay":       subscribeMessage(self, at, roleRelay, nil),
		"follow-end":         subscribeMessage(self, at, roleEnd, nil),
		"ack":                ackMessage(self, Position{0x2001, 0x2004}, 0x2002),
		"ack-listed":         listed,
	} {
		got, err := rpc.Decode(recording.Same(name, message.Encode()))
		require.NoError(t, err, name)
		require.Equal(t, message, got, name)
		require.Equal(t, at, positionOf(got), name)
	}
}

// TestFollower_RecordedMessages_Taken feeds a follower what a source of an earlier version sent.
func TestFollower_RecordedMessages_Taken(t *testing.T) {
	recording := recordedtest.Open(t, "testdata/taken.txt")
	at := Position{Epoch: 0x2001, Number: 1}
	next := Position{Epoch: 0x2001, Number: 2}
	cursor := NewCursor(&recordedState{})
	follower := NewFollower(FollowerOptions{Sink: cursor})
	for _, x := range []struct {
		name    string
		message *rpc.Message
		taken   bool
		state   string
	}{
		{"1-wait", stateMessage(formWait, at, true), true, ""},
		{"2-snapshot", snapshotMessage(at, true, []byte("snapshot")), true, "snapshot"},
		{"3-change", changeMessage(next, []byte("+change")), true, "snapshot+change"},
		{"4-repeated", changeMessage(next, []byte("+change")), true, "snapshot+change"},
		{"5-heartbeat", stateMessage(formHeartbeat, next, true), true, "snapshot+change"},
		{"6-refused", stateMessage(formHeartbeat, next, false), false, "snapshot+change"},
		{"7-gap", changeMessage(Position{0x2001, 4}, []byte("+late")), false, "snapshot+change"},
		{"8-older", snapshotMessage(at, true, []byte("older")), false, "snapshot+change"},
	} {
		message, err := rpc.Decode(recording.Same(x.name, x.message.Encode()))
		require.NoError(t, err, x.name)
		require.Equal(t, x.taken, follower.apply(message) == nil, x.name)
		require.Equal(t, x.state, cursor.state.(*recordedState).text, x.name)
	}
	require.Equal(t, next, cursor.ResumeFrom())
}

// recordedState is a text; changes are added to its end.
type recordedState struct{ text string }

func (s *recordedState) Restore(snapshot []byte) error { s.text = string(snapshot); return nil }
func (s *recordedState) Update(change []byte) error    { s.text += string(change); return nil }
func (s *recordedState) Snapshot() []byte              { return []byte(s.text) }
