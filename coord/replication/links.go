package replication

import (
	"sync"
	"time"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/rpc"
)

// maxPendingMessages is how many messages to one address wait for its dial; further ones are dropped.
const maxPendingMessages = 64

// Links is the Transport over held channels. A message goes out on the channel on which the member was heard last, or on one that is dialled when it is needed.
type Links struct {
	pool *rpc.Pool

	mu    sync.Mutex
	links map[string]*link
}

// link is the way to one address.
type link struct {
	channel *rpc.Channel // nil: none yet
	silent  *rpc.Channel // the one before, to be closed
	dialing bool
	pending []core.Message // that wait for the dial
	sentAt  time.Time      // first message since anything was received on the channel
	sent    int            // bytes since then
}

// NewLinks makes the transport of a member.
func NewLinks(lines *rpc.Pool) *Links {
	return &Links{pool: lines, links: map[string]*link{}}
}

// SetChannel is part of Transport.
func (l *Links) SetChannel(address string, channel *rpc.Channel) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.at(address)
	if known.channel != channel {
		known.use(channel)
	}
}

// Send is Transport's.
func (l *Links) Send(address string, message core.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	to := l.at(address)
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

func (l *Links) at(address string) *link {
	known := l.links[address]
	if known == nil {
		known = &link{}
		l.links[address] = known
	}
	return known
}

// dial opens a channel, in place of one that was silent, and sends what waits for it, or drops that.
func (l *Links) dial(address string, to *link, silent *rpc.Channel) {
	if silent != nil {
		silent.Close()
	}
	channel, err := l.pool.Get(address)
	if err == nil && channel.IdleTime() >= rpc.CallTimeout { // one from before that may be dead
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

func (l *link) use(channel *rpc.Channel) {
	l.channel = channel
	l.sentAt = time.Time{}
	l.sent = 0
}

// usable tells whether the channel is open and not silent. One on which nothing was heard for the wait of an answer, since something was sent on it, is left: the path may be another by now.
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
	patience := rpc.CallTimeout + time.Duration(l.sent)*time.Second/rpc.LinkBytesPerSecond
	if now.Sub(l.sentAt) < patience {
		return true
	}
	l.silent = l.channel
	l.channel = nil
	return false
}

func (l *link) send(message core.Message) {
	frameMessage := &rpc.Message{Kind: rpc.Replication, Body: encodeMessage(message)}
	frame := frameMessage.Encode()
	l.sent += len(frame)
	l.channel.SendRaw(frame)
}
