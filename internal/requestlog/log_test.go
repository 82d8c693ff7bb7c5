package requestlog

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/attempt"
)

// somewhere is the position of every view.
func somewhere() UpdatePosition { return UpdatePosition{Epoch: 2, Number: 9} }

func TestLog_FailedRequest_IsExplainedByItsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		log := New(slog.New(slog.NewTextHandler(&lines, nil)), somewhere)
		arrived := time.Now()
		var trail Trail
		trail.Begin("replica-1")
		time.Sleep(2 * time.Millisecond)
		trail.Connected()
		time.Sleep(10 * time.Millisecond)
		trail.End(attempt.Sent, "silence")
		trail.End(attempt.Answered, "a later end does not count")
		trail.Waited(25 * time.Millisecond)
		trail.Begin("replica-2")
		trail.End(attempt.NotSent, "dial")
		trail.Finish(UpstreamFailure, "replicas failed")
		trail.Finish(Served, "a later cause does not count")
		log.Finish(&Request{AttemptID: "a1", Route: "r", ArrivedAt: arrived, Revision: 7}, &trail)

		page := log.Page("a1")
		require.Len(t, page.Failed, 1)
		require.Empty(t, page.Slow)
		record := page.Failed[0]
		require.Equal(t, "upstream_failure", record.Cause)
		require.Equal(t, "replicas failed", record.Detail)
		require.Equal(t, 25.0, record.NoReplicaMs)
		require.Equal(t, uint64(2), record.UpdateEpoch)
		require.Equal(t, uint64(9), record.UpdateNumber)
		require.Equal(t, []AttemptRecord{
			{Replica: "replica-1", ConnectMs: 2, EndMs: 12, State: "sent", End: "silence"},
			{Replica: "replica-2", AtMs: 12, EndMs: 12, State: "not sent", End: "dial"},
		}, record.Attempts)
		require.Empty(t, log.Page("another").Failed)
		require.Contains(t, lines.String(), `msg="request failed" part=requests attempt_id=a1 route=r`)
		require.Contains(t, lines.String(), `attempts="replica-1 0-12ms sent: silence; replica-2 12-12ms not sent: dial"`)
	})
}

func TestLog_ManyFailures_NewestKeptAndLinesSampled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		log := New(slog.New(slog.NewTextHandler(&lines, nil)), somewhere)
		for number := range 3 * recordsKept {
			var trail Trail
			trail.Finish(Overloaded, "")
			log.Finish(&Request{AttemptID: fmt.Sprint(number), ArrivedAt: time.Now()}, &trail)
		}
		page := log.Page("")
		require.Len(t, page.Failed, recordsKept)
		require.Equal(t, fmt.Sprint(3*recordsKept-1), page.Failed[0].AttemptID)
		require.Equal(t, fmt.Sprint(2*recordsKept), page.Failed[recordsKept-1].AttemptID)
		require.Equal(t, 1, strings.Count(lines.String(), "\n"))
		time.Sleep(failedLogInterval)
		var trail Trail
		trail.Finish(Overloaded, "")
		log.Finish(&Request{ArrivedAt: time.Now()}, &trail)
		require.Contains(t, lines.String(), fmt.Sprintf("suppressed=%d", 3*recordsKept-1))
	})
}

func TestLog_Causes_OnlyFailedAndSlowAreRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		log := New(slog.New(slog.NewTextHandler(&lines, nil)), somewhere)
		finish := func(id string, cause Cause, firstByte time.Duration) {
			var trail Trail
			trail.Finish(cause, "")
			arrived := time.Now()
			log.Finish(&Request{AttemptID: id, ArrivedAt: arrived, FirstByteAt: arrived.Add(firstByte), LatencyTarget: time.Second}, &trail)
		}
		finish("in time", Served, time.Second)
		finish("late", Served, time.Second+1)
		finish("unknown", NoRoute, 0)
		finish("left", ClientGone, 0)
		page := log.Page("")
		require.Len(t, page.Slow, 1)
		require.Equal(t, "late", page.Slow[0].AttemptID)
		require.Len(t, page.Failed, 1)
		require.Equal(t, "left", page.Failed[0].AttemptID)
		require.NotContains(t, lines.String(), "left", "a client that leaves is no failure of ours")
	})
}

func TestTrail_MoreAttemptsThanKept_AreCounted(t *testing.T) {
	var trail Trail
	for number := range trailLength + 2 {
		trail.Begin(fmt.Sprint(number))
		trail.Connected()
		trail.Answered(200)
		trail.End(attempt.Answered, "")
	}
	record := newRecord(&Request{}, &trail, UpdatePosition{}, time.Now())
	require.Equal(t, trailLength+2, record.AttemptCount)
	require.Len(t, record.Attempts, trailLength)
	require.Equal(t, fmt.Sprint(trailLength-1), record.Attempts[trailLength-1].Replica)
}

func BenchmarkFinish_Served(b *testing.B) {
	log := New(slog.New(slog.DiscardHandler), somewhere)
	arrived := time.Now()
	for b.Loop() {
		var trail Trail
		trail.Begin("replica-1")
		trail.Connected()
		trail.Answered(200)
		trail.End(attempt.Answered, "answered")
		trail.Finish(Served, "")
		log.Finish(&Request{ArrivedAt: arrived, FirstByteAt: arrived, LatencyTarget: time.Second}, &trail)
	}
}
