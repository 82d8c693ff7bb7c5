package rpc

import "time"

const (
	// frameLimitBytes bounds a frame; a snapshot of a very large configuration still fits.
	frameLimitBytes = 24 << 20
	// framePrefixBytes is the size of the length before a frame.
	framePrefixBytes = 4
	// frameReadBytes is how much of a frame is allocated and read at once: a length that only claims to be large costs
	// no memory.
	frameReadBytes = 1 << 16
	// outboxLen is the number of messages that a channel queues; one whose peer lags that far is closed, and its user
	// starts over on a new one.
	outboxLen = 256
	// tcpUserTimeoutMs is TCP_USER_TIMEOUT in milliseconds: a silent peer frees its socket after it.
	tcpUserTimeoutMs = 1500
	// acceptRetryDelay is the pause after a failed accept, which mostly means that file descriptors have run out.
	acceptRetryDelay = 250 * time.Millisecond
)

const (
	// DialTimeout bounds a dial of another node: one that is up answers in a few milliseconds, one behind a network
	// partition never.
	DialTimeout = 200 * time.Millisecond
	// CallTimeout bounds one call to a member, the write that it syncs to disk before its answer included.
	CallTimeout = 500 * time.Millisecond
	// LinkBytesPerSecond is the rate that a call may count on: a link of 100 Mbit/s less a third.
	LinkBytesPerSecond = 8 << 20
)
