package rpc

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"go.uber.org/atomic"

	"shaletrestle/internal/errkind"
)

// Handler takes a note that came in; a non-nil result is sent back.
type Handler func(*Channel, *Message) *Message

// Channel is one held connection between own processes. A task owns each direction of its socket. Calls are
// numbered within the channel's life, so that an answer finds the call that it belongs to, or nobody.
type Channel struct {
	ctx    context.Context
	cancel context.CancelFunc
	c      net.Conn
	out    chan outgoing
	mu     sync.Mutex
	wait   map[uint64]pending
	next   uint64
	heard  atomic.Int64
	bye    []func()
	over   bool
}

// outgoing is an encoded note on its way to the socket.
type outgoing struct {
	encoded []byte
	until   time.Time // a call that nobody waits for any more is not sent; zero: no bound
}

// pending is a call that waits for its answer.
type pending struct {
	kind   Kind
	answer chan *Message
}

// Open starts the tasks of a channel over a connection. Calls are handled each in a task of its own, other notes in order.
func Open(ctx context.Context, c net.Conn, h Handler) *Channel {
	ctx, cancel := context.WithCancel(ctx)
	ch := &Channel{ctx: ctx, cancel: cancel, c: c, out: make(chan outgoing, outboxLen), wait: map[uint64]pending{}}
	ch.heard.Store(time.Now().UnixNano())
	go ch.write()
	go ch.read(h)
	return ch
}

func (ch *Channel) write() {
	defer ch.Close()
	w := bufio.NewWriter(ch.c)
	for {
		select {
		case o := <-ch.out:
			if writeFrame(w, o) != nil {
				return
			}
			if len(ch.out) == 0 && w.Flush() != nil {
				return
			}
		case <-ch.ctx.Done():
			return
		}
	}
}

// writeFrame writes one note. A process that stood still looks at the time before it sends what was asked for then.
func writeFrame(w *bufio.Writer, o outgoing) error {
	if !o.until.IsZero() && !time.Now().Before(o.until) {
		return nil
	}
	var size [4]byte
	binary.LittleEndian.PutUint32(size[:], uint32(len(o.encoded)))
	if _, err := w.Write(size[:]); err != nil {
		return err
	}
	_, err := w.Write(o.encoded)
	return err
}

// ReadFrame reads one frame; anything over the limit is refused.
func ReadFrame(r io.Reader) ([]byte, error) {
	var l [4]byte
	if _, err := io.ReadFull(r, l[:]); err != nil {
		return nil, err
	}
	n := binary.LittleEndian.Uint32(l[:])
	if n > frameMax {
		return nil, errkind.New(errkind.InvalidInput, "frame of %d bytes", n)
	}
	var b []byte
	for uint32(len(b)) < n {
		k := min(n-uint32(len(b)), 1<<16)
		at := len(b)
		b = append(b, make([]byte, k)...)
		if _, err := io.ReadFull(r, b[at:]); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// heardReader notes that something came, also if it is only a part of a frame.
type heardReader struct{ ch *Channel }

func (r heardReader) Read(b []byte) (int, error) {
	n, err := r.ch.c.Read(b)
	if n > 0 {
		r.ch.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

func (ch *Channel) read(h Handler) {
	defer ch.Close()
	r := bufio.NewReader(heardReader{ch})
	for {
		b, err := ReadFrame(r)
		if err != nil {
			return
		}
		n, err := Decode(b)
		if err != nil {
			return
		}
		switch {
		case n.Answer:
			if !ch.answered(n) {
				return
			}
		case n.Call != 0:
			go ch.serve(h, n)
		default:
			h(ch, n)
		}
	}
}

// answered gives an answer to the call that waits for it; one that came after the call's time is dropped. False
// means that it is no answer to that call: the other side can't be trusted.
func (ch *Channel) answered(n *Message) bool {
	ch.mu.Lock()
	call, waits := ch.wait[n.Call]
	delete(ch.wait, n.Call)
	ch.mu.Unlock()
	if !waits {
		return true
	}
	if call.kind != n.Kind {
		return false
	}
	call.answer <- n
	return true
}

func (ch *Channel) serve(h Handler, n *Message) {
	a := h(ch, n)
	if a == nil {
		return
	}
	a.Call, a.Answer, a.Kind = n.Call, true, n.Kind
	ch.Send(a)
}

// Send queues a note; a channel that lags too far is closed.
func (ch *Channel) Send(n *Message) bool { return ch.SendRaw(n.Encode()) }

// SendRaw queues an encoded note.
func (ch *Channel) SendRaw(b []byte) bool { return ch.queue(outgoing{encoded: b}) }

func (ch *Channel) queue(o outgoing) bool {
	select {
	case ch.out <- o:
		return ch.ctx.Err() == nil
	default:
		go ch.Close() // its end may need locks that the sender holds
		return false
	}
}

// Call sends a note and waits for its answer.
func (ch *Channel) Call(n *Message, d time.Duration) (*Message, error) {
	until := time.Now().Add(d)
	call := pending{n.Kind, make(chan *Message, 1)}
	number := ch.register(call)
	defer ch.unregister(number)
	m := *n
	m.Call = number
	if !ch.queue(outgoing{m.Encode(), until}) {
		return nil, errkind.New(errkind.Unavailable, "channel closed")
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case a := <-call.answer:
		return a, nil
	case <-ch.ctx.Done():
		return nil, errkind.New(errkind.Unavailable, "channel closed")
	case <-timer.C:
		return nil, errkind.New(errkind.Unavailable, "no answer from %s", ch.c.RemoteAddr())
	}
}

func (ch *Channel) register(call pending) (number uint64) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.next++
	ch.wait[ch.next] = call
	return ch.next
}

func (ch *Channel) unregister(number uint64) {
	ch.mu.Lock()
	delete(ch.wait, number)
	ch.mu.Unlock()
}

// IdleTime is how long nothing was heard.
func (ch *Channel) IdleTime() time.Duration {
	return time.Duration(time.Now().UnixNano() - ch.heard.Load())
}

// OnClose adds what is to be done when the channel closes.
func (ch *Channel) OnClose(f func()) {
	ch.mu.Lock()
	over := ch.over
	if !over {
		ch.bye = append(ch.bye, f)
	}
	ch.mu.Unlock()
	if over {
		f()
	}
}

// Close ends the channel.
func (ch *Channel) Close() {
	ch.mu.Lock()
	if ch.over {
		ch.mu.Unlock()
		return
	}
	ch.over = true
	bye := ch.bye
	ch.mu.Unlock()
	ch.cancel()
	_ = ch.c.Close()
	for _, f := range bye {
		f()
	}
}

// Closed tells whether the channel has ended.
func (ch *Channel) Closed() bool { return ch.ctx.Err() != nil }

// Done is closed with the channel.
func (ch *Channel) Done() <-chan struct{} { return ch.ctx.Done() }

// Remote is the peer's address.
func (ch *Channel) Remote() string { return ch.c.RemoteAddr().String() }
