package simulation

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// position is a place in the history of the replicated state, which the simulation counts by itself. Positions form a tree: what was written by a primary that was overtaken is a branch that ends.
type position struct {
	parent *position
	index  uint64
	digest uint64
	call   callID // that wrote the last entry
}

// history knows all positions that ever were.
type history struct {
	root  *position
	known map[uint64]*position
}

func newHistory() *history {
	root := &position{}
	return &history{root: root, known: map[uint64]*position{0: root}}
}

// after is the position that an entry leads to.
func (h *history) after(at *position, entry []byte) *position {
	digest := xxhash.New()
	var before [8]byte
	binary.LittleEndian.PutUint64(before[:], at.digest)
	_, _ = digest.Write(before[:])
	_, _ = digest.Write(entry)
	sum := digest.Sum64()
	if next, ok := h.known[sum]; ok {
		return next
	}
	next := &position{parent: at, index: at.index + 1, digest: sum, call: decodeEntry(entry).call}
	h.known[sum] = next
	return next
}

// ofSnapshot is the position of a snapshot.
func (h *history) ofSnapshot(data []byte) *position {
	if len(data) == 0 {
		return h.root
	}
	return h.known[binary.LittleEndian.Uint64(data)]
}

// includes tells whether a position is at or before this one, on its branch.
func (p *position) includes(other *position) bool {
	at := p
	for at != nil && at.index > other.index {
		at = at.parent
	}
	return at == other
}

// The replicated state: some registers that are written on top of a version, and some flags that are set and cleared.
const (
	registerCount      = 2
	flagCount          = 2
	keyCount           = registerCount + flagCount
	rememberedCommands = 96 // commands that an exact repeat is recognised among, a register
	rememberedPayloads = 24 // so that the snapshot grows, but not for ever
)

// keyState is one register or flag. A flag keeps no commands.
type keyState struct {
	version uint64
	last    callID // that changed it
	value   bool   // of a flag
	taken   []commandID
}

// observed is what a client is told of a key.
type observed struct {
	version uint64
	last    callID
	value   bool
}

func (s *keyState) observe() observed { return observed{s.version, s.last, s.value} }

// entryData is one change.
type entryData struct {
	key     int
	value   bool
	call    callID
	command commandID
	payload []byte
}

func (e entryData) encode() []byte {
	out := []byte{byte(e.key), 0}
	if e.value {
		out[1] = 1
	}
	out = binary.AppendUvarint(out, uint64(e.call))
	out = binary.AppendUvarint(out, uint64(e.command))
	return append(out, e.payload...)
}

func decodeEntry(data []byte) entryData {
	e := entryData{key: int(data[0]), value: data[1] == 1}
	remaining := data[2:]
	number, size := binary.Uvarint(remaining)
	e.call = callID(number)
	remaining = remaining[size:]
	number, size = binary.Uvarint(remaining)
	e.command = commandID(number)
	e.payload = remaining[size:]
	return e
}

// keyStore is the state machine of one process.
type keyStore struct {
	history  *history
	tip      *position
	keys     [keyCount]keyState
	payloads [][]byte
}

func newKeyStore(h *history) *keyStore {
	return &keyStore{history: h, tip: h.root}
}

// Apply implements core.StateMachine.
func (s *keyStore) Apply(entry []byte) {
	s.tip = s.history.after(s.tip, entry)
	e := decodeEntry(entry)
	key := &s.keys[e.key]
	key.version++
	key.last = e.call
	key.value = e.value
	if e.command != 0 {
		key.taken = append(key.taken, e.command)
		key.taken = key.taken[max(0, len(key.taken)-rememberedCommands):]
	}
	s.payloads = append(s.payloads, e.payload)
	s.payloads = s.payloads[max(0, len(s.payloads)-rememberedPayloads):]
}

// Snapshot implements core.StateMachine.
func (s *keyStore) Snapshot() []byte {
	out := binary.LittleEndian.AppendUint64(nil, s.tip.digest)
	for i := range s.keys {
		key := &s.keys[i]
		out = binary.AppendUvarint(out, key.version)
		out = binary.AppendUvarint(out, uint64(key.last))
		value := byte(0)
		if key.value {
			value = 1
		}
		out = append(out, value)
		out = binary.AppendUvarint(out, uint64(len(key.taken)))
		for _, command := range key.taken {
			out = binary.AppendUvarint(out, uint64(command))
		}
	}
	out = binary.AppendUvarint(out, uint64(len(s.payloads)))
	for _, payload := range s.payloads {
		out = binary.AppendUvarint(out, uint64(len(payload)))
		out = append(out, payload...)
	}
	return out
}

var errUnknownPosition = errors.New("the snapshot is of no known position")

// Restore implements core.StateMachine.
func (s *keyStore) Restore(snapshot []byte) error {
	*s = *newKeyStore(s.history)
	if len(snapshot) == 0 {
		return nil
	}
	s.tip = s.history.ofSnapshot(snapshot)
	if s.tip == nil {
		return errUnknownPosition
	}
	remaining := snapshot[8:]
	number := func() uint64 {
		n, size := binary.Uvarint(remaining)
		remaining = remaining[size:]
		return n
	}
	for i := range s.keys {
		key := &s.keys[i]
		key.version = number()
		key.last = callID(number())
		key.value = remaining[0] == 1
		remaining = remaining[1:]
		for range number() {
			key.taken = append(key.taken, commandID(number()))
		}
	}
	for range number() {
		size := number()
		s.payloads = append(s.payloads, remaining[:size])
		remaining = remaining[size:]
	}
	return nil
}

// versionError is the clear "no" to a command that builds on another version.
type versionError struct{ now observed }

func (r versionError) Error() string { return fmt.Sprintf("version %d is current", r.now.version) }
