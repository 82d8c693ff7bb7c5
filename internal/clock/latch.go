package clock

// Latch is a lock that may be held over waits: who waits for it waits on a channel, so simulated time goes on.
type Latch chan struct{}

// NewLatch makes an open latch.
func NewLatch() Latch { return make(Latch, 1) }

// Lock takes the latch.
func (l Latch) Lock() { l <- struct{}{} }

// TryLock takes the latch if nobody holds it.
func (l Latch) TryLock() bool {
	select {
	case l <- struct{}{}:
		return true
	default:
		return false
	}
}

// Unlock gives it back.
func (l Latch) Unlock() { <-l }
