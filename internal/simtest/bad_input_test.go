package simtest

import (
	"bufio"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// sendRaw sends bytes to a router and gives the answer's status; 0 is a close without one.
func sendRaw(t *testing.T, sim *Simulation, text string, slow time.Duration) int {
	t.Helper()
	c, err := sim.Network.Host("10.8.0.3").Dial(sim.processes["router-1"].ip+":80", time.Second)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	for i, part := range strings.Split(text, "|") {
		if i > 0 {
			time.Sleep(slow)
		}
		if _, err := c.Write([]byte(part)); err != nil {
			break
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode
}

// newSmallSimulation is a simulation with one router that serves.
func newSmallSimulation(t *testing.T) (*Simulation, *Script) {
	t.Helper()
	sim := NewSimulation(slog.New(slog.DiscardHandler))
	s := &Script{sim: sim, failed: map[int]int{}}
	for _, l := range []string{"fleet controllers=3 routers=1", "replica r1 pool=svc zone=a", "replica m1 pool=lm zone=a", "wait 1s", "put 5 base=0 expect=200", "wait 1500ms"} {
		f := strings.Fields(l)
		require.NoError(t, s.run(f[0], f[1:]), l)
	}
	return sim, s
}

func TestRouter_BadInput_NeverReachesReplica(t *testing.T) {
	head := "POST /n/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: bad\r\nTime-Budget-Ms: 2000\r\n"
	for _, x := range []struct {
		name, text string
		slow       time.Duration
		want       []int
	}{
		{"length and chunks", head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", 0, []int{400}},
		{"two lengths", head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde", 0, []int{400}},
		{"odd coding", head + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n", 0, []int{400, 501}},
		{"space before colon", head + "X-A : b\r\n\r\n", 0, []int{400}},
		{"folded head", head + "X-A: b\r\n c\r\nContent-Length : 3\r\n\r\nabc", 0, []int{400}},
		{"no head at all", "nonsense\r\n\r\n", 0, []int{400}},
		{"negative length", head + "Content-Length: -1\r\n\r\n", 0, []int{400}},
		{"bad chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabcd\r\n0\r\n\r\n", 0, []int{400}},
		{"cut body", head + "Content-Length: 50\r\n\r\nabc|", 12 * time.Second, []int{0, 400, 408}},
		{"no host", "POST /n/x HTTP/1.1\r\nAttempt-Id: bad\r\n\r\n", 0, []int{400}},
		{"head too large", head + "X-A: " + strings.Repeat("a", 9000) + "\r\nContent-Length: 0\r\n\r\n", 0, []int{431}},
		{"body too large", head + "Content-Length: 70000\r\n\r\n" + strings.Repeat("a", 70000), 0, []int{413}},
		{"body too large in chunks", head + "Transfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("a", 70000) + "\r\n0\r\n\r\n", 0, []int{413}},
		{"slow head", "POST /n/x HTTP/1.1\r\nHo|st: h.example\r\n", 3 * time.Second, []int{0, 408}},
		{"no route", strings.Replace(head, "/n/x", "/none/x", 1) + "Content-Length: 0\r\n\r\n", 0, []int{404}},
		{"dots are not cleaned", strings.Replace(head, "/n/x", "/none/../n/x", 1) + "Content-Length: 0\r\n\r\n", 0, []int{404}},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim, s := newSmallSimulation(t)
				defer func() { sim.Close(); time.Sleep(10 * time.Second) }()
				require.Contains(t, x.want, sendRaw(t, sim, x.text, x.slow))
				require.NoError(t, s.run("executed", []string{"r1", "max=0"}))
				require.Empty(t, sim.violations)
				require.NoError(t, s.run("request", []string{"router=router-1", "path=/n/x", "expect=200"}), "the router goes on serving")
			})
		})
	}
}

func TestRouter_OddHints_DoNotFailRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim, _ := newSmallSimulation(t)
		defer func() { sim.Close(); time.Sleep(10 * time.Second) }()
		for _, h := range []string{"Time-Budget-Ms: soon", "Time-Budget-Ms: 1e400", "Prompt-Prefix: ::,;", "Prompt-Prefix: zz:1,aa:x", "Token-Counts: a,b", "Token-Counts: -5,99999999999999999999", "Model:"} {
			sim.register(&request{id: "ok", content: "POST /s/x "})
			got := sendRaw(t, sim, "POST /s/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: ok\r\n"+h+"\r\nContent-Length: 0\r\n\r\n", 0)
			require.Equal(t, http.StatusOK, got, h)
		}
		require.Empty(t, sim.violations)
	})
}
