package distribution

import (
	"sync"
	"time"
)

// Cursor is the sink of an end follower: a board and how far it has come.
type Cursor struct {
	mu       sync.Mutex
	board    State
	progress progress
	heard    time.Time
}

// NewCursor makes a cursor over a board.
func NewCursor(b State) *Cursor { return &Cursor{board: b} }

// Restore takes a snapshot from a source that says whether it is current; one that is older than what is held is refused.
func (c *Cursor) Restore(at Position, body []byte, current bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.progress.mayRestore(at); err != nil {
		return err
	}
	if err := c.board.Restore(body); err != nil {
		return err
	}
	c.progress = progress{at: at}
	if current {
		c.heard = time.Now()
	}
	return nil
}

// Apply folds the next change; false means that a snapshot or what is missing must come first.
func (c *Cursor) Apply(at Position, body []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.progress.judge(at) {
	case stepGap:
		return false
	case stepNext:
		if c.board.Update(body) != nil {
			c.progress.damaged = true
			return false
		}
		c.progress.at = at
	}
	c.heard = time.Now()
	return true
}

// MarkContact marks that the source is in touch with the primary.
func (c *Cursor) MarkContact() {
	c.mu.Lock()
	c.heard = time.Now()
	c.mu.Unlock()
}

// Position is that of the newest update taken, the zero Position if none was.
func (c *Cursor) Position() Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress.at
}

// ResumeFrom is the position to ask a source for.
func (c *Cursor) ResumeFrom() Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress.resumeFrom()
}

// SinceContact is how long ago a source in touch with the primary was last heard.
func (c *Cursor) SinceContact() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.heard)
}
