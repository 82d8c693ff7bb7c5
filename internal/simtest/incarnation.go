package simtest

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"shaletrestle/coord/replication/core"
)

// incarnation fences what a killed process still tries to do.
type incarnation struct {
	*Host
	*Disk
	dead atomic.Bool
}

var errEnded = errors.New("the process has ended")

func (i *incarnation) Dial(at string, d time.Duration) (net.Conn, error) {
	if i.dead.Load() {
		return nil, errEnded
	}
	return i.Host.Dial(at, d)
}

func (i *incarnation) DialReplica(at string, d time.Duration) (net.Conn, error) { return i.Dial(at, d) }

func (i *incarnation) Listen(at string) (net.Listener, error) {
	if i.dead.Load() {
		return nil, errEnded
	}
	return i.Host.Listen(at)
}

func (i *incarnation) ifAlive(f func() error) error {
	i.network.waitAwake(i.ip)
	if i.dead.Load() {
		return errEnded
	}
	return f()
}

func (i *incarnation) SaveRegister(r core.Register) error {
	return i.ifAlive(func() error { return i.Disk.SaveRegister(r) })
}

func (i *incarnation) SaveSnapshot(s core.Snapshot, tail []core.Entry) error {
	return i.ifAlive(func() error { return i.Disk.SaveSnapshot(s, tail) })
}

func (i *incarnation) Append(e core.Entry) error {
	return i.ifAlive(func() error { return i.Disk.Append(e) })
}
