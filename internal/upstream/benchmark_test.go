package upstream

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// benchmarkResponse has one connection answered again and again with a text.
func benchmarkResponse(b *testing.B, text string, events bool) {
	pool := NewPool("x", &pipes{play: func(_ int, connection net.Conn) {
		length := requestBytes(modelRequest("0000000000", events, ""))
		for readAll(connection, length) {
			if _, err := connection.Write([]byte(text)); err != nil {
				return
			}
		}
	}}, 2, &KeepAlive{}, &DialCounts{})
	pool.BoundMemory(NewResponseMemory(64<<20), "r")
	defer pool.Close()
	ids := []string{"0000000001", "0000000002"}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		pool.pacer.at = time.Time{} // the cost is measured, not the pace
		connection, err := pool.Get(b.Context(), GetOptions{Owner: "o", Timeout: time.Second})
		if err != nil {
			b.Fatal(err)
		}
		request := modelRequest("0000000000", events, "")
		request.AttemptID = "a"
		connection.lastID = ids[i%2] // the texts all bear one id
		got := exchangeOnce(connection, request)
		if !got.ended {
			b.Fatal(got.fail)
		}
	}
}

func BenchmarkResponse_Small(b *testing.B) {
	benchmarkResponse(b, answerText(http.StatusOK, seal, strings.Repeat("x", 800)), false)
}

func BenchmarkResponse_200KB(b *testing.B) {
	benchmarkResponse(b, answerText(http.StatusOK, seal, strings.Repeat("x", 200<<10)), false)
}

func BenchmarkResponse_64Events(b *testing.B) {
	text := eventsBenchHead
	for i := range 64 {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, strings.Repeat("t", 60))
		text += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	}
	benchmarkResponse(b, text+"0\r\n\r\n", true)
}

const eventsBenchHead = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n" + seal + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
