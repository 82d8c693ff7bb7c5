package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/coord/attempt"
	"shaletrestle/internal/clock"
)

// The model plays every scripted replica against the real connection and pool over in-memory connections
// on simulated time. A script decides how many bytes of a request are read, how many bytes of which
// answer are written, and how the connection goes on. What may be concluded is known from the script
// alone, never from the code under test.

const (
	modelPatience = 2 * time.Second  // a caller waits so long for an answer
	modelLate     = 10 * time.Second // a late replica writes the rest after that
)

// afterwards is how a connection goes on once the scripted bytes were written.
type afterwards int

const (
	resets  afterwards = iota // it ends
	silent                    // nothing more comes
	tooLate                   // the rest comes when nobody waits any more
	howMany
)

// pipes hands out in-memory connections whose other ends are played by a script.
type pipes struct {
	play func(number int, c net.Conn)
	made int
}

// DialReplica connects.
func (p *pipes) DialReplica(string, clock.Span) (net.Conn, error) {
	near, far := net.Pipe()
	p.made++
	number := p.made
	go func() {
		defer func() { _ = far.Close() }()
		p.play(number, far)
	}()
	return near, nil
}

func modelRequest(id string, events bool, body string) *Request {
	end := time.Now().Add(modelPatience)
	return &Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{HeadID: {id}, "User-Agent": {""}},
		Body: []byte(body), ID: id, Events: events, NotAfter: end, Deadline: end,
	}
}

// result is what a caller saw of one exchange.
type result struct {
	state  attempt.State
	status int
	body   []byte
	events []string
	ended  bool
	fail   *Part
	err    error
}

// exchangeOnce sends a request and takes all parts of its answer, at most for modelPatience.
func exchangeOnce(c *Connection, r *Request) (out result) {
	answer, state, err := c.Send(r)
	out.state, out.err = state, err
	if err != nil {
		return out
	}
	defer answer.Drop()
	late := time.NewTimer(modelPatience)
	defer late.Stop()
	for {
		p, ok := answer.Next(late.C, nil)
		if !ok {
			return out
		}
		switch p.Kind {
		case Head:
			out.status = p.Status
		case Body:
			out.body = p.Bytes
		case Event:
			out.events = append(out.events, string(p.Bytes))
		case End:
			out.ended, out.state = true, p.State
			return out
		case Fail:
			out.fail = &p
			return out
		}
	}
}

func get(t *testing.T, p *Pool) *Connection {
	c, err := p.Get("o", time.Second, false, nil)
	require.NoError(t, err)
	return c
}

// requestBytes is how long a request is on the wire.
func requestBytes(r *Request) int {
	var b bytes.Buffer
	_ = r.http().Write(&b)
	return b.Len()
}

func readAll(c net.Conn, n int) bool {
	_, err := io.ReadFull(c, make([]byte, n))
	return err == nil
}

// TestARequestCutAtEveryByteIsKnownForWhatItIs cuts the connection after each byte of a request, and with
// a body beyond one write.
func TestARequestCutAtEveryByteIsKnownForWhatItIs(t *testing.T) {
	for _, body := range []string{"", "four", strings.Repeat("b", 9000)} {
		n := requestBytes(modelRequest("a", false, body))
		for k := 0; k <= n; k += max(1, (k/1000)*97) {
			synctest.Test(t, func(t *testing.T) {
				d := &pipes{play: func(_ int, c net.Conn) { readAll(c, k) }}
				p := NewPool("x", d, 2, &Keep{}, &Made{})
				defer p.Shut()
				got := exchangeOnce(get(t, p), modelRequest("a", false, body))
				require.False(t, got.ended)
				switch {
				case k == 0:
					require.Equal(t, attempt.NotSent, got.state, "no byte left")
				case k < n:
					require.Equal(t, attempt.PartlySent, got.state, "byte %d of %d", k, n)
				default:
					require.Equal(t, attempt.Sent, got.state)
					require.True(t, got.fail.Reset)
				}
				require.Equal(t, k > 0, got.state.MayHaveRun())
				synctest.Wait()
				require.Zero(t, openOf(p), "a connection that failed is closed")
			})
		}
	}
}

// written is one answer that a replica writes, and what it is worth.
type written struct {
	name   string
	text   string
	events bool
	state  attempt.State // after the whole of it; Sent: it is no answer to the request
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
	whole := sent >= len(w.text) && w.state != attempt.Sent
	require.Equal(t, whole, got.ended, "%s: %d of %d bytes", w.name, sent, len(w.text))
	for i, e := range got.events {
		require.Equal(t, w.parts[i], e, "%s: events come whole and in order", w.name)
	}
	if !whole {
		require.Equal(t, attempt.Sent, got.state, "%s: what was not answered whole may have run", w.name)
		require.Nil(t, got.body, "%s: no part of a body is given away", w.name)
		return
	}
	require.Equal(t, w.state, got.state, w.name)
	require.Equal(t, w.status, got.status, w.name)
	require.Equal(t, w.body, string(got.body), w.name)
	require.Len(t, got.events, len(w.parts), w.name)
}

// TestAnAnswerCutAtEveryByteIsNeverTakenForWhole writes each answer up to each byte, and then resets, is
// silent or goes on too late. Whatever the first exchange left behind, the second one gets its own answer.
func TestAnAnswerCutAtEveryByteIsNeverTakenForWhole(t *testing.T) {
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
	p := NewPool("x", d, 4, &Keep{}, &Made{})
	defer p.Shut()
	got := exchangeOnce(get(t, p), first)
	w.judge(t, &got, sent)
	for _, pause := range []time.Duration{0, 2 * modelLate} {
		time.Sleep(pause)
		synctest.Wait()
		next.ID = "z"
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

// TestSurplusBytesNeverAnswerTheNextRequest lets a replica send every beginning of an old answer again: with
// the answer, while the connection is idle, and after the next request came.
func TestSurplusBytesNeverAnswerTheNextRequest(t *testing.T) {
	ok := answerText(200, seal, "body")
	refusal := answerText(503, "Not-Executed: 1\r\n", "full")
	for _, old := range []string{ok, refusal} {
		for _, same := range []bool{false, true} {
			for when := range 3 {
				for n := 1; n <= len(old); n++ {
					synctest.Test(t, func(t *testing.T) { playSurplus(t, old, old[:n], when, same) })
				}
			}
		}
	}
}

func playSurplus(t *testing.T, old, surplus string, when int, same bool) {
	id := "z"
	if same {
		id = "a"
	}
	first, next := modelRequest("a", false, ""), modelRequest(id, false, "")
	second := strings.Replace(answerText(200, seal, "second"), "Id: a", "Id: "+id, 1)
	d := &pipes{}
	var runs atomic.Int64
	d.play = func(number int, c net.Conn) {
		if number == 1 {
			if !readAll(c, requestBytes(first)) {
				return
			}
			text := old
			if when == 0 {
				text += surplus
			}
			_, _ = io.WriteString(c, text)
			if when == 1 {
				time.Sleep(time.Second)
				_, _ = io.WriteString(c, surplus)
			}
		}
		if !readAll(c, requestBytes(next)) {
			return
		}
		runs.Add(1)
		if when == 2 && number == 1 {
			_, _ = io.WriteString(c, surplus)
		}
		_, _ = io.WriteString(c, second)
		_, _ = io.Copy(io.Discard, c)
	}
	p := NewPool("x", d, 4, &Keep{}, &Made{})
	defer p.Shut()
	require.True(t, exchangeOnceEnded(t, p, first))
	time.Sleep(2 * time.Second)
	synctest.Wait()
	next.NotAfter = time.Now().Add(modelPatience)
	next.Deadline = next.NotAfter
	own := exchangeOnce(get(t, p), next)
	if own.err != nil {
		require.Equal(t, attempt.NotSent, own.state)
		own = exchangeOnce(get(t, p), next)
	}
	synctest.Wait()
	require.LessOrEqual(t, runs.Load(), int64(1))
	if own.ended {
		require.Equal(t, "second", string(own.body), "a surplus answer was taken for this one")
	} else {
		require.True(t, own.state.MayHaveRun())
	}
}

func exchangeOnceEnded(t *testing.T, p *Pool, r *Request) bool {
	got := exchangeOnce(get(t, p), r)
	return got.ended
}

// TestAnEarlyAnswerFreesNoConnectionThatIsStillWritten lets a replica answer before it has read the body.
func TestAnEarlyAnswerFreesNoConnectionThatIsStillWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := strings.Repeat("b", 20000)
		first := modelRequest("a", false, body)
		n := requestBytes(first)
		d := &pipes{play: func(_ int, c net.Conn) {
			readAll(c, n-len(body))
			_, _ = io.WriteString(c, answerText(503, "Not-Executed: 1\r\n", "full"))
			time.Sleep(time.Second)
			readAll(c, len(body))
			_, _ = io.Copy(io.Discard, c)
		}}
		p := NewPool("x", d, 1, &Keep{}, &Made{})
		defer p.Shut()
		got := make(chan result, 1)
		c := get(t, p)
		go func() { got <- exchangeOnce(c, first) }()
		time.Sleep(time.Second / 2)
		synctest.Wait()
		require.Zero(t, freeOf(p), "its request is still being written")
		require.Equal(t, attempt.NotExecuted, (<-got).state)
		require.Equal(t, 1, freeOf(p))
	})
}

func freeOf(p *Pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.free)
}

func openOf(p *Pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// stalled is a connection whose owner is frozen between its last look at the clock outside and the write.
type stalled struct {
	net.Conn
	freeze time.Duration
}

// SetWriteDeadline comes right before the write.
func (s *stalled) SetWriteDeadline(at time.Time) error {
	time.Sleep(s.freeze)
	return s.Conn.SetWriteDeadline(time.Time{})
}

type stalledDialer struct {
	pipes
	freeze time.Duration
}

// DialReplica connects.
func (s *stalledDialer) DialReplica(addr string, d clock.Span) (net.Conn, error) {
	c, err := s.pipes.DialReplica(addr, d)
	return &stalled{Conn: c, freeze: s.freeze}, err
}

// TestWhatWakesLateSendsNothing freezes the sender for 17 s right before its first byte.
func TestWhatWakesLateSendsNothing(t *testing.T) {
	for _, freeze := range []time.Duration{0, modelPatience - 1, modelPatience, 17 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			var came atomic.Int64
			d := &stalledDialer{freeze: freeze}
			d.play = func(_ int, c net.Conn) {
				n, _ := c.Read(make([]byte, 4096))
				came.Add(int64(n))
			}
			p := NewPool("x", d, 1, &Keep{}, &Made{})
			defer p.Shut()
			got := exchangeOnce(get(t, p), modelRequest("a", false, ""))
			synctest.Wait()
			if freeze < modelPatience {
				require.Positive(t, came.Load())
				return
			}
			require.Zero(t, came.Load(), "frozen for %s", freeze)
			require.Equal(t, attempt.NotSent, got.state)
			require.ErrorIs(t, got.err, ErrTooLate)
		})
	}
}

// TestACloseNeverOvertakesAWholeAnswer takes the pool's interest away at every step of an answer.
func TestACloseNeverOvertakesAWholeAnswer(t *testing.T) {
	ok := answerText(200, seal, "body")
	for _, shut := range []bool{false, true} {
		for n := range len(ok) {
			synctest.Test(t, func(t *testing.T) {
				first := modelRequest("a", false, "")
				d := &pipes{}
				p := NewPool("x", d, 1, &Keep{}, &Made{})
				d.play = func(_ int, c net.Conn) {
					readAll(c, requestBytes(first))
					_, _ = io.WriteString(c, ok[:n])
					if shut {
						p.Shut()
					} else {
						p.Limit(0)
					}
					_, _ = io.WriteString(c, ok[n:])
					_, _ = io.Copy(io.Discard, c)
				}
				require.True(t, exchangeOnceEnded(t, p, first))
				synctest.Wait()
				require.Zero(t, openOf(p))
			})
		}
	}
}

// TestAWaitForAConnectionEndsWithItsClient frees what a gone client waited for.
func TestAWaitForAConnectionEndsWithItsClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool("x", &pipes{play: func(_ int, c net.Conn) { _, _ = io.Copy(io.Discard, c) }}, 1, &Keep{}, &Made{})
		defer p.Shut()
		defer get(t, p).Kill()
		quit := make(chan struct{})
		time.AfterFunc(time.Second, func() { close(quit) })
		at := time.Now()
		_, err := p.Get("o", time.Hour, false, quit)
		require.ErrorIs(t, err, ErrNotWanted)
		require.Equal(t, time.Second, time.Since(at))
	})
}
