package discovery

import "time"

// The platform's list.
const (
	listWait    = 700 * time.Millisecond // one page
	vanishTwice = 2                      // whole listings without a replica before it counts as gone
)

const (
	// ListInterval is the time between two readings of the list: drain_ms less lag and push leaves room for three.
	ListInterval = 900 * time.Millisecond
	// dialTimeout bounds a dial of the platform.
	dialTimeout = 200 * time.Millisecond
	// maxAnswerBytes bounds one answer held in memory.
	maxAnswerBytes = 32 << 20
)
