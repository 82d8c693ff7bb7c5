package rpc

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/atomic"
)

// Handler takes a message that came in on a channel. If the message is a call, the result is sent back as its answer;
// nil leaves the call unanswered. The result is ignored for other messages. A handler of calls runs in a goroutine of
// its own; for other messages the channel reads on only after it has returned, so that it must not wait for an answer
// on the same channel.
type Handler func(*Channel, *Message) *Message

// Channel is one connection to another process. It owns the connection and two goroutines, one for each direction,
// which end when it is closed.
type Channel struct {
	ctx          context.Context // ends with the channel
	cancel       context.CancelFunc
	conn         net.Conn
	outbox       chan outgoing
	counter      *channelCounter // nil: not counted
	openedAt     time.Time
	lastReceived atomic.Duration // when bytes came last, since openedAt: by the monotonic clock

	mu       sync.Mutex
	pending  map[uint64]pendingCall // guarded by mu: by number
	lastCall uint64                 // guarded by mu: number of the newest call
	onClose  []func()               // guarded by mu
	closed   bool                   // guarded by mu
}

// pendingCall is a call that waits for its answer.
type pendingCall struct {
	kind   Kind
	answer chan *Message
}

// Open returns a channel over a connection, which the channel closes. It ends when the context ends, when either side
// closes it or when the connection fails. The handler may be nil only if the peer sends nothing but
// answers: anything else would be a call of nil.
func Open(ctx context.Context, conn net.Conn, handler Handler) *Channel {
	ctx, cancel := context.WithCancel(ctx)
	channel := &Channel{
		ctx:      ctx,
		cancel:   cancel,
		conn:     conn,
		outbox:   make(chan outgoing, outboxLen),
		pending:  map[uint64]pendingCall{},
		counter:  newChannelCounter(conn),
		openedAt: time.Now(),
	}
	go channel.write()
	go channel.read(handler)
	return channel
}

// write sends what is queued, and flushes only when the queue is empty, so that messages queued together share packets.
func (ch *Channel) write() {
	defer ch.Close()
	w := bufio.NewWriter(ch.conn)
	for {
		select {
		case message := <-ch.outbox:
			written, err := writeFrame(w, message)
			if err != nil {
				return
			}
			if written {
				ch.counter.sent(message.encoded)
			}
			if len(ch.outbox) == 0 && w.Flush() != nil {
				return
			}
		case <-ch.ctx.Done():
			return
		}
	}
}

// activityReader records when bytes come, also if they are only a part of a frame: a large frame on a slow link is no
// silence.
type activityReader struct{ channel *Channel }

func (r activityReader) Read(b []byte) (int, error) {
	n, err := r.channel.conn.Read(b)
	if n > 0 {
		r.channel.lastReceived.Store(time.Since(r.channel.openedAt))
	}
	return n, err
}

func (ch *Channel) read(handler Handler) {
	defer ch.Close()
	r := bufio.NewReader(activityReader{ch})
	for {
		frame, err := readFrame(r)
		var message *Message
		if err == nil {
			message, err = Decode(frame)
		}
		if err != nil {
			if errors.Is(err, ErrInvalidMessage) {
				ch.counter.receivedInvalid(ch.conn.RemoteAddr(), err)
			}
			return
		}
		ch.counter.received(message, len(frame))
		switch {
		case message.Answer:
			if !ch.deliver(message) {
				return
			}
		case message.Call != 0:
			go ch.serve(handler, message)
		default:
			handler(ch, message)
		}
	}
}

// deliver passes an answer to the call that waits for it; one that came after the call's time-out is dropped. False
// means that the answer is of another kind than the call, so that the peer can't be trusted.
func (ch *Channel) deliver(answer *Message) bool {
	ch.mu.Lock()
	call, isPending := ch.pending[answer.Call]
	delete(ch.pending, answer.Call)
	ch.mu.Unlock()
	if !isPending {
		return true
	}
	if call.kind != answer.Kind {
		return false
	}
	call.answer <- answer
	return true
}

// serve answers one call.
func (ch *Channel) serve(handler Handler, call *Message) {
	answer := handler(ch, call)
	if answer == nil {
		return
	}
	answer.Call, answer.Answer, answer.Kind = call.Call, true, call.Kind
	ch.Send(answer)
}

// Send queues a message and doesn't wait. It reports whether the message was queued, which is no promise that it
// arrives: false if the channel is closed, or lags so far that it is closed now.
func (ch *Channel) Send(message *Message) bool { return ch.SendRaw(message.Encode()) }

// SendRaw is Send for a message that is encoded already, as one that goes to many channels. The bytes must not change
// any more.
func (ch *Channel) SendRaw(encoded []byte) bool { return ch.queue(outgoing{encoded: encoded}) }

func (ch *Channel) queue(message outgoing) bool {
	select {
	case ch.outbox <- message:
		return ch.ctx.Err() == nil
	default:
		go ch.Close() // its OnClose functions may need locks that the sender holds
		return false
	}
}

// Call sends a copy of the message as a call and waits for the answer, no longer than the timeout. The error is
// ErrTimeout or ErrClosed; the peer may have handled the call in both cases.
func (ch *Channel) Call(message *Message, timeout time.Duration) (*Message, error) {
	deadline := time.Now().Add(timeout)
	call := pendingCall{message.Kind, make(chan *Message, 1)}
	number := ch.register(call)
	defer ch.unregister(number)
	numbered := *message
	numbered.Call = number
	if !ch.queue(outgoing{numbered.Encode(), deadline}) {
		return nil, errors.Wrapf(ErrClosed, "call to %v", ch.conn.RemoteAddr())
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer := <-call.answer:
		return answer, nil
	case <-ch.ctx.Done():
		return nil, errors.Wrapf(ErrClosed, "call to %v", ch.conn.RemoteAddr())
	case <-timer.C:
		return nil, errors.Wrapf(ErrTimeout, "call to %v", ch.conn.RemoteAddr())
	}
}

func (ch *Channel) register(call pendingCall) (number uint64) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.lastCall++
	ch.pending[ch.lastCall] = call
	return ch.lastCall
}

func (ch *Channel) unregister(number uint64) {
	ch.mu.Lock()
	delete(ch.pending, number)
	ch.mu.Unlock()
}

// IdleTime is how long ago bytes came in on the channel, or since it was opened if none came yet.
func (ch *Channel) IdleTime() time.Duration {
	return time.Since(ch.openedAt) - ch.lastReceived.Load()
}

// OnClose adds a function that is called when the channel closes, by whoever closes it; on a closed channel it is
// called at once.
func (ch *Channel) OnClose(f func()) {
	ch.mu.Lock()
	closed := ch.closed
	if !closed {
		ch.onClose = append(ch.onClose, f)
	}
	ch.mu.Unlock()
	if closed {
		f()
	}
}

// Close closes the connection and ends all waiting calls with ErrClosed. It calls the functions of OnClose before it
// returns and doesn't wait for handlers. It does nothing the second time.
func (ch *Channel) Close() {
	ch.mu.Lock()
	if ch.closed {
		ch.mu.Unlock()
		return
	}
	ch.closed = true
	onClose := ch.onClose
	ch.mu.Unlock()
	ch.cancel()
	_ = ch.conn.Close()
	for _, f := range onClose {
		f()
	}
}

// Closed reports whether the channel has ended.
func (ch *Channel) Closed() bool { return ch.ctx.Err() != nil }

// Done is closed with the channel.
func (ch *Channel) Done() <-chan struct{} { return ch.ctx.Done() }

// Remote is the peer's network address.
func (ch *Channel) Remote() string { return ch.conn.RemoteAddr().String() }
