package rpc

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"

	"go.uber.org/atomic"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/task"
)

// Handler takes a note that came in; a non-nil result is sent back.
type Handler func(*Channel, *Note) *Note

// Channel is one held connection between own processes. A task owns each direction of its socket.
type Channel struct {
	sc    *task.Scope
	c     net.Conn
	out   chan []byte
	mu    sync.Mutex
	wait  map[uint64]chan *Note
	next  uint64
	heard atomic.Int64
	bye   []func()
	over  bool
}

// Open starts the tasks of a channel over a connection. Calls are handled each in a task of its own, other notes in order.
func Open(sc *task.Scope, c net.Conn, h Handler) *Channel {
	ch := &Channel{sc: sc.Part("channel"), c: c, out: make(chan []byte, constants.OutboxLen), wait: map[uint64]chan *Note{}}
	ch.heard.Store(clock.Now().UnixNano())
	go ch.write()
	go ch.read(h)
	return ch
}

func (ch *Channel) write() {
	defer ch.Close()
	w := bufio.NewWriter(ch.c)
	var l [4]byte
	for {
		select {
		case b := <-ch.out:
			binary.LittleEndian.PutUint32(l[:], uint32(len(b)))
			if _, err := w.Write(l[:]); err != nil {
				return
			}
			if _, err := w.Write(b); err != nil {
				return
			}
			if len(ch.out) == 0 && w.Flush() != nil {
				return
			}
		case <-ch.sc.Done():
			return
		}
	}
}

// ReadFrame reads one frame; anything over the limit is refused.
func ReadFrame(r io.Reader) ([]byte, error) {
	var l [4]byte
	if _, err := io.ReadFull(r, l[:]); err != nil {
		return nil, err
	}
	n := binary.LittleEndian.Uint32(l[:])
	if n > constants.FrameMax {
		return nil, errkind.New(errkind.BadInput, "frame of %d bytes", n)
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

func (ch *Channel) read(h Handler) {
	defer ch.Close()
	r := bufio.NewReader(ch.c)
	for {
		b, err := ReadFrame(r)
		if err != nil {
			return
		}
		n, err := Decode(b)
		if err != nil {
			return
		}
		ch.heard.Store(clock.Now().UnixNano())
		switch {
		case n.Answer:
			ch.mu.Lock()
			w := ch.wait[n.Call]
			delete(ch.wait, n.Call)
			ch.mu.Unlock()
			if w != nil {
				w <- n
			}
		case n.Call != 0:
			go func() {
				if a := h(ch, n); a != nil {
					a.Call, a.Answer, a.Kind = n.Call, true, n.Kind
					ch.Send(a)
				}
			}()
		default:
			h(ch, n)
		}
	}
}

// Send queues a note; a channel that lags too far is closed.
func (ch *Channel) Send(n *Note) bool { return ch.SendRaw(n.Encode()) }

// SendRaw queues an encoded note.
func (ch *Channel) SendRaw(b []byte) bool {
	select {
	case ch.out <- b:
		return !ch.sc.Ended()
	default:
		go ch.Close() // its end may need locks that the sender holds
		return false
	}
}

// Call sends a note and waits for its answer.
func (ch *Channel) Call(n *Note, d clock.Span) (*Note, error) {
	w := make(chan *Note, 1)
	ch.mu.Lock()
	ch.next++
	m := *n
	m.Call = ch.next
	ch.wait[m.Call] = w
	ch.mu.Unlock()
	defer func() {
		ch.mu.Lock()
		delete(ch.wait, m.Call)
		ch.mu.Unlock()
	}()
	if !ch.Send(&m) {
		return nil, errkind.New(errkind.Unready, "channel closed")
	}
	select {
	case a := <-w:
		return a, nil
	case <-ch.sc.Done():
		return nil, errkind.New(errkind.Unready, "channel closed")
	case <-clock.After(d):
		return nil, errkind.New(errkind.Unready, "no answer from %s", ch.c.RemoteAddr())
	}
}

// Quiet is how long nothing was heard.
func (ch *Channel) Quiet() clock.Span { return clock.Span(clock.Now().UnixNano() - ch.heard.Load()) }

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
	ch.sc.Stop()
	_ = ch.c.Close()
	for _, f := range bye {
		f()
	}
}

// Closed tells whether the channel has ended.
func (ch *Channel) Closed() bool { return ch.sc.Ended() }

// Done is closed with the channel.
func (ch *Channel) Done() <-chan struct{} { return ch.sc.Done() }

// Remote is the peer's address.
func (ch *Channel) Remote() string { return ch.c.RemoteAddr().String() }
