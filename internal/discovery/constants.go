package discovery

import "time"

// The platform's list.
const (
	listWait    = 700 * time.Millisecond // one page
	vanishTwice = 2                      // whole listings without a replica before it counts as gone
)
