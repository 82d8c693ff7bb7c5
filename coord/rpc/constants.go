package rpc

import "time"

const (
	// frameLimitBytes bounds a frame; a snapshot of a very large configuration still fits.
	frameLimitBytes = 24 << 20
	// frameReadBytes is how much of a frame is allocated and read at once: a length that only claims to be large costs
	// no memory.
	frameReadBytes = 1 << 16
	// outboxLen is in messages; a channel that lags this far is closed and starts over.
	outboxLen = 256
	// tcpUserTimeoutMs is TCP_USER_TIMEOUT in milliseconds: a silent peer frees its socket after it.
	tcpUserTimeoutMs = 1500
	// acceptRetryDelay is waited after a failed accept, which mostly means that file descriptors are short.
	acceptRetryDelay = 250 * time.Millisecond
)

const (
	// DialTimeout bounds a dial of another node: one that is up answers in a few milliseconds, one behind a partition never.
	DialTimeout = 200 * time.Millisecond
	// CallTimeout bounds one call to a member, its synced write included.
	CallTimeout = 500 * time.Millisecond
	// LinkBytesPerSecond is the rate that a call may count on: a link of 100 Mbit/s less a third.
	LinkBytesPerSecond = 8 << 20
)
