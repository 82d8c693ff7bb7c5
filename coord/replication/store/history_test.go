package store_test

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"

	"shaletrestle/coord/replication/core"
	"shaletrestle/coord/replication/store"
)

const modelDir = "data"

// savedState is a state as it is on disk.
type savedState struct {
	Snapshot *core.Snapshot
	Entries  []core.Entry
}

func (h savedState) end() core.Position {
	if len(h.Entries) > 0 {
		return h.Entries[len(h.Entries)-1].Position()
	}
	return h.Snapshot.Position
}

func (h savedState) with(entry core.Entry) savedState {
	return savedState{Snapshot: h.Snapshot, Entries: append(slices.Clone(h.Entries), entry)}
}

// history says what may be found on the disk: first what was last reported as saved or found, then what was tried since.
type history struct {
	id        uint64 // zero: none was reported
	registers []core.Register
	states    []savedState

	diskFails bool // so a torn end of the log may stay, and the log closed
}

func newHistory() *history {
	return &history{registers: []core.Register{{}}, states: []savedState{{}}}
}

// String is the same for histories with the same promises.
func (h *history) String() string {
	text := fmt.Sprintf("%d %d", h.id, len(h.registers))
	for _, register := range h.registers {
		text += fmt.Sprintf(" %d", register.Promised) // tells apart the registers of a test
	}
	for _, state := range h.states {
		text += describe(state)
		if state.Snapshot != nil {
			text += fmt.Sprintf(" %x", state.end().Digest)
		}
	}
	return text
}

func (h *history) copy() *history {
	return &history{id: h.id, registers: slices.Clone(h.registers), states: slices.Clone(h.states)}
}

// open opens a disk, checks what is found, and takes it as what must be found from now on.
func (h *history) open(disk store.FileSystem) (*store.Store, error) {
	s, err := store.Open(disk, modelDir, store.Options{Bootstrap: true})
	if err != nil {
		return nil, err
	}
	if err := h.check(s); err != nil {
		return nil, &brokenPromiseError{err}
	}
	return s, nil
}

// brokenPromiseError says that a store found something else than it had promised.
type brokenPromiseError struct {
	error
}

func (h *history) check(s *store.Store) error {
	id, bootstrap := s.Identity()
	switch {
	case s.Damage() != "":
		return errors.Newf("damage reported: %s", s.Damage())
	case id == 0 || !bootstrap:
		return errors.Newf("identity %d, bootstrap %v", id, bootstrap)
	case h.id != 0 && id != h.id:
		return errors.Newf("identity %d, want %d", id, h.id)
	}
	loaded := s.Load()
	found := savedState{Snapshot: loaded.Snapshot, Entries: loaded.Entries}
	if !containsEqual(h.registers, loaded.Register) {
		return errors.Newf("register %+v, want one of %+v", loaded.Register, h.registers)
	}
	if !containsEqual(h.states, found) {
		return errors.Newf("state %s, want one of %s", describe(found), describe(h.states...))
	}
	if !h.diskFails && loaded.Appendable != (found.Snapshot != nil) {
		return errors.Newf("log appendable %v, want %v", loaded.Appendable, found.Snapshot != nil)
	}
	h.id = id
	h.registers = []core.Register{loaded.Register}
	h.states = []savedState{found}
	return nil
}

func (h *history) saveRegister(s *store.Store, register core.Register) error {
	err := s.SaveRegister(register)
	if err != nil {
		h.registers = append(h.registers, register)
		return err
	}
	h.registers = []core.Register{register}
	return nil
}

func (h *history) saveSnapshot(s *store.Store, snapshot core.Snapshot, tail []core.Entry) error {
	state := savedState{Snapshot: &snapshot, Entries: tail}
	err := s.SaveSnapshot(snapshot, tail)
	if err != nil {
		h.states = append(h.states, state)
		return err
	}
	h.states = []savedState{state}
	return nil
}

// append adds an entry to the state that was last reported.
func (h *history) append(s *store.Store, data string) error {
	base := h.states[0]
	if base.Snapshot == nil {
		return nil
	}
	entry := entriesAfter(base.end(), data)[0]
	err := s.Append(entry)
	switch {
	case errors.Is(err, store.ErrLogClosed):
		return err
	case err != nil:
		h.states = append(h.states, base.with(entry))
		return err
	}
	h.states = []savedState{base.with(entry)}
	return nil
}

// snapshotNow is a snapshot at the end of the state that was last reported.
func (h *history) snapshotNow(number int) core.Snapshot {
	position := core.Position{Index: 10, Digest: 77}
	if h.states[0].Snapshot != nil {
		position = h.states[0].end()
	}
	return core.Snapshot{
		Tag:      core.StateTag{Epoch: core.Epoch(number), Ballot: 9},
		Position: position,
		Data:     fmt.Appendf(nil, "snapshot %d", number),
	}
}

func containsEqual[T any](all []T, wanted T) bool {
	return slices.ContainsFunc(all, func(one T) bool { return equal(one, wanted) })
}

func equal[T any](a, b T) bool {
	left, right := any(a), any(b)
	leftState, isState := left.(savedState)
	if !isState {
		return reflect.DeepEqual(left, right)
	}
	rightState := right.(savedState)
	if !reflect.DeepEqual(leftState.Snapshot, rightState.Snapshot) {
		return false
	}
	return slices.EqualFunc(leftState.Entries, rightState.Entries, func(a, b core.Entry) bool {
		return reflect.DeepEqual(a, b)
	})
}

func describe(states ...savedState) string {
	text := ""
	for _, state := range states {
		if state.Snapshot == nil {
			text += "[none]"
			continue
		}
		text += fmt.Sprintf("[%s at %d and %d entries]", state.Snapshot.Data, state.Snapshot.Position.Index, len(state.Entries))
	}
	return text
}
