package router

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/errkind"
)

var (
	stepOK       = step{name: "ok", text: answer(200, "SEAL\r\n"), runs: true, sent: -1}
	stepFull     = step{name: "full", text: answer(503, "SEAL\r\nNot-Executed: 1\r\n"), sent: -1}
	stepBusy     = step{name: "busy", text: answer(429, "SEAL\r\nNot-Executed: 1\r\n"), sent: -1}
	stepWrong    = step{name: "misdirected", text: answer(421, ""), sent: -1}
	stepNoID     = step{name: "bad", text: answer(400, "SEAL\r\nNot-Executed: 1\r\n"), sent: -1}
	stepError    = step{name: "error", text: answer(500, "SEAL\r\n"), runs: true, sent: -1}
	stepLate     = step{name: "late", text: answer(504, "SEAL\r\n"), runs: true, sent: -1}
	stepRan503   = step{name: "503 that ran", text: answer(503, "SEAL\r\n"), runs: true, sent: -1}
	stepRan429   = step{name: "429 that ran", text: answer(429, "SEAL\r\n"), runs: true, sent: -1}
	stepRan408   = step{name: "408 that ran", text: answer(408, "SEAL\r\n"), runs: true, sent: -1}
	stepMissing  = step{name: "404 of its own", text: answer(404, "SEAL\r\n"), runs: true, sent: -1}
	stepNoSeal   = step{name: "no seal", text: answer(200, ""), runs: true, sent: -1}
	stepStream   = step{name: "stream", text: events, runs: true, sent: -1}
	stepReset    = step{name: "reset", text: answer(200, "SEAL\r\n"), runs: true, sent: 0, ending: resets}
	stepSilent   = step{name: "silent", text: answer(200, "SEAL\r\n"), runs: true, sent: 0, ending: silence}
	stepStranger = step{name: "another's answer", text: strangers, runs: true, sent: -1}
	stepTwice    = step{name: "answer twice", text: twice(answer(200, "SEAL\r\n")), runs: true, sent: -1}
	stepFullTwo  = step{name: "refusal twice", text: twice(answer(503, "Not-Executed: 1\r\n")), sent: -1}
)

// strangers is a complete response to somebody else.
func strangers(n int, r *http.Request) string {
	return strings.Replace(answer(200, "SEAL\r\n")(n, r), "Attempt-Id: ", "Attempt-Id: other-", 1)
}

func twice(f func(int, *http.Request) string) func(int, *http.Request) string {
	return func(n int, r *http.Request) string { return f(n, r) + f(n, r) }
}

// eachRoute runs a test for every kind of route.
func eachRoute(t *testing.T, f func(t *testing.T, route string)) {
	for route := range simulatedRoutes {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			f(t, route)
		})
	}
}

// TestServe_EveryPairOfReplicaResponses plays all pairs of what two replicas may do, on all kinds of routes.
func TestServe_EveryPairOfReplicaResponses(t *testing.T) {
	all := []step{stepOK, stepFull, stepBusy, stepWrong, stepNoID, stepError, stepLate, stepRan503, stepRan429, stepRan408, stepMissing,
		stepNoSeal, stepStream, stepReset, stepSilent, stepStranger, stepTwice, stepFullTwo}
	eachRoute(t, func(t *testing.T, route string) {
		for _, first := range all {
			for _, second := range all {
				play(t, route, clientTimeBudget, first.name+", "+second.name, first, second, stepFull)
			}
		}
	})
}

// TestServe_ResponseCutAtEveryByte cuts the first replica's answer after each byte, by a reset and by silence.
func TestServe_ResponseCutAtEveryByte(t *testing.T) {
	eachRoute(t, func(t *testing.T, route string) {
		for _, first := range []step{stepOK, stepFull, stepError, stepStream} {
			length := len(first.text(1, &http.Request{Header: http.Header{"Attempt-Id": {"first"}}}))
			last := stepOK
			if first.name == "stream" {
				last = stepStream
			}
			for sent := range length {
				for _, how := range []ending{resets, silence} {
					cut := first
					cut.sent, cut.ending = sent, how
					play(t, route, clientTimeBudget, fmt.Sprint(first.name, " cut at ", sent), cut, last)
				}
			}
		}
	})
}

// TestServe_RequestCutAtEveryByte cuts the connection to the first replica after each byte of the request.
func TestServe_RequestCutAtEveryByte(t *testing.T) {
	eachRoute(t, func(t *testing.T, route string) {
		for read := 1; read < 170; read++ {
			play(t, route, clientTimeBudget, fmt.Sprint("request cut at ", read), step{read: read}, stepOK)
		}
	})
}

// TestServe_RouteTimeout_EveryRequestEndsInTime plays what keeps a request waiting, with the route's timeout
// before the client's and the other way round.
func TestServe_RouteTimeout_EveryRequestEndsInTime(t *testing.T) {
	slow := stepStream
	slow.sent, slow.ending = 160, silence
	for _, timeout := range []time.Duration{300 * time.Millisecond, time.Second, 4 * time.Second} {
		for route := range simulatedRoutes {
			for _, s := range []step{stepSilent, slow, stepFull, stepReset, stepRan503} {
				play(t, route, timeout, s.name, s)
			}
			for name, dial := range map[string]func(net.Conn) (net.Conn, error){
				"refused":    func(net.Conn) (net.Conn, error) { return nil, errors.New("refused") },
				"dials hang": func(net.Conn) (net.Conn, error) { time.Sleep(500 * time.Millisecond); return nil, errors.New("hung") },
			} {
				synctest.Test(t, func(t *testing.T) {
					sim := newSimulation(t, timeout, stepOK)
					defer sim.end()
					sim.dial = dial
					c := sim.client()
					got := sim.ask(c, bufio.NewReader(c), route, "first")
					require.Empty(t, sim.judge(route, &got, max(timeout, 500*time.Millisecond)), name)
					require.Equal(t, http.StatusServiceUnavailable, got.status, name)
				})
			}
		}
	}
}

// frozen is a connection whose process is frozen between its last checks and the write.
type frozen struct {
	net.Conn
	span time.Duration
}

// SetWriteDeadline comes right before the write.
func (f *frozen) SetWriteDeadline(time.Time) error {
	time.Sleep(f.span)
	return f.Conn.SetWriteDeadline(time.Time{})
}

// TestServe_FrozenPastDeadline_SendsNothing freezes a router for 17 s while it dials, and right before the first
// byte of a send. The client has a deadline of two seconds.
func TestServe_FrozenPastDeadline_SendsNothing(t *testing.T) {
	const span = 17 * time.Second
	eachRoute(t, func(t *testing.T, route string) {
		for name, dial := range map[string]func(net.Conn) (net.Conn, error){
			"dial": func(c net.Conn) (net.Conn, error) { time.Sleep(span); return c, nil },
			"send": func(c net.Conn) (net.Conn, error) { return &frozen{c, span}, nil },
		} {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t, clientTimeBudget, stepOK)
				defer sim.end()
				sim.dial = dial
				c := sim.client()
				got := sim.ask(c, bufio.NewReader(c), route, "first")
				require.Empty(t, sim.deliveries, "%s, frozen in its %s", route, name)
				require.Equal(t, http.StatusServiceUnavailable, got.status, "nothing was sent")
			})
		}
	})
}

// TestServe_FrozenAfterChecks_ChecksAnew freezes a router for a second before its first byte: the client
// still waits, so the request goes out, with the time that is left then.
func TestServe_FrozenAfterChecks_ChecksAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, clientTimeBudget, step{name: "ok", runs: true, sent: -1, text: func(n int, r *http.Request) string {
			require.Less(t, len(r.Header.Get("Time-Budget-Ms")), 4, "less than a second is left")
			return stepOK.text(n, r)
		}})
		defer sim.end()
		first := true
		sim.dial = func(c net.Conn) (net.Conn, error) {
			if first {
				first = false
				return &frozen{c, 1100 * time.Millisecond}, nil
			}
			return c, nil
		}
		c := sim.client()
		got := sim.ask(c, bufio.NewReader(c), "once", "first")
		require.Equal(t, http.StatusOK, got.status)
		require.Len(t, sim.deliveries, 1)
	})
}

// TestServe_ClientGone_FreesReplicaAtOnce closes the client's connection while a replica is silent, while a
// connection is waited for and while none can be used.
func TestServe_ClientGone_FreesReplicaAtOnce(t *testing.T) {
	const leaves = 50 * time.Millisecond
	eachRoute(t, func(t *testing.T, route string) {
		for _, s := range []step{stepSilent, {name: "stream", text: events, runs: true, sent: 160, ending: silence}} {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t, clientTimeBudget, s)
				defer sim.end()
				c := sim.client()
				time.AfterFunc(leaves, func() { _ = c.Close() })
				at := time.Now()
				sim.ask(c, bufio.NewReader(c), route, "first")
				synctest.Wait()
				require.Len(t, sim.deliveries, 1)
				require.Equal(t, leaves, sim.deliveries[0].closed.Sub(at), "the replica's place is free at once")
				require.Zero(t, sim.router.inflight.Load())
			})
		}
	})
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, clientTimeBudget, stepOK)
		defer sim.end()
		sim.dial = func(net.Conn) (net.Conn, error) { return nil, errkind.New(errkind.UpstreamFailure, "refused") }
		c := sim.client()
		time.AfterFunc(leaves/10, func() { _ = c.Close() })
		sim.ask(c, bufio.NewReader(c), "once", "first")
		time.Sleep(2 * leaves / 5)
		synctest.Wait()
		require.Zero(t, sim.router.inflight.Load())
	})
}

// halfClosed is a client's connection whose own direction ends while it still reads.
type halfClosed struct {
	net.Conn
	in io.Reader
}

// Read gives the request and then the end.
func (h *halfClosed) Read(b []byte) (int, error) { return h.in.Read(b) }

// TestServe_ClientHalfClosed_NoEmptySuccess: the router takes it for gone; what it must not
// do is to answer 200 without a seal.
func TestServe_ClientHalfClosed_NoEmptySuccess(t *testing.T) {
	eachRoute(t, func(t *testing.T, route string) {
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(t, clientTimeBudget, stepSilent)
			defer sim.end()
			near, far := net.Pipe()
			sim.clients <- &halfClosed{far, strings.NewReader(requestText(route, "first"))}
			b, _ := io.ReadAll(near)
			require.Empty(t, string(b))
		})
	})
}

// TestServe_ResumedStream_JoinedOnlyWhereItFits lets a second run of a stream begin at every event, with and without ids.
func TestServe_ResumedStream_JoinedOnlyWhereItFits(t *testing.T) {
	from := func(first int, ids bool) func(int, *http.Request) string {
		return func(n int, r *http.Request) string {
			var b strings.Builder
			fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Attempt-Id"), sealOf(n))
			for i := first; i <= streamEvents; i++ {
				e := "d: x\n\n"
				if ids {
					e = fmt.Sprintf("id: %d\n%s", i, e)
				}
				fmt.Fprintf(&b, "%x\r\n%s\r\n", len(e), e)
			}
			return b.String() + "0\r\n\r\n"
		}
	}
	for _, ids := range []bool{true, false} {
		complete := from(1, ids)
		length := len(complete(1, &http.Request{Header: http.Header{"Attempt-Id": {"first"}}}))
		for sent := 0; sent < length; sent += 5 { // shorter than any event
			for first := 1; first <= streamEvents+1; first++ {
				synctest.Test(t, func(t *testing.T) {
					sim := newSimulation(t, clientTimeBudget, step{text: complete, runs: true, sent: sent, ending: resets}, step{text: from(first, true), runs: true, sent: -1})
					defer sim.end()
					c := sim.client()
					got := sim.ask(c, bufio.NewReader(c), "resume", "first")
					if got.silent || got.status != http.StatusOK {
						return
					}
					n := strings.Count(got.body, "d: x")
					numbered := strings.Count(got.body, "id: ")
					require.True(t, numbered == 0 || numbered == n, "events of two runs: %q", got.body)
					for i, id := range eventIDs(got.body) {
						// between the first two events the step is the replica's word
						require.True(t, i < 2 || id == eventIDs(got.body)[i-1]+1, "a gap: %q", got.body)
						require.True(t, i == 0 || id > eventIDs(got.body)[i-1], "not rising: %q", got.body)
					}
				})
			}
		}
	}
}

// eventIDs are the ids in a body, in their order.
func eventIDs(body string) (ids []int) {
	for _, line := range strings.Split(body, "\n") {
		var id int
		if n, _ := fmt.Sscanf(line, "id: %d", &id); n == 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestServe_PipelinedRequests_AnsweredInOrder sends three requests at once on one connection.
func TestServe_PipelinedRequests_AnsweredInOrder(t *testing.T) {
	eachRoute(t, func(t *testing.T, route string) {
		for _, s := range []step{stepOK, stepReset, stepFull, stepError} {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t, clientTimeBudget, s, stepOK)
				defer sim.end()
				c := sim.client()
				go func() {
					_, _ = io.WriteString(c, requestText(route, "p1")+requestText(route, "p2")+requestText(route, "p3"))
				}()
				br := bufio.NewReader(c)
				for _, id := range []string{"p1", "p2", "p3"} {
					a, err := http.ReadResponse(br, nil)
					if err != nil {
						return // a connection may end, but never answer out of turn
					}
					_, err = io.Copy(io.Discard, a.Body)
					require.NoError(t, err)
					if a.StatusCode == http.StatusOK {
						require.Equal(t, id, a.Header.Get("Attempt-Id"))
					}
				}
			})
		}
	})
}
