package replication

import (
	"sync"
	"time"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/rpc"
)

// maxPendingMessages is how many messages to one address wait for its dial. Further ones are dropped, so that an address that can't be reached takes little memory; the core sends again what it still needs.
const maxPendingMessages = 64

// Links is the Transport over the channels of a pool. A message goes out on the channel on which the member last sent one, or on one that is dialled when it is needed. A dial runs in a goroutine of its own, one for each address at a time, and ends by the time-out of the pool.
type Links struct {
	pool *rpc.Pool

	mu    sync.Mutex // guards links and all their fields
	links map[string]*link
}

// link is the connection to one address; the mutex of Links guards it.
type link struct {
	channel *rpc.Channel // nil: none yet
	silent  *rpc.Channel // the one before, to be closed
	dialing bool
	pending []core.Message // that wait for the dial
	sentAt  time.Time      // first message since anything was received on the channel
	sent    int            // bytes since then
}

// NewLinks returns a transport that dials with a pool, whose handler must pass what it receives to Member.Handle.
func NewLinks(pool *rpc.Pool) *Links {
	return &Links{pool: pool, links: map[string]*link{}}
}

// SetChannel makes a channel the one for an address.
func (l *Links) SetChannel(address string, channel *rpc.Channel) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.linkTo(address)
	if known.channel != channel {
		known.use(channel)
	}
}

// Send sends a message, at once or when the channel that is dialled for it is open. Messages beyond maxPendingMessages for one address are dropped, and all that wait if it can't be reached.
func (l *Links) Send(address string, message core.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	to := l.linkTo(address)
	if to.usable() {
		to.send(message)
		return
	}
	if len(to.pending) < maxPendingMessages {
		to.pending = append(to.pending, message)
	}
	if !to.dialing {
		to.dialing = true
		go l.dial(address, to, to.silent)
		to.silent = nil
	}
}

// linkTo returns the link to an address, a new one without a channel if there is none. The caller holds mu.
func (l *Links) linkTo(address string) *link {
	known := l.links[address]
	if known == nil {
		known = &link{}
		l.links[address] = known
	}
	return known
}

// dial opens a channel, in place of one that was silent, and sends the pending messages, or drops them.
func (l *Links) dial(address string, to *link, silent *rpc.Channel) {
	if silent != nil {
		silent.Close()
	}
	channel, err := l.pool.Get(address)
	if err == nil && channel.IdleTime() >= rpc.CallTimeout { // an older one, which may be dead
		channel.Close()
		channel, err = l.pool.Get(address)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	to.dialing = false
	pending := to.pending
	to.pending = nil
	if to.channel == nil || to.channel.Closed() {
		if err != nil {
			return
		}
		to.use(channel)
	}
	for _, message := range pending {
		to.send(message)
	}
}

// use makes a channel the one of the link, and measures its silence anew.
func (l *link) use(channel *rpc.Channel) {
	l.channel = channel
	l.sentAt = time.Time{}
	l.sent = 0
}

// usable reports whether the channel is open and not silent; a channel that is not is removed from the link. One on which nothing was received for the time-out of a reply, since something was sent on it, is given up: the network path under it may be dead.
func (l *link) usable() bool {
	if l.channel == nil {
		return false
	}
	if l.channel.Closed() {
		l.channel = nil
		return false
	}
	now := time.Now()
	lastReceived := now.Add(-l.channel.IdleTime())
	if l.sentAt.IsZero() || !lastReceived.Before(l.sentAt) {
		l.sentAt = now
		l.sent = 0
		return true
	}
	timeout := rpc.CallTimeout + time.Duration(l.sent)*time.Second/rpc.LinkBytesPerSecond
	if now.Sub(l.sentAt) < timeout {
		return true
	}
	l.silent = l.channel
	l.channel = nil
	return false
}

func (l *link) send(message core.Message) {
	frame := (&rpc.Message{Kind: rpc.Replication, Body: encodeMessage(message)}).Encode()
	l.sent += len(frame)
	l.channel.SendRaw(frame)
}
