package rpc

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// faultyConn is a connection that splits what is written at any byte, delays the pieces and breaks in the middle of one.
type faultyConn struct {
	net.Conn
	mu             sync.Mutex
	random         *rand.Rand
	piecesPerBreak int // on the mean; 0: it never breaks
}

func (c *faultyConn) Write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		c.mu.Lock()
		k := 1 + c.random.IntN(len(b)-done)
		wait := time.Duration(c.random.IntN(8)) * time.Millisecond
		broken := c.piecesPerBreak > 0 && c.random.IntN(c.piecesPerBreak) == 0
		c.mu.Unlock()
		time.Sleep(wait)
		if broken {
			k /= 2
		}
		n, err := c.Conn.Write(b[done : done+k])
		done += n
		if err != nil {
			return done, err
		}
		if broken {
			_ = c.Conn.Close()
			return done, net.ErrClosed
		}
	}
	return done, nil
}

// faultyNet dials faulty connections to one handler.
type faultyNet struct {
	ctx            context.Context
	random         *rand.Rand
	piecesPerBreak int
	handler        Handler
}

func (n *faultyNet) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (n *faultyNet) Dial(string, time.Duration) (net.Conn, error) {
	a, b := net.Pipe()
	seed := n.random.Uint64()
	Open(n.ctx, &faultyConn{Conn: b, random: rand.New(rand.NewPCG(seed, 1)), piecesPerBreak: n.piecesPerBreak}, n.handler)
	return &faultyConn{Conn: a, random: rand.New(rand.NewPCG(seed, 2)), piecesPerBreak: n.piecesPerBreak}, nil
}

// slowServer answers each question after some time, with a body made of the question's, and counts what it handled.
type slowServer struct {
	mu      sync.Mutex
	random  *rand.Rand
	handled map[string]int // by the question's body
}

func (s *slowServer) handle(_ *Channel, question *Message) *Message {
	s.mu.Lock()
	s.handled[string(question.Body)]++
	delay := time.Duration(s.random.IntN(60)) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(delay)
	answer := question.Reply(true)
	answer.Body = append([]byte("answer to "), question.Body...)
	return answer
}

// results counts the answers to many calls and collects the wrong ones.
type results struct {
	mu      sync.Mutex
	answers int
	wrong   []string
}

// call asks one question.
func (r *results) call(pool *Pool, body string, timeout time.Duration) {
	answer, err := pool.Call("x", &Message{Kind: Hello, Body: []byte(body)}, timeout)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
	if string(answer.Body) != "answer to "+body {
		r.wrong = append(r.wrong, fmt.Sprintf("%q got %q", body, answer.Body))
	}
}

// TestPoolCall_DelaysAndBreaks_OwnAnswerOrError holds many calls against a model: each was answered with what its own
// question asks for, or not at all, and no question was handled more than once, whatever the connection does.
func TestPoolCall_DelaysAndBreaks_OwnAnswerOrError(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 5))
			ctx, cancel := context.WithCancel(context.Background())
			defer func() { cancel(); time.Sleep(time.Minute) }()
			server := &slowServer{random: rand.New(rand.NewPCG(seed, 6)), handled: map[string]int{}}
			network := &faultyNet{
				ctx:            ctx,
				random:         rand.New(rand.NewPCG(seed, 7)),
				piecesPerBreak: []int{0, 30, 200}[seed%3],
				handler:        server.handle,
			}
			pool := NewPool(ctx, network, nil)
			var calls sync.WaitGroup
			var got results
			for i := range 200 {
				timeout := time.Duration(5+random.IntN(120)) * time.Millisecond
				calls.Go(func() { got.call(pool, fmt.Sprintf("question %d of %d", i, seed), timeout) })
				time.Sleep(time.Duration(random.IntN(12)) * time.Millisecond)
			}
			calls.Wait()
			time.Sleep(time.Second)
			require.Empty(t, got.wrong)
			require.Positive(t, got.answers)
			server.mu.Lock()
			defer server.mu.Unlock()
			for body, times := range server.handled {
				require.Equal(t, 1, times, body)
			}
		})
	}
}

func TestChannelCall_LateAnswer_Dropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		a, b := net.Pipe()
		Open(ctx, b, func(_ *Channel, q *Message) *Message {
			if string(q.Body) == "slow" {
				time.Sleep(100 * time.Millisecond)
			}
			answer := q.Reply(true)
			answer.Body = q.Body
			return answer
		})
		ch := Open(ctx, a, nil)
		_, err := ch.Call(&Message{Kind: Hello, Body: []byte("slow")}, 50*time.Millisecond)
		require.ErrorIs(t, err, ErrTimeout)
		for i := range 10 {
			body := fmt.Sprint(i)
			answer, err := ch.Call(&Message{Kind: Hello, Body: []byte(body)}, time.Second)
			require.NoError(t, err)
			require.Equal(t, body, string(answer.Body))
			time.Sleep(10 * time.Millisecond)
		}
		require.Empty(t, ch.pending)
	})
}

func TestChannelCall_TimedOutInOutbox_NotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		a, b := net.Pipe()
		ch := Open(ctx, a, nil)
		_, err := ch.Call(&Message{Kind: Hello, Body: []byte("first")}, 10*time.Millisecond) // the socket takes nothing yet
		require.ErrorIs(t, err, ErrTimeout)
		_, err = ch.Call(&Message{Kind: Hello, Body: []byte("second")}, 10*time.Millisecond)
		require.ErrorIs(t, err, ErrTimeout)
		ch.Send(&Message{Kind: Suspect})
		var seen []string
		go func() {
			for {
				frame, err := readFrame(b)
				if err != nil {
					return
				}
				n, err := Decode(frame)
				if err != nil {
					return
				}
				seen = append(seen, fmt.Sprint(n.Kind, string(n.Body)))
			}
		}()
		time.Sleep(time.Second)
		synctest.Wait()
		require.NotContains(t, seen, fmt.Sprint(Hello, "second"), "it was still waiting to be written when its time was over")
		require.Contains(t, seen, fmt.Sprint(Suspect, ""))
	})
}

func TestChannelCall_AnswerOfOtherKind_ChannelCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		a, b := net.Pipe()
		ch := Open(ctx, a, nil)
		go func() {
			_, _ = readFrame(b)
			forged := (&Message{Kind: Lease, Call: 1, Answer: true, OK: true}).Encode()
			_, _ = b.Write(frame(forged))
		}()
		_, err := ch.Call(&Message{Kind: Loan}, time.Second)
		require.ErrorIs(t, err, ErrClosed)
		require.True(t, ch.Closed())
	})
}

func TestChannelIdleTime_PartOfFrame_CountsAsActivity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		a, b := net.Pipe()
		var got []byte
		ch := Open(ctx, a, func(_ *Channel, n *Message) *Message { got = n.Body; return nil })
		remaining := frame((&Message{Kind: Update, Body: bytes.Repeat([]byte("x"), 1000)}).Encode())
		for len(remaining) > 0 {
			k := min(100, len(remaining))
			_, _ = b.Write(remaining[:k])
			remaining = remaining[k:]
			time.Sleep(time.Second)
			require.LessOrEqual(t, ch.IdleTime(), time.Second)
		}
		synctest.Wait()
		require.Len(t, got, 1000)
		time.Sleep(5 * time.Second)
		require.GreaterOrEqual(t, ch.IdleTime(), 5*time.Second)
	})
}

func frame(encoded []byte) []byte {
	var size [4]byte
	binary.LittleEndian.PutUint32(size[:], uint32(len(encoded)))
	return append(size[:], encoded...)
}

// FuzzChannel lets any bytes come in while a call waits: it gets an answer only if one with its number and kind came.
func FuzzChannel(f *testing.F) {
	good := frame((&Message{Kind: Hello, Call: 1, Answer: true, OK: true}).Encode())
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add(append(frame((&Message{Kind: Hello, Call: 2, Answer: true}).Encode()), good...))
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{255, 255, 255, 255, 1})
	f.Fuzz(func(t *testing.T, in []byte) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer func() { cancel(); time.Sleep(time.Second) }()
			a, b := net.Pipe()
			ch := Open(ctx, a, func(*Channel, *Message) *Message { return nil })
			go func() { _, _ = io.Copy(io.Discard, b) }()
			go func() {
				time.Sleep(time.Millisecond)
				_, _ = b.Write(in)
			}()
			answer, err := ch.Call(&Message{Kind: Hello}, 100*time.Millisecond)
			_ = b.Close()
			if err != nil {
				return
			}
			require.True(t, answer.Answer)
			require.Equal(t, uint64(1), answer.Call)
			require.Equal(t, Hello, answer.Kind)
		})
	})
}
