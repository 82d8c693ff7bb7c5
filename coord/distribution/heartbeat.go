package distribution

import "time"

// heartbeat shows idle subscribers that this process is alive and closes those that are silent.
func (f *Feed) heartbeat() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.subscribers {
		if s.channel.IdleTime() > s.timeout() {
			go s.channel.Close() // its OnClose functions take the lock held here
		}
	}
	f.sendHeartbeats()
}

// timeout is how long a subscriber may be silent: longer while a snapshot is on its way to it, which may share a slow link
// with all that were in flight.
func (s *subscriber) timeout() time.Duration {
	if s.need != needInFlight {
		return updateTimeout
	}
	return updateTimeout + time.Duration(s.aheadBytes)*time.Second/slowLinkBytesPerSecond
}

// sendHeartbeats sends to all subscribers or, while this process is current, to those that were sent nothing lately: any
// update shows them as much. That it is not current, only a heartbeat says. Equal messages are encoded once.
func (f *Feed) sendHeartbeats() {
	current := f.isCurrent()
	encoded := map[Position][]byte{}
	for _, s := range f.subscribers {
		if current && time.Since(s.lastSent) < HeartbeatInterval/2 {
			continue
		}
		if s.need != needChanges {
			s.send(stateMessage(formWait, f.progress.at, current).Encode())
			continue
		}
		at := Position{f.progress.at.Epoch, s.sent}
		if encoded[at] == nil {
			encoded[at] = stateMessage(formHeartbeat, at, current).Encode()
		}
		s.send(encoded[at])
	}
}
