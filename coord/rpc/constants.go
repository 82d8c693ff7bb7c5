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
