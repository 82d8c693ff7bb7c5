package lease

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/recordedtest"
	"shaletrestle/coord/rpc"
)

// recordingCaller records requests and answers them as one grantor does.
type recordingCaller struct {
	grantor  *Grantor
	requests []*rpc.Message
	answers  []*rpc.Message
}

func (r *recordingCaller) Call(_ string, message *rpc.Message, _ time.Duration) (*rpc.Message, error) {
	message.Call = uint64(len(r.requests) + 1)
	r.requests = append(r.requests, message)
	answer := r.grantor.Handle(message)
	r.answers = append(r.answers, answer)
	if answer == nil {
		return nil, errors.New("no answer")
	}
	return answer, nil
}

// TestLease_RecordedBytes_AskedAndAnsweredAsBefore holds the form of lease requests and answers between processes of
// an earlier version and this one: what a holder sends, and what a grantor makes of it.
func TestLease_RecordedBytes_AskedAndAnsweredAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recording := recordedtest.Open(t, "testdata/messages.txt")
		r := &recordingCaller{grantor: NewGrantor()}
		self := rpc.Member{ID: 0x3001, Address: "10.0.0.1:7720", Zone: "zone-1"}
		grantors := func() []rpc.Member { return []rpc.Member{{ID: 0x3002, Address: "10.0.0.2:7720", Zone: "zone-2"}} }
		wanted := true
		holder := NewHolder(HolderOptions{
			Duty:     "list",
			Self:     self,
			Caller:   r,
			Grantors: grantors,
			Wanted:   func() bool { return wanted },
		})
		holder.incarnation = 0x3003 // drawn at random otherwise
		require.False(t, holder.Renew(), "a grantor that has just started grants nothing")
		time.Sleep(Duration)
		require.True(t, holder.Renew())
		wanted = false
		require.False(t, holder.Renew(), "released")
		names := []string{"too-early", "renewal", "give-back"}
		require.Len(t, r.requests, len(names))
		second := &Grantor{started: r.grantor.started, grants: map[string]grant{}}
		for i, name := range names {
			request, err := rpc.Decode(recording.Same(name, r.requests[i].Encode()))
			require.NoError(t, err)
			require.Equal(t, r.requests[i], request)
			answer := recording.Same(name+"-answer", r.answers[i].Encode())
			if i > 0 { // the first came before the grantor was old enough
				require.Equal(t, answer, second.Handle(request).Encode(), name)
				require.Len(t, second.grants, len(names)-1-i, name)
			}
		}
	})
}
