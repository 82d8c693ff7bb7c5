package rpc

import "time"

// Talk between own processes.
const (
	frameMax    = 24 << 20 // bytes; a checkpoint of a very large setup still fits
	userTimeout = 1500     // ms; TCP_USER_TIMEOUT, so that a silent peer frees its socket
	outboxLen   = 256      // notes; a channel that lags this far is closed and starts over
)

// Control copies and witnesses.
const (
	beatEvery = 250 * time.Millisecond // primary to members; cheap, and four fit into BeatLost
)

const (
	// DialTimeout bounds a dial of an own node: one that is up answers in a few milliseconds, one behind a cut never.
	DialTimeout = 200 * time.Millisecond
	// CallTimeout bounds one call to a member, its synced write included.
	CallTimeout = 500 * time.Millisecond
	// LinkBytesPerSecond is the rate that a call may count on: a link of 100 Mbit/s less a third.
	LinkBytesPerSecond = 8 << 20
)
