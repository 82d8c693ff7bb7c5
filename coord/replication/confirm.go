package replication

import (
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
)

// confirmRound asks the witnesses once for all calls that joined it before it began.
type confirmRound struct {
	done  chan struct{}
	epoch uint64 // of the view confirmed; 0 if none was
}

// Confirmed tells whether this member is still primary: most witnesses say, after this call began, that they have accepted no later view.
func (m *Member) Confirmed() bool {
	epoch, active := m.Active()
	return active && m.confirmedEpoch(epoch)
}

// clear gives what a check decided, an error or nil for "in force already", once the witnesses have confirmed that nobody followed the view in which it was decided. Without that it is unclear: another primary may know better.
func (m *Member) clear(decidedIn *rpc.Chart, decision error) error {
	if errkind.KindOf(decision) == errkind.Unready {
		return decision
	}
	if decidedIn == nil || !m.confirmedEpoch(decidedIn.Epoch) {
		return errkind.New(errkind.Unready, "the witnesses do not confirm")
	}
	return decision
}

// confirmedEpoch joins the next round and tells whether that round confirmed the epoch. A round under way is not joined: its questions may have been answered before the call came.
func (m *Member) confirmedEpoch(epoch uint64) bool {
	m.mu.Lock()
	round := m.nextRound
	if round == nil {
		round = &confirmRound{done: make(chan struct{})}
		m.nextRound = round
	}
	if !m.confirming {
		m.confirming = true
		go m.confirmRounds()
	}
	m.mu.Unlock()
	select {
	case <-round.done:
		return round.epoch == epoch
	case <-m.sc.Done():
		return false
	}
}

// confirmRounds runs one round after the other while calls wait.
func (m *Member) confirmRounds() {
	for {
		m.mu.Lock()
		round := m.nextRound
		m.nextRound = nil
		if round == nil {
			m.confirming = false
			m.mu.Unlock()
			return
		}
		view, active, epoch := m.reg.Chart, m.active, m.epoch
		m.mu.Unlock()
		if active && view != nil && view.Epoch == epoch && m.witnessesConfirm(view) {
			round.epoch = epoch
		}
		close(round.done)
	}
}

// witnessesConfirm asks all witnesses of a view and tells whether most have accepted no later one.
func (m *Member) witnessesConfirm(view *rpc.Chart) bool {
	question := &rpc.Note{Kind: rpc.Confirm, Epoch: view.Epoch, Ballot: view.Mark}
	answers := m.ask(view.Witnesses, question, constants.CallWait)
	return oks(answers) > len(view.Witnesses)/2
}
