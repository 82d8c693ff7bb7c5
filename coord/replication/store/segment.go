package store

import (
	"bytes"
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"shaletrestle/coord/replication/core"
)

// A segment is a sequence of records, each preceded by its length as a uvarint: the layout of the log library.

// appendRecord adds a record to the content of a segment.
func appendRecord(segment, record []byte) []byte {
	segment = binary.AppendUvarint(segment, uint64(len(record)))
	return append(segment, record...)
}

func encodeSegment(owner uint64, entries []core.Entry) []byte {
	var segment []byte
	for _, entry := range entries {
		segment = appendRecord(segment, encodeEntry(owner, entry))
	}
	return segment
}

// readSegment returns the entries of a segment that follow a position, and how many bytes they take. What comes after them is the torn end of a write that was under way.
//
// It is an error, and no torn end, if a record that is complete breaks the chain or comes after one that is not: entries that were synced are missing then.
func readSegment(owner uint64, after core.Position, segment []byte) (entries []core.Entry, completeBytes int, err error) {
	for completeBytes < len(segment) {
		recordOwner, entry, size, ok := firstEntry(segment[completeBytes:])
		if !ok {
			break
		}
		if recordOwner != owner {
			return nil, 0, errors.Newf("the log's entry %d was written for another disk", entry.Index)
		}
		if !entry.Follows(after) {
			return nil, 0, errors.Newf("the log's entry %d does not continue the state at %d", entry.Index, after.Index)
		}
		entries = append(entries, entry)
		after = entry.Position()
		completeBytes += size
	}
	if hasEntryAfter(owner, after.Index+1, segment[completeBytes:]) {
		return nil, 0, errors.Newf("the log is damaged at byte %d, and entries follow", completeBytes)
	}
	return entries, completeBytes, nil
}

// firstEntry reads the entry at the start of a segment and tells which disk it was written for and its size in the segment.
func firstEntry(segment []byte) (owner uint64, entry core.Entry, size int, ok bool) {
	length, width := binary.Uvarint(segment)
	if width <= 0 || length > uint64(len(segment)-width) {
		return 0, core.Entry{}, 0, false
	}
	size = width + int(length)
	owner, entry, ok = decodeEntry(segment[width:size])
	return owner, entry, size, ok
}

// hasEntryAfter reports whether a complete entry with a higher index is anywhere in a damaged part of a segment.
func hasEntryAfter(owner uint64, index core.Index, damaged []byte) bool {
	for at := 0; at < len(damaged); at++ {
		found := bytes.Index(damaged[at:], recordMagic)
		if found < 0 {
			return false
		}
		at += found
		for start := at - 1; start >= 0 && start >= at-binary.MaxVarintLen64; start-- {
			if _, width := binary.Uvarint(damaged[start:]); width != at-start {
				continue
			}
			recordOwner, entry, _, ok := firstEntry(damaged[start:])
			if ok && recordOwner == owner && entry.Index > index {
				return true
			}
		}
	}
	return false
}
