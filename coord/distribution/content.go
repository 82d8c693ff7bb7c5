package distribution

import "github.com/cockroachdb/errors"

// content is a state and how far it has come. It belongs to a feed or a cursor, whose lock guards it.
type content struct {
	state    State
	progress progress

	listed   manifest // of the state at listedAt; nil: not known
	listedAt Position
}

// partitioned gives the state if it has parts.
func (c *content) partitioned() (PartitionedState, bool) {
	state, ok := c.state.(PartitionedState)
	return state, ok
}

// manifest lists the parts of the state; nil if it has none.
func (c *content) manifest() manifest {
	state, ok := c.partitioned()
	if !ok {
		return nil
	}
	if c.listed == nil || c.listedAt != c.progress.at {
		c.listed, c.listedAt = manifestOf(state.Parts()), c.progress.at
	}
	return c.listed
}

// moveTo sets the position after the state was replaced.
func (c *content) moveTo(at Position) {
	c.progress = progress{at: at}
	c.listed = nil
}

// restore replaces the state by a snapshot. The error is ErrStale or that of the state; nothing has changed then.
func (c *content) restore(at Position, snapshot []byte) error {
	if err := c.progress.checkRestore(at); err != nil {
		return err
	}
	if err := c.state.Restore(snapshot); err != nil {
		return err
	}
	c.moveTo(at)
	return nil
}

// restoreParts is restore for a partial snapshot. The error is also ErrInvalidSnapshot.
func (c *content) restoreParts(at Position, partial *partialSnapshot) error {
	state, ok := c.partitioned()
	if !ok {
		return errors.Wrap(ErrInvalidSnapshot, "parts for a state without any")
	}
	if err := c.progress.checkRestore(at); err != nil {
		return err
	}
	whole, err := partial.assemble(state.Parts())
	if err != nil {
		return err
	}
	if err := state.RestoreParts(whole); err != nil {
		return err
	}
	c.moveTo(at)
	return nil
}

// adopt takes a position at which the source's state has the digest offered. The error is ErrStale, or errOtherContent if
// the state here is another; nothing has changed then.
func (c *content) adopt(at Position, offered digest) error {
	if err := c.progress.checkRestore(at); err != nil {
		return err
	}
	here := c.manifest()
	if here == nil || here.digest() != offered {
		return errors.WithStack(errOtherContent)
	}
	c.moveTo(at)
	return nil
}

// update applies a change that follows on what is here.
func (c *content) update(at Position, change []byte) error {
	if err := c.state.Update(change); err != nil {
		c.progress.needsSnapshot = true
		return err
	}
	c.progress.at = at
	return nil
}
