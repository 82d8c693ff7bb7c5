package emulator

import (
	"net"
	"os"
	"sync"
	"time"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/upstream"
)

// network is the network of a daemon under test: the real one, with delay and
// partitions between zones.
type network struct {
	rpc.TCP
	zone   string
	zoneOf func(ip string) string
	delay  time.Duration // one way, to another zone

	partition *partition
}

var _ rpc.Net = (*network)(nil)

// Dial is part of rpc.Net.
func (n *network) Dial(address string, timeout time.Duration) (net.Conn, error) {
	host, _, _ := net.SplitHostPort(address)
	zone := n.zoneOf(host)
	if n.partition.separates(n.zone, zone) {
		<-time.After(timeout)
		return nil, os.ErrDeadlineExceeded
	}
	delayed := n.delay > 0 && zone != n.zone
	roundTrip := 2 * n.delay
	if delayed && roundTrip > timeout {
		<-time.After(timeout)
		return nil, os.ErrDeadlineExceeded
	}
	connection, err := n.TCP.Dial(address, timeout)
	if err != nil {
		return nil, err
	}
	connection = n.partition.track(connection, n.zone, zone)
	if !delayed {
		return connection, nil
	}
	<-time.After(roundTrip) // the handshake
	return newDelayedConn(connection, n.delay), nil
}

// DialReplica is part of upstream.Dialer.
func (n *network) DialReplica(address string, timeout time.Duration) (net.Conn, error) {
	return upstream.TCP{}.DialReplica(address, timeout)
}

// Bounds of a delayed connection.
const (
	maxChunks = 1024     // on their way in one direction
	chunkSize = 16 << 10 // bytes that are read at once
)

// chunk is what is on its way over a delayed connection.
type chunk struct {
	due  time.Time
	data []byte
	err  error // of the read
}

// delayedConn delays both directions of a connection, in order.
type delayedConn struct {
	net.Conn
	delay    time.Duration
	outgoing chan chunk
	incoming chan chunk
	closed   chan struct{}
	once     sync.Once
	unread   []byte
	err      error // of the read that gave unread
}

func newDelayedConn(connection net.Conn, delay time.Duration) *delayedConn {
	c := &delayedConn{
		Conn:     connection,
		delay:    delay,
		outgoing: make(chan chunk, maxChunks),
		incoming: make(chan chunk, maxChunks),
		closed:   make(chan struct{}),
	}
	go c.sendDelayed()
	go c.receiveDelayed()
	return c
}

// sendDelayed passes on what was written, when it is due.
func (c *delayedConn) sendDelayed() {
	for {
		select {
		case sent := <-c.outgoing:
			if !c.waitUntil(sent.due) {
				return
			}
			if _, err := c.Conn.Write(sent.data); err != nil {
				_ = c.Close()
				return
			}
		case <-c.closed:
			return
		}
	}
}

// receiveDelayed reads ahead; Read waits until what was read is due.
func (c *delayedConn) receiveDelayed() {
	for {
		buffer := make([]byte, chunkSize)
		n, err := c.Conn.Read(buffer)
		select {
		case c.incoming <- chunk{due: time.Now().Add(c.delay), data: buffer[:n], err: err}:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// waitUntil waits; false if the connection was closed.
func (c *delayedConn) waitUntil(due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.closed:
		return false
	}
}

func (c *delayedConn) Read(buffer []byte) (int, error) {
	for len(c.unread) == 0 {
		if c.err != nil {
			return 0, c.err
		}
		select {
		case received := <-c.incoming:
			if !c.waitUntil(received.due) {
				return 0, net.ErrClosed
			}
			c.unread = received.data
			c.err = received.err
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	n := copy(buffer, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *delayedConn) Write(data []byte) (int, error) {
	sent := chunk{due: time.Now().Add(c.delay), data: append([]byte{}, data...)}
	select {
	case c.outgoing <- sent:
		return len(data), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Close is part of net.Conn.
func (c *delayedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
