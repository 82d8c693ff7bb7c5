package rpc

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Pool holds one channel per address and dials it when it is needed.
type Pool struct {
	ctx     context.Context // of all its channels
	net     Net
	handler Handler

	mu    sync.Mutex
	links map[string]*link // by address; guarded by mu, the links' fields too
}

// link is what a pool has for one address.
type link struct {
	channel *Channel
	dialled chan struct{} // closed when the dial under way has ended; nil: none is
	err     error         // of the newest dial; nil: it succeeded
}

// NewPool returns a pool without channels. They end when the context ends; the handler takes what comes in on them and may
// be nil if the peers only send answers.
func NewPool(ctx context.Context, network Net, handler Handler) *Pool {
	return &Pool{ctx: ctx, net: network, handler: handler, links: map[string]*link{}}
}

// Get returns the open channel to an address, or dials one within DialTimeout. Callers that come while it is being
// dialled share that dial and its result, so that an address that never answers makes no queue. The error is a *DialError.
func (p *Pool) Get(address string) (*Channel, error) {
	p.mu.Lock()
	l := p.links[address]
	if l == nil {
		l = &link{}
		p.links[address] = l
	}
	if l.channel != nil && !l.channel.Closed() {
		defer p.mu.Unlock()
		return l.channel, nil
	}
	if dialled := l.dialled; dialled != nil {
		p.mu.Unlock()
		<-dialled
		p.mu.Lock()
		defer p.mu.Unlock()
		return l.result()
	}
	dialled := make(chan struct{})
	l.dialled = dialled
	p.mu.Unlock()
	conn, err := p.net.Dial(address, DialTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(dialled)
	l.dialled, l.err = nil, nil
	if err != nil {
		l.err = &DialError{Address: address, Err: err}
	} else {
		l.channel = Open(p.ctx, conn, p.handler)
	}
	return l.result()
}

// result is that of the newest dial. The caller holds the pool's lock.
func (l *link) result() (*Channel, error) {
	if l.err != nil {
		return nil, l.err
	}
	return l.channel, nil
}

// Call calls one address. A channel on which nothing came during a failed call is closed, so that the next call dials
// anew. The error is ErrUnreachable (nothing was sent; with an address, a *DialError), ErrTimeout or ErrClosed.
func (p *Pool) Call(address string, message *Message, timeout time.Duration) (*Message, error) {
	if address == "" {
		return nil, errors.Wrap(ErrUnreachable, "empty address")
	}
	channel, err := p.Get(address)
	if err != nil {
		return nil, err
	}
	answer, err := channel.Call(message, timeout)
	if err != nil && channel.IdleTime() >= timeout {
		channel.Close()
	}
	return answer, err
}
