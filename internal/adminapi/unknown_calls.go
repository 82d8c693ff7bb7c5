package adminapi

import "sync"

const (
	// maxUnknownCalls bounds the calls that are remembered: their names come from outside.
	maxUnknownCalls = 32
	// maxUnknownCallBytes bounds a name that is remembered and logged.
	maxUnknownCallBytes = 100
)

// unknownCalls remembers which calls came that don't exist, so that each is logged once. Its zero value is ready; it is
// safe for concurrent use.
type unknownCalls struct {
	mu   sync.Mutex
	seen map[string]bool // guarded by mu
}

// isNew reports whether a call came for the first time, and remembers it. Beyond the bound no call is new.
func (u *unknownCalls) isNew(call string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.seen[call] || len(u.seen) >= maxUnknownCalls || len(call) > maxUnknownCallBytes {
		return false
	}
	if u.seen == nil {
		u.seen = map[string]bool{}
	}
	u.seen[call] = true
	return true
}
