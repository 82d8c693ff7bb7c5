// Package upstream talks to replicas over connections that it owns. A task reads each socket; whoever holds the channel writes. Nothing is ever sent twice by itself.
package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"syscall"

	"go.uber.org/atomic"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
)

// Wire names of the heads that matter here.
const (
	HeadID      = "Attempt-Id"
	HeadSeal    = "Replica-Seal"
	HeadNotRun  = "Not-Executed"
	HeadBudget  = "Time-Budget-Ms"
	HeadExpect  = "Expected-Replica"
	HeadLoad    = "Replica-Load"
	HeadLastID  = "Last-Event-Id"
	HeadUrgency = "Urgency-Class"
)

// Shot is one sending of an inquiry to a replica.
type Shot struct {
	Method string
	Target string
	Host   string
	Head   http.Header
	Body   []byte
	ID     string
	Events bool
}

// PartKind tells what a part of an answer is.
type PartKind int

// The kinds of parts. A whole answer is Head, then Body, then End; a stream is Head, Events, End. Fail ends either at any point.
const (
	Head PartKind = iota
	Body
	Event
	End
	Fail
)

// Part is one step of an answer.
type Part struct {
	Kind   PartKind
	Status int
	Head   http.Header
	Bytes  []byte
	ID     int64 // of an event, -1 if it has none
	Why    string
	Lost   bool // the connection itself failed
	Reset  bool // it ended before the first byte of an answer
}

// NotRun tells whether a head says that the replica did not run the inquiry.
func (p *Part) NotRun() bool {
	return p.Status == http.StatusMisdirectedRequest || p.Head.Get(HeadNotRun) != ""
}

type job struct {
	shot *Shot
	req  *http.Request
	out  chan Part
	quit chan struct{}
}

// Channel is one connection to a replica.
type Channel struct {
	pool    *Pool
	c       net.Conn
	job     atomic.Pointer[job]
	start   chan *job
	dead    chan struct{}
	killed  atomic.Bool
	idle    clock.Moment
	rested  clock.Span // how long it was idle before this use, 0 for a new one; set while the pool is held
	expires clock.Moment
	owner   string // who uses it now; guarded by the pool
}

func open(p *Pool, c net.Conn, owner string) *Channel {
	ch := &Channel{pool: p, owner: owner, c: c, start: make(chan *job, 1), dead: make(chan struct{}), expires: clock.Now().Add(constants.KeepIdle)}
	go ch.read()
	return ch
}

// Forgotten tells whether a connection that was reset when it was used again had been forgotten by the replica, as far as the idle time says; it is learned from.
func (ch *Channel) Forgotten() bool {
	return ch.rested >= constants.ForgotIdle && ch.pool.forgot(ch.rested)
}

// Doubt closes the idle connections beside this one: after silence they are in doubt too, and the next inquiry dials before it sends.
func (ch *Channel) Doubt() { ch.pool.flush() }

// Kill closes the connection.
func (ch *Channel) Kill() {
	if ch.killed.CompareAndSwap(false, true) {
		close(ch.dead)
		_ = ch.c.Close()
		ch.pool.gone(ch)
	}
}

type counter struct {
	w io.Writer
	n int
}

func (c *counter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	c.n += n
	return n, err
}

// Answer is what a shot gives: its parts in order. Drop must be called when no more are wanted.
type Answer struct {
	ch    *Channel
	j     *job
	Parts <-chan Part
	Dead  <-chan struct{} // the connection is closed; what is left in Parts still counts
}

// Next gives the next part. late fires when it has taken too long, quit when nobody wants it any more; ok is false then.
func (a *Answer) Next(late <-chan clock.Moment, quit <-chan struct{}) (p Part, ok bool) {
	select {
	case p = <-a.Parts:
		return p, true
	default:
	}
	select {
	case p = <-a.Parts:
	case <-a.Dead:
		select {
		case p = <-a.Parts:
		default:
			p = Part{Kind: Fail, Why: "closed"}
		}
	case <-late:
		return p, false
	case <-quit:
		return p, false
	}
	return p, true
}

// Drop ends the interest in an answer; a connection whose answer was not read to its end is closed.
func (a *Answer) Drop() {
	if a.ch.job.Load() == a.j {
		a.ch.Kill()
	}
	select {
	case <-a.j.quit:
	default:
		close(a.j.quit)
	}
}

// Send writes a shot. sent is false only if not a single byte of it can have left.
func (ch *Channel) Send(s *Shot, within clock.Span) (a *Answer, sent bool, err error) {
	q := &http.Request{Method: s.Method, URL: &url.URL{Scheme: "http", Opaque: s.Target}, Host: s.Host, Header: s.Head,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(s.Body))}
	if len(s.Body) > 0 {
		q.Body = io.NopCloser(bytes.NewReader(s.Body))
	} else if s.Method != http.MethodGet && s.Method != http.MethodHead {
		q.Body = http.NoBody
	}
	j := &job{shot: s, req: q, out: make(chan Part, 32), quit: make(chan struct{})}
	ch.job.Store(j)
	select {
	case <-ch.dead:
		return nil, false, net.ErrClosed
	default:
	}
	ch.start <- j
	cw := &counter{w: ch.c}
	_ = ch.c.SetWriteDeadline(clock.Now().Add(within))
	w := bufio.NewWriterSize(cw, 4<<10)
	if err = q.Write(w); err == nil {
		err = w.Flush()
	}
	if err != nil {
		ch.Kill()
		return nil, cw.n > 0, err
	}
	return &Answer{ch, j, j.out, ch.dead}, true, nil
}

func (j *job) tell(p Part) bool {
	select {
	case j.out <- p:
		return true
	case <-j.quit:
		return false
	}
}

func (ch *Channel) read() {
	defer ch.Kill()
	br := bufio.NewReaderSize(ch.c, 4<<10)
	for {
		_, err := br.Peek(1)
		j := ch.job.Load()
		if j == nil {
			return // bytes, or an end, while nothing was asked
		}
		select {
		case <-ch.start:
		case <-ch.dead:
			j.tell(Part{Kind: Fail, Why: "closed"})
			return
		}
		if err != nil {
			j.tell(Part{Kind: Fail, Why: "no answer: " + err.Error(), Lost: true, Reset: !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.ETIMEDOUT)})
			return
		}
		if !ch.answer(br, j) {
			return
		}
	}
}

const surplusMost = 3 // answers of others that are passed over before a connection is given up

// answer reads one answer; true means that the connection may be used again.
func (ch *Channel) answer(br *bufio.Reader, j *job) bool {
	fail := func(why string) bool { j.tell(Part{Kind: Fail, Why: why}); return false }
	var r *http.Response
	keep := true
	for skipped := 0; ; {
		var err error
		if r, err = http.ReadResponse(br, j.req); err != nil {
			return fail("not an answer: " + err.Error())
		}
		if r.StatusCode >= 100 && r.StatusCode < 200 {
			if r.StatusCode == http.StatusSwitchingProtocols {
				return fail("switched protocols")
			}
			continue
		}
		if r.Header.Get(HeadID) == j.shot.ID {
			break
		}
		// somebody else's answer in the place of ours
		keep = false
		if skipped++; skipped > surplusMost || r.Close || r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
			return fail("an answer to something else")
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, constants.AnswerMax)); err != nil {
			return fail("an answer to something else")
		}
	}
	if r.Close {
		ch.pool.made.Closing.Inc()
	}
	keep = keep && !r.Close && r.ProtoAtLeast(1, 1)
	if r.StatusCode < 300 && r.Header.Get(HeadSeal) == "" {
		return fail("no seal")
	}
	if r.Header.Get("Content-Encoding") != "" {
		return fail("an encoded body")
	}
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 && j.req.Method != http.MethodHead {
		return fail("an answer without a length")
	}
	if !j.tell(Part{Kind: Head, Status: r.StatusCode, Head: r.Header}) {
		return false
	}
	if j.shot.Events && r.StatusCode == http.StatusOK && strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		if why := ch.events(r.Body, j); why != "" {
			return fail(why)
		}
	} else {
		b, err := io.ReadAll(io.LimitReader(r.Body, constants.AnswerMax+1))
		if err != nil || len(b) > constants.AnswerMax {
			return fail("body cut short")
		}
		if !j.tell(Part{Kind: Body, Bytes: b}) {
			return false
		}
	}
	keep = keep && br.Buffered() == 0
	if ch.rested > 0 {
		ch.pool.keep.Kept(ch.rested, clock.Now())
	}
	if keep {
		ch.job.Store(nil)
		ch.idle, ch.expires = clock.Now(), clock.Now().Add(keepFor(r.Header))
		ch.pool.put(ch)
	}
	j.tell(Part{Kind: End})
	return keep
}

// keepFor is how long an idle connection may be used again: a little less than its Keep-Alive says.
func keepFor(h http.Header) clock.Span {
	for _, x := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(x), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return max(0, clock.Seconds(float64(n))-constants.KeepMargin)
			}
		}
	}
	return constants.KeepIdle
}

// events reads whole events; the text says why it ended early.
func (ch *Channel) events(r io.Reader, j *job) string {
	br := bufio.NewReaderSize(r, 4<<10)
	var ev []byte
	id := int64(-1)
	for {
		line, err := br.ReadSlice('\n')
		ev = append(ev, line...)
		if len(ev) > constants.EventMax {
			return "an event over the limit"
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF {
			if len(ev) > 0 {
				return "cut inside an event"
			}
			return ""
		}
		if err != nil {
			return "cut: " + err.Error()
		}
		t := strings.TrimRight(string(line), "\r\n")
		if v, ok := strings.CutPrefix(t, "id:"); ok {
			if n, err := strconv.ParseInt(strings.TrimSpace(v), 10, 64); err == nil {
				id = n
			}
		}
		if t == "" {
			if len(strings.TrimSpace(string(ev))) > 0 || len(ev) > 0 {
				if !j.tell(Part{Kind: Event, Bytes: ev, ID: id}) {
					return "not wanted any more"
				}
			}
			ev, id = nil, -1
		}
	}
}
