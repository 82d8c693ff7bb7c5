package emulator

import (
	"net"
	"os"
	"sync"

	"go.uber.org/atomic"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/clock"
	"shaletrestle/internal/upstream"
)

// wire is the network of a daemon under test: the real one, with bytes counted and delay between zones.
type wire struct {
	zone    string
	zoneOf  func(ip string) string
	delay   clock.Span // one way, to another zone
	in, out atomic.Int64
	made    atomic.Int64
}

// Dial is crew.Net's.
func (w *wire) Dial(at string, d clock.Span) (net.Conn, error) {
	ip, _, _ := net.SplitHostPort(at)
	far := w.delay > 0 && w.zoneOf(ip) != w.zone
	if far && 2*w.delay > d {
		<-clock.After(d)
		return nil, os.ErrDeadlineExceeded
	}
	c, err := rpc.TCP{}.Dial(at, d)
	if err != nil {
		return nil, err
	}
	w.made.Inc()
	c = &counted{c, w}
	if far {
		<-clock.After(2 * w.delay) // the handshake's way there and back
		return newSlow(c, w.delay), nil
	}
	return c, nil
}

// Listen is crew.Net's.
func (w *wire) Listen(at string) (net.Listener, error) {
	ln, err := rpc.TCP{}.Listen(at)
	if err != nil {
		return nil, err
	}
	return &countedListener{ln, w}, nil
}

// DialReplica is blade.Dialer's.
func (w *wire) DialReplica(at string, d clock.Span) (net.Conn, error) {
	return upstream.TCP{}.DialReplica(at, d)
}

type countedListener struct {
	net.Listener
	w *wire
}

// Accept counts what comes in and goes out over accepted connections too.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &counted{c, l.w}, nil
}

type counted struct {
	net.Conn
	w *wire
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.w.in.Add(int64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.w.out.Add(int64(n))
	return n, err
}

type parcel struct {
	due clock.Moment
	b   []byte
	err error
}

// slow delays both directions of a connection, in order.
type slow struct {
	net.Conn
	delay clock.Span
	out   chan parcel
	in    chan parcel
	done  chan struct{}
	once  sync.Once
	left  []byte
	err   error
}

func newSlow(c net.Conn, d clock.Span) *slow {
	s := &slow{Conn: c, delay: d, out: make(chan parcel, 1024), in: make(chan parcel, 1024), done: make(chan struct{})}
	go func() {
		for {
			select {
			case p := <-s.out:
				if !s.wait(p.due) {
					return
				}
				if _, err := s.Conn.Write(p.b); err != nil {
					_ = s.Close()
					return
				}
			case <-s.done:
				return
			}
		}
	}()
	go func() {
		for {
			b := make([]byte, 16<<10)
			n, err := s.Conn.Read(b)
			select {
			case s.in <- parcel{clock.Now().Add(d), b[:n], err}:
			case <-s.done:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return s
}

func (s *slow) wait(due clock.Moment) bool {
	t := clock.NewTimer(clock.Until(due))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.done:
		return false
	}
}

func (s *slow) Read(b []byte) (int, error) {
	for len(s.left) == 0 {
		if s.err != nil {
			return 0, s.err
		}
		select {
		case p := <-s.in:
			if !s.wait(p.due) {
				return 0, net.ErrClosed
			}
			s.left, s.err = p.b, p.err
		case <-s.done:
			return 0, net.ErrClosed
		}
	}
	n := copy(b, s.left)
	s.left = s.left[n:]
	return n, nil
}

func (s *slow) Write(b []byte) (int, error) {
	select {
	case s.out <- parcel{due: clock.Now().Add(s.delay), b: append([]byte{}, b...)}:
		return len(b), nil
	case <-s.done:
		return 0, net.ErrClosed
	}
}

func (s *slow) Close() error {
	s.once.Do(func() { close(s.done) })
	return s.Conn.Close()
}
