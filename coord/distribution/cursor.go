package distribution

import (
	"sync"
	"time"
)

// Cursor is the sink of an end follower: a state and how far it has come.
type Cursor struct {
	mu          sync.Mutex // guards what follows
	state       State
	progress    progress
	lastContact time.Time // when a parent last said that it is current; zero: never
}

// NewCursor returns a cursor over a state that has taken no update.
func NewCursor(state State) *Cursor { return &Cursor{state: state} }

// Restore is part of Sink. Besides ErrStale it returns the error of the state's Restore.
func (c *Cursor) Restore(at Position, snapshot []byte, current bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.progress.checkRestore(at); err != nil {
		return err
	}
	if err := c.state.Restore(snapshot); err != nil {
		return err
	}
	c.progress = progress{at: at}
	if current {
		c.lastContact = time.Now()
	}
	return nil
}

// Apply is part of Sink.
func (c *Cursor) Apply(at Position, change []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.progress.classify(at) {
	case relationGap:
		return false
	case relationNext:
		if c.state.Update(change) != nil {
			c.progress.needsSnapshot = true
			return false
		}
		c.progress.at = at
	}
	c.lastContact = time.Now()
	return true
}

// MarkContact is part of Sink.
func (c *Cursor) MarkContact() {
	c.mu.Lock()
	c.lastContact = time.Now()
	c.mu.Unlock()
}

// Position is part of Sink.
func (c *Cursor) Position() Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress.at
}

// ResumeFrom is part of Sink.
func (c *Cursor) ResumeFrom() Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress.resumeFrom()
}

// SinceContact is how long ago a parent last said that it is current; if none ever did, centuries.
func (c *Cursor) SinceContact() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastContact)
}
