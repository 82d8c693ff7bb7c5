package upstream

import (
	"sync"
	"time"
)

// KeepAlive estimates how long the replicas of one service keep idle connections, beside what their responses promise: a
// replica may drop one sooner, without notice. Its zero value has seen no such loss. It may be used concurrently.
type KeepAlive struct {
	mu         sync.Mutex
	limit      time.Duration // idle time at the newest loss, less a margin; 0: none was lost
	lostAt     time.Time
	reusedIdle time.Duration // longest recent idle time after which a connection worked
	reusedAt   time.Time
}

// RecordReuse records that a connection worked after it had been idle that long.
func (k *KeepAlive) RecordReuse(idle time.Duration, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if idle >= k.reusedIdle || now.Sub(k.reusedAt) > reuseLifetime {
		k.reusedIdle, k.reusedAt = idle, now
	}
}

// RecordStale records that a connection idle that long was reset when it was reused. It returns false, and learns
// nothing, if others of the service worked lately after as long: then idleness was not the reason.
func (k *KeepAlive) RecordStale(idle time.Duration, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if idle < k.reusedIdle && now.Sub(k.reusedAt) <= reuseLifetime {
		return false
	}
	k.limit = max(minIdleTime, min(k.maxIdle(now), time.Duration(float64(idle)*staleIdleFraction)))
	k.lostAt = now
	return true
}

// MaxIdle is how long a connection may have been idle and still carry a request that may be retried. After a loss it
// grows back.
func (k *KeepAlive) MaxIdle(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.maxIdle(now)
}

func (k *KeepAlive) maxIdle(now time.Time) time.Duration {
	if k.limit == 0 {
		return maxIdleTime
	}
	n := min(16, int(now.Sub(k.lostAt)/idleGrowth))
	return min(maxIdleTime, k.limit<<n)
}

// MaxIdleUnrepeatable is the same for a request that may not be retried: half as long after a recent loss.
func (k *KeepAlive) MaxIdleUnrepeatable(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.limit > 0 && now.Sub(k.lostAt) < cautionTime {
		return k.maxIdle(now) / 2
	}
	return k.maxIdle(now)
}
