package upstream

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/attempt"
)

// Answers of every kind, cut at every byte.

// afterwards is how a connection goes on once the scripted bytes were written.
type afterwards int

const (
	resets  afterwards = iota // it ends
	silent                    // sends no more
	tooLate                   // the rest comes when nobody waits any more
	howMany
)

// written is one answer that a replica writes, and what it is worth.
type written struct {
	name   string
	text   string
	events bool
	state  attempt.State // after all of it; Sent: it is no answer to the request
	status int
	body   string
	parts  []string // events
}

func answerText(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nAttempt-Id: a\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

const seal = "Replica-Seal: s\r\n"

func catalogue() []written {
	stream := "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n" + seal + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"b\r\nid: 1\nd: x\n\r\n1\r\n\n\r\nc\r\nid: 2\nd: y\n\n\r\n0\r\n\r\n"
	ok := answerText(200, seal, "body")
	other := strings.Replace(answerText(200, seal, "other"), "Id: a", "Id: b", 1)
	return []written{
		{name: "length", text: ok, state: attempt.Answered, status: 200, body: "body"},
		{name: "chunks", text: "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n" + seal + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", state: attempt.Answered, status: 200, body: "body"},
		{name: "refusal", text: answerText(503, "Not-Executed: 1\r\n", "full"), state: attempt.NotExecuted, status: 503, body: "full"},
		{name: "misdirected", text: answerText(421, "", ""), state: attempt.NotExecuted, status: 421},
		{name: "failure", text: answerText(500, seal, "bad"), state: attempt.Answered, status: 500, body: "bad"},
		{name: "refusal without a promise", text: answerText(503, seal, "?"), state: attempt.Answered, status: 503, body: "?"},
		{name: "stream", text: stream, events: true, state: attempt.Answered, status: 200, parts: []string{"id: 1\nd: x\n\n", "id: 2\nd: y\n\n"}},
		{name: "stream that ends inside an event", text: strings.Replace(stream, "id: 2\nd: y\n\n", "id: 2\nd: yyy", 1), events: true, state: attempt.Sent, parts: []string{"id: 1\nd: x\n\n"}},
		{name: "after 1xx", text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nAttempt-Id: a\r\n\r\n" + ok, state: attempt.Answered, status: 200, body: "body"},
		{name: "after another's", text: other + ok, state: attempt.Answered, status: 200, body: "body"},
		{name: "only another's", text: other, state: attempt.Sent},
		{name: "four of others", text: strings.Repeat(other, 4) + ok, state: attempt.Sent},
		{name: "no id", text: strings.Replace(ok, "Attempt-Id", "Attempt-Ix", 1), state: attempt.Sent},
		{name: "no seal", text: answerText(200, "", "body"), state: attempt.Sent},
		{name: "encoded", text: answerText(200, seal+"Content-Encoding: gzip\r\n", "body"), state: attempt.Sent},
		{name: "a success not executed", text: answerText(200, seal+"Not-Executed: 1\r\n", "body"), state: attempt.Sent},
		{name: "status 099", text: strings.Replace(answerText(200, seal, "body"), "200 X", "099 X", 1), state: attempt.Sent},
		{name: "status 700", text: answerText(700, seal, "body"), state: attempt.Sent},
		{name: "switched", text: "HTTP/1.1 101 X\r\nAttempt-Id: a\r\n\r\n" + ok, state: attempt.Sent},
		{name: "ends with the connection", text: "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n" + seal + "\r\nbody", state: attempt.Sent},
		{name: "no answer", text: "\x00\x01garbage\r\n\r\n", state: attempt.Sent},
	}
}

// judge compares what a caller saw with what was written of an answer.
func (w *written) judge(t *testing.T, got *result, sent int) {
	t.Helper()
	complete := sent >= len(w.text) && w.state != attempt.Sent
	require.Equal(t, complete, got.ended, "%s: %d of %d bytes", w.name, sent, len(w.text))
	for i, e := range got.events {
		require.Equal(t, w.parts[i], e, "%s: events are complete and in order", w.name)
	}
	if !complete {
		require.Equal(t, attempt.Sent, got.state, "%s: what was not answered completely may have run", w.name)
		require.Nil(t, got.body, "%s: no part of a body is given away", w.name)
		return
	}
	require.Equal(t, w.state, got.state, w.name)
	require.Equal(t, w.status, got.status, w.name)
	require.Equal(t, w.body, string(got.body), w.name)
	require.Len(t, got.events, len(w.parts), w.name)
}

// TestResponse_CutAtEveryByte_NeverComplete writes each answer up to each byte, and then resets, is
// silent or goes on too late. Whatever the first exchange left behind, the second one gets its own answer.
func TestResponse_CutAtEveryByte_NeverComplete(t *testing.T) {
	second := strings.Replace(answerText(200, seal, "second"), "Id: a", "Id: z", 1)
	for _, w := range catalogue() {
		for sent := 0; sent <= len(w.text); sent++ {
			for then := range howMany {
				synctest.Test(t, func(t *testing.T) {
					playAnswer(t, &w, sent, then, second)
				})
			}
		}
	}
}

func playAnswer(t *testing.T, w *written, sent int, then afterwards, second string) {
	first := modelRequest("a", w.events, "four")
	next := modelRequest("z", false, "")
	d := &pipes{}
	d.play = func(number int, c net.Conn) {
		if number > 1 {
			if readAll(c, requestBytes(next)) {
				_, _ = io.WriteString(c, second)
			}
			_, _ = io.Copy(io.Discard, c)
			return
		}
		if !readAll(c, requestBytes(first)) {
			return
		}
		_, _ = io.WriteString(c, w.text[:sent])
		switch {
		case then == resets:
			return
		case then == tooLate && sent < len(w.text):
			time.Sleep(modelLate)
			_, _ = io.WriteString(c, w.text[sent:])
		}
		if readAll(c, requestBytes(next)) {
			_, _ = io.WriteString(c, second)
		}
		_, _ = io.Copy(io.Discard, c)
	}
	p := NewPool("x", d, 4, &KeepAlive{}, &DialCounts{})
	defer p.Close()
	got := exchangeOnce(get(t, p), first)
	w.judge(t, &got, sent)
	for _, pause := range []time.Duration{0, 2 * modelLate} {
		time.Sleep(pause)
		synctest.Wait()
		next.AttemptID = "z"
		c := get(t, p)
		fresh := *next
		fresh.NotAfter = time.Now().Add(modelPatience)
		fresh.Deadline = fresh.NotAfter
		own := exchangeOnce(c, &fresh)
		if own.err != nil {
			require.ErrorIs(t, own.err, ErrSameAttempt, "the second round has the same id")
			own = exchangeOnce(get(t, p), &fresh)
		}
		if own.ended {
			require.Equal(t, "second", string(own.body), "%s, cut at %d: an answer of the first came to the second", w.name, sent)
		}
	}
}
