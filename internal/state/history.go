package state

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"sort"

	"shaletrestle/internal/config"
)

// historyLimit bounds the changes in a history. An operator repeats a change for seconds; so many changes are over an
// hour at the busiest rate, and take some ten kilobytes of a snapshot.
const historyLimit = 512

// digestBytes is the size of a change's digest in a history.
const digestBytes = config.DigestBytes

// Outcome is what is known of a change of the configuration.
type Outcome int

// The outcomes of a change.
const (
	OutcomeNotCommitted Outcome = iota // it was not committed
	OutcomeCommitted                   // this very change was committed
	OutcomeUnknown                     // it is older than the history: it may have been committed or not
)

// committedChange is a change that made a revision.
type committedChange struct {
	base   int64 // the revision that it was built on
	digest string
}

// History is the newest committed changes of the configuration, one for each revision that was built on. It has no
// gap: a change on a revision between the oldest and the newest in it was committed exactly if it is in it. It is
// never changed after it was made.
type History struct {
	changes []committedChange // by rising base
}

// outcome is what is known of a change with this base and digest while revision current is in force.
func (h *History) outcome(base int64, digest string, current int64) Outcome {
	at := sort.Search(len(h.changes), func(i int) bool { return h.changes[i].base >= base })
	if at < len(h.changes) && h.changes[at].base == base {
		if h.changes[at].digest == digest {
			return OutcomeCommitted
		}
		return OutcomeNotCommitted
	}
	if base >= current {
		return OutcomeNotCommitted
	}
	if at == 0 {
		return OutcomeUnknown
	}
	return OutcomeNotCommitted
}

// with gives the history after one more change; the oldest gives way beyond historyLimit.
func (h *History) with(base int64, digest string) *History {
	retained := h.changes[max(0, len(h.changes)+1-historyLimit):]
	next := make([]committedChange, 0, len(retained)+1)
	next = append(next, retained...)
	next = append(next, committedChange{base, digest})
	return &History{changes: next}
}

// encode packs the history: of each change the distance of its base from the one before, and its digest.
func (h *History) encode() []byte {
	var packed []byte
	last := int64(0)
	for _, change := range h.changes {
		packed = binary.AppendUvarint(packed, uint64(change.base-last))
		packed = append(packed, change.digest...)
		last = change.base
	}
	return packed
}

// decodeHistory reads what encode packed. It fails with ErrHistoryTruncated or ErrHistoryUnordered.
func decodeHistory(packed []byte) (*History, error) {
	history := &History{}
	last := int64(0)
	for len(packed) > 0 {
		step, size := binary.Uvarint(packed)
		if size <= 0 || len(packed) < size+digestBytes {
			return nil, ErrHistoryTruncated
		}
		base := last + int64(step)
		if base < last || step == 0 && len(history.changes) > 0 {
			return nil, ErrHistoryUnordered
		}
		history.changes = append(history.changes, committedChange{base, string(packed[size : size+digestBytes])})
		packed = packed[size+digestBytes:]
		last = base
	}
	return history, nil
}

// MarshalJSON gives the packed history as base64 text.
func (h *History) MarshalJSON() ([]byte, error) {
	return json.Marshal(base64.StdEncoding.EncodeToString(h.encode()))
}

// UnmarshalJSON reads what MarshalJSON gave.
func (h *History) UnmarshalJSON(text []byte) error {
	var packed []byte
	if err := json.Unmarshal(text, &packed); err != nil {
		return err
	}
	read, err := decodeHistory(packed)
	if err != nil {
		return err
	}
	*h = *read
	return nil
}
