package core

import (
	"fmt"
	"slices"
)

// replicatedState is the replicated state as this member holds it.
//
// Invariant: the state is a prefix of the history. Every entry taken follows the position before it, by index and by digest.
type replicatedState struct {
	tag      StateTag // of the proposal under which it was given
	position Position // of the last entry on disk
	applied  Position // of the last entry that the state machine has
	tail     []Entry  // on disk and not applied: from applied (excluded) to position
	// joined is the view whose appends are taken; zero: none, the member is sealed. It is in memory only, so a restarted replica is sealed until the state is transferred to it again.
	joined        StateTag
	logBroken     bool // the log takes no entries before a snapshot is saved
	logBytes      int  // of entries since the last snapshot saved
	cachedEntries []Entry
	cachedBytes   int
}

// loadState restores the state that was read from the disk.
func (c *Core) loadState(stored Stored) error {
	if c.config.Relay {
		return nil
	}
	c.state.logBroken = !stored.Appendable
	if stored.Snapshot == nil {
		c.state.logBroken = true
		if len(stored.Entries) > 0 {
			return fmt.Errorf("%w: entries without a snapshot", ErrCorrupt)
		}
		return nil
	}
	if err := c.config.StateMachine.Restore(stored.Snapshot.Data); err != nil {
		return fmt.Errorf("%w: snapshot: %w", ErrCorrupt, err)
	}
	c.state.tag = stored.Snapshot.Tag
	c.state.position = stored.Snapshot.Position
	c.state.applied = stored.Snapshot.Position
	for _, entry := range stored.Entries {
		if !entry.Follows(c.state.position) {
			return fmt.Errorf("%w: entry %d does not follow position %d", ErrCorrupt, entry.Index, c.state.position.Index)
		}
		c.state.add(entry, c.limits.EntryCacheBytes)
		c.state.logBytes += len(entry.Data)
	}
	return nil
}

// add records an entry that is on disk now.
func (s *replicatedState) add(entry Entry, recentLimit int) {
	s.position = entry.Position()
	s.tail = append(s.tail, entry)
	s.cacheEntry(entry, recentLimit)
}

// cacheEntry keeps an entry for members that miss only a few.
func (s *replicatedState) cacheEntry(entry Entry, limit int) {
	s.cachedEntries = append(s.cachedEntries, entry)
	s.cachedBytes += len(entry.Data)
	first := 0
	for s.cachedBytes > limit && first < len(s.cachedEntries)-1 {
		s.cachedBytes -= len(s.cachedEntries[first].Data)
		first++
	}
	s.cachedEntries = slices.Clone(s.cachedEntries[first:])
}

// entriesSince gives the entries after a position, if they are cached.
func (s *replicatedState) entriesSince(position Position) ([]Entry, bool) {
	if position == s.position {
		return nil, true
	}
	for i, entry := range s.cachedEntries {
		if entry.Follows(position) {
			return s.cachedEntries[i:], true
		}
	}
	return nil, false
}

// applyTail applies all that is on disk.
func (c *Core) applyTail() {
	batch, ok := c.config.StateMachine.(BatchStateMachine)
	if ok && len(c.state.tail) > 1 {
		batch.ApplyAll(entryData(c.state.tail))
	} else {
		for _, entry := range c.state.tail {
			c.config.StateMachine.Apply(entry.Data)
		}
	}
	c.state.tail = nil
	c.state.applied = c.state.position
}

func entryData(entries []Entry) [][]byte {
	data := make([][]byte, 0, len(entries))
	for _, entry := range entries {
		data = append(data, entry.Data)
	}
	return data
}

// snapshot is the state as the machine has it; the entries of tail follow it.
func (c *Core) snapshot() Snapshot {
	return Snapshot{Tag: c.state.tag, Position: c.state.applied, Data: c.config.StateMachine.Snapshot()}
}

// compactLog replaces the log by a snapshot once it has LogBytes of entries.
func (c *Core) compactLog() {
	if c.state.logBytes < c.limits.LogBytes || c.state.logBroken {
		return
	}
	c.state.logBytes = 0
	c.saveSnapshot(diskJob{kind: compactionJob}, c.snapshot(), c.state.tail)
}
