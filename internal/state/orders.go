package state

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"sort"

	"shaletrestle/internal/errkind"
)

// ordersRemembered bounds the memory of taken orders. An operator repeats an order for seconds; so many
// changes are over an hour at the busiest rate, and their memory takes some ten kilobytes of a snapshot.
const historyLimit = 512

const digestBytes = 16

// Verdict tells what is known of a configuration order.
type Outcome int

// The verdicts on an order.
const (
	OutcomeNotCommitted Outcome = iota // it was not taken
	OutcomeCommitted                   // this very order was taken
	OutcomeUnknown                     // it is older than the memory: it may have been taken or not
)

// takenOrder is one order that made a version.
type committedChange struct {
	base   int64 // the version that it was built on
	digest string
}

// Orders remembers the newest orders that were taken, one for each version that was built on. It has no gap:
// an order on a version between the oldest and the newest remembered was taken exactly if it is in it.
// It is never changed after it was made.
type History struct {
	taken []committedChange // by rising base
}

// Verdict tells what is known of an order while version current is in force.
func (o *History) Outcome(base int64, digest string, current int64) Outcome {
	at := sort.Search(len(o.taken), func(i int) bool { return o.taken[i].base >= base })
	if at < len(o.taken) && o.taken[at].base == base {
		if o.taken[at].digest == digest {
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

// with gives the memory after one more order.
func (o *History) with(base int64, digest string) *History {
	kept := o.taken[max(0, len(o.taken)+1-historyLimit):]
	next := make([]committedChange, 0, len(kept)+1)
	next = append(next, kept...)
	next = append(next, committedChange{base, digest})
	return &History{taken: next}
}

// encode packs the memory: of each order the distance of its base from the one before, and its digest.
func (o *History) encode() []byte {
	var out []byte
	last := int64(0)
	for _, t := range o.taken {
		out = binary.AppendUvarint(out, uint64(t.base-last))
		out = append(out, t.digest...)
		last = t.base
	}
	return out
}

// decodeOrders reads what encode packed.
func decodeHistory(packed []byte) (*History, error) {
	out := &History{}
	last := int64(0)
	for len(packed) > 0 {
		step, size := binary.Uvarint(packed)
		if size <= 0 || len(packed) < size+digestBytes {
			return nil, errkind.New(errkind.InvalidInput, "memory of orders is cut short")
		}
		base := last + int64(step)
		if base < last || step == 0 && len(out.taken) > 0 {
			return nil, errkind.New(errkind.InvalidInput, "memory of orders is out of order")
		}
		out.taken = append(out.taken, committedChange{base, string(packed[size : size+digestBytes])})
		packed = packed[size+digestBytes:]
		last = base
	}
	return out, nil
}

// MarshalJSON gives the packed memory as text.
func (o *History) MarshalJSON() ([]byte, error) {
	return json.Marshal(base64.StdEncoding.EncodeToString(o.encode()))
}

// UnmarshalJSON reads what MarshalJSON gave.
func (o *History) UnmarshalJSON(text []byte) error {
	var packed []byte
	if err := json.Unmarshal(text, &packed); err != nil {
		return err
	}
	read, err := decodeHistory(packed)
	if err != nil {
		return err
	}
	*o = *read
	return nil
}
