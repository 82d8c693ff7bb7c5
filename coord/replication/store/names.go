package store

import (
	"fmt"
	"path"
	"strconv"
	"strings"

	"shaletrestle/coord/replication/core"
)

// The names in the data directory. All but the identity's carry the id of the disk, so that with another identity none of them counts any more.
const (
	identityFileName = "identity"
	registerPrefix   = "register-"
	snapshotPrefix   = "snapshot-"
	logPrefix        = "log-"

	// unfinishedSuffix ends the name of a file that is being written. The file loses the suffix when it is complete and synced.
	unfinishedSuffix = ".new"
)

// firstFormatPrefixes begin names of the first format, beside "identity".
var firstFormatPrefixes = []string{"register-", "checkpoint-", "log-"}

func (s *Store) path(name string) string {
	return path.Join(s.dir, name)
}

func (s *Store) registerName() string {
	return registerPrefix + ownerPart(s.identity.id)
}

func (s *Store) snapshotName(number generation) string {
	return snapshotPrefix + s.statePart(number)
}

func (s *Store) logName(number generation) string {
	return logPrefix + s.statePart(number)
}

func (s *Store) statePart(number generation) string {
	return ownerPart(s.identity.id) + "-" + strconv.FormatUint(uint64(number), 10)
}

func ownerPart(id uint64) string {
	return fmt.Sprintf("%016x", id)
}

// SegmentName is the name of a log segment that begins with an entry, in the form of the log library: twenty decimal digits.
func SegmentName(first core.Index) string {
	return fmt.Sprintf("%020d", uint64(first))
}

// generationOf reads the generation out of a name that begins with a prefix and this disk's id.
func (s *Store) generationOf(name, prefix string) (generation, bool) {
	digits, ok := strings.CutPrefix(name, prefix+ownerPart(s.identity.id)+"-")
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return generation(number), err == nil
}

// newestSnapshot is the highest generation that has a snapshot, or 0.
func (s *Store) newestSnapshot(names []string) generation {
	var newest generation
	for _, name := range names {
		if number, ok := s.generationOf(name, snapshotPrefix); ok {
			newest = max(newest, number)
		}
	}
	return newest
}

// newestGeneration is the highest generation that any name mentions, or 0.
func (s *Store) newestGeneration(names []string) generation {
	var newest generation
	for _, name := range names {
		name = strings.TrimSuffix(name, unfinishedSuffix)
		for _, prefix := range []string{snapshotPrefix, logPrefix} {
			if number, ok := s.generationOf(name, prefix); ok {
				newest = max(newest, number)
			}
		}
	}
	return newest
}

// isOwnName reports whether a name in the data directory was given by this package. Others are left alone.
func isOwnName(name string) bool {
	name = strings.TrimSuffix(name, unfinishedSuffix)
	if name == identityFileName {
		return true
	}
	return hasAnyPrefix(name, registerPrefix, snapshotPrefix, logPrefix)
}

// isFirstFormatName reports whether a name is one of the first format: a number follows its prefix, where this format has the disk's id.
func isFirstFormatName(name string) bool {
	for _, prefix := range firstFormatPrefixes {
		digits, ok := strings.CutPrefix(name, prefix)
		if !ok || len(digits) == len(ownerPart(0)) {
			continue
		}
		if _, err := strconv.ParseUint(digits, 10, 64); err == nil {
			return true
		}
	}
	return false
}

func hasAnyPrefix(name string, prefixes ...string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}
