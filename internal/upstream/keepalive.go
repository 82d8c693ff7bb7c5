package upstream

import (
	"sync"
	"time"
)

const (
	maxIdleTime       = 10 * time.Minute       // that no loss has shortened: the responses' Keep-Alive decides
	minIdleTime       = 100 * time.Millisecond // no loss shortens the idle time below this: bursts still share connections
	staleIdleFraction = 0.7                    // part of the idle time of a stale connection that the others are used up to
	idleGrowth        = 10 * time.Second       // after a loss the allowed idle time doubles this often
	maxDoublings      = 16                     // bounds the shift: even minIdleTime exceeds maxIdleTime by then
	reuseLifetime     = 5 * time.Second        // for so long a connection that worked shows that shorter idle times are safe
	cautionTime       = 30 * time.Second       // for so long after a loss, what may not be retried takes young connections only
	minStaleIdle      = 50 * time.Millisecond  // a connection idle less than this was not dropped: its reset is the replica's
)

// KeepAlive estimates how long the replicas of one service keep idle connections, beside what their responses promise: a
// replica may drop one sooner, without notice. Its zero value has seen no such loss. It may be used concurrently.
type KeepAlive struct {
	mu         sync.Mutex    // guards the fields below
	limit      time.Duration // idle time at the newest loss, less a margin; 0: none was lost
	lostAt     time.Time
	reusedIdle time.Duration // longest recent idle time after which a connection worked
	reusedAt   time.Time
}

// recordReuse records that a connection worked after it had been idle that long.
func (k *KeepAlive) recordReuse(idle time.Duration, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if idle >= k.reusedIdle || now.Sub(k.reusedAt) > reuseLifetime {
		k.reusedIdle, k.reusedAt = idle, now
	}
}

// recordStale records that a connection idle that long was reset when it was reused. It returns false, and learns
// nothing, if others of the service worked lately after as long: then idleness was not the reason.
func (k *KeepAlive) recordStale(idle time.Duration, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if idle < k.reusedIdle && now.Sub(k.reusedAt) <= reuseLifetime {
		return false
	}
	k.limit = max(minIdleTime, min(k.maxIdleLocked(now), time.Duration(float64(idle)*staleIdleFraction)))
	k.lostAt = now
	return true
}

// maxIdle is how long a connection may have been idle and still carry a request that may be retried. After a loss it
// grows back.
func (k *KeepAlive) maxIdle(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.maxIdleLocked(now)
}

// maxIdleLocked is maxIdle for a caller that holds the lock.
func (k *KeepAlive) maxIdleLocked(now time.Time) time.Duration {
	if k.limit == 0 {
		return maxIdleTime
	}
	doublings := min(maxDoublings, int(now.Sub(k.lostAt)/idleGrowth))
	return min(maxIdleTime, k.limit<<doublings)
}

// maxIdleUnrepeatable is the same for a request that may not be retried: half as long after a recent loss.
func (k *KeepAlive) maxIdleUnrepeatable(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.limit > 0 && now.Sub(k.lostAt) < cautionTime {
		return k.maxIdleLocked(now) / 2
	}
	return k.maxIdleLocked(now)
}
