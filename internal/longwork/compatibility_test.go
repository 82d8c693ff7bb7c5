package longwork

import (
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/handoff"
	"shaletrestle/coord/recordedtest"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/settings"
)

// TestJob_RecordedBytes_ReadAndWrittenAsBefore pins the form of the messages on long work between nodes of an earlier
// version and this one.
func TestJob_RecordedBytes_ReadAndWrittenAsBefore(t *testing.T) {
	recording := recordedtest.Open(t, "testdata/jobs.txt")
	const self = "10.0.0.1:7722"
	for kind := handoff.Offer; kind <= handoff.Unknown; kind++ {
		message := handoff.Message{
			Kind:        kind,
			Peer:        self,
			Owner:       0x7001,
			Job:         0x7002,
			OfferNumber: 0x7003,
			Ticket:      handoff.Ticket{Incarnation: 0x7004, Number: 0x7005},
			Number:      0x7006,
			Attempts:    2,
			Body:        []byte("body"),
		}
		encoded := recording.Same(kind.String(), encodeMessage(self, message).Encode())
		wire, err := rpc.Decode(encoded)
		require.NoError(t, err)
		require.Equal(t, rpc.Job, wire.Kind)
		require.Equal(t, message, decodeMessage(wire))
	}
}

// TestResponseHead_RecordedBytes_ReadAndWrittenAsBefore pins the form of the first part of a job's response.
func TestResponseHead_RecordedBytes_ReadAndWrittenAsBefore(t *testing.T) {
	recording := recordedtest.Open(t, "testdata/heads.txt")
	head := responseHead{Status: 201, Header: http.Header{"X-A": {"1", "2"}, "X-B": {"3"}}, Events: true}
	written, err := json.Marshal(head)
	require.NoError(t, err)
	var got responseHead
	require.NoError(t, json.Unmarshal(recording.Same("events", written), &got))
	require.Equal(t, head, got)
}

// TestPing_RecordedAnswers_CapacityReadAndWrittenAsBefore pins what long work adds to the answers to pings.
func TestPing_RecordedAnswers_CapacityReadAndWrittenAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recording := recordedtest.Open(t, "../router/testdata/pings.txt")
		env := &settings.Settings{Zone: "a", LongWork: settings.LongWork{Enabled: true, MaxAcceptedJobs: 3}}
		c := newTestCoordinator(t, &testRouter{settings: env})
		const node = "10.0.0.9:7722"
		for _, name := range []string{"well", "slow"} {
			ping, err := rpc.Decode(recording.Bytes(name))
			require.NoError(t, err)
			answer := ping.Reply(true)
			read, err := rpc.Decode(recording.Bytes(name + "-answer"))
			require.NoError(t, err)
			answer.Text = read.Text
			recording.Same(name+"-answer", c.AnswerPing(answer).Encode())
			c.RecordPeer(node, read)
			require.Equal(t, peer{capacity: 3, zone: "a", at: time.Now()}, c.peers[node])
		}
	})
}
