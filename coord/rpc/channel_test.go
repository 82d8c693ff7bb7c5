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

// rough is a connection that splits what is written at any byte, delays the pieces and breaks in the middle of one.
type rough struct {
	net.Conn
	mu     sync.Mutex
	r      *rand.Rand
	breaks int // in so many pieces on the mean; 0: never
}

func (c *rough) Write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		c.mu.Lock()
		k := 1 + c.r.IntN(len(b)-done)
		wait := time.Duration(c.r.IntN(8)) * time.Millisecond
		broken := c.breaks > 0 && c.r.IntN(c.breaks) == 0
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

// roughNet dials rough connections to one handler.
type roughNet struct {
	ctx     context.Context
	r       *rand.Rand
	breaks  int
	handler Handler
}

func (n *roughNet) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (n *roughNet) Dial(string, time.Duration) (net.Conn, error) {
	a, b := net.Pipe()
	seed := n.r.Uint64()
	Open(n.ctx, &rough{Conn: b, r: rand.New(rand.NewPCG(seed, 1)), breaks: n.breaks}, n.handler)
	return &rough{Conn: a, r: rand.New(rand.NewPCG(seed, 2)), breaks: n.breaks}, nil
}

// TestEveryCallGetsItsOwnAnswerOrNone holds many calls against a model: each was answered with what its own
// question asks for, or not at all, and no question was handled more than once, whatever the connection does.
func TestEveryCallGetsItsOwnAnswerOrNone(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 5))
			ctx, cancel := context.WithCancel(context.Background())
			defer func() { cancel(); time.Sleep(time.Minute) }()
			var mu sync.Mutex
			handled := map[string]int{}
			lag := rand.New(rand.NewPCG(seed, 6))
			n := &roughNet{ctx: ctx, r: rand.New(rand.NewPCG(seed, 7)), breaks: []int{0, 30, 200}[seed%3]}
			n.handler = func(_ *Channel, q *Message) *Message {
				mu.Lock()
				handled[string(q.Body)]++
				wait := time.Duration(lag.IntN(60)) * time.Millisecond
				mu.Unlock()
				time.Sleep(wait)
				a := q.Reply(true)
				a.Body = append([]byte("answer to "), q.Body...)
				return a
			}
			l := NewPool(ctx, n, nil)
			var all sync.WaitGroup
			var wrong []string
			got := 0
			for i := range 200 {
				wait := time.Duration(5+r.IntN(120)) * time.Millisecond
				body := fmt.Sprintf("question %d of %d", i, seed)
				all.Add(1)
				go func() {
					defer all.Done()
					a, err := l.Call("x", &Message{Kind: Hello, Body: []byte(body)}, wait)
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						return
					}
					got++
					if string(a.Body) != "answer to "+body {
						wrong = append(wrong, fmt.Sprintf("%q got %q", body, a.Body))
					}
				}()
				time.Sleep(time.Duration(r.IntN(12)) * time.Millisecond)
			}
			all.Wait()
			time.Sleep(time.Second)
			mu.Lock()
			defer mu.Unlock()
			require.Empty(t, wrong)
			require.Positive(t, got)
			for body, times := range handled {
				require.Equal(t, 1, times, body)
			}
		})
	}
}

func TestAnAnswerThatComesTooLateGoesToNobody(t *testing.T) {
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
		require.Error(t, err)
		for i := range 10 {
			body := fmt.Sprint(i)
			answer, err := ch.Call(&Message{Kind: Hello, Body: []byte(body)}, time.Second)
			require.NoError(t, err)
			require.Equal(t, body, string(answer.Body))
			time.Sleep(10 * time.Millisecond)
		}
		require.Empty(t, ch.wait)
	})
}

func TestACallWhoseTimeIsOverIsNotSentLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		a, b := net.Pipe()
		ch := Open(ctx, a, nil)
		_, err := ch.Call(&Message{Kind: Hello, Body: []byte("first")}, 10*time.Millisecond) // the socket takes nothing yet
		require.Error(t, err)
		_, err = ch.Call(&Message{Kind: Hello, Body: []byte("second")}, 10*time.Millisecond)
		require.Error(t, err)
		ch.Send(&Message{Kind: Suspect})
		var seen []string
		go func() {
			for {
				frame, err := ReadFrame(b)
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

func TestAnAnswerOfAnotherKindEndsTheChannel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		a, b := net.Pipe()
		ch := Open(ctx, a, nil)
		go func() {
			_, _ = ReadFrame(b)
			forged := (&Message{Kind: Lease, Call: 1, Answer: true, OK: true}).Encode()
			_, _ = b.Write(frame(forged))
		}()
		_, err := ch.Call(&Message{Kind: Loan}, time.Second)
		require.Error(t, err)
		require.True(t, ch.ctx.Err() != nil)
	})
}

func TestAPartOfAFrameCountsAsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		a, b := net.Pipe()
		var got []byte
		ch := Open(ctx, a, func(_ *Channel, n *Message) *Message { got = n.Body; return nil })
		whole := frame((&Message{Kind: Update, Body: bytes.Repeat([]byte("x"), 1000)}).Encode())
		for len(whole) > 0 {
			k := min(100, len(whole))
			_, _ = b.Write(whole[:k])
			whole = whole[k:]
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
