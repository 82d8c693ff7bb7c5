package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"shaletrestle/coord/wait"
	"shaletrestle/internal/upstream"
)

const (
	clientBudget    = 3 * time.Second         // Time-Budget-Ms of every request
	answerSlack     = 1500 * time.Millisecond // an answer may come so long after the budget
	clientPause     = 10 * time.Millisecond
	dialTimeout     = 1 * time.Second
	maxSmallBody    = 400
	maxLargeBody    = 300 << 10
	pipelinedCount  = 3
	longHeaderBytes = 9 << 10
)

// clientKind is how a client sends its requests.
type clientKind int

// The kinds.
const (
	kindSimple    clientKind = iota // one request on a connection of its own
	kindKept                        // several requests, one after the other, on one connection
	kindPipelined                   // several requests at once on one connection
	kindLeaving                     // closes its connection before the answer
	kindSlow                        // sends and reads slowly
	kindRested                      // lets its connection rest within the idle limit, and uses it again
	kindHostile                     // sends what is no request, or never ends one
)

// clientKinds are the kinds as often as they are drawn.
var clientKinds = []clientKind{
	kindSimple, kindSimple, kindSimple, kindSimple, kindKept, kindKept, kindKept, kindPipelined, kindPipelined,
	kindLeaving, kindSlow, kindRested, kindHostile,
}

// request is one request of a client.
type request struct {
	id       string
	path     string
	stream   bool
	unsafe   bool
	body     []byte
	chunked  bool
	longHead bool
}

// requestOutcome is how a request ended for its client.
type requestOutcome struct {
	status   int // 0: no answer
	timedOut bool
	complete bool
	closes   bool // the connection takes no more requests
}

// client sends requests of every kind to routers drawn at random.
type client struct {
	run    *Run
	name   string
	random *rand.Rand
	sent   int
}

func newClient(run *Run, number int) *client {
	return &client{run: run, name: fmt.Sprintf("c%d", number), random: rand.New(rand.NewPCG(run.options.Seed, uint64(1000+number)))}
}

// work sends until the context ends.
func (c *client) work(ctx context.Context) {
	for ctx.Err() == nil {
		routers := c.run.fleet.routers
		c.session(routers[c.random.IntN(len(routers))], clientKinds[c.random.IntN(len(clientKinds))])
		wait.Sleep(ctx, time.Duration(c.random.Int64N(int64(clientPause))))
	}
}

// next draws a request.
func (c *client) next() *request {
	c.sent++
	r := &request{id: fmt.Sprintf("%s-%d", c.name, c.sent)}
	switch c.random.IntN(5) {
	case 0, 1:
		r.path = pathRepeat
	case 2, 3:
		r.path, r.unsafe = pathOnce, true
	default:
		r.stream = true
		r.path, r.unsafe = pathStream, true
		if c.random.IntN(2) == 0 {
			r.path, r.unsafe = pathResume, false
		}
	}
	r.path += "x?n=" + strconv.Itoa(c.random.IntN(1000))
	size := c.random.IntN(maxSmallBody)
	if c.random.IntN(15) == 0 {
		size = c.random.IntN(maxLargeBody)
	}
	r.body = []byte(strings.Repeat(r.id+" ", size/(len(r.id)+1)+1))
	r.chunked = c.random.IntN(3) == 0
	r.longHead = c.random.IntN(12) == 0
	return r
}

// bytes is the request as it goes out.
func (r *request) bytes() []byte {
	var out strings.Builder
	fmt.Fprintf(&out, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Budget-Ms: %d\r\n%s: %d\r\n",
		r.path, stableHost, r.id, clientBudget.Milliseconds(), headerBudget, clientBudget.Milliseconds())
	if r.stream {
		out.WriteString(headerStream + ": 1\r\n")
	}
	if r.longHead {
		out.WriteString("X-Pad: " + strings.Repeat("p", longHeaderBytes) + "\r\n")
	}
	if !r.chunked {
		fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
		return []byte(out.String())
	}
	out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	half := len(r.body) / 2
	for _, part := range [][]byte{r.body[:half], r.body[half:]} {
		if len(part) > 0 {
			fmt.Fprintf(&out, "%x\r\n%s\r\n", len(part), part)
		}
	}
	out.WriteString("0\r\n\r\n")
	return []byte(out.String())
}

// session is one connection of a client.
func (c *client) session(router *process, kind clientKind) {
	connection, err := net.DialTimeout("tcp4", address(router.ip, portFront), dialTimeout)
	if err != nil {
		c.run.judge.count("no connection to a router")
		return
	}
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	switch kind {
	case kindKept:
		for range 2 + c.random.IntN(3) {
			if got := c.exchange(router, connection, reader, c.next()); got.closes {
				return
			}
		}
	case kindPipelined:
		c.pipeline(router, connection, reader)
	case kindLeaving:
		c.leave(connection)
	case kindSlow:
		c.slow(router, connection, reader)
	case kindRested:
		c.rest(router, connection, reader)
	case kindHostile:
		c.harass(connection, reader)
	default:
		c.exchange(router, connection, reader, c.next())
	}
}

func (c *client) announce(r *request) {
	c.run.judge.sent(r.id, r.unsafe, contentOf(http.MethodPost, r.path, r.body))
}

// exchange sends one request and judges its answer.
func (c *client) exchange(router *process, connection net.Conn, reader *bufio.Reader, r *request) requestOutcome {
	c.announce(r)
	begun := time.Now()
	_ = connection.SetDeadline(begun.Add(clientBudget + answerSlack))
	if _, err := connection.Write(r.bytes()); err != nil {
		c.run.judge.count("not sent completely")
		return requestOutcome{closes: true}
	}
	return c.receive(router, reader, r, begun)
}

// receive reads and judges the answer to a request that was sent completely.
func (c *client) receive(router *process, reader *bufio.Reader, r *request, begun time.Time) requestOutcome {
	got := c.readAnswer(reader, r)
	calm := router.undisturbedSince(begun)
	c.run.judge.count(fmt.Sprintf("requests answered %d", got.status))
	switch {
	case got.timedOut && calm && !c.run.starved(begun):
		c.run.judge.add(RuleHang, "%s (%s) at %s: no answer within %v", r.id, r.path, router.name, clientBudget+answerSlack)
	case got.status == 0 && !got.timedOut && calm:
		c.run.judge.add(RuleNoAnswer, "%s (%s, chunked %v, %d bytes) at %s: connection closed without an answer after %d ms", r.id, r.path, r.chunked, len(r.body), router.name, time.Since(begun).Milliseconds())
	case got.status == http.StatusOK && !got.complete && !r.stream && calm && !c.run.judge.isWithoutEnd(r.id):
		c.run.judge.add(RuleNoAnswer, "%s (%s) at %s: an answer was cut", r.id, r.path, router.name)
	}
	return got
}

// rejections are the statuses that promise that a request never runs.
var rejections = map[int]bool{429: true, 503: true, 408: true, 421: true}

// denials are the statuses that no proper request gets.
var denials = map[int]bool{400: true, 401: true, 403: true, 404: true, 405: true, 411: true, 413: true, 431: true}

func (c *client) readAnswer(reader *bufio.Reader, r *request) requestOutcome {
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return requestOutcome{timedOut: errors.Is(err, os.ErrDeadlineExceeded), closes: true}
	}
	defer response.Body.Close()
	got := requestOutcome{status: response.StatusCode, closes: response.Close}
	switch {
	case rejections[got.status]:
		c.run.judge.rejected(r.id, got.status)
	case denials[got.status]:
		body, _ := io.ReadAll(response.Body)
		c.run.judge.add(RuleDenied, "%s (%s, chunked %v, long head %v) was answered %d: %s", r.id, r.path, r.chunked, r.longHead, got.status, body)
	}
	if r.stream && got.status == http.StatusOK {
		got.complete = c.readStream(response, r)
	} else {
		body, err := io.ReadAll(response.Body)
		got.complete = err == nil
		if got.status == http.StatusOK && err == nil {
			c.run.judge.succeeded(r.id, response.Header.Get(upstream.HeaderSeal), string(body) == answerTo(r.id))
		}
	}
	got.closes = got.closes || !got.complete
	return got
}

// readStream reads a stream and judges the order of its events; it returns whether it ended as complete.
func (c *client) readStream(response *http.Response, r *request) bool {
	body, err := io.ReadAll(response.Body)
	text := string(body)
	whole := ""
	number := 0
	for number < streamEvents && strings.HasPrefix(text[len(whole):], eventText(number+1)) {
		number++
		whole += eventText(number)
	}
	if err != nil && c.run.judge.isWithoutEnd(r.id) {
		c.run.judge.count("streams without end cut")
		return false
	}
	if text != whole {
		c.run.judge.add(RuleOrder, "%s: after %d events came %q", r.id, number, text[len(whole):min(len(text), len(whole)+60)])
		return false
	}
	if err != nil {
		c.run.judge.count("streams cut")
		return false
	}
	if number < streamEvents {
		c.run.judge.add(RuleOrder, "%s ended as complete after %d of %d events", r.id, number, streamEvents)
	}
	c.run.judge.succeeded(r.id, response.Header.Get(upstream.HeaderSeal), true)
	return true
}

// pipeline sends several requests in one write, and reads the answers in order.
func (c *client) pipeline(router *process, connection net.Conn, reader *bufio.Reader) {
	var all []*request
	var out []byte
	for range pipelinedCount {
		r := c.next()
		r.stream = false
		if r.path[:len(pathOnce)] != pathOnce {
			r.path, r.unsafe = pathRepeat+"x", false
		}
		r.body = r.body[:min(len(r.body), maxSmallBody)]
		c.announce(r)
		all = append(all, r)
		out = append(out, r.bytes()...)
	}
	begun := time.Now()
	_ = connection.SetDeadline(begun.Add(pipelinedCount * (clientBudget + answerSlack)))
	if _, err := connection.Write(out); err != nil {
		return
	}
	for i, r := range all {
		// Only the first may be held to have been read: a connection may end after any answer.
		var got requestOutcome
		if i == 0 {
			got = c.receive(router, reader, r, begun)
		} else {
			got = c.readAnswer(reader, r)
		}
		if got.closes {
			return
		}
	}
}

// leave sends a request, and at times a part of another one behind it, and closes the connection before the answer.
func (c *client) leave(connection net.Conn) {
	r := c.next()
	c.announce(r)
	_ = connection.SetDeadline(time.Now().Add(clientBudget))
	out := r.bytes()
	if c.random.IntN(2) == 0 {
		next := &request{id: r.id + "-part", path: pathRepeat + "x", body: make([]byte, c.random.IntN(20<<10))}
		c.announce(next)
		part := next.bytes()
		out = append(out, part[:len(part)-1]...)
	}
	if _, err := connection.Write(out); err != nil {
		return
	}
	time.Sleep(time.Duration(c.random.Int64N(int64(30 * time.Millisecond))))
	_ = connection.Close()
	c.run.judge.left(r.id)
	c.run.judge.count("clients left")
}

// rest uses a connection again after a rest of up to four fifths of the idle limit: it must be there.
func (c *client) rest(router *process, connection net.Conn, reader *bufio.Reader) {
	if got := c.exchange(router, connection, reader, c.next()); got.closes {
		return
	}
	rested := time.Now()
	time.Sleep(time.Duration(c.random.Int64N(idleLimitMs*4/5)) * time.Millisecond)
	r := c.next()
	c.announce(r)
	_ = connection.SetDeadline(time.Now().Add(clientBudget + answerSlack))
	_, err := connection.Write(r.bytes())
	if err == nil {
		_, err = reader.Peek(1)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && router.undisturbedSince(rested) {
		c.run.judge.add(RuleIdle, "%s at %s: the connection was gone after a rest of %d ms", r.id, router.name, time.Since(rested).Milliseconds())
	}
	if err == nil {
		c.receive(router, reader, r, rested)
	}
}

// hostileTexts are what a hostile client sends: none of it may end a router, or reach a replica.
var hostileTexts = []string{
	"",
	"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
	"GET / HTTP/1.1\r\nHost: soak.example\r\nX-Endless: ",
	"POST /repeat/x HTTP/1.1\r\nHost: soak.example\r\nContent-Length: 99999999999999999999\r\n\r\n",
	"POST /repeat/x HTTP/1.1\r\nHost: soak.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /once/x HTTP/1.1\r\n",
	"POST /repeat/x HTTP/1.1\r\nHost: soak.example\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
	"POST /repeat/x HTTP/1.1\r\nHost: soak.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
}

// harass sends one of them and waits a little.
func (c *client) harass(connection net.Conn, reader *bufio.Reader) {
	c.run.judge.count("hostile connections")
	_ = connection.SetDeadline(time.Now().Add(time.Duration(c.random.Int64N(int64(time.Second)))))
	if _, err := connection.Write([]byte(hostileTexts[c.random.IntN(len(hostileTexts))])); err != nil {
		return
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	if response.StatusCode < http.StatusBadRequest {
		c.run.judge.add(RuleMixed, "what is no request was answered %d", response.StatusCode)
	}
}

// slow sends a request in two parts and waits before it reads.
func (c *client) slow(router *process, connection net.Conn, reader *bufio.Reader) {
	r := c.next()
	c.announce(r)
	_ = connection.SetDeadline(time.Now().Add(2 * clientBudget))
	out := r.bytes()
	half := c.random.IntN(len(out))
	if _, err := connection.Write(out[:half]); err != nil {
		return
	}
	time.Sleep(time.Duration(c.random.Int64N(int64(150 * time.Millisecond))))
	begun := time.Now()
	if _, err := connection.Write(out[half:]); err != nil {
		return
	}
	time.Sleep(time.Duration(c.random.Int64N(int64(300 * time.Millisecond))))
	c.receive(router, reader, r, begun)
}
