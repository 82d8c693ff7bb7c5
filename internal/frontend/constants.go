package frontend

import "time"

// Orders.
const (
	acceptPause = 20 * time.Millisecond // after an accept that failed, descriptors may be out
)
