package upstream

import (
	"sync"
	"time"
)

// KeepAlive is what this process knows of how long one service's replicas keep idle connections, beside what their answers say. A replica may forget one sooner, without a word.
type KeepAlive struct {
	mu    sync.Mutex
	limit time.Duration // idle time at the newest loss, less a margin; 0 if none was lost
	at    time.Time
	proof time.Duration // longest idle time of late after which a connection worked
	shown time.Time
}

// RecordReuse notes that a connection worked after it was idle that long.
func (k *KeepAlive) RecordReuse(idle time.Duration, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if idle >= k.proof || now.Sub(k.shown) > keepProof {
		k.proof, k.shown = idle, now
	}
}

// RecordStale notes that a connection idle that long was reset when it was used again. It is false if others of the service worked lately after as long: then this one was not forgotten.
func (k *KeepAlive) RecordStale(idle time.Duration, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if idle < k.proof && now.Sub(k.shown) <= keepProof {
		return false
	}
	k.limit = max(keepLeast, min(k.most(now), time.Duration(float64(idle)*keepPart)))
	k.at = now
	return true
}

// MaxIdle is how long a connection may have been idle to be used for what may be sent again. After a loss it grows back.
func (k *KeepAlive) MaxIdle(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.most(now)
}

func (k *KeepAlive) most(now time.Time) time.Duration {
	if k.limit == 0 {
		return keepLongest
	}
	n := min(16, int(now.Sub(k.at)/keepRelax))
	return min(keepLongest, k.limit<<n)
}

// MaxIdleUnrepeatable is the same for what may not be sent again: half of it while a loss was seen lately.
func (k *KeepAlive) MaxIdleUnrepeatable(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.limit > 0 && now.Sub(k.at) < keepDoubt {
		return k.most(now) / 2
	}
	return k.most(now)
}
