package upstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/atomic"

	"shaletrestle/coord/fairshare"
)

// Errors of Pool.Get.
var (
	// ErrPoolClosed says that the replica is gone.
	ErrPoolClosed = errors.New("the replica is gone")
	// ErrNoShare says that this process has no share of the replica's connections.
	ErrNoShare = errors.New("no share of the replica's connections")
	// ErrNoConnection says that no connection became free in time.
	ErrNoConnection = errors.New("no connection is free")
	// ErrAbandoned says that the caller's context ended first.
	ErrAbandoned = errors.New("the caller is gone")
	// ErrDial says that the replica could not be connected to; it wraps the dialer's error.
	ErrDial = errors.New("dial")
)

// Pool holds the connections to one incarnation of a replica. It is safe for concurrent use.
type Pool struct {
	address   string
	dialer    Dialer
	keepAlive *KeepAlive // of the service
	counts    *DialCounts
	replica   string            // its id, of which the memory keeps account
	memory    *ResponseMemory   // nil: not bounded
	shares    *fairshare.Shares // connections in use, by owner
	failures  [reasonCount]atomic.Int64
	pacer     pacer

	mu      sync.Mutex // guards the fields below, and Connection.owner and idleBefore
	idle    []*Connection
	open    int // idle and in use
	limit   int // on open
	closed  bool
	dialed  bool            // a connection was opened before
	waiting []chan struct{} // one of each Get that waits
}

// NewPool returns a pool without connections. limit is this process's share of the replica's connections, keepAlive is
// shared by the pools of a service, counts by all.
func NewPool(address string, dialer Dialer, limit int, keepAlive *KeepAlive, counts *DialCounts) *Pool {
	return &Pool{
		address:   address,
		dialer:    dialer,
		limit:     limit,
		keepAlive: keepAlive,
		counts:    counts,
		shares:    fairshare.New(int64(limit), fairshare.CalmFraction),
	}
}

// BoundMemory has what responses of this pool take counted for a replica, with those of others. It must come before the first Get.
func (p *Pool) BoundMemory(memory *ResponseMemory, replica string) {
	p.memory, p.replica = memory, replica
}

// FailureCount is how often one reason came up.
type FailureCount struct {
	Reason FailureReason
	Count  int64
}

// Failures lists the reasons for which responses of this replica could not be used, those that came up.
func (p *Pool) Failures() []FailureCount {
	var found []FailureCount
	for reason := range reasonCount {
		if count := p.failures[reason].Load(); count > 0 {
			found = append(found, FailureCount{Reason: reason, Count: count})
		}
	}
	return found
}

// SetLimit changes the share. Idle connections over a smaller one are closed; those in use end with their responses.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	if p.limit == limit {
		p.mu.Unlock()
		return
	}
	p.limit = limit
	p.shares.Resize(int64(limit))
	n := min(max(0, p.open-limit), len(p.idle))
	over := p.idle[:n:n]
	p.idle = append([]*Connection{}, p.idle[n:]...)
	p.signal()
	p.mu.Unlock()
	closeAll(over)
}

// GetOptions say what connection Get is to give.
type GetOptions struct {
	Owner        string        // its user: when nearly all are in use, each has its fair share
	Timeout      time.Duration // of the wait for one and of its dial
	Unrepeatable bool          // it is for a request that may not be retried: none that the replica may have dropped
}

// Get returns an idle connection or a new one, which the caller must use for one request or Release.
func (p *Pool) Get(ctx context.Context, options GetOptions) (*Connection, error) {
	end := time.Now().Add(options.Timeout)
	for {
		connection, freed, err := p.take(options.Owner, options.Unrepeatable)
		switch {
		case connection != nil || err != nil:
			return connection, err
		case freed == nil:
			return p.dial(options.Owner, end)
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, ErrAbandoned
		case <-time.After(time.Until(end)):
			return nil, ErrNoConnection
		}
	}
}

// take takes an idle connection. If it gives none, the caller waits for the channel and takes again; without a channel the
// caller dials, as what it opens is counted already.
func (p *Pool) take(owner string, unrepeatable bool) (connection *Connection, freed chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrPoolClosed
	}
	if p.limit < 1 {
		return nil, nil, ErrNoShare
	}
	if p.shares.TryAcquire(owner, 1) {
		idle := len(p.idle)
		if connection := p.takeIdle(unrepeatable); connection != nil {
			connection.owner = owner
			return connection, nil, nil
		}
		if p.open < p.limit {
			p.countDial(idle)
			p.dialed = true
			p.open++
			return nil, nil, nil
		}
		p.shares.Release(owner, 1)
	}
	freed = make(chan struct{}, 1)
	p.waiting = append(p.waiting, freed)
	return nil, freed, nil
}

// countDial counts why a connection is opened, given how many were idle before; the caller holds the lock.
func (p *Pool) countDial(idle int) {
	switch {
	case len(p.idle) > 0:
		p.counts.Untrusted.Inc()
	case idle > 0:
		p.counts.Expired.Inc()
	case p.open > 0:
		p.counts.AllInUse.Inc()
	case p.dialed:
		p.counts.Reopened.Inc()
	default:
		p.counts.First.Inc()
	}
}

// takeIdle takes the connection used last, if it may still be used; the caller holds the lock.
func (p *Pool) takeIdle(unrepeatable bool) *Connection {
	now := time.Now()
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		idle := now.Sub(last.idleSince)
		if now.Before(last.expires) && !last.isClosed.Load() && idle < p.keepAlive.maxIdle(now) {
			if unrepeatable && idle >= p.keepAlive.maxIdleUnrepeatable(now) && p.open < p.limit {
				return nil // it is left for a request that may be retried
			}
			p.idle = p.idle[:len(p.idle)-1]
			last.idleBefore = idle
			return last
		}
		p.idle = p.idle[:len(p.idle)-1]
		go last.Close() // it takes the lock that is held here
	}
	return nil
}

// dial opens a connection for an owner.
func (p *Pool) dial(owner string, end time.Time) (*Connection, error) {
	conn, err := p.dialer.DialReplica(p.address, min(dialTimeout, time.Until(end)))
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.open--
		p.shares.Release(owner, 1)
		p.signal()
		return nil, fmt.Errorf("%w: %w", ErrDial, err)
	}
	p.counts.All.Inc()
	return open(p, conn, owner), nil
}

// recordStale records that an idle connection was reset when it was reused: those that were idle as long are closed, and
// KeepAlive shortens the idle time of the whole service. It returns false if idleness was not the reason.
func (p *Pool) recordStale(idle time.Duration) bool {
	now := time.Now()
	if !p.keepAlive.recordStale(idle, now) {
		return false
	}
	p.counts.Stale.Inc()
	p.mu.Lock()
	old := p.removeIdle(func(c *Connection) bool { return now.Sub(c.idleSince) >= idle })
	p.mu.Unlock()
	closeAll(old)
	return true
}

// signal wakes all who wait; the caller holds the lock.
func (p *Pool) signal() {
	for _, freed := range p.waiting {
		select {
		case freed <- struct{}{}:
		default:
		}
	}
	p.waiting = nil
}

// releaseShare ends an owner's use of a connection; the caller holds the lock.
func (p *Pool) releaseShare(connection *Connection) {
	if connection.owner != "" {
		p.shares.Release(connection.owner, 1)
		connection.owner = ""
	}
}

// put takes a connection back; false if it isn't wanted any more: the caller closes it.
func (p *Pool) put(connection *Connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseShare(connection)
	if p.closed || p.open > p.limit {
		return false
	}
	p.idle = append(p.idle, connection)
	p.signal()
	return true
}

// remove takes a closed connection out.
func (p *Pool) remove(connection *Connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.releaseShare(connection)
	for i, each := range p.idle {
		if each == connection {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			break
		}
	}
	p.signal()
}

// removeIdle takes out the idle connections that meet a condition; the caller holds the lock.
func (p *Pool) removeIdle(meets func(*Connection) bool) (removed []*Connection) {
	remaining := make([]*Connection, 0, len(p.idle))
	for _, connection := range p.idle {
		if meets(connection) {
			removed = append(removed, connection)
		} else {
			remaining = append(remaining, connection)
		}
	}
	p.idle = remaining
	return removed
}

// closeAll closes connections that were taken out of their pool: nobody can get one of them meanwhile. The caller must not
// hold the lock.
func closeAll(removed []*Connection) {
	for _, connection := range removed {
		connection.Close()
	}
}

// Sweep closes connections whose idle time is over.
func (p *Pool) Sweep() {
	p.mu.Lock()
	now := time.Now()
	old := p.removeIdle(func(c *Connection) bool { return !now.Before(c.expires) })
	p.mu.Unlock()
	closeAll(old)
}

// closeIdle closes all idle connections.
func (p *Pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	closeAll(idle)
}

// Close closes idle connections and gives out no more; those in use end with their responses.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}
