package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"go.uber.org/atomic"
	"golang.org/x/sys/unix"

	"shaletrestle/coord/rpc"
)

const (
	// dialTimeout bounds a dial: a live replica answers in a few ms.
	dialTimeout = 500 * time.Millisecond
	// KeepAliveIdle is the idle time before the kernel's first keep-alive probe, by which an unreachable replica is noticed though
	// nothing is being sent.
	KeepAliveIdle = 1 * time.Second
	// KeepAliveInterval is the time between keep-alive probes.
	KeepAliveInterval = 1 * time.Second
	// KeepAliveProbes is the number of unanswered probes that end a connection.
	KeepAliveProbes = 2
	// UnacknowledgedTimeout ends a connection on which a replica leaves sent bytes unacknowledged this long.
	UnacknowledgedTimeout = 900 * time.Millisecond
)

// Dialer opens connections to replicas. It must be safe for concurrent use.
type Dialer interface {
	DialReplica(address string, timeout time.Duration) (net.Conn, error)
}

// TCP is the Dialer of the real network: unacknowledged bytes and silent peers end a connection soon.
type TCP struct{}

// DialReplica connects over IPv4.
func (TCP) DialReplica(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: timeout,
		Control: func(_, _ string, raw syscall.RawConn) error {
			if err := rpc.ShareSourcePort(raw); err != nil {
				return err
			}
			return raw.Control(func(descriptor uintptr) {
				_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnacknowledgedTimeout.Milliseconds()))
			})
		},
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: KeepAliveIdle, Interval: KeepAliveInterval, Count: KeepAliveProbes},
	}
	return dialer.DialContext(context.Background(), "tcp4", address)
}

// DialCounts count why connections were opened. The JSON keys are those of the state page.
type DialCounts struct {
	All       atomic.Int64 `json:"all"`
	First     atomic.Int64 `json:"first"`   // the first to that replica
	Reopened  atomic.Int64 `json:"again"`   // earlier ones were closed
	AllInUse  atomic.Int64 `json:"crowded"` // all others were in use
	Expired   atomic.Int64 `json:"expired"` // the idle ones had been idle too long
	Untrusted atomic.Int64 `json:"wary"`    // an idle one was there, and too old for a request that may not be retried
	Stale     atomic.Int64 `json:"forgot"`  // not dials: idle connections that the replica had dropped
	Closing   atomic.Int64 `json:"closing"` // not dials: responses that said Connection: close
	Received  ByteCounts   `json:"-"`
}
