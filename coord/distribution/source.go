package distribution

import "time"

// Source is the right to push changes in one epoch. It ends with End, with the next Begin, or when the feed
// receives a snapshot of a higher epoch.
type Source struct {
	feed  *Feed
	epoch uint64
}

// Begin makes this process the source of an epoch. initial returns the state that the epoch begins with; it is called
// with the feed locked, so that nothing changes the state meanwhile, and must not call the feed. The result is nil if the
// feed has updates of a higher epoch already or the state can't be restored.
func (f *Feed) Begin(epoch uint64, initial func() []byte) *Source {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch < f.progress.at.Epoch {
		return nil
	}
	if err := f.state.Restore(initial()); err != nil {
		f.log.Error("cannot restore initial state", "epoch", epoch, "error", err.Error())
		return nil
	}
	start := Position{Epoch: epoch}
	if epoch == f.progress.at.Epoch { // the same source again: its numbers go on
		start.Number = f.progress.at.Number + 1
	}
	f.source = &Source{feed: f, epoch: epoch}
	f.restartAt(start)
	return f.source
}

// Push applies a change, forwards it to the followers and returns its number; false if the source has ended or the change
// does not apply.
func (s *Source) Push(change []byte) (uint64, bool) {
	return s.PushIf(nil, change)
}

// PushIf is Push under a condition, which is called with the feed locked, immediately before the change is applied; false
// also if the condition is false. A nil condition is always true.
func (s *Source) PushIf(condition func() bool, change []byte) (uint64, bool) {
	f := s.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source != s || condition != nil && !condition() {
		return 0, false
	}
	at := Position{s.epoch, f.progress.at.Number + 1}
	if err := f.push(at, change); err != nil {
		f.log.Error("cannot apply update", "epoch", at.Epoch, "number", at.Number, "error", err.Error())
		return 0, false
	}
	return at.Number, true
}

// Number is the newest number at the feed; false if the source has ended.
func (s *Source) Number() (uint64, bool) {
	s.feed.mu.Lock()
	defer s.feed.mu.Unlock()
	return s.feed.progress.at.Number, s.feed.source == s
}

// End ends the source, if this process is one: it is a relay again and, until its own parent says that it is current,
// not current either. The followers are notified at once.
func (f *Feed) End() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source == nil {
		return
	}
	f.source = nil
	f.lastContact = time.Time{}
	f.sendHeartbeats()
}
