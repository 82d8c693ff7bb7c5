package distribution

import (
	"sync"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/errkind"
)

// Cursor is the sink of an end follower: a board and how far it has come.
type Cursor struct {
	mu     sync.Mutex
	board  Board
	epoch  uint64
	number uint64
	heard  clock.Moment
}

// NewCursor makes a cursor over a board.
func NewCursor(b Board) *Cursor { return &Cursor{board: b} }

// Restore takes a checkpoint; one of an older life is refused.
func (c *Cursor) Restore(epoch, number uint64, body []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch < c.epoch {
		return errkind.New(errkind.Stale, "news of epoch %d, here is %d", epoch, c.epoch)
	}
	if err := c.board.Restore(body); err != nil {
		return err
	}
	c.epoch, c.number, c.heard = epoch, number, clock.Now()
	return nil
}

// Take folds the next change; false means a gap.
func (c *Cursor) Take(epoch, number uint64, body []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch != c.epoch || number > c.number+1 {
		return false
	}
	if number == c.number+1 {
		c.board.Fold(body)
		c.number = number
	}
	c.heard = clock.Now()
	return true
}

// Heard marks that the source lives.
func (c *Cursor) Heard() {
	c.mu.Lock()
	c.heard = clock.Now()
	c.mu.Unlock()
}

// At tells the life and the newest number taken.
func (c *Cursor) At() (epoch, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch, c.number
}

// Age is how long ago the source was last heard.
func (c *Cursor) Age() clock.Span {
	c.mu.Lock()
	defer c.mu.Unlock()
	return clock.Since(c.heard)
}
