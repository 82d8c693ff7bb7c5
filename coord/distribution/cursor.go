package distribution

import (
	"sync"
	"time"
)

// Cursor is the sink of an end follower: a state and how far it has come.
type Cursor struct {
	mu sync.Mutex // guards what follows
	content
	lastContact time.Time // when a parent last said that it is current; zero: never
}

// NewCursor returns a cursor over a state that has taken no update.
func NewCursor(state State) *Cursor { return &Cursor{content: content{state: state}} }

// Restore is part of Sink. Besides ErrStale it returns the error of the state's Restore.
func (c *Cursor) Restore(at Position, snapshot []byte, current bool) error {
	return c.replace(current, func() error { return c.restore(at, snapshot) })
}

// restoreFrom is part of Sink.
func (c *Cursor) restoreFrom(at Position, partial *partialSnapshot, current bool) error {
	return c.replace(current, func() error { return c.restoreParts(at, partial) })
}

// adoptAt is part of Sink.
func (c *Cursor) adoptAt(at Position, offered digest, current bool) error {
	return c.replace(current, func() error { return c.adopt(at, offered) })
}

func (c *Cursor) replace(current bool, replace func() error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := replace(); err != nil {
		return err
	}
	if current {
		c.lastContact = time.Now()
	}
	return nil
}

// partsHere is part of Sink.
func (c *Cursor) partsHere() manifest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.manifest()
}

// Apply is part of Sink.
func (c *Cursor) Apply(at Position, change []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.progress.classify(at) {
	case relationGap:
		return false
	case relationNext:
		if c.update(at, change) != nil {
			return false
		}
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
