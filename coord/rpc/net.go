package rpc

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"shaletrestle/coord/wait"
)

// Net is the network that a process uses; tests put a simulated one here. It must be safe for concurrent use.
type Net interface {
	// Dial connects to an address within the timeout.
	Dial(address string, timeout time.Duration) (net.Conn, error)
	// Listen accepts connections on an address.
	Listen(address string) (net.Listener, error)
}

// TCP is the real network, IPv4 only. Its sockets have no keep-alive, but TCP_USER_TIMEOUT: one whose peer is gone
// fails 1.5 s after something was sent on it.
type TCP struct{}

// Dial is part of Net.
func (TCP) Dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: prepareDial}
	return dialer.Dial("tcp4", address)
}

// Listen is part of Net.
func (TCP) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: setUserTimeout}
	return config.Listen(context.Background(), "tcp4", address)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket. A system without it only notices silent peers later.
func setUserTimeout(_, _ string, socket syscall.RawConn) error {
	_ = socket.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, tcpUserTimeoutMs)
	})
	return nil
}

// prepareDial prepares a socket for an outgoing connection.
func prepareDial(network, address string, socket syscall.RawConn) error {
	if err := ShareSourcePort(socket); err != nil {
		return err
	}
	return setUserTimeout(network, address, socket)
}

// ShareSourcePort lets a listener take the port that the system gives an outgoing connection: without it, a connection that
// was given a port on which a process of this machine is to listen keeps it from that process as long as it lasts. It is
// called before the socket is connected.
func ShareSourcePort(socket syscall.RawConn) error {
	return socket.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	})
}

// Serve opens a channel on each connection that the listener accepts, until the context ends. That closes the listener
// and the channels. A failed accept is tried again after a pause.
func Serve(ctx context.Context, listener net.Listener, handler Handler) {
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || !wait.Sleep(ctx, acceptRetryDelay) {
				return
			}
			continue
		}
		Open(ctx, conn, handler)
	}
}
