package upstream

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const eventsHead = okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// takeFor takes the parts of an answer for a time, and counts its events and the bytes of its blocks.
func takeFor(connection *Connection, request *Request, duration time.Duration, events, bytes *atomic.Int64) {
	answer, _, err := connection.Send(request)
	if err != nil {
		return // then nothing is counted
	}
	defer answer.Close()
	late := time.NewTimer(duration)
	defer late.Stop()
	for {
		p, ok := answer.Next(context.Background(), late.C)
		if !ok || p.Kind == PartEnd || p.Kind == PartFailure {
			return
		}
		if p.Kind == PartEvent {
			events.Add(1)
		}
		bytes.Add(int64(len(p.Bytes)))
	}
}

// playPaced has streams of one replica answered without end for some seconds.
func playPaced(t *testing.T, e *endless, duration time.Duration) (events, bytes int64) {
	t.Helper()
	const callers = 10
	var eventCount, byteCount atomic.Int64
	pool := NewPool("x", &pipes{play: func(n int, c net.Conn) { (&endless{beginning: e.beginning, piece: e.piece}).play(n, c) }}, 4*callers, &KeepAlive{}, &DialCounts{})
	defer pool.Close()
	for range callers {
		connection := get(t, pool)
		go takeFor(connection, modelRequest("a", true, ""), duration, &eventCount, &byteCount)
	}
	time.Sleep(2 * duration)
	synctest.Wait()
	return eventCount.Load(), byteCount.Load()
}

// TestResponse_EventsOfOneReplicaWithoutEnd_CostBoundedWork guards against a replica whose events take the processor from others.
func TestResponse_EventsOfOneReplicaWithoutEnd_CostBoundedWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds = 3
		events, _ := playPaced(t, &endless{beginning: eventsHead, piece: "10\r\nid: 1\ndata: xx\n\n\r\n"}, seconds*time.Second)
		require.NotZero(t, events)
		require.LessOrEqual(t, events, int64(workBurst+seconds*workPerSecond+10*partsAhead))
	})
}

// TestDeliverPlain_SmallChunksWithoutEnd_CostBoundedWork guards against a replica whose framing takes the processor from others.
func TestDeliverPlain_SmallChunksWithoutEnd_CostBoundedWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds, chunkBytes, framingOfChunk = 1, 8, 5
		head := okHead + "Transfer-Encoding: chunked\r\n\r\n"
		_, bytes := playPaced(t, &endless{beginning: head, piece: "8\r\n" + strings.Repeat("x", chunkBytes) + "\r\n"}, seconds*time.Second)
		require.NotZero(t, bytes)
		framing := bytes / chunkBytes * framingOfChunk
		require.LessOrEqual(t, framing, int64((workBurst+seconds*workPerSecond)*workFramingBytes*5/4))
	})
}

func TestResponse_MoreEventsThanTheRequestAllows_Fails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		each := endless{beginning: eventsHead, piece: "10\r\nid: 1\ndata: xx\n\n\r\n"}
		pool := NewPool("x", &pipes{play: each.play}, 2, &KeepAlive{}, &DialCounts{})
		defer pool.Close()
		request := modelRequest("a", true, "")
		request.MaxEvents = 20
		got := exchangeOnce(get(t, pool), request)
		require.Len(t, got.events, 20)
		require.NotNil(t, got.fail)
		require.Equal(t, ReasonTooManyEvents, got.fail.Reason)
		synctest.Wait()
	})
}

func TestPacer_UsualStream_NeverWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p pacer
		for range 10 * workPerSecond {
			time.Sleep(2 * time.Second / workPerSecond)
			require.Zero(t, p.take(2))
		}
	})
}
