package state

import (
	"sync"

	"go.uber.org/atomic"
)

// Options say what a store keeps. The zero value keeps the newest view and takes any snapshot.
type Options struct {
	// History makes the store remember the changes of the configuration that were committed, to recognise one that is
	// sent again. The store of the replicated state needs it; a snapshot without one (of an older version) leaves
	// everything before it unknown.
	History bool
	// Monotonic keeps a snapshot from going back to an older configuration, or from a known list of replicas to none.
	// Followers need it: the process that they follow may have restarted and know less than they do.
	Monotonic bool
}

// ChangeFunc is notified of each change of a store's view. The event is nil after a snapshot was restored.
type ChangeFunc func(old, current *View, event Event)

// Store holds the newest view of one process. It may be used by many goroutines; events are applied one at a time.
type Store struct {
	options Options
	view    atomic.Pointer[View] // written under mu

	mu        sync.Mutex
	listeners []ChangeFunc // guarded by mu
}

// NewStore makes a store with the empty view.
func NewStore(options Options) *Store {
	s := &Store{options: options}
	view := EmptyView()
	if options.History {
		view.History = &History{}
	}
	s.view.Store(view)
	return s
}

// View is the newest view.
func (s *Store) View() *View { return s.view.Load() }

// OnChange adds a function that is called after each change, before the next one begins. It must not call Update,
// Apply, Restore or OnChange of this store.
func (s *Store) OnChange(listener ChangeFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, listener)
}

// publish makes a view the newest one. The caller holds mu.
func (s *Store) publish(view *View, event Event) {
	old := s.view.Load()
	s.view.Store(view)
	for _, listener := range s.listeners {
		listener(old, view, event)
	}
}

// Update applies an encoded event. One that can't be read or applied changes nothing; the error is that of
// [DecodeEvent] or [View.Next].
func (s *Store) Update(encoded []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	event, err := DecodeEvent(encoded)
	if err != nil {
		return err
	}
	next, err := s.view.Load().Next(event)
	if err != nil {
		return err
	}
	s.publish(next, event)
	return nil
}

// Apply is Update for an entry of the replicated log. It drops the error: all replicas apply the same entries to the same
// view, so that an entry which changes nothing here changes nothing anywhere. Whoever acknowledges a change asks
// [View.Outcome] whether it was the one applied.
func (s *Store) Apply(entry []byte) { _ = s.Update(entry) }

// ApplyAll is Apply for many entries that were checked when they were accepted: the configuration is not checked as a whole
// again for each of them, and the change is notified once, as that of a snapshot is.
func (s *Store) ApplyAll(entries [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	replay := newReplay(s.view.Load())
	for _, entry := range entries {
		replay.apply(entry)
	}
	s.publish(replay.result(), nil)
}

// Snapshot gives the bytes of the newest view, for Restore.
func (s *Store) Snapshot() []byte { return s.view.Load().Encode() }

// Restore replaces the view by that of a snapshot, within the bounds that Options.Monotonic sets. A snapshot that
// can't be read changes nothing; the error is that of [DecodeView].
func (s *Store) Restore(snapshot []byte) error {
	restored, err := DecodeView(snapshot)
	if err != nil {
		return err
	}
	s.replace(restored)
	return nil
}

// replace makes a view that came from elsewhere the newest one, within the bounds of the options.
func (s *Store) replace(restored *View) {
	switch {
	case !s.options.History:
		restored.History = nil
	case restored.History == nil:
		restored.History = &History{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.Monotonic {
		restored.keepNewer(s.view.Load())
	}
	s.publish(restored, nil)
}

// keepNewer keeps what a view before this one knew better.
func (v *View) keepNewer(before *View) {
	if v.Config.Revision < before.Config.Revision {
		v.Config = before.Config
	}
	if !v.ReplicasKnown && before.ReplicasKnown {
		v.Replicas, v.ReplicasKnown = before.Replicas, true
	}
}
